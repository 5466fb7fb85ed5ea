//! Processes of the program: started with a file of their own, stalled, killed, started again.
use crate::engine::{lock, until, Clock};
pub use crate::outages::Outage;
use crate::outages::Outages;
use rustix::process::{kill_process, Pid, Signal};
use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The most lines that are kept of one front.
const LINES: usize = 100_000;

/// Lines of standard error with the time at which they came.
pub type Lines = Arc<Mutex<Vec<(Duration, String)>>>;

/// A front.
pub struct Front {
    /// Its name.
    pub name: String,
    /// Where clients reach it.
    pub listen: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// The folder that holds what it keeps, its `TMPDIR` too.
    pub state: PathBuf,
    program: PathBuf,
    file: PathBuf,
    clock: Clock,
    child: Option<Child>,
    stalled: bool,
    lines: Lines,
    outages: Outages,
    crashes: Vec<String>,
}

impl Front {
    /// A front that is not started yet; its file is written.
    pub fn new(
        name: &str,
        (listen, admin): (SocketAddr, SocketAddr),
        (program, folder): (&Path, &Path),
        text: &str,
        clock: Clock,
    ) -> io::Result<Front> {
        let state = folder.join(format!("{name}-state"));
        std::fs::create_dir_all(&state)?;
        let file = folder.join(format!("{name}.toml"));
        std::fs::write(&file, text)?;
        Ok(Front {
            name: name.into(),
            listen,
            admin,
            state,
            program: program.into(),
            file,
            clock,
            child: None,
            stalled: false,
            lines: Lines::default(),
            outages: Outages::default(),
            crashes: Vec::new(),
        })
    }

    /// Starts the process; an error where one runs.
    pub fn start(&mut self) -> io::Result<()> {
        if self.running() {
            return Err(io::Error::new(io::ErrorKind::AlreadyExists, format!("{} runs", self.name)));
        }
        let mut command = Command::new(&self.program);
        for key in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_ADMIN"] {
            command.env_remove(key);
        }
        command.env("GW_CONFIG", &self.file).env("TMPDIR", &self.state).current_dir(&self.state);
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn()?;
        if let Some(pipe) = child.stderr.take() {
            let (lines, clock) = (self.lines.clone(), self.clock.clone());
            std::thread::spawn(move || gather(pipe, &lines, &clock));
        }
        self.child = Some(child);
        self.outages.await_answer(self.listen, self.clock.clone());
        Ok(())
    }

    /// Waits until it has answered `PING`; an error where it has ended, or does not in time.
    pub fn ready(&mut self, patience: Duration) -> io::Result<()> {
        let answers = until(patience, || {
            let ended = !self.running();
            (ended || self.outages.answers()).then_some(!ended)
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

    /// Whether the process is there, be it stalled.
    pub fn running(&mut self) -> bool {
        match self.child.as_mut().map(Child::try_wait) {
            Some(Ok(None)) => true,
            Some(ended) => {
                let now = self.clock.now();
                self.crashes.push(format!(
                    "{:.3} {} ended by itself: {ended:?}",
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

    /// Signals the process. Only a child that has not been waited for is signalled: its id can't be another's.
    pub fn signal(&mut self, signal: Signal) -> io::Result<()> {
        match &self.child {
            Some(child) => Ok(kill_process(Pid::from_child(child), signal)?),
            None => Err(io::Error::new(io::ErrorKind::NotFound, format!("{} does not run", self.name))),
        }
    }

    /// Stalls the process.
    pub fn stall(&mut self) -> io::Result<()> {
        if !self.stalled {
            self.outages.begin(self.clock.now(), false);
            self.signal(Signal::STOP)?;
            self.stalled = true;
        }
        Ok(())
    }

    /// Lets a stalled process go on.
    pub fn go_on(&mut self) -> io::Result<()> {
        if std::mem::take(&mut self.stalled) {
            self.signal(Signal::CONT)?;
            self.outages.goes_on(self.clock.now());
        }
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.running();
        if let Some(mut child) = self.child.take() {
            self.outages.begin(self.clock.now(), true);
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::mem::take(&mut self.stalled) {
            self.outages.goes_on(self.clock.now());
        }
    }

    /// Asks the process to end (SIGTERM) and waits for it; gives its exit code. Killed where patience ends.
    pub fn terminate(&mut self, patience: Duration) -> io::Result<Option<i32>> {
        self.go_on()?;
        self.outages.begin(self.clock.now(), true);
        self.signal(Signal::TERM)?;
        let status = until(patience, || self.child.as_mut().and_then(|c| c.try_wait().ok().flatten()));
        match status {
            Some(_) => self.child = None,
            None => self.kill(),
        }
        Ok(status.and_then(|s| s.code()))
    }

    /// Starts the process again, with what it had kept or without.
    pub fn restart(&mut self, keep: bool) -> io::Result<()> {
        self.kill();
        if !keep {
            std::fs::remove_dir_all(&self.state)?;
            std::fs::create_dir_all(&self.state)?;
        }
        self.start()
    }

    /// Writes another file; the process reads it at SIGHUP or its next start.
    pub fn rewrite(&self, text: &str) -> io::Result<()> {
        std::fs::write(&self.file, text)
    }

    /// Its lines so far, of all its processes.
    pub fn lines(&self) -> Vec<(Duration, String)> {
        lock(&self.lines).clone()
    }

    /// Ends of its processes that nobody had asked for.
    pub fn crashes(&mut self) -> Vec<String> {
        self.running();
        self.crashes.clone()
    }

    /// Times in which it did not run or not yet serve.
    pub fn outages(&self) -> Vec<Outage> {
        self.outages.all()
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        self.kill();
    }
}

fn gather(pipe: impl Read, lines: &Lines, clock: &Clock) {
    for line in BufReader::new(pipe).split(b'\n').map_while(Result::ok) {
        let line = String::from_utf8_lossy(&line).into_owned();
        if std::env::var_os("RIG_LINES").is_some() {
            eprintln!("          {line}");
        }
        let mut lines = lock(lines);
        // Read on at the bound: a program whose lines nobody reads stands still.
        if lines.len() < LINES {
            lines.push((clock.now(), line));
        }
    }
}
