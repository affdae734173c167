//! A leaf server that reads calls and never answers them.

use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// A running leaf server, which ends when the value is dropped.
pub struct HangingLeaf {
    /// Address at which the leaf server listens.
    pub address: SocketAddr,
    _tasks: JoinSet<()>,
}

impl HangingLeaf {
    /// Starts the leaf server on a free port.
    pub async fn start() -> HangingLeaf {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener));
        HangingLeaf {
            address,
            _tasks: tasks,
        }
    }
}

async fn accept(listener: TcpListener) {
    let mut connections = JoinSet::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        connections.spawn(async move {
            let _ = tokio::io::copy(&mut stream, &mut tokio::io::sink()).await;
        });
    }
}
