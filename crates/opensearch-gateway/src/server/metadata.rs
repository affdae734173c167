//! Responses that describe the cluster and its indices.
//!
//! Clients use these responses to identify the server, so the names and versions in them must not
//! change.

use super::context::{Gateway, Index};
use crate::settings::{GatewaySettings, IndexSettings};
use serde_json::{json, Value};

/// Returns the body of the response to `GET /`.
pub(super) fn cluster_info(gateway: &Gateway) -> Value {
    json!({
        "name": "mixer",
        "cluster_name": gateway.settings.cluster_name,
        "cluster_uuid": gateway.instance_id,
        "version": {
            "distribution": "opensearch",
            "number": "2.11.0",
            // An earlier name of this program, which clients use to recognize it.
            "build_type": "cottonhill",
            "minimum_wire_compatibility_version": "7.10.0",
            "minimum_index_compatibility_version": "7.0.0",
        },
        "tagline": "a query mixer",
    })
}

/// Returns the body of the response to `GET /_cluster/health`.
pub(super) fn cluster_health(settings: &GatewaySettings) -> Value {
    let indices = settings.indices.values();
    let shards: usize = indices.map(|index| index.shards.len()).sum();
    json!({
        "cluster_name": settings.cluster_name,
        "status": "green",
        "timed_out": false,
        "number_of_nodes": 1,
        "active_primary_shards": shards,
        "active_shards": shards,
        "unassigned_shards": 0,
    })
}

/// Returns the body of the response to `GET /_cat/indices`.
pub(super) fn list_indices(settings: &GatewaySettings) -> Value {
    let describe = |(name, index): (&String, &IndexSettings)| {
        let shards = index.shards.len().to_string();
        json!({"health": "green", "status": "open", "index": name, "pri": shards})
    };
    settings.indices.iter().map(describe).collect()
}

/// Returns the body of the response to `GET /INDEX`.
pub(super) fn index_settings(index: Index) -> Value {
    let shards = index.settings.shards.len().to_string();
    let settings = json!({"index": {"number_of_shards": shards}});
    json!({index.name: {"settings": settings}})
}
