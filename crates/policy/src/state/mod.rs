//! Records of replicas, queries, parts and attempts: data and its bookkeeping, no decisions.

mod part;
mod query;
mod query_table;
mod replica;

pub use part::{AttemptRecord, InFlightAttempt, PartState, RaceWinner};
pub use query::{QueryState, StepSums, REACHABLE_TOLERANCE};
pub use query_table::OpenQueries;
pub use replica::{ConnectionUse, KnownReplicas, ReplicaRecord};

use crate::api::{Action, Nanos, PolicySettings, ReplicaId, RequestId};
use crate::stats::{
    blend, DecayingCounter, Ewma, MajorityVote, MeanDeviation, SlidingWindow, TokenBucket,
};
use std::collections::BTreeMap;

/// The decisions of one aggregator: all that it knows. What it decides is in `crate::policy`.
#[derive(Debug, Default)]
pub struct Policy {
    /// What the operator has stated.
    pub(crate) settings: PolicySettings,
    /// The shortest latency objective of a class, ns.
    pub(crate) objective: f64,
    /// Distinguishes this process from others.
    pub(crate) seed: u64,
    /// The state of the random number generator.
    pub(crate) random: u64,
    /// The time of the running batch.
    pub(crate) now: Nanos,
    /// The time of the first batch; 0 before it.
    pub(crate) started: Nanos,
    /// The replicas.
    pub(crate) replicas: KnownReplicas,
    /// The queries that have not ended.
    pub(crate) queries: OpenQueries,
    /// The attempts that have not ended, by part and number.
    pub(crate) in_flight: BTreeMap<(RequestId, u8), InFlightAttempt>,
    /// Renewal of connections.
    pub(crate) renewal: RenewalState,
    /// Share of hedged requests that lost against the attempt before them.
    pub(crate) hedge_loss_rate: f64,
    /// The weight cutoff.
    pub(crate) cutoff: CutoffState,
    /// Latency over all replicas, ns.
    pub(crate) fleet_latency: MeanDeviation,
    /// Queries and parts received lately.
    pub(crate) received: SlidingWindow<()>,
    /// Retries and hedged requests sent lately.
    pub(crate) retries: SlidingWindow<()>,
    /// Results returned to this aggregator, over the memory of slow start.
    pub(crate) results: DecayingCounter,
    /// The usual client timeout of first tries, by class and tenant.
    pub(crate) client_timeouts: BTreeMap<(u16, u32), MajorityVote>,
    /// What a part usually earns.
    pub(crate) mean_value_per_part: Ewma,
    /// The permits of each class that has lost a query to full replicas.
    pub(crate) permits: BTreeMap<usize, TokenBucket>,
    /// Rounds of health checks.
    pub(crate) health_checks: HealthCheckState,
    /// The polling of the endpoint list.
    pub(crate) poll: EndpointPoller,
    /// When the timer is set to fire.
    pub(crate) timer: Option<Nanos>,
    /// The actions of the running batch.
    pub(crate) actions: Vec<Action>,
    /// Lines for the log; they follow the actions.
    pub(crate) log_lines: Vec<String>,
}

impl Policy {
    /// A policy that has received nothing yet.
    pub fn new(settings: PolicySettings, seed: u64) -> Self {
        Policy {
            objective: settings.shortest_objective() as f64,
            settings,
            seed,
            random: seed,
            ..Policy::default()
        }
    }

    /// Drops what is older than the windows of recent retries and of the overload signal.
    pub(crate) fn expire_windows(&mut self, recent: Nanos, overload: Nanos) {
        let budget = self.settings.retry_budget.as_ref();
        let recent = budget.map_or(0, |budget| budget.window).max(recent);
        let oldest = self.now.saturating_sub(recent);
        self.received.expire(oldest);
        self.retries.expire(oldest);
        self.cutoff.judged.expire(self.now.saturating_sub(overload));
    }

    /// Sets the timer, unless it fires earlier. While a query is open it fires every period;
    /// otherwise only the endpoint list is due.
    pub(crate) fn set_timer(&mut self, period: Nanos) {
        let next = if self.queries.is_empty() {
            self.poll.due
        } else {
            Some(self.now + period)
        };
        let Some(next) = next else { return };
        let is_earlier = |at: Nanos| at > self.now && at <= next;
        if !self.timer.is_some_and(is_earlier) {
            self.timer = Some(next);
            let after = next.saturating_sub(self.now);
            self.actions.push(Action::SetTimer { token: 0, after });
        }
    }

