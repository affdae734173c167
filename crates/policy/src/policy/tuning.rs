//! Constants of the decisions, grouped by decision.
//!
//! "Objective" stands for the latency objective of a class. For constants that concern replicas,
//! which serve all classes, it is the shortest objective. Times are in nanoseconds. "Design" marks
//! a value that the design of the policy specifies.

use crate::api::Nanos;
use std::ops::Range;

const SECOND: Nanos = 1_000_000_000;

// Weight cutoff.
/// Highest cutoff, as a share of a step's weight (design: v / n, with v = 50 of n = 400
/// documents).
pub const CUTOFF_CEILING: f64 = 0.125;
/// Decrease of the cutoff, and its smallest increase. With a quarter of the ceiling, a pause at one
/// replica causes only a few parts to be dropped.
pub const CUTOFF_STEP: f64 = CUTOFF_CEILING / 4.0;
/// Share of missed parts (late, rejected or unreachable) above which the aggregator is overloaded
/// (design: a tenth).
pub const OVERLOAD_SHARE: f64 = 0.1;
/// Minimum number of parts in the window for that share to be significant.
pub const OVERLOAD_MIN_PARTS: usize = 8;
/// Window of the overload signal, and minimum time from a change of the cutoff to its next decrease
/// (design: a second).
pub const OVERLOAD_WINDOW: Nanos = SECOND;
/// Time without overload after which the cutoff is decreased.
pub const CUTOFF_QUIET_TIME: Nanos = 3 * SECOND;
/// Share of a step's objective after which its unanswered parts count as late. The value deviates
/// from the design, which specifies three quarters.
pub const LATE_SHARE: f64 = 0.8;

// Measurements of replicas.
/// Weight of a sample in a replica's smoothed latency and smoothed interval between results, which
/// reflect about the last five answers.
pub const LATENCY_WEIGHT: f64 = 0.2;
/// Weight of a failure in a replica's smoothed latency. It is greater than [`LATENCY_WEIGHT`],
/// because a replica that fails at once has no calls in flight and would otherwise be selected for
/// all parts.
pub const FAILURE_LATENCY_WEIGHT: f64 = 0.6;
/// Weight of a sample in averages over all replicas or queries, which get many more samples.
pub const FLEET_WEIGHT: f64 = 0.03;
/// Latency assumed before the first measurement, as a share of the objective (design: a tenth).
pub const INITIAL_LATENCY_SHARE: f64 = 0.1;
/// Time constant with which a replica's latency decays to the mean of all replicas, in objectives.
/// The decay lets a slow replica be selected again.
pub const DECAY_OBJECTIVES: f64 = 5.0;
/// Number of mean deviations above the mean latency after which an answer is overdue.
pub const HEDGING_DELAY_DEVIATIONS: f64 = 4.0;
/// Cost of a replica in another zone, in objectives per unit of the cross-zone price.
pub const CROSS_ZONE_PENALTY: f64 = 4.0;

// Retries and hedging.
/// Minimum time for which queries and parts received, and retries sent, count as recent.
pub const RECENT_WINDOW: Nanos = 2 * SECOND;
/// Shortest wait before a hedged request or a second retry, as a share of the objective. It limits
/// the number of retries during a brief outage.
pub const MIN_WAIT_SHARE: f64 = 0.125;
/// Longest wait before a hedged request, as a share of the objective. It leaves time for the answer
/// to the hedged request.
pub const MAX_WAIT_SHARE: f64 = 0.4;
/// Share of a retry budget that classes with partial answers may use.
pub const PARTIAL_BUDGET_SHARE: f64 = 0.5;
/// Number of recent retries and hedged requests below which a hedged request is always allowed.
pub const MIN_HEDGES: f64 = 3.0;
/// Hedged requests allowed beyond `MIN_HEDGES`, as a share of the greater of two numbers: that of
/// the parts of open queries, and that of the queries and parts received recently.
pub const HEDGE_RATIO: f64 = 0.15;
/// Weight of one hedged request in the moving average of the share of hedged requests that lose to
/// the first attempt.
pub const HEDGE_LOSS_WEIGHT: f64 = 0.1;
/// Factor on `HEDGE_RATIO` if no hedged request loses, before the factor is limited to 0..=1.
pub const MAX_HEDGE_FACTOR: f64 = 1.5;
/// Decrease of that factor per unit of the share of hedged requests that lose.
pub const HEDGE_FACTOR_SLOPE: f64 = 2.0;
/// Minimum number of replicas with lost connections for a query to count as a query of death.
pub const QUERY_OF_DEATH_REPLICAS: usize = 3;

