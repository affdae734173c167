//! Admission: which queries are rejected before any part is sent. Later ends are decided in
//! [`super::completion`].
//!
//! The design leaves rejections to us. A query that can't be answered within its latency objective
//! only delays others, so it is rejected; [`Rejection`] lists the conditions in the order in which
//! they are checked. The last one is in [`super::permits`].

use super::context::Context;
use super::tuning;
use crate::api::QueryClass;
use crate::state::{PartState, QueryState, REACHABLE_TOLERANCE};
use crate::stats::Ewma;

/// Why a query is rejected at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Its latency objective had passed when it was received, and a late answer has no value.
    Expired,
    /// Its client's timeout is shorter than the latency objective, and it is a retry: it has no
    /// more time than the attempt that failed.
    ShortClientTimeout,
    /// Less time is left than an answer takes on average.
    TooLittleTime,
    /// Too few shards can respond in time for the class's minimum coverage.
    InsufficientCoverage,
    /// Its class has no permit left; see [`super::permits`].
    NoPermit,
}

/// Checks whether queries can meet their latency objectives.
#[derive(Debug, Default)]
pub struct Admission {
    /// The mean value of a part over recent queries.
    mean_value_per_part: Ewma,
}

impl Admission {
    /// Checks a query whose parts are known, before the first is sent. Drops the parts that can't
    /// be answered in time, where the class allows that.
    pub fn check(&mut self, query: &mut QueryState, context: &Context) -> Result<(), Rejection> {
        let class = context.class(query.class);
        let max_wait_share = tuning::REJECT_SHARE * self.value_factor(query, class);
        let time_left = (query.objective - query.arrived) as f64;
        if query.arrived_late && class.late_value <= 0.0 {
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

    /// The value of one of the query's parts as a multiple of the mean, within a range. Parts of
    /// greater value may wait in longer queues.
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

/// The mean latency of an answer, ns. It is bounded by the objective: otherwise, after a period of
/// high latency, all queries would be rejected and no new measurement could end this.
fn mean_latency(class: &QueryClass, context: &Context) -> f64 {
    let longest = tuning::REJECT_SHARE * class.latency_objective as f64;
    context.latency.mean().unwrap_or(0.0).min(longest)
}

/// Drops the parts that have to wait for longer than `max_wait`, ns, if the class takes partial
/// answers and the others suffice for its minimum coverage.
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

/// The least time after which one of the replicas that hold its shard would return the part, ns.
fn shortest_wait(part: &PartState, context: &Context) -> f64 {
    let holders = context.replicas.holders(&context.settings, part.shard);
    let available = holders.filter(|replica| context.now >= replica.saturated_until);
    let waits =
        available.map(|replica| replica.expected_wait(context.now, context.shortest_objective));
    waits.fold(f64::INFINITY, f64::min)
}
