//! A complete aggregator on loopback sockets, with a leaf server and a discovery agent in tasks of
//! their own.

use std::future::Future;
use std::net::SocketAddr;
use support::engine_harness::SETTINGS;
use support::socket_harness::client::{
    query_request, read_response, read_response_head, send_query,
};
use support::socket_harness::leaf_server::LeafServerConnection;
use support::socket_harness::{CachedList, SocketHarness, SocketScenario, TestTime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, Duration, Instant};

mod support;

/// File descriptors of the aggregator, few enough for a test to exhaust the capacity for clients.
const DESCRIPTORS: usize = 40;

/// Runs a discovery agent, which closes the first watch without a response, answers each later one
/// with the endpoint list and leaves it open.
async fn run_discovery(listener: TcpListener, leaf: SocketAddr) {
    let mut open = Vec::new();
    drop(listener.accept().await);
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let line = format!(
            "{{\"index\":3,\"snapshot\":true,\"endpoints\":[{{\"name\":\"s-1\",\"address\":\"{leaf}\",\
\"group\":0,\"status\":\"up\"}}]}}\n"
        );
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream
            .write_all(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes())
            .await
            .unwrap();
        open.push(stream);
    }
}

/// How a leaf server sends the result of a part whose id begins with `cut`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResultDelivery {
    Truncated,
    Complete,
}

/// Runs a leaf server, which answers each part with the part's id as the value. On the first
/// connection, the result of a part whose id begins with `cut` is truncated.
async fn run_leaf_server(listener: TcpListener) {
    let later = std::iter::repeat(ResultDelivery::Complete);
    for cut_part_delivery in [ResultDelivery::Truncated].into_iter().chain(later) {
        let (stream, _) = listener.accept().await.unwrap();
        tokio::task::spawn_local(serve_leaf_connection(stream, cut_part_delivery));
    }
}

async fn serve_leaf_connection(stream: TcpStream, cut_part_delivery: ResultDelivery) {
    let mut leaf = LeafServerConnection { stream };
    while let Some(call) = leaf.next_frame().await {
        let id = call[1..].split(' ').next().unwrap().to_string();
        let result = format!("A{id} ok 1 -\n{id}");
        leaf.stream.write_u32(result.len() as u32).await.unwrap();
        let is_truncated = cut_part_delivery == ResultDelivery::Truncated && id.starts_with("cut");
        let sent_bytes = if is_truncated {
            result.len() / 2
        } else {
            result.len()
        };
        leaf.stream
            .write_all(&result.as_bytes()[..sent_bytes])
            .await
            .unwrap();
    }
}

/// Runs `client` in real time with the address of an aggregator.
fn run_with_real_time<F: Future<Output = ()>>(client: impl FnOnce(SocketAddr) -> F) {
    run_with_aggregator(TestTime::Real, client);
}

/// Runs `client` in paused time with the address of an aggregator.
fn run_with_paused_time<F: Future<Output = ()>>(client: impl FnOnce(SocketAddr) -> F) {
    run_with_aggregator(TestTime::Paused, client);
}

fn run_with_aggregator<F: Future<Output = ()>>(
    time: TestTime,
    client: impl FnOnce(SocketAddr) -> F,
) {
    let scenario = SocketScenario {
        cached_list: CachedList::Missing,
        time,
        ..SocketScenario::new(SETTINGS, DESCRIPTORS)
    };
    scenario.run(|harness| async move {
        let SocketHarness {
            aggregator,
            signals: _signals, // Keeps the channel open until the end of the test.
            discovery,
            leaf,
            aggregator_task,
        } = harness;
        let leaf_address = leaf.local_addr().unwrap();
        tokio::task::spawn_local(run_discovery(discovery, leaf_address));
        tokio::task::spawn_local(run_leaf_server(leaf));
        tokio::select! {
            ended = aggregator_task => panic!("the aggregator ended before the client: {ended:?}"),
            () = client(aggregator) => {}
        }
    });
}

/// Waits until the aggregator has an endpoint list, which takes time to arrive even if the clock is
/// paused.
async fn wait_until_ready(address: SocketAddr, poll_interval: Duration) {
    loop {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream
            .write_all(b"GET /-/ready HTTP/1.1\r\n\r\n")
            .await
            .unwrap();
        if read_response_head(&mut stream)
            .await
            .starts_with("HTTP/1.1 200")
        {
            return;
        }
        tokio::task::yield_now().await;
        sleep(poll_interval).await;
    }
}

#[test]
fn queries_split_at_any_byte_are_served_over_one_connection() {
    run_with_real_time(|address| async move {
        wait_until_ready(address, Duration::ZERO).await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.set_nodelay(true).unwrap();
        for byte in query_request("a1", "").bytes() {
            stream.write_all(&[byte]).await.unwrap();
            tokio::task::yield_now().await;
        }
        let complete = "{\"complete\":true,\"hits\":[{\"shard\":3,\"doc\":\"NAME.3\"}]}";
        assert_eq!(
            read_response(&mut stream).await.body,
            complete.replace("NAME", "a1")
        );
        // The next two requests arrive together. Each gets its own response, in order.
        let both = query_request("a2", "") + &query_request("a3", "Connection: close\r\n");
        stream.write_all(both.as_bytes()).await.unwrap();
        assert_eq!(
            read_response(&mut stream).await.body,
            complete.replace("NAME", "a2")
        );
        assert_eq!(
            read_response(&mut stream).await.body,
            complete.replace("NAME", "a3")
        );
        assert_eq!(
            stream.read(&mut [0]).await.unwrap(),
            0,
            "expected the connection to be closed as requested"
        );
    });
}

