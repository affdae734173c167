//! Statements: the results of closed periods.
//!
//! Statements are stored and printed as JSON. The names and the order of the fields are part of
//! this format, since the hash of a statement covers them.
//!
//! Amounts are whole numbers of micro-units, the unit of the prices in the settings.

use crate::rate::{requests_over_allowance, UsageCounts};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Text of [`Statement::rounding`].
pub(crate) const ROUNDING: &str = "once a line, half a micro-unit up";

/// A line of a statement: the usage of one tenant and class in one period.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatementLine {
    /// Name of the tenant that is billed.
    pub tenant: String,
    /// Name of the class of the counted requests.
    pub class: String,
    /// Name of the period of the counted requests: the period of the statement, or an earlier
    /// period that late records have changed.
    pub period: String,
    /// Whether the line adjusts an earlier period.
    #[serde(rename = "adjusts")]
    pub is_adjustment: bool,
    /// Counts of the period or, in an adjustment, changes to the counts in earlier statements.
    #[serde(flatten)]
    pub counts: UsageCounts,
    /// Amount to be billed, in micro-units.
    pub amount: i64,
    /// Whether the class has no price. Its requests are counted and free of charge.
    #[serde(
        rename = "unpriced",
        default,
        skip_serializing_if = "std::ops::Not::not"
    )]
    pub is_unpriced: bool,
}

/// A correction that an operator has entered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CorrectionLine {
    /// Id that is unique among all corrections.
    pub id: String,
    /// Name of the tenant whose bill is corrected.
    pub tenant: String,
    /// Amount of the correction, in micro-units; negative if the tenant is to pay less.
    pub amount: i64,
    /// Reason that the operator has given.
    pub reason: String,
    /// Name of the operator who entered the correction.
    pub author: String,
}

/// Number of answered requests of one tenant in a statement, and the amount to be billed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantTotal {
    /// Name of the tenant that is billed.
    pub tenant: String,
    /// Number of answered requests in the period of the statement, without adjustments.
    pub answered: i64,
    /// Allowance of the tenant, in answered requests per period; `None` if the tenant has none.
    pub allowance: Option<u64>,
    /// Number of answered requests beyond the allowance.
    #[serde(rename = "over")]
    pub over_allowance: i64,
    /// Amount to be billed, in micro-units, including adjustments and corrections.
    pub amount: i64,
}

/// Completeness of the records of a member at the time when a period closed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberState {
    /// Name of the member in the settings (`[member NAME]`).
    pub member: String,
    /// All records from before this time had been collected; UTC text, or `None` if nothing was
    /// ever collected.
    #[serde(rename = "complete")]
    pub complete_until: Option<String>,
    /// Whether the period closed before all records of the member were collected.
    #[serde(rename = "missing")]
    pub is_missing: bool,
    /// Number of missing records: sequence numbers for which no record was collected.
    #[serde(rename = "lost")]
    pub lost_records: i64,
    /// Number of runs that ended without a closing watermark, for example in a crash.
    #[serde(rename = "died")]
    pub unclosed_runs: i64,
    /// Number of unreadable byte ranges in the log.
    #[serde(rename = "damaged")]
    pub damaged_ranges: i64,
}

/// Result of a closed period. A statement never changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// Name of the period: its start as UTC text.
    pub period: String,
    /// End of the period, as UTC text.
    #[serde(rename = "end")]
    pub period_end: String,
    /// Time at which the period was closed, as UTC text.
    #[serde(rename = "closed")]
    pub closed_at: String,
    /// States of all members that were configured during the period.
    pub members: Vec<MemberState>,
    /// Adjustments of earlier periods, followed by the lines of the period itself.
    pub lines: Vec<StatementLine>,
    /// Corrections that were entered before the period closed.
    pub corrections: Vec<CorrectionLine>,
    /// Totals of each tenant that has lines or corrections.
    pub tenants: Vec<TenantTotal>,
    /// Sum of all lines and corrections, in micro-units.
    pub total: i64,
    /// Rule by which the amounts of lines were rounded.
    pub rounding: String,
    /// SHA-256 of the previous statement in hexadecimal; empty for the first statement.
    #[serde(rename = "previous")]
    pub previous_hash: String,
}

/// Running sums of one tenant.
#[derive(Default)]
struct TenantSum {
    answered: i64,
    /// In micro-units.
    amount: i64,
}

/// Returns the totals of all tenants that have lines or corrections.
pub(crate) fn tenant_totals(
    lines: &[StatementLine],
    corrections: &[CorrectionLine],
    allowances: &BTreeMap<String, u64>,
) -> Vec<TenantTotal> {
    let mut sums: BTreeMap<&str, TenantSum> = BTreeMap::new();
    for line in lines {
        let sum = sums.entry(&line.tenant).or_default();
        sum.amount += line.amount;
        if !line.is_adjustment {
            sum.answered += line.counts.answered();
        }
    }
    for correction in corrections {
        sums.entry(&correction.tenant).or_default().amount += correction.amount;
    }
    let total = |(tenant, sum): (&str, TenantSum)| {
        let allowance = allowances.get(tenant).copied();
        TenantTotal {
            tenant: tenant.into(),
            answered: sum.answered,
            allowance,
            over_allowance: requests_over_allowance(sum.answered, allowance),
            amount: sum.amount,
        }
    };
    sums.into_iter().map(total).collect()
}
