//! Executes the effects of the engine in place of the driver, and checks the engine's invariants,
//! for example that nothing is sent to a replica that is not ready.

use super::{EngineHarness, SentFrame, SentReply, Socket, STREAMS_PER_CONNECTION};
use aggregator_core::engine::{ClientId, ConnectionId, Effect, Input};
use aggregator_core::protocol::leaf::{CallPart, LeafRequest};
use aggregator_core::protocol::query::QueryReply;

impl EngineHarness {
    /// Executes one effect.
    pub(super) fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::RecordUsage(record) => self.records.push(record),
            Effect::RecordWatermark(watermark) => self.watermarks.push(watermark),
            Effect::SendReply {
                client,
                reply,
                close,
            } => self.execute_reply(client, reply, close),
            Effect::CloseClient { client } | Effect::DrainClient { client } => {
                self.closed_clients.push(client);
                self.disconnect_closed(client);
            }
            Effect::OpenConnection {
                connection,
                address,
            } => self.execute_open(connection, address.to_string()),
            Effect::WriteFrame { connection, frame } => self.execute_write(connection, frame),
            Effect::CloseConnection { connection } => {
                self.connections.remove(&connection);
                self.in_flight.remove(&connection);
            }
            Effect::StartWatch { watch, .. } => {
                self.watch_starts.push(self.now);
                self.last_watch = watch;
            }
            Effect::SendGossip { .. } | Effect::StartDraining | Effect::ReleaseReplies => {}
            Effect::StopListening => self.is_listening = false,
            Effect::Exit { .. } => {
                self.has_exited = true;
                self.apply(Input::InputsEnded);
            }
        }
    }

    fn execute_reply(&mut self, client: ClientId, reply: QueryReply, close: bool) {
        let at = self.now;
        let replies = self.replies.entry(client).or_default();
        replies.push(SentReply { at, reply });
        if close {
            self.disconnect_closed(client);
        }
    }

    /// Ends a client connection that the engine has closed, unless closes are pending.
    fn disconnect_closed(&mut self, client: ClientId) {
        if !self.closes_are_pending {
            self.apply(Input::ClientDisconnected { client });
        }
    }

    fn execute_open(&mut self, connection: ConnectionId, address: String) {
        assert_eq!(
            self.status_by_address[&address], "up",
            "expected no connection to a replica that is not ready"
        );
        let socket = Socket {
            address,
            is_open: false,
        };
        self.connections.insert(connection, socket);
    }

    fn execute_write(&mut self, connection: ConnectionId, frame: LeafRequest) {
        let socket = &self.connections[&connection];
        assert!(
            socket.is_open,
            "expected no frame on a connection that is not established"
        );
        assert!(
            self.writing.insert(connection),
            "expected no frame while the socket is writing another"
        );
        match &frame {
            LeafRequest::Call(parts) => self.check_call(connection, parts),
            LeafRequest::Cancel(id) => {
                let in_flight = self.in_flight.entry(connection).or_default();
                in_flight.retain(|other| **other != **id);
            }
            LeafRequest::HealthCheck | LeafRequest::LoadReport => {
                self.in_flight.entry(connection).or_default();
            }
        }
        self.frames.push(SentFrame { connection, frame });
        if !self.writes_are_stuck {
            self.writing.remove(&connection);
            self.apply(Input::FrameWritten { connection });
        }
    }

    fn check_call(&mut self, connection: ConnectionId, parts: &[CallPart]) {
        let address = &self.connections[&connection].address;
        assert_eq!(
            self.status_by_address[address], "up",
            "expected no call to a replica that drains or is gone"
        );
        let in_flight = self.in_flight.entry(connection).or_default();
        for part in parts {
            let id = part.id.to_string();
            assert!(
                !in_flight.contains(&id),
                "expected no second attempt with the wire id {id} in flight"
            );
            in_flight.push(id);
        }
        assert!(
            in_flight.len() <= STREAMS_PER_CONNECTION,
            "expected at most {STREAMS_PER_CONNECTION} parts in flight on a connection"
        );
    }
}
