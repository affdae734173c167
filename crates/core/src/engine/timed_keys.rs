//! A set of keys, each with the time at which it was added last. The oldest can be dropped.

use crate::api::Nanos;
use std::borrow::Borrow;
use std::collections::{BTreeMap, VecDeque};

/// Keys with the times at which they were added last.
#[derive(Debug)]
pub(super) struct TimedKeys<K> {
    added_at: BTreeMap<K, Nanos>,
    /// Each addition, oldest first. A key that was added again has a later one, too.
    additions: VecDeque<Addition<K>>,
}

#[derive(Debug)]
struct Addition<K> {
    key: K,
    at: Nanos,
}

impl<K> Default for TimedKeys<K> {
    fn default() -> TimedKeys<K> {
        TimedKeys {
            added_at: BTreeMap::new(),
            additions: VecDeque::new(),
        }
    }
}

impl<K: Ord + Clone> TimedKeys<K> {
    /// Returns the number of additions that are kept.
    pub(super) fn len(&self) -> usize {
        self.additions.len()
    }

    /// Adds a key, or renews its time.
    pub(super) fn insert(&mut self, key: K, now: Nanos) {
        self.added_at.insert(key.clone(), now);
        self.additions.push_back(Addition { key, at: now });
    }

    pub(super) fn remove<Q: Ord + ?Sized>(&mut self, key: &Q)
    where
        K: Borrow<Q>,
    {
        self.added_at.remove(key);
    }

    pub(super) fn contains<Q: Ord + ?Sized>(&self, key: &Q) -> bool
    where
        K: Borrow<Q>,
    {
        self.added_at.contains_key(key)
    }

    /// Returns whether a key was added less than `period` ago.
    pub(super) fn is_newer_than<Q: Ord + ?Sized>(&self, key: &Q, period: Nanos, now: Nanos) -> bool
    where
        K: Borrow<Q>,
    {
        let added_at = self.added_at.get(key);
        added_at.is_some_and(|added_at| now.saturating_sub(*added_at) < period)
    }

    /// Drops the oldest addition if it was made at least `period` ago. Returns whether it was.
    pub(super) fn drop_older_than(&mut self, period: Nanos, now: Nanos) -> bool {
        let oldest = self.additions.front();
        oldest.is_some_and(|oldest| now.saturating_sub(oldest.at) >= period) && self.drop_oldest()
    }

    /// Drops the oldest addition. Returns whether there was one.
    pub(super) fn drop_oldest(&mut self) -> bool {
        let Some(oldest) = self.additions.pop_front() else {
            return false;
        };
        // The key may have been added again since.
        if self.added_at.get(&oldest.key) == Some(&oldest.at) {
            self.added_at.remove(&oldest.key);
        }
        true
    }
}
