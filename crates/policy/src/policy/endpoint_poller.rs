//! Schedules calls for the endpoint list: polls, and new watches after a watch has failed.
//!
//! Invariant: a failed watch is repeated within the drain notice, and a failed poll within the poll
//! interval or the time constant of the latency decay, whichever is longer. A polled list is one
//! service for all aggregators. If all of them repeated a failed poll at once, the load would
//! prevent most polls from being answered, so each aggregator waits with exponential backoff and
//! jitter.

use super::tuning;
use crate::api::{Nanos, PolicySettings};
use crate::stats::{exponential_backoff, uniform};
use std::ops::Range;

/// Schedule of the next call for the endpoint list.
#[derive(Debug)]
pub struct EndpointPoller {
    /// Whether the list is polled rather than pushed.
    is_polled: bool,
    /// Upper bound on the delay of a call, ns. Delays are random shares of this time.
    max_delay: f64,
    /// Time of the first batch; 0 before it.
    started_at: Nanos,
    /// Time of the next call; `None` if no call is scheduled.
    due_at: Option<Nanos>,
    /// Number of failed calls since the last update.
    consecutive_failures: u32,
}

impl EndpointPoller {
    /// Creates a poller that has made no call. `decay_time` is the time constant with which
    /// measurements of replicas decay, ns.
    pub fn new(settings: &PolicySettings, decay_time: f64) -> EndpointPoller {
        let is_polled = settings.endpoint_list_polled;
        let max_delay = if is_polled {
            (settings.poll_interval as f64).max(decay_time)
        } else {
            settings.drain_notice as f64
        };
        EndpointPoller {
            is_polled,
            max_delay,
            started_at: 0,
            due_at: None,
            consecutive_failures: 0,
        }
    }

    /// Returns the time of the next call, or `None` if no call is scheduled.
    pub fn due_at(&self) -> Option<Nanos> {
        self.due_at
    }

    /// Returns whether a call is due now, and unschedules the call if so. First polls are spread
    /// over time, since many processes start together.
    pub fn take_due(&mut self, now: Nanos, random: &mut fastrand::Rng) -> bool {
        if self.started_at == 0 {
            self.started_at = now;
            let spread = 0.0..tuning::FIRST_POLL_SPREAD;
            self.due_at = self
                .is_polled
                .then(|| now + self.random_delay(spread, random));
        }
        let is_due = self.due_at.is_some_and(|due_at| due_at <= now);
        if is_due {
            self.due_at = None;
        }
        is_due
    }

    /// Cancels the scheduled call and resets the backoff after an update.
    pub fn on_update(&mut self) {
        self.due_at = None;
        self.consecutive_failures = 0;
    }

    /// Schedules the next call after a failed one, unless a call is scheduled already.
    pub fn on_failure(&mut self, now: Nanos, random: &mut fastrand::Rng) {
        if self.due_at.is_some() {
            return;
        }
        let range = if self.is_polled {
            let (base, max) = (tuning::BASE_POLL_BACKOFF, tuning::MAX_POLL_BACKOFF);
            let backoff = exponential_backoff(base, max, self.consecutive_failures);
            let jitter = tuning::POLL_JITTER;
            jitter.start * backoff..jitter.end * backoff
        } else {
            tuning::WATCH_BACKOFF
        };
        self.due_at = Some(now + self.random_delay(range, random));
        self.consecutive_failures += 1;
    }

    /// Returns a random delay whose share of `max_delay` is in the range `shares`.
    fn random_delay(&self, shares: Range<f64>, random: &mut fastrand::Rng) -> Nanos {
        (self.max_delay * uniform(random, shares)) as Nanos
    }
}
