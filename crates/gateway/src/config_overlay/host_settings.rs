//! The settings of the host of distributed configuration, from the section `[changes]`.
use crate::coordination::member::random_seed;
use cluster_types::MemberId;
use config::{Config, Distribution};
use config_distribution::{RateLimit, Scope, Topic};
use coordination::distribution::{Role, Settings, Upstream};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// The host's settings.
///
/// # Errors
/// The fault of the section's keys.
pub fn host_settings(config: &Config, section: &Distribution) -> Result<Settings, config::ConfigError> {
    let limits = config_distribution::Settings {
        batch_interval: Duration::from_secs_f64(section.batch_s),
        max_subscribers: section.max_subscribers as usize,
        subscription_rate: RateLimit {
            bytes_per_second: section.admission_bytes_s,
            burst_bytes: section.admission_bytes_s,
        },
        ..config_distribution::Settings::default()
    };
    let voters =
        config.coordination.iter().flat_map(|coordination| &coordination.members).map(|member| &member.name);
    let expected_reporters = voters.chain(section.relays.iter().map(|relay| &relay.name));
    Ok(Settings {
        own_id: MemberId(config.name.as_str().into()),
        role: role(config, section),
        expected_reporters: expected_reporters.map(|name| MemberId(name.as_str().into())).collect(),
        relays: order_relays(&config.name, &section.relays),
        keys: section.keys()?,
        limits,
        fleet_size: config.settings.gateways,
        seed: random_seed(),
    })
}

fn role(config: &Config, section: &Distribution) -> Role {
    match section.listen {
        Some(listen) if config.coordination.is_some() => Role::Voter { listen },
        Some(listen) => Role::Relay { listen },
        None => Role::Subscriber { scope: Scope::of(topics(section)), state_dir: section.state.clone() },
    }
}

/// The topics that this gateway subscribes to.
fn topics(section: &Distribution) -> impl Iterator<Item = Topic> + '_ {
    let regions = section.region.iter().map(|region| Topic::Region(region.as_str().into()));
    let zones = section.zone.iter().map(|zone| Topic::Zone(zone.as_str().into()));
    let shards = section.shards.iter().map(|shard| Topic::Shard(*shard));
    let volumes = section.volumes.iter().map(|volume| Topic::Volume(volume.as_str().into()));
    regions.chain(zones).chain(shards).chain(volumes)
}

/// The relays in the order of preference. Equal ones are rotated by a hash of the gateway's name, which spreads the gateways
/// over them.
pub fn order_relays(name: &str, relays: &[config::Upstream]) -> Vec<Upstream> {
    let mut hash = DefaultHasher::new();
    name.hash(&mut hash);
    let rotation = hash.finish() as usize;
    let upstream =
        |relay: &config::Upstream| Upstream { name: MemberId(relay.name.as_str().into()), address: relay.at };
    let groups = relays.chunk_by(|_, next| next.equal);
    let rotated = groups.flat_map(|equals| {
        let (last, first) = equals.split_at(rotation % equals.len());
        first.iter().chain(last).map(upstream)
    });
    rotated.collect()
}
