//! Random steps: a connection to a leaf server must match a simple model, and the engine must keep
//! its invariants.

mod support;

use aggregator_core::engine::leaf_connection::{
    CallEntry, CallPlacement, ConnectionEnd, LeafConnection, LostAttempt, OutgoingFrame,
    ResponseMatch,
};
use aggregator_core::engine::{AttemptId, ConnectionId, WireId};
use aggregator_core::protocol::leaf::{LeafRequest, PartStatus};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, VecDeque};
use support::engine_harness::{EngineHarness, MS};

fn fixed_seed_config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Default::default()
    }
}

/// Maximum number of attempts in flight on a connection.
const MAX_STREAMS: usize = 4;

/// An operation on a connection or an event that it handles. The numbers select an attempt.
#[derive(Clone, Debug)]
enum Step {
    QueueAttempt,
    Open,
    TakeFrame,
    FrameWritten,
    Respond(usize),
    CancelAttempt(usize),
    QueueHealthCheck,
    HealthCheckResponse,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::QueueAttempt),
        1 => Just(Step::Open),
        4 => Just(Step::TakeFrame),
        4 => Just(Step::FrameWritten),
        2 => (0usize..8).prop_map(Step::Respond),
        2 => (0usize..8).prop_map(Step::CancelAttempt),
        1 => Just(Step::QueueHealthCheck),
        1 => Just(Step::HealthCheckResponse),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum AttemptState {
    Queued,
    Writing,
    Written,
}

/// A simple model of a connection: the state of each attempt, and the frames still to be sent, in
/// order.
#[derive(Default)]
struct Model {
    is_open: bool,
    attempts: BTreeMap<AttemptId, AttemptState>,
    frames: VecDeque<OutgoingFrame>,
    writing: Option<OutgoingFrame>,
    health_checks: VecDeque<u64>,
}

impl Model {
    fn nth_attempt(&self, nth: usize) -> Option<AttemptId> {
        (!self.attempts.is_empty())
            .then(|| *self.attempts.keys().nth(nth % self.attempts.len()).unwrap())
    }

    fn attempts_in(&self, state: AttemptState) -> Vec<AttemptId> {
        let attempts = self.attempts.iter().filter(|(_, other)| **other == state);
        attempts.map(|(attempt, _)| *attempt).collect()
    }

    fn is_idle(&self) -> bool {
        let is_all_ended = self.attempts.is_empty() && self.health_checks.is_empty();
        is_all_ended && self.frames.is_empty() && self.writing.is_none()
    }
}

fn wire_id(attempt: AttemptId) -> WireId {
    format!("q.{}", attempt.part).into()
}

fn call_entry(attempt: AttemptId) -> CallEntry {
    CallEntry {
        attempt,
        wire_id: wire_id(attempt),
    }
}

/// Returns the entry of the attempt at a part, with a wire id that other parts may share.
fn call_entry_with_id(part: u64, wire_id: &str) -> CallEntry {
    CallEntry {
        attempt: AttemptId { part, number: 0 },
        wire_id: wire_id.into(),
    }
}

fn call(attempt: AttemptId) -> OutgoingFrame {
    OutgoingFrame::Call(vec![call_entry(attempt)])
}

/// A connection and its model, which take the same steps.
struct ModeledConnection {
    connection: LeafConnection,
    model: Model,
}

impl ModeledConnection {
    /// Takes one step with the connection and the model and compares the results.
    fn take_step(&mut self, step_number: u64, step: Step) -> Result<(), TestCaseError> {
        let ModeledConnection { connection, model } = self;
        let now = step_number * MS;
        match step {
            Step::QueueAttempt => {
                let attempt = AttemptId {
                    part: step_number,
                    number: 0,
                };
                connection.queue_attempt(call_entry(attempt), CallPlacement::NewCall);
                model.attempts.insert(attempt, AttemptState::Queued);
                model.frames.push_back(call(attempt));
            }
            Step::Open => {
                connection.on_opened(now);
                model.is_open = true;
            }
            Step::TakeFrame => self.take_frame(now)?,
            Step::FrameWritten => self.frame_written(),
            Step::Respond(nth) => self.respond(nth)?,
            Step::CancelAttempt(nth) => self.cancel_attempt(nth, now)?,
            Step::QueueHealthCheck => {
                connection.queue_health_check(step_number);
                model
                    .frames
                    .push_back(OutgoingFrame::HealthCheck(step_number));
            }
            Step::HealthCheckResponse => prop_assert_eq!(
                connection.match_health_check_response(),
                model.health_checks.pop_front()
            ),
        }
        Ok(())
    }

