//! Events that cross each other on loopback sockets: a client that disconnects, a connection that
//! is closed while bytes are in transit, a shutdown between two requests. The test acts as all
//! other processes, so it controls the order of events.

mod support;

use support::socket_harness::leaf_server::LeafServerConnection;
use support::socket_harness::HANG_TIMEOUT;
use tokio::net::TcpStream;
use tokio::time::{timeout, Duration, Instant};

/// Returns all further frames to a leaf server, until none has arrived for 20 s.
async fn remaining_frames(leaf: &mut LeafServerConnection) -> Vec<String> {
    let mut frames = Vec::new();
    while let Ok(Some(frame)) = timeout(Duration::from_secs(20), leaf.next_frame()).await {
        frames.push(frame);
    }
    frames
}

/// Disconnects a client whose first query is in flight. Expects that the leaf server gets
/// `cancel_frame` for this query, and that the client's other queries are not forwarded.
async fn expect_cancelled_at_disconnect(
    client: TcpStream,
    leaf: &mut LeafServerConnection,
    cancel_frame: &str,
) {
    let disconnected = Instant::now();
    drop(client);
    assert_eq!(
        timeout(HANG_TIMEOUT, leaf.next_frame()).await.unwrap(),
        Some(cancel_frame.into())
    );
    assert!(
        disconnected.elapsed() < Duration::from_millis(100),
        "the query was cancelled after {:?}, expected less than 100 ms",
        disconnected.elapsed()
    );
    assert_eq!(
        remaining_frames(leaf).await,
        [""; 0],
        "expected no frames for the other queries of the client"
    );
}

/// A client that disconnects while its query is in flight.
mod client_disconnect {
    use super::expect_cancelled_at_disconnect;
    use crate::support::engine_harness::SETTINGS;
    use crate::support::socket_harness::client::{connect_client, query_request};
    use crate::support::socket_harness::leaf_server::LeafServerConnection;
    use crate::support::socket_harness::run_scenario;
    use tokio::io::AsyncWriteExt;

    #[test]
    fn is_noticed_at_once_behind_pipelined_requests() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let mut client = connect_client(harness.aggregator).await;
            let requests =
                query_request("a1", "") + &query_request("a2", "") + &query_request("a3", "");
            client.write_all(requests.as_bytes()).await.unwrap();
            let mut leaf = LeafServerConnection::accept(&harness.leaf).await;
            assert_eq!(leaf.next_call().await.id, "a1.3");
            expect_cancelled_at_disconnect(client, &mut leaf, "Xa1.3").await;
        });
    }

    #[test]
    fn is_noticed_behind_more_requests_than_are_read_ahead() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let mut client = connect_client(harness.aggregator).await;
            let many: String = (0..2000)
                .map(|number| query_request(&format!("a{number}"), ""))
                .collect();
            client.write_all(many.as_bytes()).await.unwrap();
            let mut leaf = LeafServerConnection::accept(&harness.leaf).await;
            assert_eq!(leaf.next_call().await.id, "a0.3");
            expect_cancelled_at_disconnect(client, &mut leaf, "Xa0.3").await;
        });
    }
}

/// Requests that a client sends before it has the response to an earlier one.
mod pipelining {
    use crate::support::engine_harness::SETTINGS;
    use crate::support::socket_harness::client::{connect_client, query_request, read_response};
    use crate::support::socket_harness::leaf_server::{LeafServerConnection, ReceivedCall};
    use crate::support::socket_harness::run_scenario;
    use tokio::io::AsyncWriteExt;
    use tokio::time::{sleep, Duration};

    #[test]
    fn timeout_of_a_request_runs_while_another_is_open() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let mut client = connect_client(harness.aggregator).await;
            let both = query_request("b1", "") + &query_request("b2", "X-Timeout: 1500m\r\n");
            client.write_all(both.as_bytes()).await.unwrap();
            let mut leaf = LeafServerConnection::accept(&harness.leaf).await;
            let first = leaf.next_call().await.id;
            sleep(Duration::from_millis(300)).await;
            leaf.send_result(&first).await;
            assert!(read_response(&mut client).await.body.contains("b1.3"));
            let ReceivedCall {
                id: second,
                wait_ms,
            } = leaf.next_call().await;
            assert_eq!(second, "b2.3");
            assert!(
                wait_ms <= 1200,
                "call states a wait of {wait_ms} ms, expected at most 1200 ms"
            );
            leaf.send_result(&second).await;
            assert!(read_response(&mut client).await.body.contains("b2.3"));
        });
    }
}

