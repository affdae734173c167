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

/// Sends what `input` returns for the number of each client, from all clients at the same time, and
/// expects that the program runs and stays below its memory limit.
async fn expect_memory_below_limit(clients: usize, input: impl Fn(usize) -> String) {
    let program = Program::start().await;
    let clients = BadClients::send(program.address, clients, input).await;
    clients.end_and_drain().await;
    program.expect_memory_below_limit().await;
}

/// Returns 250 pipelined requests with these header fields.
fn pipelined_requests(client: usize, fields: &str) -> String {
    let request = |number| query_request(&format!("{client}-{number}"), fields, "text");
    (0..250).map(request).collect()
}

/// Guards against the heads of pipelined requests being held until the requests are answered.
#[tokio::test]
async fn pipelined_requests_with_large_heads() {
    let cookie = format!("Cookie: {}\r\n", "x".repeat(7_000));
    expect_memory_below_limit(100, |client| pipelined_requests(client, &cookie)).await;
}

/// Guards against header fields that take far more memory than they have bytes, in requests of all
/// clients that the program accepts.
#[tokio::test]
async fn pipelined_requests_with_many_short_fields() {
    let fields = "a:\r\n".repeat(55);
    expect_memory_below_limit(CLIENTS, |client| pipelined_requests(client, &fields)).await;
}

/// Guards against large queries that are held until they are answered, and against buffers that
/// stay large after a large message.
#[tokio::test]
async fn complete_requests_with_large_bodies() {
    let text = "x".repeat(64_000);
    expect_memory_below_limit(CLIENTS, |client| {
        query_request(&client.to_string(), "", &text)
    })
    .await;
}

/// Requests whose bodies are incomplete, from all clients that the program accepts.
mod incomplete_requests {
    use super::{expect_memory_below_limit, query_request, CLIENTS};

    /// Length of the text of a query, close to the maximum of a body.
    const TEXT_BYTES: usize = 64_000;
    /// Number of bytes that are missing at the end.
    const MISSING_BYTES: usize = 1_000;

    fn cut_off(mut request: String) -> String {
        request.truncate(request.len() - MISSING_BYTES);
        request
    }

    /// Guards against bodies that are held for all clients without a limit on their sum.
    #[tokio::test]
    async fn bodies_of_known_length() {
        let text = "x".repeat(TEXT_BYTES);
        expect_memory_below_limit(CLIENTS, |client| {
            cut_off(query_request(&client.to_string(), "", &text))
        })
        .await;
    }

    /// Guards against chunked bodies, whose length is not known when their heads are read.
    #[tokio::test]
    async fn chunked_bodies() {
        let chunk = format!("400\r\n{}\r\n", "x".repeat(0x400));
        let body = chunk.repeat(TEXT_BYTES / 0x400);
        expect_memory_below_limit(CLIENTS, |client| {
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
        expect_memory_below_limit(CLIENTS, |client| {
            cut_off(query_request(&client.to_string(), &fields, &text))
        })
        .await;
    }
}
