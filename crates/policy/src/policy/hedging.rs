//! The budget of hedged requests. Which attempts are hedged is decided in [`super::attempts`].
//!
//! Invariant: hedged requests add load, so their number is limited. The limit falls with the share
//! of hedged requests that lose against the first attempt.

use super::retry::RetryLimiter;
use super::tuning;
use crate::state::RaceWinner;
use crate::stats::blend;

/// The budget of hedged requests.
#[derive(Debug, Default)]
pub struct HedgingBudget {
    /// Share of hedged requests that lost against the first attempt.
    loss_rate: f64,
}

impl HedgingBudget {
    /// Records which of the attempts in flight together was answered first.
    pub fn record_race(&mut self, winner: RaceWinner) {
        let is_lost = f64::from(u8::from(winner == RaceWinner::First));
        self.loss_rate = blend(self.loss_rate, is_lost, tuning::HEDGE_LOSS_WEIGHT);
    }

    /// Whether one more hedged request is within the budget. Retries use the budget up too.
    /// `open_parts` are those of queries that have not ended.
    pub fn allows_hedge(&self, limiter: &RetryLimiter, open_parts: usize) -> bool {
        let received = limiter.recently_received().max(open_parts) as f64;
        let factor = tuning::MAX_HEDGE_FACTOR - tuning::HEDGE_FACTOR_SLOPE * self.loss_rate;
        let further = tuning::HEDGE_RATIO * received * factor.clamp(0.0, 1.0);
        (limiter.recently_retried() as f64) < tuning::MIN_HEDGES + further
    }
}
