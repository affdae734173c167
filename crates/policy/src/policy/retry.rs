//! Limits on retries.
//!
//! Invariants:
//! - A part has at most `max_attempts` attempts.
//! - A part that may have been executed is not repeated if its class is not idempotent. With an
//!   idempotency key, it is repeated only within the idempotency window.
//! - No attempt is sent beyond the retry budget.

use super::tuning;
use crate::api::{Nanos, PolicySettings, QueryClass, RetryBudget};
use crate::state::PartState;
use crate::stats::SlidingWindow;

/// The limits on retries, with recent counts of queries, parts and retries.
#[derive(Debug)]
pub struct RetryLimiter {
    /// Maximum number of attempts at a part.
    max_attempts: usize,
    /// Retry budget; `None` if retries are not limited by a budget.
    budget: Option<RetryBudget>,
    /// Time for which the entries of the sliding windows are kept.
    window: Nanos,
    /// Queries and parts received.
    received: SlidingWindow<()>,
    /// Retries and hedged requests sent.
    retries: SlidingWindow<()>,
}

impl RetryLimiter {
    /// Creates a limiter without recorded queries, parts or retries.
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

    /// Removes the queries, parts and retries that are older than the window. Must be called once
    /// per batch.
    pub fn expire(&mut self, now: Nanos) {
        let oldest = now.saturating_sub(self.window);
        self.received.expire(oldest);
        self.retries.expire(oldest);
    }

    /// Returns the number of queries and parts received within the window, as of the last call to
    /// [`RetryLimiter::expire`].
    pub fn recently_received(&self) -> usize {
        self.received.len()
    }

    /// Returns the number of retries and hedged requests sent within the window, as of the last
    /// call to [`RetryLimiter::expire`].
    pub fn recently_retried(&self) -> usize {
        self.retries.len()
    }

    /// Returns whether one more attempt now is within the limit on attempts, and does no harm even
    /// if the part has been executed already.
    pub fn may_repeat(&self, part: &PartState, class: &QueryClass, now: Nanos) -> bool {
        part.attempts.len() < self.max_attempts && part.is_safe_to_repeat(class, now)
    }

    /// Returns whether a retry at the time `at` is within the budget. Classes with partial answers
    /// may use only [`tuning::PARTIAL_BUDGET_SHARE`] of it.
    pub fn has_budget(&self, class: &QueryClass, at: Nanos) -> bool {
        let Some(budget) = &self.budget else {
            return true;
        };
        let since = at.saturating_sub(budget.window);
        let recent_retries = self.retries.count_since(since) as f64;
        let recently_received = self.received.count_since(since + 1) as f64;
        let share = if class.takes_partial_answers() {
            tuning::PARTIAL_BUDGET_SHARE
        } else {
            1.0
        };
        recent_retries + 1.0 <= share * (budget.minimum + budget.ratio * recently_received)
    }
}
