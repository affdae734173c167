//! Counters of what the aggregator has received, sent and answered since its start.
//!
//! They are published as JSON (`GET /-/stats`). The field names are the JSON keys, so they must not
//! change.

use crate::api::AttemptOutcome;
use serde::Serialize;
use std::collections::BTreeMap;

/// All counters of a process, from its start on.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct EngineCounters {
    /// Requests received from clients.
    pub received: ReceivedCounters,
    /// Messages sent to leaf servers and to other aggregators.
    pub sent: SentCounters,
    /// Ended attempts, by outcome.
    pub attempts_ended: AttemptCounters,
    /// Ended queries, by outcome.
    pub queries_ended: QueryCounters,
    /// Connections to clients and to leaf servers.
    pub connections: ConnectionCounters,
    /// Updates of the endpoint list received from discovery.
    pub endpoint_updates: u64,
    /// Usage records passed to the usage log; 0 while usage is not recorded.
    pub recorded: u64,
    /// Usage records by tenant and class. Keys have the form `TENANT CLASS`, with the names from
    /// the settings.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub recorded_of: BTreeMap<String, u64>,
    /// Reloads of the platform's configuration. Reloads of the aggregator's settings are not
    /// counted.
    pub reloads: ReloadCounters,
    /// Events that must never occur.
    pub faults: FaultCounters,
}

/// Requests received from clients.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ReceivedCounters {
    /// Queries passed to the policy.
    pub queries: u64,
    /// Parts of the queries passed to the policy.
    pub parts: u64,
    /// Queries passed to the policy that the client marked as retries.
    pub retries: u64,
    /// Invalid requests, rejected before they reached the policy.
    pub invalid: u64,
    /// Queries rejected before they reached the policy because too many queries and parts were
    /// open, because too many clients were waiting for replies, or because no memory was left for
    /// the requests of clients.
    pub over_capacity: u64,
    /// Queries rejected before they reached the policy because the client had no time left, or
    /// because the process was about to exit.
    pub too_late: u64,
}

/// Messages sent to leaf servers and to other aggregators.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SentCounters {
    /// Calls to leaf servers, each with one or more parts.
    pub calls: u64,
    /// Attempts requested by the policy.
    pub attempts: u64,
    /// Attempts requested by the policy that were not the first attempt at their part.
    pub retries: u64,
    /// Cancellations of attempts in flight.
    pub cancellations: u64,
    /// Health checks of leaf servers.
    pub health_checks: u64,
    /// Gossip messages to other aggregators.
    pub gossip_messages: u64,
}

/// Ended attempts, by [`AttemptOutcome`].
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct AttemptCounters {
    /// Attempts that returned a result.
    pub success: u64,
    /// Attempts that returned an error or a malformed response.
    pub error: u64,
    /// Attempts rejected by the replica.
    pub rejected: u64,
    /// Attempts that were sent and had no response before their timeout.
    pub timed_out: u64,
    /// Attempts that did not reach the replica, because no connection was available or because it
    /// was lost before the frame was written.
    pub unreachable: u64,
    /// Attempts whose connection was lost after the replica may have received them.
    pub connection_lost: u64,
    /// Attempts cancelled by the aggregator, whether or not they were sent.
    pub cancelled: u64,
    /// Attempts dropped before they were sent, for example at their timeout or because their
    /// replica was draining.
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

/// Ended queries that had been passed to the policy, by outcome.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct QueryCounters {
    /// Queries with a complete answer.
    pub complete: u64,
    /// Queries with a partial answer.
    pub partial: u64,
    /// Rejected queries; a retry is harmless.
    pub rejected: u64,
    /// Failed queries, which may or may not have had an effect.
    pub failed: u64,
    /// Queries whose client disconnected before the reply.
    pub client_disconnected: u64,
}

/// Connections to clients and to leaf servers.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ConnectionCounters {
    /// Clients that have connected.
    pub clients: u64,
    /// Connections to leaf servers that were initiated.
    pub opened: u64,
    /// Connections to leaf servers that were initiated but never established.
    pub connect_failed: u64,
    /// Connections to leaf servers that failed or were closed by the leaf server.
    pub lost: u64,
    /// Connections to leaf servers that became unresponsive and receive no new attempts.
    pub silent: u64,
    /// Connections to leaf servers closed because of a malformed response.
    pub malformed: u64,
    /// Connections to leaf servers closed because they were idle for the idle period, or to make
    /// room for another connection.
    pub idle_closed: u64,
}

/// Reloads of the platform's configuration, by result. Reloads of the aggregator's settings are not
/// counted.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ReloadCounters {
    /// Reloads whose configuration was applied.
    pub applied: u64,
    /// Reloads whose configuration was invalid and was not applied.
    pub failed: u64,
}

/// Events that must never occur.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FaultCounters {
    /// Queries still open at their reply deadline, which failed for that reason.
    pub reply_deadline: u64,
    /// Answers rejected because they claimed a higher coverage than their results had.
    pub overstated_coverage: u64,
    /// Actions of the policy that could not be executed: attempts at parts that are not open, and
    /// gossip messages that are too long or that the settings do not allow.
    pub unknown_target: u64,
}
