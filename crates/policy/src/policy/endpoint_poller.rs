//! When the endpoint list is polled, or watched again.
//!
//! Invariant: a failed call is followed by another within the time in which a change counts as
//! notified. A polled list is one service for all aggregators. If each repeated a failed call at
//! once, the load would keep most of them from an answer, so each waits with exponential backoff
//! and jitter.

use super::tuning;
use crate::api::{Nanos, PolicySettings};
use crate::stats::{exponential_backoff, uniform};
use std::ops::Range;

/// When the next poll or watch of the endpoint list is due.
#[derive(Debug)]
pub struct EndpointPoller {
    /// The list has to be polled; otherwise it is pushed.
    is_polled: bool,
    /// The time by which a call may be late, ns.
    max_delay: f64,
    /// The time of the first batch; 0 before it.
    started: Nanos,
    /// When to poll or watch again; none while a watch is open.
    due: Option<Nanos>,
    /// Consecutive failures.
    failures: u32,
}

impl EndpointPoller {
    /// A poller before its first batch. `fade_time` is that of measurements, ns.
    pub fn new(settings: &PolicySettings, fade_time: f64) -> EndpointPoller {
        let is_polled = settings.endpoint_list_polled;
        let max_delay = if is_polled {
            (settings.poll_interval as f64).max(fade_time)
        } else {
            settings.drain_notice as f64
        };
        EndpointPoller {
            is_polled,
            max_delay,
            started: 0,
            due: None,
            failures: 0,
        }
    }

    /// When the next call is due; none while a watch is open.
    pub fn due(&self) -> Option<Nanos> {
        self.due
    }

    /// Whether to call now; the call is no longer due then. First polls are spread over time, since
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

    /// Nothing is due after an update.
    pub fn on_update(&mut self) {
        self.due = None;
        self.failures = 0;
    }

    /// Schedules the call after one that failed.
    pub fn on_failure(&mut self, now: Nanos, random: &mut fastrand::Rng) {
        if self.due.is_some() {
            return;
        }
        let range = if self.is_polled {
            let (base, max) = (tuning::BASE_POLL_BACKOFF, tuning::MAX_POLL_BACKOFF);
            let backoff = exponential_backoff(base, max, self.failures);
            let jitter = tuning::POLL_JITTER;
            jitter.start * backoff..jitter.end * backoff
        } else {
            tuning::WATCH_BACKOFF
        };
        self.due = Some(now + self.random_delay(range, random));
        self.failures += 1;
    }

    /// A random delay, in this range of shares of the greatest delay.
    fn random_delay(&self, shares: Range<f64>, random: &mut fastrand::Rng) -> Nanos {
        (self.max_delay * uniform(random, shares)) as Nanos
    }
}
