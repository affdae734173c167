//! The readiness check over loopback sockets, during and after an outage of discovery.

mod support;

use support::engine_harness::SETTINGS;
use support::socket_harness::client::{connect_client, read_response, served_client};
use support::socket_harness::discovery::{endpoint, snapshot, WatchConnection};
use support::socket_harness::{run_scenario, CachedList, SocketHarness, SocketScenario};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout_at, Duration, Instant};

/// Duration of the outage of discovery.
const OUTAGE: Duration = Duration::from_secs(8);
/// Maximum time from the start of a process until it is ready.
const READY_DEADLINE: Duration = Duration::from_secs(10);

async fn is_ready(harness: &SocketHarness) -> bool {
    let mut client = connect_client(harness.aggregator).await;
    let request = b"GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n";
    client.write_all(request).await.unwrap();
    let response = read_response(&mut client).await;
    response.head.starts_with("HTTP/1.1 200")
}

/// Closes every watch without a response until `end`.
async fn close_watches_until(discovery: &TcpListener, end: Instant) {
    while let Ok(accepted) = timeout_at(end, discovery.accept()).await {
        drop(accepted.unwrap());
    }
}

/// Expects that an aggregator whose cached list is empty is ready in time after an outage of
/// discovery.
fn expect_ready_after_outage(settings: &str) {
    let scenario = SocketScenario {
        cached_list: CachedList::Empty,
        ..SocketScenario::new(settings, 100)
    };
    scenario.run(|harness| async move {
        let started = Instant::now();
        close_watches_until(&harness.discovery, started + OUTAGE).await;
        assert!(
            !is_ready(&harness).await,
            "expected an aggregator without endpoints not to be ready"
        );
        let mut watch = WatchConnection::accept(&harness.discovery).await;
        watch.send_head().await;
        let leaf = harness.leaf.local_addr().unwrap();
        let list = snapshot(9, &[endpoint(leaf, "up")]);
        watch.send_chunk(&format!("{list}\n")).await;
        while !is_ready(&harness).await {
            sleep(Duration::from_millis(1)).await;
            assert!(
                started.elapsed() < READY_DEADLINE,
                "expected the aggregator to be ready in time"
            );
        }
        assert!(
            started.elapsed() < READY_DEADLINE,
            "ready after {:?}, expected less than {READY_DEADLINE:?}",
            started.elapsed()
        );
    });
}

#[test]
fn ready_at_once_with_a_cached_list_while_discovery_refuses_connections() {
    run_scenario(SETTINGS, 100, |mut harness| async move {
        let elsewhere = TcpListener::bind("127.0.0.1:0").await.unwrap();
        drop(std::mem::replace(&mut harness.discovery, elsewhere));
        let started = Instant::now();
        assert!(is_ready(&harness).await);
        assert!(started.elapsed() < Duration::from_secs(1));
        served_client(&harness, "cached").await;
    });
}

#[test]
fn ready_at_once_with_a_cached_list_while_discovery_is_silent() {
    run_scenario(SETTINGS, 100, |harness| async move {
        let started = Instant::now();
        assert!(is_ready(&harness).await);
        assert!(started.elapsed() < Duration::from_secs(1));
        served_client(&harness, "cached").await;
    });
}

#[test]
fn ready_soon_after_an_outage_of_discovery_if_the_list_is_pushed() {
    expect_ready_after_outage(SETTINGS);
}

#[test]
fn ready_soon_after_an_outage_of_discovery_if_the_list_is_polled() {
    let polled = "discovery=on_request\nguarantees.ask_within_ns=1000000000\n";
    expect_ready_after_outage(&format!("{SETTINGS}{polled}"));
}
