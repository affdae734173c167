//! Queries and their parts, from their arrival to their end.

use super::ids::ClientId;
use super::leaf_connection::{AttemptId, WireId};
use super::timers::Timer;
use super::usage::JoinKey;
use super::{Engine, MILLISECOND};
use crate::api::{AttemptOutcome, Event, Nanos, PartReceived, QueryReceived, RequestId};
use crate::protocol::http::RequestError;
use crate::protocol::query::{QueryPart, QueryReply, QueryRequest};
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Taken off the time that a client waits: the network both ways, and a delay on our side.
const CLIENT_TIMEOUT_MARGIN: Nanos = 8 * MILLISECOND;

/// A query that waits for its reply.
#[derive(Debug)]
pub(super) struct OpenQuery {
    /// The client's name for it.
    pub(super) name: Rc<str>,
    pub(super) client: ClientId,
    pub(super) class: u16,
    pub(super) tenant: u32,
    /// By when the reply has to be sent.
    pub(super) deadline: Nanos,
    /// Its parts, in the order of the request.
    parts: Vec<RequestId>,
    /// When it arrived, as the usage log counts it.
    pub(super) arrived: Nanos,
    pub(super) is_retry: bool,
    /// Joins the retries of one use; 0 while no usage is recorded.
    pub(super) join_key: JoinKey,
}

/// A part of a query that waits for its reply.
#[derive(Debug)]
pub(super) struct OpenPart {
    pub(super) query: RequestId,
    pub(super) shard: u32,
    pub(super) weight: f64,
    /// What stands for it in frames: the query's name and the shard.
    pub(super) wire_id: WireId,
    pub(super) text: Bytes,
    /// Attempts that the policy has requested.
    pub(super) attempts: u8,
    /// Of the attempts, those to replicas in other zones.
    pub(super) cross_zone_attempts: u8,
    /// The result of the first attempt that succeeded.
    pub(super) value: Option<String>,
}

impl OpenPart {
    /// The identifier of the next attempt at this part, which is counted.
    pub(super) fn begin_attempt(&mut self, id: RequestId, crosses_zones: bool) -> AttemptId {
        let number = self.attempts;
        self.attempts = self.attempts.saturating_add(1);
        let crossed = u8::from(crosses_zones);
        self.cross_zone_attempts = self.cross_zone_attempts.saturating_add(crossed);
        AttemptId { part: id, number }
    }
}

/// A query that has ended, with its parts.
#[derive(Debug)]
pub(super) struct EndedQuery {
    pub(super) query: OpenQuery,
    pub(super) parts: Vec<OpenPart>,
}

impl EndedQuery {
    /// The weight of all parts.
    pub(super) fn total_weight(&self) -> f64 {
        self.parts.iter().map(|part| part.weight).sum()
    }

    /// The weight of the parts that have a result.
    pub(super) fn covered_weight(&self) -> f64 {
        let covered = self.parts.iter().filter(|part| part.value.is_some());
        covered.map(|part| part.weight).sum()
    }
}

/// The queries that wait for their replies.
#[derive(Debug, Default)]
pub(super) struct OpenQueryTable {
    queries: BTreeMap<RequestId, OpenQuery>,
    parts: BTreeMap<RequestId, OpenPart>,
    /// The names of the queries.
    names: BTreeSet<Rc<str>>,
    /// The number that joined the latest query and its parts in the events.
    last_group: u32,
}

impl OpenQueryTable {
    pub(super) fn get(&self, query: RequestId) -> Option<&OpenQuery> {
        self.queries.get(&query)
    }

    pub(super) fn part_mut(&mut self, part: RequestId) -> Option<&mut OpenPart> {
        self.parts.get_mut(&part)
    }

    pub(super) fn len(&self) -> usize {
        self.queries.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queries.is_empty()
    }

    /// The number of queries, parts and names.
    pub(super) fn entries(&self) -> usize {
        self.queries.len() + self.parts.len() + self.names.len()
    }

    /// Moves the deadlines that are later than `latest` there; returns each query with its former
    /// deadline.
    fn shorten_deadlines(&mut self, latest: Nanos) -> Vec<(RequestId, Nanos)> {
        let queries = self.queries.iter_mut();
        let late = queries.filter(|(_, query)| query.deadline > latest);
        late.map(|(id, query)| (*id, std::mem::replace(&mut query.deadline, latest)))
            .collect()
    }

