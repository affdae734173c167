//! Replica selection: chooses the replica for each attempt.
//!
//! The design specifies that each part goes to the replica with the least product of its smoothed
//! latency and one plus its outstanding parts, or outstanding calls if parts share calls. The
//! latency starts at a tenth of the latency objective, and replicas without measurements count as
//! average.
//!
//! Invariant: avoided replicas are selected only if there are no others. Among equally avoided
//! replicas, those that the part was sent to before come last. No attempt goes to a replica that is
//! not ready or has no slow-start allowance left.

use super::context::Context;
use super::outlier::is_avoided;
use super::slow_start::SlowStart;
use super::tuning;
use crate::api::ReplicaId;
use crate::state::{PartState, ReplicaRecord};

/// Sort key of a replica. Fields are compared in order, and the replica with the least rank is
/// selected.
#[derive(Clone, Copy, PartialEq, PartialOrd)]
struct Rank {
    /// 2 if other replicas are preferred, plus 1 if the part was sent to the replica before.
    avoidance: u32,
    /// Expected latency with the penalty for another zone, ns.
    cost: f64,
    /// Whether the attempt would need a call of its own instead of sharing one that is sent now.
    is_new_call: bool,
    /// Random number, so that equal replicas are selected equally often.
    tie_breaker: u32,
}

/// Selects replicas for the attempts of one batch.
pub struct ReplicaSelector<'a> {
    context: &'a Context,
    slow_start: &'a SlowStart,
}

impl<'a> ReplicaSelector<'a> {
    /// Creates a selector that reads the current state.
    pub fn new(context: &'a Context, slow_start: &'a SlowStart) -> ReplicaSelector<'a> {
        ReplicaSelector {
            context,
            slow_start,
        }
    }

    /// Returns the best replica for one more attempt at the part, or `None` if no replica is
    /// available.
    pub fn select(&self, part: &PartState, random: &mut fastrand::Rng) -> Option<ReplicaId> {
        let context = self.context;
        let max_time_without_response = context.latency.hedging_delay(context.shortest_objective);
        let mut best: Option<(Rank, ReplicaId)> = None;
        for replica in context.replicas.holders(&context.settings, part.shard) {
            let id = replica.id;
            let has_allowance = || self.slow_start.has_allowance(replica, context);
            if part.is_in_flight_at(id) || !has_allowance() {
                continue;
            }
            let is_avoided = is_avoided(replica, context.now, max_time_without_response);
            let rank = Rank {
                avoidance: 2 * u32::from(is_avoided) + u32::from(part.was_sent_to(id)),
                cost: self.cost(replica),
                is_new_call: !replica.outstanding.has_call_of(context.now),
                tie_breaker: random.u32(..),
            };
            if best.is_none_or(|(best_rank, _)| rank < best_rank) {
                best = Some((rank, id));
            }
        }
        best.map(|(_, id)| id)
    }

    /// Returns the expected latency of one more part, plus a penalty for another zone, ns. The
    /// latency is at least the time without a response, so that an unresponsive replica becomes
    /// expensive at once.
    fn cost(&self, replica: &ReplicaRecord) -> f64 {
        let Context { now, settings, .. } = self.context;
        let zone_crossings = f64::from(u8::from(replica.zone != settings.zone));
        let price = settings.cross_zone_price * zone_crossings;
        let time_without_response = replica.time_without_response(*now) as f64;
        let smoothed = self.context.latency.smoothed_latency(*now, replica);
        let latency = smoothed.max(time_without_response);
        let calls = replica.open_calls(*now, settings.parts_per_call());
        let expected_latency = latency * (calls + 1.0);
        expected_latency + tuning::CROSS_ZONE_PENALTY * price * self.context.shortest_objective
    }
}
