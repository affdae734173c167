//! The watch on the endpoint list on loopback sockets: snapshots in any layout, watches that are
//! silent or end, and reloads.

mod support;

use support::socket_harness::client::{connect_client, query_request, read_response_head};
use tokio::io::AsyncWriteExt;
use tokio::time::Duration;

/// Where discovery can be reached, a change is known this long after it at the latest.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);

/// Whether a query is rejected for want of leaf servers, which shows that an empty list was
/// applied.
async fn is_rejected(aggregator: std::net::SocketAddr) -> bool {
    let mut client = connect_client(aggregator).await;
    client
        .write_all(query_request("gone", "X-Timeout: 400m\r\n").as_bytes())
        .await
        .unwrap();
    read_response_head(&mut client)
        .await
        .starts_with("HTTP/1.1 503")
}

/// Snapshots in any layout, complete or not.
mod snapshot_format {
    use super::is_rejected;
    use crate::support::engine_harness::SETTINGS;
    use crate::support::socket_harness::client::{connect_client, send_query};
    use crate::support::socket_harness::discovery::{snapshot, WatchConnection};
    use crate::support::socket_harness::leaf_server::LeafServerConnection;
    use crate::support::socket_harness::run_scenario;
    use tokio::io::AsyncWriteExt;
    use tokio::time::{sleep, Duration};

    #[test]
    fn indented_snapshot_is_applied() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let mut watch = WatchConnection::accept(&harness.discovery).await;
            assert!(watch.request.contains("from=2 "), "{}", watch.request);
            watch.send_head().await;
            let indented = serde_json::to_string_pretty(&snapshot(9, &[])).unwrap();
            for piece in (indented + "\n").as_bytes().chunks(7) {
                watch.send_chunk(std::str::from_utf8(piece).unwrap()).await;
                tokio::task::yield_now().await;
            }
            drop(watch);
            let again = WatchConnection::accept(&harness.discovery).await;
            assert!(again.request.contains("from=9 "), "{}", again.request);
            assert!(is_rejected(harness.aggregator).await, "the list is empty");
        });
    }

    #[test]
    fn truncated_snapshot_that_ends_in_a_reset_is_not_applied() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let mut watch = WatchConnection::accept(&harness.discovery).await;
            // Neither a length nor chunks: only the end of the connection ends the body.
            watch
                .stream
                .write_all(b"HTTP/1.1 200 OK\r\n\r\n")
                .await
                .unwrap();
            let complete = snapshot(9, &[]).to_string();
            watch
                .stream
                .write_all(&complete.as_bytes()[..complete.len() - 1])
                .await
                .unwrap();
            sleep(Duration::from_millis(10)).await;
            watch.stream.set_zero_linger().unwrap();
            drop(watch);
            let again = WatchConnection::accept(&harness.discovery).await;
            assert!(again.request.contains("from=2 "), "{}", again.request);
            let mut client = connect_client(harness.aggregator).await;
            send_query(&mut client, "still").await;
            let mut leaf = LeafServerConnection::accept(&harness.leaf).await;
            assert_eq!(
                leaf.next_call().await.id,
                "still.3",
                "the leaf server on the previous list is still used"
            );
        });
    }
}

/// When a watch is replaced by the next one.
mod replacement {
    use super::{is_rejected, UPDATE_DEADLINE};
    use crate::support::engine_harness::SETTINGS;
    use crate::support::socket_harness::discovery::{snapshot, WatchConnection};
    use crate::support::socket_harness::{run_scenario, HANG_TIMEOUT};
    use tokio::io::AsyncReadExt;
    use tokio::time::{sleep, timeout, Duration, Instant};

