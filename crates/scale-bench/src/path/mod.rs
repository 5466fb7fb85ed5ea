//! The data path: the program as a process, between clients in a closed loop and stand-in boxes.
mod boxes;
mod clients;

use crate::files::{self, Form};
use crate::front::Front;
use crate::quantiles::Quantiles;
use crate::{Error, Plan, Play};
use boxes::StandIn;
use clients::Clients;
use serde_json::json;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Stand-in boxes, each with a shard of its own.
const BOXES: u64 = 8;
/// Clients ask for so long before they are measured.
const WARM_UP: Duration = Duration::from_secs(1);

/// What is run, and what is varied besides the number of connections.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program.
    pub front: PathBuf,
    /// Volumes that clients read.
    pub volumes: Vec<u64>,
    /// How long a box takes for each read.
    pub takes: Duration,
    /// For how long clients are measured.
    pub span: Duration,
}

/// Measures each number of connections with each number of volumes.
pub fn run(plan: &Plan, options: &Options) -> Result<Vec<Play>, Error> {
    let mut plays = Vec::new();
    for at in plan.plays() {
        for volumes in &options.volumes {
            let mut play = Play::new(format!("{volumes} volumes"), at);
            if let Err(e) = scenes(plan, options, *volumes, &mut play) {
                play.partial(e.to_string());
            }
            plays.push(play.done());
        }
    }
    Ok(plays)
}

fn scenes(plan: &Plan, options: &Options, volumes: u64, play: &mut Play) -> Result<(), Error> {
    let boxes: Vec<StandIn> = (0..BOXES).map(|_| StandIn::open(options.takes)).collect::<Result<_, _>>()?;
    let instance = |(cell, stand_in): (usize, &StandIn)| {
        let (name, at) = (format!("box-{cell}"), stand_in.at.to_string());
        json!({ "instanceId": name, "hostPort": at, "zone": "zone-00", "cell": cell, "lifecycle": "active" })
    };
    let text =
        |listen| files::with_instances(Form::Toml, listen, boxes.iter().enumerate().map(instance).collect());
    let front = Front::start(&options.front, Form::Toml, text, plan.bound())?;
    let clients = Clients::start(front.listen, (play.size, play.seed), volumes, BOXES)?;
    sleep(WARM_UP.min(plan.limit));
    let opened = || boxes.iter().map(StandIn::opened).sum::<u64>() as f64;
    let before = opened();
    let (cpu, ticks, asked) =
        (front.cpu_us()?, front.ticks_us()?, boxes.iter().map(StandIn::served).sum::<u64>());
    clients.measure();
    let begun = Instant::now();
    sleep(options.span.min(plan.limit));
    let cpu = front.cpu_us()? - cpu;
    let (ticks, span) = (front.ticks_us()? - ticks, begun.elapsed().as_secs_f64());
    let asked = boxes.iter().map(StandIn::served).sum::<u64>() - asked;
    let seen = clients.stop();
    let mut took = Quantiles::new()?;
    seen.iter().flat_map(|client| &client.served_us).for_each(|us| took.record(f64::from(*us)));
    // What boxes answered while the processor time was taken: no read counts that ended after.
    let reads = asked.max(1) as f64;
    play.put("reads", asked as f64);
    play.put("reads_s", reads / span);
    play.put("front_cpu_read_us", cpu / reads);
    play.put("front_ticks_read_us", ticks / reads);
    play.put("front_cores", cpu / 1e6 / span);
    play.put("box_connections_opened", opened() - before);
    play.put("errors", seen.iter().map(|client| client.errors).sum::<u64>() as f64);
    play.put("front_peak_bytes", front.resident()?.1);
    took.put("client", "us", play);
    let ended: Vec<&String> = seen.iter().filter_map(|client| client.ended.as_ref()).collect();
    play.put("connections_ended", ended.len() as f64);
    if let Some(line) = seen.iter().find_map(|client| client.line.as_ref()) {
        play.notes.push(format!("some reads had an error, first: {line}"));
    }
    if let Some(why) = ended.first() {
        play.partial(format!(
            "{} of {} connections ended before their time, first: {why}",
            ended.len(),
            play.size
        ));
    }
    if asked == 0 {
        play.partial("no read was served");
    }
    Ok(())
}
