//! The counts of a period by line, and the differences that late records make.
//!
//! Pure: no I/O and no clock.

use crate::rate::UsageCounts;
use std::collections::{BTreeMap, BTreeSet};

/// Identifies a line: the usage of one tenant in one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LineKey {
    /// The number of the tenant in the store.
    pub tenant_id: u32,
    /// The number of the class in the store.
    pub class_id: u32,
}

/// The lines of a period.
pub type LineCounts = BTreeMap<LineKey, UsageCounts>;

/// The adjustments of a closed period: its present counts minus those of all statements so far.
pub fn adjustments(now: &LineCounts, stated: &LineCounts) -> LineCounts {
    let keys: BTreeSet<LineKey> = now.keys().chain(stated.keys()).copied().collect();
    let counts = |lines: &LineCounts, key: &LineKey| lines.get(key).copied().unwrap_or_default();
    keys.into_iter()
        .map(|key| (key, counts(now, &key) - counts(stated, &key)))
        .filter(|(_, difference)| !difference.is_zero())
        .collect()
}
