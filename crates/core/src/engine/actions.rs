//! Ends a batch: the policy handles the events, and the actions that it returns are executed.

use super::attempts::AttemptRequest;
use super::effect::Effect;
use super::ids::AttemptId;
use super::timers::Timer;
use super::Engine;
use crate::api::{Action, AttemptOutcome, Nanos};

/// Maximum size of a gossip message, in bytes.
const MAX_GOSSIP_BYTES: usize = 256;

impl Engine {
    /// Runs the timers that are due, then lets the policy handle the events of the batch and
    /// executes its actions.
    pub(super) fn end_batch(&mut self, now: Nanos) {
        self.run_due_timers(now);
        if self.events.is_empty() {
            return;
        }
        let events = std::mem::take(&mut self.events);
        let mut actions = Vec::new();
        self.policy.handle(now, &events, &mut actions);
        for action in actions {
            self.execute(now, action);
        }
        self.connections.end_batch();
    }

    fn execute(&mut self, now: Nanos, action: Action) {
        match action {
            Action::SendAttempt {
                part,
                replica,
                times_out_at,
                latest_start,
            } => {
                let request = AttemptRequest {
                    part,
                    replica,
                    // The policy uses 0 for the deadline of the query.
                    times_out_at: Some(times_out_at).filter(|time| *time > 0),
                    latest_start,
                };
                self.start_attempt(now, request);
            }
            Action::CancelAttempt { part, attempt } => {
                let attempt = AttemptId {
                    part,
                    number: attempt,
                };
                self.cancel_attempt(now, attempt, AttemptOutcome::Cancelled);
            }
            Action::Answer { query, complete } => self.answer_query(now, query, complete),
            Action::Reject { query, retry_after } => self.reject_query(now, query, retry_after),
            Action::Fail { query } => self.fail_query(now, query),
            Action::SetTimer { token, after } => {
                self.timers.set(now + after, Timer::Policy(token));
            }
            Action::WatchEndpoints { enabled: true } => self.start_watch(),
            // A watch runs until it ends by itself, and delivers everything that a single fetch
            // would.
            Action::WatchEndpoints { enabled: false } | Action::FetchEndpoints => {}
            Action::CheckHealth { replica } => self.start_health_check(now, replica),
            Action::CloseIdleConnections { replica } => self.close_idle_connections(now, replica),
            Action::SendGossip { to, bytes } => self.send_gossip(to, bytes),
            Action::Log(text) => tracing::info!("{text}"),
        }
    }

    fn send_gossip(&mut self, to: Option<u32>, bytes: Vec<u8>) {
        if self.settings.gossip_allowed && bytes.len() <= MAX_GOSSIP_BYTES {
            self.counters.sent.gossip_messages += 1;
            self.effects.push(Effect::SendGossip { to, bytes });
        } else {
            self.counters.faults.unknown_target += 1;
        }
    }
}
