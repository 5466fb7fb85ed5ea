//! Gateway processes: started with their own configuration file, stalled, killed and restarted.
pub use crate::outages::Outage;
use crate::outages::Outages;
use crate::runtime::{lock, poll_until, Clock};
use rustix::process::{kill_process, Pid, Signal};
use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Limit on the number of lines that are kept per gateway.
const MAX_LINES: usize = 100_000;

/// Lines of standard error, with the time at which each was read.
pub type Lines = Arc<Mutex<Vec<(Duration, String)>>>;

/// A gateway and its process.
pub struct GatewayProcess {
    /// Its name.
    pub name: String,
    /// Its address for clients.
    pub listen: SocketAddr,
    /// Its address for operators.
    pub admin: SocketAddr,
    /// The folder that holds its state and its `TMPDIR`.
    pub state_dir: PathBuf,
    program: PathBuf,
    config_file: PathBuf,
    clock: Clock,
    child: Option<Child>,
    is_stalled: bool,
    lines: Lines,
    outages: Outages,
    crashes: Vec<String>,
}

impl GatewayProcess {
    /// Writes the configuration file; does not start the process.
    pub fn new(
        name: &str,
        (listen, admin): (SocketAddr, SocketAddr),
        (program, folder): (&Path, &Path),
        config: &str,
        clock: Clock,
    ) -> io::Result<GatewayProcess> {
        let state_dir = folder.join(format!("{name}-state"));
        std::fs::create_dir_all(&state_dir)?;
        let config_file = folder.join(format!("{name}.toml"));
        std::fs::write(&config_file, config)?;
        Ok(GatewayProcess {
            name: name.into(),
            listen,
            admin,
            state_dir,
            program: program.into(),
            config_file,
            clock,
            child: None,
            is_stalled: false,
            lines: Lines::default(),
            outages: Outages::default(),
            crashes: Vec::new(),
        })
    }

    /// Starts the process; an error if it is already running.
    pub fn start(&mut self) -> io::Result<()> {
        if self.is_running() {
            return Err(io::Error::new(
                io::ErrorKind::AlreadyExists,
                format!("{} is already running", self.name),
            ));
        }
        let mut command = Command::new(&self.program);
        for key in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_ADMIN"] {
            command.env_remove(key);
        }
        command
            .env("GW_CONFIG", &self.config_file)
            .env("TMPDIR", &self.state_dir)
            .current_dir(&self.state_dir);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn()?;
        if let Some(pipe) = child.stderr.take() {
            let (lines, clock) = (self.lines.clone(), self.clock.clone());
            std::thread::spawn(move || collect_lines(pipe, &lines, &clock));
        }
        self.child = Some(child);
        self.outages.watch_for_answer(self.listen, self.clock.clone());
        Ok(())
    }

    /// Waits until the process has answered `PING`; an error if it exits or the timeout passes.
    pub fn wait_ready(&mut self, timeout: Duration) -> io::Result<()> {
        let answers = poll_until(timeout, || {
            let ended = !self.is_running();
            (ended || self.outages.has_answered()).then_some(!ended)
        });
        match answers {
            Some(true) => Ok(()),
            ended => {
                let what = if ended.is_some() { "has ended" } else { "does not answer" };
                let last: Vec<String> = self.lines().into_iter().rev().take(5).map(|l| l.1).collect();
                Err(io::Error::new(io::ErrorKind::TimedOut, format!("{} {what}: {last:?}", self.name)))
            }
        }
    }

    /// Whether the process exists; a stalled process counts as running.
    pub fn is_running(&mut self) -> bool {
        match self.child.as_mut().map(Child::try_wait) {
            Some(Ok(None)) => true,
            Some(ended) => {
                let now = self.clock.now();
                self.crashes.push(format!(
                    "{:.3} {} exited unasked: {ended:?}",
                    now.as_secs_f64(),
                    self.name
                ));
                self.outages.begin(now, true);
                self.child = None;
                false
            }
            None => false,
        }
    }

    /// Its process id.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Signals the process. Signals only a child that has not been reaped yet, so its id cannot belong to
    /// another process.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        match &self.child {
            Some(child) => Ok(kill_process(Pid::from_child(child), signal)?),
            None => Err(io::Error::new(io::ErrorKind::NotFound, format!("{} is not running", self.name))),
        }
    }

    /// Stalls the process (SIGSTOP).
    pub fn stall(&mut self) -> io::Result<()> {
        if !self.is_stalled {
            self.outages.begin(self.clock.now(), false);
            self.signal(Signal::STOP)?;
            self.is_stalled = true;
        }
        Ok(())
    }

    /// Resumes a stalled process (SIGCONT).
    pub fn resume(&mut self) -> io::Result<()> {
        if std::mem::take(&mut self.is_stalled) {
            self.signal(Signal::CONT)?;
            self.outages.end_stalls(self.clock.now());
        }
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.is_running();
        if let Some(mut child) = self.child.take() {
            self.outages.begin(self.clock.now(), true);
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::mem::take(&mut self.is_stalled) {
            self.outages.end_stalls(self.clock.now());
        }
    }

    /// Sends SIGTERM, waits for the process to exit, and returns its exit code. Kills the process after the
    /// timeout.
    pub fn terminate(&mut self, timeout: Duration) -> io::Result<Option<i32>> {
        self.resume()?;
        self.outages.begin(self.clock.now(), true);
        self.signal(Signal::TERM)?;
        let status = poll_until(timeout, || self.child.as_mut().and_then(|c| c.try_wait().ok().flatten()));
        match status {
            Some(_) => self.child = None,
            None => self.kill(),
        }
        Ok(status.and_then(|s| s.code()))
    }

    /// Restarts the process, with its state or without it.
    pub fn restart(&mut self, keep: bool) -> io::Result<()> {
        self.kill();
        if !keep {
            std::fs::remove_dir_all(&self.state_dir)?;
            std::fs::create_dir_all(&self.state_dir)?;
        }
        self.start()
    }

    /// Writes a new configuration file; the process reads it at SIGHUP or at its next start.
    pub fn rewrite_config(&self, config: &str) -> io::Result<()> {
        std::fs::write(&self.config_file, config)
    }

    /// Lines of standard error so far, of all its processes.
    pub fn lines(&self) -> Vec<(Duration, String)> {
        lock(&self.lines).clone()
    }

    /// Exits of its processes that no test asked for.
    pub fn crashes(&mut self) -> Vec<String> {
        self.is_running();
        self.crashes.clone()
    }

    /// Times in which it did not run or did not serve yet.
    pub fn outages(&self) -> Vec<Outage> {
        self.outages.all()
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn collect_lines(pipe: impl Read, lines: &Lines, clock: &Clock) {
    for line in BufReader::new(pipe).split(b'\n').map_while(Result::ok) {
        let line = String::from_utf8_lossy(&line).into_owned();
        if std::env::var_os("RIG_LINES").is_some() {
            eprintln!("          {line}");
        }
        let mut lines = lock(lines);
        // Keeps reading after the limit: the process would block on a full pipe.
        if lines.len() < MAX_LINES {
            lines.push((clock.now(), line));
        }
    }
}
