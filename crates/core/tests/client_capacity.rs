//! Clients that hold all connections that the aggregator accepts, over loopback sockets. Requests
//! of other clients must still be accepted and answered.

mod support;

use std::net::SocketAddr;
use support::engine_harness::SETTINGS;
use support::socket_harness::client::{connect_client, read_response, send_query, HttpResponse};
use support::socket_harness::leaf_server::LeafServerConnection;
use support::socket_harness::run_scenario;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, Duration, Instant};

/// File descriptors of the aggregator.
const DESCRIPTORS: usize = 40;
/// Number of clients for which these descriptors suffice.
const CLIENT_CAPACITY: usize = 18;
/// More clients than the aggregator accepts at the same time.
const FLOOD_CLIENTS: usize = 3 * CLIENT_CAPACITY;
/// Time within which a new client must have its response, whatever the other clients do. The leaf
/// server needs no time.
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(500);
/// Time after which everything that was sent has been handled.
const TRANSIT_TIME: Duration = Duration::from_millis(1);
/// Time from the opening of a connection to its first request, as on a busy machine.
const FIRST_REQUEST_DELAY: Duration = Duration::from_millis(20);

/// Returns settings in which only the number of clients limits the number of open queries.
fn settings() -> String {
    SETTINGS.replace("limits.open_cap=60", "limits.open_cap=1000")
}

/// Connects clients and sends one query from each, without waiting for the responses. Each query
/// has been read before the next client connects.
async fn send_flood(aggregator: SocketAddr) -> Vec<TcpStream> {
    let mut clients = Vec::new();
    for number in 0..FLOOD_CLIENTS {
        let mut client = connect_client(aggregator).await;
        send_query(&mut client, &format!("flood-{number}")).await;
        sleep(TRANSIT_TIME).await;
        clients.push(client);
    }
    clients
}

/// Connects clients without letting the aggregator run in between, so that it finds all of them in
/// the backlog of its listener.
fn connect_at_once(aggregator: SocketAddr, clients: usize) -> Vec<TcpStream> {
    let connect = |_| {
        let stream = std::net::TcpStream::connect(aggregator).unwrap();
        stream.set_nonblocking(true).unwrap();
        TcpStream::from_std(stream).unwrap()
    };
    (0..clients).map(connect).collect()
}

/// Answers all calls of the aggregator.
async fn serve_calls(listener: TcpListener) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        tokio::task::spawn_local(LeafServerConnection { stream }.serve());
    }
}

/// Connects a client, sends a query and returns the response, which must arrive in time.
async fn expect_response(aggregator: SocketAddr, name: &str) -> HttpResponse {
    let started = Instant::now();
    let mut client = connect_client(aggregator).await;
    send_query(&mut client, name).await;
    let response = read_response(&mut client).await;
    assert!(
        started.elapsed() <= MAX_RESPONSE_TIME,
        "{name} was answered after {:?}, expected at most {MAX_RESPONSE_TIME:?}",
        started.elapsed()
    );
    response
}

/// Guards against a listener that accepts nothing for as long as clients that were answered hold
/// their connections: they were not idle when the last of them connected, so none was evicted.
#[test]
fn clients_that_hold_their_connections_after_a_burst_of_queries() {
    run_scenario(&settings(), DESCRIPTORS, |harness| async move {
        let held = send_flood(harness.aggregator).await;
        tokio::task::spawn_local(serve_calls(harness.leaf));
        sleep(TRANSIT_TIME).await;
        for number in 0..FLOOD_CLIENTS {
            let response = expect_response(harness.aggregator, &format!("new-{number}")).await;
            assert!(response.head.starts_with("HTTP/1.1 200"), "{response:?}");
        }
        drop(held);
    });
}

/// Guards against a listener that accepts nothing until the open queries of all clients have ended.
#[test]
fn clients_whose_queries_take_long() {
    run_scenario(&settings(), DESCRIPTORS, |harness| async move {
        let waiting = send_flood(harness.aggregator).await;
        let response = expect_response(harness.aggregator, "new").await;
        assert!(response.head.starts_with("HTTP/1.1 503"), "{response:?}");
        drop(waiting);
    });
}

/// Guards against a listener that accepts nothing until evicted clients close their connections.
#[test]
fn clients_that_are_silent_and_do_not_close_their_connections() {
    run_scenario(&settings(), DESCRIPTORS, |harness| async move {
        tokio::task::spawn_local(serve_calls(harness.leaf));
        let silent = connect_at_once(harness.aggregator, FLOOD_CLIENTS);
        let response = expect_response(harness.aggregator, "new").await;
        assert!(response.head.starts_with("HTTP/1.1 200"), "{response:?}");
        drop(silent);
    });
}

/// Guards against the eviction of new clients that have not had the time to send a request, while
/// clients that have sent theirs stay connected.
#[test]
fn clients_that_send_their_first_request_shortly_after_connecting() {
    run_scenario(&settings(), DESCRIPTORS, |harness| async move {
        tokio::task::spawn_local(serve_calls(harness.leaf));
        let mut idle = connect_at_once(harness.aggregator, CLIENT_CAPACITY);
        for (number, client) in idle.iter_mut().enumerate() {
            send_query(client, &format!("idle-{number}")).await;
            read_response(client).await;
        }
        let mut clients = connect_at_once(harness.aggregator, CLIENT_CAPACITY);
        sleep(FIRST_REQUEST_DELAY).await;
        for (number, client) in clients.iter_mut().enumerate() {
            send_query(client, &format!("new-{number}")).await;
        }
        for client in &mut clients {
            let response = read_response(client).await;
            assert!(response.head.starts_with("HTTP/1.1 200"), "{response:?}");
        }
    });
}
