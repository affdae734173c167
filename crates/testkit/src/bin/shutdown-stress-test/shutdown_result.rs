//! Evaluation of one shutdown: which requests were lost, and how the process ended.

use crate::request_record::{RequestOutcome, RequestRecord};
use crate::round::Shutdown;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Message that an aggregator logs for a request that was read, and the prefix of the request's
/// name in that line.
const REQUEST_READ: &str = "request read";
const NAME_FIELD: &str = "name=\"";
/// Field with the number of unanswered requests in the last log line of a process, and the same
/// field with the value 0.
const UNANSWERED_FIELD: &str = "unanswered=";
const ZERO_UNANSWERED: &str = "unanswered=0";

/// Rules by which requests that the log does not name as read count as lost.
#[derive(Clone, Copy, Debug)]
pub struct LossRules {
    /// Longest time between sending a request and the end of its connection for the request to
    /// count as crossed instead of lost. `None` for no limit.
    pub crossing_limit: Option<Duration>,
}

/// Result of one shutdown.
#[derive(Clone, Debug, Default)]
pub struct ShutdownResult {
    /// Number of requests.
    pub requests: usize,
    /// Number of requests with a complete response.
    pub answered: usize,
    /// One line per request whose connection ended before the aggregator had read the request. The
    /// client may safely retry such a request at another aggregator.
    pub crossings: Vec<String>,
    /// One line per lost request, and one for a process that failed.
    pub failures: Vec<String>,
    /// Number of lost requests.
    pub lost: usize,
    /// Whether the process was killed.
    pub was_killed: bool,
    /// Time between SIGTERM and the exit of the process.
    pub duration: Duration,
}

impl ShutdownResult {
    /// Compares the records of the clients with the log of the aggregator.
    pub fn evaluate(shutdown: &Shutdown, rules: LossRules) -> ShutdownResult {
        let read_names = names_of_read_requests(&shutdown.log);
        let mut result = ShutdownResult {
            requests: shutdown.requests.len(),
            was_killed: shutdown.was_killed,
            duration: shutdown.duration,
            ..ShutdownResult::default()
        };
        for request in &shutdown.requests {
            let was_read = read_names.contains(request.name.as_str());
            result.add_request(shutdown, request, rules, was_read);
        }
        result.failures.extend(process_failure(shutdown));
        result
    }

    fn add_request(
        &mut self,
        shutdown: &Shutdown,
        request: &RequestRecord,
        rules: LossRules,
        was_read: bool,
    ) {
        if matches!(request.outcome, RequestOutcome::Answered { .. }) {
            self.answered += 1;
        } else if was_read || is_lost_unread(request, rules) {
            self.lost += 1;
            self.failures.push(describe(shutdown, request));
        } else {
            self.crossings.push(describe(shutdown, request));
        }
    }
}

/// Returns whether a request without a response is lost although the log does not name it.
fn is_lost_unread(request: &RequestRecord, rules: LossRules) -> bool {
    let waited = request.ended_at - request.sent_at;
    let exceeds_crossing_limit = rules.crossing_limit.is_some_and(|limit| waited > limit);
    exceeds_crossing_limit || request.outcome == RequestOutcome::TimedOut
}

/// Describes the failure of a process that logged unanswered requests or exited unsuccessfully.
fn process_failure(shutdown: &Shutdown) -> Option<String> {
    let name = &shutdown.aggregator;
    let last_line = shutdown.log.lines().last().unwrap_or_default();
    if last_line.contains(UNANSWERED_FIELD) && !last_line.contains(ZERO_UNANSWERED) {
        return Some(format!("{name}: {last_line}"));
    }
    let has_failed = !shutdown.is_clean && !shutdown.was_killed;
    has_failed.then(|| format!("{name}: process exited unsuccessfully; last log line: {last_line}"))
}

fn names_of_read_requests(log: &str) -> HashSet<&str> {
    let lines = log.lines().filter(|line| line.contains(REQUEST_READ));
    let names = lines.filter_map(|line| line.split(NAME_FIELD).nth(1)?.split('"').next());
    names.collect()
}

/// Describes one request, with all times relative to SIGTERM.
fn describe(shutdown: &Shutdown, request: &RequestRecord) -> String {
    format!(
        "{}: {} ({:?}) connected {:.3} s, sent {:.3} s, {:?} {:.3} s after SIGTERM; \
         process ended {:.3} s after SIGTERM, {}",
        shutdown.aggregator,
        request.name,
        request.behavior,
        seconds_after(shutdown.requested_at, request.connected_at),
        seconds_after(shutdown.requested_at, request.sent_at),
        request.outcome,
        seconds_after(shutdown.requested_at, request.ended_at),
        shutdown.duration.as_secs_f64(),
        describe_end(shutdown),
    )
}

fn describe_end(shutdown: &Shutdown) -> String {
    let suspended_ms = shutdown.suspended_for.as_millis();
    if shutdown.was_killed {
        "killed".to_string()
    } else if suspended_ms == 0 {
        "not killed".to_string()
    } else {
        format!("not killed, suspended for {suspended_ms} ms")
    }
}

/// Returns the seconds from `start` to `instant`, negative if `instant` is earlier.
fn seconds_after(start: Instant, instant: Instant) -> f64 {
    let after = instant.saturating_duration_since(start);
    let before = start.saturating_duration_since(instant);
    after.as_secs_f64() - before.as_secs_f64()
}
