//! Delivers replies and close commands to the tasks of client connections. A reply is delivered
//! once its usage record is written.

use crate::engine::usage::{QueryUsage, UsageWatermark};
use crate::engine::ClientId;
use crate::net::client_command::ClientCommand;
use crate::net::client_registry::ClientRegistry;
use crate::net::pending_replies::{OutgoingReply, PendingReplies};
use tokio::time::Instant;

/// Sends commands to the tasks of client connections, and holds the replies that wait for the usage
/// log.
pub(super) struct ReplyDelivery {
    clients: ClientRegistry,
    /// `None` if usage is not recorded.
    pending_replies: Option<PendingReplies>,
}

impl ReplyDelivery {
    pub(super) fn new(
        clients: ClientRegistry,
        pending_replies: Option<PendingReplies>,
    ) -> ReplyDelivery {
        ReplyDelivery {
            clients,
            pending_replies,
        }
    }

    pub(super) fn record_usage(&mut self, usage: QueryUsage) {
        if let Some(pending_replies) = &mut self.pending_replies {
            pending_replies.record(usage);
        }
    }

    pub(super) fn record_watermark(&mut self, watermark: UsageWatermark) {
        if let Some(pending_replies) = &mut self.pending_replies {
            pending_replies.record_watermark(watermark);
        }
    }

    /// Sends a reply, or holds it until its usage record is written.
    pub(super) fn send_or_hold(&mut self, outgoing: OutgoingReply) {
        let ready = match &mut self.pending_replies {
            Some(pending_replies) => pending_replies.hold(outgoing),
            None => Some(outgoing),
        };
        if let Some(outgoing) = ready {
            self.send_reply(outgoing);
        }
    }

    /// Sends `command`, which closes a client's connection. If a reply to the client is still held,
    /// the connection closes after that reply as well.
    pub(super) fn close_client(&mut self, client: ClientId, command: ClientCommand) {
        if let Some(pending_replies) = &mut self.pending_replies {
            pending_replies.close_client(client);
        }
        self.clients.send(client, command);
    }

    /// Returns the time at which the next reply stops waiting for its usage record.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.pending_replies
            .as_ref()
            .and_then(PendingReplies::next_deadline)
    }

    /// Waits until further usage records are written. Never returns while no reply is held.
    pub(super) async fn wait_for_usage_log(&mut self) {
        match &mut self.pending_replies {
            Some(pending_replies) => pending_replies.wait_for_written().await,
            None => std::future::pending().await,
        }
    }

    /// Sends the replies whose records are written or whose deadlines have passed.
    pub(super) fn send_ready(&mut self) {
        while let Some(outgoing) = self
            .pending_replies
            .as_mut()
            .and_then(PendingReplies::pop_ready)
        {
            self.send_reply(outgoing);
        }
    }

    /// Sends all held replies, and from now on each new one, without waiting for their records.
    /// Called at the answer deadline of a shutdown (`engine/shutdown.rs`) or later.
    pub(super) fn release(&mut self) {
        if let Some(pending_replies) = &mut self.pending_replies {
            pending_replies.stop_holding();
        }
        self.send_ready();
    }

    /// Closes the usage log. May block while the disk stalls.
    pub(super) fn close_usage_log(&mut self) {
        if let Some(pending_replies) = &mut self.pending_replies {
            pending_replies.close();
        }
    }

    fn send_reply(&self, outgoing: OutgoingReply) {
        let OutgoingReply {
            client,
            reply,
            close,
        } = outgoing;
        let reply = Box::new(reply);
        let command = ClientCommand::Reply { reply, close };
        self.clients.send(client, command);
    }
}
