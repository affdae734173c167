//! Settings of an aggregator's usage log.

use super::USAGE;
use ini_config::{Problems, Schema, Settings};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The smallest valid segment, in bytes.
const MIN_SEGMENT_BYTES: u64 = 4096;
/// The shortest valid interval between two marks.
const MIN_MARK_INTERVAL: Duration = Duration::from_millis(10);

// The values if the schema lacks a key; the same as the defaults of the schema.
const DEFAULT_SEGMENT_BYTES: u64 = 8 << 20;
const DEFAULT_KEEP_BYTES: u64 = 1 << 30;
const DEFAULT_QUEUE_ENTRIES: u64 = 8192;
const DEFAULT_MAX_REPLY_DELAY: Duration = Duration::from_millis(5);
const DEFAULT_MARK_INTERVAL: Duration = Duration::from_millis(500);

/// The usage log of one aggregator.
#[derive(Clone, Debug, PartialEq)]
pub struct UsageLogSettings {
    /// The folder of the log.
    pub directory: PathBuf,
    /// The size at which a segment is closed.
    pub segment_bytes: u64,
    /// The maximum size of the log.
    pub keep_bytes: u64,
    /// The capacity of the queue of the writer.
    pub queue_entries: usize,
    /// The longest time that a reply waits for its record to be written.
    pub max_reply_delay: Duration,
    /// The interval of marks, which state up to which time the log is complete.
    pub mark_interval: Duration,
    /// The address at which the log is offered for collection; `None` if it is not.
    pub listen_address: Option<SocketAddr>,
}

impl UsageLogSettings {
    /// Reads the settings; `None` if no log is kept.
    ///
    /// # Errors
    /// Values contradict each other.
    pub fn read(
        settings: &Settings,
        schema: &Schema,
    ) -> Result<Option<UsageLogSettings>, Problems> {
        let values = settings.section(schema, USAGE.name);
        let listen_address = values.address("listen");
        let Some(directory) = values.text("directory").map(PathBuf::from) else {
            return match listen_address {
                Some(_) => {
                    Err(values.problem("listen", "there is no log to collect without 'directory'"))
                }
                None => Ok(None),
            };
        };
        let segment_bytes = values.bytes("segment").unwrap_or(DEFAULT_SEGMENT_BYTES);
        if segment_bytes < MIN_SEGMENT_BYTES {
            return Err(values.problem("segment", "has to be 4KiB at least"));
        }
        let keep_bytes = values.bytes("keep").unwrap_or(DEFAULT_KEEP_BYTES);
        if keep_bytes < 2 * segment_bytes {
            return Err(values.problem(
                "keep",
                "has to be twice 'segment' at least, or no segment could ever be closed",
            ));
        }
        let mark_interval = values.time("mark").unwrap_or(DEFAULT_MARK_INTERVAL);
        if mark_interval < MIN_MARK_INTERVAL {
            return Err(values.problem("mark", "has to be 10ms at least"));
        }
        Ok(Some(UsageLogSettings {
            directory,
            segment_bytes,
            keep_bytes,
            queue_entries: values.count("queue").unwrap_or(DEFAULT_QUEUE_ENTRIES) as usize,
            max_reply_delay: values.time("stall").unwrap_or(DEFAULT_MAX_REPLY_DELAY),
            mark_interval,
            listen_address,
        }))
    }
}
