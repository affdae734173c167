//! The collection of open queries. A query is open until it ends.

use super::{PartState, QueryState};
use crate::api::RequestId;
use std::collections::BTreeMap;

/// The open queries, by identifier, by group and by part.
#[derive(Debug, Default)]
pub struct OpenQueries {
    queries: BTreeMap<RequestId, QueryState>,
    /// Identifier of the open query of each group.
    query_of_group: BTreeMap<u32, RequestId>,
    /// Identifier of the open query of each part.
    query_of_part: BTreeMap<RequestId, RequestId>,
}

impl OpenQueries {
    /// Adds a query that has been received. Later parts of its group belong to this query.
    pub fn insert(&mut self, query: QueryState) {
        self.query_of_group.insert(query.group, query.id);
        self.queries.insert(query.id, query);
    }

    /// Adds a part to the query of its group. Returns the query's identifier, or `None` if no query
    /// is open in the group.
    pub fn insert_part(&mut self, group: u32, mut part: PartState) -> Option<RequestId> {
        let query_id = *self.query_of_group.get(&group)?;
        let query = self.queries.get_mut(&query_id)?;
        part.step = query.step;
        self.query_of_part.insert(part.id, query_id);
        query.parts.push(part);
        Some(query_id)
    }

    /// Returns the part with this identifier if its query is open.
    pub fn part_mut(&mut self, id: RequestId) -> Option<&mut PartState> {
        let query = self.queries.get_mut(self.query_of_part.get(&id)?)?;
        query.parts.iter_mut().find(|part| part.id == id)
    }

    /// Takes a query out in order to change it. The index entries of its group and parts remain.
    /// Either [`OpenQueries::put_back`] or [`OpenQueries::forget`] must be called afterwards.
    pub fn take(&mut self, id: RequestId) -> Option<QueryState> {
        self.queries.remove(&id)
    }

    /// Puts back a query that was taken out with [`OpenQueries::take`].
    pub fn put_back(&mut self, query: QueryState) {
        self.queries.insert(query.id, query);
    }

    /// Removes the index entries of a query that was taken out and has ended.
    pub fn forget(&mut self, query: &QueryState) {
        self.query_of_group.remove(&query.group);
        for part in &query.parts {
            self.query_of_part.remove(&part.id);
        }
    }

    /// Returns the identifiers of all open queries, in ascending order.
    pub fn ids(&self) -> Vec<RequestId> {
        self.queries.keys().copied().collect()
    }

    /// Returns whether no query is open.
    pub fn is_empty(&self) -> bool {
        self.queries.is_empty()
    }

    /// Returns the number of queries of a class, except for a query that is taken out.
    pub fn count_of_class(&self, class: usize) -> usize {
        let of_class = |query: &&QueryState| query.class == class;
        self.queries.values().filter(of_class).count()
    }

    /// Returns the number of parts of open queries, in all steps.
    pub fn part_count(&self) -> usize {
        self.query_of_part.len()
    }

    /// Returns the number of queries and index entries.
    pub fn record_count(&self) -> usize {
        self.queries.len() + self.query_of_group.len() + self.query_of_part.len()
    }
}
