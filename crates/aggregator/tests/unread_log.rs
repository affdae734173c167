//! The program while nobody reads its log, whose lines clients can cause at any rate.

mod support {
    pub mod addresses;
    pub mod aggregator_process;
}

use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use support::addresses::free_address;
use support::aggregator_process::{AggregatorProcess, HANG_TIMEOUT};

/// Time between two attempts to connect to a program that is starting.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Number of requests whose log lines, if each had one, would not fit into a pipe.
const REQUESTS: usize = 2000;

/// Starts the program at this address. Its log is a pipe that is not read.
fn start(address: SocketAddr) -> AggregatorProcess {
    let config = json!({
        "name": "n0", "listen": address, "discovery": "127.0.0.1:1", "seed": "1",
        "known": {"index": 41, "snapshot": true, "endpoints": []},
        "settings": {
            "classes": [{"name": "lookup", "aim_ns": 1_000_000_000,
                "give_up_ns": 2_000_000_000_u64, "semantics": "read_like"}],
            "extra": {"places": 1, "reach": 1, "ranges": 2, "class_need": [1.0],
                "least_share": [0.6], "partial_earns": [0.9], "second_step": [0]},
            "replicas_of_me": 1, "tick_ns": 5_000_000,
        },
    });
    AggregatorProcess::start("unread-log", &config.to_string())
}

/// Connects to a program that may still be starting.
fn connect(address: SocketAddr) -> TcpStream {
    let started = Instant::now();
    loop {
        match TcpStream::connect(address) {
            Ok(stream) => {
                stream.set_nodelay(true).unwrap();
                stream.set_read_timeout(Some(HANG_TIMEOUT)).unwrap();
                return stream;
            }
            Err(error) => assert!(started.elapsed() < HANG_TIMEOUT, "not started: {error}"),
        }
        std::thread::sleep(CONNECT_RETRY_DELAY);
    }
}

/// Reads one response and returns its status line.
fn read_response(reader: &mut BufReader<TcpStream>) -> String {
    let mut next_line = || {
        let mut line = String::new();
        reader
            .read_line(&mut line)
            .expect("the program should answer in time");
        line
    };
    let status = next_line();
    let mut length = 0;
    loop {
        let line = next_line();
        if let Some(value) = line.strip_prefix("Content-Length: ") {
            length = value.trim().parse().unwrap();
        }
        if line.trim().is_empty() {
            break;
        }
    }
    reader.read_exact(&mut vec![0; length]).unwrap();
    status
}

/// Guards against one client that stops the program for all others: the program waited for its log
/// line of each rejected request to be read.
#[tokio::test]
async fn requests_are_answered_while_the_log_is_full() {
    let address = free_address();
    let _program = start(address);
    let mut stream = connect(address);
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let body = "{\"shards\":[{\"shard\":0,\"weight\":1.0}],\"q\":\"text\"}";
    for number in 0..REQUESTS {
        let request = format!(
            "POST /lookup HTTP/1.1\r\nX-Request-ID: r{number}\r\nX-Timeout: 1m\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes()).unwrap();
        let status = read_response(&mut reader);
        assert!(
            status.starts_with("HTTP/1.1 503"),
            "request {number}: {status}"
        );
    }
}
