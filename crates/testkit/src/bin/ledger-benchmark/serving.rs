//! Measures the cost of the usage log while an aggregator serves queries.

use crate::error::BenchError;
use crate::load::{measure_under_load, p99_ms, LoadLevel, Slice, HISTOGRAM_DIGITS, LOAD_LEVELS};
use aggregator_testkit::installation::{Installation, InstallationOptions};
use aggregator_testkit::leaf::LeafOptions;
use hdrhistogram::Histogram;
use std::time::Duration;

const WARM_UP_SECONDS: u64 = 1;

/// Compares an installation with the usage log to one without it, under each level of load.
pub async fn measure(pairs: u64, seconds: u64) -> Result<(), BenchError> {
    let folder_off = tempfile::tempdir()?;
    let folder_on = tempfile::tempdir()?;
    let off = Installation::start(folder_off.path(), &options_without_log()).await?;
    let on = Installation::start(folder_on.path(), &options_with_log()).await?;
    for level in &LOAD_LEVELS {
        measure_level(&off, &on, level, pairs, seconds).await?;
    }
    Ok(())
}

fn options_with_log() -> InstallationOptions {
    InstallationOptions {
        has_usage_log: true,
        ..options_without_log()
    }
}

fn options_without_log() -> InstallationOptions {
    let leaf = LeafOptions {
        service_time: Duration::from_millis(4),
        capacity: 64,
    };
    InstallationOptions::new(1, leaf)
}

async fn measure_level(
    off: &Installation,
    on: &Installation,
    level: &LoadLevel,
    pairs: u64,
    seconds: u64,
) -> Result<(), BenchError> {
    measure_under_load(off, WARM_UP_SECONDS, level).await?;
    measure_under_load(on, WARM_UP_SECONDS, level).await?;
    let mut comparison = Comparison::new(level.name)?;
    for pair in 0..pairs {
        // The order alternates, so that a drift of the machine's speed favours neither.
        let (slice_on, slice_off) = if pair % 2 == 0 {
            let slice_on = measure_under_load(on, seconds, level).await?;
            (slice_on, measure_under_load(off, seconds, level).await?)
        } else {
            let slice_off = measure_under_load(off, seconds, level).await?;
            (measure_under_load(on, seconds, level).await?, slice_off)
        };
        print_pair(level.name, pair, &slice_off, &slice_on);
        comparison.add_pair(&slice_off, &slice_on)?;
    }
    comparison.print();
    Ok(())
}

fn print_pair(level: &str, pair: u64, off: &Slice, on: &Slice) {
    println!(
        "{level} load, pair {pair}: off {:.0} us per query, p99 {:.2} ms, {} queries; \
         on {:.0} us, {:.2} ms, {} queries",
        off.cpu_us_per_query,
        off.p99_ms(),
        off.queries,
        on.cpu_us_per_query,
        on.p99_ms(),
        on.queries
    );
}

/// Comparison of all pairs of slices under one level of load.
struct Comparison {
    level: &'static str,
    /// Ratio of the processor time per query with the log to that without it, for each pair.
    cpu_ratios: Vec<f64>,
    /// 99th percentile of the latency with the log minus that without it, for each pair.
    p99_differences_ms: Vec<f64>,
    cpu_us_off: Vec<f64>,
    cpu_us_on: Vec<f64>,
    latency_us_off: Histogram<u64>,
    latency_us_on: Histogram<u64>,
}

impl Comparison {
    fn new(level: &'static str) -> Result<Comparison, BenchError> {
        Ok(Comparison {
            level,
            cpu_ratios: Vec::new(),
            p99_differences_ms: Vec::new(),
            cpu_us_off: Vec::new(),
            cpu_us_on: Vec::new(),
            latency_us_off: Histogram::new(HISTOGRAM_DIGITS)?,
            latency_us_on: Histogram::new(HISTOGRAM_DIGITS)?,
        })
    }

    fn add_pair(&mut self, off: &Slice, on: &Slice) -> Result<(), BenchError> {
        self.cpu_ratios
            .push(on.cpu_us_per_query / off.cpu_us_per_query);
        self.p99_differences_ms.push(on.p99_ms() - off.p99_ms());
        self.cpu_us_off.push(off.cpu_us_per_query);
        self.cpu_us_on.push(on.cpu_us_per_query);
        self.latency_us_off.add(&off.latency_us)?;
        self.latency_us_on.add(&on.latency_us)?;
        Ok(())
    }

    fn print(&self) {
        let level = self.level;
        println!(
            "{level} load: processor time per query, ratio of on to off: {:.3} \
             (median of {} pairs; {:.3} to {:.3}); \
             {:.0} us on, {:.0} us off",
            median(&self.cpu_ratios),
            self.cpu_ratios.len(),
            minimum(&self.cpu_ratios),
            maximum(&self.cpu_ratios),
            median(&self.cpu_us_on),
            median(&self.cpu_us_off)
        );
        println!(
            "{level} load: p99 latency, on minus off: {:+.2} ms \
             (median of pairs; {:+.2} to {:+.2}); \
             over all slices {:.2} ms on, {:.2} ms off",
            median(&self.p99_differences_ms),
            minimum(&self.p99_differences_ms),
            maximum(&self.p99_differences_ms),
            p99_ms(&self.latency_us_on),
            p99_ms(&self.latency_us_off)
        );
    }
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or_default()
}

fn minimum(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::MAX, f64::min)
}

fn maximum(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::MIN, f64::max)
}
