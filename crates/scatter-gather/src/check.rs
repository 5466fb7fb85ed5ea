//! The checks of `[[gather]]` tables, before anything runs. An error names the key of the file.
use crate::policy::{PartialResultPolicy, Policy, QuorumConditions, QuorumRule, ShardRequest};
use crate::policy_error::{PolicyError, PolicyErrorReason, MAX_NAME_BYTES};
use std::collections::BTreeSet;
use std::time::Duration;

/// The most shard requests of one gather.
pub const MAX_SHARD_REQUESTS: usize = 64;
/// The most gathers of a configuration.
pub const MAX_GATHERS: usize = 1024;
/// The length of a piece's or a volume's number, in hex digits.
const ID_DIGITS: usize = 16;

/// A class of the configuration, as far as a gather has to know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// Whether it writes; none where the configuration does not say.
    pub is_write: Option<bool>,
    /// The time that a client waits in all.
    pub deadline: Duration,
}

type Checked = Result<(), PolicyError>;

fn error(key: impl Into<String>, reason: PolicyErrorReason) -> Checked {
    Err(PolicyError { key: key.into(), reason })
}

/// Puts the error of an inner table below its path.
fn below(path: impl Into<String>) -> impl FnOnce(PolicyError) -> PolicyError {
    let path = path.into();
    move |inner| PolicyError { key: format!("{path}.{}", inner.key), ..inner }
}

fn check_id(key: &str, text: &str) -> Checked {
    if text.len() != ID_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return error(key, PolicyErrorReason::MalformedId);
    }
    Ok(())
}

fn check_name(key: &str, text: &str) -> Checked {
    if text.is_empty() || text.len() > MAX_NAME_BYTES || text.chars().any(char::is_control) {
        return error(key, PolicyErrorReason::InvalidName);
    }
    Ok(())
}

/// Checks all gathers of a configuration, each alone and against the others. `clients_know_partial` is false where a client
/// protocol that may ask for it (iSCSI) can't mark an answer as partial.
///
/// # Errors
/// Names the first key that can't work, and why.
pub fn check_all(gathers: &[Policy], clients_know_partial: bool, classes: &[RequestClass]) -> Checked {
    if gathers.len() > MAX_GATHERS {
        return error("gather", PolicyErrorReason::TooMany(MAX_GATHERS));
    }
    let mut names = BTreeSet::new();
    let mut pieces = BTreeSet::new();
    for (index, gather) in gathers.iter().enumerate() {
        gather.check(clients_know_partial, classes).map_err(below(format!("gather[{index}]")))?;
        if !names.insert(&gather.name) {
            return error(format!("gather[{index}].name"), PolicyErrorReason::Duplicate(gather.name.clone()));
        }
        if !pieces.insert((&gather.volume, gather.piece.to_ascii_lowercase())) {
            return error(format!("gather[{index}].piece"), PolicyErrorReason::PieceTaken);
        }
    }
    // Guards against a gather that asks for itself, directly or through others, without end.
    for (index, gather) in gathers.iter().enumerate() {
        for (number, request) in gather.requests.iter().enumerate() {
            let Some(piece) = &request.piece else { continue };
            if pieces.contains(&(gather.volume_of(request), piece.to_ascii_lowercase())) {
                let key = format!("gather[{index}].part[{number}].piece");
                return error(key, PolicyErrorReason::NestedGather);
            }
        }
    }
    Ok(())
}

impl Policy {
    /// Checks one gather. `clients_know_partial` is false where a client protocol that may ask for it (iSCSI) can't mark an
    /// answer as partial.
    ///
    /// # Errors
    /// Names the first key that can't work, and why.
    pub fn check(&self, clients_know_partial: bool, classes: &[RequestClass]) -> Checked {
        check_name("name", &self.name)?;
        check_id("volume", &self.volume.0)?;
        check_id("piece", &self.piece)?;
        self.check_class(classes)?;
        self.check_requests()?;
        self.check_quorum()?;
        if !(0.0..=1.0).contains(&self.remote_share) {
            return error("remote_share", PolicyErrorReason::ShareOutOfRange);
        }
        if !clients_know_partial && self.quorum != QuorumRule::All {
            return error("suffices", PolicyErrorReason::QuorumNeedsAll);
        }
        if !clients_know_partial && self.partial_results == PartialResultPolicy::Allow {
            return error("otherwise", PolicyErrorReason::PartialResultsUnsupported);
        }
        self.check_bytes()
    }

