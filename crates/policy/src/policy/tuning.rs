//! Every tuned constant, by the decision that it belongs to.
//!
//! "Objective" is a class's latency objective, or the shortest one where a constant concerns
//! replicas, which serve all classes. Times are nanoseconds.

use crate::api::Nanos;
use std::ops::Range;

const SECOND: Nanos = 1_000_000_000;

// Weight cutoff.
/// The highest cutoff, as a share of a step's weight (design: v / n, 50 of 400 documents).
pub const CUTOFF_CEILING: f64 = 0.125;
/// Smallest change of the cutoff. It is a quarter of the ceiling, so that a pause at one replica
/// drops few parts.
pub const CUTOFF_STEP: f64 = CUTOFF_CEILING / 4.0;
/// Share of late or rejected parts above which there is overload (design: a tenth).
pub const OVERLOAD_SHARE: f64 = 0.1;
/// Counted parts below which their share is noise.
pub const OVERLOAD_MIN_PARTS: usize = 8;
/// Window of the overload signal, and least time between two steps down (design: a second).
pub const OVERLOAD_WINDOW: Nanos = SECOND;
/// Time without overload after which the cutoff falls.
pub const CUTOFF_QUIET_TIME: Nanos = 3 * SECOND;
/// Share of a step's time after which its parts count as late (design: three quarters).
pub const LATE_SHARE: f64 = 0.8;

// Measurements of replicas.
/// Weight of a sample in a replica's latency: about the last five answers have an effect.
pub const LATENCY_WEIGHT: f64 = 0.2;
/// Weight of a failure in a replica's latency. It is greater, since a replica that fails at once
/// has no calls in flight and would otherwise be selected for all parts.
pub const FAILURE_LATENCY_WEIGHT: f64 = 0.6;
/// Weight of a sample in averages over all replicas or queries, which get many more samples.
pub const FLEET_WEIGHT: f64 = 0.03;
/// Share of the objective taken as latency before one is known (design: a tenth).
pub const INITIAL_LATENCY_SHARE: f64 = 0.1;
/// Objectives in which measurements of a replica fade to the mean, so that it is selected again.
pub const FADE_OBJECTIVES: f64 = 5.0;
/// Deviations above the mean latency after which an answer is overdue.
pub const HEDGING_DELAY_DEVIATIONS: f64 = 4.0;
/// Objectives added to the latency of a replica in another zone, times the cross-zone price.
pub const CROSS_ZONE_PENALTY: f64 = 4.0;

// Retries and hedging.
/// Least time for which received queries and parts, and retries, count as recent.
pub const RECENT_WINDOW: Nanos = 2 * SECOND;
/// Least share of the objective to wait before another attempt, which limits the retries during a
/// brief outage.
pub const MIN_WAIT_SHARE: f64 = 0.125;
/// Greatest share of the objective to wait, which leaves time for the hedged request's answer.
pub const MAX_WAIT_SHARE: f64 = 0.4;
/// Share of a retry budget that classes with partial answers may use.
pub const PARTIAL_BUDGET_SHARE: f64 = 0.5;
/// Recent retries and hedged requests below which a hedged request is always within the budget.
pub const MIN_HEDGES: f64 = 3.0;
/// What the budget grows by, as a share of the parts that are open, or of the queries and parts
/// received recently, whichever are more.
pub const HEDGE_RATIO: f64 = 0.15;
/// Weight of one hedged request in the share of hedged requests that lose.
pub const HEDGE_LOSS_WEIGHT: f64 = 0.1;
/// Factor of `HEDGE_RATIO` where no hedged request loses; it is limited to 1.
pub const MAX_HEDGE_FACTOR: f64 = 1.5;
/// Decrease of that factor, times the share of hedged requests that lose; it is at least 0.
pub const HEDGE_FACTOR_SLOPE: f64 = 2.0;
/// Number of replicas that lost their connections on a query's attempts from which on the query is
/// treated as a query of death.
pub const QUERY_OF_DEATH_REPLICAS: usize = 3;

// Outlier detection and slow start.
/// First ejection time in objectives. It doubles with each consecutive ejection.
pub const EJECTION_OBJECTIVES: f64 = 0.5;
/// Longest ejection time in objectives.
pub const MAX_EJECTION_OBJECTIVES: f64 = 4.0;
/// Share of outliers among the ready replicas from which on health checks are sent.
pub const HEALTH_CHECK_SHARE: f64 = 0.1;
/// Share of the objective for which a replica that rejected a part counts as saturated.
pub const SATURATION_SHARE: f64 = 0.125;
/// Multiple of the warm-up time over which the mean number of results of a replica is taken.
pub const SLOW_START_MEMORY: f64 = 4.0;

// Admission.
/// Share of the objective that a query may be expected to wait without being rejected.
pub const REJECT_SHARE: f64 = 0.5;
/// Range of the factor on that share; it is least for queries of low value per part.
pub const VALUE_FACTOR_RANGE: Range<f64> = 0.7..1.3;
/// Greatest lead of the majority's client timeout, in first attempts. It is small, so that a change
/// has effect soon.
pub const MAX_TIMEOUT_LEAD: u32 = 16;
/// Client timeouts are similar if they differ by at most 1 / this of the objective.
pub const TIMEOUT_TOLERANCE: Nanos = 100;
/// Permits of a class beside those of its open queries when it becomes limited.
pub const SPARE_PERMITS: f64 = 2.0;
/// Permits added by a query answered in time: their number is stable with one query in eleven lost.
pub const PERMIT_REWARD: f64 = 0.1;
/// Permits removed by a query answered late. With one in six late, their number is stable.
pub const PERMIT_PENALTY: f64 = 0.5;
/// Longest time without an admitted query: an aggregator may reject all queries for 4 s at most.
pub const MAX_ADMISSION_GAP: f64 = 3.5 * SECOND as f64;

// Endpoint list.
/// Share of the poll interval to wait after a failed poll. It doubles with each failure in a row.
pub const BASE_POLL_BACKOFF: f64 = 0.2;
/// Greatest share of the poll interval to wait after a failed poll.
pub const MAX_POLL_BACKOFF: f64 = 0.6;
/// Range of the random factor on these waits.
pub const POLL_JITTER: Range<f64> = 0.5..1.5;
/// Share of the poll interval over which first polls are spread, since many processes start
/// together.
pub const FIRST_POLL_SPREAD: f64 = 0.3;
/// Range of the share of the drain notice to wait before a pushed list is watched again. The list
/// comes from an agent that serves this aggregator alone.
pub const WATCH_BACKOFF: Range<f64> = 0.05..0.25;

// Connections and timers.
/// Share of the idle timeout after which a connection has been idle for long.
pub const LONG_IDLE_SHARE: f64 = 0.04;
/// Weight of one attempt in the share of attempts lost.
pub const LOSS_WEIGHT: f64 = 0.05;
/// Share of attempts lost from which on there is a fault.
pub const LOSS_THRESHOLD: f64 = 0.2;
/// Two shares of attempts lost are similar if the smaller is more than this multiple of the other.
pub const MAX_SIMILAR_LOSS_RATIO: f64 = 0.7;
/// Objectives for which connections are renewed, or are not renewed again.
pub const RENEWAL_OBJECTIVES: f64 = 15.0;
/// Timer periods between the last batch that may act and a time that must not be missed.
pub const SPARE_PERIODS: Nanos = 2;
/// The timer's period is 1 / this of the shortest objective.
pub const PERIODS_PER_OBJECTIVE: Nanos = 200;
