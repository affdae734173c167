//! Parsing of the load reports that leaf servers send with their responses.

use crate::api::LoadReport;

/// Returns the values of the fields that the settings name, in the order of the settings. A report
/// that is `-` or that lacks one of the fields yields no values.
pub(super) fn parse(report: &str, field_names: &[String]) -> LoadReport {
    let values: Option<LoadReport> = field_names
        .iter()
        .map(|name| find_value(report, name))
        .collect();
    values.unwrap_or_default()
}

fn find_value(report: &str, name: &str) -> Option<f32> {
    let pairs = report.split([',', ';']);
    let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(key, _)| key.trim() == name)?;
    let value: f32 = value.trim().parse().ok()?;
    value.is_finite().then_some(value)
}
