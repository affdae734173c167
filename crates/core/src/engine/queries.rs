//! Accepts queries or rejects them on arrival, and removes them when they end. The replies are
//! composed in [`super::replies`].

use super::ids::{AttemptId, ClientId};
use super::query_table::{EndedQuery, OpenPart, OpenQuery};
use super::timers::Timer;
use super::{Engine, MILLISECOND};
use crate::api::{AttemptOutcome, Event, Nanos, PartReceived, QueryReceived, RequestId};
use crate::protocol::http::RequestError;
use crate::protocol::query::{QueryPart, QueryReply, QueryRequest};

/// Margin subtracted from the client timeout, for the network in both directions and a delay in the
/// aggregator.
const CLIENT_TIMEOUT_MARGIN: Nanos = 8 * MILLISECOND;

const ID_OF_OPEN_QUERY: RequestError = RequestError {
    status: 409,
    why: "X-Request-ID is that of an open query",
};
const ID_OF_RECENT_QUERY: RequestError = RequestError {
    status: 409,
    why: "X-Request-ID is that of a recent query",
};

/// A query that has arrived and has not been passed to the policy yet.
#[derive(Debug)]
pub(super) struct ArrivedQuery {
    pub(super) client: ClientId,
    pub(super) arrived_at: Nanos,
    pub(super) request: QueryRequest,
}

impl Engine {
    /// Passes a query to the policy or rejects it on arrival. The checks are made in this order:
    ///
    /// 1. A query whose client has disconnected is dropped.
    /// 2. A query with the id of an open query, or of one that ended recently and may have been
    ///    executed, is an invalid request.
    /// 3. A query that exceeds the capacity for open queries and parts (`limits.open_cap`), or the
    ///    capacity for clients, is rejected.
    /// 4. A query whose client has no time left is rejected, and so is every query when the process
    ///    exits.
    ///
    /// Admission follows at the end of the batch: the policy may reject the query as well
    /// (`admission.rs` of the policy).
    pub(super) fn on_query(&mut self, now: Nanos, query: ArrivedQuery) {
        let (client, name) = (query.client, &query.request.name);
        if !self.clients.contains(client) {
            return;
        }
        // Its parts would have the same wire ids as those of the open query.
        if self.queries.has_name(name) {
            return self.on_invalid_request(now, client, ID_OF_OPEN_QUERY);
        }
        if self.recent_queries.contains(now, name) {
            return self.on_invalid_request(now, client, ID_OF_RECENT_QUERY);
        }
        let open_queries = self.queries.len();
        let open_parts = self.queries.count_open_parts();
        // Clients above the capacity can only be closed while they have no open query, and no
        // further client can connect until some are closed.
        let is_client_capacity_used = open_queries >= self.clients.capacity();
        if is_client_capacity_used || open_queries + open_parts >= self.settings.max_open {
            self.counters.received.over_capacity += 1;
            if let Some(suppressed) = self.log_throttles.over_capacity.admit(now) {
                tracing::info!(
                    client,
                    name,
                    open_queries,
                    open_parts,
                    suppressed,
                    "query rejected: over capacity"
                );
            }
            return self.reject_on_arrival(now, &query);
        }
        let client_timeout = self.remaining_client_timeout(now, &query);
        if client_timeout == 0 {
            self.counters.received.too_late += 1;
            if let Some(suppressed) = self.log_throttles.too_late.admit(now) {
                let timeout_ms = query.request.timeout / MILLISECOND;
                tracing::info!(
                    client,
                    name,
                    timeout_ms,
                    suppressed,
                    "query rejected: client has no time left"
                );
            }
            return self.reject_on_arrival(now, &query);
        }
        self.accept_query(now, query, client_timeout);
    }

    /// Returns the time within which a reply must be sent to reach the client before its timeout.
    /// During a shutdown, this time ends at the answer deadline; it is 0 once the exit was
    /// requested.
    fn remaining_client_timeout(&self, now: Nanos, query: &ArrivedQuery) -> Nanos {
        let spent = now.saturating_sub(query.arrived_at) + CLIENT_TIMEOUT_MARGIN;
        let remaining = query.request.timeout.saturating_sub(spent);
        match self.shutdown.answer_deadline() {
            // The process exits: no further query is passed to the policy.
            Some(_) if self.shutdown.is_exit_requested() => 0,
            Some(answer_deadline) => remaining.min(answer_deadline.saturating_sub(now)),
            None => remaining,
        }
    }