    fn has_name(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Parts without a result. One that has its result takes no capacity any more: counting it
    /// would reject queries that fit.
    fn count_open_parts(&self) -> usize {
        let open = self.parts.values().filter(|part| part.value.is_none());
        open.count()
    }

    fn next_group(&mut self) -> u32 {
        self.last_group = self.last_group.wrapping_add(1);
        self.last_group
    }

    fn insert(&mut self, id: RequestId, query: OpenQuery) {
        self.names.insert(query.name.clone());
        self.queries.insert(id, query);
    }

    fn insert_part(&mut self, id: RequestId, part: OpenPart) {
        self.parts.insert(id, part);
    }

    fn remove(&mut self, id: RequestId) -> Option<EndedQuery> {
        let query = self.queries.remove(&id)?;
        self.names.remove(&query.name);
        let parts = query.parts.iter();
        let parts = parts.filter_map(|part| self.parts.remove(part)).collect();
        Some(EndedQuery { query, parts })
    }
}

impl Engine {
    /// Admits a query, or rejects it before the policy sees it.
    pub(super) fn on_query(
        &mut self,
        now: Nanos,
        client: ClientId,
        arrived: Nanos,
        request: QueryRequest,
    ) {
        if !self.clients.contains(client) {
            return;
        }
        // Its parts would have the wire ids of the open query's parts.
        if self.queries.has_name(&request.name) {
            let error = RequestError {
                status: 409,
                why: "X-Request-ID is that of an open query",
            };
            return self.on_invalid_request(now, client, error);
        }
        let open_queries = self.queries.len();
        let open_parts = self.queries.count_open_parts();
        if open_queries + open_parts >= self.settings.max_open {
            self.counters.received.over_capacity += 1;
            tracing::info!(
                client,
                name = request.name,
                open_queries,
                open_parts,
                "query rejected: over capacity"
            );
            return self.reject_on_arrival(now, client, arrived, &request);
        }
        let client_timeout = self.remaining_client_timeout(now, arrived, request.timeout);
        if client_timeout == 0 {
            self.counters.received.too_late += 1;
            let timeout_ms = request.timeout / MILLISECOND;
            tracing::info!(
                client,
                name = request.name,
                timeout_ms,
                "query rejected: no time left"
            );
            return self.reject_on_arrival(now, client, arrived, &request);
        }
        self.admit_query(now, client, arrived, client_timeout, request);
    }

    /// How long the client still waits for a reply that is sent by us.
    fn remaining_client_timeout(&self, now: Nanos, arrived: Nanos, timeout: Nanos) -> Nanos {
        let spent = now.saturating_sub(arrived) + CLIENT_TIMEOUT_MARGIN;
        let remaining = timeout.saturating_sub(spent);
        match self.shutdown.answer_deadline() {
            // The process ends: nothing more is forwarded.
            Some(_) if self.shutdown.has_exited() => 0,
            Some(answer_deadline) => remaining.min(answer_deadline.saturating_sub(now)),
            None => remaining,
        }
    }

    /// Has every open query end by `latest`.
    pub(super) fn shorten_deadlines(&mut self, latest: Nanos) {
        for (id, former_deadline) in self.queries.shorten_deadlines(latest) {
            let timer = Timer::ReplyDeadline(id);
            self.timers.cancel(former_deadline, timer);
            self.timers.set(latest, timer);
        }
    }

    fn reject_on_arrival(
        &mut self,
        now: Nanos,
        client: ClientId,
        arrived: Nanos,
        request: &QueryRequest,
    ) {
        self.record_rejection_on_arrival(arrived, request);
        let retry_after = self.settings.retry_after;
        self.send_reply(now, client, QueryReply::Rejected { retry_after });
    }

    fn admit_query(
        &mut self,
        now: Nanos,
        client: ClientId,
        arrived: Nanos,
        client_timeout: Nanos,
        request: QueryRequest,
    ) {
        let id = self.ids.allocate();
        let group = self.queries.next_group();
        self.clients.set_query(client, id);
        self.events.push(Event::QueryReceived(QueryReceived {
            id,
            group,
            class: request.class,
            tenant: request.tenant,
            client_timeout,
            work: request.parts.iter().map(|part| part.work).sum(),
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
            "query admitted"
        );
        let query = OpenQuery {
            name: request.name.as_str().into(),
            client,
            class: request.class,
            tenant: request.tenant,
            deadline,
            parts,
            arrived: self.log_query_admitted(id, arrived),
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
        &QueryPart { shard, weight, .. }: &QueryPart,
    ) -> RequestId {
        let id = self.ids.allocate();
        let part = OpenPart {
            query,
            shard,
            weight,
            wire_id: format!("{}.{shard}", request.name).into(),
            text: request.text.clone(),
            attempts: 0,
            cross_zone_attempts: 0,
            value: None,
        };
        self.queries.insert_part(id, part);
        self.events.push(Event::PartReceived(PartReceived {
            id,
            group,
            shard,
            weight,
        }));
        id
    }

    /// Removes a query and its parts. Attempts that are in flight end on their own. Those that
    /// still wait for a connection never go out, whether or not cancellation is allowed.
    pub(super) fn end_query(&mut self, now: Nanos, id: RequestId) -> Option<EndedQuery> {
        let ended = self.queries.remove(id)?;
        for part in &ended.query.parts {
            for attempt in self.unsent_attempts_of(*part) {
                self.end_attempt(now, attempt, AttemptOutcome::Cancelled);
            }
        }
        let deadline = ended.query.deadline;
        self.timers.cancel(deadline, Timer::ReplyDeadline(id));
        self.log_query_ended(id, ended.query.arrived);
        Some(ended)
    }

    fn unsent_attempts_of(&self, part: RequestId) -> Vec<AttemptId> {
        let of_part = self.attempts.of_part(part);
        let unsent = of_part.filter(|(id, attempt)| {
            let connection = self.connections.get(attempt.connection);
            connection.is_some_and(|connection| connection.is_unsent(*id))
        });
        unsent.map(|(id, _)| id).collect()
    }
}
