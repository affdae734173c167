//! Truncated frames on loopback sockets: a leaf server sends the beginning of a frame on an idle
//! connection, just as the connection is closed or the next call is sent on it.

mod support;

use support::socket_harness::client::{read_response, send_query};
use support::socket_harness::leaf_server::LeafServerConnection;
use support::socket_harness::{SocketHarness, HANG_TIMEOUT};
use tokio::net::TcpStream;
use tokio::time::{timeout, Duration};

/// The beginning of a result of 64 bytes.
const TRUNCATED_FRAME: &[u8] = b"\0\0\0\x40Aother";
/// Idle time after which the aggregator closes a connection: nine tenths of `limits.conn_idle_ns`.
const IDLE_CLOSE_TIME: Duration = Duration::from_secs(27);
/// Time within which the rest of a frame has to arrive.
const FRAME_TIMEOUT: Duration = Duration::from_millis(100);
/// A pause that is shorter than [`FRAME_TIMEOUT`].
const SHORT_PAUSE: Duration = Duration::from_millis(50);

/// Expects that the aggregator closes a connection without sending any further frame on it.
async fn expect_closed(leaf: &mut LeafServerConnection) {
    let frame = timeout(HANG_TIMEOUT, leaf.next_frame()).await;
    assert_eq!(
        frame.expect("the connection should be closed in time"),
        None
    );
}

/// Expects that the next query is answered over a new connection to the leaf server.
async fn expect_answer_on_new_connection(harness: &SocketHarness, client: &mut TcpStream) {
    send_query(client, "second").await;
    let mut leaf = LeafServerConnection::accept(&harness.leaf).await;
    let call = leaf.next_call().await;
    assert_eq!(call.id, "second.3");
    leaf.send_result(&call.id).await;
    let response = read_response(client).await;
    assert!(response.body.contains("second.3"), "{response:?}");
}

/// Truncated frames on a connection without an open call.
mod idle_connection {
    use super::{
        expect_answer_on_new_connection, expect_closed, FRAME_TIMEOUT, IDLE_CLOSE_TIME,
        SHORT_PAUSE, TRUNCATED_FRAME,
    };
    use crate::support::engine_harness::SETTINGS;
    use crate::support::socket_harness::client::served_client;
    use crate::support::socket_harness::run_scenario;
    use tokio::io::AsyncWriteExt;
    use tokio::time::{sleep, Instant};

    #[test]
    fn frame_cut_off_by_the_idle_close_does_not_affect_the_next_query() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let (mut client, mut leaf) = served_client(&harness, "first").await;
            sleep(IDLE_CLOSE_TIME - SHORT_PAUSE).await;
            leaf.stream.write_all(TRUNCATED_FRAME).await.unwrap();
            let started = Instant::now();
            expect_closed(&mut leaf).await;
            assert!(
                started.elapsed() < FRAME_TIMEOUT,
                "the connection was closed after {:?}, expected less than {FRAME_TIMEOUT:?}",
                started.elapsed()
            );
            expect_answer_on_new_connection(&harness, &mut client).await;
        });
    }

    #[test]
    fn frame_that_stays_incomplete_closes_the_connection() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let (mut client, mut leaf) = served_client(&harness, "first").await;
            leaf.stream.write_all(TRUNCATED_FRAME).await.unwrap();
            let started = Instant::now();
            expect_closed(&mut leaf).await;
            assert!(
                started.elapsed() < 2 * FRAME_TIMEOUT,
                "the connection was closed after {:?}, expected less than twice {FRAME_TIMEOUT:?}",
                started.elapsed()
            );
            expect_answer_on_new_connection(&harness, &mut client).await;
        });
    }

    #[test]
    fn frame_cut_off_by_the_leaf_server_does_not_affect_the_next_query() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let (mut client, mut leaf) = served_client(&harness, "first").await;
            leaf.stream.write_all(TRUNCATED_FRAME).await.unwrap();
            drop(leaf);
            sleep(SHORT_PAUSE).await;
            expect_answer_on_new_connection(&harness, &mut client).await;
        });
    }
}

/// Parts that are sent after the beginning of a truncated frame was received.
mod part_sent_behind {
    use super::{expect_answer_on_new_connection, expect_closed, SHORT_PAUSE, TRUNCATED_FRAME};
    use crate::support::engine_harness::SETTINGS;
    use crate::support::socket_harness::client::{read_response, send_query, served_client};
    use crate::support::socket_harness::leaf_server::LeafServerConnection;
    use crate::support::socket_harness::run_scenario;
    use tokio::io::AsyncWriteExt;
    use tokio::time::{sleep, timeout, Duration};

    #[test]
    fn idempotent_part_is_retried_and_answered() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let (mut client, mut leaf) = served_client(&harness, "first").await;
            leaf.stream.write_all(TRUNCATED_FRAME).await.unwrap();
            sleep(SHORT_PAUSE).await;
            send_query(&mut client, "behind").await;
            assert_eq!(leaf.next_call().await.id, "behind.3");
            let mut next = LeafServerConnection::accept(&harness.leaf).await;
            let retry = next.next_call().await;
            assert_eq!(retry.id, "behind.3");
            next.send_result(&retry.id).await;
            let response = read_response(&mut client).await;
            assert!(response.body.contains("behind.3"), "{response:?}");
            expect_closed(&mut leaf).await;
        });
    }

    #[test]
    fn non_idempotent_part_is_sent_once() {
        let settings = SETTINGS.replace(
            "classes.1.semantics=read_like",
            "classes.1.semantics=non_idempotent",
        );
        run_scenario(&settings, 100, |harness| async move {
            let (mut client, mut leaf) = served_client(&harness, "first").await;
            leaf.stream.write_all(TRUNCATED_FRAME).await.unwrap();
            sleep(SHORT_PAUSE).await;
            send_query(&mut client, "behind").await;
            assert_eq!(leaf.next_call().await.id, "behind.3");
            let response = read_response(&mut client).await;
            assert!(response.head.starts_with("HTTP/1.1 50"), "{response:?}");
            expect_closed(&mut leaf).await;
            let another = timeout(Duration::from_secs(20), harness.leaf.accept()).await;
            assert!(
                another.is_err(),
                "expected no retry of a part that may have run"
            );
            expect_answer_on_new_connection(&harness, &mut client).await;
        });
    }
}
