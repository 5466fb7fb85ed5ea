//! The program with a file of many boxes, as a process: memory and processor time as `/proc` tells them.
use crate::files::{self, Form};
use crate::plan::Bound;
use crate::process::Owned;
use crate::quantiles::Quantiles;
use crate::{memory, Error, Plan, Play};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Reloads of a play, each after one entry has changed.
const RELOADS: u32 = 10;
/// Between two looks.
const LOOK: Duration = Duration::from_millis(1);
/// A process that has taken no processor time for this long has done what it had to.
const STILL: Duration = Duration::from_millis(60);
/// The most processor time that a process takes in that time while it has nothing to do, in microseconds.
const IDLE: f64 = 500.0;
/// For how long a front is left alone, to see what it takes at rest.
const REST: Duration = Duration::from_secs(2);

/// What is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub front: PathBuf,
    /// The forms of its file.
    pub forms: Vec<Form>,
}

/// A front that runs; it is ended when dropped.
pub struct Front {
    process: Owned,
    /// Where its clients connect.
    pub listen: SocketAddr,
    file: PathBuf,
    said: Receiver<String>,
    /// From its start until it answered.
    pub starting: Duration,
    _folder: tempfile::TempDir,
}

/// An address that nobody listens at now.
fn free_address() -> Result<SocketAddr, Error> {
    let free = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr();
    free().map_err(Error::io("loopback"))
}

impl Front {
    /// Starts the program with a file of that text, which is told where it is to listen; waits until it answers.
    pub fn start(
        program: &Path,
        form: Form,
        text: impl Fn(SocketAddr) -> Result<String, Error>,
        bound: Bound,
    ) -> Result<Front, Error> {
        let folder = tempfile::tempdir().map_err(Error::io("a temporary folder"))?;
        let (file, listen) = (folder.path().join(format!("front.{}", form.ending())), free_address()?);
        std::fs::write(&file, text(listen)?).map_err(Error::io(&file))?;
        let mut command = Command::new(program);
        for key in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_ADMIN", "TMPDIR"] {
            command.env_remove(key);
        }
        command.env("GW_CONFIG", &file).stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let begun = Instant::now();
        let mut process = Owned(command.spawn().map_err(Error::io(program))?);
        let (tell, said) = channel();
        if let Some(pipe) = process.0.stderr.take() {
            std::thread::spawn(move || {
                BufReader::new(pipe).lines().map_while(Result::ok).try_for_each(|line| tell.send(line))
            });
        }
        while !answers(listen) {
            if bound.passed() || process.0.try_wait().map_err(Error::io(program))?.is_some() {
                let last: Vec<String> = said.try_iter().collect();
                return Err(Error::part("front", format!("it does not answer: {last:?}")));
            }
            std::thread::sleep(LOOK);
        }
        Ok(Front { process, listen, file, said, starting: begun.elapsed(), _folder: folder })
    }

    fn proc(&self, file: &str) -> String {
        format!("/proc/{}/{file}", self.process.0.id())
    }

    /// Microseconds of processor time that all its threads have taken, as the scheduler counts them; threads that have
    /// ended are not among them.
    pub fn cpu_us(&self) -> Result<f64, Error> {
        let tasks = self.proc("task");
        let threads = std::fs::read_dir(&tasks).map_err(Error::io(&tasks))?;
        let time = |thread: std::fs::DirEntry| -> Option<f64> {
            let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
            text.split_whitespace().next()?.parse().ok()
        };
        let nanos: Option<f64> = threads.flatten().map(time).sum();
        nanos.map(|n| n / 1e3).ok_or_else(|| Error::part("front", "no schedstat for a thread of it"))
    }

    /// Clock ticks of processor time of the whole process, in microseconds: coarse, but of all threads that ever were.
    pub fn ticks_us(&self) -> Result<f64, Error> {
        let path = self.proc("stat");
        let text = std::fs::read_to_string(&path).map_err(Error::io(&path))?;
        let after = text.rsplit_once(')').map_or("", |(_, rest)| rest);
        let of = |n: usize| after.split_whitespace().nth(n).and_then(|t| t.parse::<f64>().ok());
        let ticks = of(11).zip(of(12)).map(|(user, system)| user + system);
        let ticks = ticks.ok_or_else(|| Error::part("front", "no times in its stat"))?;
        Ok(ticks * 1e6 / rustix::param::clock_ticks_per_second() as f64)
    }

    /// Resident bytes, now and at the most.
    pub fn resident(&self) -> Result<(f64, f64), Error> {
        let path = self.proc("status");
        Ok((memory::kilobytes(&path, "VmRSS")? as f64, memory::peak(&path)? as f64))
    }

    /// Waits until it does nothing any more; the processor time that it has taken by then.
    pub fn still(&self, bound: Bound) -> Result<f64, Error> {
        let mut before = self.cpu_us()?;
        loop {
            std::thread::sleep(STILL);
            let now = self.cpu_us()?;
            if now - before < IDLE {
                return Ok(now);
            }
            if bound.passed() {
                return Err(Error::part("front", "it does not come to rest"));
            }
            before = now;
        }
    }

    /// Puts another file in force; how long it took until the front said so, and the processor time until it was still.
    fn reload(&self, text: String, bound: Bound) -> Result<(Duration, f64), Error> {
        std::fs::write(&self.file, text).map_err(Error::io(&self.file))?;
        while self.said.try_recv().is_ok() {}
        let (before, begun) = (self.cpu_us()?, Instant::now());
        let process = Pid::from_child(&self.process.0);
        kill_process(process, Signal::HUP).map_err(|e| Error::part("front", e))?;
        let line = self.said.recv_timeout(bound.left()).map_err(|e| Error::part("front", e))?;
        let took = begun.elapsed();
        if !line.starts_with("reload discovery") {
            return Err(Error::part("front", format!("it said {line:?}")));
        }
        Ok((took, self.still(bound)? - before))
    }
}

