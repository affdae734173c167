//! Harness that passes events to a policy, and functions that extract results from its actions.

#![allow(dead_code, reason = "each test file uses only some of these functions")]

use aggregator_policy::api::{
    Action, AttemptEnded, AttemptOutcome, EndpointUpdateKind, Event, PartReceived, PolicySettings,
    QueryClass, QueryReceived, ReplicaEntry, ReplicaId, ReplicaState,
};
use aggregator_policy::Policy;

/// One millisecond, in nanoseconds.
pub const MS: u64 = 1_000_000;
/// Time at which each test starts, in nanoseconds. Tests state times in milliseconds after it.
pub const START: u64 = 100_000 * MS;

/// Class of idempotent queries whose deadline is three times the latency objective.
pub fn class(latency_objective_ms: u64, minimum_coverage: f64) -> QueryClass {
    QueryClass {
        latency_objective: latency_objective_ms * MS,
        deadline: 3 * latency_objective_ms * MS,
        completeness_threshold: 1.0,
        minimum_coverage,
        partial_value: 0.9,
        ..QueryClass::default()
    }
}

/// Settings of a deployment with one placement cell, in which every replica holds every shard.
pub fn settings(classes: Vec<QueryClass>) -> PolicySettings {
    PolicySettings {
        classes,
        placement_cells: 1,
        cells_per_shard: 1,
        max_parts_per_call: Some(16),
        aggregators: 2,
        min_batch_interval: 5 * MS,
        max_attempts: Some(4),
        cancellation_allowed: true,
        hedging_allowed: true,
        max_retry_after: 1000 * MS,
        ..PolicySettings::default()
    }
}

/// Settings with one class that needs every part, and with clients that mark their retries.
pub fn settings_with_marked_retries() -> PolicySettings {
    PolicySettings {
        retries_marked: true,
        ..settings(vec![class(2000, 1.0)])
    }
}

/// Entry of a ready replica that started long ago.
pub fn ready_replica(replica: u64) -> ReplicaEntry {
    ReplicaEntry {
        replica: ReplicaId(replica),
        cell: 0,
        zone: 0,
        started_at: 0,
        state: ReplicaState::Ready,
    }
}

/// The policy of one aggregator, with a simulated clock.
pub struct PolicyHarness {
    pub policy: Policy,
    /// Time of the last batch, in nanoseconds.
    pub now: u64,
    /// Number of the next query, from 1.
    pub next_query: u64,
}

impl PolicyHarness {
    /// Creates a policy with the ready replicas 1 to `replicas`.
    pub fn new(settings: PolicySettings, replicas: u64) -> PolicyHarness {
        let mut harness = PolicyHarness {
            policy: Policy::new(settings, 7),
            now: START,
            next_query: 1,
        };
        harness.update_endpoints(
            EndpointUpdateKind::Cached,
            (1..=replicas).map(ready_replica).collect(),
        );
        harness
    }

    /// Passes a batch of events to the policy, `ms` milliseconds after the start of the test.
    pub fn handle_at(&mut self, ms: u64, events: &[Event]) -> Vec<Action> {
        self.now = START + ms * MS;
        let mut actions = Vec::new();
        self.policy.handle(self.now, events, &mut actions);
        actions
    }

    /// Updates the endpoint list at the time of the last batch.
    pub fn update_endpoints(&mut self, kind: EndpointUpdateKind, entries: Vec<ReplicaEntry>) {
        let ms = (self.now - START) / MS;
        self.handle_at(ms, &[Event::EndpointsUpdated { kind, entries }]);
    }

    /// Sends a query with parts of these weights on the shards 0, 1, ... Returns the query's
    /// identifier and the actions. The identifiers of the parts follow that of the query.
    pub fn query(&mut self, ms: u64, class: u16, weights: &[f64]) -> (u64, Vec<Action>) {
        let client_timeout = 6000 * MS;
        self.query_with_timeout(ms, class, weights, client_timeout)
    }

