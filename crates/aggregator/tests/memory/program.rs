//! The program under test, whose leaf server never answers, so that all queries stay open.

use super::addresses::free_address;
use super::clients::get_stats;
use super::leaf::HangingLeaf;
use serde_json::json;
use std::fs;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::sync::{Mutex, MutexGuard};

/// Memory limit of the program, in MB: the least that the platform sets.
const MEMORY_MB: u64 = 32;
const KIB_PER_MB: u64 = 1024;
/// Descriptors of the program: the most that the platform sets. Clients may use 45% of them.
const DESCRIPTORS: u32 = 1024;

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// The running program, which is killed when the value is dropped.
pub struct Program {
    /// Address at which clients connect.
    pub address: SocketAddr,
    child: Child,
    _turn: MutexGuard<'static, ()>,
    _folder: TempDir,
    /// Agent that does not answer.
    _discovery: TcpListener,
    _leaf: HangingLeaf,
}

impl Program {
    /// Starts the program and waits until it answers. Waits until no other test runs one, since the
    /// clients of several tests may need more descriptors than the test process may open.
    pub async fn start() -> Program {
        let turn = ONE_AT_A_TIME.lock().await;
        let leaf = HangingLeaf::start().await;
        let discovery = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = free_address();
        let endpoint = json!({"name": "s-1", "address": leaf.address, "zone": "z", "type": "m",
            "group": 0, "status": "up", "weight": 1.0, "since_ms": 0});
        let config = json!({
            "name": "n0", "listen": address, "discovery": discovery.local_addr().unwrap(),
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
            "known": {"index": 41, "snapshot": true, "endpoints": [endpoint]},
            "settings": {
                "classes": [{"name": "lookup", "aim_ns": 30_000_000_000_u64,
                    "give_up_ns": 60_000_000_000_u64, "semantics": "read_like"}],
                "extra": {"places": 1, "reach": 1, "ranges": 2, "class_need": [1.0],
                    "least_share": [0.6], "partial_earns": [0.9], "second_step": [0]},
                "limits": {"open_cap": 6000, "streams_per_conn": 32, "retry_after": true,
                    "max_retry_after_ns": 1_000_000_000},
                "replicas_of_me": 1, "tick_ns": 5_000_000,
            },
        });
        let folder = TempDir::new().unwrap();
        let config_path = folder.path().join("config.json");
        fs::write(&config_path, config.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_query-aggregator"))
            .env("BALANCER_CONFIG", &config_path)
            .stderr(Stdio::null())
            .spawn()
            .expect("the program should start");
        let program = Program {
            address,
            child,
            _turn: turn,
            _folder: folder,
            _discovery: discovery,
            _leaf: leaf,
        };
        get_stats(address).await;
        program
    }

    /// Expects that the program runs and has stayed below its memory limit since its start.
    pub async fn expect_memory_below_limit(&self) {
        get_stats(self.address).await;
        let peak_kib = self.peak_resident_kib();
        let limit_kib = MEMORY_MB * KIB_PER_MB;
        assert!(
            peak_kib < limit_kib,
            "expected less than {limit_kib} KiB, the peak is {peak_kib} KiB"
        );
    }

    /// Returns the greatest resident memory since the start of the program, in KiB.
    fn peak_resident_kib(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|number| number.parse().ok()).unwrap()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
