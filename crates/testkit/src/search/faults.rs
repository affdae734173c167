//! Faults in the responses of shards, which a search requests by an otherwise unused `min_score`.

use serde_json::{json, Value};

/// Number of the shard that responds with the requested fault.
pub const FAULTED_SHARD: u32 = 13;

/// Fault in the responses of shards.
///
/// The variants are declared in the alphabetical order of their labels, and reports list them in
/// this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShardFault {
    /// Every shard responds with an error.
    ErrorFromEveryShard,
    /// The faulted shard responds with an error.
    ErrorFromOneShard,
    /// The faulted shard reports that its search timed out.
    TimedOut,
    /// The response of the faulted shard is truncated in the middle.
    Truncated,
    /// The hits of the faulted shard have no sort values, and its aggregations are missing.
    MissingFields,
}

impl ShardFault {
    /// All faults, in the order in which they are drawn at random.
    pub const ALL: [ShardFault; 5] = [
        ShardFault::ErrorFromOneShard,
        ShardFault::ErrorFromEveryShard,
        ShardFault::TimedOut,
        ShardFault::Truncated,
        ShardFault::MissingFields,
    ];

    /// Returns the `min_score` that requests this fault.
    pub fn min_score(self) -> f64 {
        match self {
            ShardFault::ErrorFromOneShard => 0.5,
            ShardFault::ErrorFromEveryShard => 0.25,
            ShardFault::TimedOut => 0.125,
            ShardFault::Truncated => 0.0625,
            ShardFault::MissingFields => 0.03125,
        }
    }

    /// Returns the name of this fault in reports.
    pub fn label(self) -> &'static str {
        match self {
            ShardFault::ErrorFromOneShard => "error from one shard",
            ShardFault::ErrorFromEveryShard => "error from every shard",
            ShardFault::TimedOut => "search timed out",
            ShardFault::Truncated => "truncated response",
            ShardFault::MissingFields => "without sort values or aggregations",
        }
    }

    /// Returns the fault that a search requests, if any.
    pub fn requested_by(search: &Value) -> Option<ShardFault> {
        let min_score = search.get("min_score").and_then(Value::as_f64)?;
        ShardFault::ALL
            .into_iter()
            .find(|fault| fault.min_score() == min_score)
    }

    /// Applies the fault to the correct response of `shard`.
    pub(super) fn apply(self, shard: u32, mut response: Value) -> String {
        if self != ShardFault::ErrorFromEveryShard && shard != FAULTED_SHARD {
            return response.to_string();
        }
        match self {
            ShardFault::ErrorFromEveryShard | ShardFault::ErrorFromOneShard => error_response(),
            ShardFault::TimedOut => {
                response["timed_out"] = json!(true);
                response.to_string()
            }
            ShardFault::Truncated => {
                let mut text = response.to_string();
                text.truncate(text.len() / 2);
                text
            }
            ShardFault::MissingFields => {
                json!({"hits": {"hits": [{"_id": "x", "_score": null}]}}).to_string()
            }
        }
    }
}

fn error_response() -> String {
    let cause = json!({"root_cause": [], "type": "query_shard_exception", "reason": "on cue"});
    json!({"error": cause, "status": 400}).to_string()
}
