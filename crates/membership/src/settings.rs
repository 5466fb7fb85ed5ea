//! The settings of a member, and their bounds.
use crate::member::Seed;
use cluster_types::MemberId;
use ipnet::IpNet;
use message_auth::{MAX_DATAGRAM_BYTES, MAX_NAME_BYTES};
use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::time::Duration;

const MAX_MEMBERS: usize = 1_000;
const MAX_CLAIM_VALIDITY: Duration = Duration::from_secs(3_600);
const DATAGRAM_BYTES: RangeInclusive<usize> = 700..=60_000;
const MIN_BYTES_PER_SECOND: u64 = 1_024;
const MAX_SEND_BYTES: u64 = 1 << 30;
const MIN_BURST_DATAGRAMS: u64 = 4;

/// An invalid setting. The text begins with the name of the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A seed's name, zone or port is out of bounds.
    #[error("seeds: {0}: must have a name of 1 to {MAX_NAME_BYTES} bytes, a zone of at most as many, and a port above 0")]
    Seed(MemberId),
    /// Two seeds have the same name.
    #[error("seeds: names must be unique")]
    DuplicateSeed,
    /// There are more seeds than `max_members` allows.
    #[error("seeds: must be no more than max_members")]
    TooManySeeds,
    /// The process has no incarnation.
    #[error("incarnation: must be above 0")]
    ZeroIncarnation,
    /// `max_members` is out of bounds.
    #[error("max_members: must be 1 to {MAX_MEMBERS}")]
    MaxMembers,
    /// An interval or the maximum validity of claims is 0.
    #[error("probe_period: all intervals and max_claim_validity must be above 0")]
    ZeroSpan,
    /// `probe_timeout` is out of bounds.
    #[error(
        "probe_timeout: must be above 0 and at most a third of probe_period, so that an indirect probe fits"
    )]
    ProbeTimeout,
    /// `max_claim_validity` is too long.
    #[error("max_claim_validity: must be at most an hour")]
    MaxClaimValidity,
    /// A multiplier or the fanout is 0.
    #[error("suspicion_multiplier: must be above 0, as must retransmit_multiplier and gossip_fanout")]
    ZeroMultiplier,
    /// `max_datagram_bytes` is out of bounds.
    #[error("max_datagram_bytes: must be {} to {}", DATAGRAM_BYTES.start(), DATAGRAM_BYTES.end())]
    MaxDatagramBytes,
    /// `bytes_per_second` or `burst_bytes` is out of bounds.
    #[error(
        "bytes_per_second: must be at least {MIN_BYTES_PER_SECOND}, and burst_bytes at least four datagrams"
    )]
    SendBudget,
    /// `max_claims_per_source` is 0.
    #[error("max_claims_per_source: must be above 0")]
    ZeroClaims,
    /// A share is not in the range 0 to 1.
    #[error("max_ejected_share: must be 0 to 1, as must ejected_traffic_share")]
    Share,
}

/// The settings of one member. All members should have the same, except for `me` and `incarnation`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This member.
    pub me: Seed,
    /// The incarnation of this process, see [`message_auth::new_incarnation`].
    pub incarnation: u64,
    /// The configured members, with or without this one.
    pub seeds: Vec<Seed>,
    /// The networks from which members that are not configured may join.
    pub allowed_networks: Vec<IpNet>,
    /// The maximum number of other members in the member table.
    pub max_members: usize,
    /// SWIM's protocol period, in which one probe is started.
    pub probe_period: Duration,
    /// How long to wait for a direct answer before other members are asked for an indirect probe.
    pub probe_timeout: Duration,
    /// How many members are asked for an indirect probe.
    pub indirect_probes: usize,
    /// A suspicion lasts this many protocol periods, times the logarithm (base 10, at least 1) of the number of live members.
    pub suspicion_multiplier: u32,
    /// Each update is sent this many times the natural logarithm of the number of live members.
    pub retransmit_multiplier: u32,
    /// The interval at which updates are sent in addition to those on probes.
    pub gossip_interval: Duration,
    /// The number of members to which these additional updates are sent.
    pub gossip_fanout: usize,
    /// The interval at which a dead member or unreachable seed is contacted.
    pub reconnect_interval: Duration,
    /// How long a member that is neither live nor configured is kept in the member table.
    pub forget_after: Duration,
    /// The maximum number of bytes sent per second, including IP and UDP headers.
    pub bytes_per_second: u64,
    /// The maximum burst, in bytes.
    pub burst_bytes: u64,
    /// The maximum size of a datagram's payload, in bytes.
    pub max_datagram_bytes: usize,
    /// The maximum number of claims per source.
    pub max_claims_per_source: usize,
    /// The maximum validity of a claim.
    pub max_claim_validity: Duration,
    /// The share of all backends that may be ejected, from 0 to 1.
    pub max_ejected_share: f32,
    /// The share of its usual traffic that an ejected backend still receives, from 0 to 1.
    pub ejected_traffic_share: f32,
}

