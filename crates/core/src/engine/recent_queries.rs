//! The ids of queries that have ended and of which parts may have been executed.
//!
//! A client gives each query a new id. A query with the id of an earlier one cannot be told from it
//! at the leaf servers, so it is rejected for some time: until responses to the earlier one are no
//! longer in transit or, if parts must not be executed twice, for as long as the id is kept.

use super::MILLISECOND;
use crate::api::{Idempotency, Nanos};
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

/// Time for which the id of an idempotent query is kept.
const IDEMPOTENT_RETENTION: Nanos = 1_000 * MILLISECOND;
/// Time for which the id of any other query is kept.
const NON_IDEMPOTENT_RETENTION: Nanos = 600_000 * MILLISECOND;
/// Maximum number of ids in each of the two tables, about 1 MB of memory.
const MAX_IDS: usize = 16 * 1024;

/// The ids of recent queries.
#[derive(Debug)]
pub(super) struct RecentQueries {
    /// For each class, whether its queries may be executed again.
    idempotencies: Vec<Idempotency>,
    idempotent: RecentIds,
    non_idempotent: RecentIds,
}

impl RecentQueries {
    /// Creates an empty table. `idempotencies` is indexed by class number.
    pub(super) fn new(idempotencies: Vec<Idempotency>) -> RecentQueries {
        RecentQueries {
            idempotencies,
            idempotent: RecentIds::new(IDEMPOTENT_RETENTION),
            non_idempotent: RecentIds::new(NON_IDEMPOTENT_RETENTION),
        }
    }

    /// Returns the number of ids.
    pub(super) fn len(&self) -> usize {
        self.idempotent.by_age.len() + self.non_idempotent.by_age.len()
    }

    /// Adds a query that has ended and of which parts may have been executed.
    pub(super) fn insert(&mut self, now: Nanos, name: &str, class: u16) {
        let idempotency = self.idempotencies.get(usize::from(class));
        let ids = match idempotency {
            Some(Idempotency::Idempotent) => &mut self.idempotent,
            _ => &mut self.non_idempotent,
        };
        ids.insert(now, name);
    }

    /// Returns whether a query has the id of one that is kept.
    pub(super) fn contains(&self, now: Nanos, name: &str) -> bool {
        self.idempotent.contains(now, name) || self.non_idempotent.contains(now, name)
    }
}

/// Hashes of ids, each kept for the same time. The oldest are dropped if there are too many.
#[derive(Debug)]
struct RecentIds {
    retention: Nanos,
    /// Time at which the latest query with an id has ended, by the hash of the id.
    ended_at: BTreeMap<u64, Nanos>,
    by_age: VecDeque<RecentId>,
}

#[derive(Clone, Copy, Debug)]
struct RecentId {
    hash: u64,
    ended_at: Nanos,
}

impl RecentIds {
    fn new(retention: Nanos) -> RecentIds {
        RecentIds {
            retention,
            ended_at: BTreeMap::new(),
            by_age: VecDeque::new(),
        }
    }

    fn insert(&mut self, now: Nanos, name: &str) {
        let id = RecentId {
            hash: xxh3_64(name.as_bytes()),
            ended_at: now,
        };
        self.ended_at.insert(id.hash, now);
        self.by_age.push_back(id);
        self.drop_oldest(now);
    }

    fn contains(&self, now: Nanos, name: &str) -> bool {
        let ended_at = self.ended_at.get(&xxh3_64(name.as_bytes()));
        ended_at.is_some_and(|ended_at| self.is_kept(now, *ended_at))
    }

    fn is_kept(&self, now: Nanos, ended_at: Nanos) -> bool {
        now.saturating_sub(ended_at) < self.retention
    }

    fn drop_oldest(&mut self, now: Nanos) {
        while let Some(oldest) = self.by_age.front().copied() {
            if self.by_age.len() <= MAX_IDS && self.is_kept(now, oldest.ended_at) {
                return;
            }
            self.by_age.pop_front();
            if self.ended_at.get(&oldest.hash) == Some(&oldest.ended_at) {
                self.ended_at.remove(&oldest.hash);
            }
        }
    }
}