    #[test]
    fn silent_watch_is_replaced_and_the_next_update_arrives_in_time() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let mut silent = WatchConnection::accept(&harness.discovery).await;
            silent.send_head().await;
            silent.send_chunk("\n").await;
            let since = Instant::now();
            // The agent sends nothing to the next watch either.
            let unanswered = WatchConnection::accept(&harness.discovery).await;
            let mut third = WatchConnection::accept(&harness.discovery).await;
            third.send_head().await;
            third.send_chunk(&format!("{}\n", snapshot(9, &[]))).await;
            assert!(since.elapsed() < UPDATE_DEADLINE, "{:?}", since.elapsed());
            assert!(is_rejected(harness.aggregator).await);
            drop((silent, unanswered, third));
        });
    }

    /// An update counts as known once it is pushed, and a drain has to be obeyed 2 s later: however
    /// long discovery was down, the next watch may not start later than that.
    #[test]
    fn backoff_stays_short_however_often_watches_fail() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let mut before = Instant::now();
            for _ in 0..30 {
                let (stream, _) = timeout(HANG_TIMEOUT, harness.discovery.accept())
                    .await
                    .expect("a watch")
                    .unwrap();
                drop(stream);
                assert!(
                    before.elapsed() < Duration::from_secs(1),
                    "{:?}",
                    before.elapsed()
                );
                before = Instant::now();
            }
            for _ in 0..10 {
                let silent = WatchConnection::accept(&harness.discovery).await;
                assert!(
                    before.elapsed() < Duration::from_secs(2),
                    "{:?}",
                    before.elapsed()
                );
                before = Instant::now();
                drop(silent);
            }
        });
    }

    #[test]
    fn watch_with_heartbeats_is_not_replaced() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let mut watch = WatchConnection::accept(&harness.discovery).await;
            watch.send_head().await;
            for _ in 0..10 {
                sleep(Duration::from_secs(2)).await;
                watch.send_chunk("\n").await;
            }
            let another = timeout(Duration::from_millis(100), harness.discovery.accept()).await;
            assert!(another.is_err(), "no second watch");
        });
    }

    /// Each line of a response is due within the heartbeat's time, the first one too.
    #[test]
    fn watch_that_stays_silent_after_its_head_is_replaced() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let mut before = Instant::now();
            for _ in 0..10 {
                let mut silent = WatchConnection::accept(&harness.discovery).await;
                let elapsed = before.elapsed();
                assert!(elapsed < UPDATE_DEADLINE, "{elapsed:?}");
                before = Instant::now();
                silent.send_head().await;
                let _ = silent.stream.read(&mut [0]).await;
            }
        });
    }
}

/// A reload that changes the address of discovery.
mod reload {
    use super::is_rejected;
    use crate::support::engine_harness::SETTINGS;
    use crate::support::socket_harness::discovery::{endpoint, snapshot, WatchConnection};
    use crate::support::socket_harness::{addresses, run_scenario};
    use aggregator_core::net::OperatorSignal;
    use tokio::io::AsyncReadExt;
    use tokio::net::TcpListener;
    use tokio::time::{sleep, timeout, Duration, Instant};

    #[test]
    fn moves_the_watch_and_ignores_the_end_of_the_old_one() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let old = WatchConnection::accept(&harness.discovery).await;
            let next = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let at = addresses(next.local_addr().unwrap());
            // The old watch ends just as discovery moves.
            drop(old);
            harness
                .signals
                .send(OperatorSignal::Reload(Some(at)))
                .await
                .unwrap();
            let mut moved = WatchConnection::accept(&next).await;
            moved.send_head().await;
            moved.send_chunk("\n").await;
            let leaf = harness.leaf.local_addr().unwrap();
            for second in 0..4 {
                sleep(Duration::from_secs(1)).await;
                moved
                    .send_chunk(&format!(
                        "{}\n",
                        snapshot(20 + second, &[endpoint(leaf, "draining")])
                    ))
                    .await;
            }
            assert!(
                timeout(Duration::from_millis(100), next.accept())
                    .await
                    .is_err(),
                "the watch is not replaced"
            );
            assert_eq!(
                moved.stream.try_read(&mut [0]).map_err(|e| e.kind()),
                Err(std::io::ErrorKind::WouldBlock)
            );
            assert!(
                is_rejected(harness.aggregator).await,
                "a draining leaf server gets nothing new"
            );
            let gone = timeout(Duration::from_millis(100), harness.discovery.accept()).await;
            assert!(gone.is_err(), "no watch at the old address: {gone:?}");
            let _ = moved.stream.read(&mut []).await;
        });
    }

    /// After a reload, a change is known 4 s later.
    #[test]
    fn reaches_discovery_in_time_though_first_watches_are_not_answered() {
        const RELOAD_DEADLINE: Duration = Duration::from_secs(4);
        run_scenario(SETTINGS, 100, |harness| async move {
            let _old = WatchConnection::accept(&harness.discovery).await;
            let next = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let at = addresses(next.local_addr().unwrap());
            let reload = OperatorSignal::Reload(Some(at));
            harness.signals.send(reload).await.unwrap();
            let reloaded = Instant::now();
            let _unanswered = WatchConnection::accept(&next).await;
            let _unanswered_again = WatchConnection::accept(&next).await;
            let mut third = WatchConnection::accept(&next).await;
            let elapsed = reloaded.elapsed();
            assert!(elapsed < RELOAD_DEADLINE, "{elapsed:?}");
            third.send_head().await;
            third.send_chunk(&format!("{}\n", snapshot(9, &[]))).await;
            assert!(is_rejected(harness.aggregator).await, "the list is empty");
        });
    }
}
