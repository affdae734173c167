//! A graceful shutdown while the usage log is stalled: no reply may wait for its record until the
//! process may be killed.

mod support;

use aggregator_core::engine::usage::{QueryUsage, UsageWatermark};
use aggregator_core::net::{Extensions, UsageRecorder};
use std::cell::Cell;
use std::rc::Rc;
use support::engine_harness::SETTINGS;
use support::socket_harness::client::{connect_client, read_response, send_query};
use support::socket_harness::leaf_server::LeafServerConnection;
use support::socket_harness::SocketScenario;
use tokio::sync::watch;
use tokio::time::{Duration, Instant};

/// Maximum time from the shutdown request to an answer. With the deadlines in the settings, the
/// process may be killed 3700 ms after the request; it may be suspended for 150 ms before that.
const ANSWER_TIME_LIMIT: Duration = Duration::from_millis(3_700 - 150);

/// A usage log that never writes, with a long maximum delay of replies.
struct StalledRecorder {
    written: watch::Sender<u64>,
    is_closed: Rc<Cell<bool>>,
}

impl UsageRecorder for StalledRecorder {
    fn record(&mut self, _: QueryUsage) -> bool {
        true
    }
    fn record_watermark(&mut self, _: UsageWatermark) {}
    fn written(&self) -> watch::Receiver<u64> {
        self.written.subscribe()
    }
    fn max_reply_delay(&self) -> Duration {
        Duration::from_secs(60)
    }
    fn count_unrecorded_reply(&mut self) {}
    /// Closing a stalled log would take long and block everything else.
    fn close(&mut self) {
        self.is_closed.set(true);
    }
}

#[test]
fn a_reply_does_not_wait_for_a_stalled_log_until_the_kill() {
    let is_closed = Rc::<Cell<bool>>::default();
    let recorder = StalledRecorder {
        written: watch::channel(0).0,
        is_closed: is_closed.clone(),
    };
    let scenario = SocketScenario {
        extensions: Extensions {
            recorder: Some(Box::new(recorder)),
            ..Extensions::default()
        },
        ..SocketScenario::new(SETTINGS, 100)
    };
    scenario.run(|harness| async move {
        let mut client = connect_client(harness.aggregator).await;
        send_query(&mut client, "held").await;
        let mut leaf = LeafServerConnection::accept(&harness.leaf).await;
        let id = leaf.next_call().await.id;
        leaf.send_result(&id).await;
        let requested_at = Instant::now();
        harness.request_shutdown().await;
        let response = read_response(&mut client).await;
        assert!(response.body.contains("held.3"), "{response:?}");
        let answered_after = requested_at.elapsed();
        assert!(
            answered_after <= ANSWER_TIME_LIMIT,
            "answered after {answered_after:?}, expected at most {ANSWER_TIME_LIMIT:?}"
        );
        assert!(
            !is_closed.get(),
            "expected the reply before the log is closed"
        );
        drop(client);
        harness.expect_exit().await;
        assert!(is_closed.get(), "expected the log to be closed at the exit");
    });
}