// Outlier detection and slow start.
/// First ejection time, in objectives. It doubles with each consecutive ejection.
pub const BASE_EJECTION_OBJECTIVES: f64 = 0.5;
/// Longest ejection time, in objectives.
pub const MAX_EJECTION_OBJECTIVES: f64 = 4.0;
/// Minimum share of outliers among the ready replicas at which health checks are sent.
pub const HEALTH_CHECK_SHARE: f64 = 0.1;
/// Time for which a replica that rejected a part counts as saturated, as a share of the objective.
pub const SATURATION_SHARE: f64 = 0.125;
/// Time constant of the mean number of results per replica, in warm-up times.
pub const SLOW_START_TIME_CONSTANT: f64 = 4.0;

// Admission.
/// Longest acceptable wait for a part, as a share of the time left until the objective. The mean
/// latency that admission expects is limited to the same share of the objective.
pub const REJECT_SHARE: f64 = 0.5;
/// Range of the factor on the acceptable wait. The factor grows with the value per part.
pub const VALUE_FACTOR_RANGE: Range<f64> = 0.7..1.3;
/// Greatest lead of the majority client timeout, in first attempts. A small lead lets a change of
/// the majority take effect soon.
pub const MAX_TIMEOUT_LEAD: u32 = 16;
/// Client timeouts are similar if they differ by at most the objective divided by this number.
pub const TIMEOUT_TOLERANCE_DIVISOR: Nanos = 100;
/// Permits that a class has in addition to its open queries when it becomes limited.
pub const SPARE_PERMITS: f64 = 2.0;
/// Permits added by a query answered in time. The number of permits is stable if one query in
/// eleven is lost.
pub const PERMIT_REWARD: f64 = 0.1;
/// Permits removed by a query answered late. The number of permits is stable if one query in six is
/// late.
pub const PERMIT_PENALTY: f64 = 0.5;
/// Longest time for which a class without permits admits no query, ns. An aggregator may reject all
/// queries for at most 4 s.
pub const MAX_ADMISSION_GAP: f64 = 3.5 * SECOND as f64;

// Endpoint list. If the time constant of the latency decay is longer than the poll interval, the
// shares refer to that time constant.
/// Backoff after the first failed poll, as a share of the poll interval. It doubles with each
/// consecutive failure.
pub const BASE_POLL_BACKOFF: f64 = 0.2;
/// Longest backoff after a failed poll, before jitter, as a share of the poll interval.
pub const MAX_POLL_BACKOFF: f64 = 0.6;
/// Range of the random factor on these backoffs.
pub const POLL_JITTER: Range<f64> = 0.5..1.5;
/// Share of the poll interval over which the first polls of all processes are spread, since many
/// processes start together.
pub const FIRST_POLL_SPREAD: f64 = 0.3;
/// Range of the random wait before a pushed list is watched again, as a share of the drain notice.
/// There is no backoff, since the list comes from an agent that serves this aggregator alone.
pub const WATCH_BACKOFF: Range<f64> = 0.05..0.25;

// Connections and timers.
/// Idle time after which a connection counts as long idle, as a share of the idle timeout.
pub const LONG_IDLE_SHARE: f64 = 0.04;
/// Weight of one attempt in the moving average of the share of attempts lost.
pub const CONNECTION_LOSS_WEIGHT: f64 = 0.05;
/// Share of attempts lost above which a kind of connection is considered faulty.
pub const CONNECTION_LOSS_THRESHOLD: f64 = 0.2;
/// Two shares of attempts lost are similar if the smaller is more than this multiple of the other.
pub const MIN_SIMILAR_LOSS_RATIO: f64 = 0.7;
/// Duration of one renewal of connections, and of the pause after a renewal that did not help, in
/// objectives.
pub const RENEWAL_OBJECTIVES: f64 = 15.0;
/// Number of timer periods by which an answer precedes an objective or deadline that must not be
/// missed.
pub const SPARE_TIMER_PERIODS: Nanos = 2;
/// Number of timer periods in the shortest objective, unless the minimum batch interval requires
/// longer periods.
pub const TIMER_PERIODS_PER_OBJECTIVE: Nanos = 200;
