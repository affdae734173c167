//! Joins usage records into logical requests: a client's first request together with its retries.
//!
//! Records go in by the order of their arrival, logical requests come out. A first request begins a
//! logical request. A record marked as a retry joins an earlier one, at most one retry to each
//! record:
//! - by the client's own idempotency key, whatever became of the earlier requests;
//! - else by tenant, class and the hash of the query, within the class's client timeout of the
//!   first request, to the record that has waited for longest among those that were not answered. A
//!   record whose answer may never have left, for its aggregator died right after, counts as not
//!   answered, but comes last.
//!
//! A retry that finds nothing to join is a logical request of its own: its first request never
//! arrived anywhere, or its record was lost with an aggregator. The clocks of two aggregators may
//! differ by the `skew_ms` of [`Joiner::new`], so a retry may seem to arrive that much earlier than
//! its first request.
//!
//! Pure: no I/O and no clock.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RecordedOutcome {
    /// Answered completely.
    Complete,
    /// Answered with this share of the weight, in millionths.
    Partial(u32),
    /// Rejected.
    Rejected,
    /// Failed.
    Failed,
    /// Cancelled by the client.
    Cancelled,
}

impl RecordedOutcome {
    fn is_answered(self) -> bool {
        matches!(
            self,
            RecordedOutcome::Complete | RecordedOutcome::Partial(_)
        )
    }

    /// The outcome of a logical request whose records ended like this and, later, like `other`: the
    /// better one.
    fn better(self, other: RecordedOutcome) -> RecordedOutcome {
        match (self, other) {
            (RecordedOutcome::Complete, _) | (_, RecordedOutcome::Complete) => {
                RecordedOutcome::Complete
            }
            (RecordedOutcome::Partial(left), RecordedOutcome::Partial(right)) => {
                RecordedOutcome::Partial(left.max(right))
            }
            (RecordedOutcome::Partial(_), _) => self,
            // None was answered: what the client was told last.
            (_, later) => later,
        }
    }
}

/// Identifies one record for good; ids sort by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordId {
    /// Arrival in Unix milliseconds.
    pub arrived_at_ms: i64,
    /// The aggregator, by number.
    pub member: u32,
    /// Its run.
    pub incarnation: u64,
    /// The record's number in the run.
    pub sequence: u64,
}

/// One record of a request that an aggregator has served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageRecord {
    /// Arrival in Unix milliseconds, by its aggregator's clock.
    pub arrived_at_ms: i64,
    /// The aggregator, by number.
    pub member: u32,
    /// Its run.
    pub incarnation: u64,
    /// The record's number in the run.
    pub sequence: u64,
    /// The tenant, by number.
    pub tenant: u32,
    /// The class, by number.
    pub class: u32,
    /// How it ended.
    pub outcome: RecordedOutcome,
    /// Shards that were asked.
    pub parts: u32,
    /// Attempts at replicas.
    pub attempts: u32,
    /// Attempts at replicas of another zone.
    pub cross_zone_attempts: u32,
    /// The client marked it as a retry.
    pub is_retry: bool,
    /// The client's idempotency key or, where it sent none, the hash of the query.
    pub key: u64,
    /// Whether `key` is the idempotency key of the client.
    pub has_idempotency_key: bool,
    /// The longest that clients of the class wait over all their requests, in milliseconds.
    pub client_timeout_ms: i64,
    /// Whether its aggregator crashed soon afterwards, so that the reply may not have been sent.
    pub reply_uncertain: bool,
}

impl UsageRecord {
    /// The record's identity.
    pub fn id(&self) -> RecordId {
        RecordId {
            arrived_at_ms: self.arrived_at_ms,
            member: self.member,
            incarnation: self.incarnation,
            sequence: self.sequence,
        }
    }

    /// Whether a retry without a key may be of this request.
    fn may_be_retried(&self) -> bool {
        !self.outcome.is_answered() || self.reply_uncertain
    }
}

