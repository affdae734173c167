//! The decisions of the policy, one concern per file. [`Policy`] dispatches events, runs the phases
//! of each batch in order, and owns the state of every decision.
//!
//! Invariant: the same settings, seed and batches of events produce the same actions.

mod admission;
mod attempt_end;
mod attempts;
mod client_timeouts;
mod completion;
mod connection_renewal;
mod context;
mod cutoff;
mod endpoint_poller;
mod fleet_latency;
mod hedging;
mod outlier;
mod output;
mod permits;
mod replica_selection;
mod retry;
mod slow_start;
mod timer;
mod tuning;

use crate::api::{
    Action, EndpointUpdateKind, Event, Nanos, PartReceived, PolicySettings, QueryReceived,
    ReplicaEntry, RequestId,
};
use crate::state::{AttemptKey, InFlightAttempt, OpenQueries, PartState, QueryState};
use admission::Admission;
use client_timeouts::ClientTimeouts;
use connection_renewal::ConnectionRenewal;
use context::Context;
use cutoff::WeightCutoff;
use endpoint_poller::EndpointPoller;
use hedging::HedgingBudget;
use outlier::OutlierDetector;
use output::BatchOutput;
use permits::ClassPermits;
use retry::RetryLimiter;
use slow_start::SlowStart;
use std::collections::{BTreeMap, BTreeSet};
use timer::BatchTimer;

/// The decisions of one aggregator and their state.
#[derive(Debug)]
pub struct Policy {
    context: Context,
    queries: OpenQueries,
    /// Attempts that have not ended. The query of an attempt may have ended before it.
    in_flight: BTreeMap<AttemptKey, InFlightAttempt>,
    // Admission of queries and their parts.
    client_timeouts: ClientTimeouts,
    admission: Admission,
    permits: ClassPermits,
    cutoff: WeightCutoff,
    // Further attempts at a part.
    retry_limiter: RetryLimiter,
    hedging: HedgingBudget,
    // Replicas and the connections to them.
    outliers: OutlierDetector,
    slow_start: SlowStart,
    renewal: ConnectionRenewal,
    endpoint_poller: EndpointPoller,
    timer: BatchTimer,
    /// Source of all random choices.
    random: fastrand::Rng,
    /// Actions and log lines of the current batch.
    output: BatchOutput,
}

impl Policy {
    /// Creates a policy without replicas and queries. Processes should use different seeds, so
    /// that their random choices differ.
    pub fn new(settings: PolicySettings, seed: u64) -> Self {
        let context = Context::new(settings);
        let settings = &context.settings;
        let objective = context.shortest_objective;
        Policy {
            queries: OpenQueries::default(),
            in_flight: BTreeMap::new(),
            client_timeouts: ClientTimeouts::default(),
            admission: Admission::default(),
            permits: ClassPermits::default(),
            cutoff: WeightCutoff::new(objective),
            retry_limiter: RetryLimiter::new(settings),
            hedging: HedgingBudget::default(),
            outliers: OutlierDetector::new(settings.health_checks_allowed, objective),
            slow_start: SlowStart::new(settings, seed),
            renewal: ConnectionRenewal::new(settings, objective),
            endpoint_poller: EndpointPoller::new(settings, context.latency.decay_time()),
            timer: BatchTimer::new(settings, objective),
            random: fastrand::Rng::with_seed(seed),
            output: BatchOutput::default(),
            context,
        }
    }

    /// Handles a batch of events at the time `now`, in order, and appends the resulting actions to
    /// `actions`. New queries are admitted after all events have been handled, when their parts
    /// are known. After that, every open query is ended or advanced.
    pub fn handle(&mut self, now: Nanos, events: &[Event], actions: &mut Vec<Action>) {
        self.context.now = now;
        self.slow_start.record_start(now);
        self.poll_endpoints();
        let mut queries_to_start = BTreeSet::new();
        for event in events {
            self.on_event(event, &mut queries_to_start);
        }
        self.retry_limiter.expire(now);
        self.cutoff.update(now, &mut self.output);
        for id in queries_to_start {
            self.start_step(id);
        }
        for id in self.queries.ids() {
            self.advance(id);
        }
        self.outliers.check_health(&self.context, &mut self.output);
        let timer = self.set_timer();
        self.output.move_to(actions, timer);
    }

