//! Executes the engine's effects on the sockets.
//!
//! [`reply_delivery`] delivers the replies to clients, and [`shutdown`] ends the process.

mod reply_delivery;
mod shutdown;

use super::client_command::ClientCommand;
use super::endpoint_watch::EndpointWatchTask;
use super::gossip::GossipSocket;
use super::leaf_connection::{self, LeafConnectionHandle};
use super::pending_replies::{OutgoingReply, PendingReplies};
use super::shared::{ServingPhase, Shared};
use crate::api::Nanos;
use crate::config::Addresses;
use crate::engine::counters::EngineCounters;
use crate::engine::{ConnectionId, Effect, Input};
use crate::protocol::leaf::LeafRequest;
use reply_delivery::ReplyDelivery;
use shutdown::{log_process_end, wait_for_clients};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::task::AbortHandle;
use tokio::time::{Duration, Instant};

/// Executes effects on client connections, connections to leaf servers, the gossip socket and the
/// watch on the endpoint list.
pub(super) struct Driver {
    shared: Shared,
    connections: HashMap<ConnectionId, LeafConnectionHandle>,
    gossip: Option<GossipSocket>,
    discovery: SocketAddr,
    watch: Option<AbortHandle>,
    replies: ReplyDelivery,
    /// Time by which the process ends; `None` until the engine requests the exit.
    exit_deadline: Option<Instant>,
}

impl Driver {
    pub(super) fn new(
        shared: Shared,
        gossip: Option<GossipSocket>,
        discovery: SocketAddr,
        pending_replies: Option<PendingReplies>,
    ) -> Driver {
        Driver {
            replies: ReplyDelivery::new(shared.clients.clone(), pending_replies),
            shared,
            connections: HashMap::new(),
            gossip,
            discovery,
            watch: None,
            exit_deadline: None,
        }
    }

    /// Returns the time by which the process ends, or `None` until the engine requests the exit.
    pub(super) fn exit_deadline(&self) -> Option<Instant> {
        self.exit_deadline
    }

    /// Applies new addresses, to gossip at once and to discovery with the next watch. Returns the
    /// input that reports the reload to the engine.
    pub(super) fn reload(&mut self, addresses: Option<Addresses>) -> Input {
        if let Some(addresses) = &addresses {
            if let Some(gossip) = &mut self.gossip {
                gossip.update_addresses(&self.shared, addresses);
            }
            self.discovery = addresses.discovery;
        }
        Input::ConfigurationReloaded {
            is_valid: addresses.is_some(),
        }
    }

    /// Executes one effect.
    pub(super) fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::SendReply {
                client,
                reply,
                close,
            } => self.replies.send_or_hold(OutgoingReply {
                client,
                reply,
                close,
            }),
            Effect::CloseClient { client } => {
                self.replies.close_client(client, ClientCommand::Close);
            }
            Effect::DrainClient { client } => {
                self.replies.close_client(client, ClientCommand::Drain);
            }
            Effect::RecordUsage(usage) => self.replies.record_usage(usage),
            Effect::RecordWatermark(watermark) => self.replies.record_watermark(watermark),
            Effect::OpenConnection {
                connection,
                address,
            } => self.open_connection(connection, address),
            Effect::WriteFrame { connection, frame } => self.write_frame(connection, frame),
            Effect::CloseConnection { connection } => drop(self.connections.remove(&connection)),
            Effect::SendGossip { to, bytes } => self.send_gossip(to, &bytes),
            Effect::StartWatch {
                watch,
                from_version,
                answer_timeout,
            } => self.start_watch(watch, from_version, Duration::from_nanos(answer_timeout)),
            Effect::StartDraining => self.enter_phase(ServingPhase::Draining),
            Effect::StopListening => self.enter_phase(ServingPhase::ListeningStopped),
            Effect::ReleaseReplies => self.replies.release(),
            Effect::Exit { counters, deadline } => self.begin_exit(&counters, deadline),
        }
    }

    /// Returns the time at which the next reply stops waiting for its usage record.
    pub(super) fn next_reply_deadline(&self) -> Option<Instant> {
        self.replies.next_deadline()
    }

    /// Waits until further usage records are written. Never returns while no reply is held.
    pub(super) async fn wait_for_usage_log(&mut self) {
        self.replies.wait_for_usage_log().await;
    }

    /// Sends the replies whose records are written or whose deadlines have passed.
    pub(super) fn send_ready_replies(&mut self) {
        self.replies.send_ready();
    }

    /// Waits for the clients to disconnect, at most until the exit deadline, then closes the usage
    /// log. The usage log is last, since closing it blocks everything else while the disk stalls.
    pub(super) async fn shut_down(&mut self, exit_deadline: Instant) {
        self.replies.release();
        wait_for_clients(&self.shared, exit_deadline).await;
        self.replies.close_usage_log();
        log_process_end(&self.shared);
    }

    fn write_frame(&self, connection: ConnectionId, frame: LeafRequest) {
        if let Some(handle) = self.connections.get(&connection) {
            handle.write(frame);
        }
    }

    fn send_gossip(&self, to: Option<u32>, bytes: &[u8]) {
        if let Some(gossip) = &self.gossip {
            gossip.send(to, bytes);
        }
    }

    fn enter_phase(&self, phase: ServingPhase) {
        self.shared.phase.send_replace(phase);
    }

    fn open_connection(&mut self, connection: ConnectionId, address: SocketAddr) {
        self.connections.retain(|_, handle| !handle.is_closed());
        let handle = leaf_connection::open(self.shared.clone(), connection, address);
        self.connections.insert(connection, handle);
    }

    fn start_watch(&mut self, number: u64, version: u64, response_timeout: Duration) {
        let watch = EndpointWatchTask {
            number,
            address: self.discovery,
            version,
            response_timeout,
        };
        let task = tokio::task::spawn_local(watch.run(self.shared.clone()));
        if let Some(previous) = self.watch.replace(task.abort_handle()) {
            previous.abort();
        }
    }

    fn begin_exit(&mut self, counters: &EngineCounters, exit_deadline: Nanos) {
        let counters = serde_json::to_string(counters).unwrap_or_default();
        tracing::info!(counters, "exit requested");
        self.exit_deadline = Some(self.shared.clock.instant(exit_deadline));
    }
}
