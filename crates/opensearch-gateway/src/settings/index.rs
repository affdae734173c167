//! `[index NAME]`: an index with its class, shards and weights.

use super::schema::INDEX_SECTION;
use super::section::required_text;
use ini_config::{Problems, Schema, SectionValues, Settings};
use std::collections::BTreeMap;

/// Tolerance on the sum of weights, as operators write them with few digits.
const WEIGHT_SUM_TOLERANCE: f64 = 0.01;
/// Maximum difference between the last and the first shard of a range.
const MAX_SHARD_RANGE: u32 = 100_000;

/// A shard of an index, with its weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardWeight {
    /// The shard's number.
    pub shard: u32,
    /// The shard's weight; all weights of an index add up to 1.
    pub weight: f64,
}

/// One index.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexSettings {
    /// The name of the class of its queries.
    pub class: String,
    /// Its shards.
    pub shards: Vec<ShardWeight>,
}

/// Why the value of `shards` can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
enum ShardListError {
    #[error("'{entry}' is no number or range")]
    NotANumber { entry: String },
    #[error("'{entry}' is no range")]
    InvalidRange { entry: String },
    #[error("shard {shard} is named twice")]
    Duplicate { shard: u32 },
}

/// Why the value of `weights` can't be used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
enum WeightsError {
    #[error("have to be numbers")]
    NotANumber { text: String },
    #[error("are {weights}, and there are {shards} shards")]
    CountMismatch { weights: usize, shards: usize },
    #[error("have to be shares that add up to 1")]
    NotShares { sum: f64 },
}

/// Reads all indices.
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
        let reason = "an index's name has small letters, digits, '-', '_' and '.'";
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

/// Parses shard numbers and ranges, as in `0-7,12`. Each shard may occur once.
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
    let mut sorted = shards.clone();
    sorted.sort_unstable();
    match sorted.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(ShardListError::Duplicate { shard: pair[0] }),
        None => Ok(shards),
    }
}

fn parse_shard_number(text: &str, entry: &str) -> Result<u32, ShardListError> {
    text.trim().parse().map_err(|_| ShardListError::NotANumber {
        entry: entry.to_string(),
    })
}

/// The weights of an index with `shards` shards; equal weights if there is no text.
fn read_weights(text: Option<&str>, shards: usize) -> Result<Vec<f64>, WeightsError> {
    let weights = match text {
        Some(text) => parse_weights(text)?,
        None => vec![1.0 / shards as f64; shards],
    };
    check_weights(&weights, shards)?;
    Ok(weights)
}

fn parse_weights(text: &str) -> Result<Vec<f64>, WeightsError> {
    text.split(',')
        .map(|weight| weight.trim().parse())
        .collect::<Result<Vec<f64>, _>>()
        .map_err(|_| WeightsError::NotANumber {
            text: text.to_string(),
        })
}

fn check_weights(weights: &[f64], shards: usize) -> Result<(), WeightsError> {
    if weights.len() != shards {
        let weights = weights.len();
        return Err(WeightsError::CountMismatch { weights, shards });
    }
    let sum: f64 = weights.iter().sum();
    let are_shares = weights.iter().all(|weight| (0.0..=1.0).contains(weight));
    if !are_shares || (sum - 1.0).abs() > WEIGHT_SUM_TOLERANCE {
        return Err(WeightsError::NotShares { sum });
    }
    Ok(())
}
