//! The ids of queries that have ended and of which parts may have been executed.
//!
//! A client gives each query a new id. A query with the id of an earlier one cannot be told from it
//! at the leaf servers, so it is rejected for some time: until responses to the earlier one are no
//! longer in transit or, if parts must not be executed twice, for as long as the id is kept.

use super::timed_keys::TimedKeys;
use super::MILLISECOND;
use crate::api::{Idempotency, Nanos};
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
        self.idempotent.hashes.len() + self.non_idempotent.hashes.len()
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
    hashes: TimedKeys<u64>,
}

impl RecentIds {
    fn new(retention: Nanos) -> RecentIds {
        RecentIds {
            retention,
            hashes: TimedKeys::default(),
        }
    }

    fn insert(&mut self, now: Nanos, name: &str) {
        self.hashes.insert(xxh3_64(name.as_bytes()), now);
        if self.hashes.len() > MAX_IDS {
            self.hashes.drop_oldest();
        }
        while self.hashes.drop_older_than(self.retention, now) {}
    }

    fn contains(&self, now: Nanos, name: &str) -> bool {
        let hash = xxh3_64(name.as_bytes());
        self.hashes.is_newer_than(&hash, self.retention, now)
    }
}
