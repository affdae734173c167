//! Estimates, from client timeouts, how much of a query's latency objective its client has spent on
//! earlier attempts.

use super::tuning;
use crate::api::{Nanos, QueryClass, QueryReceived};
use crate::stats::MajorityVote;
use std::collections::BTreeMap;

/// Group of clients that are expected to use the same timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ClientGroup {
    /// Index of the class.
    class: u16,
    /// Number of the tenant.
    tenant: u32,
}

/// Client timeout of the majority of first attempts, for each class and tenant.
#[derive(Debug, Default)]
pub struct ClientTimeouts {
    majorities: BTreeMap<ClientGroup, MajorityVote>,
}

impl ClientTimeouts {
    /// Returns the time that the client had spent on earlier attempts when the query was received,
    /// or 0 for a first attempt. A query counts as a retry if its client timeout differs from that
    /// of the majority; if `retries_marked`, only marked queries do so. The timeout of a retry is
    /// assumed to end at the deadline of the client's first attempt.
    pub fn time_spent_by_earlier_attempts(
        &mut self,
        query: &QueryReceived,
        class: &QueryClass,
        retries_marked: bool,
    ) -> Nanos {
        let timeout = query.client_timeout;
        let tolerance = class.latency_objective / tuning::TIMEOUT_TOLERANCE_DIVISOR;
        let are_similar = |a: Nanos, b: Nanos| a.abs_diff(b) <= tolerance;
        let group = ClientGroup {
            class: query.class,
            tenant: query.tenant,
        };
        let majority = self.majorities.entry(group).or_default();
        if !query.is_retry {
            majority.vote(timeout, tuning::MAX_TIMEOUT_LEAD, are_similar);
        }
        let is_known_first = retries_marked && !query.is_retry;
        let leader = majority.leader();
        let has_majority_timeout = leader.is_none_or(|leader| are_similar(timeout, leader));
        if is_known_first || has_majority_timeout {
            0
        } else {
            class.deadline.saturating_sub(timeout)
        }
    }

    /// Returns the number of client groups for which a majority is tracked.
    pub fn len(&self) -> usize {
        self.majorities.len()
    }
}