    /// Returns the number of records in memory: open queries with their indices, attempts in
    /// flight, recent arrivals, client groups and replicas.
    pub fn retained_records(&self) -> usize {
        self.queries.record_count()
            + self.in_flight.len()
            + self.retry_limiter.recently_received()
            + self.client_timeouts.len()
            + self.context.replicas.len()
    }

    fn on_event(&mut self, event: &Event, queries_to_start: &mut BTreeSet<RequestId>) {
        match event {
            Event::EndpointsUpdated { kind, entries } => self.on_endpoints_updated(*kind, entries),
            Event::QueryReceived(query) => self.on_query_received(query),
            Event::PartReceived(part) => queries_to_start.extend(self.on_part_received(part)),
            Event::AttemptEnded(ended) => self.on_attempt_ended(ended),
            Event::ResponseStarted { replica, .. } => self.on_response(*replica),
            Event::HealthCheckEnded(ended) => self.on_health_check_ended(ended),
            Event::ClientDisconnected { id } => {
                queries_to_start.remove(id);
                self.on_client_disconnected(*id);
            }
            Event::ShutdownRequested { answer_by } => self.shorten_deadlines(*answer_by),
            Event::TimerFired { .. } | Event::GossipReceived { .. } => {}
        }
    }

    fn on_query_received(&mut self, received: &QueryReceived) {
        let Context { now, settings, .. } = &self.context;
        self.retry_limiter.record_received(*now);
        let Some(class) = settings.classes.get(usize::from(received.class)) else {
            return;
        };
        let time_spent = self.client_timeouts.time_spent_by_earlier_attempts(
            received,
            class,
            settings.retries_marked,
        );
        self.queries
            .insert(QueryState::new(received, class, time_spent, *now));
    }

    /// Adds a part to its query. Returns the identifier of the query, or `None` if no query is open
    /// in the part's group.
    fn on_part_received(&mut self, received: &PartReceived) -> Option<RequestId> {
        self.retry_limiter.record_received(self.context.now);
        let part = PartState::new(received);
        self.queries.insert_part(received.group, part)
    }

    fn poll_endpoints(&mut self) {
        let now = self.context.now;
        if self.endpoint_poller.take_due(now, &mut self.random) {
            self.output.push(Action::WatchEndpoints { enabled: true });
        }
    }

    fn on_endpoints_updated(&mut self, kind: EndpointUpdateKind, entries: &[ReplicaEntry]) {
        let now = self.context.now;
        match kind {
            EndpointUpdateKind::Unavailable => {
                return self.endpoint_poller.on_failure(now, &mut self.random);
            }
            EndpointUpdateKind::Cached => {}
            EndpointUpdateKind::Delta | EndpointUpdateKind::Snapshot => {
                self.endpoint_poller.on_update();
            }
        }
        self.context.replicas.apply(kind, entries);
        // A replacement for a replica has a new identifier, so the records of replicas that are
        // gone would accumulate.
        let decay_time = self.context.latency.decay_time() as Nanos;
        let oldest = now.saturating_sub(decay_time);
        self.context.replicas.remove_gone(oldest);
    }

    /// Returns the action that sets the timer for the next batch, if the timer has to be set. While
    /// no query is open, a timer is needed only for the next call for the endpoint list.
    fn set_timer(&mut self) -> Option<Action> {
        let now = self.context.now;
        let next = if self.queries.is_empty() {
            self.endpoint_poller.due_at()?
        } else {
            now + self.timer.period()
        };
        self.timer.set(now, next)
    }
}
