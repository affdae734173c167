//! Estimates, from client timeouts, how much of a query's latency objective its client has spent on
//! earlier attempts.

use super::tuning;
use crate::api::{Nanos, QueryClass, QueryReceived};
use crate::stats::MajorityVote;
use std::collections::BTreeMap;

/// Clients that are expected to use the same timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ClientGroup {
    class: u16,
    tenant: u32,
}

/// Client timeout of the majority of first attempts, by class and tenant.
#[derive(Debug, Default)]
pub struct ClientTimeouts {
    majorities: BTreeMap<ClientGroup, MajorityVote>,
}

impl ClientTimeouts {
    /// Returns how much of its latency objective a client's retry had spent before it was received,
    /// and 0 for a first attempt. The timeout of a retry is assumed to end at the deadline of the
    /// client's first attempt, so it is shorter than the timeout of the majority.
    pub fn time_spent_by_earlier_attempts(
        &mut self,
        received: &QueryReceived,
        class: &QueryClass,
        retries_marked: bool,
    ) -> Nanos {
        let timeout = received.client_timeout;
        let tolerance = class.latency_objective / tuning::TIMEOUT_TOLERANCE_DIVISOR;
        let are_similar = |a: Nanos, b: Nanos| a.abs_diff(b) <= tolerance;
        let group = ClientGroup {
            class: received.class,
            tenant: received.tenant,
        };
        let majority = self.majorities.entry(group).or_default();
        if !received.is_retry {
            majority.vote(timeout, tuning::MAX_TIMEOUT_LEAD, are_similar);
        }
        let is_known_first = retries_marked && !received.is_retry;
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
