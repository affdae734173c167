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

/// The shortest valid period, in milliseconds.
const MIN_PERIOD_MS: i64 = 1000;

// The values if the schema lacks a key; the same as the defaults of the schema.
const DEFAULT_COLLECTION_TIME: Duration = Duration::from_millis(200);
const DEFAULT_EXPORT_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_EXPORT_RETRY: Duration = Duration::from_millis(500);

/// An aggregator whose log the settlement follows.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The address at which its log is collected.
    pub address: SocketAddr,
    /// The time from which it takes part, in Unix milliseconds.
    pub from_ms: i64,
    /// The time until which it takes part, in Unix milliseconds.
    pub until_ms: i64,
}

/// Prices of one class, in micro-units. The store keeps them as JSON under the published names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Price {
    /// The price of a complete answer.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// The price of a partial answer, which is multiplied by its share.
    pub partial: u64,
}

/// The destinations of documents.
#[derive(Clone, Debug, PartialEq)]
pub struct ExportTarget {
    /// The folder for documents.
    pub folder: Option<PathBuf>,
    /// The URL to which documents are posted.
    pub url: Option<String>,
    /// How long the receiver may take for one document.
    pub timeout: Duration,
    /// The pause before the first retry of a document.
    pub retry_delay: Duration,
}

impl ExportTarget {
    /// Whether there is any destination.
    pub fn has_destination(&self) -> bool {
        self.folder.is_some() || self.url.is_some()
    }
}

/// All settings of the settlement.
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    /// The SQLite file.
    pub store_path: Option<PathBuf>,
    /// The pause before the first retry after the collection from a member has failed.
    pub retry_delay: Duration,
    /// The connection to a member is renewed if no message arrives for this time.
    pub idle_timeout: Duration,
    /// The billing periods.
    pub calendar: Calendar,
    /// The longest time from a first request to the arrival of a retry, in milliseconds.
    pub horizon_ms: i64,
    /// The largest difference between the clocks of two aggregators, in milliseconds.
    pub skew_ms: i64,
    /// The grace period for missing members after a period could have closed, in milliseconds.
    pub grace_ms: i64,
    /// The aggregators, by name.
    pub members: BTreeMap<String, Member>,
    /// Prices by class.
    pub prices: BTreeMap<String, Price>,
    /// The number of answered requests per period by tenant; requests beyond it are listed apart.
    pub allowances: BTreeMap<String, u64>,
    /// The destinations of documents.
    pub export: ExportTarget,
}

impl LedgerSettings {
    /// Reads the settings.
    ///
    /// # Errors
    /// Values are invalid, or contradict each other.
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

    /// The bounds within which retries are joined to first requests.
    pub fn join_bounds(&self) -> JoinBounds {
        JoinBounds {
            horizon_ms: self.horizon_ms,
            skew_ms: self.skew_ms,
        }
    }
}

struct Reader<'a> {
    settings: &'a Settings,
    schema: &'a Schema,
}

impl Reader<'_> {
    /// A time of `[periods]`, in milliseconds.
    fn period_ms(&self, key: &str) -> i64 {
        let periods = self.settings.section(self.schema, PERIODS.name);
        periods.time(key).unwrap_or_default().as_millis() as i64
    }

    fn calendar(&self) -> Result<Calendar, Problems> {
        let periods = self.settings.section(self.schema, PERIODS.name);
        let zone = periods.text("zone").unwrap_or("UTC");
        let zone = TimeZone::get(zone).map_err(|_| {
            let reason = format!("there is no time zone '{zone}'; use a name as in Asia/Colombo");
            periods.problem("zone", reason)
        })?;
        match periods.text("every").unwrap_or("monthly") {
            "daily" => Ok(Calendar(PeriodLength::CivilDay(zone))),
            "monthly" => Ok(Calendar(PeriodLength::CivilMonth(zone))),
            _ => match self.period_ms("every") {
                ..MIN_PERIOD_MS => Err(periods.problem("every", "has to be 1s at least")),
                length => Ok(Calendar(PeriodLength::Milliseconds(length))),
            },
        }
    }

    fn members(&self) -> Result<BTreeMap<String, Member>, Problems> {
        let names = self.settings.names(MEMBER.name).into_iter();
        names
            .map(|name| Ok((name.to_string(), self.member(name)?)))
            .collect()
    }

    fn member(&self, name: &str) -> Result<Member, Problems> {
        let values = self.settings.named_section(self.schema, MEMBER.name, name);
        let Some(address) = values.address("address") else {
            return Err(values.problem("address", "is missing"));
        };
        let timestamp = |key: &str, unset: i64| match values.text(key) {
            None => Ok(unset),
            Some(text) => match text.parse::<Timestamp>() {
                Ok(timestamp) => Ok(timestamp.as_millisecond()),
                Err(_) => Err(values.problem(key, "has to be a time as in 2026-12-01T00:00:00Z")),
            },
        };
        let from_ms = timestamp("from", i64::MIN)?;
        let until_ms = timestamp("until", i64::MAX)?;
        if from_ms >= until_ms {
            return Err(values.problem("until", "does not come after 'from'"));
        }
        Ok(Member {
            address,
            from_ms,
            until_ms,
        })
    }

    fn prices(&self) -> Result<BTreeMap<String, Price>, Problems> {
        let names = self.settings.names(PRICE.name).into_iter();
        names
            .map(|name| Ok((name.to_string(), self.price(name)?)))
            .collect()
    }

    fn price(&self, name: &str) -> Result<Price, Problems> {
        let values = self.settings.named_section(self.schema, PRICE.name, name);
        let Some(complete) = values.count("whole") else {
            return Err(values.problem("whole", "is missing"));
        };
        let partial = values.count("partial").unwrap_or(complete);
        Ok(Price { complete, partial })
    }

    fn allowances(&self) -> BTreeMap<String, u64> {
        let allowance = |name: &str| {
            let values = self.settings.named_section(self.schema, TENANT.name, name);
            Some((name.to_string(), values.count("allowance")?))
        };
        let names = self.settings.names(TENANT.name).into_iter();
        names.filter_map(allowance).collect()
    }

    fn export(&self) -> Result<ExportTarget, Problems> {
        let values = self.settings.section(self.schema, EXPORT.name);
        let url = values.text("url").map(str::to_string);
        if url.as_ref().is_some_and(|url| !url.starts_with("http://")) {
            let reason = "has to begin with http://";
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
