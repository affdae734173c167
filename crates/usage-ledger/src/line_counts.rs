//! Counts of a period by tenant and class, and their adjustment after late records.
//!
//! This module is pure: it does no I/O and reads no clock.

use crate::rate::UsageCounts;
use std::collections::{BTreeMap, BTreeSet};

/// Key of a line of a statement: one tenant and class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LineKey {
    /// Id that the store has assigned to the tenant.
    pub tenant_id: u32,
    /// Id that the store has assigned to the class.
    pub class_id: u32,
}

/// Counts of a period by tenant and class.
pub type LineCounts = BTreeMap<LineKey, UsageCounts>;

/// Returns the adjustments of a closed period: its current counts minus `billed`, its counts in all
/// statements so far. Lines without a difference are left out.
pub fn adjustments(current: &LineCounts, billed: &LineCounts) -> LineCounts {
    let keys: BTreeSet<LineKey> = current.keys().chain(billed.keys()).copied().collect();
    let counts = |lines: &LineCounts, key: &LineKey| lines.get(key).copied().unwrap_or_default();
    keys.into_iter()
        .map(|key| (key, counts(current, &key) - counts(billed, &key)))
        .filter(|(_, difference)| !difference.is_zero())
        .collect()
}
