//! The result of one shutdown: which requests were lost, and how the process ended.

use crate::request_record::{RequestOutcome, RequestRecord};
use crate::round::Shutdown;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// The log line of a request that was read, and what stands before the request's name in it.
const REQUEST_READ: &str = "request read";
const NAME_FIELD: &str = "name=\"";
/// What the last line of a process contains that counts its unanswered requests, and that of one
/// without any.
const UNANSWERED_FIELD: &str = "unanswered=";
const NONE_UNANSWERED: &str = "unanswered=0";

/// Which requests count as lost, besides those that the log names as read.
#[derive(Clone, Copy, Debug)]
pub struct LossRules {
    /// A request whose connection ended later than this after it was sent has not crossed the end
    /// of its connection. `None` if only the log decides.
    pub crossing_limit: Option<Duration>,
}

/// The result of a shutdown.
#[derive(Clone, Debug, Default)]
pub struct ShutdownResult {
    /// All requests.
    pub requests: usize,
    /// Requests with a complete response.
    pub answered: usize,
    /// One line for each request that crossed the end of its connection and was not read; its
    /// client may send it to another aggregator.
    pub crossings: Vec<String>,
    /// One line for each lost request, and for a process that ended with a failure.
    pub failures: Vec<String>,
    /// Lost requests.
    pub lost: usize,
    /// Whether the process was killed.
    pub was_killed: bool,
    /// How long after SIGTERM the process ended.
    pub duration: Duration,
}

impl ShutdownResult {
    /// Compares the records of the clients with the aggregator's log.
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
        result.failures.extend(failure_of_process(shutdown));
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

/// Whether a request without a response is lost even if the log does not name it.
fn is_lost_unread(request: &RequestRecord, rules: LossRules) -> bool {
    let waited = request.ended_at - request.sent_at;
    let is_no_crossing = rules.crossing_limit.is_some_and(|limit| waited > limit);
    is_no_crossing || request.outcome == RequestOutcome::TimedOut
}

/// What the process itself logs as unanswered, or its unsuccessful exit.
fn failure_of_process(shutdown: &Shutdown) -> Option<String> {
    let name = &shutdown.aggregator;
    let last_line = shutdown.log.lines().last().unwrap_or_default();
    if last_line.contains(UNANSWERED_FIELD) && !last_line.contains(NONE_UNANSWERED) {
        return Some(format!("{name}: {last_line}"));
    }
    let failed = !shutdown.is_clean && !shutdown.was_killed;
    failed.then(|| format!("{name}: exited with a failure: {last_line}"))
}

fn names_of_read_requests(log: &str) -> HashSet<&str> {
    let lines = log.lines().filter(|line| line.contains(REQUEST_READ));
    let names = lines.filter_map(|line| line.split(NAME_FIELD).nth(1)?.split('"').next());
    names.collect()
}

/// One request, with its times relative to SIGTERM.
fn describe(shutdown: &Shutdown, request: &RequestRecord) -> String {
    format!(
        "{}: {} ({:?}) connected {:.3} s, sent {:.3} s, {:?} {:.3} s after SIGTERM; \
         the process ended {:.3} s after it, {}",
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
        "by itself".to_string()
    } else {
        format!("by itself, suspended for {suspended_ms} ms")
    }
}

/// The seconds from `start` to `instant`, negative if that is earlier.
fn seconds_after(start: Instant, instant: Instant) -> f64 {
    let after = instant.saturating_duration_since(start);
    let before = start.saturating_duration_since(instant);
    after.as_secs_f64() - before.as_secs_f64()
}
