//! A seeded policy in a simulated environment: replicas that answer, fail or stop responding,
//! clients that retry and disconnect, and an endpoint list that changes.

use aggregator_policy::api::{
    Action, AttemptEnded, AttemptOutcome, EndpointUpdateKind, Event, HealthCheckEnded, Idempotency,
    LoadReport, Nanos, PartReceived, PolicySettings, QueryClass, QueryReceived, ReplicaEntry,
    ReplicaId, ReplicaState, RequestId, RetryBudget,
};
use aggregator_policy::Policy;
use fastrand::Rng;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::Xxh3;

const MS: Nanos = 1_000_000;
const SECOND: Nanos = 1_000 * MS;
/// Time at which each scenario starts.
const START: Nanos = 1_000_000 * SECOND;
/// Number of batches in a scenario.
const BATCHES: usize = 600;
const BATCHES_PER_DIGEST: usize = 100;

/// Behavior of all replicas, and the load, in one phase of a scenario.
#[derive(Clone, Copy)]
struct ReplicaBehavior {
    // Probability of each outcome of an attempt, in percent.
    rejected: u32,
    error: u32,
    connection_lost: u32,
    unreachable: u32,
    no_response: u32,
    /// Mean latency of an answer; latencies range from 50% to 150% of it.
    latency: Nanos,
    /// Maximum number of queries received in one batch.
    queries_per_batch: u32,
}

fn random_behavior(random: &mut Rng) -> ReplicaBehavior {
    let healthy = ReplicaBehavior {
        rejected: 1,
        error: 1,
        connection_lost: 0,
        unreachable: 0,
        no_response: 1,
        latency: 30 * MS,
        queries_per_batch: 1,
    };
    match random.u32(..6) {
        0 => ReplicaBehavior {
            rejected: 40,
            queries_per_batch: 3,
            ..healthy
        },
        1 => ReplicaBehavior {
            connection_lost: 20,
            unreachable: 15,
            ..healthy
        },
        2 => ReplicaBehavior {
            no_response: 30,
            latency: 120 * MS,
            ..healthy
        },
        3 => ReplicaBehavior {
            latency: 400 * MS,
            queries_per_batch: 2,
            ..healthy
        },
        4 => ReplicaBehavior {
            error: 30,
            rejected: 10,
            ..healthy
        },
        _ => healthy,
    }
}

fn random_class(random: &mut Rng) -> QueryClass {
    let latency_objective = random.u64(200..2_500) * MS;
    let takes_partial_answers = random.bool();
    let completeness_threshold = if random.u32(..4) == 0 { 0.9 } else { 1.0 };
    QueryClass {
        latency_objective,
        objective_stretch: random.bool().then_some(1.5),
        deadline: latency_objective * random.u64(1..4) + 50 * MS,
        idempotency: [
            Idempotency::Idempotent,
            Idempotency::Idempotent,
            Idempotency::IdempotentWithKey,
            Idempotency::NonIdempotent,
        ][random.usize(..4)],
        idempotency_window: random.u64(20..3_000) * MS,
        priority_weight: random.bool().then(|| random.f64() * 4.0),
        late_value: if random.bool() { 0.3 } else { 0.0 },
        completeness_threshold,
        minimum_coverage: if takes_partial_answers {
            0.6
        } else {
            completeness_threshold
        },
        partial_value: 0.95,
        second_step_parts: if random.u32(..5) == 0 { 4 } else { 0 },
    }
}

fn random_settings(random: &mut Rng) -> PolicySettings {
    let has_slow_start = random.u32(..3) > 0;
    PolicySettings {
        classes: (0..random.usize(1..4))
            .map(|_| random_class(random))
            .collect(),
        placement_cells: random.u32(1..5),
        cells_per_shard: random.u32(1..4),
        zone: 0,
        cross_zone_price: if random.bool() { 0.01 } else { 0.0 },
        max_parts_per_call: [None, Some(1), Some(4)][random.usize(..3)],
        aggregators: [1, 3, 300][random.usize(..3)],
        min_batch_interval: random.u64(1..10) * MS,
        max_attempts: [None, Some(2), Some(3)][random.usize(..3)],
        cancellation_allowed: random.bool(),
        retries_marked: random.bool(),
        hedging_allowed: random.u32(..4) > 0,
        health_checks_allowed: random.bool(),
        max_retry_after: if random.bool() { 1_500 * MS } else { 0 },
        initial_capacity: has_slow_start.then_some(0.2),
        warm_up_time: 18 * SECOND,
        overload_multiple: has_slow_start.then_some(2.5),
        overload_window: 3 * SECOND,
        retry_budget: (random.u32(..3) == 0).then_some(RetryBudget {
            minimum: 3.0,
            ratio: 0.1,
            window: 10 * SECOND,
        }),
        idle_timeout: if random.bool() { 3 * SECOND } else { 0 },
        drain_notice: 2 * SECOND,
        endpoint_list_polled: random.bool(),
        poll_interval: 8 * SECOND,
    }
}

