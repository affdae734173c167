//! The guarantees of the engine to clients and leaf servers, with one behavior per test. The tests
//! apply inputs directly, without sockets.

mod attempts;
mod clients;
mod connections;
mod endpoints;
mod malformed_responses;
mod queries;
mod reused_ids;
mod shutdown;
mod shutdown_deadlines;
#[path = "../support/mod.rs"]
mod support;
mod unsent_attempts;

use aggregator_core::engine::{ConnectionId, Effect, Input};
use aggregator_core::protocol::leaf::LeafRequest;
use aggregator_core::protocol::query::QueryReply;
use support::engine_harness::{EngineHarness, MS};

/// Returns the connection of each part that was sent, in order.
fn sent_parts(harness: &EngineHarness) -> Vec<ConnectionId> {
    let mut connections = Vec::new();
    for sent in &harness.frames {
        if let LeafRequest::Call(parts) = &sent.frame {
            connections.extend(parts.iter().map(|_| sent.connection));
        }
    }
    connections
}

/// Returns whether a reply is a rejection with a `Retry-After` that the settings allow.
fn is_rejected(reply: Option<&QueryReply>) -> bool {
    matches!(reply, Some(QueryReply::Rejected { retry_after: Some(after) }) if (1..=500 * MS).contains(after))
}

fn is_complete(reply: Option<&QueryReply>) -> bool {
    matches!(reply, Some(QueryReply::Answer { complete: true, .. }))
}

/// Applies the inputs as one batch and returns the frames that are written at its end.
fn frames_of_batch(harness: &mut EngineHarness, inputs: Vec<Input>) -> Vec<Effect> {
    let now = harness.now;
    let inputs = inputs.into_iter().chain([Input::BatchEnded]);
    let effects = inputs.flat_map(|input| harness.engine.apply(now, input));
    effects
        .filter(|effect| matches!(effect, Effect::WriteFrame { .. }))
        .collect()
}

/// Returns a snapshot of the endpoint list that contains only this replica.
fn snapshot_of_one(replica: u64, address: &str) -> Input {
    let line = serde_json::json!(
        {"name": format!("s-{replica}"), "address": address, "group": 0, "status": "up"});
    let snapshot = serde_json::json!({"index": 9, "snapshot": true, "endpoints": [line]});
    Input::EndpointsUpdated(serde_json::from_value(snapshot).expect("valid endpoint list"))
}
