//! Discovery messages with many backends, parsed by `config::targets` as in the gateway.
use crate::quantiles::Quantiles;
use crate::{cpu_time, generated_config, Error, Plan, Run};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

/// Number of times the full list is parsed.
const FULL_LISTS: u32 = 10;
/// Number of times a change of one backend is parsed.
const CHANGES: u32 = 500;

/// Builds a discovery message with these backends.
fn message(is_full: bool, backends: impl Iterator<Item = u64>) -> Vec<u8> {
    let instances: Vec<_> = backends.map(|n| generated_config::instance(n, !is_full)).collect();
    json!({ "generation": 41, "reset": is_full, "instances": instances }).to_string().into_bytes()
}

/// Measures each size.
pub fn measure(plan: &Plan) -> Result<Vec<Run>, Error> {
    plan.runs().map(|run_key| measure_run(plan, run_key)).collect()
}

fn measure_run(plan: &Plan, run_key: (u64, u32, u64)) -> Result<Run, Error> {
    let (size, _, seed) = run_key;
    let (deadline, zones, mut rng) =
        (plan.deadline(), generated_config::zones(), SmallRng::seed_from_u64(seed));
    let mut run = Run::new("", run_key);
    let parse = |text: &[u8], quantiles: &mut Quantiles| -> Result<usize, Error> {
        let (parsed, took) = cpu_time::measure(|| config::parse_targets(text, &zones));
        quantiles.record(took);
        parsed.map(|t| t.targets.len()).map_err(|e| Error::component("targets", e))
    };
    let (mut full_lists, mut changes) = (Quantiles::new()?, Quantiles::new()?);
    let text = message(true, 0..size);
    run.record("whole_bytes", text.len() as f64);
    for n in 0..FULL_LISTS {
        if deadline.has_passed() {
            run.mark_incomplete(format!("{n} of {FULL_LISTS} full lists within the time limit of a run"));
            break;
        }
        let backends = parse(&text, &mut full_lists)?;
        run.record("boxes", backends as f64);
    }
    full_lists.record_in("whole", "us", &mut run);
    let mut bytes = 0;
    for _ in 0..CHANGES {
        let text = message(false, std::iter::once(rng.random_range(0..size)));
        bytes += text.len();
        parse(&text, &mut changes)?;
    }
    run.record("change_mean_bytes", bytes as f64 / f64::from(CHANGES));
    changes.record_in("change", "us", &mut run);
    Ok(run.log_finished())
}