    fn take_frame(&mut self, now: u64) -> Result<(), TestCaseError> {
        let ModeledConnection { connection, model } = self;
        let may_write = model.is_open && model.writing.is_none();
        let expected = if may_write {
            model.frames.pop_front()
        } else {
            None
        };
        prop_assert_eq!(connection.next_frame(now), expected.clone());
        if let Some(OutgoingFrame::Call(call)) = &expected {
            model
                .attempts
                .insert(call[0].attempt, AttemptState::Writing);
        }
        model.writing = expected.or(model.writing.take());
        Ok(())
    }

    fn frame_written(&mut self) {
        let ModeledConnection { connection, model } = self;
        connection.on_frame_written();
        match model.writing.take() {
            Some(OutgoingFrame::Call(call)) => {
                let state = model.attempts.entry(call[0].attempt);
                state.and_modify(|state| *state = AttemptState::Written);
            }
            Some(OutgoingFrame::HealthCheck(check)) => model.health_checks.push_back(check),
            _ => {}
        }
    }

    fn respond(&mut self, nth: usize) -> Result<(), TestCaseError> {
        let ModeledConnection { connection, model } = self;
        let Some(attempt) = model.nth_attempt(nth) else {
            return Ok(());
        };
        let is_written = model.attempts[&attempt] == AttemptState::Written;
        let expected = if is_written {
            ResponseMatch::Attempt(attempt)
        } else {
            ResponseMatch::Unknown
        };
        let id = wire_id(attempt);
        prop_assert_eq!(connection.match_response(&id), expected);
        let unknown = connection.match_response("never.asked");
        prop_assert_eq!(unknown, ResponseMatch::Unknown);
        if is_written {
            let again = connection.match_response(&id);
            prop_assert_eq!(
                again,
                ResponseMatch::AlreadyEnded,
                "expected a duplicate response to be recognized"
            );
            model.attempts.remove(&attempt);
        }
        Ok(())
    }

    fn cancel_attempt(&mut self, nth: usize, now: u64) -> Result<(), TestCaseError> {
        let ModeledConnection { connection, model } = self;
        let Some(attempt) = model.nth_attempt(nth) else {
            return Ok(());
        };
        let was_sent = model.attempts.remove(&attempt) != Some(AttemptState::Queued);
        prop_assert_eq!(connection.cancel_attempt(attempt, now, MS), was_sent);
        prop_assert!(
            !connection.cancel_attempt(attempt, now, MS),
            "expected no effect on an attempt that has ended"
        );
        let expected = if was_sent {
            ResponseMatch::AlreadyEnded
        } else {
            ResponseMatch::Unknown
        };
        prop_assert_eq!(
            connection.match_response(&wire_id(attempt)),
            expected,
            "expected only sent attempts to be remembered, since a response may cross the cancellation"
        );
        if was_sent {
            let cancel = OutgoingFrame::Cancel(wire_id(attempt));
            model.frames.push_back(cancel);
        } else {
            model.frames.retain(|frame| *frame != call(attempt));
        }
        Ok(())
    }

    /// Compares the states of the connection and the model.
    fn check_state(&mut self) -> Result<(), TestCaseError> {
        let ModeledConnection { connection, model } = self;
        let queued = model.attempts_in(AttemptState::Queued);
        let written = model.attempts_in(AttemptState::Written);
        let attributed = connection.attempt_of_malformed_response(None);
        prop_assert_eq!(attributed.is_some(), !written.is_empty());
        for attempt in &written {
            let attributed = connection.attempt_of_malformed_response(Some(&wire_id(*attempt)));
            prop_assert_eq!(attributed, Some(*attempt));
        }
        prop_assert_eq!(connection.written_attempts().len(), written.len());
        prop_assert_eq!(connection.unsent_attempts(), queued);
        prop_assert_eq!(connection.is_idle(), model.is_idle());
        Ok(())
    }

