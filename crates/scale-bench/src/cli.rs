//! The command line.
use clap::{value_parser, Args, Parser, Subcommand};
use scale_bench::generated_config::FileFormat;
use std::path::PathBuf;

/// Measures how the costs of the project's components grow with their size.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// What to measure.
    #[command(subcommand)]
    pub measurement: Measurement,
}

/// Options common to all measurements.
#[derive(Debug, Args)]
pub struct Common {
    /// Number of runs of each size.
    #[arg(long = "plays", value_name = "PLAYS", default_value_t = 3,
        value_parser = value_parser!(u32).range(1..=1000))]
    pub runs: u32,
    /// The first run's seed; each run after it takes the next.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Sizes at which the lines are evaluated.
    #[arg(long = "at", value_name = "AT", value_delimiter = ',', default_value = "2300,23000")]
    pub predicted_sizes: Vec<u64>,
    /// Seconds that one run may take.
    #[arg(long = "play-s", value_name = "PLAY_S", default_value_t = 300,
        value_parser = value_parser!(u64).range(1..=3600))]
    pub run_limit_s: u64,
    /// Where to write all figures, as JSON; standard output by default.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Where to write a chart, as SVG.
    #[arg(long)]
    pub chart: Option<PathBuf>,
    /// The version that is measured, such as a commit.
    #[arg(long, env = "SCALE_REVISION", default_value = env!("CARGO_PKG_VERSION"))]
    pub revision: String,
}

/// The network of a simulation.
#[derive(Debug, Args)]
pub struct Network {
    /// The minimum and maximum delay in one direction, in milliseconds.
    #[arg(long, value_delimiter = ',', num_args = 1, default_value = "1,20")]
    pub delay_ms: Vec<u64>,
    /// Simulated seconds in which each phase of a run must converge.
    #[arg(long, default_value_t = 120, value_parser = value_parser!(u64).range(1..=3600))]
    pub settle_s: u64,
}

