//! A client's answers on their way out, in the order of its commands.
use crate::backend::value::Answer;
use crate::client::response::{worded, Reply, Waiting};
use crate::client::session::Client;
use crate::net::connection::Connection;
use async_channel::Receiver;
use dispatch::Bytes;

impl Client {
    /// Puts out the answers whose turn it is, as far as there is room; tells whether there were any.
    pub fn write(&mut self, stream: &mut Connection) -> bool {
        // Guards answers that their box takes long over: they begin to wait unread now, and not when the connection was
        // last looked at, which is when the request came.
        if stream.output.is_empty() {
            self.went_on = (stream.written, self.context.clock.now());
        }
        let before = self.first;
        while let Some(waiting) = self.slots.front_mut().and_then(|s| s.reply.as_mut()) {
            // What is not read waits where it counts, and not in many rings.
            if !stream.output.is_empty() && self.context.rings_full() {
                break;
            }
            let piece = waiting.reply.from(waiting.begun);
            if !piece.is_empty() {
                let count = piece.len().min(stream.output.room());
                if count == 0 {
                    break;
                }
                stream.output.push(&piece[..count]);
                waiting.begun += count;
                continue;
            }
            if let Reply::StreamedValue(bytes, coming) = &mut waiting.reply {
                if coming.length > 0 {
                    // The next piece is awaited by the connection's own loop.
                    break;
                }
                if !std::mem::replace(&mut waiting.ended, true) {
                    *bytes = b"\r\n".to_vec();
                    waiting.begun = 0;
                    continue;
                }
            }
            self.slots.pop_front();
            self.first += 1;
        }
        self.first > before
    }

    /// The pieces of the value that is being written, where the next one is awaited.
    pub fn awaits(&self) -> Option<Receiver<Bytes>> {
        let waiting = self.slots.front()?.reply.as_ref()?;
        match &waiting.reply {
            Reply::StreamedValue(bytes, coming) if waiting.begun == bytes.len() && coming.length > 0 => {
                Some(coming.pieces.clone())
            }
            _ => None,
        }
    }

    /// Takes the next piece of the value that is being written; false where it can't be finished.
    pub fn piece(&mut self, piece: Option<Bytes>) -> bool {
        let waiting = self.slots.front_mut().and_then(|s| s.reply.as_mut());
        let (Some(waiting), Some(piece)) = (waiting, piece) else { return false };
        if let Reply::StreamedValue(bytes, coming) = &mut waiting.reply {
            coming.length -= piece.len().min(coming.length);
            *bytes = piece.to_vec();
            waiting.begun = 0;
        }
        true
    }

    pub fn answered(&mut self, slot: u64, answer: Answer) {
        let reply = Waiting::new(&self.context, worded(answer));
        let endpoint = slot.checked_sub(self.first).and_then(|n| self.slots.get_mut(n as usize));
        if let Some(slot) = endpoint {
            slot.reply = Some(reply);
        }
    }
}
