//! Parts of a cold budget by measured traffic.
use cluster_types::MemberId;
use std::collections::BTreeMap;

/// Shares `total` parts by weight: their sum is never more, and is all of it as long as there is anyone. Each has one at least as
/// far as there are enough, for a front without measured traffic would otherwise never get any; without any measure all have
/// the same.
pub fn parts(total: u16, weights: &BTreeMap<MemberId, u64>) -> BTreeMap<MemberId, u16> {
    let count = weights.len();
    if count == 0 {
        return BTreeMap::new();
    }
    if usize::from(total) <= count {
        return weights
            .keys()
            .enumerate()
            .map(|(i, m)| (m.clone(), u16::from(i < usize::from(total))))
            .collect();
    }
    let sum: u128 = weights.values().map(|w| u128::from(*w)).sum();
    let spread = u128::from(total) - count as u128;
    let weighed = |w: u64| if sum == 0 { (1, count as u128) } else { (u128::from(w), sum) };
    let mut shares: Vec<(&MemberId, u128, u128)> = weights
        .iter()
        .map(|(m, w)| {
            let (w, all) = weighed(*w);
            (m, 1 + spread * w / all, spread * w % all)
        })
        .collect();
    // What rounding leaves goes to those who lost most by it.
    let left = u128::from(total).saturating_sub(shares.iter().map(|s| s.1).sum());
    shares.sort_by(|a, b| b.2.cmp(&a.2).then(a.0.cmp(b.0)));
    shares.iter_mut().take(usize::try_from(left).unwrap_or(0)).for_each(|s| s.1 += 1);
    shares.into_iter().map(|(m, n, _)| (m.clone(), u16::try_from(n).unwrap_or(0))).collect()
}
