//! Divides a recovering backend's cold budget among members.
use cluster_types::MemberId;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Quotas by member, in thousandths of a backend's cold budget.
pub type Quotas = BTreeMap<MemberId, u16>;

/// A member's quota while the division is computed.
struct Allotment<'a> {
    member: &'a MemberId,
    quota: u128,
    /// What rounding down took from the member's share; only comparable within one division.
    remainder: u128,
}

/// Divides `total` among members in proportion to their weights. The quotas add up to `total` unless there are no members.
/// If `total` suffices, each member gets at least 1: a member without measured traffic could otherwise never have any.
/// If no member has traffic, all get the same. What is left after rounding goes to the largest remainders.
pub fn distribute_quotas(total: u16, weights: &BTreeMap<MemberId, u64>) -> Quotas {
    let count = weights.len();
    if count == 0 {
        return Quotas::new();
    }
    if usize::from(total) <= count {
        let members = weights.keys().enumerate();
        return members.map(|(i, member)| (member.clone(), u16::from(i < usize::from(total)))).collect();
    }
    let weight_sum: u128 = weights.values().map(|weight| u128::from(*weight)).sum();
    let divisible = u128::from(total) - count as u128;
    let mut allotments = Vec::new();
    for (member, weight) in weights {
        let (weight, sum) =
            if weight_sum == 0 { (1, count as u128) } else { (u128::from(*weight), weight_sum) };
        let share = divisible * weight;
        allotments.push(Allotment { member, quota: 1 + share / sum, remainder: share % sum });
    }
    let assigned: u128 = allotments.iter().map(|allotment| allotment.quota).sum();
    let unassigned = u128::from(total).saturating_sub(assigned);
    allotments.sort_by_key(|allotment| (Reverse(allotment.remainder), allotment.member));
    for allotment in allotments.iter_mut().take(usize::try_from(unassigned).unwrap_or(0)) {
        allotment.quota += 1;
    }
    let quota = |quota: u128| u16::try_from(quota).unwrap_or(0);
    allotments.into_iter().map(|allotment| (allotment.member.clone(), quota(allotment.quota))).collect()
}
