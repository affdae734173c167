//! The price of usage, in integral micro-units.
//!
//! A line counts the usage of one tenant and class in one period. Each complete answer costs the
//! price of complete answers. Partial answers cost the price of partial answers times the sum of
//! their shares, rounded once per line, with half a micro-unit rounded up. Rejected, failed and
//! cancelled requests are counted and free.
//!
//! Pure: no I/O and no clock.

use crate::join::{LogicalRequest, RecordedOutcome};
use crate::settings::Price;
use serde::{Deserialize, Serialize};
use std::ops::{AddAssign, Sub};

/// The counts of a line.
///
/// Counts can be added and subtracted. The serialized names are part of the format of statements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCounts {
    /// Logical requests with any outcome.
    #[serde(rename = "uses")]
    pub requests: i64,
    /// Answered completely.
    #[serde(rename = "whole")]
    pub complete: i64,
    /// Answered in part.
    pub partial: i64,
    /// The sum of the shares of all partial answers, in millionths.
    #[serde(rename = "share")]
    pub share_millionths: i64,
    /// Rejected.
    #[serde(rename = "refused")]
    pub rejected: i64,
    /// Failed.
    pub failed: i64,
    /// Cancelled by the client.
    #[serde(rename = "left")]
    pub cancelled: i64,
    /// Records: first requests and retries.
    #[serde(rename = "tries")]
    pub records: i64,
    /// Shards that were queried.
    pub parts: i64,
    /// Attempts at replicas.
    pub attempts: i64,
    /// Attempts at replicas of another zone.
    #[serde(rename = "crossed")]
    pub cross_zone_attempts: i64,
    /// Logical requests whose records could have been joined in another way.
    pub ambiguous: i64,
}

/// How many numbers [`UsageCounts`] has.
const COUNT_FIELDS: usize = 12;

impl UsageCounts {
    /// The published names of the numbers, in JSON and as columns of CSV.
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

    /// The numbers, in the order of [`UsageCounts::COLUMNS`].
    fn slots(&mut self) -> [&mut i64; COUNT_FIELDS] {
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

    /// The values, in the order of [`UsageCounts::COLUMNS`].
    pub fn values(mut self) -> [i64; COUNT_FIELDS] {
        self.slots().map(|slot| *slot)
    }

    /// The counts of these values, in the order of [`UsageCounts::COLUMNS`].
    pub fn from_values(values: [i64; COUNT_FIELDS]) -> UsageCounts {
        let mut counts = UsageCounts::default();
        for (slot, value) in counts.slots().into_iter().zip(values) {
            *slot = value;
        }
        counts
    }

    /// Counts one logical request.
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

    /// Logical requests that were answered.
    pub fn answered(&self) -> i64 {
        self.complete + self.partial
    }

    /// Whether nothing was counted.
    pub fn is_zero(&self) -> bool {
        *self == UsageCounts::default()
    }
}

impl AddAssign for UsageCounts {
    fn add_assign(&mut self, other: UsageCounts) {
        for (slot, value) in self.slots().into_iter().zip(other.values()) {
            *slot += value;
        }
    }
}

impl Sub for UsageCounts {
    type Output = UsageCounts;

    fn sub(mut self, other: UsageCounts) -> UsageCounts {
        for (slot, value) in self.slots().into_iter().zip(other.values()) {
            *slot -= value;
        }
        self
    }
}

/// The share of a complete answer, in millionths.
const MILLIONTHS: i128 = 1_000_000;

/// The amount of a line in micro-units.
pub fn line_amount(counts: &UsageCounts, price: Price) -> i64 {
    let complete = i128::from(counts.complete) * i128::from(price.complete);
    let shares = i128::from(counts.share_millionths) * i128::from(price.partial);
    let partial = shares.saturating_add(MILLIONTHS / 2).div_euclid(MILLIONTHS);
    i64::try_from(complete.saturating_add(partial)).unwrap_or(i64::MAX)
}

/// The answered requests beyond the allowance of a tenant.
pub fn requests_over_allowance(answered: i64, allowance: Option<u64>) -> i64 {
    let Some(allowance) = allowance else {
        return 0;
    };
    let allowance = i64::try_from(allowance).unwrap_or(i64::MAX);
    (answered - allowance).max(0)
}
