//! Parses URL parameters.

use crate::error::GatewayError;
use crate::query_dsl::{parse_time_value_ms, TrackTotalHits};

/// Prefix of a `preference` that selects shards.
const SHARDS_PREFERENCE_PREFIX: &str = "_shards:";

/// The supported URL parameters of a request; `None` for each missing parameter.
#[derive(Clone, Debug, Default)]
pub(super) struct UrlParameters {
    pub(super) from: Option<u64>,
    pub(super) size: Option<u64>,
    pub(super) timeout_ms: Option<u64>,
    pub(super) track_total_hits: Option<TrackTotalHits>,
    /// The shards selected by `preference`, or `None` to search all shards of the index.
    pub(super) shards: Option<Vec<u32>>,
    pub(super) allow_partial_search_results: Option<bool>,
}

impl UrlParameters {
    /// Parses the query string of a URL. Error responses include `path`.
    pub(super) fn parse(path: &str, query: Option<&str>) -> Result<UrlParameters, GatewayError> {
        let mut parameters = UrlParameters::default();
        let pairs = query.unwrap_or_default().split('&');
        for pair in pairs.filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value = decode(value);
            parameters.set(path, Parameter { name, value })?;
        }
        Ok(parameters)
    }

    fn set(&mut self, path: &str, parameter: Parameter) -> Result<(), GatewayError> {
        match parameter.name {
            "from" => self.from = Some(parameter.number()?),
            "size" => self.size = Some(parameter.number()?),
            "timeout" => self.timeout_ms = Some(parameter.time_ms()?),
            "track_total_hits" => self.track_total_hits = Some(parameter.track_total_hits()?),
            "allow_partial_search_results" => {
                self.allow_partial_search_results = Some(parameter.flag()?);
            }
            "preference" => self.shards = Some(parameter.shards()?),
            // Ignored, because these parameters affect only the formatting of the response.
            "pretty" | "human" | "error_trace" => {}
            _ => {
                return Err(GatewayError::UnknownParameter {
                    path: path.to_string(),
                    name: parameter.name.to_string(),
                })
            }
        }
        Ok(())
    }
}

/// Decodes escaped colons and commas, the only characters that need escaping in valid values.
fn decode(value: &str) -> String {
    value
        .replace("%3A", ":")
        .replace("%3a", ":")
        .replace("%2C", ",")
        .replace("%2c", ",")
}

/// One parameter with its decoded value.
struct Parameter<'a> {
    name: &'a str,
    value: String,
}

impl Parameter<'_> {
    fn invalid(&self) -> GatewayError {
        GatewayError::InvalidParameter {
            name: self.name.to_string(),
            value: self.value.clone(),
        }
    }

    fn number(&self) -> Result<u64, GatewayError> {
        self.value.parse().map_err(|_| self.invalid())
    }

    /// Parses a flag. An empty value means `true`.
    fn flag(&self) -> Result<bool, GatewayError> {
        match self.value.as_str() {
            "" | "true" => Ok(true),
            "false" => Ok(false),
            _ => Err(self.invalid()),
        }
    }

    fn time_ms(&self) -> Result<u64, GatewayError> {
        parse_time_value_ms(&self.value).ok_or_else(|| self.invalid())
    }

    fn track_total_hits(&self) -> Result<TrackTotalHits, GatewayError> {
        match self.number() {
            Ok(max_value) => Ok(TrackTotalHits::UpTo(max_value)),
            Err(_) => self.flag().map(TrackTotalHits::Enabled),
        }
    }

    /// Parses a list of shards, for example `_shards:0,2`. Ignores a further preference, which may
    /// follow after `|`.
    fn shards(&self) -> Result<Vec<u32>, GatewayError> {
        let preference = self
            .value
            .strip_prefix(SHARDS_PREFERENCE_PREFIX)
            .ok_or_else(|| self.invalid())?;
        let shards = preference.split('|').next().unwrap_or_default();
        shards
            .split(',')
            .map(|shard| shard.parse().map_err(|_| self.invalid()))
            .collect()
    }
}
