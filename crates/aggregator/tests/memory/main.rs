//! Memory of the program while many bad clients are connected. It has the least limits that the
//! platform sets: 32 MB, with the most descriptors.

#![cfg(target_os = "linux")]

#[path = "../support/addresses.rs"]
mod addresses;
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

/// Requests whose bodies are incomplete, from all clients that the program accepts.
mod incomplete_requests {
    use super::{query_request, BadClients, Program, CLIENTS};

    /// Length of the text of a query, close to the maximum of a body.
    const TEXT_BYTES: usize = 64_000;
    /// Number of bytes that are missing at the end.
    const MISSING_BYTES: usize = 1_000;

    fn cut_off(mut request: String) -> String {
        request.truncate(request.len() - MISSING_BYTES);
        request
    }

    async fn expect_memory_below_limit(request: impl Fn(usize) -> String) {
        let program = Program::start().await;
        let clients = BadClients::send(program.address, CLIENTS, request).await;
        clients.end_and_drain().await;
        program.expect_memory_below_limit().await;
    }

    /// Guards against bodies that are held for all clients without a limit on their sum.
    #[tokio::test]
    async fn bodies_of_known_length() {
        let text = "x".repeat(TEXT_BYTES);
        expect_memory_below_limit(|client| cut_off(query_request(&client.to_string(), "", &text)))
            .await;
    }

    /// Guards against chunked bodies, whose length is not known when their heads are read.
    #[tokio::test]
    async fn chunked_bodies() {
        let chunk = format!("400\r\n{}\r\n", "x".repeat(0x400));
        let body = chunk.repeat(TEXT_BYTES / 0x400);
        expect_memory_below_limit(|client| {
            format!(
                "POST /lookup HTTP/1.1\r\nX-Request-ID: {client}\r\n\
                 Transfer-Encoding: chunked\r\n\r\n{body}"
            )
        })
        .await;
    }

    /// Guards against heads whose many fields are held while the body is read.
    #[tokio::test]
    async fn bodies_behind_many_short_fields() {
        let (text, fields) = ("x".repeat(TEXT_BYTES), "a:\r\n".repeat(55));
        expect_memory_below_limit(|client| {
            cut_off(query_request(&client.to_string(), &fields, &text))
        })
        .await;
    }
}

/// Guards against large queries that are held until they are answered, and against buffers that
/// stay large after a large message.
#[tokio::test]
async fn complete_requests_with_large_bodies() {
    let program = Program::start().await;
    let text = "x".repeat(64_000);
    let request = |client: usize| query_request(&client.to_string(), "", &text);
    let clients = BadClients::send(program.address, CLIENTS, request).await;
    clients.end_and_drain().await;
    program.expect_memory_below_limit().await;
}
