//! Frames over TCP: to each front a link of its own that only sends, from each one that is only read. A frame is its
//! length in four bytes and a sealed envelope.
use crate::frames::{self, Frame};
use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use cluster_types::MemberId;
use futures_lite::{future, AsyncRead, AsyncReadExt, AsyncWriteExt};
use message_auth::{Opened, Opener, Sealer, MAX_FRAME_BYTES};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::future::Future;
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

/// What comes of work that is given up where it takes too long.
pub async fn within<T>(work: impl Future<Output = Option<T>>) -> Option<T> {
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
            put(&mut out, Some(&link.to), &hello, &sealer);
        }
        put(&mut out, Some(&link.to), &frame, &sealer);
        if within(async { up.write_all(&out).await.ok() }).await.is_none() {
            counts.lost.fetch_add(1, Ordering::Relaxed);
            stream = None;
        }
    }
}

/// A frame as it goes on the link; one that is too large is left out, and false.
pub fn put(out: &mut Vec<u8>, to: Option<&MemberId>, frame: &[u8], sealer: &RefCell<Sealer>) -> bool {
    let Ok(sealed) = sealer.borrow_mut().seal(to, frame) else { return false };
    out.extend(u32::try_from(sealed.len()).unwrap_or(u32::MAX).to_be_bytes());
    out.extend(sealed);
    true
}

/// Accepts connections, at most so many at once, and says of each how many frames it carried and why it ended.
pub async fn accept<F: Future<Output = (u64, String)> + 'static>(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    counts: Arc<Counts>,
    most: usize,
    (kind, log): (&'static str, fn(&str)),
    serve: impl Fn(Async<TcpStream>) -> F,
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
        let (served, open) = (serve(stream), open.clone());
        let serving = async move {
            let (carried, reason) = served.await;
            open.set(open.get() - 1);
            log(&format!("conn kind={kind} peer={from} carried={carried} reason={reason}"));
        };
        executor.spawn(serving).detach();
    }
}

/// Reads a link to its end; tells how many frames it carried, and why it ended.
pub async fn read(
    mut stream: Async<TcpStream>,
    opener: Rc<RefCell<Opener>>,
    came: Came,
    counts: Arc<Counts>,
) -> (u64, String) {
    let mut carried = 0;
    loop {
        let opened = match next(&mut stream, CHANNEL, (carried, MAX_FRAME_BYTES), &opener, &counts).await {
            Ok(opened) => opened,
            Err(why) => return (carried, why),
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

/// The next frame of a connection that has carried so many and may carry frames so long; why it ended, where there is none.
pub async fn next(
    stream: &mut (impl AsyncRead + Unpin),
    channel: u8,
    (carried, longest): (u64, usize),
    opener: &RefCell<Opener>,
    counts: &Counts,
) -> Result<Opened, String> {
    let mut length = [0; 4];
    let head = async { stream.read_exact(&mut length).await.ok() };
    let head = match carried {
        0 => within(head).await,
        _ => head.await,
    };
    if head.is_none() {
        return Err(if carried == 0 { "timeout" } else { "peer-closed" }.into());
    }
    let length = u32::from_be_bytes(length) as usize;
    let most = if carried == 0 { STRANGER } else { longest };
    if length > most {
        counts.refused.fetch_add(1, Ordering::Relaxed);
        return Err("bound".into());
    }
    let mut bytes = vec![0; length];
    let body = async { stream.read_exact(&mut bytes).await.ok() };
    if within(body).await.is_none() {
        return Err("reset".into());
    }
    opener.borrow_mut().open_on(channel, &bytes).map_err(|why| {
        counts.refused.fetch_add(1, Ordering::Relaxed);
        why.to_string()
    })
}
