//! Settings of the ledger and options of the installation.

use crate::receiver::RestartableReceiver;
use aggregator_testkit::installation::{InstallationOptions, CLASSES};
use aggregator_testkit::leaf::LeafOptions;
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

/// Returns the options of the installation.
pub fn installation_options(seed: u64, ledger_settings: String) -> InstallationOptions {
    let leaf = LeafOptions {
        service_time: Duration::from_millis(9),
        capacity: 3,
    };
    InstallationOptions {
        has_usage_log: true,
        ledger_settings,
        ..InstallationOptions::new(seed, leaf)
    }
}

/// Returns the ledger's settings: periods, export, an allowance, and the prices of all classes.
pub fn ledger_settings(
    period_seconds: u64,
    receiver: &RestartableReceiver,
    documents_folder: &Path,
) -> String {
    let address = receiver.address;
    let mut settings = format!(
        "[periods]\nevery = {period_seconds}s\nhorizon = 2s\nskew = 100ms\ngrace = 120s\n\n\
         [export]\nurl = http://{address}/documents\n\
         folder = {}\ntimeout = 300ms\nagain = 50ms\n\n[tenant alpha]\nallowance = 100\n\n",
        documents_folder.display()
    );
    for (index, class) in CLASSES.iter().enumerate() {
        let _ = write!(
            settings,
            "[price {}]\nwhole = {}\npartial = {}\n\n",
            class.name,
            100 * (index + 1),
            90 * (index + 1)
        );
    }
    settings
}
