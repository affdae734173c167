//! Renewal of connections that were idle for long, and may have been dropped unnoticed.
//!
//! Invariant: renewal runs only while attempts on such connections are lost clearly more often than
//! on others, and ends where it does not help: a hang, a cut or a slow network loses all alike.

use super::{tuning, Policy};
use crate::api::{Action, Nanos, ReplicaId};
use crate::state::ConnectionUse;

impl Policy {
    /// The connection for an attempt. Renewal closes one that was idle for long first.
    pub(super) fn connection_for(&mut self, id: ReplicaId) -> ConnectionUse {
        let long = (tuning::LONG_IDLE_SHARE * self.context.settings.idle_timeout as f64) as Nanos;
        let replica = self.context.replicas.get_mut(id).filter(|_| long > 0);
        let Some(replica) = replica else {
            return ConnectionUse::RecentlyUsed;
        };
        if replica.outstanding.has_call_of(self.context.now) {
            return replica.connection;
        }
        let has_responded = replica.outstanding.is_empty() && replica.last_response > 0;
        replica.connection = if !has_responded || self.context.now - replica.last_response <= long {
            ConnectionUse::RecentlyUsed
        } else if self.context.now >= self.renewal.until {
            ConnectionUse::LongIdle
        } else {
            let close = Action::CloseIdleConnections { replica: id };
            self.output.push(close);
            ConnectionUse::Renewed
        };
        replica.connection
    }

    /// Counts an attempt. A loss counts once the replica is heard again: before, it may be dead.
    pub(super) fn record_connection_loss(&mut self, connection: ConnectionUse, is_lost: bool) {
        let renewal = &mut self.renewal;
        renewal.record(connection, is_lost, tuning::LOSS_WEIGHT);
        let next =
            self.context.now + (tuning::RENEWAL_OBJECTIVES * self.context.objective) as Nanos;
        let as_idle = tuning::MAX_SIMILAR_LOSS_RATIO * renewal.long_idle_loss;
        let as_recent = renewal.recent_loss / tuning::MAX_SIMILAR_LOSS_RATIO;
        let is_useless = renewal.renewed_loss > as_idle.max(tuning::LOSS_THRESHOLD);
        let is_fault = renewal.long_idle_loss > as_recent.max(tuning::LOSS_THRESHOLD);
        let may_start =
            connection == ConnectionUse::LongIdle && self.context.now >= renewal.allowed_from;
        if self.context.now < renewal.until && is_useless {
            renewal.stop(next);
        } else if may_start && is_fault {
            renewal.start(next);
            let line = "attempts are lost on idle connections: they are renewed";
            self.output.log(line);
        }
    }
}
