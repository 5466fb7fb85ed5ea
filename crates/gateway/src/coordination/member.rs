//! This front among those that it acts together with: what they have settled is done here, and what is measured here is
//! told to them. An actor that meets the hosts (`accord`) through two mailboxes; without the section `[accord]` it is
//! never started.
use crate::backend::pool::BackendPool;
use crate::context::Context;
use crate::messages::{SchedulerMailbox, SchedulerMessage};
use async_channel::Receiver;
use async_io::Timer;
use cluster_types::{BackendId, MemberId, Volume, Zone};
use coordination::{Fellow, Handle, Measures, Seen, Settings, ToAccord, ToFront};
use futures_lite::future;
use maintenance::{Rules, Share};
use scheduler::interface::{BackendState, Micros};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// How often this front measures. A drain is reported by the first figures that show nothing out.
const MEASURE: Duration = Duration::from_millis(100);
/// Letters of the hosts that may wait.
const MAILBOX_CAPACITY: usize = 1024;
/// The module is asked what it keeps away from; no answer in that time counts as nothing.
const ASKED: Duration = Duration::from_millis(50);
/// A box that the module keeps away from, and that has answered nothing for so long, is found dead here.
const SILENT: i64 = 2_000_000;

/// What the hosts are told, from the configuration in force.
fn settings(context: &Context, section: &config::Coordination) -> Result<Settings, String> {
    let keys = section.keys().map_err(|e| e.to_string())?;
    let fellow = |m: &config::Member| {
        (MemberId(m.name.as_str().into()), Fellow { at: m.at, hall: Zone(m.zone.as_str().into()) })
    };
    let ms = |s: f64| (s * 1000.0) as u64;
    let stage = ms(section.maintenance.stage_s).max(1);
    // Stages of a quarter, a half and all of the cold budget; the last lasts until the box is warm.
    let rules = Rules {
        out: section.maintenance.total,
        out_hall: section.maintenance.per_zone,
        out_volume: section.maintenance.per_volume,
        stages: vec![250, 500, 1000],
        stage_ms: stage,
        ..Rules::default()
    };
    rules.check().map_err(|e| format!("accord.out.{e}"))?;
    Ok(Settings {
        me: MemberId(context.config().name.as_str().into()),
        hall: Zone(section.zone.as_str().into()),
        listen: section.listen,
        state: section.state.clone(),
        keys,
        members: section.members.iter().map(fellow).collect(),
        bytes_s: section.bytes_s,
        lease: Duration::from_secs_f64(section.lease_s),
        drift: section.drift,
        election: Duration::from_millis(section.election_ms),
        rules,
        share: section.evidence.share,
        lasts: Duration::from_secs_f64(section.evidence.lasts_s),
        seed: chance(),
    })
}

/// A number drawn by chance: two stores must never have the same.
pub fn chance() -> u64 {
    use std::hash::{BuildHasher, Hasher, RandomState};
    RandomState::new().build_hasher().finish() | 1
}

/// Starts the hosts, where the configuration has them; an error names the key.
pub fn start(
    context: &Rc<Context>,
    scheduler: &SchedulerMailbox,
    pool: &Rc<BackendPool>,
    serves: Option<coordination::changes::Mailbox>,
) -> Result<Option<Handle>, String> {
    let config = context.config();
    let Some(section) = &config.coordination else { return Ok(None) };
    let (to_front, letters) = async_channel::bounded(MAILBOX_CAPACITY);
    let log = |line: &str| crate::log::line(format_args!("{line}"));
    let handle = coordination::start(settings(context, section)?, to_front, serves, log)?;
    context.executor.spawn(follow(context.clone(), pool.clone(), letters)).detach();
    let measuring = measure(context.clone(), scheduler.clone(), pool.clone(), handle.clone());
    context.executor.spawn(measuring).detach();
    Ok(Some(handle))
}