    /// Forgets a query that has ended, and cancels its attempts.
    pub(crate) fn discard(&mut self, mut query: QueryState) {
        query.cancel_attempts(self.settings.cancellation_allowed, &mut self.actions);
        self.queries.forget(&query);
    }

    /// Records an attempt at a part that is sent now, on this connection.
    pub(crate) fn record_attempt(
        &mut self,
        part: &mut PartState,
        id: ReplicaId,
        connection: ConnectionUse,
    ) {
        if !part.attempts.is_empty() {
            self.retries.push(self.now, ());
        }
        let key = (part.id, part.attempts.len() as u8);
        let in_flight = InFlightAttempt::new(id, self.now, connection);
        self.in_flight.insert(key, in_flight);
        part.attempts.push(AttemptRecord::new(id, self.now));
        let oldest = self.now.saturating_sub(self.settings.overload_window);
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.record_part(self.now, oldest);
        }
    }

    /// The number of records held, of every kind that comes and goes.
    pub fn retained_records(&self) -> usize {
        let open = self.queries.record_count() + self.in_flight.len();
        open + self.received.len() + self.client_timeouts.len() + self.replicas.len()
    }
}

/// The weight cutoff and what it follows.
#[derive(Debug, Default)]
pub struct CutoffState {
    /// Parts lighter than this may be dropped.
    pub value: f64,
    /// When it last moved.
    pub moved: Nanos,
    /// When the overload signal was last on.
    pub last_overload: Nanos,
    /// The parts judged lately, each with whether it missed its latency objective or was rejected.
    pub judged: SlidingWindow<bool>,
}

impl CutoffState {
    /// Adds a part to the overload signal, once.
    pub fn judge(&mut self, now: Nanos, part: &mut PartState, is_missed: bool) {
        if !std::mem::replace(&mut part.is_counted, true) {
            self.judged.push(now, is_missed);
        }
    }
}

/// When the endpoint list is polled.
#[derive(Debug, Default)]
pub struct EndpointPoller {
    /// When to poll or watch again; none while a watch is open.
    pub due: Option<Nanos>,
    /// Polls that failed in a row.
    pub failures: u32,
}

impl EndpointPoller {
    /// Nothing is due, since an update has come.
    pub fn reset(&mut self) {
        *self = EndpointPoller::default();
    }
}

/// Losses by kind of connection, and the renewal of connections that have been idle for long.
#[derive(Debug, Default)]
pub struct RenewalState {
    /// Share of attempts lost on connections in recent use.
    pub recent_loss: f64,
    /// Share of attempts lost on connections that were idle for long.
    pub long_idle_loss: f64,
    /// Share of attempts lost on connections that were renewed.
    pub renewed_loss: f64,
    /// Renewal may not start again before this.
    pub allowed_from: Nanos,
    /// Connections are renewed until then.
    pub until: Nanos,
}

impl RenewalState {
    /// Counts an attempt on one kind of connection.
    pub fn record(&mut self, connection: ConnectionUse, is_lost: bool, weight: f64) {
        let loss = match connection {
            ConnectionUse::RecentlyUsed => &mut self.recent_loss,
            ConnectionUse::LongIdle => &mut self.long_idle_loss,
            ConnectionUse::Renewed => &mut self.renewed_loss,
        };
        *loss = blend(*loss, f64::from(u8::from(is_lost)), weight);
    }

    /// Starts renewal, until then.
    pub fn start(&mut self, until: Nanos) {
        self.allowed_from = until;
        self.until = until;
        self.renewed_loss = 0.0;
    }

    /// Stops renewal; it may start again from then on.
    pub fn stop(&mut self, allowed_from: Nanos) {
        self.allowed_from = allowed_from;
        self.until = 0;
    }
}

/// Rounds of health checks.
#[derive(Debug, Default)]
pub struct HealthCheckState {
    /// A replica has fallen silent since the last round.
    pub outlier_found: bool,
    /// When the last round was.
    pub last_round: Nanos,
}
