//! The counts of a period by line, and the differences that late records make.
//!
//! Pure: no I/O and no clock.

use crate::rate::UsageCounts;
use std::collections::{BTreeMap, BTreeSet};

/// What a line counts: the usage of one tenant in one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LineKey {
    /// The number of the tenant in the store.
    pub tenant_id: u32,
    /// The number of the class in the store.
    pub class_id: u32,
}

/// The lines of a period.
pub type LineCounts = BTreeMap<LineKey, UsageCounts>;

/// What has to be put right of a closed period: what it comes to now, less what statements have
/// counted so far.
pub fn adjustments(now: &LineCounts, stated: &LineCounts) -> LineCounts {
    let keys: BTreeSet<LineKey> = now.keys().chain(stated.keys()).copied().collect();
    let counts = |lines: &LineCounts, key: &LineKey| lines.get(key).copied().unwrap_or_default();
    keys.into_iter()
        .map(|key| (key, counts(now, &key) - counts(stated, &key)))
        .filter(|(_, difference)| !difference.is_zero())
        .collect()
}
