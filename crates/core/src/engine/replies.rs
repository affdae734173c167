//! Ends queries and composes the replies to them.

use super::query_table::{EndedQuery, OpenPart};
use super::usage::QueryOutcome;
use super::{Engine, MILLISECOND};
use crate::api::{Event, Nanos, RequestId};
use crate::protocol::query::{QueryHit, QueryReply};

/// Tolerance for rounding errors when a coverage is compared with a threshold, as a share of the
/// weight.
const COVERAGE_TOLERANCE: f64 = 1e-4;

impl Engine {
    /// Answers a query from the results received so far.
    pub(super) fn answer_query(&mut self, now: Nanos, id: RequestId, complete: bool) {
        let Some(ended) = self.end_query(now, id) else {
            return;
        };
        let reply = self.compose_answer(&ended, complete);
        self.reply_to_query(now, id, ended, reply);
    }

    pub(super) fn reject_query(&mut self, now: Nanos, id: RequestId, retry_after: Option<Nanos>) {
        let Some(ended) = self.end_query(now, id) else {
            return;
        };
        self.counters.queries_ended.rejected += 1;
        self.reply_to_query(now, id, ended, QueryReply::Rejected { retry_after });
    }

    pub(super) fn fail_query(&mut self, now: Nanos, id: RequestId) {
        let Some(ended) = self.end_query(now, id) else {
            return;
        };
        self.counters.queries_ended.failed += 1;
        self.reply_to_query(now, id, ended, QueryReply::Failed);
    }

    /// Fails a query that is still open at its reply deadline. This is a fault: the policy must end
    /// each query before its client times out.
    pub(super) fn on_reply_deadline(&mut self, now: Nanos, id: RequestId) {
        self.counters.faults.reply_deadline += 1;
        let name = self.queries.get(id).map(|query| &*query.name);
        tracing::error!(id, name, "query failed: still open at its reply deadline");
        // The event makes the policy drop the query, as after a disconnect of the client.
        self.events.push(Event::ClientDisconnected { id });
        self.fail_query(now, id);
    }

    /// Ends a query whose client has disconnected.
    pub(super) fn abandon_query(&mut self, now: Nanos, id: RequestId) {
        if let Some(ended) = self.end_query(now, id) {
            self.record_query(&ended, QueryOutcome::ClientDisconnected);
        }
    }

    /// Records the usage of a query that has ended, then sends its reply.
    fn reply_to_query(&mut self, now: Nanos, id: RequestId, ended: EndedQuery, reply: QueryReply) {
        let outcome = QueryOutcome::of_reply(&reply, ended.covered_weight(), ended.total_weight());
        self.record_query(&ended, outcome);
        if tracing::enabled!(tracing::Level::DEBUG) {
            log_query_ended(now, id, &ended, outcome);
        }
        self.send_reply(now, ended.query.client, reply);
    }

    /// Composes the answer from the results received so far. If they cover less than the decision
    /// of the policy requires, the query fails instead: even a single answer that overstates its
    /// coverage is very costly.
    fn compose_answer(&mut self, ended: &EndedQuery, complete: bool) -> QueryReply {
        let class = usize::from(ended.query.class);
        let is_complete = reaches_threshold(ended, &self.settings.completeness_thresholds, class);
        let is_sufficient = reaches_threshold(ended, &self.settings.minimum_coverages, class);
        if !is_sufficient || complete && !is_complete {
            let covered = ended.covered_weight();
            tracing::error!(
                covered,
                complete,
                class,
                "query failed: its answer would overstate the coverage"
            );
            self.counters.faults.overstated_coverage += 1;
            self.counters.queries_ended.failed += 1;
            return QueryReply::Failed;
        }
        if complete {
            self.counters.queries_ended.complete += 1;
        } else {
            self.counters.queries_ended.partial += 1;
        }
        let hits = ended.parts.iter().filter_map(hit).collect();
        QueryReply::Answer { complete, hits }
    }
}

/// Returns whether the results received so far reach the threshold of the class. A class without a
/// threshold requires all parts.
fn reaches_threshold(ended: &EndedQuery, thresholds: &[f64], class: usize) -> bool {
    let threshold = thresholds.get(class).copied().unwrap_or(1.0);
    let needed = threshold * ended.total_weight().min(1.0);
    ended.covered_weight() + COVERAGE_TOLERANCE >= needed
}

fn hit(part: &OpenPart) -> Option<QueryHit> {
    let doc = part.value.clone()?;
    let shard = part.shard;
    Some(QueryHit { shard, doc })
}

/// Logs the end of a query, with the number of attempts at each part and whether the part has a
/// result (`+`) or not (`-`).
fn log_query_ended(now: Nanos, id: RequestId, ended: &EndedQuery, outcome: QueryOutcome) {
    let attempts = |part: &OpenPart| {
        let result = if part.value.is_some() { "+" } else { "-" };
        format!("{}:{}{result}", part.shard, part.attempts)
    };
    let attempts: Vec<String> = ended.parts.iter().map(attempts).collect();
    let time_left = ended.query.deadline.saturating_sub(now);
    tracing::debug!(
        id,
        name = &*ended.query.name,
        class = ended.query.class,
        time_left_ms = time_left / MILLISECOND,
        attempts = attempts.join(" "),
        ?outcome,
        "query ended"
    );
}
