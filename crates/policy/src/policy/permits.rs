//! Permits: a limit on the open queries of a class that loses queries to saturated replicas.
//!
//! If a query loses one part to saturated replicas, the work on its other parts is wasted and keeps
//! their replicas saturated. From the first such loss on, the class is limited by permits. The
//! permit of a lost query is not returned; answers in time add permits.
//!
//! Invariant: a class that has no permits left still admits one query from time to time. Otherwise
//! the end of the overload would go unnoticed.

use super::tuning;
use crate::api::Nanos;
use crate::state::{OpenQueries, QueryState};
use crate::stats::TokenBucket;
use std::collections::BTreeMap;

/// Permits of the classes that are limited.
#[derive(Debug, Default)]
pub struct ClassPermits {
    /// Permits of each limited class, by the index of the class.
    permits: BTreeMap<usize, TokenBucket>,
}

impl ClassPermits {
    /// Returns whether the number of open queries of this class is limited.
    pub fn is_limited(&self, class: usize) -> bool {
        self.permits.contains_key(&class)
    }

    /// Takes a permit for the query and returns whether the query may be admitted. A class that is
    /// not limited admits every query.
    pub fn try_take(&mut self, now: Nanos, query: &mut QueryState) -> bool {
        let Some(permits) = self.permits.get_mut(&query.class) else {
            return true;
        };
        query.has_permit = permits.try_take(now, tuning::MAX_ADMISSION_GAP);
        query.has_permit
    }

    /// Limits the class of a query that lost a part to saturated replicas. If the class is limited
    /// already, it loses one permit: the query's permit is not returned, or another one is removed
    /// if the query has none. `open` holds the remaining open queries.
    pub fn on_lost_to_saturation(&mut self, now: Nanos, query: &QueryState, open: &OpenQueries) {
        match self.permits.get_mut(&query.class) {
            None => {
                let open_count = open.count_of_class(query.class) as f64;
                let permits = TokenBucket::new(now, tuning::SPARE_PERMITS + open_count);
                self.permits.insert(query.class, permits);
            }
            Some(permits) if !query.has_permit => permits.set(permits.tokens() - 1.0),
            Some(_) => {}
        }
    }

    /// Releases the permit of a query that has ended and adds `change` permits, which may be
    /// negative. The limit is lifted once the class has many spare permits. `open` holds the
    /// remaining open queries.
    pub fn release(&mut self, query: &QueryState, change: f64, open: &OpenQueries) {
        let Some(permits) = self.permits.get_mut(&query.class) else {
            return;
        };
        let open_count = open.count_of_class(query.class) as f64;
        permits.set(permits.tokens() + change + f64::from(u8::from(query.has_permit)));
        if permits.tokens() >= 2.0 * tuning::SPARE_PERMITS + open_count {
            self.permits.remove(&query.class);
        }
    }
}
