//! A frontend for another protocol during a graceful shutdown, over loopback sockets.

mod support;

use aggregator_core::net::{Extensions, InternalClient, StartFrontend};
use aggregator_core::protocol::query::QueryReply;
use std::cell::RefCell;
use std::rc::Rc;
use support::engine_harness::{query, SETTINGS};
use support::socket_harness::leaf_server::LeafServerConnection;
use support::socket_harness::SocketScenario;
use tokio::time::{sleep, Duration};

/// Time between two queries of one request.
const BETWEEN_QUERIES: Duration = Duration::from_millis(200);
/// Time from the end of listening to just after the exit deadline, with the deadlines in the
/// settings.
const UNTIL_AFTER_EXIT_DEADLINE: Duration = Duration::from_millis(3_151);

type SharedReply = Rc<RefCell<Option<QueryReply>>>;

/// Returns a frontend with one request, which sends its query `delay` after listening has stopped.
fn frontend_with_late_query(delay: Duration, reply: SharedReply) -> StartFrontend {
    Box::new(move |aggregator: InternalClient| {
        tokio::task::spawn_local(async move {
            let _open_request = aggregator.open_request();
            aggregator.listening_stopped().await;
            sleep(delay).await;
            let late_query = query("late", 1, &[1.0], 1000);
            let received = aggregator.send_query(aggregator.now(), late_query).await;
            *reply.borrow_mut() = Some(received);
        });
    })
}

fn scenario_with(frontend: StartFrontend) -> SocketScenario<'static> {
    SocketScenario {
        extensions: Extensions {
            frontends: vec![frontend],
            ..Extensions::default()
        },
        ..SocketScenario::new(SETTINGS, 100)
    }
}

#[test]
fn the_exit_waits_until_a_frontend_has_served_all_accepted_requests() {
    let reply = SharedReply::default();
    let frontend = frontend_with_late_query(BETWEEN_QUERIES, reply.clone());
    let scenario = scenario_with(frontend);
    scenario.run(|harness| async move {
        harness.request_shutdown().await;
        let mut leaf = LeafServerConnection::accept(&harness.leaf).await;
        let id = leaf.next_call().await.id;
        leaf.send_result(&id).await;
        harness.expect_exit().await;
        let reply = reply.borrow();
        let is_answered = matches!(*reply, Some(QueryReply::Answer { complete: true, .. }));
        assert!(is_answered, "{reply:?}");
    });
}

#[test]
fn a_query_after_the_exit_deadline_is_rejected_at_once() {
    let reply = SharedReply::default();
    let frontend = frontend_with_late_query(UNTIL_AFTER_EXIT_DEADLINE, reply.clone());
    let scenario = scenario_with(frontend);
    scenario.run(|harness| async move {
        harness.request_shutdown().await;
        harness.expect_exit().await;
        let reply = reply.borrow();
        assert_eq!(*reply, Some(QueryReply::Rejected { retry_after: None }));
    });
}
