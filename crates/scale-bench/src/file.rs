//! A configuration file with many boxes: read, checked and put in force by the code that the program runs at SIGHUP.
use crate::files::{text, Form};
use crate::memory::Weight;
use crate::quantiles::Quantiles;
use crate::{cpu, memory, Error, Plan, Play};
use config::Config;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use scheduler::interface::{Action, EndpointUpdate, Event, Micros};
use scheduler::Scheduler;
use std::net::{Ipv4Addr, SocketAddr};
use tempfile::NamedTempFile;

/// Reloads of a play, each after one entry has changed.
const RELOADS: u32 = 10;

/// Between two reloads, in microseconds of the module's clock.
const STEP: i64 = 1_000_000;

/// What is varied besides the size.
#[derive(Clone, Debug)]
pub struct Options {
    /// The forms of the file.
    pub forms: Vec<Form>,
}

/// A file on disk, and what the program makes of it.
struct Held {
    file: NamedTempFile,
    form: Form,
    size: u64,
    config: Config,
    module: Scheduler,
    now: i64,
}

impl Held {
    fn start(form: Form, size: u64, seed: u64) -> Result<(Held, f64), Error> {
        let name = format!(".{}", form.ending());
        let file =
            tempfile::Builder::new().suffix(&name).tempfile().map_err(Error::io("a temporary file"))?;
        write(&file, form, size, None)?;
        let (config, took) = cpu::timed(|| config::from_env(|key| variable(&file, key)));
        let config = config.map_err(|e| Error::part("config", e))?;
        let module = Scheduler::new(config.settings.clone(), seed).map_err(|e| Error::part("module", e))?;
        let mut held = Held { file, form, size, config, module, now: STEP };
        held.tell();
        Ok((held, took))
    }

    /// Puts the list that is held in force.
    fn tell(&mut self) {
        let entries = self.config.known.targets.iter().map(|t| t.entry.clone()).collect();
        let mut actions: Vec<Action> = Vec::new();
        self.module.handle(Micros(self.now), Event::Endpoints(EndpointUpdate::Full(entries)), &mut actions);
    }

    /// One entry changes, and the file is read again: the processor time of reading and of putting it in force.
    fn reload(&mut self, moved: u64) -> Result<(f64, f64), Error> {
        write(&self.file, self.form, self.size, Some(moved))?;
        self.now += STEP;
        let (config, file) = (&self.config, &self.file);
        let (read, reading) = cpu::timed(|| config.reload(|key| variable(file, key)));
        let new = read.map_err(|e| Error::part("config", e))?.config;
        let (applied, applying) = cpu::timed(|| {
            let reloaded = self.module.reload(Micros(self.now), new.settings.clone());
            self.config = new;
            self.tell();
            reloaded
        });
        applied.map_err(|e| Error::part("module", e))?;
        Ok((reading, applying))
    }
}

fn write(file: &NamedTempFile, form: Form, size: u64, moved: Option<u64>) -> Result<(), Error> {
    let listen: SocketAddr = (Ipv4Addr::LOCALHOST, 6379).into();
    std::fs::write(file.path(), text(form, listen, size, moved)?).map_err(Error::io("a temporary file"))
}

fn variable(file: &NamedTempFile, key: &str) -> Option<String> {
    (key == "GW_CONFIG").then(|| file.path().to_string_lossy().into_owned())
}

/// Weighs a held file, in this process; after so many reloads.
pub fn weigh(form: Form, size: u64, reloads: u32) -> Result<Weight, Error> {
    Weight::of(|| {
        let (mut held, _) = Held::start(form, size, 0)?;
        for n in 0..reloads {
            held.reload(u64::from(n) % size)?;
        }
        Ok(held)
    })
}

/// Measures each size in each form.
pub fn run(plan: &Plan, options: &Options) -> Result<Vec<Play>, Error> {
    let mut plays = Vec::new();
    for at in plan.plays() {
        for form in &options.forms {
            let mut played = play(plan, *form, at)?;
            let (size, reloads) = (at.0.to_string(), RELOADS.to_string());
            let words = ["file", "--size", &size, "--form", form.ending(), "--reloads", &reloads];
            memory::put(plan, &words.map(String::from), &mut played);
            plays.push(played.done());
        }
    }
    Ok(plays)
}

fn play(plan: &Plan, form: Form, at: (u64, u32, u64)) -> Result<Play, Error> {
    let (size, _, seed) = at;
    let (bound, mut rng) = (plan.bound(), SmallRng::seed_from_u64(seed));
    let mut play = Play::new(form.ending(), at);
    let (mut held, first) = Held::start(form, size, seed)?;
    let bytes = std::fs::metadata(held.file.path()).map_err(Error::io("a temporary file"))?.len();
    play.put("file_bytes", bytes as f64);
    play.put("first_read_us", first);
    let (mut reading, mut applying, mut whole) = (Quantiles::new()?, Quantiles::new()?, Quantiles::new()?);
    for n in 0..RELOADS {
        if bound.passed() {
            play.partial(format!("{n} of {RELOADS} reloads in the time of a play"));
            break;
        }
        let (read, applied) = held.reload(rng.random_range(0..size))?;
        reading.record(read);
        applying.record(applied);
        whole.record(read + applied);
    }
    reading.put("reload_read", "us", &mut play);
    applying.put("reload_apply", "us", &mut play);
    whole.put("reload", "us", &mut play);
    play.put("known_nodes", held.module.known_counts().backends as f64);
    Ok(play)
}
