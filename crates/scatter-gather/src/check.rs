//! Validation of `[[gather]]` tables at startup and reload. An error names the configuration key.
use crate::policy::{PartialResultPolicy, Policy, QuorumConditions, QuorumRule, ShardRequest};
use crate::policy_error::{PolicyError, PolicyErrorReason, MAX_NAME_BYTES};
use std::collections::BTreeSet;
use std::time::Duration;

/// The maximum number of shard requests of one gather.
pub const MAX_SHARD_REQUESTS: usize = 64;
/// The maximum number of gathers in a configuration.
pub const MAX_GATHERS: usize = 1024;
/// The length of a piece or volume id, in hex digits.
const ID_DIGITS: usize = 16;

/// The properties of a request class that gather validation needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// The class's name.
    pub name: String,
    /// Whether requests of the class write; `None` if the configuration does not say.
    pub is_write: Option<bool>,
    /// The total time that a client waits.
    pub deadline: Duration,
}

type Checked = Result<(), PolicyError>;

fn fail(key: impl Into<String>, reason: PolicyErrorReason) -> Checked {
    Err(PolicyError { key: key.into(), reason })
}

/// Prefixes the key of an inner table's error with the table's path.
fn prefix_key(path: impl Into<String>) -> impl FnOnce(PolicyError) -> PolicyError {
    let path = path.into();
    move |inner| PolicyError { key: format!("{path}.{}", inner.key), ..inner }
}

fn check_id(key: &str, text: &str) -> Checked {
    if text.len() != ID_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return fail(key, PolicyErrorReason::MalformedId);
    }
    Ok(())
}

fn check_name(key: &str, text: &str) -> Checked {
    if text.is_empty() || text.len() > MAX_NAME_BYTES || text.chars().any(char::is_control) {
        return fail(key, PolicyErrorReason::InvalidName);
    }
    Ok(())
}

/// Validates all gathers of a configuration, each alone and against the others. `supports_partial_results` is false if a
/// client protocol in use cannot mark an answer as partial (iSCSI cannot).
///
/// # Errors
/// Names the first invalid key and the reason.
pub fn check_all(gathers: &[Policy], supports_partial_results: bool, classes: &[RequestClass]) -> Checked {
    if gathers.len() > MAX_GATHERS {
        return fail("gather", PolicyErrorReason::TooMany(MAX_GATHERS));
    }
    let mut names = BTreeSet::new();
    let mut pieces = BTreeSet::new();
    for (index, gather) in gathers.iter().enumerate() {
        gather.check(supports_partial_results, classes).map_err(prefix_key(format!("gather[{index}]")))?;
        if !names.insert(&gather.name) {
            return fail(format!("gather[{index}].name"), PolicyErrorReason::Duplicate(gather.name.clone()));
        }
        if !pieces.insert((&gather.volume, gather.piece.to_ascii_lowercase())) {
            return fail(format!("gather[{index}].piece"), PolicyErrorReason::DuplicatePiece);
        }
    }
    // Rejects nested gathers: a gather that requests its own piece, directly or through others, would recurse endlessly.
    for (index, gather) in gathers.iter().enumerate() {
        for (number, request) in gather.requests.iter().enumerate() {
            let Some(piece) = &request.piece else { continue };
            if pieces.contains(&(gather.volume_of(request), piece.to_ascii_lowercase())) {
                let key = format!("gather[{index}].part[{number}].piece");
                return fail(key, PolicyErrorReason::NestedGather);
            }
        }
    }
    Ok(())
}

impl Policy {
    /// Validates one gather. `supports_partial_results` is false if a client protocol in use cannot mark an answer as
    /// partial (iSCSI cannot).
    ///
    /// # Errors
    /// Names the first invalid key and the reason.
    pub fn check(&self, supports_partial_results: bool, classes: &[RequestClass]) -> Checked {
        check_name("name", &self.name)?;
        check_id("volume", &self.volume.0)?;
        check_id("piece", &self.piece)?;
        self.check_class(classes)?;
        self.check_requests()?;
        self.check_quorum()?;
        if !(0.0..=1.0).contains(&self.remote_share) {
            return fail("remote_share", PolicyErrorReason::ShareOutOfRange);
        }
        if !supports_partial_results && self.quorum != QuorumRule::All {
            return fail("suffices", PolicyErrorReason::QuorumNeedsAll);
        }
        if !supports_partial_results && self.partial_results == PartialResultPolicy::Allow {
            return fail("otherwise", PolicyErrorReason::PartialResultsUnsupported);
        }
        self.check_bytes()
    }

