//! The endpoint list: applying its updates, and when to poll or to watch it again.
//!
//! Invariant: a failed call is followed by another within the time in which a change counts as
//! notified. A polled list is one service for all: were failed calls repeated at once, most
//! aggregators would never get an answer, so each waits with exponential backoff and jitter.

use super::*;

impl Policy {
    /// Polls the list if it is time to. First polls are spread: many processes start together.
    pub(super) fn poll_endpoints(&mut self) {
        if self.started == 0 {
            self.started = self.now;
            let polled = self.settings.endpoint_list_polled;
            let range = 0.0..tuning::FIRST_POLL_SPREAD;
            self.poll.due = polled.then(|| self.now + self.poll_delay(range));
        }
        if self.poll.due.is_some_and(|due| due <= self.now) {
            self.poll.due = None;
            let enabled = true;
            self.actions.push(Action::WatchEndpoints { enabled });
        }
    }

    pub(super) fn on_endpoints_updated(&mut self, kind: EndpointUpdateKind, list: &[ReplicaEntry]) {
        match kind {
            EndpointUpdateKind::Unavailable => return self.schedule_poll(),
            EndpointUpdateKind::Cached => {}
            EndpointUpdateKind::Delta | EndpointUpdateKind::Snapshot => self.poll.reset(),
        }
        self.replicas.apply(kind, list);
        // Replicas come and go under new names: what is known of those gone must not add up.
        let faded = (tuning::FADE_OBJECTIVES * self.objective) as Nanos;
        self.replicas.forget_gone(self.now.saturating_sub(faded));
    }

    fn schedule_poll(&mut self) {
        if self.poll.due.is_some() {
            return;
        }
        let (base, max) = (tuning::BASE_POLL_BACKOFF, tuning::MAX_POLL_BACKOFF);
        let backoff = exponential_backoff(base, max, self.poll.failures);
        let jitter = tuning::POLL_JITTER;
        let range = match self.settings.endpoint_list_polled {
            true => jitter.start * backoff..jitter.end * backoff,
            false => tuning::WATCH_BACKOFF,
        };
        self.poll.due = Some(self.now + self.poll_delay(range));
        self.poll.failures += 1;
    }

    /// A random delay, as a share in this range of the time that a call may be late.
    fn poll_delay(&mut self, range: Range<f64>) -> Nanos {
        let least = tuning::FADE_OBJECTIVES * self.objective;
        let interval = match self.settings.endpoint_list_polled {
            true => (self.settings.poll_interval as f64).max(least),
            false => self.settings.drain_notice as f64,
        };
        (interval * uniform(&mut self.random, range)) as Nanos
    }
}
