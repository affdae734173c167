//! Permits: a limit on the open queries of a class that loses queries to saturated replicas.
//!
//! A query that loses a part to saturated replicas has all its other parts executed for nothing,
//! which keeps their replicas saturated. So from the first such loss on a class has permits, and
//! those of lost queries are not returned. Answers in time raise the number of permits again.
//!
//! Invariant: of a class without permits, one query is admitted now and then; otherwise the end of
//! the overload would not be noticed.

use super::tuning;
use crate::api::Nanos;
use crate::state::{OpenQueries, QueryState};
use crate::stats::TokenBucket;
use std::collections::BTreeMap;

/// The permits of each class that is limited.
#[derive(Debug, Default)]
pub struct ClassPermits {
    /// By the class's index.
    permits: BTreeMap<usize, TokenBucket>,
}

impl ClassPermits {
    /// Whether the class is limited.
    pub fn is_limited(&self, class: usize) -> bool {
        self.permits.contains_key(&class)
    }

    /// Takes a permit for the query. Returns whether it may be admitted; in a class that is not
    /// limited it may.
    pub fn try_take(&mut self, now: Nanos, query: &mut QueryState) -> bool {
        let Some(permits) = self.permits.get_mut(&query.class) else {
            return true;
        };
        query.has_permit = permits.try_take(now, tuning::MAX_ADMISSION_GAP);
        query.has_permit
    }

    /// Handles the end of a query that lost a part to saturated replicas: its permit is not
    /// returned. `open` are the other queries.
    pub fn on_lost_to_saturation(&mut self, now: Nanos, query: &QueryState, open: &OpenQueries) {
        match self.permits.get_mut(&query.class) {
            None => {
                let open = open.count_of_class(query.class) as f64;
                let permits = TokenBucket::new(now, tuning::SPARE_PERMITS + open);
                self.permits.insert(query.class, permits);
            }
            Some(permits) if !query.has_permit => permits.set(permits.tokens() - 1.0),
            Some(_) => {}
        }
    }

    /// Returns the permit of a query that has ended, and changes the number of permits by `change`.
    /// A class with many permits is no longer limited. `open` are the other queries.
    pub fn give_back(&mut self, query: &QueryState, change: f64, open: &OpenQueries) {
        let Some(permits) = self.permits.get_mut(&query.class) else {
            return;
        };
        let open = open.count_of_class(query.class) as f64;
        permits.set(permits.tokens() + change + f64::from(u8::from(query.has_permit)));
        if permits.tokens() >= 2.0 * tuning::SPARE_PERMITS + open {
            self.permits.remove(&query.class);
        }
    }
}