struct OpenQuery {
    group: u32,
    class: usize,
    parts: Vec<RequestId>,
    has_second_step_started: bool,
}

/// One policy in an environment that responds to its actions.
pub struct Scenario {
    random: Rng,
    settings: PolicySettings,
    policy: Policy,
    now: Nanos,
    behavior: ReplicaBehavior,
    entries: Vec<ReplicaEntry>,
    /// Future events, by their times and the order in which they were scheduled.
    scheduled: BTreeMap<(Nanos, u64), Event>,
    /// Key in `scheduled` of the end of each attempt, by part and number of the attempt.
    attempt_ends: BTreeMap<(RequestId, u8), (Nanos, u64)>,
    /// Number of attempts at each part.
    attempt_counts: BTreeMap<RequestId, u8>,
    queries: BTreeMap<RequestId, OpenQuery>,
    last_id: u64,
    last_group: u32,
    digest: Xxh3,
}

impl Scenario {
    pub fn new(seed: u64) -> Scenario {
        let mut random = Rng::with_seed(seed);
        let settings = random_settings(&mut random);
        let replicas = random.u64(1..13);
        let placement_cells = settings.placement_cells;
        let entries = (1..=replicas).map(|replica| ReplicaEntry {
            replica: ReplicaId(replica),
            cell: (replica as u32 % placement_cells) as u16,
            zone: (replica % 2) as u16,
            started_at: 0,
            state: ReplicaState::Ready,
        });
        Scenario {
            policy: Policy::new(settings.clone(), seed.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            entries: entries.collect(),
            behavior: random_behavior(&mut random),
            settings,
            random,
            now: START,
            scheduled: BTreeMap::new(),
            attempt_ends: BTreeMap::new(),
            attempt_counts: BTreeMap::new(),
            queries: BTreeMap::new(),
            last_id: 0,
            last_group: 0,
            digest: Xxh3::new(),
        }
    }

    /// Runs all batches and returns the digest after every `BATCHES_PER_DIGEST` batches.
    pub fn run(&mut self) -> Vec<u64> {
        let first = Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Cached,
            entries: self.entries.clone(),
        };
        self.run_batch(&[first]);
        let mut digests = Vec::new();
        for number in 1..=BATCHES {
            let pause_ms = if self.random.u32(..50) == 0 {
                900
            } else {
                self.random.u64(1..25)
            };
            self.now += pause_ms * MS;
            if number % 75 == 0 {
                self.behavior = random_behavior(&mut self.random);
            }
            let events = self.next_events();
            self.run_batch(&events);
            if number % BATCHES_PER_DIGEST == 0 {
                digests.push(self.digest.digest());
            }
        }
        digests
    }

    /// Runs all batches, 10 ms apart and without the initial endpoint list, and returns the
    /// actions.
    pub fn collect_actions(&mut self) -> Vec<Action> {
        let mut collected = Vec::new();
        for _ in 0..BATCHES {
            self.now += 10 * MS;
            let events = self.next_events();
            let mut actions = Vec::new();
            self.policy.handle(self.now, &events, &mut actions);
            for action in &actions {
                self.react(action);
            }
            collected.extend(actions);
        }
        collected
    }