/// Whether a record could have been joined in another way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JoinCertainty {
    Certain,
    Ambiguous,
}

impl JoinCertainty {
    fn from_ambiguity(is_ambiguous: bool) -> JoinCertainty {
        if is_ambiguous {
            JoinCertainty::Ambiguous
        } else {
            JoinCertainty::Certain
        }
    }
}

/// A first request together with its retries: the unit that is billed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogicalRequest {
    /// Its records, in the order in which they were joined; there is at least one.
    pub records: Vec<UsageRecord>,
    /// The best outcome of its records.
    pub outcome: RecordedOutcome,
    /// Of its records, the retries that could have joined another record, or answered ones only: a
    /// different reading would count otherwise.
    pub ambiguous: Vec<RecordId>,
}

impl LogicalRequest {
    fn new(first: UsageRecord, certainty: JoinCertainty) -> LogicalRequest {
        let ambiguous = match certainty {
            JoinCertainty::Certain => Vec::new(),
            JoinCertainty::Ambiguous => vec![first.id()],
        };
        LogicalRequest {
            records: vec![first],
            outcome: first.outcome,
            ambiguous,
        }
    }

    /// The first request, or the earliest known.
    pub fn first(&self) -> &UsageRecord {
        &self.records[0]
    }

    fn last(&self) -> &UsageRecord {
        &self.records[self.records.len() - 1]
    }

    fn join(&mut self, retry: UsageRecord, certainty: JoinCertainty) {
        self.outcome = self.outcome.better(retry.outcome);
        if certainty == JoinCertainty::Ambiguous {
            self.ambiguous.push(retry.id());
        }
        self.records.push(retry);
    }
}

/// What records have in common that may belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct GroupKey {
    tenant: u32,
    class: u32,
    key: u64,
    has_idempotency_key: bool,
}

impl GroupKey {
    fn of(record: &UsageRecord) -> GroupKey {
        GroupKey {
            tenant: record.tenant,
            class: record.class,
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
    /// The most that two aggregators' clocks differ, in milliseconds.
    skew_ms: i64,
    /// Milliseconds after its first request within which a retry may arrive.
    horizon_ms: i64,
    open: HashMap<GroupKey, Vec<LogicalRequest>>,
    deadlines: BTreeMap<Deadline, GroupKey>,
    /// Retries that wait until no earlier record can come any more.
    retries: VecDeque<UsageRecord>,
    /// Retries that are ambiguous because of records that came before all that are pushed here.
    ambiguous_before: BTreeSet<RecordId>,
}

impl Joiner {
    /// A joiner with these bounds, in milliseconds.
    pub fn new(skew_ms: i64, horizon_ms: i64) -> Joiner {
        Joiner {
            skew_ms,
            horizon_ms,
            open: HashMap::new(),
            deadlines: BTreeMap::new(),
            retries: VecDeque::new(),
            ambiguous_before: BTreeSet::new(),
        }
    }

    /// As [`Joiner::new`], with retries that are already known to be ambiguous.
    pub fn with_ambiguous(skew_ms: i64, horizon_ms: i64, ambiguous: BTreeSet<RecordId>) -> Joiner {
        Joiner {
            ambiguous_before: ambiguous,
            ..Joiner::new(skew_ms, horizon_ms)
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
            self.horizon_ms
        } else {
            record.client_timeout_ms.min(self.horizon_ms)
        }
    }

    fn open_request(&mut self, first: UsageRecord, certainty: JoinCertainty) {
        let group = GroupKey::of(&first);
        let deadline = Deadline {
            expires_at_ms: first
                .arrived_at_ms
                .saturating_add(self.window_ms(&first))
                .saturating_add(2 * self.skew_ms),
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
            if retry.arrived_at_ms.saturating_add(self.skew_ms) >= now_ms {
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
        let skew_ms = self.skew_ms;
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
