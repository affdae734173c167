//! Schedules polls of the endpoint list, and watches after one has failed.
//!
//! Invariant: a failed call is repeated within the time in which a change counts as notified. A
//! polled list is one service for all aggregators. If each of them repeated a failed poll at once,
//! the load would prevent most polls from being answered, so each aggregator waits with exponential
//! backoff and jitter.

use super::tuning;
use crate::api::{Nanos, PolicySettings};
use crate::stats::{exponential_backoff, uniform};
use std::ops::Range;

/// Schedule of the next poll or watch of the endpoint list.
#[derive(Debug)]
pub struct EndpointPoller {
    /// Whether the list is polled and not pushed.
    is_polled: bool,
    /// Longest time that a call may be delayed, ns.
    max_delay: f64,
    /// Time of the first batch; 0 before it.
    started: Nanos,
    /// Time of the next call; `None` while a call is open.
    due: Option<Nanos>,
    consecutive_failures: u32,
}

impl EndpointPoller {
    /// Creates a poller that has not run. `decay_time` is the time in which measurements of
    /// replicas decay, ns.
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
            started: 0,
            due: None,
            consecutive_failures: 0,
        }
    }

    /// Returns the time of the next call, or `None` while a call is open.
    pub fn due(&self) -> Option<Nanos> {
        self.due
    }

    /// Returns whether a call is due, and marks it as made. First polls are spread over time, since
    /// many processes start together.
    pub fn take_due(&mut self, now: Nanos, random: &mut fastrand::Rng) -> bool {
        if self.started == 0 {
            self.started = now;
            let spread = 0.0..tuning::FIRST_POLL_SPREAD;
            self.due = self
                .is_polled
                .then(|| now + self.random_delay(spread, random));
        }
        let is_due = self.due.is_some_and(|due| due <= now);
        if is_due {
            self.due = None;
        }
        is_due
    }

    /// Cancels the scheduled call and resets the backoff after an update.
    pub fn on_update(&mut self) {
        self.due = None;
        self.consecutive_failures = 0;
    }

    /// Schedules the next call after a failed one, unless a call is scheduled already.
    pub fn on_failure(&mut self, now: Nanos, random: &mut fastrand::Rng) {
        if self.due.is_some() {
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
        self.due = Some(now + self.random_delay(range, random));
        self.consecutive_failures += 1;
    }

    /// Returns a random delay whose share of `max_delay` is in the range `shares`.
    fn random_delay(&self, shares: Range<f64>, random: &mut fastrand::Rng) -> Nanos {
        (self.max_delay * uniform(random, shares)) as Nanos
    }
}