    fn check_requests(&self) -> Checked {
        if self.requests.is_empty() {
            return fail("part", PolicyErrorReason::NoRequests);
        }
        if self.requests.len() > MAX_SHARD_REQUESTS {
            return fail("part", PolicyErrorReason::TooMany(MAX_SHARD_REQUESTS));
        }
        for (index, request) in self.requests.iter().enumerate() {
            let (path, earlier) = (format!("part[{index}]"), &self.requests[..index]);
            check_request(request).map_err(prefix_key(path.clone()))?;
            if earlier.iter().any(|other| other.name == request.name) {
                return fail(format!("{path}.name"), PolicyErrorReason::Duplicate(request.name.clone()));
            }
            if earlier.iter().any(|other| self.is_same_request(other, request)) {
                return fail(path, PolicyErrorReason::RepeatedRequest);
            }
        }
        Ok(())
    }

    fn is_same_request(&self, one: &ShardRequest, other: &ShardRequest) -> bool {
        let lowercase = |request: &ShardRequest| request.piece.as_ref().map(|text| text.to_ascii_lowercase());
        self.volume_of(one) == self.volume_of(other)
            && lowercase(one) == lowercase(other)
            && one.blocks == other.blocks
            && one.shard == other.shard
            && one.backend == other.backend
    }

    /// Accepts only classes that the configuration declares read-only, so that writes are never gathered.
    fn check_class(&self, classes: &[RequestClass]) -> Checked {
        let Some(class) = classes.iter().find(|class| *class.name == *self.class) else {
            return fail("class", PolicyErrorReason::UnknownClass(self.class.clone()));
        };
        match class.is_write {
            Some(false) if self.reply_margin() < class.deadline => Ok(()),
            Some(false) => fail("way_back_ms", PolicyErrorReason::MarginTooLong),
            Some(true) => fail("class", PolicyErrorReason::ClassWrites(self.class.clone())),
            None => fail("class", PolicyErrorReason::ClassMayWrite(self.class.clone())),
        }
    }

    fn check_quorum(&self) -> Checked {
        let QuorumRule::Conditions(conditions) = &self.quorum else { return Ok(()) };
        let QuorumConditions { at_least, required, share_per_zone } = conditions;
        if at_least.is_none() && required.is_empty() && share_per_zone.is_none() {
            return fail("suffices", PolicyErrorReason::NoCondition);
        }
        match *at_least {
            Some(0) => return fail("suffices.at_least", PolicyErrorReason::Zero),
            Some(needed) if needed > self.requests.len() => {
                let reason = PolicyErrorReason::QuorumTooLarge { needed, requests: self.requests.len() };
                return fail("suffices.at_least", reason);
            }
            _ => {}
        }
        for (index, name) in required.iter().enumerate() {
            let key = || format!("suffices.named[{index}]");
            if !self.requests.iter().any(|request| request.name == *name) {
                return fail(key(), PolicyErrorReason::UnknownRequest(name.clone()));
            }
            if required[..index].contains(name) {
                return fail(key(), PolicyErrorReason::Duplicate(name.clone()));
            }
        }
        match share_per_zone {
            Some(share) if !(*share > 0.0 && *share <= 1.0) => {
                fail("suffices.each_hall", PolicyErrorReason::PositiveShareOutOfRange)
            }
            _ => Ok(()),
        }
    }

    fn check_bytes(&self) -> Checked {
        let limits: Vec<u64> =
            (0..self.requests.len()).map(|request| self.max_response_bytes(request)).collect();
        if let Some(index) = limits.iter().position(|limit| *limit == 0) {
            return fail(format!("part[{index}].bytes"), PolicyErrorReason::Zero);
        }
        if limits.iter().all(|limit| *limit > self.max_total_bytes) {
            return fail("most_bytes", PolicyErrorReason::BelowEveryResponseLimit);
        }
        let quorum = self.smallest_quorum();
        let needed = quorum.into_iter().map(|request| limits[request]).fold(0, u64::saturating_add);
        if needed > self.max_total_bytes {
            return fail("most_bytes", PolicyErrorReason::BelowQuorumSize(needed));
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
        (None, Some(blocks)) if blocks.is_empty() => return fail("blocks", PolicyErrorReason::NoBlocks),
        (None, Some(_)) => {}
        _ => return fail("piece", PolicyErrorReason::PieceOrBlocks),
    }
    match (request.shard, &request.backend) {
        (Some(_), None) => Ok(()),
        (None, Some(backend)) => check_name("box", &backend.0),
        _ => fail("shard", PolicyErrorReason::ShardOrBackend),
    }
}
