//! Frames over TCP: to each front a link of its own that only sends, from each one that is only read. A frame is its
//! length in four bytes and a sealed envelope.
use crate::frames::{self, Frame};
use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use envelope::{Opener, Sealer, FRAME};
use fleet::MemberId;
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::net::CHANNEL;

/// Where frames go that came: from whom, and what; false where there is no room.
pub type Came = Arc<dyn Fn(MemberId, Frame) -> bool + Send + Sync>;

/// How long a connection may take to come up, to take a frame, or to bring its first one.
const PATIENCE: Duration = Duration::from_secs(2);
/// The pause after a link has broken, doubling up to the second one.
const PAUSE: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// The longest frame of one who has not shown yet that it has the key.
const STRANGER: usize = 64 * 1024;

/// What was bad or lost.
#[derive(Debug, Default)]
pub struct Counts {
    /// Frames that could not be opened.
    pub refused: AtomicU64,
    /// Frames that could be opened and not read: of another version, or nonsense.
    pub unread: AtomicU64,
    /// Frames for which there was no room.
    pub full: AtomicU64,
    /// Frames lost with their link.
    pub lost: AtomicU64,
    /// Connections beyond the bound.
    pub crowded: AtomicU64,
}

/// A link to one front.
pub struct Out {
    /// Its name.
    pub to: MemberId,
    /// Where it listens.
    pub at: SocketAddr,
    /// What it is to be sent.
    pub frames: Receiver<Vec<u8>>,
}

async fn within<T>(work: impl std::future::Future<Output = Option<T>>) -> Option<T> {
    future::or(work, async {
        Timer::after(PATIENCE).await;
        None
    })
    .await
}

/// Sends frames for as long as there are any to come. What a broken link held is lost: all that is said is said again.
pub async fn send(link: Out, sealer: Rc<RefCell<Sealer>>, counts: Arc<Counts>) {
    let (mut stream, mut pause): (Option<Async<TcpStream>>, _) = (None, PAUSE.0);
    // The pauses of many fronts that lost the same one must not fall together.
    let mut rng = SmallRng::seed_from_u64(u64::from(link.at.port()) ^ u64::from(std::process::id()));
    while let Ok(frame) = link.frames.recv().await {
        let fresh = stream.is_none();
        if fresh {
            stream = within(async { Async::<TcpStream>::connect(link.at).await.ok() }).await;
            match &stream {
                Some(up) => {
                    let _ = up.get_ref().set_nodelay(true);
                    pause = PAUSE.0;
                }
                None => {
                    let lost = 1 + std::iter::from_fn(|| link.frames.try_recv().ok()).count();
                    counts.lost.fetch_add(lost as u64, Ordering::Relaxed);
                    Timer::after(pause.mul_f64(rng.random_range(0.5..1.0))).await;
                    pause = (2 * pause).min(PAUSE.1);
                    continue;
                }
            }
        }
        let Some(up) = &mut stream else { continue };
        let mut out = Vec::new();
        if fresh {
            let hello = frames::write(&Frame::Hello).unwrap_or_default();
            put(&mut out, &link.to, &hello, &sealer);
        }
        put(&mut out, &link.to, &frame, &sealer);
        if within(async { up.write_all(&out).await.ok() }).await.is_none() {
            counts.lost.fetch_add(1, Ordering::Relaxed);
            stream = None;
        }
    }
}

/// A frame as it goes on the link; one that is too large is left out.
fn put(out: &mut Vec<u8>, to: &MemberId, frame: &[u8], sealer: &RefCell<Sealer>) {
    if let Ok(sealed) = sealer.borrow_mut().seal(Some(to), frame) {
        out.extend(u32::try_from(sealed.len()).unwrap_or(u32::MAX).to_be_bytes());
        out.extend(sealed);
    }
}

/// Accepts links, at most so many at once.
pub async fn accept(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    opener: Rc<RefCell<Opener>>,
    came: Came,
    counts: Arc<Counts>,
    most: usize,
    log: fn(&str),
) {
    let open = Rc::new(Cell::new(0));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            Timer::after(PAUSE.0).await;
            continue;
        };
        // Guards descriptors and memory against those who only connect.
        if open.get() >= most {
            counts.crowded.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        open.set(open.get() + 1);
        let (opener, came, counts, open) = (opener.clone(), came.clone(), counts.clone(), open.clone());
        let reading = async move {
            let why = read(stream, &opener, &came, &counts).await;
            open.set(open.get() - 1);
            log(&format!("conn kind=front peer={from} carried={} reason={}", why.0, why.1));
        };
        executor.spawn(reading).detach();
    }
}

/// Reads a link to its end; tells how many frames it carried, and why it ended.
async fn read(
    mut stream: Async<TcpStream>,
    opener: &RefCell<Opener>,
    came: &Came,
    counts: &Counts,
) -> (u64, String) {
    let mut carried = 0;
    loop {
        let mut length = [0; 4];
        let head = async { stream.read_exact(&mut length).await.ok() };
        let head = match carried {
            0 => within(head).await,
            _ => head.await,
        };
        if head.is_none() {
            return (carried, if carried == 0 { "timeout".into() } else { "peer-closed".into() });
        }
        let length = u32::from_be_bytes(length) as usize;
        let most = if carried == 0 { STRANGER } else { FRAME };
        if length > most {
            counts.refused.fetch_add(1, Ordering::Relaxed);
            return (carried, "bound".into());
        }
        let mut bytes = vec![0; length];
        let body = async { stream.read_exact(&mut bytes).await.ok() };
        if within(body).await.is_none() {
            return (carried, "reset".into());
        }
        let opened = match opener.borrow_mut().open_on(CHANNEL, &bytes) {
            Ok(opened) => opened,
            Err(why) => {
                counts.refused.fetch_add(1, Ordering::Relaxed);
                return (carried, format!("{why:?}").to_lowercase());
            }
        };
        carried += 1;
        match frames::read(&opened.body) {
            Ok(frame) => {
                if !came(opened.from, frame) {
                    counts.full.fetch_add(1, Ordering::Relaxed);
                }
            }
            Err(why) => {
                counts.unread.fetch_add(1, Ordering::Relaxed);
                return (carried, format!("protocol ({why})"));
            }
        }
    }
}
