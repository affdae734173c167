//! Prices of usage, in whole micro-units.
//!
//! A line counts the logical requests of one tenant and class in one period. Each complete answer
//! costs the price of a complete answer. Partial answers cost the price of a partial answer times
//! the sum of their shares. This product is rounded once per line, with half a micro-unit rounded
//! up. Rejected, failed and cancelled requests are counted and free of charge.
//!
//! This module is pure: it does no I/O and reads no clock.

use crate::join::{LogicalRequest, RecordedOutcome};
use crate::settings::Price;
use serde::{Deserialize, Serialize};
use std::ops::{AddAssign, Sub};

/// Counts of a line. The serialized names are part of the format of statements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCounts {
    /// Number of logical requests, whatever their outcome.
    #[serde(rename = "uses")]
    pub requests: i64,
    /// Number of logical requests with a complete answer.
    #[serde(rename = "whole")]
    pub complete: i64,
    /// Number of logical requests with a partial answer.
    pub partial: i64,
    /// Sum of the shares of all partial answers, in millionths.
    #[serde(rename = "share")]
    pub share_millionths: i64,
    /// Number of logical requests that were rejected.
    #[serde(rename = "refused")]
    pub rejected: i64,
    /// Number of logical requests that failed.
    pub failed: i64,
    /// Number of logical requests that the client cancelled.
    #[serde(rename = "left")]
    pub cancelled: i64,
    /// Number of usage records, of first requests and of retries.
    #[serde(rename = "tries")]
    pub records: i64,
    /// Number of shards queried, summed over all records.
    pub parts: i64,
    /// Number of attempts on replicas in all zones, summed over all records.
    pub attempts: i64,
    /// Number of attempts on replicas outside the aggregator's zone, summed over all records.
    #[serde(rename = "crossed")]
    pub cross_zone_attempts: i64,
    /// Number of logical requests with a retry that could have been joined to another request.
    pub ambiguous: i64,
}

/// Number of fields of [`UsageCounts`].
const COUNT_FIELDS: usize = 12;

impl UsageCounts {
    /// Published names of the fields, in JSON and as columns of CSV.
    pub const COLUMNS: [&'static str; COUNT_FIELDS] = [
        "uses",
        "whole",
        "partial",
        "share",
        "refused",
        "failed",
        "left",
        "tries",
        "parts",
        "attempts",
        "crossed",
        "ambiguous",
    ];

    /// Returns the fields in the order of [`UsageCounts::COLUMNS`].
    fn fields_mut(&mut self) -> [&mut i64; COUNT_FIELDS] {
        [
            &mut self.requests,
            &mut self.complete,
            &mut self.partial,
            &mut self.share_millionths,
            &mut self.rejected,
            &mut self.failed,
            &mut self.cancelled,
            &mut self.records,
            &mut self.parts,
            &mut self.attempts,
            &mut self.cross_zone_attempts,
            &mut self.ambiguous,
        ]
    }

    /// Returns the values of the fields in the order of [`UsageCounts::COLUMNS`].
    pub fn values(mut self) -> [i64; COUNT_FIELDS] {
        self.fields_mut().map(|field| *field)
    }

    /// Creates counts from values in the order of [`UsageCounts::COLUMNS`].
    pub fn from_values(values: [i64; COUNT_FIELDS]) -> UsageCounts {
        let mut counts = UsageCounts::default();
        for (field, value) in counts.fields_mut().into_iter().zip(values) {
            *field = value;
        }
        counts
    }

    /// Adds one logical request to the counts.
    pub fn add(&mut self, request: &LogicalRequest) {
        self.requests += 1;
        match request.outcome {
            RecordedOutcome::Complete => self.complete += 1,
            RecordedOutcome::Partial(share_millionths) => {
                self.partial += 1;
                self.share_millionths += i64::from(share_millionths);
            }
            RecordedOutcome::Rejected => self.rejected += 1,
            RecordedOutcome::Failed => self.failed += 1,
            RecordedOutcome::Cancelled => self.cancelled += 1,
        }
        self.records += request.records.len() as i64;
        for record in &request.records {
            self.parts += i64::from(record.parts);
            self.attempts += i64::from(record.attempts);
            self.cross_zone_attempts += i64::from(record.cross_zone_attempts);
        }
        self.ambiguous += i64::from(!request.ambiguous.is_empty());
    }

    /// Returns the number of logical requests with an answer, complete or partial.
    pub fn answered(&self) -> i64 {
        self.complete + self.partial
    }

    /// Returns whether all counts are zero.
    pub fn is_zero(&self) -> bool {
        *self == UsageCounts::default()
    }
}

impl AddAssign for UsageCounts {
    fn add_assign(&mut self, other: UsageCounts) {
        for (field, value) in self.fields_mut().into_iter().zip(other.values()) {
            *field += value;
        }
    }
}

impl Sub for UsageCounts {
    type Output = UsageCounts;

    fn sub(mut self, other: UsageCounts) -> UsageCounts {
        for (field, value) in self.fields_mut().into_iter().zip(other.values()) {
            *field -= value;
        }
        self
    }
}

/// Number of millionths in a share of 1.
const MILLIONTHS_PER_UNIT: i128 = 1_000_000;

/// Returns the amount of a line, in micro-units; [`i64::MAX`] if the amount is greater.
pub fn line_amount(counts: &UsageCounts, price: Price) -> i64 {
    let complete = i128::from(counts.complete) * i128::from(price.complete);
    let shares = i128::from(counts.share_millionths) * i128::from(price.partial);
    let partial = shares
        .saturating_add(MILLIONTHS_PER_UNIT / 2)
        .div_euclid(MILLIONTHS_PER_UNIT);
    i64::try_from(complete.saturating_add(partial)).unwrap_or(i64::MAX)
}

/// Returns the number of answered requests beyond the allowance of a tenant; 0 if the tenant has no
/// allowance.
pub fn requests_over_allowance(answered: i64, allowance: Option<u64>) -> i64 {
    let Some(allowance) = allowance else {
        return 0;
    };
    let allowance = i64::try_from(allowance).unwrap_or(i64::MAX);
    (answered - allowance).max(0)
}
