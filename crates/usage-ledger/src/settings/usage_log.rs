//! Settings of an aggregator's usage log.

use super::USAGE;
use ini_config::{Problems, Schema, Settings};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Minimum of the setting `segment`.
const MIN_SEGMENT_BYTES: u64 = 4096;
/// Minimum of the setting `mark`.
const MIN_WATERMARK_INTERVAL: Duration = Duration::from_millis(10);

// Fallbacks for a schema without a default. The schema of this crate has the same defaults.
const DEFAULT_SEGMENT_BYTES: u64 = 8 << 20;
const DEFAULT_MAX_LOG_BYTES: u64 = 1 << 30;
const DEFAULT_QUEUE_ENTRIES: u64 = 8192;
const DEFAULT_MAX_REPLY_DELAY: Duration = Duration::from_millis(5);
const DEFAULT_WATERMARK_INTERVAL: Duration = Duration::from_millis(500);

/// Settings of the usage log of one aggregator.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageLogSettings {
    /// Directory that contains the segments of the log.
    pub directory: PathBuf,
    /// Size at which a segment is closed and a new one is started, in bytes.
    pub segment_bytes: u64,
    /// Maximum size of the log, in bytes. Records beyond it are dropped and counted.
    pub max_log_bytes: u64,
    /// Capacity of the writer's queue, in entries.
    pub queue_entries: usize,
    /// Maximum time that a reply waits for its record to be written.
    pub max_reply_delay: Duration,
    /// Interval between two watermarks in the log.
    pub watermark_interval: Duration,
    /// Address of the collection service; `None` if the log is not offered for collection.
    pub listen_address: Option<SocketAddr>,
}

impl UsageLogSettings {
    /// Reads and validates the settings. Returns `None` if the settings contain no directory, so
    /// that no log is written.
    ///
    /// # Errors
    /// A value is too small, or values contradict each other.
    pub fn read(
        settings: &Settings,
        schema: &Schema,
    ) -> Result<Option<UsageLogSettings>, Problems> {
        let values = settings.section(schema, USAGE.name);
        let listen_address = values.address("listen");
        let Some(directory) = values.text("directory").map(PathBuf::from) else {
            return match listen_address {
                Some(_) => Err(values.problem(
                    "listen",
                    "requires 'directory': without it, there is no log to collect",
                )),
                None => Ok(None),
            };
        };
        let segment_bytes = values.bytes("segment").unwrap_or(DEFAULT_SEGMENT_BYTES);
        if segment_bytes < MIN_SEGMENT_BYTES {
            return Err(values.problem("segment", "must be at least 4KiB"));
        }
        let max_log_bytes = values.bytes("keep").unwrap_or(DEFAULT_MAX_LOG_BYTES);
        if max_log_bytes < 2 * segment_bytes {
            return Err(values.problem(
                "keep",
                "must be at least twice 'segment', or no segment could ever be closed",
            ));
        }
        let watermark_interval = values.time("mark").unwrap_or(DEFAULT_WATERMARK_INTERVAL);
        if watermark_interval < MIN_WATERMARK_INTERVAL {
            return Err(values.problem("mark", "must be at least 10ms"));
        }
        Ok(Some(UsageLogSettings {
            directory,
            segment_bytes,
            max_log_bytes,
            queue_entries: values.count("queue").unwrap_or(DEFAULT_QUEUE_ENTRIES) as usize,
            max_reply_delay: values.time("stall").unwrap_or(DEFAULT_MAX_REPLY_DELAY),
            watermark_interval,
            listen_address,
        }))
    }
}
