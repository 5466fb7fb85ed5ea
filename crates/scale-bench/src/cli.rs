//! The command line.
use clap::{value_parser, Args, Parser, Subcommand};
use scale_bench::files::Form;
use std::path::PathBuf;

/// Measures how the costs of the project's parts grow with their size.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Cli {
    /// What is measured.
    #[command(subcommand)]
    pub what: What,
}

/// What all measurements are told.
#[derive(Debug, Args)]
pub struct Common {
    /// How often each size is played.
    #[arg(long, default_value_t = 3, value_parser = value_parser!(u32).range(1..=1000))]
    pub plays: u32,
    /// The first play's seed; each play after it takes the next.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Sizes at which the lines are read off.
    #[arg(long, value_delimiter = ',', default_value = "2300,23000")]
    pub at: Vec<u64>,
    /// Seconds that one play may take.
    #[arg(long, default_value_t = 300, value_parser = value_parser!(u64).range(1..=3600))]
    pub play_s: u64,
    /// Where to write all figures, as JSON; standard output otherwise.
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
    /// The least and the greatest delay of one way, in milliseconds.
    #[arg(long, value_delimiter = ',', num_args = 1, default_value = "1,20")]
    pub delay_ms: Vec<u64>,
    /// Simulated seconds in which each part of a play must settle.
    #[arg(long, default_value_t = 120, value_parser = value_parser!(u64).range(1..=3600))]
    pub settle_s: u64,
}