impl Settings {
    /// The default settings.
    pub fn new(me: Seed, incarnation: u64, seeds: Vec<Seed>) -> Settings {
        Settings {
            me,
            incarnation,
            seeds,
            allowed_networks: Vec::new(),
            max_members: 256,
            probe_period: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_multiplier: 4,
            retransmit_multiplier: 2,
            gossip_interval: Duration::from_millis(250),
            gossip_fanout: 2,
            reconnect_interval: Duration::from_secs(4),
            forget_after: Duration::from_secs(600),
            bytes_per_second: 8_192,
            burst_bytes: 16_384,
            max_datagram_bytes: MAX_DATAGRAM_BYTES,
            max_claims_per_source: 256,
            max_claim_validity: Duration::from_secs(120),
            max_ejected_share: 0.2,
            ejected_traffic_share: 0.02,
        }
    }

    /// Checks that all fields are within their bounds.
    ///
    /// # Errors
    /// The first field that is out of bounds.
    pub fn validate(&self) -> Result<(), SettingsError> {
        validate_seeds(&self.me, &self.seeds, self.max_members)?;
        if self.incarnation == 0 {
            return Err(SettingsError::ZeroIncarnation);
        }
        if self.max_members == 0 || self.max_members > MAX_MEMBERS {
            return Err(SettingsError::MaxMembers);
        }
        self.validate_spans()?;
        if self.suspicion_multiplier == 0 || self.retransmit_multiplier == 0 || self.gossip_fanout == 0 {
            return Err(SettingsError::ZeroMultiplier);
        }
        self.validate_sizes()?;
        let is_share = |share| (0.0..=1.0).contains(&share);
        if !is_share(self.max_ejected_share) || !is_share(self.ejected_traffic_share) {
            return Err(SettingsError::Share);
        }
        Ok(())
    }

    fn validate_spans(&self) -> Result<(), SettingsError> {
        let spans =
            [self.probe_period, self.gossip_interval, self.reconnect_interval, self.max_claim_validity];
        if spans.iter().any(Duration::is_zero) {
            return Err(SettingsError::ZeroSpan);
        }
        if self.probe_timeout.is_zero() || self.probe_timeout * 3 > self.probe_period {
            return Err(SettingsError::ProbeTimeout);
        }
        if self.max_claim_validity > MAX_CLAIM_VALIDITY {
            return Err(SettingsError::MaxClaimValidity);
        }
        Ok(())
    }

    fn validate_sizes(&self) -> Result<(), SettingsError> {
        if !DATAGRAM_BYTES.contains(&self.max_datagram_bytes) {
            return Err(SettingsError::MaxDatagramBytes);
        }
        let min_burst_bytes = MIN_BURST_DATAGRAMS * self.max_datagram_bytes as u64;
        let rate_fits = (MIN_BYTES_PER_SECOND..=MAX_SEND_BYTES).contains(&self.bytes_per_second);
        let burst_fits = (min_burst_bytes..=MAX_SEND_BYTES).contains(&self.burst_bytes);
        if !rate_fits || !burst_fits {
            return Err(SettingsError::SendBudget);
        }
        if self.max_claims_per_source == 0 {
            return Err(SettingsError::ZeroClaims);
        }
        Ok(())
    }
}

/// Checks the configured members and this one.
pub(crate) fn validate_seeds(me: &Seed, seeds: &[Seed], max_members: usize) -> Result<(), SettingsError> {
    for seed in seeds.iter().chain([me]) {
        let (name, zone) = (seed.member.0.len(), seed.zone.0.len());
        if name == 0 || name > MAX_NAME_BYTES || zone > MAX_NAME_BYTES || seed.address.port() == 0 {
            return Err(SettingsError::Seed(seed.member.clone()));
        }
    }
    let mut names = BTreeSet::new();
    if seeds.iter().any(|seed| !names.insert(&seed.member)) {
        return Err(SettingsError::DuplicateSeed);
    }
    if seeds.iter().filter(|seed| seed.member != me.member).count() > max_members {
        return Err(SettingsError::TooManySeeds);
    }
    Ok(())
}
