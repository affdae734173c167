//! The leaf server's side of connections, as controlled by a test: calls and their results.

use super::HANG_TIMEOUT;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// First part of a call, as received by a leaf server.
pub struct ReceivedCall {
    /// Id of the part.
    pub id: String,
    /// Time for which the aggregator waits according to the call, in milliseconds.
    pub wait_ms: u64,
}

/// The leaf server's side of a connection.
pub struct LeafServerConnection {
    pub stream: TcpStream,
}

impl LeafServerConnection {
    /// Accepts the next connection.
    pub async fn accept(leaf: &TcpListener) -> LeafServerConnection {
        let (stream, _) = timeout(HANG_TIMEOUT, leaf.accept())
            .await
            .expect("the aggregator should connect in time")
            .unwrap();
        stream.set_nodelay(true).unwrap();
        LeafServerConnection { stream }
    }

    /// Receives the next frame. Returns `None` at the end of the connection.
    pub async fn next_frame(&mut self) -> Option<String> {
        let length = self.stream.read_u32().await.ok()?;
        let mut frame = vec![0; length as usize];
        self.stream.read_exact(&mut frame).await.ok()?;
        Some(String::from_utf8(frame).unwrap())
    }

    /// Receives the next call and skips other frames before it.
    pub async fn next_call(&mut self) -> ReceivedCall {
        loop {
            let frame = timeout(HANG_TIMEOUT, self.next_frame())
                .await
                .expect("a call should arrive in time")
                .expect("a call should arrive before the connection ends");
            if let Some(call) = frame.strip_prefix('Q') {
                let mut fields = call.split(' ');
                let id = fields.next().unwrap().to_string();
                let wait_ms = fields.nth(1).unwrap()[2..].parse().unwrap();
                return ReceivedCall { id, wait_ms };
            }
        }
    }

    /// Sends the result of a part, with the part's id as the value.
    pub async fn send_result(&mut self, id: &str) {
        self.send_value(id, id).await;
    }

    /// Sends the result of a part, with this value.
    pub async fn send_value(&mut self, id: &str, value: &str) {
        let result = format!("A{id} ok 1 -\n{value}");
        let frame = [&(result.len() as u32).to_be_bytes()[..], result.as_bytes()].concat();
        self.stream.write_all(&frame).await.unwrap();
    }

    /// Answers all calls until the connection ends. Returns the number of calls.
    pub async fn serve(mut self) -> usize {
        let mut answered_calls = 0;
        while let Some(frame) = self.next_frame().await {
            if let Some(call) = frame.strip_prefix('Q') {
                let id = call.split(' ').next().unwrap().to_string();
                self.send_result(&id).await;
                answered_calls += 1;
            }
        }
        answered_calls
    }
}