/// The measurements.
#[derive(Debug, Subcommand)]
pub enum What {
    /// The decision module with many boxes and shards.
    List {
        /// Boxes, and as many shards.
        #[arg(long, value_delimiter = ',', default_value = "100,1000,4000,8000,23000",
            value_parser = value_parser!(u64).range(1..=100_000))]
        sizes: Vec<u64>,
        /// Volumes that have traffic.
        #[arg(long, value_delimiter = ',', default_value = "0,64,1000",
            value_parser = value_parser!(u32).range(0..=100_000))]
        volumes: Vec<u32>,
        /// Fronts that share the boxes.
        #[arg(long, default_value_t = 2300, value_parser = value_parser!(u32).range(1..))]
        hosts: u32,
        /// Boxes that drain and come back in a play, one after the other.
        #[arg(long, default_value_t = 100, value_parser = value_parser!(u32).range(1..))]
        changes: u32,
        #[command(flatten)]
        common: Common,
    },
    /// A configuration file with many boxes.
    File {
        /// Boxes.
        #[arg(long, value_delimiter = ',', default_value = "100,1000,4000,8000,23000",
            value_parser = value_parser!(u64).range(1..=100_000))]
        sizes: Vec<u64>,
        /// Forms of the file.
        #[arg(long, value_delimiter = ',', default_value = "toml,json")]
        forms: Vec<Form>,
        #[command(flatten)]
        common: Common,
    },
    /// Discovery's messages with many boxes.
    Targets {
        /// Boxes.
        #[arg(long, value_delimiter = ',', default_value = "100,1000,4000,8000,23000",
            value_parser = value_parser!(u64).range(1..=100_000))]
        sizes: Vec<u64>,
        #[command(flatten)]
        common: Common,
    },
    /// Membership of many fronts, in simulated time.
    Members {
        /// Members.
        #[arg(long, value_delimiter = ',', default_value = "32,64,128,256,512",
            value_parser = value_parser!(u64).range(2..=1001))]
        sizes: Vec<u64>,
        /// The share of datagrams that are lost.
        #[arg(long, default_value_t = 0.01, value_parser = share)]
        loss: f64,
        /// At most so many bytes a second are sent by a member.
        #[arg(long, default_value_t = 16_384, value_parser = value_parser!(u64).range(1024..))]
        bytes_s: u64,
        /// Simulated seconds of rest that are measured.
        #[arg(long, default_value_t = 60, value_parser = value_parser!(u64).range(1..=3600))]
        rest_s: u64,
        #[command(flatten)]
        network: Network,
        #[command(flatten)]
        common: Common,
    },
    /// The replicated log with many members, in simulated time.
    Log {
        /// Members.
        #[arg(long, value_delimiter = ',', default_value = "3,5,7,9,40,128",
            value_parser = value_parser!(u64).range(1..=512))]
        sizes: Vec<u64>,
        /// Bytes of an entry.
        #[arg(long, value_delimiter = ',', default_value = "100,1000",
            value_parser = value_parser!(u64).range(0..=65_536))]
        entry_bytes: Vec<u64>,
        /// Entries of a play, one after the other.
        #[arg(long, default_value_t = 50, value_parser = value_parser!(u32).range(1..=100_000))]
        entries: u32,
        /// The least and the greatest time that a write takes, in microseconds.
        #[arg(long, value_delimiter = ',', num_args = 1, default_value = "500,3000")]
        disk_us: Vec<u64>,
        /// Simulated seconds without entries that are measured.
        #[arg(long, default_value_t = 10, value_parser = value_parser!(u64).range(1..=3600))]
        idle_s: u64,
        #[command(flatten)]
        network: Network,
        #[command(flatten)]
        common: Common,
    },
    /// The program with a file of many boxes, as a process.
    Front {
        /// Boxes.
        #[arg(long, value_delimiter = ',', default_value = "100,1000,4000,8000,23000",
            value_parser = value_parser!(u64).range(1..=100_000))]
        sizes: Vec<u64>,
        /// The program; the one beside this tool otherwise.
        #[arg(long)]
        front: Option<PathBuf>,
        /// Forms of its file.
        #[arg(long, value_delimiter = ',', default_value = "toml,json")]
        forms: Vec<Form>,
        #[command(flatten)]
        common: Common,
    },
    /// The data path: the program as a process, between clients and stand-in boxes.
    Path {
        /// Connections of clients; the front's own bound lets in about 590.
        #[arg(long, value_delimiter = ',', default_value = "16,64,192,512,1024",
            value_parser = value_parser!(u64).range(1..=4096))]
        sizes: Vec<u64>,
        /// The program; the one beside this tool otherwise.
        #[arg(long)]
        front: Option<PathBuf>,
        /// Volumes that clients read.
        #[arg(long, value_delimiter = ',', default_value = "8,4000",
            value_parser = value_parser!(u64).range(1..=1_000_000))]
        volumes: Vec<u64>,
        /// Microseconds that a stand-in box takes for each read.
        #[arg(long, default_value_t = 1000, value_parser = value_parser!(u64).range(0..=1_000_000))]
        box_us: u64,
        /// Seconds for which clients are measured.
        #[arg(long, default_value_t = 4, value_parser = value_parser!(u64).range(1..=600))]
        span_s: u64,
        #[command(flatten)]
        common: Common,
    },
    /// Weighs a part in this process.
    #[command(hide = true, subcommand)]
    Weigh(Weigh),
}

/// The parts that are weighed.
#[derive(Debug, Subcommand)]
pub enum Weigh {
    /// The decision module.
    List {
        /// Boxes.
        #[arg(long)]
        size: u64,
        /// Fronts.
        #[arg(long)]
        hosts: u32,
        /// Volumes.
        #[arg(long)]
        volumes: u32,
    },
    /// A configuration file.
    File {
        /// Boxes.
        #[arg(long)]
        size: u64,
        /// The form.
        #[arg(long)]
        form: Form,
        /// Reloads.
        #[arg(long)]
        reloads: u32,
    },
}

fn share(text: &str) -> Result<f64, String> {
    let share: f64 = text.parse().map_err(|_| "not a number".to_string())?;
    if (0.0..1.0).contains(&share) {
        Ok(share)
    } else {
        Err("must be 0 or more, and below 1".into())
    }
}
