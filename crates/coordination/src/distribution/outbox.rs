//! The queue of frames that wait to be written to a connection.
use async_channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;

/// The bytes that may wait to be written to a connection; one more frame of any length may be queued.
pub const MAX_WAITING_BYTES: usize = 128 * 1024;
/// The number of frames that may wait to be written to a connection.
pub const MAX_WAITING_FRAMES: usize = 256;

/// The sending end. When it is dropped, the waiting frames are written and the connection is closed.
pub struct Outbox {
    frames: Sender<Vec<u8>>,
    waiting_bytes: Rc<Cell<usize>>,
    close_code: Rc<Cell<&'static str>>,
}

/// The receiving end, from which frames are written to the connection.
pub struct OutboxReader {
    frames: Receiver<Vec<u8>>,
    waiting_bytes: Rc<Cell<usize>>,
    close_code: Rc<Cell<&'static str>>,
}

impl Outbox {
    /// Creates an empty outbox and returns both ends.
    #[allow(clippy::new_ret_no_self, reason = "the two ends belong together")]
    pub fn new() -> (Outbox, OutboxReader) {
        let (sender, receiver) = async_channel::bounded(MAX_WAITING_FRAMES);
        let (waiting_bytes, close_code) = (Rc::new(Cell::new(0)), Rc::new(Cell::new("closed")));
        let reader = OutboxReader {
            frames: receiver,
            waiting_bytes: waiting_bytes.clone(),
            close_code: close_code.clone(),
        };
        (Outbox { frames: sender, waiting_bytes, close_code }, reader)
    }

    /// Queues a frame; returns false if the outbox is full.
    pub fn send(&self, frame: Vec<u8>) -> bool {
        let waiting = self.waiting_bytes.get();
        if waiting > MAX_WAITING_BYTES {
            return false;
        }
        self.waiting_bytes.set(waiting + frame.len());
        self.frames.try_send(frame).is_ok()
    }

    /// Sets the reason code for this side closing the connection.
    pub fn set_close_code(&self, code: &'static str) {
        self.close_code.set(code);
    }
}

impl OutboxReader {
    /// Receives the next frame; returns `None` once the other end is dropped and no frame waits. Cancel safe.
    pub async fn next(&self) -> Option<Vec<u8>> {
        self.frames.recv().await.ok()
    }

    /// Records that a frame was written.
    pub fn record_written(&self, frame: &[u8]) {
        self.waiting_bytes.set(self.waiting_bytes.get().saturating_sub(frame.len()));
    }

    /// The reason code for this side closing the connection.
    pub fn close_code(&self) -> &'static str {
        self.close_code.get()
    }
}
