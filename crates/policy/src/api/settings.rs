//! What the operator states about the deployment. `None` means that a value has not been stated.

use super::Nanos;

/// The effect of a part that is executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// None: a part may be retried freely.
    #[default]
    Idempotent,
    /// The leaf server drops duplicates within the class's idempotency window, which opens with the
    /// first attempt that may have been executed.
    IdempotentWithKey,
    /// A second effect: only an attempt that is known not to have been executed may be retried.
    NonIdempotent,
}

/// A class of queries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueryClass {
    /// An answer within this time has its full value.
    pub latency_objective: Nanos,
    /// The objective grows by this multiple of the query's own expected work.
    pub objective_stretch: Option<f64>,
    /// The longest that a client waits, over all its attempts.
    pub deadline: Nanos,
    /// Whether parts may be retried.
    pub idempotency: Idempotency,
    /// How long duplicates of a part with an idempotency key are dropped.
    pub idempotency_window: Nanos,
    /// The value of an answer, relative to other classes.
    pub priority_weight: Option<f64>,
    /// The value of an answer after the latency objective, as a fraction of the full value.
    pub late_value: f64,
    /// Share of the first step's part weight that a complete answer needs.
    pub completeness_threshold: f64,
    /// Least share of the part weight that an answer may rest on.
    pub minimum_coverage: f64,
    /// The value of an incomplete answer whose weight is `completeness_threshold`, as a fraction of
    /// the full value. It is proportional to the answer's weight.
    pub partial_value: f64,
    /// The most parts that a second step may have; 0 where there is no second step.
    pub second_step_parts: u32,
}

/// The retries allowed in any `window`: `minimum`, and `ratio` of the queries and parts received in
/// it.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Retries that are always allowed.
    pub minimum: f64,
    /// Further retries for each query and part received.
    pub ratio: f64,
    /// The length of the sliding window.
    pub window: Nanos,
}

/// What a policy knows from its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicySettings {
    /// The classes of queries, by number.
    pub classes: Vec<QueryClass>,
    /// Number of placement cells. Shard s is held by the replicas in cells s, s + 1, ...
    /// s + `cells_per_shard` - 1, modulo this.
    pub placement_cells: u32,
    /// Number of consecutive cells whose replicas hold a shard.
    pub cells_per_shard: u32,
    /// The zone of this aggregator.
    pub zone: u16,
    /// The price of sending all parts to other zones, as a share of all priority weight.
    pub cross_zone_price: f64,
    /// The most parts that share a call when sent to one replica in one batch.
    pub max_parts_per_call: Option<u32>,
    /// The number of aggregators, this one included.
    pub aggregators: u32,
    /// Least time between two batches of events.
    pub min_batch_interval: Nanos,
    /// The most attempts for a part.
    pub max_attempts: Option<u32>,
    /// Attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Clients mark their retries; a query without the mark is a first attempt.
    pub retries_marked: bool,
    /// A second attempt may be sent while the first is in flight.
    pub hedging_allowed: bool,
    /// Replicas may be sent health checks.
    pub health_checks_allowed: bool,
    /// The longest `Retry-After` that a rejected client may be given; 0 where none may be given.
    pub max_retry_after: Nanos,
    /// A replica that has just started has at least this share of its capacity, and all of it after
    /// `warm_up_time`.
    pub initial_capacity: Option<f64>,
    /// How long a replica warms up.
    pub warm_up_time: Nanos,
    /// Sent more than this multiple of its present capacity for `overload_window`, a replica that
    /// is warming up fails.
    pub overload_multiple: Option<f64>,
    /// See `overload_multiple`.
    pub overload_window: Nanos,
    /// The limit on retries, if one is set.
    pub retry_budget: Option<RetryBudget>,
    /// A leaf server closes a connection that has been idle for this time; we close it earlier.
    pub idle_timeout: Nanos,
    /// No attempt may be sent to a replica this long after the notice that it is draining or gone.
    pub drain_notice: Nanos,
    /// The endpoint list has to be polled; otherwise it is pushed.
    pub endpoint_list_polled: bool,
    /// A change of a polled list counts as notified after this time.
    pub poll_interval: Nanos,
}

impl PolicySettings {
    /// The shortest latency objective of a class; a second where there is no class.
    pub fn shortest_objective(&self) -> Nanos {
        let objectives = self.classes.iter().map(|class| class.latency_objective);
        objectives.min().unwrap_or(1_000_000_000)
    }

    /// The most parts that share a call; one where nothing is stated.
    pub fn parts_per_call(&self) -> u32 {
        self.max_parts_per_call.unwrap_or(1).max(1)
    }

    /// How long a step of a query of this class may take, ns.
    pub fn step_objective(&self, class: usize) -> f64 {
        self.classes[class].latency_objective as f64 / f64::from(self.steps(class))
    }

    /// The number of steps of a query of this class.
    pub fn steps(&self, class: usize) -> u8 {
        1 + u8::from(self.classes[class].second_step_parts > 0)
    }
}

impl QueryClass {
    /// How long an answer may take, for a query that is expected to take this work.
    pub fn objective_for(&self, work: Option<Nanos>) -> Nanos {
        let stretch = self.objective_stretch.unwrap_or(0.0) * work.unwrap_or(0) as f64;
        self.latency_objective + stretch as Nanos
    }

    /// The weight that an answer to this step needs at the least.
    pub fn minimum_of_step(&self, step: u8) -> f64 {
        if step == 1 || self.takes_partial_answers() {
            self.minimum()
        } else {
            1.0
        }
    }

    /// The weight that any answer needs at the least.
    pub fn minimum(&self) -> f64 {
        self.minimum_coverage.min(self.completeness_threshold)
    }

    /// Whether an incomplete answer may be given.
    pub fn takes_partial_answers(&self) -> bool {
        self.minimum_coverage < self.completeness_threshold
    }
}
