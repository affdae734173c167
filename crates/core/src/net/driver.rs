//! Executes the engine's effects on the sockets.

use super::client_command::ClientCommand;
use super::endpoint_watch::EndpointWatchTask;
use super::gossip::GossipSocket;
use super::leaf_connection::{self, LeafConnectionHandle};
use super::pending_replies::{OutgoingReply, PendingReplies};
use super::shared::{ServingPhase, Shared};
use super::Addresses;
use crate::api::Nanos;
use crate::engine::counters::Counters;
use crate::engine::usage::{UsageRecord, UsageWatermark};
use crate::engine::{ClientId, ConnectionId, Effect, Input};
use crate::protocol::leaf::LeafRequest;
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::task::AbortHandle;
use tokio::time::{timeout_at, Duration, Instant};

/// How long replies that are sent only at the exit deadline may take to be written.
const LAST_WRITES_TIMEOUT: Duration = Duration::from_millis(20);

/// Everything that effects act on.
pub(super) struct Driver {
    shared: Shared,
    connections: HashMap<ConnectionId, LeafConnectionHandle>,
    gossip: Option<GossipSocket>,
    discovery: SocketAddr,
    watch: Option<AbortHandle>,
    /// Present if usage is recorded.
    pending_replies: Option<PendingReplies>,
    /// By when the process ends, once the engine has asked for the exit.
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
            shared,
            connections: HashMap::new(),
            gossip,
            discovery,
            watch: None,
            pending_replies,
            exit_deadline: None,
        }
    }

    /// By when the process ends; none while the engine has not asked for the exit.
    pub(super) fn exit_deadline(&self) -> Option<Instant> {
        self.exit_deadline
    }

    /// Uses new addresses: for gossip at once, for the endpoint list with the next watch.
    pub(super) fn reload(&mut self, addresses: Option<Addresses>) -> Input {
        if let Some(addresses) = &addresses {
            if let Some(gossip) = &mut self.gossip {
                gossip.update_addresses(&self.shared, addresses);
            }
            self.discovery = addresses.discovery;
        }
        Input::ConfigurationReloaded {
            usable: addresses.is_some(),
        }
    }

    /// Executes one effect.
    pub(super) fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::SendReply {
                client,
                reply,
                close,
            } => self.send_or_hold(OutgoingReply {
                client,
                reply,
                close,
            }),
            Effect::CloseClient { client } => self.close_client(client, ClientCommand::Close),
            Effect::DrainClient { client } => self.close_client(client, ClientCommand::Drain),
            Effect::RecordUsage(usage) => self.record_usage(usage),
            Effect::RecordWatermark(watermark) => self.record_watermark(watermark),
            Effect::OpenConnection {
                connection,
                address,
            } => self.open_connection(connection, address),
            Effect::WriteFrame { connection, frame } => self.write_frame(connection, frame),
            Effect::CloseConnection { connection } => drop(self.connections.remove(&connection)),
            Effect::SendGossip { to, bytes } => self.send_gossip(to, &bytes),
            Effect::StartWatch {
                watch,
                from,
                answer_within,
            } => self.start_watch(watch, from, Duration::from_nanos(answer_within)),
            Effect::StartDraining => self.enter_phase(ServingPhase::Draining),
            Effect::StopListening => self.enter_phase(ServingPhase::Stopped),
            Effect::ReleaseReplies => self.release_replies(),
            Effect::Exit { counters, deadline } => self.exit(&counters, deadline),
        }
    }

    fn record_usage(&mut self, usage: UsageRecord) {
        if let Some(pending_replies) = &mut self.pending_replies {
            pending_replies.record(usage);
        }
    }

    fn record_watermark(&mut self, watermark: UsageWatermark) {
        if let Some(pending_replies) = &mut self.pending_replies {
            pending_replies.record_watermark(watermark);
        }
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

    fn start_watch(&mut self, number: u64, index: u64, response_timeout: Duration) {
        let watch = EndpointWatchTask {
            number,
            address: self.discovery,
            index,
            response_timeout,
        };
        let task = tokio::task::spawn_local(watch.run(self.shared.clone()));
        if let Some(previous) = self.watch.replace(task.abort_handle()) {
            previous.abort();
        }
    }

    fn exit(&mut self, counters: &Counters, deadline: Nanos) {
        let counters = serde_json::to_string(counters).unwrap_or_default();
        tracing::info!(counters, "served all that was taken");
        self.exit_deadline = Some(self.shared.clock.instant(deadline));
    }

    fn send_or_hold(&mut self, outgoing: OutgoingReply) {
        let ready = match &mut self.pending_replies {
            Some(pending_replies) => pending_replies.hold(outgoing),
            None => Some(outgoing),
        };
        if let Some(outgoing) = ready {
            self.send_reply(outgoing);
        }
    }

    fn send_reply(&self, outgoing: OutgoingReply) {
        let OutgoingReply {
            client,
            reply,
            close,
        } = outgoing;
        let reply = Box::new(reply);
        self.send_command(client, ClientCommand::Reply { reply, close });
    }

    fn close_client(&mut self, client: ClientId, command: ClientCommand) {
        if let Some(pending_replies) = &mut self.pending_replies {
            pending_replies.close_client(client);
        }
        self.send_command(client, command);
    }

    fn send_command(&self, client: ClientId, command: ClientCommand) {
        if let Some(commands) = self.shared.clients.borrow().get(&client) {
            // The queue is full only if the task is blocked on a client that does not read; that
            // client loses its response.
            if commands.try_send(command).is_err() {
                tracing::debug!(client, "a client's connection has ended or is blocked");
            }
        }
    }

    /// When the next reply stops waiting for its usage record.
    pub(super) fn next_reply_deadline(&self) -> Option<Instant> {
        self.pending_replies
            .as_ref()
            .and_then(PendingReplies::next_deadline)
    }

    /// Returns once usage records were written that replies wait for.
    pub(super) async fn wait_for_usage_log(&mut self) {
        match &mut self.pending_replies {
            Some(pending_replies) => pending_replies.wait_for_written().await,
            None => std::future::pending().await,
        }
    }

    /// Sends every reply from now on without waiting for its record.
    fn release_replies(&mut self) {
        if let Some(pending_replies) = &mut self.pending_replies {
            pending_replies.stop_holding();
        }
        self.send_ready_replies();
    }

    /// Sends the replies whose records are written, or that have waited long enough.
    pub(super) fn send_ready_replies(&mut self) {
        while let Some(outgoing) = self
            .pending_replies
            .as_mut()
            .and_then(PendingReplies::pop_ready)
        {
            self.send_reply(outgoing);
        }
    }

    /// Waits until `deadline` for the clients to close, then closes the usage log. It comes last,
    /// since nothing else goes on while a stalled disk is waited for.
    pub(super) async fn shut_down(&mut self, deadline: Instant) {
        self.release_replies();
        let all_ended = async {
            while self.has_open_clients() {
                self.shared.client_ended.notified().await;
            }
        };
        let last_writes = Instant::now() + LAST_WRITES_TIMEOUT;
        let _ = timeout_at(deadline.max(last_writes), all_ended).await;
        if let Some(pending_replies) = &mut self.pending_replies {
            pending_replies.close();
        }
        self.log_end();
    }

    /// Whether a client's connection, or a request of any frontend, has not ended.
    fn has_open_clients(&self) -> bool {
        !self.shared.clients.borrow().is_empty() || self.shared.open_requests.count() > 0
    }

    /// Logs what the process leaves behind. Nothing may be left that was read and not answered.
    fn log_end(&self) {
        let connections = self.shared.clients.borrow().len();
        let unanswered = self.shared.open_requests.count();
        if unanswered > 0 {
            tracing::error!(
                connections,
                unanswered,
                "process ends with requests unanswered"
            );
        } else {
            tracing::info!(connections, unanswered, "process ends");
        }
    }
}
