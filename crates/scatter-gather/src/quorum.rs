//! Decides whether a set of responses is a quorum or an answer, and which responses get memory first.
use crate::policy::{PartialResultPolicy, Policy, QuorumConditions, QuorumRule};
use cluster_types::Zone;
use std::collections::{BTreeMap, BTreeSet};

/// A fraction of a count may exceed an integer by this much and still be rounded down to it.
const ROUNDING_TOLERANCE: f64 = 1e-9;

impl Policy {
    fn conditions(&self) -> Option<&QuorumConditions> {
        match &self.quorum {
            QuorumRule::All => None,
            QuorumRule::Conditions(conditions) => Some(conditions),
        }
    }

    /// Whether the policy requires the response to this request.
    pub fn is_required(&self, request: usize) -> bool {
        let (Some(conditions), Some(request)) = (self.conditions(), self.requests.get(request)) else {
            return false;
        };
        conditions.required.contains(&request.name)
    }

    /// Whether the responses for which `has` is true form a quorum.
    pub fn is_quorum(&self, has: impl Fn(usize) -> bool) -> bool {
        let count = (0..self.requests.len()).filter(|request| has(*request)).count();
        if count == 0 {
            return false;
        }
        let Some(conditions) = self.conditions() else { return count == self.requests.len() };
        conditions.at_least.is_none_or(|needed| count >= needed)
            && self.has_all_required(&has)
            && conditions.share_per_zone.is_none_or(|share| self.has_share_of_each_zone(share, &has))
    }

    fn has_all_required(&self, has: impl Fn(usize) -> bool) -> bool {
        (0..self.requests.len()).all(|request| has(request) || !self.is_required(request))
    }

    fn has_share_of_each_zone(&self, share: f64, has: impl Fn(usize) -> bool) -> bool {
        self.requests_by_zone().values().all(|requests| {
            let count = requests.iter().filter(|request| has(**request)).count();
            count >= responses_for_share(share, requests.len())
        })
    }

    /// Whether the responses for which `has` is true suffice for an answer, complete or partial.
    pub fn is_answer(&self, has: impl Fn(usize) -> bool) -> bool {
        match self.partial_results {
            PartialResultPolicy::Fail => self.is_quorum(has),
            PartialResultPolicy::Allow => (0..self.requests.len()).any(&has) && self.has_all_required(&has),
        }
    }

    /// The requests of each zone, in the policy's order.
    pub fn requests_by_zone(&self) -> BTreeMap<&Zone, Vec<usize>> {
        let mut zones: BTreeMap<&Zone, Vec<usize>> = BTreeMap::new();
        for (index, request) in self.requests.iter().enumerate() {
            zones.entry(&request.zone).or_default().push(index);
        }
        zones
    }

    /// A quorum of responses with the smallest size limits: the required ones, the smallest of each zone, then the smallest
    /// overall.
    pub(crate) fn smallest_quorum(&self) -> BTreeSet<usize> {
        let all = 0..self.requests.len();
        let Some(conditions) = self.conditions() else { return all.collect() };
        let mut quorum: BTreeSet<usize> = all.clone().filter(|request| self.is_required(*request)).collect();
        let mut by_size: Vec<usize> = all.collect();
        by_size.sort_by_key(|request| (self.max_response_bytes(*request), *request));
        if let Some(share) = conditions.share_per_zone {
            for requests in self.requests_by_zone().values() {
                let have = requests.iter().filter(|request| quorum.contains(request)).count();
                let lacking = responses_for_share(share, requests.len()).saturating_sub(have);
                let of_zone = by_size.iter().filter(|request| requests.contains(request));
                add_smallest(&mut quorum, of_zone, lacking);
            }
        }
        let lacking = conditions.at_least.unwrap_or(0).saturating_sub(quorum.len());
        add_smallest(&mut quorum, by_size.iter(), lacking);
        quorum
    }

    /// The order in which memory is reserved for responses: a quorum first, so that large responses beyond it cannot
    /// prevent an answer.
    pub(crate) fn memory_order(&self) -> Vec<usize> {
        let quorum = self.smallest_quorum();
        let rest: Vec<usize> = (0..self.requests.len()).filter(|request| !quorum.contains(request)).collect();
        quorum.into_iter().chain(rest).collect()
    }
}

/// Adds the first `count` requests that are not in the quorum yet.
fn add_smallest<'a>(quorum: &mut BTreeSet<usize>, by_size: impl Iterator<Item = &'a usize>, count: usize) {
    let more: Vec<usize> = by_size.filter(|request| !quorum.contains(request)).take(count).copied().collect();
    quorum.extend(more);
}

/// The number of responses for a fraction of a zone's requests: rounded up, at least one.
fn responses_for_share(share: f64, requests: usize) -> usize {
    ((share * requests as f64 - ROUNDING_TOLERANCE).ceil() as usize).clamp(1, requests.max(1))
}