    fn check_requests(&self) -> Checked {
        if self.requests.is_empty() {
            return error("part", PolicyErrorReason::NoRequests);
        }
        if self.requests.len() > MAX_SHARD_REQUESTS {
            return error("part", PolicyErrorReason::TooMany(MAX_SHARD_REQUESTS));
        }
        for (index, request) in self.requests.iter().enumerate() {
            let (path, earlier) = (format!("part[{index}]"), &self.requests[..index]);
            check_request(request).map_err(below(path.clone()))?;
            if earlier.iter().any(|other| other.name == request.name) {
                return error(format!("{path}.name"), PolicyErrorReason::Duplicate(request.name.clone()));
            }
            if earlier.iter().any(|other| self.asks_same(other, request)) {
                return error(path, PolicyErrorReason::RepeatedRequest);
            }
        }
        Ok(())
    }

    fn asks_same(&self, one: &ShardRequest, other: &ShardRequest) -> bool {
        let lowercase = |request: &ShardRequest| request.piece.as_ref().map(|text| text.to_ascii_lowercase());
        self.volume_of(one) == self.volume_of(other)
            && lowercase(one) == lowercase(other)
            && one.blocks == other.blocks
            && one.shard == other.shard
            && one.backend == other.backend
    }

    /// Guards writes: a class counts as reading only where the file says so.
    fn check_class(&self, classes: &[RequestClass]) -> Checked {
        let Some(class) = classes.iter().find(|class| *class.name == *self.class) else {
            return error("class", PolicyErrorReason::UnknownClass(self.class.clone()));
        };
        match class.is_write {
            Some(false) if self.reply_margin() < class.deadline => Ok(()),
            Some(false) => error("way_back_ms", PolicyErrorReason::MarginTooLong),
            Some(true) => error("class", PolicyErrorReason::ClassWrites(self.class.clone())),
            None => error("class", PolicyErrorReason::ClassMayWrite(self.class.clone())),
        }
    }

    fn check_quorum(&self) -> Checked {
        let QuorumRule::Conditions(conditions) = &self.quorum else { return Ok(()) };
        let QuorumConditions { at_least, required, share_per_zone } = conditions;
        if at_least.is_none() && required.is_empty() && share_per_zone.is_none() {
            return error("suffices", PolicyErrorReason::NoCondition);
        }
        match *at_least {
            Some(0) => return error("suffices.at_least", PolicyErrorReason::Zero),
            Some(needed) if needed > self.requests.len() => {
                let reason = PolicyErrorReason::QuorumTooLarge { needed, requests: self.requests.len() };
                return error("suffices.at_least", reason);
            }
            _ => {}
        }
        for (index, name) in required.iter().enumerate() {
            let key = || format!("suffices.named[{index}]");
            if !self.requests.iter().any(|request| request.name == *name) {
                return error(key(), PolicyErrorReason::UnknownRequest(name.clone()));
            }
            if required[..index].contains(name) {
                return error(key(), PolicyErrorReason::Duplicate(name.clone()));
            }
        }
        match share_per_zone {
            Some(share) if !(*share > 0.0 && *share <= 1.0) => {
                error("suffices.each_hall", PolicyErrorReason::PositiveShareOutOfRange)
            }
            _ => Ok(()),
        }
    }

    fn check_bytes(&self) -> Checked {
        let limits: Vec<u64> =
            (0..self.requests.len()).map(|request| self.max_response_bytes(request)).collect();
        if let Some(index) = limits.iter().position(|limit| *limit == 0) {
            return error(format!("part[{index}].bytes"), PolicyErrorReason::Zero);
        }
        if limits.iter().all(|limit| *limit > self.max_total_bytes) {
            return error("most_bytes", PolicyErrorReason::NothingFits);
        }
        let quorum = self.smallest_quorum();
        let needed = quorum.into_iter().map(|request| limits[request]).fold(0, u64::saturating_add);
        if needed > self.max_total_bytes {
            return error("most_bytes", PolicyErrorReason::QuorumDoesNotFit(needed));
        }
        Ok(())
    }
}

fn check_request(request: &ShardRequest) -> Checked {
    check_name("name", &request.name)?;
    check_name("hall", &request.zone.0)?;
    if let Some(volume) = &request.volume {
        check_id("volume", &volume.0)?;
    }
    match (&request.piece, &request.blocks) {
        (Some(text), None) => check_id("piece", text)?,
        (None, Some(blocks)) if blocks.is_empty() => return error("blocks", PolicyErrorReason::NoBlocks),
        (None, Some(_)) => {}
        _ => return error("piece", PolicyErrorReason::PieceOrBlocks),
    }
    match (request.shard, &request.backend) {
        (Some(_), None) => Ok(()),
        (None, Some(backend)) => check_name("box", &backend.0),
        _ => error("shard", PolicyErrorReason::ShardOrBackend),
    }
}