    /// Ends the connection and compares the lost attempts.
    fn end(self, closed_by_engine: bool) -> Result<(), TestCaseError> {
        let end = if closed_by_engine {
            ConnectionEnd::ClosedByEngine
        } else {
            ConnectionEnd::ReportedBySocket
        };
        let mut lost = self.connection.end(end).attempts;
        lost.sort();
        // If the engine closes the connection, the socket may not have reported yet that it has
        // accepted a frame.
        let may_have_run = |state| {
            state == AttemptState::Written || closed_by_engine && state == AttemptState::Writing
        };
        let attempts = self.model.attempts.into_iter();
        let expected = attempts.map(|(attempt, state)| LostAttempt {
            attempt,
            may_have_run: may_have_run(state),
        });
        prop_assert_eq!(lost, expected.collect::<Vec<_>>());
        Ok(())
    }
}

proptest! {
    #![proptest_config(fixed_seed_config(512))]

    #[test]
    fn a_connection_matches_its_model(
        steps in prop::collection::vec(step(), 1..60),
        closed_by_engine in any::<bool>(),
    ) {
        let mut modeled = ModeledConnection {
            connection: LeafConnection::new(0),
            model: Model::default(),
        };
        for (step_number, step) in steps.into_iter().enumerate() {
            modeled.take_step(step_number as u64, step)?;
            modeled.check_state()?;
        }
        modeled.end(closed_by_engine)?;
    }

    #[test]
    fn every_query_and_every_attempt_ends_once(
        steps in prop::collection::vec((0u8..12, any::<u64>(), 1u64..400), 1..80),
    ) {
        let mut harness = EngineHarness::new(4);
        for (kind, selector, ms) in steps {
            take_engine_step(&mut harness, kind, selector, ms);
        }
        harness.advance(20_000);
        for (client, replies) in &harness.replies {
            let has_disconnected = harness.disconnected.contains(client);
            let is_replied_once = replies.len() == 1 || has_disconnected && replies.is_empty();
            prop_assert!(is_replied_once, "expected one reply to client {client}, got {replies:?}");
        }
        let counters = harness.engine.counters().clone();
        let ended = &counters.attempts_ended;
        let settled = ended.success + ended.error + ended.rejected;
        let not_executed = ended.unreachable + ended.not_sent;
        let uncertain = ended.timed_out + ended.connection_lost + ended.cancelled;
        let all_ended = settled + not_executed + uncertain;
        prop_assert_eq!(all_ended, counters.sent.attempts, "expected each attempt to end once");
        prop_assert_eq!(&counters.faults, &Default::default());
        let is_empty_call =
            |frame: &LeafRequest| matches!(frame, LeafRequest::Call(parts) if parts.is_empty());
        prop_assert!(harness.frames.iter().all(|sent| !is_empty_call(&sent.frame)));
    }
}

/// Takes a random step with an engine. `kind` selects the step, `selector` its subject, and `ms`
/// the time that it takes in milliseconds.
fn take_engine_step(harness: &mut EngineHarness, kind: u8, selector: u64, ms: u64) {
    let part_statuses = [
        PartStatus::Ok,
        PartStatus::Ok,
        PartStatus::Error,
        PartStatus::Busy,
    ];
    let endpoint_statuses = ["up", "draining", "removed"];
    let connections: Vec<ConnectionId> = harness.connections.keys().copied().collect();
    let picked = selector as usize % connections.len().max(1);
    match (kind, connections.get(picked).copied()) {
        (0..=2, _) => {
            harness.send_query((selector % 3) as u16 % 2, &[0.5, 0.3, 0.2]);
        }
        (3..=4, Some(connection)) => harness.open_connection(connection),
        (5..=6, Some(connection)) => {
            harness.respond_to_oldest(connection, part_statuses[selector as usize % 4]);
        }
        (7, Some(connection)) => harness.lose_connection(connection),
        (8, _) => {
            let status = endpoint_statuses[selector as usize / 4 % 3];
            harness.list_replica(1 + selector % 4, status, harness.now);
        }
        (9, _) => harness.disconnect_some_client(selector),
        (10, Some(connection)) => harness.send_malformed(connection, selector.is_multiple_of(2)),
        _ => harness.advance(ms),
    }
}

