//! Settings of the policy, which describe the deployment. `None` stands for a setting that the
//! operator has not given.

use super::Nanos;

/// Whether a part may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated executions have no further effect, so a part may be retried freely.
    #[default]
    Idempotent,
    /// Parts carry an idempotency key. The leaf server drops duplicates within the class's
    /// idempotency window, which starts with the first attempt that may have been executed.
    IdempotentWithKey,
    /// A repeated execution takes effect again. A part may be retried only if it is known that no
    /// attempt has been executed.
    NonIdempotent,
}

/// A class of queries with common objectives.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueryClass {
    /// Time within which an answer has its full value.
    pub latency_objective: Nanos,
    /// Multiple of a query's expected work that is added to its latency objective; `None` counts as
    /// 0.
    pub objective_stretch: Option<f64>,
    /// Longest time that a client waits for an answer, over all its attempts.
    pub deadline: Nanos,
    /// Whether parts of the class may be executed more than once.
    pub idempotency: Idempotency,
    /// Time for which the leaf server drops duplicates of a part with an idempotency key.
    pub idempotency_window: Nanos,
    /// Value of an answer relative to other classes; `None` counts as 1.
    pub priority_weight: Option<f64>,
    /// Value of an answer after the latency objective, as a fraction of the full value; 0 if it has
    /// none.
    pub late_value: f64,
    /// Share of the first step's part weight that a complete answer needs.
    pub completeness_threshold: f64,
    /// Minimum share of the part weight that an answer must cover.
    pub minimum_coverage: f64,
    /// Value of a partial answer with the weight `completeness_threshold`, as a fraction of the
    /// full value. The value of other partial answers is proportional to their weight.
    pub partial_value: f64,
    /// Maximum number of parts of the second step; 0 if the class has no second step.
    pub second_step_parts: u32,
}

/// Limit on the retries in any `window`: `minimum` plus `ratio` times the number of queries and
/// parts received in the window.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Number of retries that are always allowed.
    pub minimum: f64,
    /// Number of further retries allowed per query or part received.
    pub ratio: f64,
    /// Length of the sliding window over retries, queries and parts.
    pub window: Nanos,
}

/// Settings of a policy, which are constant during the lifetime of the policy.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicySettings {
    /// Classes of queries, which events refer to by index.
    pub classes: Vec<QueryClass>,
    /// Number of placement cells. Shard s is held by the replicas in the cells s, s + 1, ...,
    /// s + `cells_per_shard` - 1, modulo this number.
    pub placement_cells: u32,
    /// Number of consecutive cells whose replicas hold a shard.
    pub cells_per_shard: u32,
    /// Zone of this aggregator.
    pub zone: u16,
    /// Price of sending all parts to other zones, as a share of the total priority weight.
    pub cross_zone_price: f64,
    /// Maximum number of parts that share a call if they are sent to one replica in one batch.
    pub max_parts_per_call: Option<u32>,
    /// Number of aggregators in the deployment, including this one.
    pub aggregators: u32,
    /// Minimum time between two batches of events.
    pub min_batch_interval: Nanos,
    /// Maximum number of attempts at a part; `None` if it is not limited.
    pub max_attempts: Option<u32>,
    /// Whether attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Whether clients mark their retries, so that a query without the mark is a first attempt.
    pub retries_marked: bool,
    /// Whether a further attempt at a part may be sent while another is in flight.
    pub hedging_allowed: bool,
    /// Whether health checks may be sent to replicas.
    pub health_checks_allowed: bool,
    /// Longest `Retry-After` that a rejected client may be given; 0 if none may be given.
    pub max_retry_after: Nanos,
    /// Minimum share of its full capacity that a replica has when it starts. The replica has its
    /// full capacity after `warm_up_time`.
    pub initial_capacity: Option<f64>,
    /// Time that a replica needs to warm up after its start.
    pub warm_up_time: Nanos,
    /// Multiple of its current capacity above which a replica that is warming up fails if the load
    /// lasts for `overload_window`.
    pub overload_multiple: Option<f64>,
    /// Time for which a replica that is warming up tolerates a load above `overload_multiple`.
    pub overload_window: Nanos,
    /// Limit on retries; `None` if retries are not limited by a budget.
    pub retry_budget: Option<RetryBudget>,
    /// Time after which a leaf server closes an idle connection; 0 if it is unknown. The aggregator
    /// closes idle connections earlier.
    pub idle_timeout: Nanos,
    /// Time from the notice that a replica is draining or gone, after which no attempt may be sent
    /// to the replica.
    pub drain_notice: Nanos,
    /// Whether the endpoint list is polled rather than pushed.
    pub endpoint_list_polled: bool,
    /// Time after which a change of a polled endpoint list counts as notified.
    pub poll_interval: Nanos,
}

impl PolicySettings {
    /// Returns the shortest latency objective of all classes, or one second if there are none.
    pub fn shortest_objective(&self) -> Nanos {
        let objectives = self.classes.iter().map(|class| class.latency_objective);
        objectives.min().unwrap_or(1_000_000_000)
    }

    /// Returns the maximum number of parts that share a call, at least 1.
    pub fn parts_per_call(&self) -> u32 {
        self.max_parts_per_call.unwrap_or(1).max(1)
    }

    /// Returns the time that one step of a query of this class may take, ns.
    pub fn step_objective(&self, class: usize) -> f64 {
        self.classes[class].latency_objective as f64 / f64::from(self.steps(class))
    }

    /// Returns the number of steps of a query of this class, 1 or 2.
    pub fn steps(&self, class: usize) -> u8 {
        1 + u8::from(self.classes[class].second_step_parts > 0)
    }
}

impl QueryClass {
    /// Returns the latency objective of a query with this expected work.
    pub fn objective_for(&self, expected_work: Option<Nanos>) -> Nanos {
        let stretch = self.objective_stretch.unwrap_or(0.0) * expected_work.unwrap_or(0) as f64;
        self.latency_objective + stretch as Nanos
    }

    /// Returns the minimum weight of an answer to this step, as a share of the step's part weight.
    pub fn minimum_of_step(&self, step: u8) -> f64 {
        if step == 1 || self.takes_partial_answers() {
            self.minimum()
        } else {
            1.0
        }
    }

    /// Returns the minimum weight of an answer, as a share of the part weight.
    pub fn minimum(&self) -> f64 {
        self.minimum_coverage.min(self.completeness_threshold)
    }

    /// Returns whether a query of this class may be answered in part.
    pub fn takes_partial_answers(&self) -> bool {
        self.minimum_coverage < self.completeness_threshold
    }
}
