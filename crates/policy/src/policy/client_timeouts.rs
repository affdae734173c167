//! Estimates from client timeouts how much of its latency objective a query has spent on earlier
//! attempts of its client.

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

/// The timeout that the majority of first attempts have, by class and tenant.
#[derive(Debug, Default)]
pub struct ClientTimeouts {
    majorities: BTreeMap<ClientGroup, MajorityVote>,
}

impl ClientTimeouts {
    /// How much of its latency objective a retry has spent before it was received: its client
    /// timeout ends with the deadline of the client's first attempt. 0 for a first attempt.
    pub fn time_spent_by_earlier_attempts(
        &mut self,
        received: &QueryReceived,
        class: &QueryClass,
        retries_marked: bool,
    ) -> Nanos {
        let timeout = received.client_timeout;
        let tolerance = class.latency_objective / tuning::TIMEOUT_TOLERANCE;
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

    /// The number of records held.
    pub fn len(&self) -> usize {
        self.majorities.len()
    }
}
