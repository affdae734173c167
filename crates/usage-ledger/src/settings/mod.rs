//! Settings of the ledger: the sections of the settings file, and their typed values.

mod ledger;
mod schema;
mod usage_log;

pub use ledger::{ExportTarget, LedgerSettings, Member, Price};
pub use schema::{EXPORT, MEMBER, PERIODS, PRICE, SETTLEMENT, TENANT, USAGE};
pub use usage_log::UsageLogSettings;
