//! Writes frames to leaf servers and handles the frames that they send.

use super::effect::Effect;
use super::ids::ConnectionId;
use super::leaf_connection::{CallEntry, OutgoingFrame, ResponseMatch};
use super::{load_reports, Engine};
use crate::api::{AttemptOutcome, LoadReport, Nanos};
use crate::protocol::leaf::{CallPart, LeafRequest, LeafResponse, PartStatus};
use bytes::Bytes;

/// Result of one part, as received from a leaf server.
struct PartResult {
    wire_id: String,
    status: PartStatus,
    report: String,
    value: Bytes,
}

impl Engine {
    /// Writes the next frame of each pending connection. Closes connections that are unresponsive
    /// with nothing in flight, and idle ones whose replica is not ready.
    pub(super) fn flush_pending_writes(&mut self, now: Nanos) {
        while let Some(connection) = self.connections.pop_pending() {
            self.drop_expired_attempts(now, connection);
            self.flush_connection(now, connection);
        }
    }

    fn flush_connection(&mut self, now: Nanos, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        if connection.should_close() {
            self.close_connection(now, id);
        } else if let Some(frame) = connection.next_frame(now) {
            self.write_frame(now, id, frame);
        } else if connection.is_idle() {
            self.on_connection_idle(now, id);
        }
    }

    fn write_frame(&mut self, now: Nanos, connection: ConnectionId, frame: OutgoingFrame) {
        match self.build_leaf_request(now, frame) {
            Some(frame) => self.effects.push(Effect::WriteFrame { connection, frame }),
            // All attempts of the call have ended: continue as if the frame had been written.
            None => self.connections.on_frame_written(connection),
        }
    }

    /// Builds the request of a frame. Returns `None` for a call whose attempts have all ended.
    fn build_leaf_request(&mut self, now: Nanos, frame: OutgoingFrame) -> Option<LeafRequest> {
        match frame {
            OutgoingFrame::Call(entries) => {
                let entries = entries.into_iter();
                let parts: Vec<CallPart> = entries
                    .filter_map(|entry| self.build_call_part(now, entry))
                    .collect();
                if parts.is_empty() {
                    return None;
                }
                self.counters.sent.calls += 1;
                Some(LeafRequest::Call(parts))
            }
            OutgoingFrame::Cancel(wire_id) => {
                self.counters.sent.cancellations += 1;
                Some(LeafRequest::Cancel(wire_id))
            }
            OutgoingFrame::HealthCheck(_) => {
                self.counters.sent.health_checks += 1;
                let is_load_reported = !self.settings.load_report_fields.is_empty();
                Some(if is_load_reported {
                    LeafRequest::LoadReport
                } else {
                    LeafRequest::HealthCheck
                })
            }
        }
    }

    /// Builds one entry of a call. Returns `None` if its attempt has ended.
    fn build_call_part(&self, now: Nanos, entry: CallEntry) -> Option<CallPart> {
        let attempt = self.attempts.get(entry.attempt)?;
        Some(attempt.call_part(now, entry.wire_id))
    }

    pub(super) fn on_frame_received(&mut self, now: Nanos, id: ConnectionId, frame: LeafResponse) {
        if !self.connections.on_activity(id, now) {
            return;
        }
        match frame {
            LeafResponse::PartResult {
                id: wire_id,
                status,
                report,
                value,
            } => {
                let result = PartResult {
                    wire_id,
                    status,
                    report,
                    value,
                };
                self.on_part_result(now, id, result);
            }
            LeafResponse::HealthCheckResult { ok, report } => {
                self.on_health_check_result(now, id, ok, &report);
            }
            LeafResponse::ProtocolError(message) => {
                if let Some(suppressed) = self.log_throttles.rejected_frame.admit(now) {
                    tracing::warn!(
                        connection = id,
                        message,
                        suppressed,
                        "leaf server rejected a frame"
                    );
                }
            }
            LeafResponse::Malformed(wire_id) => {
                self.on_malformed_response(now, id, wire_id.as_deref());
            }
        }
    }

    fn on_part_result(&mut self, now: Nanos, id: ConnectionId, result: PartResult) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        let attempt = match connection.match_response(&result.wire_id) {
            ResponseMatch::Attempt(attempt) => attempt,
            ResponseMatch::AlreadyEnded => return,
            ResponseMatch::Unknown => return self.on_malformed_response(now, id, None),
        };
        let outcome = match result.status {
            PartStatus::Ok => AttemptOutcome::Success,
            PartStatus::Error => AttemptOutcome::Error,
            PartStatus::Busy => AttemptOutcome::Rejected,
        };
        if outcome == AttemptOutcome::Success {
            // The codec has verified that the value is valid UTF-8, so the conversion is lossless.
            let text = || String::from_utf8_lossy(&result.value).into_owned();
            self.queries.add_result(attempt.part, text);
        }
        let report = load_reports::parse(&result.report, &self.settings.load_report_fields);
        self.on_attempt_ended(now, attempt, outcome, report);
    }

    /// Handles a frame that cannot be decoded, or a response with an unknown id. The leaf server is
    /// alive and has executed the part that it responded to, so that attempt has failed. The start
    /// of the next frame is unknown, so the other attempts on the connection cannot get a response:
    /// closing the connection cancels them at once.
    fn on_malformed_response(&mut self, now: Nanos, id: ConnectionId, wire_id: Option<&str>) {
        let replica = self.connections.replica_of(id);
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        self.counters.connections.malformed += 1;
        let failed = connection.attempt_of_malformed_response(wire_id);
        let written_attempts = connection.written_attempts();
        if let Some(suppressed) = self.log_throttles.malformed_response.admit(now) {
            tracing::info!(
                connection = id,
                replica = replica.map(|replica| replica.0),
                id = wire_id,
                suppressed,
                "malformed response: closing the connection"
            );
        }
        if let Some(failed) = failed {
            self.on_attempt_ended(now, failed, AttemptOutcome::Error, LoadReport::new());
        }
        let others = written_attempts
            .into_iter()
            .filter(|other| Some(*other) != failed);
        for other in others {
            self.on_attempt_ended(now, other, AttemptOutcome::Cancelled, LoadReport::new());
        }
        self.close_connection(now, id);
    }
}
