//! This gateway as a member of the coordination group: it carries out what the group has agreed on. An actor that exchanges messages with
//! its host (the `coordination` crate) through two mailboxes; without the section `[accord]` it is not started.
use crate::backend::pool::BackendPool;
use crate::context::Context;
use crate::coordination::measurements;
use crate::messages::SchedulerMailbox;
use async_channel::Receiver;
use cluster_types::{MemberId, Zone};
use coordination::{GatewayMessage, Handle, Peer, Settings};
use maintenance::{Quota, Rules, RulesError};
use std::rc::Rc;
use std::time::Duration;

/// The capacity of the mailbox for the host's messages.
const MAILBOX_CAPACITY: usize = 1024;
/// The stages in which a returning backend gets its slow-start budget, in thousandths; the last lasts until it is warm.
const STAGES_PERMILLE: [u16; 3] = [250, 500, 1000];

/// Why coordination could not start.
#[derive(Debug, thiserror::Error)]
pub enum MemberError {
    /// The section is faulty.
    #[error(transparent)]
    Config(#[from] config::ConfigError),
    /// The rules of maintenance are faulty.
    #[error("accord.out.{0}")]
    Rules(#[from] RulesError),
    /// The host could not start.
    #[error(transparent)]
    Host(#[from] coordination::StartError),
}

/// The host's settings, from the section `[accord]`.
fn host_settings(context: &Context, section: &config::Coordination) -> Result<Settings, MemberError> {
    let peer = |member: &config::Member| {
        let peer = Peer { address: member.at, zone: Zone(member.zone.as_str().into()) };
        (MemberId(member.name.as_str().into()), peer)
    };
    let rules = Rules {
        max_out: section.maintenance.total,
        max_out_per_zone: section.maintenance.per_zone,
        max_out_per_volume: section.maintenance.per_volume,
        stages: STAGES_PERMILLE.to_vec(),
        stage_ms: ((section.maintenance.stage_s * 1000.0) as u64).max(1),
        ..Rules::default()
    };
    let keys = section.keys()?;
    rules.check()?;
    Ok(Settings {
        own_id: MemberId(context.config().name.as_str().into()),
        zone: Zone(section.zone.as_str().into()),
        listen: section.listen,
        state_dir: section.state.clone(),
        keys,
        members: section.members.iter().map(peer).collect(),
        max_membership_bytes_per_s: section.bytes_s,
        lease: Duration::from_secs_f64(section.lease_s),
        max_clock_drift: section.drift,
        election_timeout: Duration::from_millis(section.election_ms),
        rules,
        seed: random_seed(),
    })
}

/// A random seed, not 0: two stores must never have the same.
pub fn random_seed() -> u64 {
    use std::hash::{BuildHasher, Hasher, RandomState};
    RandomState::new().build_hasher().finish() | 1
}

/// Starts the host and the actors, where the configuration has the section.
///
/// # Errors
/// [`MemberError`], whose text begins with the key.
pub fn start(
    context: &Rc<Context>,
    scheduler: &SchedulerMailbox,
    pool: &Rc<BackendPool>,
    distribution: Option<coordination::distribution::Mailbox>,
) -> Result<Option<Handle>, MemberError> {
    let config = context.config();
    let Some(section) = &config.coordination else { return Ok(None) };
    let (to_gateway, messages) = async_channel::bounded(MAILBOX_CAPACITY);
    let log = |line: &str| crate::log::line(format_args!("{line}"));
    let handle = coordination::start(host_settings(context, section)?, to_gateway, distribution, log)?;
    context.executor.spawn(carry_out_agreements(context.clone(), pool.clone(), messages)).detach();
    let measuring = measurements::run(context.clone(), scheduler.clone(), pool.clone(), handle.clone());
    context.executor.spawn(measuring).detach();
    Ok(Some(handle))
}

/// Carries out what the group has agreed on.
async fn carry_out_agreements(
    context: Rc<Context>,
    pool: Rc<BackendPool>,
    messages: Receiver<GatewayMessage>,
) {
    while let Ok(message) = messages.recv().await {
        let is_drain = matches!(message, GatewayMessage::Drain { .. });
        let (backend, is_suspended, reason) = match message {
            GatewayMessage::Drain { backend, order } => {
                (backend, true, format!("order={}", order.map_or(0, |order| order.0)))
            }
            // With a quota of 0 the backend stays suspended at this gateway, while other gateways begin to use it.
            GatewayMessage::Undrain { backend, quota } => {
                (backend, quota == Quota::Permille(0), format!("quota={}", quota_text(quota)))
            }
        };
        crate::log::line(format_args!("agreed backend={backend} suspended={is_suspended} {reason}"));
        pool.set_agreed_suspension(&backend.0, is_suspended).await;
        let endpoint =
            pool.endpoints().into_iter().find(|endpoint| endpoint.entry.borrow().backend == backend);
        if let Some(endpoint) = endpoint {
            if !is_suspended {
                // It may be warming up, whatever start time the list reports.
                endpoint.statistics.return_to_service(context.clock.now());
            } else if is_drain {
                endpoint.statistics.take_out_of_service();
            }
        }
    }
}

fn quota_text(quota: Quota) -> String {
    match quota {
        Quota::Permille(permille) => permille.to_string(),
        Quota::Full => "full".to_owned(),
    }
}
