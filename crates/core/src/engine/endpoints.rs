//! Handlers for updates of the endpoint list, and the watch that delivers them.

use super::effect::Effect;
use super::endpoint_table::AppliedUpdate;
use super::Engine;
use crate::api::{AttemptOutcome, EndpointUpdateKind, Event, Nanos};
use crate::protocol::discovery::EndpointUpdate;

/// The latest watch on the endpoint list, which may have ended already.
#[derive(Debug)]
pub(super) struct CurrentWatch {
    /// Number of the watch, counted from 1; 0 before the first watch.
    number: u64,
    /// Time within which a watch must be answered, in nanoseconds.
    answer_timeout: Nanos,
}

impl CurrentWatch {
    pub(super) fn new(answer_timeout: Nanos) -> CurrentWatch {
        CurrentWatch {
            number: 0,
            answer_timeout,
        }
    }
}

impl Engine {
    pub(super) fn on_endpoints_updated(&mut self, now: Nanos, update: &EndpointUpdate) {
        self.counters.endpoint_updates += 1;
        let AppliedUpdate {
            kind,
            entries,
            stopped_connections,
        } = self.endpoints.apply(update);
        tracing::info!(
            version = update.index,
            complete = update.snapshot,
            lines = entries.len(),
            stopped_connections = stopped_connections.len(),
            "endpoint list updated"
        );
        self.events.push(Event::EndpointsUpdated { kind, entries });
        // Attempts that wait for a replica that drains, is gone or has moved must never be sent. An
        // attempt counts as sent from its first byte on.
        for connection in stopped_connections {
            for attempt in self.connections.unsent_attempts(connection) {
                self.cancel_attempt(now, attempt, AttemptOutcome::NotSent);
            }
            self.connections.mark_pending(connection);
        }
    }

    pub(super) fn on_watch_ended(&mut self, watch: u64) {
        // A watch that was replaced may report its end late, while the current watch continues.
        if watch == self.watch.number {
            self.events.push(Event::EndpointsUpdated {
                kind: EndpointUpdateKind::Unavailable,
                entries: Vec::new(),
            });
        }
    }

    /// Starts a new watch after a reload, since the address of discovery may have changed. The
    /// watch is started even if the address is the same, because an operator may reload in order to
    /// restart it. The endpoint list, connections and queries are kept.
    pub(super) fn on_configuration_reloaded(&mut self, is_valid: bool) {
        if !is_valid {
            self.counters.reloads.failed += 1;
            return;
        }
        self.counters.reloads.applied += 1;
        self.start_watch();
    }

    /// Starts a watch from the current version of the list, replacing any earlier watch.
    pub(super) fn start_watch(&mut self) {
        self.watch.number += 1;
        self.effects.push(Effect::StartWatch {
            watch: self.watch.number,
            from_version: self.endpoints.version(),
            answer_timeout: self.watch.answer_timeout,
        });
    }
}
