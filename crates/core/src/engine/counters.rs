//! What the aggregator has received, sent and answered since its start.
//!
//! The counters are published as JSON (`GET /-/stats`). The names of the fields are its keys, so
//! they must not change.

use crate::api::AttemptOutcome;
use serde::Serialize;
use std::collections::BTreeMap;

/// All counters of a process.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct EngineCounters {
    /// What clients have sent.
    pub received: ReceivedCounters,
    /// What was sent to leaf servers and other aggregators.
    pub sent: SentCounters,
    /// How attempts ended.
    pub attempts_ended: AttemptCounters,
    /// How queries ended.
    pub queries_ended: QueryCounters,
    /// Connections to clients and leaf servers.
    pub connections: ConnectionCounters,
    /// Updates of the endpoint list.
    pub endpoint_updates: u64,
    /// Usage records that were passed to the usage log; 0 while no usage is recorded.
    pub recorded: u64,
    /// Of the records, those of each tenant and class that the settings name: `TENANT CLASS`.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub recorded_of: BTreeMap<String, u64>,
    /// Reloads of the platform's configuration. A reload of our own settings is not counted.
    pub reloads: ReloadCounters,
    /// Events that must never happen; each is logged with its cause.
    pub faults: FaultCounters,
}

/// What clients have sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ReceivedCounters {
    /// Queries that were passed to the policy.
    pub queries: u64,
    /// Their parts.
    pub parts: u64,
    /// Of the queries, those marked as retries.
    pub retries: u64,
    /// Malformed requests, rejected before any decision.
    pub invalid: u64,
    /// Queries rejected before any decision since too many were open.
    pub over_capacity: u64,
    /// Queries whose client had no time left when they arrived.
    pub too_late: u64,
}

/// What was sent to leaf servers and other aggregators.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SentCounters {
    /// Calls, each with one or more parts.
    pub calls: u64,
    /// Attempts that the policy requested.
    pub attempts: u64,
    /// Of the attempts, those that were not the first of their part.
    pub retries: u64,
    /// Cancellations of attempts in flight.
    pub cancellations: u64,
    /// Health checks.
    pub health_checks: u64,
    /// Gossip messages.
    pub gossip_messages: u64,
}

/// How attempts ended, by [`AttemptOutcome`].
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct AttemptCounters {
    /// With a result.
    pub success: u64,
    /// With an error, or with a malformed response.
    pub error: u64,
    /// Rejected by the replica.
    pub rejected: u64,
    /// Without a response in time.
    pub timed_out: u64,
    /// Without a connection.
    pub unreachable: u64,
    /// With the loss of the connection.
    pub connection_lost: u64,
    /// Cancelled by us.
    pub cancelled: u64,
    /// Never sent.
    pub not_sent: u64,
}

impl AttemptCounters {
    /// Counts one attempt.
    pub(super) fn count(&mut self, outcome: AttemptOutcome) {
        let counter = match outcome {
            AttemptOutcome::Success => &mut self.success,
            AttemptOutcome::Error => &mut self.error,
            AttemptOutcome::Rejected => &mut self.rejected,
            AttemptOutcome::TimedOut => &mut self.timed_out,
            AttemptOutcome::Unreachable => &mut self.unreachable,
            AttemptOutcome::ConnectionLost => &mut self.connection_lost,
            AttemptOutcome::Cancelled => &mut self.cancelled,
            AttemptOutcome::NotSent => &mut self.not_sent,
        };
        *counter += 1;
    }
}

/// How the queries that were passed to the policy ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct QueryCounters {
    /// With a complete answer.
    pub complete: u64,
    /// With a partial answer.
    pub partial: u64,
    /// Rejected: trying again is harmless.
    pub rejected: u64,
    /// Failed, with no promise about their effect.
    pub failed: u64,
    /// The client disconnected before the reply.
    pub client_disconnected: u64,
}

/// Connections to clients and leaf servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ConnectionCounters {
    /// Clients that connected.
    pub clients: u64,
    /// Connections to leaf servers that were begun.
    pub opened: u64,
    /// Of these, those that were not established.
    pub connect_failed: u64,
    /// Connections to leaf servers that failed or were closed by the leaf server.
    pub lost: u64,
    /// Connections to leaf servers that became unresponsive and get no new attempts.
    pub silent: u64,
    /// Connections to leaf servers that were closed because of a malformed response.
    pub malformed: u64,
    /// Connections to leaf servers that were closed because they were idle.
    pub idle_closed: u64,
}

/// Reloads of the platform's configuration. A reload of our own settings is not counted.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ReloadCounters {
    /// Those that were applied.
    pub applied: u64,
    /// Those whose configuration could not be used.
    pub failed: u64,
}

/// Events that must never happen.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FaultCounters {
    /// Queries that were open at their reply deadline and failed then.
    pub reply_deadline: u64,
    /// Answers that claimed more than their parts support.
    pub overstated_coverage: u64,
    /// Actions on what does not exist or is not allowed.
    pub unknown_target: u64,
}