    fn reject_on_arrival(&mut self, now: Nanos, query: &ArrivedQuery) {
        self.record_rejection_on_arrival(query);
        let retry_after = self.settings.retry_after;
        self.send_reply(now, query.client, QueryReply::Rejected { retry_after });
    }

    fn accept_query(&mut self, now: Nanos, query: ArrivedQuery, client_timeout: Nanos) {
        let ArrivedQuery {
            client,
            arrived_at,
            request,
        } = query;
        let id = self.ids.allocate();
        let group = self.queries.next_group();
        self.clients.set_query(client, id);
        self.events.push(Event::QueryReceived(QueryReceived {
            id,
            group,
            class: request.class,
            tenant: request.tenant,
            client_timeout,
            expected_work: request.parts.iter().map(|part| part.work).sum(),
            is_retry: request.is_retry,
        }));
        let mut parts = Vec::with_capacity(request.parts.len());
        for part in &request.parts {
            parts.push(self.add_part(id, group, &request, part));
        }
        self.counters.received.queries += 1;
        self.counters.received.parts += parts.len() as u64;
        self.counters.received.retries += u64::from(request.is_retry);
        let deadline = now + client_timeout;
        self.timers.set(deadline, Timer::ReplyDeadline(id));
        tracing::debug!(
            id,
            name = request.name,
            class = request.class,
            client_timeout_ms = client_timeout / MILLISECOND,
            "query passed to the policy"
        );
        let query = OpenQuery {
            name: request.name.as_str().into(),
            client,
            class: request.class,
            tenant: request.tenant,
            deadline,
            parts,
            arrived_at: self.track_open_query(id, arrived_at),
            is_retry: request.is_retry,
            join_key: self.join_key(&request),
        };
        self.queries.insert(id, query);
    }

    fn add_part(
        &mut self,
        query: RequestId,
        group: u32,
        request: &QueryRequest,
        part: &QueryPart,
    ) -> RequestId {
        let id = self.ids.allocate();
        let open_part = OpenPart::new(query, request, part);
        self.queries.insert_part(id, open_part);
        self.events.push(Event::PartReceived(PartReceived {
            id,
            group,
            shard: part.shard,
            weight: part.weight,
        }));
        id
    }

    /// Moves the deadline of every open query to `latest` if it is later, together with its timer.
    pub(super) fn shorten_deadlines(&mut self, latest: Nanos) {
        for (id, former_deadline) in self.queries.shorten_deadlines(latest) {
            let timer = Timer::ReplyDeadline(id);
            self.timers.cancel(former_deadline, timer);
            self.timers.set(latest, timer);
        }
    }

    /// Removes a query and its parts. Attempts in flight end on their own. Attempts whose frames
    /// have not been passed to a socket are never sent, whether or not cancellation is allowed.
    pub(super) fn end_query(&mut self, now: Nanos, id: RequestId) -> Option<EndedQuery> {
        let ended = self.queries.remove(id)?;
        let mut may_have_been_executed = ended.may_have_been_executed();
        for part in &ended.query.parts {
            for attempt in self.unsent_attempts_of(*part) {
                self.cancel_attempt(now, attempt, AttemptOutcome::Cancelled);
            }
            may_have_been_executed |= self.attempts.of_part(*part).next().is_some();
        }
        if may_have_been_executed {
            let query = &ended.query;
            self.recent_queries.insert(now, &query.name, query.class);
        }
        let deadline = ended.query.deadline;
        self.timers.cancel(deadline, Timer::ReplyDeadline(id));
        self.untrack_query(id, ended.query.arrived_at);
        Some(ended)
    }

    fn unsent_attempts_of(&self, part: RequestId) -> Vec<AttemptId> {
        let of_part = self.attempts.of_part(part);
        let unsent =
            of_part.filter(|(id, attempt)| self.connections.is_unsent(attempt.connection, *id));
        unsent.map(|(id, _)| id).collect()
    }
}
