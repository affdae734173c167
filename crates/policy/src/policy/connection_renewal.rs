//! Renewal of long-idle connections. A device on the network path may have dropped such a
//! connection without notice; an attempt on the connection is then lost although the replica is
//! healthy.
//!
//! Invariant: connections are renewed only while attempts on long-idle connections are lost clearly
//! more often than on others. Renewal ends if it does not help, since an unresponsive replica, a
//! network partition or a slow network affects all connections alike.

use super::output::BatchOutput;
use super::tuning;
use crate::api::{Nanos, PolicySettings};
use crate::state::{AttemptEnd, ConnectionUse, ReplicaRecord};
use crate::stats::weighted_mean;

/// Tracks lost attempts by kind of connection, and decides when connections are renewed.
#[derive(Debug)]
pub struct ConnectionRenewal {
    /// Time without use after which a connection counts as long idle; 0 if the settings have no
    /// idle timeout.
    long_idle_time: Nanos,
    /// Duration of one renewal, and of the pause after a renewal that did not help.
    duration: Nanos,
    /// Moving average of the share of attempts lost on recently used connections.
    recent_loss: f64,
    /// Moving average of the share of attempts lost on long-idle connections.
    long_idle_loss: f64,
    /// Moving average of the share of attempts lost on renewed connections.
    renewed_loss: f64,
    /// Earliest time at which renewal may start again.
    allowed_from: Nanos,
    /// Time at which the current renewal ends; 0 or in the past while there is no renewal.
    renewing_until: Nanos,
}

impl ConnectionRenewal {
    /// Creates the state of a policy that has lost no attempts. `objective` is the shortest latency
    /// objective, ns.
    pub fn new(settings: &PolicySettings, objective: f64) -> ConnectionRenewal {
        let long_idle_time = tuning::LONG_IDLE_SHARE * settings.idle_timeout as f64;
        ConnectionRenewal {
            long_idle_time: long_idle_time as Nanos,
            duration: (tuning::RENEWAL_OBJECTIVES * objective) as Nanos,
            recent_loss: 0.0,
            long_idle_loss: 0.0,
            renewed_loss: 0.0,
            allowed_from: 0,
            renewing_until: 0,
        }
    }

    /// Returns the kind of connection that a call to the replica would use now. For
    /// [`ConnectionUse::Renewed`], the caller must close the idle connections first.
    pub fn connection_for_call(&self, now: Nanos, replica: &ReplicaRecord) -> ConnectionUse {
        if self.long_idle_time == 0 {
            return ConnectionUse::RecentlyUsed;
        }
        let is_idle = replica.outstanding.is_empty() && replica.last_response > 0;
        if !is_idle || now - replica.last_response <= self.long_idle_time {
            ConnectionUse::RecentlyUsed
        } else if now >= self.renewing_until {
            ConnectionUse::LongIdle
        } else {
            ConnectionUse::Renewed
        }
    }

    /// Counts the connections in `lost_connections`, and the connection of the attempt if the
    /// attempt ended with a result.
    pub fn on_attempt_end(
        &mut self,
        end: &AttemptEnd,
        lost_connections: Vec<ConnectionUse>,
        output: &mut BatchOutput,
    ) {
        self.record_losses(end.ended_at, lost_connections, output);
        if end.is_success() {
            self.record(end.ended_at, end.connection, false, output);
        }
    }

    /// Counts connections on which attempts were lost. The replica must have responded since then:
    /// without a response, the replica itself may be the cause of the loss.
    pub fn record_losses(
        &mut self,
        now: Nanos,
        lost_connections: Vec<ConnectionUse>,
        output: &mut BatchOutput,
    ) {
        for connection in lost_connections {
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
        *loss = weighted_mean(
            *loss,
            f64::from(u8::from(is_lost)),
            tuning::CONNECTION_LOSS_WEIGHT,
        );
        let is_renewing = now < self.renewing_until;
        let may_start = connection == ConnectionUse::LongIdle && now >= self.allowed_from;
        let end = now + self.duration;
        if is_renewing && self.is_ineffective() {
            self.allowed_from = end;
            self.renewing_until = 0;
        } else if may_start && self.is_long_idle_loss_high() {
            self.allowed_from = end;
            self.renewing_until = end;
            self.renewed_loss = 0.0;
            output.log("attempts lost on long-idle connections: renewing idle connections");
        }
    }

    /// Returns whether renewed connections lose nearly as many attempts as long-idle ones.
    fn is_ineffective(&self) -> bool {
        let min_similar = tuning::MIN_SIMILAR_LOSS_RATIO * self.long_idle_loss;
        self.renewed_loss > min_similar.max(tuning::CONNECTION_LOSS_THRESHOLD)
    }

    /// Returns whether long-idle connections lose clearly more attempts than recently used ones.
    fn is_long_idle_loss_high(&self) -> bool {
        let max_similar = self.recent_loss / tuning::MIN_SIMILAR_LOSS_RATIO;
        self.long_idle_loss > max_similar.max(tuning::CONNECTION_LOSS_THRESHOLD)
    }

    fn loss_mut(&mut self, connection: ConnectionUse) -> &mut f64 {
        match connection {
            ConnectionUse::RecentlyUsed => &mut self.recent_loss,
            ConnectionUse::LongIdle => &mut self.long_idle_loss,
            ConnectionUse::Renewed => &mut self.renewed_loss,
        }
    }
}
