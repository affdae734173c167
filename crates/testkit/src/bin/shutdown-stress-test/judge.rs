//! Which requests of a shutdown were lost.

use crate::client::{RequestOutcome, RequestRecord};
use crate::round::Shutdown;
use std::collections::HashSet;
use std::time::Duration;

/// What the log says where a request has been read: before its name, and after it.
const REQUEST_READ: &str = "request read";
const NAME_FIELD: &str = "name=\"";
/// The last line of a process that left nothing unanswered.
const CLEAN_END: &str = "unanswered=0";

/// What counts as lost, beside a request that the log names.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// A request whose connection ended later than this after it was sent has not crossed the
    /// end of its connection. None where only the log is believed.
    pub crossing_limit: Option<Duration>,
}

/// What became of a shutdown.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    pub requests: usize,
    pub answered: usize,
    /// Requests that crossed the end of their connection unread, a line for each; their clients
    /// ask elsewhere.
    pub crossings: Vec<String>,
    /// One line for each lost request, and for a process that did not end as it should.
    pub breaches: Vec<String>,
    pub lost: usize,
    pub was_killed: bool,
    pub duration: Duration,
}

/// Compares what the clients have seen with what the aggregator has read.
pub fn judge(shutdown: &Shutdown, rules: Rules) -> Verdict {
    let read = names_of_read_requests(&shutdown.log);
    let mut verdict = Verdict {
        requests: shutdown.requests.len(),
        was_killed: shutdown.was_killed,
        duration: shutdown.duration,
        ..Verdict::default()
    };
    for request in &shutdown.requests {
        match request.outcome {
            RequestOutcome::Answered { .. } => verdict.answered += 1,
            RequestOutcome::ConnectionEnded | RequestOutcome::TimedOut
                if is_lost(request, rules, read.contains(request.name.as_str())) =>
            {
                verdict.lost += 1;
                verdict.breaches.push(describe(shutdown, request));
            }
            RequestOutcome::ConnectionEnded | RequestOutcome::TimedOut => {
                verdict.crossings.push(describe(shutdown, request));
            }
        }
    }
    verdict.breaches.extend(fault_of_end(shutdown));
    verdict
}

fn is_lost(request: &RequestRecord, rules: Rules, was_read: bool) -> bool {
    let open_for = request.ended_at - request.sent_at;
    let is_no_crossing = rules.crossing_limit.is_some_and(|limit| open_for > limit);
    was_read || is_no_crossing || request.outcome == RequestOutcome::TimedOut
}

/// Whether the process has ended with something undone, as far as it says so itself.
fn fault_of_end(shutdown: &Shutdown) -> Option<String> {
    let name = &shutdown.aggregator;
    let last_line = shutdown.log.lines().last().unwrap_or_default();
    let says_unanswered = last_line.contains("unanswered=") && !last_line.contains(CLEAN_END);
    if says_unanswered {
        return Some(format!("{name}: {last_line}"));
    }
    let failed = !shutdown.is_clean && !shutdown.was_killed;
    failed.then(|| format!("{name}: ended with a failure: {last_line}"))
}

fn names_of_read_requests(log: &str) -> HashSet<&str> {
    let lines = log.lines().filter(|line| line.contains(REQUEST_READ));
    let names = lines.filter_map(|line| line.split(NAME_FIELD).nth(1)?.split('"').next());
    names.collect()
}

/// One request with its times after the shutdown was requested.
fn describe(shutdown: &Shutdown, request: &RequestRecord) -> String {
    let since_request = |instant: std::time::Instant| {
        let after = instant.saturating_duration_since(shutdown.requested_at);
        let before = shutdown.requested_at.saturating_duration_since(instant);
        after.as_secs_f64() - before.as_secs_f64()
    };
    let end = match (shutdown.was_killed, shutdown.held_up.as_millis()) {
        (true, _) => "killed".to_string(),
        (false, 0) => "by itself".to_string(),
        (false, ms) => format!("by itself, held up for {ms} ms"),
    };
    format!(
        "{}: {} ({:?}) connected {:.3} s, sent {:.3} s, {:?} {:.3} s after SIGTERM; \
         the process ended {:.3} s after it, {end}",
        shutdown.aggregator,
        request.name,
        request.habit,
        since_request(request.connected_at),
        since_request(request.sent_at),
        request.outcome,
        since_request(request.ended_at),
        shutdown.duration.as_secs_f64(),
    )
}
