//! What an operator may set.
use crate::names::Seed;
use ipnet::IpNet;
use message_auth::{MAX_DATAGRAM_BYTES as DATAGRAM, MAX_NAME_BYTES as NAME};
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

/// What is wrong with the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// At which key.
    pub key: &'static str,
    /// Why.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

impl std::error::Error for Fault {}

/// The settings of one member. All members should have the same, but for `me` and `life`.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This front.
    pub me: Seed,
    /// Its life, see `message_auth::new_incarnation`.
    pub life: u64,
    /// The configured fronts; this one may be among them.
    pub seeds: Vec<Seed>,
    /// Others may join from addresses in these networks.
    pub allowed: Vec<IpNet>,
    /// At most so many others are known at once.
    pub most: usize,
    /// One probe each period.
    pub period: Duration,
    /// How long an answer may take before others are asked.
    pub timeout: Duration,
    /// So many others are asked.
    pub indirect: usize,
    /// A suspicion lasts so many periods, times the logarithm (base 10, from 1) of the number of live members.
    pub suspicion: u32,
    /// Each piece of news is passed on so many times the natural logarithm of the number of live members.
    pub retransmit: u32,
    /// How often news are told besides those on probes.
    pub gossip: Duration,
    /// To how many members then.
    pub fanout: usize,
    /// How often a dead member or silent seed is contacted.
    pub contact: Duration,
    /// After what time a dead member that is not configured is forgotten.
    pub forget: Duration,
    /// At most so many bytes are sent a second, with IP and UDP heads.
    pub bytes: u64,
    /// So many at once.
    pub burst: u64,
    /// The bound of one datagram.
    pub datagram: usize,
    /// At most so many claims of one source are held.
    pub claims: usize,
    /// No claim counts for longer.
    pub longest: Duration,
    /// At most this share of all boxes is shunned.
    pub share: f32,
    /// The share of its usual work that a shunned box still gets.
    pub trickle: f32,
}

impl Settings {
    /// With the usual values.
    pub fn new(me: Seed, life: u64, seeds: Vec<Seed>) -> Settings {
        Settings {
            me,
            life,
            seeds,
            allowed: Vec::new(),
            most: 256,
            period: Duration::from_secs(1),
            timeout: Duration::from_millis(300),
            indirect: 3,
            suspicion: 4,
            retransmit: 2,
            gossip: Duration::from_millis(250),
            fanout: 2,
            contact: Duration::from_secs(4),
            forget: Duration::from_secs(600),
            bytes: 8_192,
            burst: 16_384,
            datagram: DATAGRAM,
            claims: 256,
            longest: Duration::from_secs(120),
            share: 0.2,
            trickle: 0.02,
        }
    }

    /// Whether all is within its bounds.
    pub fn check(&self) -> Result<(), Fault> {
        let no = |key, reason: &str| Err(Fault { key, reason: reason.into() });
        check_seeds(&self.me, &self.seeds, self.most)?;
        if self.life == 0 {
            return no("life", "must be above 0");
        }
        if self.most == 0 || self.most > 1_000 {
            return no("most", "must be 1 to 1000");
        }
        if self.period.is_zero() || self.gossip.is_zero() || self.contact.is_zero() || self.longest.is_zero()
        {
            return no("period", "spans must be above 0");
        }
        if self.timeout.is_zero() || self.timeout * 3 > self.period {
            return no(
                "timeout",
                "must be at most a third of the period, so that an answer through others fits",
            );
        }
        if self.longest > Duration::from_secs(3_600) {
            return no("longest", "must be at most an hour");
        }
        if self.suspicion == 0 || self.retransmit == 0 || self.fanout == 0 {
            return no("suspicion", "suspicion, retransmit and fanout must be above 0");
        }
        if self.datagram < 700 || self.datagram > 60_000 {
            return no("datagram", "must be 700 to 60000");
        }
        if self.bytes < 1_024
            || self.bytes > 1 << 30
            || self.burst < 4 * self.datagram as u64
            || self.burst > 1 << 30
        {
            return no("bytes", "at least 1024 a second and a burst of four datagrams");
        }
        if self.claims == 0 {
            return no("claims", "must be above 0");
        }
        if !(0.0..=1.0).contains(&self.share) || !(0.0..=1.0).contains(&self.trickle) {
            return no("share", "shares must be 0 to 1");
        }
        Ok(())
    }
}

/// Whether the configured fronts are as they should be.
pub(crate) fn check_seeds(me: &Seed, seeds: &[Seed], most: usize) -> Result<(), Fault> {
    let no = |reason: String| Err(Fault { key: "seeds", reason });
    let mut names = BTreeSet::new();
    for seed in seeds.iter().chain([me]) {
        let (name, hall) = (seed.member.0.len(), seed.hall.0.len());
        if name == 0 || name > NAME || hall > NAME || seed.at.port() == 0 {
            return no(format!("{}: a name of 1 to {NAME} bytes, a hall of no more, a port", seed.member));
        }
    }
    if seeds.iter().any(|seed| !names.insert(&seed.member)) {
        return no("two of one name".into());
    }
    if seeds.iter().filter(|seed| seed.member != me.member).count() > most {
        return no("more than may be known at once".into());
    }
    Ok(())
}
