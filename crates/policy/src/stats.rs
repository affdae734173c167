//! Generic statistics: averages, windows, counters and a token bucket. The caller provides all
//! weights, lengths and limits.

use crate::api::Nanos;
use std::collections::VecDeque;
use std::ops::Range;

/// Returns the weighted mean of `old` and `sample`, in which `sample` has the weight `weight`, from
/// 0 to 1.
pub fn weighted_mean(old: f64, sample: f64, weight: f64) -> f64 {
    old + weight * (sample - old)
}

/// Returns `base`, doubled for each of `failures` consecutive failures and limited to `max`.
pub fn exponential_backoff(base: f64, max: f64, failures: u32) -> f64 {
    (base * f64::from(1u32 << failures.min(16))).min(max)
}

/// Returns a uniformly distributed random number in `range`.
pub fn uniform(random: &mut fastrand::Rng, range: Range<f64>) -> f64 {
    range.start + (range.end - range.start) * random.f64()
}

/// An exponentially weighted moving average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ewma {
    value: Option<f64>,
}

impl Ewma {
    /// Returns the average, or `None` before the first sample.
    pub fn value(&self) -> Option<f64> {
        self.value
    }

    /// Adds a sample with this weight, from 0 to 1, and returns the new average. The average starts
    /// at the first sample.
    pub fn add(&mut self, sample: f64, weight: f64) -> f64 {
        let average = weighted_mean(self.value.unwrap_or(sample), sample, weight);
        self.value = Some(average);
        average
    }
}

/// A moving average, and the moving average of the absolute deviation from it.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanDeviation {
    mean: Ewma,
    deviation: f64,
}

impl MeanDeviation {
    /// Returns the mean, or `None` before the first sample.
    pub fn mean(&self) -> Option<f64> {
        self.mean.value()
    }

    /// Returns the moving average of the absolute deviation from the mean; 0 before the first
    /// sample.
    pub fn deviation(&self) -> f64 {
        self.deviation
    }

    /// Adds a sample with this weight, from 0 to 1.
    pub fn add(&mut self, sample: f64, weight: f64) {
        let mean = self.mean.value().unwrap_or(sample);
        self.deviation = weighted_mean(self.deviation, (sample - mean).abs(), weight);
        self.mean.add(sample, weight);
    }
}

/// A queue of values with their times, in ascending order of time. Old values expire.
#[derive(Clone, Debug)]
pub struct SlidingWindow<T> {
    entries: VecDeque<(Nanos, T)>,
}

impl<T> Default for SlidingWindow<T> {
    fn default() -> Self {
        SlidingWindow {
            entries: VecDeque::new(),
        }
    }
}

impl<T> SlidingWindow<T> {
    /// Adds a value. `at` must not be earlier than the time of the last value.
    pub fn push(&mut self, at: Nanos, value: T) {
        self.entries.push_back((at, value));
    }

    /// Removes the values from before the time `oldest`.
    pub fn expire(&mut self, oldest: Nanos) {
        while self.entries.front().is_some_and(|(at, _)| *at < oldest) {
            self.entries.pop_front();
        }
    }

    /// Returns the number of values that have not expired.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the number of values from the time `since` or later.
    pub fn count_since(&self, since: Nanos) -> usize {
        self.entries.iter().filter(|(at, _)| *at >= since).count()
    }

    /// Returns the number of values for which `condition` returns `true`.
    pub fn count_where(&self, condition: impl Fn(&T) -> bool) -> usize {
        self.entries
            .iter()
            .filter(|(_, value)| condition(value))
            .count()
    }
}

/// A counter whose value decays exponentially with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingCounter {
    value: f64,
    updated_at: Nanos,
}

impl DecayingCounter {
    /// Returns the value as of the last increment.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Adds one to the value. The value decays to 1 / e of itself in `time_constant` nanoseconds.
    pub fn increment(&mut self, now: Nanos, time_constant: f64) {
        let remaining = (-((now - self.updated_at) as f64) / time_constant).exp();
        self.value = self.value * remaining + 1.0;
        self.updated_at = now;
    }
}

/// A token bucket that refills up to one token. The caller adds further tokens.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Nanos,
}

impl TokenBucket {
    /// Creates a bucket that has this number of tokens at the time `now`.
    pub fn new(now: Nanos, tokens: f64) -> TokenBucket {
        TokenBucket {
            tokens,
            refilled_at: now,
        }
    }

    /// Returns the number of tokens in the bucket, as of the last change.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Sets the number of tokens; a negative number counts as 0.
    pub fn set(&mut self, tokens: f64) {
        self.tokens = tokens.max(0.0);
    }

    /// Takes one token if the bucket has one, and returns whether a token was taken. A bucket with
    /// less than one token refills at a rate of one token per `refill_time` nanoseconds.
    pub fn try_take(&mut self, now: Nanos, refill_time: f64) -> bool {
        let refilled_tokens = self.tokens + (now - self.refilled_at) as f64 / refill_time;
        self.tokens = self.tokens.max(refilled_tokens.min(1.0));
        self.refilled_at = now;
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }
}

/// The majority value of a stream of values, by the Boyer-Moore majority vote.
#[derive(Clone, Copy, Debug, Default)]
pub struct MajorityVote {
    candidate: u64,
    lead: u32,
}

impl MajorityVote {
    /// Returns the leading value, or `None` while no value leads.
    pub fn leader(&self) -> Option<u64> {
        (self.lead > 0).then_some(self.candidate)
    }

    /// Counts a value in favor of the leading value if the two `agree`, and against it otherwise.
    /// The lead is limited to `max_lead`, so that a change of the majority takes effect soon.
    pub fn vote(&mut self, value: u64, max_lead: u32, agree: impl Fn(u64, u64) -> bool) {
        if self.lead == 0 {
            *self = MajorityVote {
                candidate: value,
                lead: 1,
            };
        } else if agree(value, self.candidate) {
            self.lead = (self.lead + 1).min(max_lead);
        } else {
            self.lead -= 1;
        }
    }
}