/// Whether a front answers there.
fn answers(listen: SocketAddr) -> bool {
    let ask = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect(listen)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
        let mut got = [0; 7];
        stream.read_exact(&mut got)?;
        Ok(got == *b"+PONG\r\n")
    };
    ask().unwrap_or(false)
}

/// Measures each size in each form.
pub fn run(plan: &Plan, options: &Options) -> Result<Vec<Play>, Error> {
    let mut plays = Vec::new();
    for at in plan.plays() {
        for form in &options.forms {
            let mut play = Play::new(form.ending(), at);
            if let Err(e) = scenes(plan, options, *form, &mut play) {
                play.partial(e.to_string());
            }
            plays.push(play.done());
        }
    }
    Ok(plays)
}

fn scenes(plan: &Plan, options: &Options, form: Form, play: &mut Play) -> Result<(), Error> {
    let (size, bound, mut rng) = (play.size, plan.bound(), SmallRng::seed_from_u64(play.seed));
    let text = |listen| files::text(form, listen, size, None);
    let front = Front::start(&options.front, form, text, bound)?;
    play.put("start_ms", front.starting.as_secs_f64() * 1e3);
    let started = front.still(bound)?;
    let (resident, peak) = front.resident()?;
    play.put("start_cpu_us", started);
    play.put("start_resident_bytes", resident);
    play.put("start_peak_bytes", peak);
    std::thread::sleep(REST);
    play.put("rest_cpu_us_s", (front.cpu_us()? - started) / REST.as_secs_f64());
    let (ticks, mut cpu, mut told) = (front.ticks_us()?, Quantiles::new()?, Quantiles::new()?);
    for _ in 0..RELOADS {
        let moved = rng.random_range(0..size);
        let (took, spent) = front.reload(files::text(form, front.listen, size, Some(moved))?, bound)?;
        told.record(took.as_secs_f64() * 1e3);
        cpu.record(spent);
    }
    cpu.put("reload_cpu", "us", play);
    told.put("reload_told", "ms", play);
    play.put("reload_ticks_mean_us", (front.ticks_us()? - ticks) / f64::from(RELOADS));
    let (resident, peak) = front.resident()?;
    play.put("reloaded_resident_bytes", resident);
    play.put("reloaded_peak_bytes", peak);
    Ok(())
}