#[test]
fn a_body_that_is_too_large_gets_a_response_and_no_reset() {
    run_with_real_time(|address| async move {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = "POST /lookup HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n";
        let body = "x".repeat(1_000_000);
        stream
            .write_all((head.to_string() + &body).as_bytes())
            .await
            .unwrap();
        assert!(read_response_head(&mut stream)
            .await
            .starts_with("HTTP/1.1 413"));
    });
}

#[test]
fn an_invalid_request_gets_its_status_and_the_next_client_is_served() {
    run_with_real_time(|address| async move {
        wait_until_ready(address, Duration::ZERO).await;
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream
            .write_all(b"\0\0\0 what is this\r\n\r\n")
            .await
            .unwrap();
        assert!(read_response_head(&mut stream)
            .await
            .starts_with("HTTP/1.1 400"));
        assert_eq!(stream.read(&mut [0]).await.unwrap(), 0);
        let mut stream = TcpStream::connect(address).await.unwrap();
        send_query(&mut stream, "b1").await;
        assert!(read_response_head(&mut stream)
            .await
            .starts_with("HTTP/1.1 200"));
        stream
            .write_all(b"GET /-/stats HTTP/1.1\r\n\r\n")
            .await
            .unwrap();
        let stats: serde_json::Value =
            serde_json::from_str(&read_response(&mut stream).await.body).unwrap();
        assert_eq!(
            (&stats["received"]["queries"], &stats["received"]["invalid"]),
            (&1.into(), &1.into())
        );
    });
}

#[test]
fn a_silent_client_is_closed_and_a_slow_request_is_rejected_in_time() {
    run_with_paused_time(|address| async move {
        wait_until_ready(address, Duration::from_millis(1)).await;
        let started = Instant::now();
        let mut silent = TcpStream::connect(address).await.unwrap();
        assert_eq!(silent.read(&mut [0]).await.unwrap(), 0);
        assert!(
            (2000..2500).contains(&started.elapsed().as_millis()),
            "the silent client was closed after {:?}, expected 2 s to 2.5 s",
            started.elapsed()
        );
        // Further bytes do not extend the timeout, neither on a new connection nor on one that was
        // served before.
        let started = Instant::now();
        let mut stream = TcpStream::connect(address).await.unwrap();
        send_query(&mut stream, "slow").await;
        assert!(read_response_head(&mut stream)
            .await
            .starts_with("HTTP/1.1 200"));
        let (mut reading, mut writing) = stream.into_split();
        let slow = async {
            for byte in b"POST /lookup HTTP/1.1\r\nContent-Length: 900\r\n\r\n"
                .iter()
                .chain(&[b'{'; 900])
            {
                sleep(Duration::from_millis(200)).await;
                if writing.write_all(&[*byte]).await.is_err() {
                    break;
                }
            }
        };
        let mut status_line = [0; 12];
        tokio::select! {
            read = reading.read_exact(&mut status_line) => drop(read.unwrap()),
            () = slow => panic!("expected a response before the end of the request"),
        }
        assert_eq!(&status_line, b"HTTP/1.1 408");
        assert!(
            (2000..3000).contains(&started.elapsed().as_millis()),
            "the slow request was rejected after {:?}, expected 2 s to 3 s",
            started.elapsed()
        );
    });
}

#[test]
fn incomplete_requests_do_not_block_the_capacity_for_other_clients() {
    run_with_paused_time(|address| async move {
        wait_until_ready(address, Duration::from_millis(1)).await;
        let started = Instant::now();
        let mut connections = Vec::new();
        for _ in 0..2 * DESCRIPTORS {
            let mut incomplete = TcpStream::connect(address).await.unwrap();
            // A failed write is ignored: the connection may be closed already.
            let _ = incomplete
                .write_all(b"POST /lookup HTTP/1.1\r\nContent-Length: 90\r\n\r\n{")
                .await;
            connections.push(incomplete);
        }
        let mut stream = TcpStream::connect(address).await.unwrap();
        send_query(&mut stream, "good").await;
        assert!(read_response_head(&mut stream)
            .await
            .starts_with("HTTP/1.1 200"));
        assert!(
            started.elapsed().as_millis() < 1000,
            "the request was answered after {:?}, expected less than 1 s",
            started.elapsed()
        );
    });
}

#[test]
fn a_truncated_part_result_is_not_waited_for() {
    run_with_paused_time(|address| async move {
        wait_until_ready(address, Duration::from_millis(1)).await;
        let started = Instant::now();
        let mut stream = TcpStream::connect(address).await.unwrap();
        send_query(&mut stream, "cut1").await;
        let response = read_response(&mut stream).await;
        assert!(response.body.contains("\"doc\":\"cut1.3\""), "{response:?}");
        assert!(
            started.elapsed().as_millis() < 300,
            "the request was answered after {:?}, expected less than 300 ms",
            started.elapsed()
        );
    });
}
