//! Renewal of connections that were idle for long. A device on the path may have dropped such a
//! connection without notice; an attempt on it is lost although the replica is healthy.
//!
//! Invariant: renewal runs only while attempts on such connections are lost clearly more often than
//! on others. It ends where it does not help: an unresponsive replica, a network partition or a
//! slow network affects all connections alike.

use super::output::BatchOutput;
use super::tuning;
use crate::api::{Nanos, PolicySettings};
use crate::state::{AttemptEnd, ConnectionUse, ReplicaRecord};
use crate::stats::blend;

/// Losses by kind of connection, and whether connections are renewed.
#[derive(Debug)]
pub struct ConnectionRenewal {
    /// Time without use after which a connection counts as idle for long; 0 if no idle timeout is
    /// stated.
    long_idle_time: Nanos,
    /// How long connections are renewed, or are not renewed again.
    duration: Nanos,
    /// Share of attempts lost on connections in recent use.
    recent_loss: f64,
    /// Share of attempts lost on connections that were idle for long.
    long_idle_loss: f64,
    /// Share of attempts lost on connections that were renewed.
    renewed_loss: f64,
    /// Renewal may not start again before this.
    allowed_from: Nanos,
    /// Connections are renewed until then.
    until: Nanos,
}

impl ConnectionRenewal {
    /// No losses. `objective` is the shortest latency objective of a class, ns.
    pub fn new(settings: &PolicySettings, objective: f64) -> ConnectionRenewal {
        let long_idle_time = tuning::LONG_IDLE_SHARE * settings.idle_timeout as f64;
        ConnectionRenewal {
            long_idle_time: long_idle_time as Nanos,
            duration: (tuning::RENEWAL_OBJECTIVES * objective) as Nanos,
            recent_loss: 0.0,
            long_idle_loss: 0.0,
            renewed_loss: 0.0,
            allowed_from: 0,
            until: 0,
        }
    }

    /// The connection for an attempt that starts a call to the replica now. Where it is
    /// [`ConnectionUse::Renewed`], the idle connections have to be closed first.
    pub fn connection_for_call(&self, now: Nanos, replica: &ReplicaRecord) -> ConnectionUse {
        if self.long_idle_time == 0 {
            return ConnectionUse::RecentlyUsed;
        }
        let is_idle = replica.outstanding.is_empty() && replica.last_response > 0;
        if !is_idle || now - replica.last_response <= self.long_idle_time {
            ConnectionUse::RecentlyUsed
        } else if now >= self.until {
            ConnectionUse::LongIdle
        } else {
            ConnectionUse::Renewed
        }
    }

    /// Counts the connections lost before this response, and that of an attempt that was answered.
    pub fn on_attempt_end(
        &mut self,
        end: &AttemptEnd,
        lost: Vec<ConnectionUse>,
        output: &mut BatchOutput,
    ) {
        self.record_losses(end.ended, lost, output);
        if end.is_success() {
            self.record(end.ended, end.connection, false, output);
        }
    }

    /// Counts connections on which attempts were lost. Called only after the replica has responded
    /// again: until then the replica itself may be at fault.
    pub fn record_losses(
        &mut self,
        now: Nanos,
        lost: Vec<ConnectionUse>,
        output: &mut BatchOutput,
    ) {
        for connection in lost {
            self.record(now, connection, true, output);
        }
    }

    /// Counts an attempt on a connection, and starts or ends renewal.
    fn record(
        &mut self,
        now: Nanos,
        connection: ConnectionUse,
        is_lost: bool,
        output: &mut BatchOutput,
    ) {
        let loss = self.loss_mut(connection);
        *loss = blend(*loss, f64::from(u8::from(is_lost)), tuning::LOSS_WEIGHT);
        let is_renewing = now < self.until;
        let may_start = connection == ConnectionUse::LongIdle && now >= self.allowed_from;
        let end = now + self.duration;
        if is_renewing && self.is_ineffective() {
            self.allowed_from = end;
            self.until = 0;
        } else if may_start && self.is_idle_loss_high() {
            self.allowed_from = end;
            self.until = end;
            self.renewed_loss = 0.0;
            output.log("attempts are lost on idle connections: they are renewed");
        }
    }

    /// Whether renewed connections lose nearly as many attempts as idle ones.
    fn is_ineffective(&self) -> bool {
        let similar = tuning::MAX_SIMILAR_LOSS_RATIO * self.long_idle_loss;
        self.renewed_loss > similar.max(tuning::LOSS_THRESHOLD)
    }

    /// Whether idle connections lose clearly more attempts than those in recent use.
    fn is_idle_loss_high(&self) -> bool {
        let similar = self.recent_loss / tuning::MAX_SIMILAR_LOSS_RATIO;
        self.long_idle_loss > similar.max(tuning::LOSS_THRESHOLD)
    }

    fn loss_mut(&mut self, connection: ConnectionUse) -> &mut f64 {
        match connection {
            ConnectionUse::RecentlyUsed => &mut self.recent_loss,
            ConnectionUse::LongIdle => &mut self.long_idle_loss,
            ConnectionUse::Renewed => &mut self.renewed_loss,
        }
    }
}
