//! Files with the counters of the aggregators, in the format that `ledger reconcile` reads.

use aggregator_testkit::http::get;
use aggregator_testkit::installation::Installation;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// File with the counters of one aggregator.
pub struct StatsFile {
    /// Name of the aggregator.
    pub aggregator: String,
    /// Path of the file.
    pub path: PathBuf,
}

/// Saves the counters of each aggregator, as returned by `GET /-/stats`, to a file in `folder`. The
/// file is empty if the aggregator does not respond.
pub async fn save_all(installation: &Installation, folder: &Path) -> io::Result<Vec<StatsFile>> {
    let mut files = Vec::new();
    for aggregator in &installation.aggregators {
        let response = get(aggregator.address, "/-/stats").await;
        let path = folder.join(format!("{}.stats", aggregator.name));
        fs::write(
            &path,
            response.map(|response| response.body).unwrap_or_default(),
        )?;
        files.push(StatsFile {
            aggregator: aggregator.name.clone(),
            path,
        });
    }
    Ok(files)
}
