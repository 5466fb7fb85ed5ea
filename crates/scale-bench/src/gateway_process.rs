//! The gateway as a process with a file of many backends: memory and processor time as `/proc` reports them.
use crate::child_process::KillOnDrop;
use crate::generated_config::{self, FileFormat};
use crate::plan::Deadline;
use crate::quantiles::Quantiles;
use crate::{memory, Error, Plan, Run};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

/// Number of reloads in a run, each after one entry has changed.
const RELOADS: u32 = 10;
/// Interval between checks whether the gateway answers.
const CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// A process that has taken no processor time for this long has finished its work.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// The most processor time that a process takes in that interval while it is idle, in microseconds.
const MAX_IDLE_CPU_US: f64 = 500.0;
/// Time for which a gateway is left idle to measure its processor time at rest.
const REST_PERIOD: Duration = Duration::from_secs(2);

/// The program to run, and the file formats to vary.
#[derive(Clone, Debug)]
pub struct Options {
    /// The gateway program.
    pub gateway: PathBuf,
    /// The formats of its file.
    pub formats: Vec<FileFormat>,
}

/// A running gateway; it is killed when dropped.
pub struct GatewayProcess {
    process: KillOnDrop,
    /// The address at which it accepts clients.
    pub listen: SocketAddr,
    config_path: PathBuf,
    output: Receiver<String>,
    /// Time from its start until it answered.
    pub startup_time: Duration,
    _directory: tempfile::TempDir,
}

/// Returns a loopback address with a port that is free now.
fn free_address() -> Result<SocketAddr, Error> {
    let bind_any = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr();
    bind_any().map_err(Error::io("loopback"))
}