/// Attempts that share a few wire ids, and a leaf server that answers each of them at any time,
/// once or twice in a row, whether or not it was cancelled.
mod shared_wire_ids {
    use super::{call_entry_with_id, fixed_seed_config, MAX_STREAMS, MS};
    use aggregator_core::engine::leaf_connection::{
        CallEntry, CallPlacement, LeafConnection, OutgoingFrame, ResponseMatch,
    };
    use aggregator_core::engine::AttemptId;
    use proptest::prelude::*;

    /// Number of different wire ids.
    const WIRE_IDS: u64 = 3;

    #[derive(Clone, Debug)]
    enum Step {
        Queue(u64),
        Cancel(usize),
        Respond { nth: usize, is_sent_twice: bool },
        Wait(u64),
    }

    fn step() -> impl Strategy<Value = Step> {
        let respond = (0_usize..8, any::<bool>())
            .prop_map(|(nth, is_sent_twice)| Step::Respond { nth, is_sent_twice });
        prop_oneof![
            4 => (0..WIRE_IDS).prop_map(Step::Queue),
            2 => (0_usize..8).prop_map(Step::Cancel),
            3 => respond,
            1 => (1_u64..1500).prop_map(Step::Wait),
        ]
    }

    /// A connection, and what its leaf server has received and not answered.
    struct AnsweredConnection {
        connection: LeafConnection,
        now: u64,
        in_flight: Vec<AttemptId>,
        received: Vec<CallEntry>,
    }

    impl AnsweredConnection {
        fn take_step(&mut self, step_number: u64, step: Step) -> Result<(), TestCaseError> {
            match step {
                Step::Queue(wire_id) => self.queue(step_number, wire_id),
                Step::Cancel(nth) => self.cancel(nth),
                Step::Respond { nth, is_sent_twice } => self.respond(nth, is_sent_twice)?,
                Step::Wait(ms) => self.now += ms * MS,
            }
            self.write_frames();
            Ok(())
        }

        fn queue(&mut self, step_number: u64, wire_id: u64) {
            let entry = call_entry_with_id(step_number, &format!("q.{wire_id}"));
            let connection = &mut self.connection;
            if connection.has_capacity(MAX_STREAMS, Some(&entry.wire_id), self.now) {
                self.in_flight.push(entry.attempt);
                connection.queue_attempt(entry, CallPlacement::NewCall);
            }
        }

        fn cancel(&mut self, nth: usize) {
            if nth < self.in_flight.len() {
                let attempt = self.in_flight.remove(nth);
                self.connection.cancel_attempt(attempt, self.now, u64::MAX);
            }
        }

        fn respond(&mut self, nth: usize, is_sent_twice: bool) -> Result<(), TestCaseError> {
            if nth >= self.received.len() {
                return Ok(());
            }
            let CallEntry { attempt, wire_id } = self.received.remove(nth);
            let expected = match self.in_flight.iter().position(|other| *other == attempt) {
                Some(position) => {
                    self.in_flight.remove(position);
                    ResponseMatch::Attempt(attempt)
                }
                None => ResponseMatch::AlreadyEnded,
            };
            self.connection.on_activity(self.now);
            prop_assert_eq!(self.connection.match_response(&wire_id), expected);
            if is_sent_twice {
                let copy = self.connection.match_response(&wire_id);
                prop_assert_eq!(copy, ResponseMatch::AlreadyEnded);
            }
            Ok(())
        }

        fn write_frames(&mut self) {
            while let Some(frame) = self.connection.next_frame(self.now) {
                self.connection.on_frame_written();
                if let OutgoingFrame::Call(call) = frame {
                    self.received.extend(call);
                }
            }
        }
    }

    proptest! {
        #![proptest_config(fixed_seed_config(1024))]

        /// Guards against a response that ends another attempt with the same wire id.
        #[test]
        fn a_response_ends_only_the_attempt_that_it_was_made_for(
            steps in prop::collection::vec(step(), 1..60),
        ) {
            let mut connection = LeafConnection::new(0);
            connection.on_opened(0);
            let mut answered = AnsweredConnection {
                connection,
                now: 0,
                in_flight: Vec::new(),
                received: Vec::new(),
            };
            for (step_number, step) in steps.into_iter().enumerate() {
                answered.take_step(step_number as u64, step)?;
            }
        }
    }
}
