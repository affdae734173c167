//! The queries that have not ended.

use super::{PartState, QueryState};
use crate::api::RequestId;
use std::collections::BTreeMap;

/// The open queries, found by their own identifier, their group or one of their parts.
#[derive(Debug, Default)]
pub struct OpenQueries {
    queries: BTreeMap<RequestId, QueryState>,
    groups: BTreeMap<u32, RequestId>,
    owners: BTreeMap<RequestId, RequestId>,
}

impl OpenQueries {
    /// Adds a query that has been received.
    pub fn insert(&mut self, query: QueryState) {
        self.groups.insert(query.group, query.id);
        self.queries.insert(query.id, query);
    }

    /// Adds a part to the query of its group and returns that query's identifier.
    pub fn insert_part(&mut self, group: u32, mut part: PartState) -> Option<RequestId> {
        let owner = *self.groups.get(&group)?;
        let query = self.queries.get_mut(&owner)?;
        part.step = query.step;
        self.owners.insert(part.id, owner);
        query.parts.push(part);
        Some(owner)
    }

    /// The part with this identifier.
    pub fn part_mut(&mut self, id: RequestId) -> Option<&mut PartState> {
        let query = self.queries.get_mut(self.owners.get(&id)?)?;
        query.parts.iter_mut().find(|part| part.id == id)
    }

    /// Removes a query to change it; see [`OpenQueries::put_back`]. Its group and parts stay known.
    pub fn take(&mut self, id: RequestId) -> Option<QueryState> {
        self.queries.remove(&id)
    }

    /// Puts a query back that was taken.
    pub fn put_back(&mut self, query: QueryState) {
        self.queries.insert(query.id, query);
    }

    /// Forgets the group and the parts of a query that was taken.
    pub fn forget(&mut self, query: &QueryState) {
        self.groups.remove(&query.group);
        for part in &query.parts {
            self.owners.remove(&part.id);
        }
    }

    /// The identifiers of all queries, in order.
    pub fn ids(&self) -> Vec<RequestId> {
        self.queries.keys().copied().collect()
    }

    /// Whether no query is open.
    pub fn is_empty(&self) -> bool {
        self.queries.is_empty()
    }

    /// The number of queries of a class, without those taken.
    pub fn count_of_class(&self, class: usize) -> usize {
        let of_class = |query: &&QueryState| query.class == class;
        self.queries.values().filter(of_class).count()
    }

    /// The number of parts of open queries.
    pub fn part_count(&self) -> usize {
        self.owners.len()
    }

    /// The number of records held.
    pub fn record_count(&self) -> usize {
        self.queries.len() + self.groups.len() + self.owners.len()
    }
}
