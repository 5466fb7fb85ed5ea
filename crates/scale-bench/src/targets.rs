//! Messages of discovery with many boxes: `config::targets` as the program reads them.
use crate::quantiles::Quantiles;
use crate::{cpu, files, Error, Plan, Play};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

/// How often the whole list is read.
const WHOLES: u32 = 10;
/// How often a change of one box is read.
const CHANGES: u32 = 500;

/// A message about these boxes.
fn message(whole: bool, boxes: impl Iterator<Item = u64>) -> Vec<u8> {
    let instances: Vec<_> = boxes.map(|n| files::instance(n, !whole)).collect();
    json!({ "generation": 41, "reset": whole, "instances": instances }).to_string().into_bytes()
}

/// Measures each size.
pub fn run(plan: &Plan) -> Result<Vec<Play>, Error> {
    plan.plays().map(|at| play(plan, at)).collect()
}

fn play(plan: &Plan, at: (u64, u32, u64)) -> Result<Play, Error> {
    let (size, _, seed) = at;
    let (bound, zones, mut rng) = (plan.bound(), files::zones(), SmallRng::seed_from_u64(seed));
    let mut play = Play::new("", at);
    let read = |text: &[u8], into: &mut Quantiles| -> Result<usize, Error> {
        let (read, took) = cpu::timed(|| config::parse_targets(text, &zones));
        into.record(took);
        read.map(|t| t.targets.len()).map_err(|e| Error::part("targets", e))
    };
    let (mut wholes, mut changes) = (Quantiles::new()?, Quantiles::new()?);
    let text = message(true, 0..size);
    play.put("whole_bytes", text.len() as f64);
    for n in 0..WHOLES {
        if bound.passed() {
            play.partial(format!("{n} of {WHOLES} whole lists in the time of a play"));
            break;
        }
        let boxes = read(&text, &mut wholes)?;
        play.put("boxes", boxes as f64);
    }
    wholes.put("whole", "us", &mut play);
    let mut bytes = 0;
    for _ in 0..CHANGES {
        let text = message(false, std::iter::once(rng.random_range(0..size)));
        bytes += text.len();
        read(&text, &mut changes)?;
    }
    play.put("change_mean_bytes", bytes as f64 / f64::from(CHANGES));
    changes.put("change", "us", &mut play);
    Ok(play.done())
}
