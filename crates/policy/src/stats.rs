//! Generic statistics: averages, windows, counters and a token bucket. Weights, lengths and limits
//! are the caller's.

use crate::api::Nanos;
use std::collections::VecDeque;
use std::ops::Range;

/// Moves `old` towards `sample` by this share of the way.
pub fn blend(old: f64, sample: f64, weight: f64) -> f64 {
    old + weight * (sample - old)
}

/// `base`, doubled for each failure in a row, and `max` at most.
pub fn exponential_backoff(base: f64, max: f64, failures: u32) -> f64 {
    (base * f64::from(1u32 << failures.min(16))).min(max)
}

/// A random number in the range.
pub fn uniform(random: &mut fastrand::Rng, range: Range<f64>) -> f64 {
    range.start + (range.end - range.start) * random.f64()
}

/// An exponentially weighted moving average.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ewma {
    value: Option<f64>,
}

impl Ewma {
    /// The average; none before the first sample.
    pub fn value(&self) -> Option<f64> {
        self.value
    }

    /// Adds a sample, which counts by `weight`, and returns the average. A first sample is the
    /// average.
    pub fn add(&mut self, sample: f64, weight: f64) -> f64 {
        let average = blend(self.value.unwrap_or(sample), sample, weight);
        self.value = Some(average);
        average
    }
}

/// A moving average and the moving average of the deviation from it.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeanDeviation {
    mean: Ewma,
    deviation: f64,
}

impl MeanDeviation {
    /// The mean; none before the first sample.
    pub fn mean(&self) -> Option<f64> {
        self.mean.value()
    }

    /// The mean deviation.
    pub fn deviation(&self) -> f64 {
        self.deviation
    }

    /// Adds a sample, which counts by `weight`.
    pub fn add(&mut self, sample: f64, weight: f64) {
        let mean = self.mean.value().unwrap_or(sample);
        self.deviation = blend(self.deviation, (sample - mean).abs(), weight);
        self.mean.add(sample, weight);
    }
}

/// Values with the time of each, in order of time, of which old ones are dropped.
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
    /// Adds a value; `at` is not before that of the last one.
    pub fn push(&mut self, at: Nanos, value: T) {
        self.entries.push_back((at, value));
    }

    /// Drops what is older than `oldest`.
    pub fn expire(&mut self, oldest: Nanos) {
        while self.entries.front().is_some_and(|(at, _)| *at < oldest) {
            self.entries.pop_front();
        }
    }

    /// The number of values held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The number of values at or after `since`.
    pub fn count_since(&self, since: Nanos) -> usize {
        self.entries.iter().filter(|(at, _)| *at >= since).count()
    }

    /// The number of values that meet the condition.
    pub fn count_where(&self, condition: impl Fn(&T) -> bool) -> usize {
        self.entries
            .iter()
            .filter(|(_, value)| condition(value))
            .count()
    }
}

/// A count in which each unit decays exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingCounter {
    value: f64,
    updated: Nanos,
}

impl DecayingCounter {
    /// The count as of the last increment.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Counts one more; after `memory` nanoseconds, a unit counts 1 / e.
    pub fn increment(&mut self, now: Nanos, memory: f64) {
        let remaining = (-((now - self.updated) as f64) / memory).exp();
        self.value = self.value * remaining + 1.0;
        self.updated = now;
    }
}

/// A count of tokens. An empty bucket refills slowly, up to one token.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled: Nanos,
}

impl TokenBucket {
    /// A bucket with so many tokens.
    pub fn new(now: Nanos, tokens: f64) -> TokenBucket {
        TokenBucket {
            tokens,
            refilled: now,
        }
    }

    /// The tokens in the bucket.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Sets the number of tokens; a negative number counts as 0.
    pub fn set(&mut self, tokens: f64) {
        self.tokens = tokens.max(0.0);
    }

    /// Takes one token, if there is at least one. A bucket with less than one gains one in
    /// `refill_time` nanoseconds.
    pub fn try_take(&mut self, now: Nanos, refill_time: f64) -> bool {
        let refilled = self.tokens + (now - self.refilled) as f64 / refill_time;
        self.tokens = self.tokens.max(refilled.min(1.0));
        self.refilled = now;
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

/// The majority value of a stream of values, by the Boyer-Moore vote.
#[derive(Clone, Copy, Debug, Default)]
pub struct MajorityVote {
    candidate: u64,
    lead: u32,
}

impl MajorityVote {
    /// The value that leads; none while no value does.
    pub fn leader(&self) -> Option<u64> {
        (self.lead > 0).then_some(self.candidate)
    }

    /// Counts a value for the leader, if the two `agree`, or against it. The lead is `max_lead` at
    /// most, so that a change of the majority has effect soon.
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
