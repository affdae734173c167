//! Requests that are incomplete when their connection is closed, over loopback sockets: at a
//! shutdown, and when a client is evicted to make room for a new one.

mod support;

use support::engine_harness::SETTINGS;
use support::socket_harness::client::{
    connect_client, expect_clean_close, query_request, read_response, send_query,
};
use support::socket_harness::leaf_server::LeafServerConnection;
use support::socket_harness::run_scenario;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Duration};

/// File descriptors of the aggregator.
const DESCRIPTORS: usize = 100;
/// Number of clients for which these descriptors suffice.
const CLIENT_CAPACITY: usize = 45;

async fn answer_query(leaf: &mut LeafServerConnection, client: &mut TcpStream, name: &str) {
    send_query(client, name).await;
    let call = leaf.next_call().await;
    leaf.send_result(&call.id).await;
    let response = read_response(client).await;
    assert!(response.head.starts_with("HTTP/1.1 200"), "{response:?}");
}

/// Sends the first half of a request and returns the second half.
async fn send_first_half(client: &mut TcpStream) -> String {
    let request = query_request("half", "");
    let (first, rest) = request.split_at(request.len() / 2);
    client.write_all(first.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(10)).await;
    rest.to_string()
}

async fn expect_no_frame(leaf: &mut LeafServerConnection) {
    let frame = timeout(Duration::from_secs(20), leaf.next_frame()).await;
    assert!(matches!(frame, Err(_) | Ok(None)), "{frame:?}");
}

/// Expects that a connection is closed, and that the rest of a request that crosses the close does
/// not reset the connection.
async fn expect_rest_discarded(client: &mut TcpStream, rest: &str) {
    expect_clean_close(client).await;
    client.write_all(rest.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    expect_clean_close(client).await;
}

/// Time from the shutdown request to the end of the drain period.
const DRAIN_PERIOD: Duration = Duration::from_millis(500);
/// Time for which a request is in transit when the drain period ends.
const TRANSIT_TIME: Duration = Duration::from_millis(50);

/// Sends the rest of a request shortly after the drain period and expects an answer.
async fn expect_answer_after_drain_period(
    client: &mut TcpStream,
    leaf: &TcpListener,
    name: &str,
    rest: &str,
) {
    sleep(DRAIN_PERIOD + TRANSIT_TIME).await;
    client.write_all(rest.as_bytes()).await.unwrap();
    let mut leaf = LeafServerConnection::accept(leaf).await;
    let call = leaf.next_call().await;
    leaf.send_result(&call.id).await;
    let response = read_response(client).await;
    assert!(
        response.body.contains(&format!("{name}.3")) && response.head.contains("Connection: close"),
        "{response:?}"
    );
}

#[test]
fn a_first_request_that_crosses_the_close_of_its_connection_is_not_reset() {
    run_scenario(SETTINGS, DESCRIPTORS, |harness| async move {
        let mut at_shutdown = connect_client(harness.aggregator).await;
        harness.request_shutdown().await;
        let request = query_request("crossing", "");
        expect_rest_discarded(&mut at_shutdown, &request).await;
    });
    run_scenario(SETTINGS, DESCRIPTORS, |harness| async move {
        let mut silent = connect_client(harness.aggregator).await;
        let request = query_request("crossing", "");
        expect_rest_discarded(&mut silent, &request).await;
    });
}

/// Requests that are incomplete when a shutdown begins.
mod shutdown {
    use super::{
        expect_answer_after_drain_period, expect_no_frame, expect_rest_discarded, send_first_half,
        DESCRIPTORS,
    };
    use crate::support::engine_harness::SETTINGS;
    use crate::support::socket_harness::client::{
        connect_client, expect_clean_close, query_request, read_response, served_client,
    };
    use crate::support::socket_harness::run_scenario;
    use tokio::io::AsyncWriteExt;
    use tokio::time::{sleep, timeout, Duration};

    #[test]
    fn request_completed_too_late_is_neither_forwarded_nor_reset() {
        run_scenario(SETTINGS, DESCRIPTORS, |harness| async move {
            let (mut client, mut leaf) = served_client(&harness, "first").await;
            let rest = send_first_half(&mut client).await;
            harness.request_shutdown().await;
            expect_rest_discarded(&mut client, &rest).await;
            drop(client);
            harness.expect_exit().await;
            expect_no_frame(&mut leaf).await;
        });
    }

    #[test]
    fn request_completed_within_the_drain_period_is_answered() {
        run_scenario(SETTINGS, DESCRIPTORS, |harness| async move {
            let (mut client, mut leaf) = served_client(&harness, "first").await;
            let rest = send_first_half(&mut client).await;
            harness.request_shutdown().await;
            sleep(Duration::from_millis(400)).await;
            client.write_all(rest.as_bytes()).await.unwrap();
            let call = leaf.next_call().await;
            assert_eq!(call.id, "half.3");
            leaf.send_result(&call.id).await;
            let response = read_response(&mut client).await;
            assert!(response.body.contains("half.3"), "{response:?}");
        });
    }

    #[test]
    fn incomplete_first_request_ends_without_a_reset() {
        run_scenario(SETTINGS, DESCRIPTORS, |harness| async move {
            let mut client = connect_client(harness.aggregator).await;
            send_first_half(&mut client).await;
            harness.request_shutdown().await;
            expect_clean_close(&mut client).await;
            let connection = timeout(Duration::from_secs(20), harness.leaf.accept()).await;
            assert!(
                connection.is_err(),
                "expected no connection to the leaf server"
            );
        });
    }

    #[test]
    fn first_request_on_a_new_connection_is_answered() {
        run_scenario(SETTINGS, DESCRIPTORS, |harness| async move {
            let mut client = connect_client(harness.aggregator).await;
            harness.request_shutdown().await;
            let request = query_request("first", "");
            expect_answer_after_drain_period(&mut client, &harness.leaf, "first", &request).await;
        });
    }

    #[test]
    fn request_that_is_half_read_at_the_close_is_answered() {
        run_scenario(SETTINGS, DESCRIPTORS, |harness| async move {
            let mut client = connect_client(harness.aggregator).await;
            let rest = send_first_half(&mut client).await;
            harness.request_shutdown().await;
            expect_answer_after_drain_period(&mut client, &harness.leaf, "half", &rest).await;
        });
    }
}

/// Requests that are incomplete when their client is evicted to make room for a new one.
mod eviction {
    use super::{
        answer_query, expect_no_frame, expect_rest_discarded, send_first_half, CLIENT_CAPACITY,
        DESCRIPTORS,
    };
    use crate::support::engine_harness::SETTINGS;
    use crate::support::socket_harness::client::{connect_client, served_client};
    use crate::support::socket_harness::run_scenario;

    #[test]
    fn request_completed_afterwards_is_neither_forwarded_nor_reset() {
        run_scenario(SETTINGS, DESCRIPTORS, |harness| async move {
            let (mut client, mut leaf) = served_client(&harness, "first").await;
            let rest = send_first_half(&mut client).await;
            let mut others = Vec::new();
            for number in 0..CLIENT_CAPACITY {
                let mut other = connect_client(harness.aggregator).await;
                answer_query(&mut leaf, &mut other, &format!("other-{number}")).await;
                others.push(other);
            }
            expect_rest_discarded(&mut client, &rest).await;
            expect_no_frame(&mut leaf).await;
        });
    }
}
