//! Retries of parts after the connection to the leaf server was lost, over loopback sockets.

mod support;

use support::engine_harness::SETTINGS;
use support::socket_harness::client::{
    connect_client, query_request, read_response, send_query, HttpResponse,
};
use support::socket_harness::leaf_server::{LeafServerConnection, ReceivedCall};
use support::socket_harness::run_scenario;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Duration};

/// Resets a connection, as a crash would. Bytes that the peer has not read are lost.
fn reset(stream: TcpStream) {
    stream.set_zero_linger().unwrap();
    drop(stream);
}

#[test]
fn a_non_idempotent_part_that_may_have_run_is_not_retried() {
    let settings = SETTINGS.replace(
        "classes.1.semantics=read_like",
        "classes.1.semantics=non_idempotent",
    );
    run_scenario(&settings, 100, |harness| async move {
        let mut client = connect_client(harness.aggregator).await;
        send_query(&mut client, "h1").await;
        let mut leaf = LeafServerConnection::accept(&harness.leaf).await;
        assert_eq!(leaf.next_call().await.id, "h1.3");
        reset(leaf.stream);
        let HttpResponse { head, .. } = read_response(&mut client).await;
        assert!(
            head.starts_with("HTTP/1.1 504") && !head.contains("Retry-After"),
            "{head}"
        );
        let again = timeout(Duration::from_secs(20), harness.leaf.accept()).await;
        assert!(again.is_err(), "expected no retry: {again:?}");
    });
}

#[test]
fn an_idempotent_part_is_retried_with_the_time_that_is_left() {
    run_scenario(SETTINGS, 100, |harness| async move {
        let mut client = connect_client(harness.aggregator).await;
        client
            .write_all(query_request("i1", "X-Timeout: 2000m\r\n").as_bytes())
            .await
            .unwrap();
        let mut leaf = LeafServerConnection::accept(&harness.leaf).await;
        let ReceivedCall {
            id,
            wait_ms: first_wait_ms,
        } = leaf.next_call().await;
        assert!(
            first_wait_ms <= 2000,
            "call states a wait of {first_wait_ms} ms, expected at most 2000 ms"
        );
        sleep(Duration::from_millis(700)).await;
        reset(leaf.stream);
        let mut leaf = LeafServerConnection::accept(&harness.leaf).await;
        let ReceivedCall { id: again, wait_ms } = leaf.next_call().await;
        assert!(
            again == id && wait_ms <= 1300,
            "call states a wait of {wait_ms} ms, expected the same id and at most 1300 ms"
        );
        leaf.send_result(&id).await;
        assert!(read_response(&mut client).await.body.contains("i1.3"));
    });
}
