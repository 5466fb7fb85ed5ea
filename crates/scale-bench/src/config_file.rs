//! A configuration file with many backends: read, checked and applied by the code that the gateway runs on
//! SIGHUP.
use crate::generated_config::{config_text, FileFormat};
use crate::memory::MemoryUsage;
use crate::quantiles::Quantiles;
use crate::{cpu_time, memory, Error, Plan, Run};
use config::Config;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use scheduler::interface::{Action, EndpointUpdate, Event, Micros};
use scheduler::Scheduler;
use std::net::{Ipv4Addr, SocketAddr};
use tempfile::NamedTempFile;

/// Number of reloads in a run, each after one entry has changed.
const RELOADS: u32 = 10;

/// Clock advance between two reloads, in microseconds of the scheduler's clock.
const CLOCK_STEP_US: i64 = 1_000_000;

/// Parameters varied besides the size.
#[derive(Clone, Debug)]
pub struct Options {
    /// The formats of the file.
    pub formats: Vec<FileFormat>,
}

/// A configuration file on disk, with the configuration and scheduler made from it.
struct LoadedConfig {
    file: NamedTempFile,
    format: FileFormat,
    size: u64,
    config: Config,
    scheduler: Scheduler,
    now: i64,
}

impl LoadedConfig {
    fn start(format: FileFormat, size: u64, seed: u64) -> Result<(LoadedConfig, f64), Error> {
        let suffix = format!(".{}", format.extension());
        let file =
            tempfile::Builder::new().suffix(&suffix).tempfile().map_err(Error::io("a temporary file"))?;
        write_config(&file, format, size, None)?;
        let (config, took) = cpu_time::measure(|| config::from_env(|key| env_variable(&file, key)));
        let config = config.map_err(|e| Error::component("config", e))?;
        let scheduler =
            Scheduler::new(config.settings.clone(), seed).map_err(|e| Error::component("scheduler", e))?;
        let mut loaded = LoadedConfig { file, format, size, config, scheduler, now: CLOCK_STEP_US };
        loaded.apply_backend_list();
        Ok((loaded, took))
    }

    /// Applies the loaded backend list.
    fn apply_backend_list(&mut self) {
        let entries = self.config.known.targets.iter().map(|t| t.entry.clone()).collect();
        let mut actions: Vec<Action> = Vec::new();
        self.scheduler.handle(
            Micros(self.now),
            Event::Endpoints(EndpointUpdate::Full(entries)),
            &mut actions,
        );
    }

    /// Changes one entry and reloads the file. Returns the processor time of reading and of applying it.
    fn reload(&mut self, moved_index: u64) -> Result<(f64, f64), Error> {
        write_config(&self.file, self.format, self.size, Some(moved_index))?;
        self.now += CLOCK_STEP_US;
        let (config, file) = (&self.config, &self.file);
        let (read, reading) = cpu_time::measure(|| config.reload(|key| env_variable(file, key)));
        let new = read.map_err(|e| Error::component("config", e))?.config;
        let (applied, applying) = cpu_time::measure(|| {
            let reloaded = self.scheduler.reload(Micros(self.now), new.settings.clone());
            self.config = new;
            self.apply_backend_list();
            reloaded
        });
        applied.map_err(|e| Error::component("scheduler", e))?;
        Ok((reading, applying))
    }
}

fn write_config(
    file: &NamedTempFile,
    format: FileFormat,
    size: u64,
    moved_index: Option<u64>,
) -> Result<(), Error> {
    let listen: SocketAddr = (Ipv4Addr::LOCALHOST, 6379).into();
    std::fs::write(file.path(), config_text(format, listen, size, moved_index)?)
        .map_err(Error::io("a temporary file"))
}

fn env_variable(file: &NamedTempFile, key: &str) -> Option<String> {
    (key == "GW_CONFIG").then(|| file.path().to_string_lossy().into_owned())
}

/// Measures the memory of a loaded file in this process, after the given number of reloads.
pub fn measure_memory(format: FileFormat, size: u64, reloads: u32) -> Result<MemoryUsage, Error> {
    MemoryUsage::measure(|| {
        let (mut loaded, _) = LoadedConfig::start(format, size, 0)?;
        for n in 0..reloads {
            loaded.reload(u64::from(n) % size)?;
        }
        Ok(loaded)
    })
}

/// Measures each size in each format.
pub fn measure(plan: &Plan, options: &Options) -> Result<Vec<Run>, Error> {
    let mut runs = Vec::new();
    for run_key in plan.runs() {
        for format in &options.formats {
            let mut run = measure_run(plan, *format, run_key)?;
            let (size, reloads) = (run_key.0.to_string(), RELOADS.to_string());
            let args = ["file", "--size", &size, "--form", format.extension(), "--reloads", &reloads];
            memory::record_in_child(plan, &args.map(String::from), &mut run);
            runs.push(run.log_finished());
        }
    }
    Ok(runs)
}

fn measure_run(plan: &Plan, format: FileFormat, run_key: (u64, u32, u64)) -> Result<Run, Error> {
    let (size, _, seed) = run_key;
    let (deadline, mut rng) = (plan.deadline(), SmallRng::seed_from_u64(seed));
    let mut run = Run::new(format.extension(), run_key);
    let (mut loaded, first_read_us) = LoadedConfig::start(format, size, seed)?;
    let bytes = std::fs::metadata(loaded.file.path()).map_err(Error::io("a temporary file"))?.len();
    run.record("file_bytes", bytes as f64);
    run.record("first_read_us", first_read_us);
    let (mut reading, mut applying, mut total) = (Quantiles::new()?, Quantiles::new()?, Quantiles::new()?);
    for n in 0..RELOADS {
        if deadline.has_passed() {
            run.mark_incomplete(format!("{n} of {RELOADS} reloads within the time limit of a run"));
            break;
        }
        let (read, applied) = loaded.reload(rng.random_range(0..size))?;
        reading.record(read);
        applying.record(applied);
        total.record(read + applied);
    }
    reading.record_in("reload_read", "us", &mut run);
    applying.record_in("reload_apply", "us", &mut run);
    total.record_in("reload", "us", &mut run);
    run.record("known_nodes", loaded.scheduler.known_counts().backends as f64);
    Ok(run)
}
