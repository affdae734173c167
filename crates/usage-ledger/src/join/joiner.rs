//! The joiner: takes records in the order of their arrival and returns logical requests.

use super::bounds::JoinBounds;
use super::logical_request::{JoinCertainty, LogicalRequest};
use super::record::{RecordId, UsageRecord};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// What records have in common that may belong together.
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

/// When a logical request can't be joined any more. Sorts by time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Deadline {
    /// Unix milliseconds.
    expires_at_ms: i64,
    /// The request's first record.
    first: RecordId,
}

/// Joins records that come in the order of [`UsageRecord::id`], and holds only those that may yet
/// be joined.
#[derive(Debug)]
pub struct Joiner {
    bounds: JoinBounds,
    open: HashMap<GroupKey, Vec<LogicalRequest>>,
    deadlines: BTreeMap<Deadline, GroupKey>,
    /// Retries that wait until no earlier record can come any more.
    retries: VecDeque<UsageRecord>,
    /// Retries that are ambiguous because of records that came before all that are pushed here.
    ambiguous_before: BTreeSet<RecordId>,
}

impl Joiner {
    /// A joiner with these bounds.
    pub fn new(bounds: JoinBounds) -> Joiner {
        Joiner {
            bounds,
            open: HashMap::new(),
            deadlines: BTreeMap::new(),
            retries: VecDeque::new(),
            ambiguous_before: BTreeSet::new(),
        }
    }

    /// As [`Joiner::new`], with retries that are already known to be ambiguous.
    pub fn with_ambiguous(bounds: JoinBounds, ambiguous: BTreeSet<RecordId>) -> Joiner {
        Joiner {
            ambiguous_before: ambiguous,
            ..Joiner::new(bounds)
        }
    }

    /// Takes the next record. Logical requests that are complete by now are handed to `done`.
    pub fn push(&mut self, record: UsageRecord, done: &mut impl FnMut(LogicalRequest)) {
        self.advance(record.arrived_at_ms, done);
        if record.is_retry || record.has_idempotency_key {
            self.retries.push_back(record);
        } else {
            self.open_request(record, JoinCertainty::Certain);
        }
    }

    /// Hands on all that is left: no more records come.
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

    /// Joins the retries that no other record can precede any more, given that all records that
    /// arrived before `now_ms` are known.
    fn advance(&mut self, now_ms: i64, done: &mut impl FnMut(LogicalRequest)) {
        while let Some(retry) = self.retries.front().copied() {
            if retry.arrived_at_ms.saturating_add(self.bounds.skew_ms) >= now_ms {
                break;
            }
            self.retries.pop_front();
            self.close_before(retry.arrived_at_ms, done);
            self.join_retry(retry);
        }
        let oldest_waiting_ms = self
            .retries
            .front()
            .map_or(now_ms, |retry| retry.arrived_at_ms);
        self.close_before(oldest_waiting_ms, done);
    }

    /// Hands on the logical requests that nothing at or after `now_ms` can join.
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
        let skew_ms = self.bounds.skew_ms;
        let window_ms = self.window_ms(&retry);
        let requests = self.open.entry(GroupKey::of(&retry)).or_default();
        let in_window = |request: &LogicalRequest| {
            request.first().arrived_at_ms >= retry.arrived_at_ms.saturating_sub(window_ms + skew_ms)
                && request.last().arrived_at_ms <= retry.arrived_at_ms.saturating_add(skew_ms)
        };
        if retry.has_idempotency_key {
            // The key identifies the logical request: all its records belong to it, in whatever
            // order they ended.
            return match requests.iter_mut().find(|request| in_window(request)) {
                Some(request) => request.join(retry, JoinCertainty::Certain),
                None => self.open_request(retry, JoinCertainty::Certain),
            };
        }
        let candidates: Vec<usize> = (0..requests.len())
            .filter(|index| {
                in_window(&requests[*index]) && requests[*index].last().may_be_retried()
            })
            .collect();
        // Records that were not answered come before uncertain ones, and those before the retry
        // before those that only seem to be after it.
        let rank = |index: &usize| {
            let last = requests[*index].last();
            (
                last.outcome.is_answered(),
                last.arrived_at_ms > retry.arrived_at_ms,
                last.id(),
            )
        };
        let best = candidates.iter().copied().min_by_key(rank);
        let known_ambiguous = self.ambiguous_before.contains(&retry.id());
        match best {
            Some(best) => {
                let is_ambiguous = known_ambiguous || candidates.len() > 1;
                requests[best].join(retry, JoinCertainty::from_ambiguity(is_ambiguous));
            }
            None => {
                let was_answered = requests.iter().any(in_window);
                let is_ambiguous = known_ambiguous || was_answered;
                self.open_request(retry, JoinCertainty::from_ambiguity(is_ambiguous));
            }
        }
    }
}
