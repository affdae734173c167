//! Replica selection.
//!
//! Design: "Each part goes to the replica with least smoothed latency times its own outstanding
//! parts plus one, counted by call where parts share calls; latency starts at a tenth of the aim,
//! unheard servers count as average."
//!
//! Invariant: replicas to avoid come last, and those that the part has tried after others; nothing
//! goes to one that is not ready or has no slow-start allowance left.

use super::*;

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
        let mut random = fastrand::Rng::with_seed(self.random);
        for (id, replica) in self.replicas.holders(&self.settings, part.shard) {
            if part.is_in_flight_at(id) || !self.has_allowance(replica) {
                continue;
            }
            let was_tried = u32::from(part.was_sent_to(id));
            let rank = Rank {
                avoidance: 2 * u32::from(self.is_avoided(replica)) + was_tried,
                cost: self.cost(replica),
                opens_call: !replica.outstanding.has_call_of(self.now),
                tie_breaker: random.u32(..),
            };
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, id));
            }
        }
        self.random = random.get_seed();
        best.map(|(_, id)| id)
    }

    /// The age of the oldest call counts as latency: a silent replica is slow now, not later.
    fn cost(&self, replica: &ReplicaRecord) -> f64 {
        let is_remote = f64::from(u8::from(replica.zone != self.settings.zone));
        let price = self.settings.cross_zone_price * is_remote;
        let time_without_response = replica.time_without_response(self.now) as f64;
        let latency = self.smoothed_latency(replica).max(time_without_response);
        let calls = replica.open_calls(self.now, self.settings.parts_per_call());
        let queue = latency * (calls + 1.0);
        queue + tuning::CROSS_ZONE_PENALTY * price * self.objective
    }

    /// The fleet's mean while the replica has not been heard, and what its own fades to.
    pub(super) fn smoothed_latency(&self, replica: &ReplicaRecord) -> f64 {
        let initial = tuning::INITIAL_LATENCY_SHARE * self.objective;
        let mean = self.fleet_latency.mean().unwrap_or(initial);
        let Some(own) = replica.latency else {
            return mean;
        };
        mean + (own - mean) * (-self.staleness(replica.latency_updated)).exp()
    }

    /// The age of a measurement, in the time that it takes to fade.
    pub(super) fn staleness(&self, measured: Nanos) -> f64 {
        let fade_time = tuning::FADE_OBJECTIVES * self.objective;
        self.now.saturating_sub(measured) as f64 / fade_time
    }
}
