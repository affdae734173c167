//! `ledger statement`: prints the lines of one statement.

use super::{LedgerContext, LedgerError};
use crate::cli::output::{self, FormatArguments, OutputError, OutputFormat, Report};
use serde_json::{json, Value};
use usage_ledger::rate::UsageCounts;
use usage_ledger::statement::{CorrectionLine, MemberState, Statement, StatementLine, TenantTotal};

/// Arguments of `ledger statement`.
#[derive(clap::Args)]
pub struct StatementArguments {
    /// Start of the period, in the form that `periods` prints
    period: Option<String>,
    /// Print only the lines of this tenant; ignored for JSON
    #[arg(long)]
    tenant: Option<String>,
    #[command(flatten)]
    format: FormatArguments,
}

/// Prints the statement of a period, or the last statement. JSON output always contains all
/// tenants.
pub fn run(context: &LedgerContext, arguments: &StatementArguments) -> Result<(), LedgerError> {
    let statement = find(context, arguments.period.as_deref())?;
    let view = StatementView {
        statement: &statement,
        tenant: arguments.tenant.as_deref(),
    };
    match arguments.format.format {
        OutputFormat::Json => view.print_json()?,
        OutputFormat::Csv => view.report().print(OutputFormat::Csv)?,
        OutputFormat::Table => {
            view.report().print(OutputFormat::Table)?;
            output::print(view.summary().as_bytes())?;
        }
    }
    Ok(())
}

fn find(context: &LedgerContext, period: Option<&str>) -> Result<Statement, LedgerError> {
    let store = context.existing_store()?;
    let stored_statements = store.statements()?;
    let mut statements = stored_statements.into_iter().map(|stored| stored.statement);
    let statement = match period {
        Some(time) => {
            let name = context.period_starting_at(&store, time)?.name();
            statements.find(|statement| statement.period == name)
        }
        None => statements.next_back(),
    };
    statement.ok_or(LedgerError::NoSuchStatement)
}

/// A statement, with a filter for the tenants whose lines are printed.
struct StatementView<'a> {
    statement: &'a Statement,
    /// Tenant whose lines are printed; `None` for all tenants.
    tenant: Option<&'a str>,
}

impl StatementView<'_> {
    fn shows(&self, tenant: &str) -> bool {
        self.tenant.is_none_or(|shown| shown == tenant)
    }

    fn print_json(&self) -> Result<(), OutputError> {
        let text = serde_json::to_string_pretty(self.statement)?;
        output::print(format!("{text}\n").as_bytes())
    }

    fn report(&self) -> Report {
        let mut columns = vec!["statement", "tenant", "class", "period", "kind"];
        columns.extend(UsageCounts::COLUMNS);
        columns.push("amount");
        let mut report = Report::new(&columns);
        for line in &self.statement.lines {
            if self.shows(&line.tenant) {
                report.push(self.line_row(line));
            }
        }
        for correction in &self.statement.corrections {
            if self.shows(&correction.tenant) {
                report.push(self.correction_row(correction));
            }
        }
        report
    }

    fn line_row(&self, line: &StatementLine) -> Vec<Value> {
        let kind = if line.is_adjustment {
            "adjustment"
        } else {
            "use"
        };
        let mut row = vec![
            json!(self.statement.period),
            json!(line.tenant),
            json!(line.class),
            json!(line.period),
            json!(kind),
        ];
        row.extend(line.counts.values().map(|count| json!(count)));
        row.push(json!(line.amount));
        row
    }

    fn correction_row(&self, correction: &CorrectionLine) -> Vec<Value> {
        let mut row = vec![
            json!(self.statement.period),
            json!(correction.tenant),
            json!("-"),
            json!(self.statement.period),
            json!("correction"),
        ];
        row.extend(UsageCounts::default().values().map(|zero| json!(zero)));
        row.push(json!(correction.amount));
        row
    }

    /// Returns the text that follows the table: the period, members with incomplete records, and
    /// totals.
    fn summary(&self) -> String {
        let statement = self.statement;
        let mut text = format!(
            "\nperiod {} to {}, closed {}; rounded {}\n",
            statement.period, statement.period_end, statement.closed_at, statement.rounding
        );
        for member in &statement.members {
            if member.is_missing
                || member.lost_records + member.unclosed_runs + member.damaged_ranges > 0
            {
                text += &member_summary(member);
            }
        }
        for total in &statement.tenants {
            if self.shows(&total.tenant) {
                text += &tenant_summary(total);
            }
        }
        text + &format!("total {} micro-units\n", statement.total)
    }
}

fn member_summary(member: &MemberState) -> String {
    format!(
        "member {}: {}complete up to {}, {} records lost, {} runs died, {} damaged stretches\n",
        member.member,
        if member.is_missing { "MISSING, " } else { "" },
        member.complete_until.as_deref().unwrap_or("never"),
        member.lost_records,
        member.unclosed_runs,
        member.damaged_ranges
    )
}

fn tenant_summary(total: &TenantTotal) -> String {
    let allowance = match total.allowance {
        Some(allowance) => allowance.to_string(),
        None => "none".into(),
    };
    format!(
        "tenant {}: {} answered, allowance {allowance}, {} over it, {} micro-units\n",
        total.tenant, total.answered, total.over_allowance, total.amount
    )
}
