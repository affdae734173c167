//! Memory of the program while many bad clients are connected. It has the least limits that the
//! platform sets: 32 MB, with the most descriptors.

#![cfg(target_os = "linux")]

mod clients;
mod leaf;
mod program;

use clients::{query_request, BadClients};
use program::Program;

/// Number of clients that the program serves at the same time.
const CLIENTS: usize = 450;

/// Guards against the heads of pipelined requests being held until the requests are answered.
#[tokio::test]
async fn pipelined_requests_with_large_heads() {
    let program = Program::start().await;
    let cookie = format!("Cookie: {}\r\n", "x".repeat(7_000));
    let requests = |client: usize| -> String {
        let request = |number| query_request(&format!("{client}-{number}"), &cookie, "text");
        (0..250).map(request).collect()
    };
    let clients = BadClients::send(program.address, 100, requests).await;
    clients.end_and_drain().await;
    program.expect_memory_below_limit().await;
}

/// Guards against header fields that take far more memory than they have bytes, in requests of all
/// clients that the program accepts.
#[tokio::test]
async fn pipelined_requests_with_many_short_fields() {
    let program = Program::start().await;
    let fields = "a:\r\n".repeat(55);
    let requests = |client: usize| -> String {
        let request = |number| query_request(&format!("{client}-{number}"), &fields, "text");
        (0..250).map(request).collect()
    };
    let clients = BadClients::send(program.address, CLIENTS, requests).await;
    clients.end_and_drain().await;
    program.expect_memory_below_limit().await;
}
