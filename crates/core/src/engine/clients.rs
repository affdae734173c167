//! Handlers for client connections and their requests, and the sending of replies.

use super::effect::Effect;
use super::ids::ClientId;
use super::queries::ArrivedQuery;
use super::Engine;
use crate::api::{Event, Nanos};
use crate::protocol::http::RequestError;
use crate::protocol::query::{ClientRequest, QueryReply};

impl Engine {
    /// Adds a client. After the drain period of a shutdown, its connection is closed once no
    /// request can be in transit on it. Otherwise idle clients may be evicted to make room.
    pub(super) fn on_client_connected(&mut self, now: Nanos, client: ClientId) {
        self.counters.connections.clients += 1;
        self.clients.insert(client, now);
        if self.shutdown.is_drain_period_over() {
            // The client was accepted while the listener was closing. If it sent no request, it
            // would delay the exit.
            self.effects.push(Effect::DrainClient { client });
            return;
        }
        for client in self.clients.pick_evictions(now, client) {
            self.effects.push(Effect::CloseClient { client });
        }
    }

    pub(super) fn on_client_disconnected(&mut self, now: Nanos, client: ClientId) {
        if let Some(query) = self.clients.remove(client) {
            self.counters.queries_ended.client_disconnected += 1;
            self.events.push(Event::ClientDisconnected { id: query });
            self.abandon_query(now, query);
        }
    }

    pub(super) fn on_request(
        &mut self,
        now: Nanos,
        client: ClientId,
        arrived_at: Nanos,
        request: Result<ClientRequest, RequestError>,
    ) {
        match request {
            Ok(ClientRequest::Query(request)) => {
                let query = ArrivedQuery {
                    client,
                    arrived_at,
                    request,
                };
                self.on_query(now, query);
            }
            Ok(ClientRequest::Ready) => {
                let is_ready = self.endpoints.has_been_ready() && !self.shutdown.is_requested();
                self.send_reply(now, client, QueryReply::Ready(is_ready));
            }
            Ok(ClientRequest::Stats) => {
                let json = serde_json::to_vec_pretty(&self.counters).unwrap_or_default();
                self.send_reply(now, client, QueryReply::Stats(json));
            }
            Err(RequestError::OUT_OF_MEMORY) => self.on_unread_request(now, client),
            Err(error) => self.on_invalid_request(now, client, error),
        }
    }

    /// Rejects a request that was not read to its end because no memory was left for it.
    fn on_unread_request(&mut self, now: Nanos, client: ClientId) {
        self.counters.received.over_capacity += 1;
        tracing::debug!(client, "request rejected: no memory left");
        let retry_after = self.settings.retry_after;
        self.send_reply(now, client, QueryReply::Rejected { retry_after });
    }

    pub(super) fn on_invalid_request(&mut self, now: Nanos, client: ClientId, error: RequestError) {
        self.counters.received.invalid += 1;
        // Logged at debug level: some clients send nothing but invalid requests, as fast as they
        // can, and would fill the log.
        tracing::debug!(
            client,
            status = error.status,
            why = error.why,
            "invalid request"
        );
        self.send_reply(now, client, QueryReply::InvalidRequest(error));
    }

    pub(super) fn send_reply(&mut self, now: Nanos, client: ClientId, reply: QueryReply) {
        let Some(is_close_requested) = self.clients.on_reply(client, now) else {
            return;
        };
        self.effects.push(Effect::SendReply {
            client,
            reply,
            close: is_close_requested || self.shutdown.is_requested(),
        });
    }
}