/// Connections that the aggregator closes while it is running.
mod connection_close {
    use super::remaining_frames;
    use crate::support::engine_harness::SETTINGS;
    use crate::support::socket_harness::client::{
        connect_client, expect_clean_close, query_request, read_response, HttpResponse,
    };
    use crate::support::socket_harness::leaf_server::LeafServerConnection;
    use crate::support::socket_harness::run_scenario;
    use std::io;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::time::{timeout, Duration};

    #[test]
    fn last_response_is_not_lost_to_unread_bytes() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let mut client = connect_client(harness.aggregator).await;
            client
                .write_all(query_request("c1", "Connection: close\r\n").as_bytes())
                .await
                .unwrap();
            let mut leaf = LeafServerConnection::accept(&harness.leaf).await;
            let id = leaf.next_call().await.id;
            let pipelined: String = (0..2000)
                .map(|number| query_request(&format!("c-{number}"), ""))
                .collect();
            client.write_all(pipelined.as_bytes()).await.unwrap();
            leaf.send_result(&id).await;
            let HttpResponse { head, body } = read_response(&mut client).await;
            assert!(
                head.contains("Connection: close") && body.contains("c1.3"),
                "{head}{body}"
            );
            // More requests arrive while the aggregator is about to close the connection.
            client.write_all(pipelined.as_bytes()).await.unwrap();
            expect_clean_close(&mut client).await;
            assert_eq!(
                remaining_frames(&mut leaf).await,
                [""; 0],
                "expected requests after the last one not to be forwarded"
            );
        });
    }

    #[test]
    fn silent_new_connection_is_closed_without_an_error() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let mut silent = connect_client(harness.aggregator).await;
            let end = timeout(Duration::from_millis(2_500), silent.read(&mut [0]))
                .await
                .expect("the connection should be closed in time");
            assert_eq!(end.map_err(|error: io::Error| error.kind()), Ok(0));
        });
    }
}

/// A graceful shutdown between or during requests.
mod shutdown {
    use super::remaining_frames;
    use crate::support::engine_harness::SETTINGS;
    use crate::support::socket_harness::client::{
        connect_client, expect_clean_close, query_request, read_response, send_query,
        served_client, HttpResponse,
    };
    use crate::support::socket_harness::leaf_server::LeafServerConnection;
    use crate::support::socket_harness::run_scenario;
    use tokio::io::AsyncWriteExt;
    use tokio::net::TcpStream;
    use tokio::time::{sleep, Duration, Instant};

