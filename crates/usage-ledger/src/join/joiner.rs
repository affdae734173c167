//! The joiner: receives records in the order of their arrival and emits logical requests.

use super::bounds::JoinBounds;
use super::logical_request::{JoinCertainty, LogicalRequest};
use super::record::{RecordId, UsageRecord};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Joins records that are pushed in the order of [`UsageRecord::id`].
///
/// Only the logical requests that a later record may still join are kept in memory.
#[derive(Debug)]
pub struct Joiner {
    bounds: JoinBounds,
    /// Logical requests that a later record may still join.
    open_requests: HashMap<GroupKey, Vec<LogicalRequest>>,
    /// Groups of the open requests, by the deadline of each request.
    deadlines: BTreeMap<Deadline, GroupKey>,
    /// Records that may join an earlier record, in the order of their arrival. Each waits until all
    /// records that arrived up to the clock skew after it have been pushed, since it may be a retry
    /// of one of them.
    waiting_records: VecDeque<UsageRecord>,
    /// Retries that are ambiguous because of records that this joiner does not receive.
    known_ambiguous: BTreeSet<RecordId>,
}

impl Joiner {
    /// Creates a joiner without records.
    pub fn new(bounds: JoinBounds) -> Joiner {
        Joiner {
            bounds,
            open_requests: HashMap::new(),
            deadlines: BTreeMap::new(),
            waiting_records: VecDeque::new(),
            known_ambiguous: BTreeSet::new(),
        }
    }

    /// Creates a joiner without records that treats the retries in `ambiguous` as ambiguous in any
    /// case.
    pub fn with_ambiguous(bounds: JoinBounds, ambiguous: BTreeSet<RecordId>) -> Joiner {
        Joiner {
            known_ambiguous: ambiguous,
            ..Joiner::new(bounds)
        }
    }

    /// Adds the next record. Calls `emit` with each logical request that can't change any more.
    pub fn push(&mut self, record: UsageRecord, emit: &mut impl FnMut(LogicalRequest)) {
        self.advance(record.arrived_at_ms, emit);
        if record.is_retry || record.has_idempotency_key {
            self.waiting_records.push_back(record);
        } else {
            self.open_request(record, JoinCertainty::Certain);
        }
    }

    /// Calls `emit` with all remaining logical requests. Must be called after the last record was
    /// pushed.
    pub fn finish(&mut self, emit: &mut impl FnMut(LogicalRequest)) {
        self.advance(i64::MAX, emit);
    }

    /// Returns the time after the arrival of a first request within which a retry may join it, in
    /// milliseconds.
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
        let requests = self.open_requests.entry(group).or_default();
        requests.push(LogicalRequest::new(first, certainty));
    }

    /// Joins the waiting records that arrived more than the clock skew before `now_ms`, then closes
    /// the logical requests that no further record can join. All records that arrived before
    /// `now_ms` must have been pushed.
    fn advance(&mut self, now_ms: i64, emit: &mut impl FnMut(LogicalRequest)) {
        while let Some(retry) = self.waiting_records.front().copied() {
            if retry.arrived_at_ms.saturating_add(self.bounds.skew_ms) >= now_ms {
                break;
            }
            self.waiting_records.pop_front();
            self.close_before(retry.arrived_at_ms, emit);
            self.join_retry(retry);
        }
        let oldest_waiting_ms = self
            .waiting_records
            .front()
            .map_or(now_ms, |retry| retry.arrived_at_ms);
        self.close_before(oldest_waiting_ms, emit);
    }

    /// Calls `emit` with the logical requests that can't be joined by records that arrive at or
    /// after `now_ms`.
    fn close_before(&mut self, now_ms: i64, emit: &mut impl FnMut(LogicalRequest)) {
        while let Some(entry) = self.deadlines.first_entry() {
            if entry.key().expires_at_ms >= now_ms {
                break;
            }
            let (deadline, group) = entry.remove_entry();
            let Some(requests) = self.open_requests.get_mut(&group) else {
                continue;
            };
            let is_due = |request: &LogicalRequest| request.first().id() == deadline.first;
            if let Some(index) = requests.iter().position(is_due) {
                emit(requests.remove(index));
            }
            if requests.is_empty() {
                self.open_requests.remove(&group);
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

    /// Joins a record with an idempotency key. The key identifies the logical request, so the
    /// outcomes of the earlier records do not matter.
    fn join_by_idempotency_key(&mut self, retry: UsageRecord) {
        let window = self.candidate_window(&retry);
        let requests = self.open_requests.entry(GroupKey::of(&retry)).or_default();
        match requests.iter_mut().find(|request| window.contains(request)) {
            Some(request) => request.join(retry, JoinCertainty::Certain),
            None => self.open_request(retry, JoinCertainty::Certain),
        }
    }

    fn join_by_query(&mut self, retry: UsageRecord) {
        let window = self.candidate_window(&retry);
        let is_known_ambiguous = self.known_ambiguous.contains(&retry.id());
        let requests = self.open_requests.entry(GroupKey::of(&retry)).or_default();
        let candidates: Vec<usize> = (0..requests.len())
            .filter(|index| window.contains(&requests[*index]))
            .filter(|index| requests[*index].last().may_be_retried())
            .collect();
        let rank = |index: &usize| CandidateRank::of(&requests[*index], &retry);
        match candidates.iter().copied().min_by_key(rank) {
            Some(best) => {
                let is_ambiguous = is_known_ambiguous || candidates.len() > 1;
                requests[best].join(retry, JoinCertainty::from_ambiguity(is_ambiguous));
            }
            None => {
                let was_answered = requests.iter().any(|request| window.contains(request));
                let is_ambiguous = is_known_ambiguous || was_answered;
                self.open_request(retry, JoinCertainty::from_ambiguity(is_ambiguous));
            }
        }
    }

    /// Returns the limits on the arrival times of the logical requests that `retry` may join.
    fn candidate_window(&self, retry: &UsageRecord) -> CandidateWindow {
        let skew_ms = self.bounds.skew_ms;
        let max_age_ms = self.window_ms(retry) + skew_ms;
        CandidateWindow {
            earliest_first_ms: retry.arrived_at_ms.saturating_sub(max_age_ms),
            latest_last_ms: retry.arrived_at_ms.saturating_add(skew_ms),
        }
    }
}

/// Properties that all records of a logical request have in common.
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

/// Deadline for joining records to a logical request. Deadlines sort by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    /// Last time at which a record can join the request, in Unix milliseconds.
    expires_at_ms: i64,
    /// First record of the request.
    first: RecordId,
}

/// Limits on the arrival times of the logical requests that a retry may join.
#[derive(Clone, Copy, Debug)]
struct CandidateWindow {
    /// Earliest arrival of the first record of the request, in Unix milliseconds.
    earliest_first_ms: i64,
    /// Latest arrival of the last record of the request, in Unix milliseconds.
    latest_last_ms: i64,
}

impl CandidateWindow {
    fn contains(&self, request: &LogicalRequest) -> bool {
        request.first().arrived_at_ms >= self.earliest_first_ms
            && request.last().arrived_at_ms <= self.latest_last_ms
    }
}

/// Order of preference of the logical requests that a retry may join. The retry joins the request
/// with the lowest rank.
///
/// Requests without an answer rank before requests whose answer may not have been sent. Within each
/// of these groups, requests that arrived before the retry rank before those that, because of clock
/// skew, seem to have arrived after it. Otherwise, the request with the oldest last record ranks
/// first.
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
