//! The open queries, which wait for their replies, and their parts.

use super::ids::{AttemptId, ClientId, WireId};
use super::usage::JoinKey;
use crate::api::{Nanos, RequestId};
use crate::protocol::query::{QueryPart, QueryRequest};
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A query that waits for its reply.
#[derive(Debug)]
pub(super) struct OpenQuery {
    /// Id that the client gave the query.
    pub(super) name: Rc<str>,
    pub(super) client: ClientId,
    pub(super) class: u16,
    pub(super) tenant: u32,
    /// Time by which the reply must be sent.
    pub(super) deadline: Nanos,
    /// Parts, in the order of the request.
    pub(super) parts: Vec<RequestId>,
    /// Time of arrival as recorded in the usage log.
    pub(super) arrived_at: Nanos,
    pub(super) is_retry: bool,
    /// Identifies the logical request; 0 while usage is not recorded.
    pub(super) join_key: JoinKey,
}

/// A part of an open query.
#[derive(Debug)]
pub(super) struct OpenPart {
    query: RequestId,
    pub(super) shard: u32,
    weight: f64,
    wire_id: WireId,
    /// Text of the query.
    text: Bytes,
    /// Number of attempts that the policy has requested.
    pub(super) attempts: u8,
    /// Number of these attempts that were requested at replicas in other zones.
    pub(super) cross_zone_attempts: u8,
    /// Result of the first successful attempt.
    pub(super) value: Option<String>,
    /// Whether the part may have been executed by an attempt that has ended.
    may_have_been_executed: bool,
}

impl OpenPart {
    /// Creates a part without attempts. Its wire id is composed of the query id and the shard.
    pub(super) fn new(query: RequestId, request: &QueryRequest, part: &QueryPart) -> OpenPart {
        OpenPart {
            query,
            shard: part.shard,
            weight: part.weight,
            wire_id: format!("{}.{}", request.name, part.shard).into(),
            text: request.text.clone(),
            attempts: 0,
            cross_zone_attempts: 0,
            value: None,
            may_have_been_executed: false,
        }
    }

    /// Counts an attempt and returns its number.
    fn count_attempt(&mut self, crosses_zones: bool) -> u8 {
        let number = self.attempts;
        self.attempts = self.attempts.saturating_add(1);
        let crossed = u8::from(crosses_zones);
        self.cross_zone_attempts = self.cross_zone_attempts.saturating_add(crossed);
        number
    }
}

/// An attempt that has been counted and has no connection yet.
#[derive(Debug)]
pub(super) struct NewAttempt {
    pub(super) id: AttemptId,
    pub(super) shard: u32,
    /// Identifier of the part in frames.
    pub(super) wire_id: WireId,
    /// Text of the query.
    pub(super) text: Bytes,
    pub(super) times_out_at: Nanos,
}

/// A query that has ended, with its parts.
#[derive(Debug)]
pub(super) struct EndedQuery {
    pub(super) query: OpenQuery,
    pub(super) parts: Vec<OpenPart>,
}

impl EndedQuery {
    /// Returns the total weight of all parts.
    pub(super) fn total_weight(&self) -> f64 {
        self.parts.iter().map(|part| part.weight).sum()
    }

    /// Returns whether a part may have been executed by an attempt that has ended.
    pub(super) fn may_have_been_executed(&self) -> bool {
        self.parts.iter().any(|part| part.may_have_been_executed)
    }

    /// Returns the total weight of the parts with a result.
    pub(super) fn covered_weight(&self) -> f64 {
        let covered = self.parts.iter().filter(|part| part.value.is_some());
        covered.map(|part| part.weight).sum()
    }
}

/// The open queries, which wait for their replies, and their parts.
#[derive(Debug, Default)]
pub(super) struct OpenQueryTable {
    queries: BTreeMap<RequestId, OpenQuery>,
    parts: BTreeMap<RequestId, OpenPart>,
    /// Ids that the clients gave the open queries.
    names: BTreeSet<Rc<str>>,
    /// Group number of the latest query. It links a query to its parts in the events.
    last_group: u32,
}

impl OpenQueryTable {
    pub(super) fn get(&self, query: RequestId) -> Option<&OpenQuery> {
        self.queries.get(&query)
    }

    pub(super) fn len(&self) -> usize {
        self.queries.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queries.is_empty()
    }

    /// Returns the total number of queries, parts and query ids.
    pub(super) fn entries(&self) -> usize {
        self.queries.len() + self.parts.len() + self.names.len()
    }

    pub(super) fn has_name(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Returns the number of parts without a result. Parts with a result use no more capacity, and
    /// counting them would reject queries that fit.
    pub(super) fn count_open_parts(&self) -> usize {
        let open = self.parts.values().filter(|part| part.value.is_none());
        open.count()
    }

    /// Returns the group number of a new query, which links the query to its parts in the events.
    pub(super) fn next_group(&mut self) -> u32 {
        self.last_group = self.last_group.wrapping_add(1);
        self.last_group
    }

    pub(super) fn insert(&mut self, id: RequestId, query: OpenQuery) {
        self.names.insert(query.name.clone());
        self.queries.insert(id, query);
    }

    pub(super) fn insert_part(&mut self, id: RequestId, part: OpenPart) {
        self.parts.insert(id, part);
    }

    /// Counts an attempt at a part, or returns `None` if the part has ended. The attempt times out
    /// at the requested time, but not after the deadline of its query.
    pub(super) fn begin_attempt(
        &mut self,
        id: RequestId,
        crosses_zones: bool,
        requested_timeout: Option<Nanos>,
    ) -> Option<NewAttempt> {
        let part = self.parts.get_mut(&id)?;
        let deadline = self.queries.get(&part.query)?.deadline;
        Some(NewAttempt {
            id: AttemptId {
                part: id,
                number: part.count_attempt(crosses_zones),
            },
            shard: part.shard,
            wire_id: part.wire_id.clone(),
            text: part.text.clone(),
            times_out_at: requested_timeout.map_or(deadline, |at| at.min(deadline)),
        })
    }

    /// Stores the result of a part, unless the part already has one or has ended.
    pub(super) fn add_result(&mut self, part: RequestId, value: impl FnOnce() -> String) {
        if let Some(part) = self.parts.get_mut(&part) {
            part.value.get_or_insert_with(value);
        }
    }

    /// Records that a part may have been executed, if it has not ended.
    pub(super) fn mark_executed(&mut self, part: RequestId) {
        if let Some(part) = self.parts.get_mut(&part) {
            part.may_have_been_executed = true;
        }
    }

    /// Moves all deadlines after `latest` to `latest`. Returns the affected queries with their
    /// former deadlines.
    pub(super) fn shorten_deadlines(&mut self, latest: Nanos) -> Vec<(RequestId, Nanos)> {
        let queries = self.queries.iter_mut();
        let late = queries.filter(|(_, query)| query.deadline > latest);
        late.map(|(id, query)| (*id, std::mem::replace(&mut query.deadline, latest)))
            .collect()
    }

    pub(super) fn remove(&mut self, id: RequestId) -> Option<EndedQuery> {
        let query = self.queries.remove(&id)?;
        self.names.remove(&query.name);
        let parts = query.parts.iter();
        let parts = parts.filter_map(|part| self.parts.remove(part)).collect();
        Some(EndedQuery { query, parts })
    }
}