/// Does what the fronts have settled.
async fn follow(context: Rc<Context>, pool: Rc<BackendPool>, letters: Receiver<ToFront>) {
    while let Ok(message) = letters.recv().await {
        let leaves = matches!(message, ToFront::Drain { .. });
        let (id, out, why) = match message {
            ToFront::Drain { id, grant } => (id, true, format!("grant={}", grant.map_or(0, |g| g.0))),
            // Without a part the box stays drained at this front; others begin.
            ToFront::Undrain { id, share: Share::Part(0) } => (id, true, "part=0".into()),
            ToFront::Undrain { id, share: Share::Part(part) } => (id, false, format!("part={part}")),
            ToFront::Undrain { id, share: Share::Whole } => (id, false, "part=whole".into()),
        };
        crate::log::line(format_args!("settled box={id} out={out} {why}"));
        pool.set_agreed_suspension(&id.0, out).await;
        if let Some(endpoint) = pool.endpoints().into_iter().find(|p| p.entry.borrow().backend == id) {
            match (out, leaves) {
                (true, true) => endpoint.statistics.take_out_of_service(),
                // However the list tells of its start: it may be cold.
                (false, _) => endpoint.statistics.return_to_service(context.clock.now()),
                (true, false) => {}
            }
        }
    }
}

/// Measures until the program ends.
async fn measure(context: Rc<Context>, scheduler: SchedulerMailbox, pool: Rc<BackendPool>, handle: Handle) {
    loop {
        Timer::after(MEASURE).await;
        let (to, from) = async_channel::bounded(1);
        let asked = scheduler.try_send(SchedulerMessage::GetEjected(to)).is_ok();
        let late = async {
            Timer::after(ASKED).await;
            vec![]
        };
        let away = match asked {
            true => future::or(async { from.recv().await.unwrap_or_default() }, late).await,
            false => vec![],
        };
        handle.tell(ToAccord::Measured(measures(&context, &pool, &away.into_iter().collect())));
    }
}

fn measures(context: &Context, pool: &BackendPool, away: &BTreeSet<BackendId>) -> Measures {
    let (config, now) = (context.config(), context.clock.now());
    let ago = |at: Micros| u64::try_from(now.0 - at.0).unwrap_or(0);
    let warm = config.coordination.as_ref().map_or(0, |a| (a.maintenance.warm_up_s * 1e6) as i64);
    let mut measures = Measures { whole: context.lifecycle.serving.get(), ..Measures::default() };
    let endpoints = pool.endpoints();
    for endpoint in &endpoints {
        endpoint.statistics.is_enabled.set(true);
        let entry = endpoint.entry.borrow();
        let id = entry.backend.clone();
        let (out, sent) = (endpoint.statistics.in_flight(), endpoint.statistics.last_sent());
        let rates = endpoint.statistics.rates(now);
        let silent = endpoint.statistics.last_answered().is_none_or(|at| now.0 - at.0 > SILENT);
        let warm_up = config.settings.slow_start.duration.0;
        let hall = config.zones.get(entry.zone as usize).map_or("", String::as_str);
        let seen = Seen {
            hall: hall.into(),
            listed: entry.state != BackendState::Gone,
            died: entry.state == BackendState::Ready && silent && away.contains(&entry.backend),
            cold: endpoint.statistics.returned_at().is_some_and(|at| now.0 - at.0 < warm)
                || entry.started_at.is_some_and(|at| now.0 - at.0 < warm_up),
            out,
            last_send: sent.map(ago),
            units: rates.values().sum(),
            failed: endpoint.statistics.take_failed(),
        };
        for (volume, rate) in rates {
            let all = measures.volumes.entry(Volume::from(&*volume)).or_default();
            all.0 += rate;
            // Another box that holds the shard could serve it as well; without one its data is nowhere else.
            let others = endpoints.iter().filter(|other| {
                let other = other.entry.borrow();
                other.shard == entry.shard
                    && other.state == BackendState::Ready
                    && other.backend != entry.backend
            });
            let ids = others.map(|other| other.entry.borrow().backend.clone());
            ids.chain([id.clone()]).for_each(|id| *all.1.entry(id).or_default() += rate);
        }
        measures.boxes.insert(id, seen);
    }
    let reservations = config.settings.plans.iter().map(|p| (1000.0 * p.reservation) as u64);
    measures.reserved = reservations.max().unwrap_or(0);
    measures
}
