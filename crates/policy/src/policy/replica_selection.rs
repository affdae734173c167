//! Replica selection.
//!
//! Design: "Each part goes to the replica with least smoothed latency times its own outstanding
//! parts plus one, counted by call where parts share calls; latency starts at a tenth of the aim,
//! unheard servers count as average."
//!
//! Invariant: replicas to avoid come last, and those that the part was sent to after others;
//! nothing goes to one that is not ready or has no slow-start allowance left.

use super::context::Context;
use super::outlier::is_avoided;
use super::slow_start::SlowStart;
use super::tuning;
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

/// Selects replicas in the running batch.
pub struct ReplicaSelector<'a> {
    context: &'a Context,
    slow_start: &'a SlowStart,
}

impl<'a> ReplicaSelector<'a> {
    /// A selector for the state as it is now.
    pub fn new(context: &'a Context, slow_start: &'a SlowStart) -> ReplicaSelector<'a> {
        ReplicaSelector {
            context,
            slow_start,
        }
    }

    /// The best replica for one more attempt at the part; none where no replica may have it.
    pub fn select(&self, part: &PartState, random: &mut fastrand::Rng) -> Option<ReplicaId> {
        let context = self.context;
        let max_silence = context.latency.hedging_delay(context.shortest_objective);
        let mut best: Option<(Rank, ReplicaId)> = None;
        for replica in context.replicas.holders(&context.settings, part.shard) {
            let id = replica.id;
            let has_allowance = || self.slow_start.has_allowance(replica, context);
            if part.is_in_flight_at(id) || !has_allowance() {
                continue;
            }
            let is_avoided = is_avoided(replica, context.now, max_silence);
            let rank = Rank {
                avoidance: 2 * u32::from(is_avoided) + u32::from(part.was_sent_to(id)),
                cost: self.cost(replica),
                opens_call: !replica.outstanding.has_call_of(context.now),
                tie_breaker: random.u32(..),
            };
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// The expected latency of one more part, with a penalty for another zone, ns. The time without
    /// a response counts as latency, so that an unresponsive replica is slow at once.
    fn cost(&self, replica: &ReplicaRecord) -> f64 {
        let Context { now, settings, .. } = self.context;
        let is_remote = f64::from(u8::from(replica.zone != settings.zone));
        let price = settings.cross_zone_price * is_remote;
        let silence = replica.time_without_response(*now) as f64;
        let smoothed = self.context.latency.smoothed_latency(*now, replica);
        let latency = smoothed.max(silence);
        let calls = replica.open_calls(*now, settings.parts_per_call());
        let queue = latency * (calls + 1.0);
        queue + tuning::CROSS_ZONE_PENALTY * price * self.context.shortest_objective
    }
}
