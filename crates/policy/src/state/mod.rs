//! Records of replicas, queries, parts and attempts: data and its bookkeeping, no decisions.

mod part;
mod query;
mod query_table;
mod replica;

pub use part::{AttemptId, AttemptRecord, InFlightAttempt, PartState, RaceWinner};
pub use query::{QueryState, StepSums, REACHABLE_TOLERANCE};
pub use query_table::OpenQueries;
pub use replica::{ConnectionUse, KnownReplicas, ReplicaRecord};

use crate::api::Nanos;
use crate::stats::{blend, SlidingWindow};

/// The weight cutoff and what it follows.
#[derive(Debug, Default)]
pub struct CutoffState {
    /// Parts lighter than this may be dropped.
    pub value: f64,
    /// When it last moved.
    pub moved: Nanos,
    /// When the overload signal was last on.
    pub last_overload: Nanos,
    /// The parts judged lately, each with whether it missed its latency objective or was rejected.
    pub judged: SlidingWindow<bool>,
}

impl CutoffState {
    /// Adds a part to the overload signal, once.
    pub fn judge(&mut self, now: Nanos, part: &mut PartState, is_missed: bool) {
        if !std::mem::replace(&mut part.is_counted, true) {
            self.judged.push(now, is_missed);
        }
    }
}

/// Losses by kind of connection, and the renewal of connections that have been idle for long.
#[derive(Debug, Default)]
pub struct RenewalState {
    /// Share of attempts lost on connections in recent use.
    pub recent_loss: f64,
    /// Share of attempts lost on connections that were idle for long.
    pub long_idle_loss: f64,
    /// Share of attempts lost on connections that were renewed.
    pub renewed_loss: f64,
    /// Renewal may not start again before this.
    pub allowed_from: Nanos,
    /// Connections are renewed until then.
    pub until: Nanos,
}

impl RenewalState {
    /// Counts an attempt on one kind of connection.
    pub fn record(&mut self, connection: ConnectionUse, is_lost: bool, weight: f64) {
        let loss = match connection {
            ConnectionUse::RecentlyUsed => &mut self.recent_loss,
            ConnectionUse::LongIdle => &mut self.long_idle_loss,
            ConnectionUse::Renewed => &mut self.renewed_loss,
        };
        *loss = blend(*loss, f64::from(u8::from(is_lost)), weight);
    }

    /// Starts renewal, until then.
    pub fn start(&mut self, until: Nanos) {
        self.allowed_from = until;
        self.until = until;
        self.renewed_loss = 0.0;
    }

    /// Stops renewal; it may start again from then on.
    pub fn stop(&mut self, allowed_from: Nanos) {
        self.allowed_from = allowed_from;
        self.until = 0;
    }
}

/// Rounds of health checks.
#[derive(Debug, Default)]
pub struct HealthCheckState {
    /// A replica has fallen silent since the last round.
    pub outlier_found: bool,
    /// When the last round was.
    pub last_round: Nanos,
}
