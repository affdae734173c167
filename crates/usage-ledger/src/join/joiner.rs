//! The joiner: takes records in the order of their arrival and returns logical requests.

use super::bounds::JoinBounds;
use super::logical_request::{JoinCertainty, LogicalRequest};
use super::record::{RecordId, UsageRecord};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Joins records that are pushed in the order of [`UsageRecord::id`]. It keeps only the logical
/// requests that may still be joined.
#[derive(Debug)]
pub struct Joiner {
    bounds: JoinBounds,
    open: HashMap<GroupKey, Vec<LogicalRequest>>,
    deadlines: BTreeMap<Deadline, GroupKey>,
    /// Records that may join an earlier one and wait, because a record that arrived before them may
    /// still follow.
    waiting: VecDeque<UsageRecord>,
    /// Retries that are ambiguous because of records that are not pushed here.
    ambiguous_before: BTreeSet<RecordId>,
}

impl Joiner {
    /// A joiner with these bounds.
    pub fn new(bounds: JoinBounds) -> Joiner {
        Joiner {
            bounds,
            open: HashMap::new(),
            deadlines: BTreeMap::new(),
            waiting: VecDeque::new(),
            ambiguous_before: BTreeSet::new(),
        }
    }

    /// As [`Joiner::new`]; the retries in `ambiguous` count as ambiguous in any case.
    pub fn with_ambiguous(bounds: JoinBounds, ambiguous: BTreeSet<RecordId>) -> Joiner {
        Joiner {
            ambiguous_before: ambiguous,
            ..Joiner::new(bounds)
        }
    }

    /// Takes the next record. Calls `done` with each logical request that can't change any more.
    pub fn push(&mut self, record: UsageRecord, done: &mut impl FnMut(LogicalRequest)) {
        self.advance(record.arrived_at_ms, done);
        if record.is_retry || record.has_idempotency_key {
            self.waiting.push_back(record);
        } else {
            self.open_request(record, JoinCertainty::Certain);
        }
    }

    /// Calls `done` with all remaining logical requests, after the last record.
    pub fn finish(&mut self, done: &mut impl FnMut(LogicalRequest)) {
        self.advance(i64::MAX, done);
    }

    /// Milliseconds after a first request within which a retry may join it.
    fn window_ms(&self, record: &UsageRecord) -> i64 {
        if record.has_idempotency_key {
            self.bounds.horizon_ms
        } else {
            record.client_timeout_ms.min(self.bounds.horizon_ms)
        }
    }

    fn open_request(&mut self, first: UsageRecord, certainty: JoinCertainty) {
        let group = GroupKey::of(&first);
        let deadline = Deadline {
            expires_at_ms: first
                .arrived_at_ms
                .saturating_add(self.window_ms(&first))
                .saturating_add(2 * self.bounds.skew_ms),
            first: first.id(),
        };
        self.deadlines.insert(deadline, group);
        let requests = self.open.entry(group).or_default();
        requests.push(LogicalRequest::new(first, certainty));
    }

    /// Joins the waiting records that no other record can precede any more, given that all records
    /// that arrived before `now_ms` are known.
    fn advance(&mut self, now_ms: i64, done: &mut impl FnMut(LogicalRequest)) {
        while let Some(retry) = self.waiting.front().copied() {
            if retry.arrived_at_ms.saturating_add(self.bounds.skew_ms) >= now_ms {
                break;
            }
            self.waiting.pop_front();
            self.close_before(retry.arrived_at_ms, done);
            self.join_retry(retry);
        }
        let oldest_waiting_ms = self
            .waiting
            .front()
            .map_or(now_ms, |retry| retry.arrived_at_ms);
        self.close_before(oldest_waiting_ms, done);
    }

    /// Calls `done` with the logical requests that no record at or after `now_ms` can join.
    fn close_before(&mut self, now_ms: i64, done: &mut impl FnMut(LogicalRequest)) {
        while let Some(entry) = self.deadlines.first_entry() {
            if entry.key().expires_at_ms >= now_ms {
                break;
            }
            let (deadline, group) = entry.remove_entry();
            let Some(requests) = self.open.get_mut(&group) else {
                continue;
            };
            let is_due = |request: &LogicalRequest| request.first().id() == deadline.first;
            if let Some(index) = requests.iter().position(is_due) {
                done(requests.remove(index));
            }
            if requests.is_empty() {
                self.open.remove(&group);
            }
        }
    }

