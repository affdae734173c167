//! Client connections that linger after the last response while new clients need their capacity,
//! over loopback sockets.

mod support;

use support::engine_harness::SETTINGS;
use support::socket_harness::client::{connect_client, query_request, read_response, send_query};
use support::socket_harness::leaf_server::LeafServerConnection;
use support::socket_harness::{run_scenario, HANG_TIMEOUT};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, timeout, Duration};

/// File descriptors of the aggregator.
const DESCRIPTORS: usize = 40;
/// Number of clients for which these descriptors suffice.
const CLIENT_CAPACITY: usize = 18;
/// Long enough for bytes in transit to arrive, and far shorter than the linger timeout.
const SHORT_PAUSE: Duration = Duration::from_millis(20);

#[test]
fn the_last_responses_of_lingering_clients_are_not_lost_to_a_new_client() {
    run_scenario(SETTINGS, DESCRIPTORS, |harness| async move {
        let mut lingering = Vec::new();
        tokio::task::spawn_local(async move {
            LeafServerConnection::accept(&harness.leaf)
                .await
                .serve()
                .await
        });
        for number in 0..CLIENT_CAPACITY {
            let mut client = connect_client(harness.aggregator).await;
            let request = query_request(&format!("n{number}"), "Connection: close\r\n");
            client.write_all(request.as_bytes()).await.unwrap();
            sleep(SHORT_PAUSE).await;
            // This request crosses the end of the connection and is discarded.
            let crossing = query_request("crossing", "");
            client.write_all(crossing.as_bytes()).await.unwrap();
            sleep(SHORT_PAUSE).await;
            lingering.push(client);
        }
        let mut new = connect_client(harness.aggregator).await;
        send_query(&mut new, "new").await;
        let response = read_response(&mut new).await;
        assert!(response.body.contains("new.3"), "{response:?}");
        for (number, client) in lingering.iter_mut().enumerate() {
            let response = read_response(client).await;
            let expected = format!("n{number}.3");
            assert!(response.body.contains(&expected), "{response:?}");
            let end = timeout(HANG_TIMEOUT, client.read(&mut [0])).await;
            let end = end
                .expect("the connection should end in time")
                .map_err(|error| error.kind());
            assert_eq!(end, Ok(0));
            let error = client.take_error().unwrap();
            assert!(
                error.is_none(),
                "expected no reset of client {number}: {error:?}"
            );
        }
    });
}
