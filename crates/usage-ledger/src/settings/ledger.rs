//! Settings of the settlement.

use super::{EXPORT, MEMBER, PERIODS, PRICE, SETTLEMENT, TENANT};
use crate::join::JoinBounds;
use crate::period::{Calendar, PeriodLength};
use ini_config::{Problems, Schema, Settings};
use jiff::tz::TimeZone;
use jiff::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Minimum of the setting `every`.
const MIN_PERIOD_MS: i64 = 1000;

// Fallbacks for a schema without a default. The schema of this crate has a default for each key.
const DEFAULT_COLLECTION_TIME: Duration = Duration::from_millis(200);
const DEFAULT_EXPORT_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_EXPORT_RETRY: Duration = Duration::from_millis(500);

/// An aggregator whose usage log the settlement collects.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Address at which the aggregator offers its log for collection.
    pub address: SocketAddr,
    /// Time at which the aggregator became a member, in Unix milliseconds; [`i64::MIN`] if it has
    /// always been one.
    pub from_ms: i64,
    /// Time at which the aggregator ceased to be a member, in Unix milliseconds; [`i64::MAX`] if it
    /// is still one.
    pub until_ms: i64,
}

/// Prices of one class, in micro-units. They are stored as JSON under their published names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Price {
    /// Price of a complete answer, in micro-units.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Price of a partial answer with share 1, in micro-units. It is multiplied by the share of the
    /// answer.
    pub partial: u64,
}

/// Destinations of documents.
#[derive(Clone, Debug, PartialEq)]
pub struct ExportTarget {
    /// Folder to which documents are written; `None` if they are not written to a folder.
    pub folder: Option<PathBuf>,
    /// URL to which documents are posted; `None` if they are not posted.
    pub url: Option<String>,
    /// Timeout for posting one document.
    pub timeout: Duration,
    /// Delay before the first retry of a document.
    pub retry_delay: Duration,
}

impl ExportTarget {
    /// Returns whether there is a folder or a URL.
    pub fn has_destination(&self) -> bool {
        self.folder.is_some() || self.url.is_some()
    }
}

/// Settings of the settlement.
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    /// Path of the SQLite file; `None` if the setting `store` is not set.
    pub store_path: Option<PathBuf>,
    /// Delay before the first retry after the collection from a member has failed.
    pub retry_delay: Duration,
    /// Time without a message from a member after which the settlement reconnects.
    pub idle_timeout: Duration,
    /// Calendar that defines the billing periods.
    pub calendar: Calendar,
    /// Maximum time between the arrivals of a first request and of a retry, in milliseconds.
    pub horizon_ms: i64,
    /// Maximum difference between the clocks of two aggregators, in milliseconds.
    pub skew_ms: i64,
    /// Grace period: maximum time that a period waits for missing records after it could have
    /// closed, in milliseconds.
    pub grace_ms: i64,
    /// Members by aggregator name.
    pub members: BTreeMap<String, Member>,
    /// Prices by class name. Requests of classes without a price are free of charge.
    pub prices: BTreeMap<String, Price>,
    /// Allowances by tenant name, in answered requests per period. Statements list the
    /// number of requests beyond the allowance separately.
    pub allowances: BTreeMap<String, u64>,
    /// Destinations of documents.
    pub export: ExportTarget,
}

impl LedgerSettings {
    /// Reads and validates the settings.
    ///
    /// # Errors
    /// A value is missing or invalid, or values contradict each other.
    pub fn read(settings: &Settings, schema: &Schema) -> Result<LedgerSettings, Problems> {
        let reader = Reader { settings, schema };
        let settlement = settings.section(schema, SETTLEMENT.name);
        let time = |key: &str| settlement.time(key).unwrap_or(DEFAULT_COLLECTION_TIME);
        Ok(LedgerSettings {
            store_path: settlement.text("store").map(PathBuf::from),
            retry_delay: time("again"),
            idle_timeout: time("silent"),
            calendar: reader.calendar()?,
            horizon_ms: reader.period_ms("horizon"),
            skew_ms: reader.period_ms("skew"),
            grace_ms: reader.period_ms("grace"),
            members: reader.members()?,
            prices: reader.prices()?,
            allowances: reader.allowances(),
            export: reader.export()?,
        })
    }