    fn join_retry(&mut self, retry: UsageRecord) {
        if retry.has_idempotency_key {
            self.join_by_idempotency_key(retry);
        } else {
            self.join_by_query(retry);
        }
    }

    /// The key identifies the logical request: all its records belong to it, in any order of their
    /// outcomes.
    fn join_by_idempotency_key(&mut self, retry: UsageRecord) {
        let reach = self.reach(&retry);
        let requests = self.open.entry(GroupKey::of(&retry)).or_default();
        match requests.iter_mut().find(|request| reach.contains(request)) {
            Some(request) => request.join(retry, JoinCertainty::Certain),
            None => self.open_request(retry, JoinCertainty::Certain),
        }
    }

    fn join_by_query(&mut self, retry: UsageRecord) {
        let reach = self.reach(&retry);
        let known_ambiguous = self.ambiguous_before.contains(&retry.id());
        let requests = self.open.entry(GroupKey::of(&retry)).or_default();
        let candidates: Vec<usize> = (0..requests.len())
            .filter(|index| reach.contains(&requests[*index]))
            .filter(|index| requests[*index].last().may_be_retried())
            .collect();
        let rank = |index: &usize| CandidateRank::of(&requests[*index], &retry);
        match candidates.iter().copied().min_by_key(rank) {
            Some(best) => {
                let is_ambiguous = known_ambiguous || candidates.len() > 1;
                requests[best].join(retry, JoinCertainty::from_ambiguity(is_ambiguous));
            }
            None => {
                let was_answered = requests.iter().any(|request| reach.contains(request));
                let is_ambiguous = known_ambiguous || was_answered;
                self.open_request(retry, JoinCertainty::from_ambiguity(is_ambiguous));
            }
        }
    }

    /// The logical requests that a retry may join, by time.
    fn reach(&self, retry: &UsageRecord) -> RetryReach {
        let skew_ms = self.bounds.skew_ms;
        let longest_wait_ms = self.window_ms(retry) + skew_ms;
        RetryReach {
            earliest_first_ms: retry.arrived_at_ms.saturating_sub(longest_wait_ms),
            latest_last_ms: retry.arrived_at_ms.saturating_add(skew_ms),
        }
    }
}

/// The properties that all records of a logical request share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GroupKey {
    tenant_id: u32,
    class_id: u32,
    key: u64,
    has_idempotency_key: bool,
}

impl GroupKey {
    fn of(record: &UsageRecord) -> GroupKey {
        GroupKey {
            tenant_id: record.tenant_id,
            class_id: record.class_id,
            key: record.key,
            has_idempotency_key: record.has_idempotency_key,
        }
    }
}

/// The time after which a logical request can't be joined any more. Deadlines sort by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    /// Unix milliseconds.
    expires_at_ms: i64,
    /// The first record of the request.
    first: RecordId,
}

/// The arrival times of the logical requests that a retry may join.
#[derive(Clone, Copy, Debug)]
struct RetryReach {
    /// The earliest arrival of the first record, in Unix milliseconds.
    earliest_first_ms: i64,
    /// The latest arrival of the last record, in Unix milliseconds.
    latest_last_ms: i64,
}

impl RetryReach {
    fn contains(&self, request: &LogicalRequest) -> bool {
        request.first().arrived_at_ms >= self.earliest_first_ms
            && request.last().arrived_at_ms <= self.latest_last_ms
    }
}

/// The order in which logical requests are considered for a retry; the lowest rank is joined.
///
/// Requests that were not answered rank before uncertain ones. Of those, requests that arrived
/// before the retry rank before those that only seem to have arrived after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CandidateRank {
    is_answered: bool,
    is_after_retry: bool,
    last: RecordId,
}

impl CandidateRank {
    fn of(request: &LogicalRequest, retry: &UsageRecord) -> CandidateRank {
        let last = request.last();
        CandidateRank {
            is_answered: last.outcome.is_answered(),
            is_after_retry: last.arrived_at_ms > retry.arrived_at_ms,
            last: last.id(),
        }
    }
}
