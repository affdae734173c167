//! Admission: rejects queries before any of their parts is sent. [`super::completion`] decides when
//! an admitted query ends.
//!
//! The design does not specify rejections. A query that cannot be answered within its latency
//! objective only delays others, so it is rejected. [`Rejection`] lists the conditions in the order
//! in which they are checked; the last one is checked in [`super::permits`].

use super::context::Context;
use super::tuning;
use crate::api::QueryClass;
use crate::state::{PartState, QueryState, REACHABLE_TOLERANCE};
use crate::stats::Ewma;

/// Reason to reject a query on arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The latency objective had passed on arrival, and a late answer has no value.
    Expired,
    /// The query is a retry and its client timeout is shorter than the latency objective, so it has
    /// no more time than the client's attempt that failed.
    ShortClientTimeout,
    /// The time left is shorter than the mean latency of an answer.
    TooLittleTime,
    /// The parts that can be answered in time do not reach the class's minimum coverage.
    InsufficientCoverage,
    /// The class has no permit left; see [`super::permits`].
    NoPermit,
}

/// Decides whether queries can meet their latency objectives.
#[derive(Debug, Default)]
pub struct Admission {
    /// Moving average, over queries, of the priority weight per part.
    mean_value_per_part: Ewma,
}

impl Admission {
    /// Checks a query whose parts are known, before any of them is sent. If the class takes partial
    /// answers, drops the parts that cannot be answered in time. Returns the reason if the query is
    /// to be rejected.
    pub fn check(&mut self, query: &mut QueryState, context: &Context) -> Result<(), Rejection> {
        let class = context.class(query.class);
        let max_wait_share = tuning::REJECT_SHARE * self.value_factor(query, class);
        let time_left = (query.objective - query.arrived_at) as f64;
        if query.is_late_arrival && class.late_value <= 0.0 {
            return Err(Rejection::Expired);
        }
        if query.has_short_timeout {
            return Err(Rejection::ShortClientTimeout);
        }
        if time_left < mean_latency(class, context) {
            return Err(Rejection::TooLittleTime);
        }
        let steps = context.settings.steps(query.class);
        let max_wait = max_wait_share * time_left / f64::from(steps);
        drop_slow_parts(query, class, max_wait, context)
    }

    /// Returns the value of one part of the query as a multiple of the mean, limited to
    /// [`tuning::VALUE_FACTOR_RANGE`]. Parts of greater value may wait in longer queues.
    fn value_factor(&mut self, query: &QueryState, class: &QueryClass) -> f64 {
        let weight = class.priority_weight.unwrap_or(1.0);
        let value_per_part = weight / query.parts.len().max(1) as f64;
        let mean = &mut self.mean_value_per_part;
        let mean = mean.add(value_per_part, tuning::FLEET_WEIGHT);
        let factor = value_per_part / mean.max(f64::MIN_POSITIVE);
        let range = tuning::VALUE_FACTOR_RANGE;
        factor.clamp(range.start, range.end)
    }
}

/// Returns the mean latency of an answer, ns, limited to a share of the latency objective. Without
/// the limit, a period of high latency would be followed by the rejection of all queries, and no
/// new measurement could lower the mean.
fn mean_latency(class: &QueryClass, context: &Context) -> f64 {
    let max_latency = tuning::REJECT_SHARE * class.latency_objective as f64;
    context.latency.mean().unwrap_or(0.0).min(max_latency)
}

/// Drops the parts whose expected wait exceeds `max_wait`, ns, if the class takes partial answers.
/// Returns [`Rejection::InsufficientCoverage`] if the other parts do not reach minimum coverage.
fn drop_slow_parts(
    query: &mut QueryState,
    class: &QueryClass,
    max_wait: f64,
    context: &Context,
) -> Result<(), Rejection> {
    let is_slow = |index: &usize| shortest_wait(&query.parts[*index], context) > max_wait;
    let slow: Vec<usize> = (0..query.parts.len()).filter(is_slow).collect();
    let slow_weight: f64 = slow.iter().map(|index| query.parts[*index].weight).sum();
    let has_coverage = 1.0 - slow_weight + REACHABLE_TOLERANCE >= class.minimum();
    if !has_coverage {
        return Err(Rejection::InsufficientCoverage);
    }
    if class.takes_partial_answers() {
        for index in slow {
            query.parts[index].is_dropped = true;
        }
    }
    Ok(())
}

/// Returns the shortest expected wait for a part at the replicas that hold its shard, ns. Saturated
/// replicas are ignored; the wait is infinite if no other replica holds the shard.
fn shortest_wait(part: &PartState, context: &Context) -> f64 {
    let holders = context.replicas.holders(&context.settings, part.shard);
    let available = holders.filter(|replica| context.now >= replica.saturated_until);
    let waits =
        available.map(|replica| replica.expected_wait(context.now, context.shortest_objective));
    waits.fold(f64::INFINITY, f64::min)
}
