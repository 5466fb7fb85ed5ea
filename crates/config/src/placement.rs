//! Indexes that stay valid across reloads: names that a later file removes keep their index, and new names are appended.
use crate::error::invalid;
use crate::ConfigError;
use std::collections::BTreeSet;

/// The maximum number of classes, plans or zones. Reloads keep removed ones, so their number could grow without bound.
const MAX_NAMES: usize = 256;

/// Merges new names into old ones. Each entry of the result is the index among the new names, or `None` for an old name that
/// was removed.
pub(crate) fn merge_names(
    key: &str,
    old: &[String],
    new: &[String],
) -> Result<Vec<Option<usize>>, ConfigError> {
    let kept = old.iter().map(|name| new.iter().position(|other| other == name));
    let added = (0..new.len()).filter(|index| !old.contains(&new[*index])).map(Some);
    let merged: Vec<_> = kept.chain(added).collect();
    if merged.len() > MAX_NAMES {
        return invalid(key, "too many, with those that earlier files named: this needs a restart");
    }
    Ok(merged)
}

/// The values at the merged indexes: the new one, or the old one where its name was removed.
pub(crate) fn place<T: Clone>(merged: &[Option<usize>], old: &[T], new: &[T]) -> Vec<T> {
    let value = |(index, place): (usize, &Option<usize>)| match place {
        Some(new_index) => new[*new_index].clone(),
        None => old[index].clone(),
    };
    merged.iter().enumerate().map(value).collect()
}

/// The merged indexes of removed names.
pub(crate) fn removed(merged: &[Option<usize>]) -> BTreeSet<usize> {
    (0..merged.len()).filter(|index| merged[*index].is_none()).collect()
}