    /// Returns the time limits within which retries are joined to first requests.
    pub fn join_bounds(&self) -> JoinBounds {
        JoinBounds {
            horizon_ms: self.horizon_ms,
            skew_ms: self.skew_ms,
        }
    }
}

/// Reads the sections of the ledger from a settings file.
struct Reader<'a> {
    settings: &'a Settings,
    schema: &'a Schema,
}

impl Reader<'_> {
    /// Returns a duration of the section `[periods]`, in milliseconds; 0 if it is not set.
    fn period_ms(&self, key: &str) -> i64 {
        let periods = self.settings.section(self.schema, PERIODS.name);
        periods.time(key).unwrap_or_default().as_millis() as i64
    }

    fn calendar(&self) -> Result<Calendar, Problems> {
        let periods = self.settings.section(self.schema, PERIODS.name);
        let zone = periods.text("zone").unwrap_or("UTC");
        let zone = TimeZone::get(zone).map_err(|_| {
            let reason = format!(
                "unknown time zone '{zone}'; expected an IANA name, for example Asia/Colombo"
            );
            periods.problem("zone", reason)
        })?;
        match periods.text("every").unwrap_or("monthly") {
            "daily" => Ok(Calendar(PeriodLength::CivilDay(zone))),
            "monthly" => Ok(Calendar(PeriodLength::CivilMonth(zone))),
            _ => match self.period_ms("every") {
                ..MIN_PERIOD_MS => Err(periods.problem("every", "must be at least 1s")),
                length => Ok(Calendar(PeriodLength::Milliseconds(length))),
            },
        }
    }

    fn members(&self) -> Result<BTreeMap<String, Member>, Problems> {
        let names = self.settings.section_names(MEMBER.name).into_iter();
        names
            .map(|name| Ok((name.to_string(), self.member(name)?)))
            .collect()
    }

    fn member(&self, name: &str) -> Result<Member, Problems> {
        let values = self.settings.named_section(self.schema, MEMBER.name, name);
        let Some(address) = values.address("address") else {
            return Err(values.problem("address", "required value is missing"));
        };
        let timestamp = |key: &str, default_ms: i64| match values.text(key) {
            None => Ok(default_ms),
            Some(text) => match text.parse::<Timestamp>() {
                Ok(timestamp) => Ok(timestamp.as_millisecond()),
                Err(_) => {
                    Err(values.problem(key, "must be a time, for example 2026-12-01T00:00:00Z"))
                }
            },
        };
        let from_ms = timestamp("from", i64::MIN)?;
        let until_ms = timestamp("until", i64::MAX)?;
        if from_ms >= until_ms {
            return Err(values.problem("until", "must be later than 'from'"));
        }
        Ok(Member {
            address,
            from_ms,
            until_ms,
        })
    }

    fn prices(&self) -> Result<BTreeMap<String, Price>, Problems> {
        let names = self.settings.section_names(PRICE.name).into_iter();
        names
            .map(|name| Ok((name.to_string(), self.price(name)?)))
            .collect()
    }

    fn price(&self, name: &str) -> Result<Price, Problems> {
        let values = self.settings.named_section(self.schema, PRICE.name, name);
        let Some(complete) = values.count("whole") else {
            return Err(values.problem("whole", "required value is missing"));
        };
        let partial = values.count("partial").unwrap_or(complete);
        Ok(Price { complete, partial })
    }

    fn allowances(&self) -> BTreeMap<String, u64> {
        let allowance = |name: &str| {
            let values = self.settings.named_section(self.schema, TENANT.name, name);
            Some((name.to_string(), values.count("allowance")?))
        };
        let names = self.settings.section_names(TENANT.name).into_iter();
        names.filter_map(allowance).collect()
    }

    fn export(&self) -> Result<ExportTarget, Problems> {
        let values = self.settings.section(self.schema, EXPORT.name);
        let url = values.text("url").map(str::to_string);
        if url.as_ref().is_some_and(|url| !url.starts_with("http://")) {
            let reason = "must begin with http://";
            return Err(values.problem("url", reason));
        }
        Ok(ExportTarget {
            folder: values.text("folder").map(PathBuf::from),
            url,
            timeout: values.time("timeout").unwrap_or(DEFAULT_EXPORT_TIMEOUT),
            retry_delay: values.time("again").unwrap_or(DEFAULT_EXPORT_RETRY),
        })
    }
}
