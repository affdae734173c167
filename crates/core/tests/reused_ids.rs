//! Clients that give a query the id of another client's query, over loopback sockets.

mod support;

use support::engine_harness::SETTINGS;
use support::socket_harness::client::{connect_client, read_response, send_query};
use support::socket_harness::leaf_server::LeafServerConnection;
use support::socket_harness::run_scenario;
use tokio::time::{sleep, Duration};

/// Time in which an id cannot be used again after the query with this id has ended.
const REUSE_DELAY: Duration = Duration::from_secs(1);
/// Time for which the leaf server works on a part.
const WORK_TIME: Duration = Duration::from_secs(2);

/// Guards against a client that is served the value that was made for another one: that client had
/// the same id and has disconnected while its part was executed.
#[test]
fn a_client_is_not_served_the_value_of_another_one_with_the_same_id() {
    run_scenario(SETTINGS, 100, |harness| async move {
        let mut first_client = connect_client(harness.aggregator).await;
        send_query(&mut first_client, "same").await;
        let mut first_leaf = LeafServerConnection::accept(&harness.leaf).await;
        assert_eq!(first_leaf.next_call().await.id, "same.3");
        drop(first_client);
        sleep(REUSE_DELAY).await;

        let mut second_client = connect_client(harness.aggregator).await;
        send_query(&mut second_client, "same").await;
        let mut second_leaf = LeafServerConnection::accept(&harness.leaf).await;
        assert_eq!(second_leaf.next_call().await.id, "same.3");
        sleep(WORK_TIME - REUSE_DELAY).await;
        first_leaf.send_value("same.3", "of-another").await;
        sleep(Duration::from_millis(10)).await;
        second_leaf.send_result("same.3").await;
        let response = read_response(&mut second_client).await;
        assert!(
            response.body.contains("\"same.3\""),
            "expected the value made for the second client: {response:?}"
        );
    });
}
