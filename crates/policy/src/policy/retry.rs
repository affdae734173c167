//! Attempts and retries: what may be sent, and sending it.
//!
//! Invariant: a part has at most `max_attempts` attempts; one that may have been executed is not
//! repeated if its class is not idempotent, and with an idempotency key only within its window; no
//! attempt is sent beyond the retry budget.

use super::{tuning, Policy};
use crate::api::{Action, Nanos};
use crate::state::{PartState, QueryState};

impl Policy {
    /// Sends a part to the best replica that may have it; false where there is none.
    pub(super) fn send_attempt(&mut self, query: &mut QueryState, index: usize) -> bool {
        let class = query.class;
        let until = match self.may_be_late(class) {
            true => query.deadline,
            false => query.objective,
        };
        let part = &mut query.parts[index];
        if until <= self.context.now || !self.may_attempt(part, class) {
            return false;
        }
        let replica = self.select_replica(part);
        let Some(replica) = replica else { return false };
        let latest_start = part.idempotency_expiry(self.context.class(class));
        let connection = self.connection_for(replica);
        self.record_attempt(part, replica, connection);
        self.output.push(Action::SendAttempt {
            part: part.id,
            replica,
            until,
            latest_start,
        });
        true
    }

    /// Whether one more attempt, beside those that are out, is allowed and within the budget.
    fn may_attempt(&self, part: &PartState, class: usize) -> bool {
        if part.attempts.is_empty() {
            return self.may_repeat(part, class);
        }
        let is_allowed = self.context.settings.hedging_allowed || !part.has_attempt_in_flight();
        is_allowed && self.may_repeat(part, class) && self.has_budget(class, self.context.now)
    }

    /// Whether one more attempt is within the limit and can't be executed twice.
    pub(super) fn may_repeat(&self, part: &PartState, class: usize) -> bool {
        let max_attempts = self.context.settings.max_attempts.unwrap_or(u32::MAX) as usize;
        let is_safe = part.is_safe_to_repeat(self.context.class(class), self.context.now);
        part.attempts.len() < max_attempts && is_safe
    }

    /// Whether a retry is within the budget then; classes with partial answers leave a share.
    pub(super) fn has_budget(&self, class: usize, at: Nanos) -> bool {
        let budget = self.context.settings.retry_budget.as_ref();
        let Some(budget) = budget else { return true };
        let since = at.saturating_sub(budget.window);
        let used = self.retries.count_since(since) as f64;
        let received = self.received.count_since(since + 1) as f64;
        let share = match self.context.class(class).takes_partial_answers() {
            true => tuning::PARTIAL_BUDGET_SHARE,
            false => 1.0,
        };
        used + 1.0 <= share * (budget.minimum + budget.ratio * received)
    }
}
