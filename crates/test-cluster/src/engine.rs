//! The thread that carries all stand-ins and links, and the clock that orders what they log.
use crate::ports::Site;
use async_executor::Executor;
use async_io::Timer;
use futures_lite::future;
use std::future::Future;
use std::io;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time since the rig began, and one order over everything that is logged in it.
#[derive(Clone, Debug)]
pub struct Clock {
    origin: Instant,
    order: Arc<AtomicU64>,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { origin: Instant::now(), order: Arc::default() }
    }
}

impl Clock {
    /// Time since the rig began.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// The point at which that time is reached.
    pub fn instant(&self, at: Duration) -> Instant {
        self.origin + at
    }

    /// The next place in the order.
    pub fn order(&self) -> u64 {
        self.order.fetch_add(1, Ordering::SeqCst)
    }

    /// Unix time in milliseconds at that time.
    pub fn unix_ms(&self, at: Duration) -> u64 {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let ms = (unix + at).saturating_sub(self.now()).as_millis();
        u64::try_from(ms).unwrap_or(u64::MAX)
    }
}

/// A time in which this machine let a thread wait that had something to do, or the rig's own thread was behind with its work.
pub type Hiccup = (Duration, Duration);

/// How often the sampler wakes, and from what lateness on it is a hiccup.
const SAMPLE: Duration = Duration::from_millis(5);
const LATE: Duration = Duration::from_millis(25);

/// The thread. What it carries ends when it is dropped, with its sockets.
pub struct Engine {
    clock: Clock,
    hiccups: Arc<Mutex<Vec<Hiccup>>>,
    sampler: Option<JoinHandle<()>>,
    executor: Option<Arc<Executor<'static>>>,
    stop: Option<async_channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    /// Last: nobody else may have the addresses while something listens there.
    _site: Site,
}

/// Starts work on the thread; holds nothing alive.
#[derive(Clone)]
pub struct Spawner(Weak<Executor<'static>>);

impl Engine {
    /// Starts the thread. Whatever it carries listens at that site.
    pub fn start(site: &Site) -> io::Result<Engine> {
        let clock = Clock::default();
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let carried = executor.clone();
        let thread = std::thread::Builder::new().name("rig".into()).spawn(move || {
            let _ = async_io::block_on(carried.run(stopped.recv()));
        })?;
        let hiccups: Arc<Mutex<Vec<Hiccup>>> = Arc::default();
        let (found, ended, at) = (hiccups.clone(), stop.clone(), clock.clone());
        let sampler = std::thread::Builder::new().name("sampler".into()).spawn(move || {
            while !ended.is_closed() {
                let before = at.now();
                std::thread::sleep(SAMPLE);
                if at.now() - before > LATE {
                    lock(&found).push((before, at.now()));
                }
            }
        })?;
        let sampler = Some(sampler);
        // The thread that carries all may be late though the machine is not: it has too much to do.
        let (found, at) = (hiccups.clone(), clock.clone());
        let late = async move {
            loop {
                let before = at.now();
                Timer::after(SAMPLE).await;
                if at.now() - before > LATE {
                    lock(&found).push((before, at.now()));
                }
            }
        };
        executor.spawn(late).detach();
        Ok(Engine {
            _site: site.clone(),
            clock,
            hiccups,
            sampler,
            executor: Some(executor),
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// The clock of all that it carries.
    pub fn clock(&self) -> Clock {
        self.clock.clone()
    }

    /// When this machine stood still. Guards verdicts on time against it.
    pub fn hiccups(&self) -> Vec<Hiccup> {
        lock(&self.hiccups).clone()
    }

    /// What starts work on it.
    pub fn spawner(&self) -> Spawner {
        Spawner(self.executor.as_ref().map(Arc::downgrade).unwrap_or_default())
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            stop.close();
        }
        for thread in self.thread.take().into_iter().chain(self.sampler.take()) {
            let _ = thread.join();
        }
        drop(self.executor.take());
    }
}

impl Spawner {
    /// Starts a piece of work, unless the engine has ended.
    pub fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(work).detach();
        }
    }
}

/// The lock's content, also where a thread has panicked with it: what is logged stays worth reading.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits.
pub async fn pause(span: Duration) {
    Timer::after(span).await;
}

/// What the work gives; none where it takes longer.
pub async fn within<T>(span: Duration, work: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        pause(span).await;
        None
    })
    .await
}

/// Sees to it that the connection ends with a reset.
pub fn reset_at_end(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}

/// Asks until the answer is there or patience ends; for conditions that come about by themselves.
pub fn until<T>(patience: Duration, mut ask: impl FnMut() -> Option<T>) -> Option<T> {
    let end = Instant::now() + patience;
    loop {
        if let Some(answer) = ask() {
            return Some(answer);
        }
        if Instant::now() >= end {
            return None;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}