impl GatewayProcess {
    /// Starts the program with a configuration file that `text` returns for its listen address, and waits until it
    /// answers.
    pub fn start(
        program: &Path,
        format: FileFormat,
        text: impl Fn(SocketAddr) -> Result<String, Error>,
        deadline: Deadline,
    ) -> Result<GatewayProcess, Error> {
        let directory = tempfile::tempdir().map_err(Error::io("a temporary directory"))?;
        let (config_path, listen) =
            (directory.path().join(format!("front.{}", format.extension())), free_address()?);
        std::fs::write(&config_path, text(listen)?).map_err(Error::io(&config_path))?;
        let mut command = Command::new(program);
        for key in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_ADMIN", "TMPDIR"] {
            command.env_remove(key);
        }
        command
            .env("GW_CONFIG", &config_path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let started_at = Instant::now();
        let mut process = KillOnDrop(command.spawn().map_err(Error::io(program))?);
        let (sender, output) = channel();
        if let Some(pipe) = process.0.stderr.take() {
            std::thread::spawn(move || {
                BufReader::new(pipe).lines().map_while(Result::ok).try_for_each(|line| sender.send(line))
            });
        }
        while !answers_ping(listen) {
            if deadline.has_passed() || process.0.try_wait().map_err(Error::io(program))?.is_some() {
                let lines: Vec<String> = output.try_iter().collect();
                return Err(Error::component("gateway", format!("it does not answer: {lines:?}")));
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
        Ok(GatewayProcess {
            process,
            listen,
            config_path,
            output,
            startup_time: started_at.elapsed(),
            _directory: directory,
        })
    }

    fn proc_path(&self, file: &str) -> String {
        format!("/proc/{}/{file}", self.process.0.id())
    }

    /// Microseconds of processor time that all its threads have taken, as the kernel's scheduler counts it. Threads
    /// that have ended are not included.
    pub fn cpu_us(&self) -> Result<f64, Error> {
        let tasks = self.proc_path("task");
        let threads = std::fs::read_dir(&tasks).map_err(Error::io(&tasks))?;
        let time = |thread: std::fs::DirEntry| -> Option<f64> {
            let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
            text.split_whitespace().next()?.parse().ok()
        };
        let nanos: Option<f64> = threads.flatten().map(time).sum();
        nanos.map(|n| n / 1e3).ok_or_else(|| Error::component("gateway", "a thread has no schedstat"))
    }

    /// Processor time of the whole process in clock ticks, converted to microseconds: coarse, but
    /// including threads that have ended.
    pub fn ticks_us(&self) -> Result<f64, Error> {
        let path = self.proc_path("stat");
        let text = std::fs::read_to_string(&path).map_err(Error::io(&path))?;
        let after = text.rsplit_once(')').map_or("", |(_, rest)| rest);
        let stat_field = |n: usize| after.split_whitespace().nth(n).and_then(|t| t.parse::<f64>().ok());
        let ticks = stat_field(11).zip(stat_field(12)).map(|(user, system)| user + system);
        let ticks =
            ticks.ok_or_else(|| Error::component("gateway", "no processor times in its stat file"))?;
        Ok(ticks * 1e6 / rustix::param::clock_ticks_per_second() as f64)
    }

    /// Returns the current and the peak resident bytes.
    pub fn resident_bytes(&self) -> Result<(f64, f64), Error> {
        let path = self.proc_path("status");
        Ok((memory::status_bytes(&path, "VmRSS")? as f64, memory::peak_resident_bytes(&path)? as f64))
    }

    /// Waits until the process is idle; returns the processor time taken by then.
    pub fn wait_idle(&self, deadline: Deadline) -> Result<f64, Error> {
        let mut before = self.cpu_us()?;
        loop {
            std::thread::sleep(IDLE_CHECK_INTERVAL);
            let now = self.cpu_us()?;
            if now - before < MAX_IDLE_CPU_US {
                return Ok(now);
            }
            if deadline.has_passed() {
                return Err(Error::component("gateway", "it does not become idle"));
            }
            before = now;
        }
    }

    /// Writes another file and signals a reload. Returns the time until the gateway logged the reload, and the
    /// processor time until it was idle.
    fn reload(&self, text: String, deadline: Deadline) -> Result<(Duration, f64), Error> {
        std::fs::write(&self.config_path, text).map_err(Error::io(&self.config_path))?;
        while self.output.try_recv().is_ok() {}
        let (before, started_at) = (self.cpu_us()?, Instant::now());
        let process = Pid::from_child(&self.process.0);
        kill_process(process, Signal::HUP).map_err(|e| Error::component("gateway", e))?;
        let line =
            self.output.recv_timeout(deadline.remaining()).map_err(|e| Error::component("gateway", e))?;
        let took = started_at.elapsed();
        if !line.starts_with("reload discovery") {
            return Err(Error::component("gateway", format!("unexpected log line {line:?}")));
        }
        Ok((took, self.wait_idle(deadline)? - before))
    }
}

/// Whether a gateway answers PING at this address.
fn answers_ping(listen: SocketAddr) -> bool {
    let ping = || -> std::io::Result<bool> {
        let mut stream = TcpStream::connect(listen)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
        let mut reply = [0; 7];
        stream.read_exact(&mut reply)?;
        Ok(reply == *b"+PONG\r\n")
    };
    ping().unwrap_or(false)
}

/// Measures each size in each format.
pub fn measure(plan: &Plan, options: &Options) -> Result<Vec<Run>, Error> {
    let mut runs = Vec::new();
    for run_key in plan.runs() {
        for format in &options.formats {
            let mut run = Run::new(format.extension(), run_key);
            if let Err(e) = measure_phases(plan, options, *format, &mut run) {
                run.mark_incomplete(e.to_string());
            }
            runs.push(run.log_finished());
        }
    }
    Ok(runs)
}

fn measure_phases(plan: &Plan, options: &Options, format: FileFormat, run: &mut Run) -> Result<(), Error> {
    let (size, deadline, mut rng) = (run.size, plan.deadline(), SmallRng::seed_from_u64(run.seed));
    let text = |listen| generated_config::config_text(format, listen, size, None);
    let gateway = GatewayProcess::start(&options.gateway, format, text, deadline)?;
    run.record("start_ms", gateway.startup_time.as_secs_f64() * 1e3);
    let started = gateway.wait_idle(deadline)?;
    let (resident, peak) = gateway.resident_bytes()?;
    run.record("start_cpu_us", started);
    run.record("start_resident_bytes", resident);
    run.record("start_peak_bytes", peak);
    std::thread::sleep(REST_PERIOD);
    run.record("rest_cpu_us_s", (gateway.cpu_us()? - started) / REST_PERIOD.as_secs_f64());
    let (ticks, mut cpu, mut logged) = (gateway.ticks_us()?, Quantiles::new()?, Quantiles::new()?);
    for _ in 0..RELOADS {
        let moved_index = rng.random_range(0..size);
        let (took, cpu_us) = gateway.reload(
            generated_config::config_text(format, gateway.listen, size, Some(moved_index))?,
            deadline,
        )?;
        logged.record(took.as_secs_f64() * 1e3);
        cpu.record(cpu_us);
    }
    cpu.record_in("reload_cpu", "us", run);
    logged.record_in("reload_told", "ms", run);
    run.record("reload_ticks_mean_us", (gateway.ticks_us()? - ticks) / f64::from(RELOADS));
    let (resident, peak) = gateway.resident_bytes()?;
    run.record("reloaded_resident_bytes", resident);
    run.record("reloaded_peak_bytes", peak);
    Ok(())
}