/// The measurements.
#[derive(Debug, Subcommand)]
pub enum Measurement {
    /// The scheduler with many backends and shards.
    #[command(name = "list")]
    Scheduler {
        /// Number of backends, each with one shard.
        #[arg(long, value_delimiter = ',', default_value = "100,1000,4000,8000,23000",
            value_parser = value_parser!(u64).range(1..=100_000))]
        sizes: Vec<u64>,
        /// Numbers of volumes with traffic.
        #[arg(long, value_delimiter = ',', default_value = "0,64,1000",
            value_parser = value_parser!(u32).range(0..=100_000))]
        volumes: Vec<u32>,
        /// Number of gateways that share the backends.
        #[arg(long = "hosts", value_name = "HOSTS", default_value_t = 2300,
            value_parser = value_parser!(u32).range(1..))]
        gateways: u32,
        /// Number of backends that drain and become ready again in a run, one after the other.
        #[arg(long, default_value_t = 100, value_parser = value_parser!(u32).range(1..))]
        changes: u32,
        #[command(flatten)]
        common: Common,
    },
    /// A configuration file with many backends.
    #[command(name = "file")]
    ConfigFile {
        /// Number of backends.
        #[arg(long, value_delimiter = ',', default_value = "100,1000,4000,8000,23000",
            value_parser = value_parser!(u64).range(1..=100_000))]
        sizes: Vec<u64>,
        /// Formats of the file.
        #[arg(long = "forms", value_name = "FORMS", value_delimiter = ',', default_value = "toml,json")]
        formats: Vec<FileFormat>,
        #[command(flatten)]
        common: Common,
    },
    /// Discovery's messages with many backends.
    #[command(name = "targets")]
    Discovery {
        /// Number of backends.
        #[arg(long, value_delimiter = ',', default_value = "100,1000,4000,8000,23000",
            value_parser = value_parser!(u64).range(1..=100_000))]
        sizes: Vec<u64>,
        #[command(flatten)]
        common: Common,
    },
    /// Membership of many gateways, in simulated time.
    #[command(name = "members")]
    Membership {
        /// Number of members.
        #[arg(long, value_delimiter = ',', default_value = "32,64,128,256,512",
            value_parser = value_parser!(u64).range(2..=1001))]
        sizes: Vec<u64>,
        /// Fraction of datagrams lost.
        #[arg(long, default_value_t = 0.01, value_parser = parse_fraction)]
        loss: f64,
        /// Maximum bytes per second that a member sends.
        #[arg(long, default_value_t = 16_384, value_parser = value_parser!(u64).range(1024..))]
        bytes_s: u64,
        /// Simulated seconds of the measured rest phase.
        #[arg(long, default_value_t = 60, value_parser = value_parser!(u64).range(1..=3600))]
        rest_s: u64,
        #[command(flatten)]
        network: Network,
        #[command(flatten)]
        common: Common,
    },
    /// The replicated log with many members, in simulated time.
    #[command(name = "log")]
    Consensus {
        /// Number of members.
        #[arg(long, value_delimiter = ',', default_value = "3,5,7,9,40,128",
            value_parser = value_parser!(u64).range(1..=512))]
        sizes: Vec<u64>,
        /// Entry sizes in bytes.
        #[arg(long, value_delimiter = ',', default_value = "100,1000",
            value_parser = value_parser!(u64).range(0..=65_536))]
        entry_bytes: Vec<u64>,
        /// Number of entries in a run, one after the other.
        #[arg(long, default_value_t = 50, value_parser = value_parser!(u32).range(1..=100_000))]
        entries: u32,
        /// The minimum and maximum time that a write takes, in microseconds.
        #[arg(long, value_delimiter = ',', num_args = 1, default_value = "500,3000")]
        disk_us: Vec<u64>,
        /// Simulated seconds of the measured idle phase, without entries.
        #[arg(long, default_value_t = 10, value_parser = value_parser!(u64).range(1..=3600))]
        idle_s: u64,
        #[command(flatten)]
        network: Network,
        #[command(flatten)]
        common: Common,
    },
    /// The gateway, as a process, with a file of many backends.
    #[command(name = "front")]
    Gateway {
        /// Number of backends.
        #[arg(long, value_delimiter = ',', default_value = "100,1000,4000,8000,23000",
            value_parser = value_parser!(u64).range(1..=100_000))]
        sizes: Vec<u64>,
        /// The gateway program; by default the one in the directory of this tool.
        #[arg(long = "front", value_name = "FRONT")]
        gateway: Option<PathBuf>,
        /// Formats of its file.
        #[arg(long = "forms", value_name = "FORMS", value_delimiter = ',', default_value = "toml,json")]
        formats: Vec<FileFormat>,
        #[command(flatten)]
        common: Common,
    },
    /// The data path: the gateway as a process, between clients and stub backends.
    #[command(name = "path")]
    DataPath {
        /// Number of client connections; the gateway's own limit admits about 590.
        #[arg(long, value_delimiter = ',', default_value = "16,64,192,512,1024",
            value_parser = value_parser!(u64).range(1..=4096))]
        sizes: Vec<u64>,
        /// The gateway program; by default the one in the directory of this tool.
        #[arg(long = "front", value_name = "FRONT")]
        gateway: Option<PathBuf>,
        /// Numbers of volumes that clients read.
        #[arg(long, value_delimiter = ',', default_value = "8,4000",
            value_parser = value_parser!(u64).range(1..=1_000_000))]
        volumes: Vec<u64>,
        /// Microseconds that a stub backend takes for each read.
        #[arg(long = "box-us", value_name = "BOX_US", default_value_t = 1000,
            value_parser = value_parser!(u64).range(0..=1_000_000))]
        backend_time_us: u64,
        /// Seconds for which clients are measured.
        #[arg(long, default_value_t = 4, value_parser = value_parser!(u64).range(1..=600))]
        span_s: u64,
        #[command(flatten)]
        common: Common,
    },
    /// Measures the memory of one component in this process.
    #[command(name = "weigh", hide = true, subcommand)]
    Memory(MemoryTarget),
}

/// The components whose memory can be measured.
#[derive(Debug, Subcommand)]
pub enum MemoryTarget {
    /// The scheduler.
    #[command(name = "list")]
    Scheduler {
        /// Number of backends.
        #[arg(long)]
        size: u64,
        /// Number of gateways.
        #[arg(long = "hosts", value_name = "HOSTS")]
        gateways: u32,
        /// Number of volumes.
        #[arg(long)]
        volumes: u32,
    },
    /// A configuration file.
    #[command(name = "file")]
    ConfigFile {
        /// Number of backends.
        #[arg(long)]
        size: u64,
        /// The format.
        #[arg(long = "form", value_name = "FORM")]
        format: FileFormat,
        /// Number of reloads.
        #[arg(long)]
        reloads: u32,
    },
}

fn parse_fraction(text: &str) -> Result<f64, String> {
    let fraction: f64 = text.parse().map_err(|_| "not a number".to_string())?;
    if (0.0..1.0).contains(&fraction) {
        Ok(fraction)
    } else {
        Err("must be 0 or more, and below 1".into())
    }
}