    pub fn query_with_timeout(
        &mut self,
        ms: u64,
        class: u16,
        weights: &[f64],
        client_timeout: u64,
    ) -> (u64, Vec<Action>) {
        self.send_query(ms, class, weights, client_timeout, false)
    }

    pub fn send_query(
        &mut self,
        ms: u64,
        class: u16,
        weights: &[f64],
        client_timeout: u64,
        is_retry: bool,
    ) -> (u64, Vec<Action>) {
        let (id, group) = (self.next_query * 100, self.next_query as u32);
        self.next_query += 1;
        let mut events = vec![Event::QueryReceived(QueryReceived {
            id,
            group,
            class,
            tenant: 0,
            client_timeout,
            expected_work: None,
            is_retry,
        })];
        for (index, weight) in weights.iter().enumerate() {
            events.push(Event::PartReceived(PartReceived {
                id: id + 1 + index as u64,
                group,
                shard: index as u32,
                weight: *weight,
            }));
        }
        (id, self.handle_at(ms, &events))
    }

    pub fn end_attempt(
        &mut self,
        ms: u64,
        part: u64,
        attempt: u8,
        replica: ReplicaId,
        outcome: AttemptOutcome,
    ) -> Vec<Action> {
        self.handle_at(ms, &[attempt_ended(part, attempt, replica, outcome)])
    }

    pub fn fire_timer(&mut self, ms: u64) -> Vec<Action> {
        self.handle_at(ms, &[Event::TimerFired { token: 0 }])
    }

    /// Fires the timer every 10 ms between two times and returns all actions.
    pub fn run_timers(&mut self, from_ms: u64, to_ms: u64) -> Vec<Action> {
        (from_ms / 10..=to_ms / 10)
            .flat_map(|tick| self.fire_timer(tick * 10))
            .collect()
    }

    /// Sends a query of one part, answers the part after `latency_ms`, and returns its replica.
    pub fn serve_query(&mut self, ms: u64, latency_ms: u64) -> ReplicaId {
        let (id, actions) = self.query(ms, 0, &[1.0]);
        let (_, replica) = sent_attempts(&actions)[0];
        self.end_attempt(ms + latency_ms, id + 1, 0, replica, AttemptOutcome::Success);
        replica
    }
}

pub fn attempt_ended(part: u64, attempt: u8, replica: ReplicaId, outcome: AttemptOutcome) -> Event {
    Event::AttemptEnded(AttemptEnded {
        part,
        attempt,
        replica,
        outcome,
        report: vec![f32::NAN],
    })
}

/// Returns one event for the end of each of these first attempts.
pub fn all_attempts_ended(sent: &[(u64, ReplicaId)], outcome: AttemptOutcome) -> Vec<Event> {
    sent.iter()
        .map(|(part, replica)| attempt_ended(*part, 0, *replica, outcome))
        .collect()
}

/// Returns the part and the replica of each attempt sent, in order.
pub fn sent_attempts(actions: &[Action]) -> Vec<(u64, ReplicaId)> {
    let sent = |action: &Action| match action {
        Action::SendAttempt { part, replica, .. } => Some((*part, *replica)),
        _ => None,
    };
    actions.iter().filter_map(sent).collect()
}

/// Returns the outcome of each query that ended: "complete", "partial", "rejected" or "failed".
pub fn final_actions(actions: &[Action]) -> Vec<&'static str> {
    let outcome = |action: &Action| match action {
        Action::Answer { complete: true, .. } => Some("complete"),
        Action::Answer {
            complete: false, ..
        } => Some("partial"),
        Action::Reject { .. } => Some("rejected"),
        Action::Fail { .. } => Some("failed"),
        _ => None,
    };
    actions.iter().filter_map(outcome).collect()
}

/// Returns whether any log line contains this text.
pub fn has_log_line(actions: &[Action], text: &str) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Log(line) if line.contains(text)))
}
