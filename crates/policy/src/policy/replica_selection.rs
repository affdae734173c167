//! Replica selection.
//!
//! Design: "Each part goes to the replica with least smoothed latency times its own outstanding
//! parts plus one, counted by call where parts share calls; latency starts at a tenth of the aim,
//! unheard servers count as average."
//!
//! Invariant: replicas to avoid come last, and those that the part has tried after others; nothing
//! goes to one that is not ready or has no slow-start allowance left.

use super::{tuning, Policy};
use crate::api::ReplicaId;
use crate::state::{PartState, ReplicaRecord};

/// What replicas are compared by, in this order; the least is selected.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    avoidance: u32,
    cost: f64,
    opens_call: bool,
    tie_breaker: u32,
}

impl Policy {
    pub(super) fn select_replica(&mut self, part: &PartState) -> Option<ReplicaId> {
        let mut best: Option<(Rank, ReplicaId)> = None;
        for (id, replica) in self
            .context
            .replicas
            .holders(&self.context.settings, part.shard)
        {
            if part.is_in_flight_at(id) || !self.slow_start.has_allowance(replica, &self.context) {
                continue;
            }
            let was_tried = u32::from(part.was_sent_to(id));
            let rank = Rank {
                avoidance: 2 * u32::from(self.is_avoided(replica)) + was_tried,
                cost: self.cost(replica),
                opens_call: !replica.outstanding.has_call_of(self.context.now),
                tie_breaker: self.random.u32(..),
            };
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// The age of the oldest call counts as latency: a silent replica is slow now, not later.
    fn cost(&self, replica: &ReplicaRecord) -> f64 {
        let is_remote = f64::from(u8::from(replica.zone != self.context.settings.zone));
        let price = self.context.settings.cross_zone_price * is_remote;
        let time_without_response = replica.time_without_response(self.context.now) as f64;
        let latency = self
            .context
            .latency
            .smoothed_latency(self.context.now, replica)
            .max(time_without_response);
        let calls = replica.open_calls(self.context.now, self.context.settings.parts_per_call());
        let queue = latency * (calls + 1.0);
        queue + tuning::CROSS_ZONE_PENALTY * price * self.context.objective
    }
}
