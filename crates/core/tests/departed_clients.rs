//! Clients that send many requests at once and close their connection, over loopback sockets. None
//! of their requests may be forwarded once they have closed.

mod support;

use std::io::Write;
use std::net::SocketAddr;
use support::engine_harness::SETTINGS;
use support::socket_harness::client::{connect_client, query_request, read_response};
use support::socket_harness::leaf_server::LeafServerConnection;
use support::socket_harness::{run_scenario, SocketHarness, SocketScenario, TestTime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Duration};

/// Number of requests that arrive at once.
const FEW_REQUESTS: usize = 40;
/// Number of requests of which a part is still in transit while the others are read.
const MANY_REQUESTS: usize = 200;
/// Time shorter than the one in which input that is in transit arrives.
const SHORT_TRANSIT_TIME: Duration = Duration::from_millis(100);
/// Time after which nothing more happens.
const LONG_TIME: Duration = Duration::from_secs(20);

/// Returns pipelined requests of half a kilobyte each.
fn requests(count: usize) -> String {
    let field = format!("Cookie: {}\r\n", "x".repeat(400));
    let request = |number| query_request(&format!("q{number}"), &field);
    (0..count).map(request).collect()
}

/// Connects a client that has sent these requests, without letting the aggregator run.
fn send_at_once(aggregator: SocketAddr, requests: &str) -> TcpStream {
    let mut stream = std::net::TcpStream::connect(aggregator).unwrap();
    stream.write_all(requests.as_bytes()).unwrap();
    stream.set_nonblocking(true).unwrap();
    TcpStream::from_std(stream).unwrap()
}

/// Expects that no connection to the leaf server is opened within `time`.
async fn expect_nothing_forwarded(harness: &SocketHarness, time: Duration) {
    let connected = timeout(time, harness.leaf.accept()).await;
    assert!(
        connected.is_err(),
        "expected no connection to the leaf server"
    );
}

/// Guards against the first requests being forwarded while the close behind them is unread.
#[test]
fn unread_requests_of_a_closed_connection_are_not_forwarded() {
    run_scenario(SETTINGS, 100, |harness| async move {
        drop(send_at_once(harness.aggregator, &requests(FEW_REQUESTS)));
        expect_nothing_forwarded(&harness, LONG_TIME).await;
    });
}

/// Guards against requests being forwarded while the rest of the input, with the close, is held
/// back by the client's operating system.
#[test]
fn requests_with_much_input_in_transit_are_not_forwarded() {
    run_scenario(SETTINGS, 100, |harness| async move {
        let client = send_at_once(harness.aggregator, &requests(MANY_REQUESTS));
        sleep(SHORT_TRANSIT_TIME).await;
        drop(client);
        expect_nothing_forwarded(&harness, LONG_TIME).await;
    });
}

/// Guards against a client that stays and is not served, because its requests are taken for those
/// of one that has closed.
#[test]
fn requests_of_a_client_that_stays_are_all_answered() {
    run_scenario(SETTINGS, 100, |harness| async move {
        let mut client = send_at_once(harness.aggregator, &requests(MANY_REQUESTS));
        let leaf = LeafServerConnection::accept(&harness.leaf).await;
        tokio::task::spawn_local(leaf.serve());
        for number in 0..MANY_REQUESTS {
            let response = read_response(&mut client).await;
            assert!(
                response.body.contains(&format!("q{number}.3")),
                "{response:?}"
            );
        }
    });
}

/// Guards against a client that gets no final answer because it never stops sending. In real time,
/// since paused time does not advance while the client sends.
#[test]
fn a_client_that_sends_without_a_pause_is_rejected() {
    let mut scenario = SocketScenario::new(SETTINGS, 100);
    scenario.time = TestTime::Real;
    scenario.run(|harness| async move {
        let (mut reader, mut writer) = connect_client(harness.aggregator).await.into_split();
        let input = requests(FEW_REQUESTS);
        tokio::task::spawn_local(async move {
            while writer.write_all(input.as_bytes()).await.is_ok() {
                tokio::task::yield_now().await;
            }
        });
        let mut status = [0; 12];
        reader.read_exact(&mut status).await.unwrap();
        assert_eq!(&status, b"HTTP/1.1 429");
        expect_nothing_forwarded(&harness, Duration::ZERO).await;
    });
}
