//! Reads the sections `[index NAME]`, each of which configures one index.

use super::schema::INDEX_SECTION;
use super::section::required_text;
use ini_config::{Problems, Schema, SectionValues, Settings};
use std::collections::BTreeMap;

/// Tolerance for the sum of the weights, which operators write with few digits.
const WEIGHT_SUM_TOLERANCE: f64 = 0.01;
/// Maximum difference between the last and the first shard number of a range.
const MAX_SHARD_RANGE: u32 = 100_000;

/// A shard of an index and its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardWeight {
    /// Number of the shard within the index.
    pub shard: u32,
    /// Weight of the shard, from 0 to 1. All weights of an index add up to about 1.
    pub weight: f64,
}

/// Settings of one index.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexSettings {
    /// Name of the class that queries to this index belong to.
    pub class: String,
    /// Shards of the index in the order of the settings, without duplicates.
    pub shards: Vec<ShardWeight>,
}

/// Error in the value of `shards`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum ShardListError {
    #[error("'{entry}' is not a shard number or a range of shard numbers")]
    NotShardNumber { entry: String },
    #[error(
        "'{entry}' is not a valid range: the last shard must be from 0 to {MAX_SHARD_RANGE} above the first"
    )]
    InvalidRange { entry: String },
    #[error("shard {shard} is listed more than once")]
    Duplicate { shard: u32 },
}

/// Error in the value of `weights`.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
enum WeightsError {
    #[error("'{text}' is not a comma-separated list of numbers")]
    NotNumbers { text: String },
    #[error("found {weights} weights for {shards} shards; expected one weight per shard")]
    CountMismatch { weights: usize, shards: usize },
    #[error("each weight must be from 0 to 1 and their sum must be 1; the sum is {sum}")]
    NotNormalized { sum: f64 },
}

/// Reads the settings of all indices, by name.
pub(super) fn read_indices(
    settings: &Settings,
    schema: &Schema,
) -> Result<BTreeMap<String, IndexSettings>, Problems> {
    let mut indices = BTreeMap::new();
    for name in settings.section_names(INDEX_SECTION.name) {
        let section = settings.named_section(schema, INDEX_SECTION.name, name);
        indices.insert(name.to_string(), read_index(&section, name)?);
    }
    Ok(indices)
}

fn read_index(section: &SectionValues, name: &str) -> Result<IndexSettings, Problems> {
    if !is_valid_index_name(name) {
        let reason = "the index name must consist of lowercase letters, digits, '-', '_' and '.', \
                      and must not start with '-' or '_'";
        return Err(section.problem("class", reason));
    }
    let class = required_text(section, "class")?.to_string();
    let shards = required_text(section, "shards")?;
    let shards = parse_shards(shards).map_err(|error| section.problem("shards", error))?;
    let weights = read_weights(section.text("weights"), shards.len())
        .map_err(|error| section.problem("weights", error))?;
    let shards = shards.into_iter().zip(weights);
    Ok(IndexSettings {
        class,
        shards: shards
            .map(|(shard, weight)| ShardWeight { shard, weight })
            .collect(),
    })
}

fn is_valid_index_name(name: &str) -> bool {
    let is_allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_.".contains(&byte);
    !name.starts_with(['_', '-']) && name.bytes().all(is_allowed)
}

/// Parses a list of shard numbers and ranges, for example `0-7,12`. Each shard may occur only once.
fn parse_shards(text: &str) -> Result<Vec<u32>, ShardListError> {
    let mut shards = Vec::new();
    for entry in text.split(',').map(str::trim) {
        let (first, last) = entry.split_once('-').unwrap_or((entry, entry));
        let first = parse_shard_number(first, entry)?;
        let last = parse_shard_number(last, entry)?;
        if first > last || last - first > MAX_SHARD_RANGE {
            let entry = entry.to_string();
            return Err(ShardListError::InvalidRange { entry });
        }
        shards.extend(first..=last);
    }
    let mut sorted_shards = shards.clone();
    sorted_shards.sort_unstable();
    match sorted_shards.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(ShardListError::Duplicate { shard: pair[0] }),
        None => Ok(shards),
    }
}

/// Parses a shard number, which is a part of the list entry `entry`.
fn parse_shard_number(text: &str, entry: &str) -> Result<u32, ShardListError> {
    text.trim()
        .parse()
        .map_err(|_| ShardListError::NotShardNumber {
            entry: entry.to_string(),
        })
}

/// Parses the weights of an index with `shard_count` shards. If `text` is `None`, all weights are
/// equal.
fn read_weights(text: Option<&str>, shard_count: usize) -> Result<Vec<f64>, WeightsError> {
    let weights = match text {
        Some(text) => parse_weights(text)?,
        None => vec![1.0 / shard_count as f64; shard_count],
    };
    check_weights(&weights, shard_count)?;
    Ok(weights)
}

fn parse_weights(text: &str) -> Result<Vec<f64>, WeightsError> {
    text.split(',')
        .map(|weight| weight.trim().parse())
        .collect::<Result<Vec<f64>, _>>()
        .map_err(|_| WeightsError::NotNumbers {
            text: text.to_string(),
        })
}

/// Checks the number of weights, their range and their sum.
fn check_weights(weights: &[f64], shard_count: usize) -> Result<(), WeightsError> {
    if weights.len() != shard_count {
        return Err(WeightsError::CountMismatch {
            weights: weights.len(),
            shards: shard_count,
        });
    }
    let sum: f64 = weights.iter().sum();
    let are_in_range = weights.iter().all(|weight| (0.0..=1.0).contains(weight));
    if !are_in_range || (sum - 1.0).abs() > WEIGHT_SUM_TOLERANCE {
        return Err(WeightsError::NotNormalized { sum });
    }
    Ok(())
}
