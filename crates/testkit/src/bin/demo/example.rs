//! Example query and its answer.

use crate::output::print_line;
use aggregator_testkit::client::{
    consecutive_shards, ClientAttempt, ClientOutcome, ClientQuery, HttpConnection,
};
use aggregator_testkit::installation::{SHARDS, TENANTS};
use std::net::SocketAddr;
use std::time::Duration;

const EXAMPLE_CLASS: &str = "chart-ranking";
const EXAMPLE_FIRST_SHARD: u32 = 3;
const EXAMPLE_SHARDS: u32 = 2;
const EXAMPLE_TIMEOUT: Duration = Duration::from_millis(900);
const EXAMPLE_TEXT: &str = "c41e77d0";

/// Sends the example query and prints its answer.
pub async fn print_example_answer(address: SocketAddr) {
    let query = ClientQuery {
        class: EXAMPLE_CLASS.into(),
        tenant: TENANTS[0].into(),
        shards: consecutive_shards(EXAMPLE_FIRST_SHARD, EXAMPLE_SHARDS, SHARDS),
        text: EXAMPLE_TEXT.into(),
        idempotency_key: None,
    };
    let attempt = ClientAttempt {
        request_id: "demo-example",
        is_retry: false,
        timeout: EXAMPLE_TIMEOUT,
        late_tolerance: Duration::ZERO,
    };
    print_line(&format!(
        "\nOne query of class {EXAMPLE_CLASS} and its answer:"
    ));
    match HttpConnection::new(address).query(&query, &attempt).await {
        ClientOutcome::Answered { is_complete, hits } => {
            print_line(&format!("  complete: {is_complete}"));
            for hit in hits {
                print_line(&format!("  shard {}: {}", hit.shard, hit.document));
            }
        }
        other => print_line(&format!("  no answer: {other:?}")),
    }
}
