//! Statements: the results of closed periods.
//!
//! Statements are stored and exported as JSON; the names and the order of the fields are part of
//! that format.

use crate::rate::{requests_over_allowance, UsageCounts};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The rounding rule, as text in statements.
pub(crate) const ROUNDING: &str = "once a line, half a micro-unit up";

/// One line of a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatementLine {
    /// The tenant's name.
    pub tenant: String,
    /// The class's name.
    pub class: String,
    /// The name of the period that it counts: that of the statement, or an earlier one that late
    /// records have changed.
    pub period: String,
    /// Whether it adjusts an earlier period.
    #[serde(rename = "adjusts")]
    pub is_adjustment: bool,
    /// The counts of the line.
    #[serde(flatten)]
    pub counts: UsageCounts,
    /// Micro-units.
    pub amount: i64,
    /// Whether the class has no price; it is counted and free.
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
    /// The id, unique among all corrections.
    pub id: String,
    /// The tenant's name.
    pub tenant: String,
    /// Micro-units; negative in favour of the tenant.
    pub amount: i64,
    /// The reason for it.
    pub reason: String,
    /// The operator who made it.
    pub author: String,
}

/// The totals of one tenant in a statement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantTotal {
    /// The tenant's name.
    pub tenant: String,
    /// Answered requests of the period itself.
    pub answered: i64,
    /// The tenant's allowance; `None` if it has none.
    pub allowance: Option<u64>,
    /// Answered requests beyond the allowance.
    #[serde(rename = "over")]
    pub over_allowance: i64,
    /// Micro-units, including adjustments and corrections.
    pub amount: i64,
}

/// How complete the records of a member were when a period closed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberState {
    /// The aggregator's name.
    pub member: String,
    /// Its records were complete up to this time; `None` if nothing was ever collected.
    #[serde(rename = "complete")]
    pub complete_until: Option<String>,
    /// Whether the period was closed without some of its records.
    #[serde(rename = "missing")]
    pub is_missing: bool,
    /// Records that were never written.
    #[serde(rename = "lost")]
    pub lost_records: i64,
    /// Runs that ended without a closing mark.
    #[serde(rename = "died")]
    pub unclosed_runs: i64,
    /// Ranges of its log that can't be read.
    #[serde(rename = "damaged")]
    pub damaged_ranges: i64,
}

/// The result of a closed period. It never changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// The period's name: its start.
    pub period: String,
    /// The period's end.
    #[serde(rename = "end")]
    pub period_end: String,
    /// When it was closed.
    #[serde(rename = "closed")]
    pub closed_at: String,
    /// The aggregators that took part.
    pub members: Vec<MemberState>,
    /// Adjustments of earlier periods, then the period's own lines.
    pub lines: Vec<StatementLine>,
    /// Corrections that were made before the period closed.
    pub corrections: Vec<CorrectionLine>,
    /// Totals by tenant.
    pub tenants: Vec<TenantTotal>,
    /// Micro-units: all lines and corrections.
    pub total: i64,
    /// How amounts were rounded.
    pub rounding: String,
    /// SHA-256 of the statement before, in hexadecimal; empty for the first.
    #[serde(rename = "previous")]
    pub previous_hash: String,
}

/// The sums of one tenant.
#[derive(Default)]
struct TenantSum {
    answered: i64,
    amount: i64,
}

/// The totals of all tenants that have lines or corrections.
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
