//! Files with the counters of `GET /-/stats`, which `ledger reconcile` reads.

use aggregator_testkit::http::get;
use aggregator_testkit::installation::Installation;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

/// The file with the counters of one aggregator.
pub struct StatsFile {
    /// The aggregator's name.
    pub aggregator: String,
    /// The path of the file.
    pub path: PathBuf,
}

/// Saves the counters of all aggregators to files.
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
