//! The thread that runs all fake servers and links, and the clock that orders what they log.
use crate::loopback::LoopbackNetwork;
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

/// Time since the start of the run, and one sequence of numbers for everything that is logged in it.
#[derive(Clone, Debug)]
pub struct Clock {
    origin: Instant,
    sequence: Arc<AtomicU64>,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { origin: Instant::now(), sequence: Arc::default() }
    }
}

impl Clock {
    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// The instant at which that time is reached.
    pub fn instant(&self, elapsed: Duration) -> Instant {
        self.origin + elapsed
    }

    /// The next sequence number.
    pub fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::SeqCst)
    }

    /// Unix time in milliseconds at that time.
    pub fn unix_ms(&self, elapsed: Duration) -> u64 {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let ms = (unix + elapsed).saturating_sub(self.now()).as_millis();
        u64::try_from(ms).unwrap_or(u64::MAX)
    }
}

/// A time in which this machine did not run a thread that was ready, or in which the runtime's thread was
/// behind with its work.
pub type MachineStall = (Duration, Duration);

/// Interval of the sampler, and the lateness from which on a sample counts as a stall.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
const STALL_THRESHOLD: Duration = Duration::from_millis(25);

/// The thread that runs all tasks. Dropping it ends the tasks and closes their sockets.
pub struct Runtime {
    clock: Clock,
    machine_stalls: Arc<Mutex<Vec<MachineStall>>>,
    sampler: Option<JoinHandle<()>>,
    executor: Option<Arc<Executor<'static>>>,
    stop: Option<async_channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
    /// Dropped last: nothing else may use the addresses while a task listens on them.
    _network: LoopbackNetwork,
}

/// Starts tasks on the runtime's thread without keeping the runtime alive.
#[derive(Clone)]
pub struct Spawner(Weak<Executor<'static>>);

impl Runtime {
    /// Starts the thread. Its tasks listen on addresses of that network.
    pub fn start(network: &LoopbackNetwork) -> io::Result<Runtime> {
        let clock = Clock::default();
        let executor = Arc::new(Executor::new());
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let thread_executor = executor.clone();
        let thread = std::thread::Builder::new().name("cluster-runtime".into()).spawn(move || {
            let _ = async_io::block_on(thread_executor.run(stopped.recv()));
        })?;
        let machine_stalls: Arc<Mutex<Vec<MachineStall>>> = Arc::default();
        let (stalls, ended, sample_clock) = (machine_stalls.clone(), stop.clone(), clock.clone());
        let sampler = std::thread::Builder::new().name("stall-sampler".into()).spawn(move || {
            while !ended.is_closed() {
                let before = sample_clock.now();
                std::thread::sleep(SAMPLE_INTERVAL);
                if sample_clock.now() - before > STALL_THRESHOLD {
                    lock(&stalls).push((before, sample_clock.now()));
                }
            }
        })?;
        let sampler = Some(sampler);
        // The runtime's thread may be late although the machine is not: because it has too much to do.
        let (stalls, sample_clock) = (machine_stalls.clone(), clock.clone());
        let measure_lateness = async move {
            loop {
                let before = sample_clock.now();
                Timer::after(SAMPLE_INTERVAL).await;
                if sample_clock.now() - before > STALL_THRESHOLD {
                    lock(&stalls).push((before, sample_clock.now()));
                }
            }
        };
        executor.spawn(measure_lateness).detach();
        Ok(Runtime {
            _network: network.clone(),
            clock,
            machine_stalls,
            sampler,
            executor: Some(executor),
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// The clock of all its tasks.
    pub fn clock(&self) -> Clock {
        self.clock.clone()
    }

    /// Times in which this machine stalled. Checks on durations allow for them.
    pub fn machine_stalls(&self) -> Vec<MachineStall> {
        lock(&self.machine_stalls).clone()
    }

    /// A handle that starts tasks on the runtime's thread.
    pub fn spawner(&self) -> Spawner {
        Spawner(self.executor.as_ref().map(Arc::downgrade).unwrap_or_default())
    }
}

impl Drop for Runtime {
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
    /// Starts a task, unless the runtime has ended.
    pub fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(work).detach();
        }
    }
}

/// Locks a mutex, also if a thread panicked while it held the lock: what it had logged is still of use.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sleeps.
pub async fn sleep(duration: Duration) {
    Timer::after(duration).await;
}

/// The output of the future, or none if it takes longer than the duration.
pub async fn with_timeout<T>(duration: Duration, work: impl Future<Output = T>) -> Option<T> {
    future::or(async { Some(work.await) }, async {
        sleep(duration).await;
        None
    })
    .await
}

/// Makes the connection end with a reset when it is closed.
pub fn reset_on_close(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}

/// Polls a condition until it returns a value or the timeout passes.
pub fn poll_until<T>(timeout: Duration, mut poll: impl FnMut() -> Option<T>) -> Option<T> {
    let end = Instant::now() + timeout;
    loop {
        if let Some(answer) = poll() {
            return Some(answer);
        }
        if Instant::now() >= end {
            return None;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}
