//! Watches on the endpoint list, over loopback sockets: layouts of snapshots, watches that are
//! silent or end, and reloads.

mod support;

use support::socket_harness::client::{connect_client, query_request, read_response_head};
use tokio::io::AsyncWriteExt;
use tokio::time::Duration;

/// Maximum time until the aggregator knows of a change while discovery can be reached.
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);

/// Returns whether a query is rejected for lack of leaf servers, which shows that an empty list was
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

/// Snapshots in different layouts, complete and truncated.
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
            assert!(
                is_rejected(harness.aggregator).await,
                "expected a rejected query after an empty list"
            );
        });
    }

    #[test]
    fn truncated_snapshot_that_ends_in_a_reset_is_not_applied() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let mut watch = WatchConnection::accept(&harness.discovery).await;
            // The response states neither a length nor chunks, so only the end of the connection
            // ends the body.
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
                "expected the query to be sent to the leaf server of the previous endpoint list"
            );
        });
    }
}

/// Replacement of a watch by the next one.
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
            // The discovery agent does not answer the next watch either.
            let unanswered = WatchConnection::accept(&harness.discovery).await;
            let mut third = WatchConnection::accept(&harness.discovery).await;
            third.send_head().await;
            third.send_chunk(&format!("{}\n", snapshot(9, &[]))).await;
            assert!(
                since.elapsed() < UPDATE_DEADLINE,
                "the update arrived after {:?}, expected less than {UPDATE_DEADLINE:?}",
                since.elapsed()
            );
            assert!(
                is_rejected(harness.aggregator).await,
                "expected a rejected query after an empty list"
            );
            drop((silent, unanswered, third));
        });
    }

    /// An update counts as known once discovery sends it, and a draining leaf server must get no
    /// new work 2 s later. However long discovery was down, the next watch has to start within that
    /// time.
    #[test]
    fn backoff_stays_short_however_often_watches_fail() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let mut last_start = Instant::now();
            for _ in 0..30 {
                let (stream, _) = timeout(HANG_TIMEOUT, harness.discovery.accept())
                    .await
                    .expect("the next watch should start in time")
                    .unwrap();
                drop(stream);
                assert!(
                    last_start.elapsed() < Duration::from_secs(1),
                    "the next watch started after {:?}, expected less than 1 s",
                    last_start.elapsed()
                );
                last_start = Instant::now();
            }
            for _ in 0..10 {
                let silent = WatchConnection::accept(&harness.discovery).await;
                assert!(
                    last_start.elapsed() < Duration::from_secs(2),
                    "the next watch started after {:?}, expected less than 2 s",
                    last_start.elapsed()
                );
                last_start = Instant::now();
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
            assert!(
                another.is_err(),
                "expected no second watch while heartbeats arrive"
            );
        });
    }

    /// Every line of a response is due within the heartbeat timeout, including the first line.
    #[test]
    fn watch_that_stays_silent_after_its_head_is_replaced() {
        run_scenario(SETTINGS, 100, |harness| async move {
            let mut last_start = Instant::now();
            for _ in 0..10 {
                let mut silent = WatchConnection::accept(&harness.discovery).await;
                let elapsed = last_start.elapsed();
                assert!(
                    elapsed < UPDATE_DEADLINE,
                    "the next watch started after {elapsed:?}, expected less than {UPDATE_DEADLINE:?}"
                );
                last_start = Instant::now();
                silent.send_head().await;
                let _ = silent.stream.read(&mut [0]).await;
            }
        });
    }
}

/// Reloads that change the address of discovery.
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
            let new_addresses = addresses(next.local_addr().unwrap());
            // The old watch ends just as the address of discovery changes.
            drop(old);
            harness
                .signals
                .send(OperatorSignal::Reload(Some(new_addresses)))
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
                "expected no second watch at the new address"
            );
            assert_eq!(
                moved
                    .stream
                    .try_read(&mut [0])
                    .map_err(|error| error.kind()),
                Err(std::io::ErrorKind::WouldBlock)
            );
            assert!(
                is_rejected(harness.aggregator).await,
                "expected a rejected query while the only leaf server is draining"
            );
            let gone = timeout(Duration::from_millis(100), harness.discovery.accept()).await;
            assert!(
                gone.is_err(),
                "expected no watch at the old address: {gone:?}"
            );
            let _ = moved.stream.read(&mut []).await;
        });
    }

    /// After a reload, the aggregator has to know of a change within 4 s.
    #[test]
    fn reaches_discovery_in_time_though_first_watches_are_not_answered() {
        const RELOAD_DEADLINE: Duration = Duration::from_secs(4);
        run_scenario(SETTINGS, 100, |harness| async move {
            let _old = WatchConnection::accept(&harness.discovery).await;
            let next = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let new_addresses = addresses(next.local_addr().unwrap());
            let reload = OperatorSignal::Reload(Some(new_addresses));
            harness.signals.send(reload).await.unwrap();
            let reloaded = Instant::now();
            let _unanswered = WatchConnection::accept(&next).await;
            let _unanswered_again = WatchConnection::accept(&next).await;
            let mut third = WatchConnection::accept(&next).await;
            let elapsed = reloaded.elapsed();
            assert!(
                elapsed < RELOAD_DEADLINE,
                "discovery was reached after {elapsed:?}, expected less than {RELOAD_DEADLINE:?}"
            );
            third.send_head().await;
            third.send_chunk(&format!("{}\n", snapshot(9, &[]))).await;
            assert!(
                is_rejected(harness.aggregator).await,
                "expected a rejected query after an empty list"
            );
        });
    }
}
