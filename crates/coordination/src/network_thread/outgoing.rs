//! The link to another member, which only sends.
use crate::frame::{self, Frame};
use crate::network_thread::counters::{increment, LinkCounters};
use crate::network_thread::framing::append_frame;
use crate::network_thread::timeout::with_timeout;
use async_channel::Receiver;
use async_io::{Async, Timer};
use cluster_types::MemberId;
use futures_lite::AsyncWriteExt;
use message_auth::Sealer;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

/// The pause after the first failure to connect.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// The maximum pause: it doubles with each failure.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// The link to another member.
pub(crate) struct OutgoingLink {
    pub(crate) member: MemberId,
    pub(crate) address: SocketAddr,
    /// The encoded frames to send.
    pub(crate) frames: Receiver<Vec<u8>>,
    pub(crate) sealer: Rc<RefCell<Sealer>>,
    pub(crate) counters: Arc<LinkCounters>,
}

impl OutgoingLink {
    /// Sends frames until the other end of the mailbox is dropped. When the link breaks, its frames are lost; senders repeat
    /// whatever has to arrive.
    pub(crate) async fn run(self) {
        let mut stream: Option<Async<TcpStream>> = None;
        let mut pause = MIN_RETRY_PAUSE;
        // Jitter, so that members that have lost the same peer do not reconnect at the same time.
        let mut rng = SmallRng::seed_from_u64(u64::from(self.address.port()) ^ u64::from(std::process::id()));
        while let Ok(frame) = self.frames.recv().await {
            let mut bytes = Vec::new();
            if stream.is_none() {
                stream = self.connect().await;
                if stream.is_none() {
                    self.drop_waiting_frames();
                    Timer::after(pause.mul_f64(rng.random_range(0.5..1.0))).await;
                    pause = (2 * pause).min(MAX_RETRY_PAUSE);
                    continue;
                }
                pause = MIN_RETRY_PAUSE;
                let hello = frame::encode(&Frame::Hello).unwrap_or_default();
                self.append(&mut bytes, &hello);
            }
            self.append(&mut bytes, &frame);
            let Some(connection) = &mut stream else { continue };
            if with_timeout(async { connection.write_all(&bytes).await.ok() }).await.is_none() {
                increment(&self.counters.lost_frames);
                stream = None;
            }
        }
    }

    async fn connect(&self) -> Option<Async<TcpStream>> {
        let stream = with_timeout(async { Async::<TcpStream>::connect(self.address).await.ok() }).await?;
        set_nodelay(&stream);
        Some(stream)
    }

    fn append(&self, out: &mut Vec<u8>, frame: &[u8]) {
        // A frame that is too long is dropped, as if lost; this program sends none.
        append_frame(out, Some(&self.member), frame, &self.sealer).ok();
    }

    fn drop_waiting_frames(&self) {
        let lost = 1 + std::iter::from_fn(|| self.frames.try_recv().ok()).count();
        self.counters.lost_frames.fetch_add(lost as u64, Ordering::Relaxed);
    }
}

/// Disables Nagle's algorithm, so that small frames are sent without delay. If this fails, the connection works, but slower.
pub(crate) fn set_nodelay(stream: &Async<TcpStream>) {
    drop(stream.get_ref().set_nodelay(true));
}
