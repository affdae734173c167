//! Whether a part may be attempted again.
//!
//! Invariant: a part has at most `max_attempts` attempts; one that may have been executed is not
//! repeated if its class is not idempotent, and with an idempotency key only within its window; no
//! attempt is sent beyond the retry budget.

use super::tuning;
use crate::api::{Nanos, PolicySettings, QueryClass, RetryBudget};
use crate::state::PartState;
use crate::stats::SlidingWindow;

/// The limits on retries, and what was received and retried lately.
#[derive(Debug)]
pub struct RetryLimiter {
    max_attempts: usize,
    /// Retries are not limited by a budget where there is none.
    budget: Option<RetryBudget>,
    /// How long entries are held.
    window: Nanos,
    /// Queries and parts received.
    received: SlidingWindow<()>,
    /// Retries and hedged requests sent.
    retries: SlidingWindow<()>,
}

impl RetryLimiter {
    /// A limiter before the first query.
    pub fn new(settings: &PolicySettings) -> RetryLimiter {
        let budget = settings.retry_budget.clone();
        let budget_window = budget.as_ref().map_or(0, |budget| budget.window);
        RetryLimiter {
            max_attempts: settings.max_attempts.unwrap_or(u32::MAX) as usize,
            budget,
            window: budget_window.max(tuning::RECENT_WINDOW),
            received: SlidingWindow::default(),
            retries: SlidingWindow::default(),
        }
    }

    /// Counts a query or a part that has been received.
    pub fn record_received(&mut self, now: Nanos) {
        self.received.push(now, ());
    }

    /// Counts a retry or a hedged request that is sent.
    pub fn record_retry(&mut self, now: Nanos) {
        self.retries.push(now, ());
    }

    /// Drops what no longer counts.
    pub fn expire(&mut self, now: Nanos) {
        let oldest = now.saturating_sub(self.window);
        self.received.expire(oldest);
        self.retries.expire(oldest);
    }

    /// The number of queries and parts received lately.
    pub fn recently_received(&self) -> usize {
        self.received.len()
    }

    /// The number of retries and hedged requests sent lately.
    pub fn recently_retried(&self) -> usize {
        self.retries.len()
    }

    /// Whether one more attempt now is within the limit of attempts, and can't have the part
    /// executed twice where that matters.
    pub fn may_repeat(&self, part: &PartState, class: &QueryClass, now: Nanos) -> bool {
        part.attempts.len() < self.max_attempts && part.is_safe_to_repeat(class, now)
    }

    /// Whether a retry at `at` is within the budget. Classes with partial answers may use only a
    /// share of it.
    pub fn has_budget(&self, class: &QueryClass, at: Nanos) -> bool {
        let Some(budget) = &self.budget else {
            return true;
        };
        let since = at.saturating_sub(budget.window);
        let used = self.retries.count_since(since) as f64;
        let received = self.received.count_since(since + 1) as f64;
        let share = if class.takes_partial_answers() {
            tuning::PARTIAL_BUDGET_SHARE
        } else {
            1.0
        };
        used + 1.0 <= share * (budget.minimum + budget.ratio * received)
    }
}
