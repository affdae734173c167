//! Updates of the endpoint list, and the watch that they come from.

use super::effect::Effect;
use super::endpoint_table::AppliedUpdate;
use super::Engine;
use crate::api::{AttemptOutcome, EndpointUpdateKind, Event, Nanos};
use crate::protocol::discovery::EndpointUpdate;

/// The latest watch on the endpoint list, which may have ended.
#[derive(Debug)]
pub(super) struct CurrentWatch {
    /// Counts the watches from 1; 0 before the first.
    number: u64,
    /// How long a watch may take to answer.
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
            stopped,
        } = self.endpoints.apply(update);
        tracing::info!(
            version = update.index,
            complete = update.snapshot,
            lines = entries.len(),
            stopped_connections = stopped.len(),
            "endpoint list updated"
        );
        self.events.push(Event::EndpointsUpdated { kind, entries });
        // What waits for a replica that drains, is gone or has moved must never be sent: an attempt
        // counts as sent with its first byte.
        for connection in stopped {
            for attempt in self.connections.unsent_attempts(connection) {
                self.cancel_attempt(now, attempt, AttemptOutcome::NotSent);
            }
            self.connections.mark_pending(connection);
        }
    }

    pub(super) fn on_watch_ended(&mut self, watch: u64) {
        // The end of a watch that was replaced may be reported late; the current one goes on.
        if watch == self.watch.number {
            self.events.push(Event::EndpointsUpdated {
                kind: EndpointUpdateKind::Unavailable,
                entries: Vec::new(),
            });
        }
    }

    /// Starts a new watch, since the address of discovery may have changed. It is started even if
    /// the address is the same: an operator may reload in order to restart the watch. The endpoint
    /// list, connections and queries stay.
    pub(super) fn on_configuration_reloaded(&mut self, usable: bool) {
        if !usable {
            self.counters.reloads.failed += 1;
            return;
        }
        self.counters.reloads.applied += 1;
        self.start_watch();
    }

    /// Watches the list from the current version on, in place of any other watch.
    pub(super) fn start_watch(&mut self) {
        self.watch.number += 1;
        self.effects.push(Effect::StartWatch {
            watch: self.watch.number,
            from_version: self.endpoints.version(),
            answer_timeout: self.watch.answer_timeout,
        });
    }
}
