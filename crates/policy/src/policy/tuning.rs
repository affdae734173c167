//! Every tuned constant. "Objective" is a class's latency objective; the shortest one where a
//! constant concerns replicas, which serve all classes. Times are nanoseconds.

use crate::api::Nanos;
use std::ops::Range;

const SECOND: Nanos = 1_000_000_000;

// Weight cutoff.
/// The highest cutoff, as a share of a step's weight (design: v / n, 50 of 400 documents).
pub const CUTOFF_CEILING: f64 = 0.125;
/// Least move of the cutoff; four of them keep a pause at one replica cheap.
pub const CUTOFF_STEP: f64 = CUTOFF_CEILING / 4.0;
/// Share of late or rejected parts above which there is overload (design: a tenth).
pub const OVERLOAD_SHARE: f64 = 0.1;
/// Judged parts below which their share is noise.
pub const OVERLOAD_MIN_PARTS: usize = 8;
/// Window of the overload signal, and least time between two steps down (design: a second).
pub const OVERLOAD_WINDOW: Nanos = SECOND;
/// Time without overload after which the cutoff sinks.
pub const CUTOFF_QUIET_TIME: Nanos = 3 * SECOND;
/// Share of a step's time after which its parts miss their objective (design: three quarters).
pub const LATE_SHARE: f64 = 0.8;

// Measurements of replicas.
/// Weight of a sample in a replica's latency: about the last five answers count.
pub const LATENCY_WEIGHT: f64 = 0.2;
/// Weight of a failure there: what fails at once looks fast and idle and would attract all work.
pub const FAILURE_LATENCY_WEIGHT: f64 = 0.6;
/// Weight of a sample in averages over all replicas, which get many times more of them.
pub const FLEET_WEIGHT: f64 = 0.03;
/// Share of the objective taken as latency before one is known (design: a tenth).
pub const INITIAL_LATENCY_SHARE: f64 = 0.1;
/// Objectives in which measurements of a replica fade to the mean, so that it is tried again.
pub const FADE_OBJECTIVES: f64 = 5.0;
/// Deviations above the mean latency at which an answer is no longer expected.
pub const HEDGING_DELAY_DEVIATIONS: f64 = 4.0;
/// Objectives by which an answer from another zone counts as later, times the price of crossing.
pub const CROSS_ZONE_PENALTY: f64 = 4.0;

// Retries and hedging.
/// Least time for which what was received and retried counts as recent.
pub const RECENT_WINDOW: Nanos = 2 * SECOND;
/// Least share of the objective to wait before another attempt, so that failures don't pile up.
pub const MIN_WAIT_SHARE: f64 = 0.125;
/// Greatest share of the objective to wait: time enough for the hedged request to be answered.
pub const MAX_WAIT_SHARE: f64 = 0.4;
/// Share of a retry budget that classes with partial answers may use.
pub const PARTIAL_BUDGET_SHARE: f64 = 0.5;
/// Retries that are always within our own limit on hedging.
pub const MIN_HEDGES: f64 = 3.0;
/// Further ones, as a share of the parts open or lately received.
pub const HEDGE_RATIO: f64 = 0.15;
/// Weight of one race between an attempt and its hedged request.
pub const HEDGE_LOSS_WEIGHT: f64 = 0.1;
/// Hedging limit, as a multiple that is cut to 1, where no hedged request loses its race.
pub const MAX_HEDGE_FACTOR: f64 = 1.5;
/// What the multiple falls by, times the share of races lost; it is cut to 0.
pub const HEDGE_FACTOR_SLOPE: f64 = 2.0;
/// Replicas at which a query's attempts lost connections from which on it is taken to crash them.
pub const QUERY_OF_DEATH_REPLICAS: usize = 3;

// Outlier detection and slow start.
/// Objectives for which a silent replica is ejected at first; the time doubles each time.
pub const EJECTION_OBJECTIVES: f64 = 0.5;
/// Objectives for which it is ejected at most.
pub const MAX_EJECTION_OBJECTIVES: f64 = 4.0;
/// Share of outliers among the ready replicas from which on the others get health checks.
pub const HEALTH_CHECK_SHARE: f64 = 0.1;
/// Share of the objective for which a replica that rejected a part is taken to be full.
pub const SATURATION_SHARE: f64 = 0.125;
/// Times of warming up over which the results that a replica usually returns are counted.
pub const SLOW_START_MEMORY: f64 = 4.0;

// Admission.
/// Share of the objective past which the expected wait has a query rejected.
pub const REJECT_SHARE: f64 = 0.5;
/// Range of the factor on that share: least for queries that earn little for their work.
pub const VALUE_FACTOR_RANGE: Range<f64> = 0.7..1.3;
/// Greatest lead of the usual client timeout, in first tries: a change is seen soon.
pub const MAX_TIMEOUT_LEAD: u32 = 16;
/// Client timeouts are the same if they differ by 1 / this of the objective at most.
pub const TIMEOUT_TOLERANCE: Nanos = 100;
/// Permits of a class beside those of its open queries, once full replicas have lost one.
pub const SPARE_PERMITS: f64 = 2.0;
/// What a query answered in time adds to the permits: one in eleven lost keeps the balance.
pub const PERMIT_REWARD: f64 = 0.1;
/// What a query answered late takes from them: one in six late keeps the balance.
pub const PERMIT_PENALTY: f64 = 0.5;
/// One query is admitted at least this often: an aggregator may reject all for 4 s at most.
pub const MAX_ADMISSION_GAP: f64 = 3.5 * SECOND as f64;

// Endpoint list.
/// Share of the poll interval to wait after a failed poll; it doubles each time.
pub const BASE_POLL_BACKOFF: f64 = 0.2;
/// The most that it becomes.
pub const MAX_POLL_BACKOFF: f64 = 0.6;
/// Jitter of these waits: the range of their multiple.
pub const POLL_JITTER: Range<f64> = 0.5..1.5;
/// Share of the poll interval over which first polls are spread: many processes start together.
pub const FIRST_POLL_SPREAD: f64 = 0.3;
/// Share of the drain notice to wait before a pushed list, from an agent of our own, is watched.
pub const WATCH_BACKOFF: Range<f64> = 0.05..0.25;

// Connections and timers.
/// Share of the idle timeout after which a connection has been idle for long.
pub const LONG_IDLE_SHARE: f64 = 0.04;
/// Weight of one attempt in the share of attempts lost.
pub const LOSS_WEIGHT: f64 = 0.05;
/// Share of attempts lost from which on there is a fault.
pub const LOSS_THRESHOLD: f64 = 0.2;
/// Two shares are alike where one is more than this multiple of the other.
pub const MAX_SIMILAR_LOSS_RATIO: f64 = 0.7;
/// Objectives for which connections are renewed, or renewal stays off.
pub const RENEWAL_OBJECTIVES: f64 = 15.0;
/// Timer periods kept free before a point in time that must not be missed.
pub const SPARE_PERIODS: Nanos = 2;
/// The timer's period is 1 / this of the shortest objective.
pub const PERIODS_PER_OBJECTIVE: Nanos = 200;