    fn next_events(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        while let Some(entry) = self
            .scheduled
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            events.push(entry.remove());
        }
        if self.random.u32(..25) == 0 {
            events.push(self.change_endpoint_list());
        }
        if self.random.u32(..12) == 0 {
            events.extend(self.disconnect_client());
        }
        for _ in 0..self.random.u32(..=self.behavior.queries_per_batch) {
            self.add_query(&mut events);
        }
        events
    }

    fn change_endpoint_list(&mut self) -> Event {
        if self.random.u32(..3) == 0 {
            return Event::EndpointsUpdated {
                kind: EndpointUpdateKind::Unavailable,
                entries: Vec::new(),
            };
        }
        let index = self.random.usize(..self.entries.len());
        let entry = &mut self.entries[index];
        match self.random.u32(..4) {
            0 => entry.state = ReplicaState::Draining,
            1 => entry.state = ReplicaState::Gone,
            _ => {
                (entry.state, entry.started_at) =
                    (ReplicaState::Ready, self.now.saturating_sub(300 * MS));
            }
        }
        if self.random.bool() {
            return Event::EndpointsUpdated {
                kind: EndpointUpdateKind::Delta,
                entries: vec![entry.clone()],
            };
        }
        let listed = self
            .entries
            .iter()
            .filter(|entry| entry.state != ReplicaState::Gone);
        Event::EndpointsUpdated {
            kind: EndpointUpdateKind::Snapshot,
            entries: listed.cloned().collect(),
        }
    }

    fn disconnect_client(&mut self) -> Option<Event> {
        let ids: Vec<RequestId> = self.queries.keys().copied().collect();
        let id = *ids.get(self.random.usize(..ids.len().max(1)))?;
        self.queries.remove(&id);
        Some(Event::ClientDisconnected { id })
    }

    fn add_query(&mut self, events: &mut Vec<Event>) {
        self.last_id += 1;
        self.last_group += 1;
        let (id, group) = (self.last_id, self.last_group);
        let class = self.random.usize(..self.settings.classes.len());
        let deadline = self.settings.classes[class].deadline;
        let is_retry = self.random.u32(..4) == 0;
        let client_timeout = if is_retry {
            self.random.u64(deadline / 8..deadline)
        } else {
            deadline
        };
        events.push(Event::QueryReceived(QueryReceived {
            id,
            group,
            class: class as u16,
            tenant: self.random.u32(..3),
            client_timeout,
            expected_work: self.random.bool().then(|| self.random.u64(..40) * MS),
            is_retry,
        }));
        self.queries.insert(
            id,
            OpenQuery {
                group,
                class,
                parts: Vec::new(),
                has_second_step_started: false,
            },
        );
        let part_count = self.random.usize(1..9);
        self.add_parts(id, part_count, events);
    }

    fn add_parts(&mut self, query: RequestId, part_count: usize, events: &mut Vec<Event>) {
        let weights: Vec<f64> = (0..part_count)
            .map(|_| self.random.f64().powi(3) + 0.01)
            .collect();
        let sum: f64 = weights.iter().sum();
        for weight in weights {
            self.last_id += 1;
            let Some(open) = self.queries.get_mut(&query) else {
                return;
            };
            open.parts.push(self.last_id);
            let shard = self.random.u32(..12);
            events.push(Event::PartReceived(PartReceived {
                id: self.last_id,
                group: open.group,
                shard,
                weight: weight / sum,
            }));
        }
    }

    fn run_batch(&mut self, events: &[Event]) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, events, &mut actions);
        for action in &actions {
            self.record(action);
            self.react(action);
        }
        self.digest
            .update(&(self.policy.retained_records() as u64).to_le_bytes());
    }

    fn schedule(&mut self, at: Nanos, event: Event) -> (Nanos, u64) {
        self.last_id += 1;
        let key = (at.max(self.now), self.last_id);
        self.scheduled.insert(key, event);
        key
    }

    fn react(&mut self, action: &Action) {
        match action {
            Action::SendAttempt {
                part,
                replica,
                times_out_at,
                ..
            } => self.start_attempt(*part, *replica, *times_out_at),
            Action::CancelAttempt { part, attempt } => {
                let Some(key) = self.attempt_ends.remove(&(*part, *attempt)) else {
                    return;
                };
                let Some(Event::AttemptEnded(AttemptEnded { replica, .. })) =
                    self.scheduled.remove(&key)
                else {
                    return;
                };
                let (part, attempt, outcome) = (*part, *attempt, AttemptOutcome::Cancelled);
                let report = LoadReport::new();
                self.schedule(
                    self.now,
                    Event::AttemptEnded(AttemptEnded {
                        part,
                        attempt,
                        replica,
                        outcome,
                        report,
                    }),
                );
            }
            Action::Answer { query, .. } => self.on_answer(*query),
            Action::Reject { query, .. } | Action::Fail { query } => {
                drop(self.queries.remove(query));
            }
            Action::SetTimer { token, after } => {
                self.schedule(self.now + after, Event::TimerFired { token: *token });
            }
            Action::CheckHealth { replica } => {
                let outcome = if self.random.bool() {
                    AttemptOutcome::Success
                } else {
                    AttemptOutcome::TimedOut
                };
                let (replica, latency, report) = (*replica, 40 * MS, LoadReport::new());
                self.schedule(
                    self.now + latency,
                    Event::HealthCheckEnded(HealthCheckEnded {
                        replica,
                        outcome,
                        latency,
                        report,
                    }),
                );
            }
            _ => {}
        }
    }

    #[allow(
        clippy::too_many_lines,
        reason = "the recording depends on the order of the random draws"
    )]
    fn start_attempt(&mut self, part: RequestId, replica: ReplicaId, times_out_at: Nanos) {
        let count = self.attempt_counts.entry(part).or_insert(0);
        let attempt = *count;
        *count += 1;
        let roll = self.random.u32(..100);
        let ReplicaBehavior {
            rejected,
            error,
            connection_lost,
            unreachable,
            no_response,
            latency,
            ..
        } = self.behavior;
        let answer_latency = latency / 2 + self.random.u64(..latency);
        let ends = [
            (rejected, AttemptOutcome::Rejected, 2 * MS),
            (error, AttemptOutcome::Error, answer_latency / 4),
            (
                connection_lost,
                AttemptOutcome::ConnectionLost,
                answer_latency,
            ),
            (unreachable, AttemptOutcome::Unreachable, 3 * MS),
            (
                no_response,
                AttemptOutcome::TimedOut,
                times_out_at.saturating_sub(self.now),
            ),
        ];
        let mut cumulative_percent = 0;
        let end = ends.iter().find(|(percent, ..)| {
            cumulative_percent += percent;
            roll < cumulative_percent
        });
        let (outcome, after) = end.map_or(
            (AttemptOutcome::Success, answer_latency),
            |(_, outcome, after)| (*outcome, *after),
        );
        let at = self.now + after;
        let (outcome, at) = if at > times_out_at {
            (AttemptOutcome::TimedOut, times_out_at)
        } else {
            (outcome, at)
        };
        if outcome == AttemptOutcome::Success && self.random.u32(..8) == 0 {
            self.schedule(
                self.now + after / 2,
                Event::ResponseStarted {
                    part,
                    attempt,
                    replica,
                },
            );
        }
        let report = LoadReport::new();
        let key = self.schedule(
            at,
            Event::AttemptEnded(AttemptEnded {
                part,
                attempt,
                replica,
                outcome,
                report,
            }),
        );
        self.attempt_ends.insert((part, attempt), key);
    }

    /// Schedules the parts of the second step after the answer to the first one.
    fn on_answer(&mut self, query: RequestId) {
        let Some(open) = self.queries.get_mut(&query) else {
            return;
        };
        if self.settings.classes[open.class].second_step_parts == 0 || open.has_second_step_started
        {
            self.queries.remove(&query);
            return;
        }
        open.has_second_step_started = true;
        let mut events = Vec::new();
        let part_count = self.random.usize(1..5);
        self.add_parts(query, part_count, &mut events);
        for event in events {
            self.schedule(self.now + MS, event);
        }
    }

    /// Adds an action to the digest. Log lines count without their texts.
    fn record(&mut self, action: &Action) {
        let none = u64::MAX;
        let encoded_action: [u64; 5] = match action {
            Action::SendAttempt {
                part,
                replica,
                times_out_at,
                latest_start,
            } => [
                1,
                *part,
                replica.0,
                *times_out_at,
                latest_start.unwrap_or(none),
            ],
            Action::CancelAttempt { part, attempt } => [2, *part, u64::from(*attempt), 0, 0],
            Action::Answer { query, complete } => [3, *query, u64::from(*complete), 0, 0],
            Action::Reject { query, retry_after } => [4, *query, retry_after.unwrap_or(none), 0, 0],
            Action::Fail { query } => [5, *query, 0, 0, 0],
            Action::SetTimer { token, after } => [6, *token, *after, 0, 0],
            Action::WatchEndpoints { enabled } => [7, u64::from(*enabled), 0, 0, 0],
            Action::FetchEndpoints => [8, 0, 0, 0, 0],
            Action::CheckHealth { replica } => [9, replica.0, 0, 0, 0],
            Action::CloseIdleConnections { replica } => [10, replica.0, 0, 0, 0],
            Action::SendGossip { to, bytes } => {
                [11, to.map_or(none, u64::from), bytes.len() as u64, 0, 0]
            }
            Action::Log(_) => [12, 0, 0, 0, 0],
        };
        encoded_action
            .iter()
            .for_each(|number| self.digest.update(&number.to_le_bytes()));
    }
}