    #[test]
    fn request_that_crosses_the_close_is_neither_forwarded_nor_reset() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let (mut client, mut leaf) = served_client(&harness, "d1").await;
            harness.request_shutdown().await;
            expect_clean_close(&mut client).await;
            send_query(&mut client, "d2").await;
            sleep(Duration::from_millis(100)).await;
            expect_clean_close(&mut client).await;
            drop(client);
            harness.expect_exit().await;
            assert_eq!(
                remaining_frames(&mut leaf).await,
                [""; 0],
                "expected no frames after the shutdown"
            );
        });
    }

    #[test]
    fn pipelined_requests_read_before_the_shutdown_are_answered() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let mut client = connect_client(harness.aggregator).await;
            let both = query_request("e1", "") + &query_request("e2", "");
            client.write_all(both.as_bytes()).await.unwrap();
            let mut leaf = LeafServerConnection::accept(&harness.leaf).await;
            let first = leaf.next_call().await.id;
            harness.request_shutdown().await;
            sleep(Duration::from_millis(1000)).await;
            assert!(
                TcpStream::connect(harness.aggregator).await.is_err(),
                "expected new connections to be refused"
            );
            leaf.send_result(&first).await;
            assert!(read_response(&mut client).await.body.contains("e1.3"));
            let second = leaf.next_call().await.id;
            // This request is read after the shutdown has begun.
            send_query(&mut client, "e3").await;
            leaf.send_result(&second).await;
            let HttpResponse { head, body } = read_response(&mut client).await;
            assert!(
                head.contains("Connection: close") && body.contains("e2.3"),
                "{head}{body}"
            );
            expect_clean_close(&mut client).await;
            drop(client);
            harness.expect_exit().await;
            assert_eq!(remaining_frames(&mut leaf).await, [""; 0]);
        });
    }

    #[test]
    fn ends_in_time_and_answers_queries_while_a_leaf_server_hangs() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let (mut idle, _leaf) = served_client(&harness, "f0").await;
            let mut client = connect_client(harness.aggregator).await;
            send_query(&mut client, "f1").await;
            sleep(Duration::from_millis(10)).await;
            let signalled = Instant::now();
            harness.request_shutdown().await;
            // Neither client closes its side of the connection.
            let HttpResponse { head, .. } = read_response(&mut client).await;
            assert!(head.starts_with("HTTP/1.1 50"), "{head}");
            harness.expect_exit().await;
            // The longest client deadline is 6 s, which counts as 3 s. The kill may follow 0.7 s
            // after that.
            assert!(
                signalled.elapsed() < Duration::from_millis(3_700),
                "the process exited after {:?}, expected less than 3.7 s",
                signalled.elapsed()
            );
            expect_clean_close(&mut client).await;
            expect_clean_close(&mut idle).await;
        });
    }

    #[test]
    fn connections_in_the_backlog_when_listening_stops_are_answered() {
        let settings = SETTINGS
            .replace("open_cap=60", "open_cap=600")
            .replace("streams_per_conn=4", "streams_per_conn=99");
        // 40 descriptors give capacity for 18 clients and 16 more that are being closed.
        run_scenario(&settings, 40, |harness| async move {
            let mut clients = Vec::new();
            for number in 0..40 {
                let mut client = connect_client(harness.aggregator).await;
                send_query(&mut client, &format!("g{number}")).await;
                clients.push(client);
            }
            let mut leaf = LeafServerConnection::accept(&harness.leaf).await;
            let first = leaf.next_call().await.id;
            assert_eq!(first, "g0.3");
            harness.request_shutdown().await;
            let leaf = tokio::task::spawn_local(async move {
                sleep(Duration::from_millis(1000)).await;
                leaf.send_result(&first).await;
                leaf.serve().await
            });
            for client in &mut clients {
                // The last responses may be rejections, since their queries have waited long. A
                // reset is not a response.
                let HttpResponse { head, .. } = read_response(client).await;
                assert!(
                    head.starts_with("HTTP/1.1 200") || head.starts_with("HTTP/1.1 503"),
                    "{head}"
                );
            }
            drop(clients);
            harness.expect_exit().await;
            leaf.await.unwrap();
        });
    }
}

/// Clients at the capacity limit of the aggregator.
mod capacity {
    use crate::support::engine_harness::SETTINGS;
    use crate::support::socket_harness::client::{
        connect_client, read_response, read_response_head, send_query, served_client,
    };
    use crate::support::socket_harness::discovery::WatchConnection;
    use crate::support::socket_harness::run_scenario;

    #[test]
    fn idle_clients_block_neither_a_late_watch_nor_a_new_client() {
        // 100 descriptors give capacity for 45 clients.
        run_scenario(SETTINGS, 100, |harness| async move {
            drop(harness.discovery.accept().await.unwrap());
            let (first, leaf) = served_client(&harness, "j-first").await;
            let leaf = tokio::task::spawn_local(leaf.serve());
            let mut idle = vec![first];
            for number in 0..60 {
                let mut client = connect_client(harness.aggregator).await;
                send_query(&mut client, &format!("j{number}")).await;
                assert!(read_response_head(&mut client)
                    .await
                    .starts_with("HTTP/1.1 200"));
                idle.push(client);
                idle.push(connect_client(harness.aggregator).await);
            }
            let mut watch = WatchConnection::accept(&harness.discovery).await;
            watch.send_head().await;
            watch.send_chunk("\n").await;
            let mut client = connect_client(harness.aggregator).await;
            send_query(&mut client, "j-last").await;
            assert!(read_response(&mut client).await.body.contains("j-last.3"));
            drop((idle, watch));
            leaf.abort();
        });
    }
}
