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

// What holds where the schema has no such key; the same as its defaults.
const DEFAULT_COLLECTION_TIME: Duration = Duration::from_millis(200);
const DEFAULT_EXPORT_TIMEOUT: Duration = Duration::from_secs(5);
const DEFAULT_EXPORT_RETRY: Duration = Duration::from_millis(500);

/// An aggregator whose log the settlement follows.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Where its log is collected.
    pub address: SocketAddr,
    /// From when it takes part, in Unix milliseconds.
    pub from_ms: i64,
    /// Until when it takes part, in Unix milliseconds.
    pub until_ms: i64,
}

/// Prices of one class, in micro-units. The store keeps them as JSON under the published names.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Price {
    /// Of a complete answer.
    #[serde(rename = "whole")]
    pub complete: u64,
    /// Of a partial answer, before its share is taken.
    pub partial: u64,
}

/// Where documents go.
#[derive(Clone, Debug, PartialEq)]
pub struct ExportTarget {
    /// The folder that they are put into.
    pub folder: Option<PathBuf>,
    /// Where they are posted.
    pub url: Option<String>,
    /// How long the receiver may take for one document.
    pub timeout: Duration,
    /// The first pause before a document that failed is sent again.
    pub retry_delay: Duration,
}

impl ExportTarget {
    /// Whether documents go anywhere.
    pub fn has_destination(&self) -> bool {
        self.folder.is_some() || self.url.is_some()
    }
}

/// All settings of the settlement.
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    /// The SQLite file.
    pub store_path: Option<PathBuf>,
    /// The first pause before a member that failed is asked again.
    pub retry_delay: Duration,
    /// A member that says nothing for so long is asked anew.
    pub idle_timeout: Duration,
    /// The billing periods.
    pub calendar: Calendar,
    /// The longest after a first request that a retry may arrive, in milliseconds.
    pub horizon_ms: i64,
    /// The most that two aggregators' clocks differ, in milliseconds.
    pub skew_ms: i64,
    /// How long a period waits for missing members, in milliseconds.
    pub grace_ms: i64,
    /// The aggregators, by name.
    pub members: BTreeMap<String, Member>,
    /// Prices by class.
    pub prices: BTreeMap<String, Price>,
    /// Answered requests in a period past which further ones are listed apart, by tenant.
    pub allowances: BTreeMap<String, u64>,
    /// Where documents go.
    pub export: ExportTarget,
}

impl LedgerSettings {
    /// Reads the settings.
    ///
    /// # Errors
    /// Values that contradict each other, or that only their use shows to be wrong.
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
