//! A frontend for another protocol during a graceful shutdown, on loopback sockets.

mod support;

use aggregator_core::net::{Extensions, InternalClient, OperatorSignal, StartFrontend};
use aggregator_core::protocol::query::Reply;
use std::cell::RefCell;
use std::rc::Rc;
use support::engine_harness::{query, SETTINGS};
use support::socket_harness::{
    run_scenario_with_extensions, CachedList, LeafServerConnection, HANG_TIMEOUT,
};
use tokio::time::{sleep, timeout, Duration};

/// How long a request takes between two of its queries.
const BETWEEN_QUERIES: Duration = Duration::from_millis(200);

/// A frontend with one request, whose query follows only after listening has stopped.
fn frontend_with_late_query(reply: Rc<RefCell<Option<Reply>>>) -> StartFrontend {
    Box::new(move |aggregator: InternalClient| {
        tokio::task::spawn_local(async move {
            aggregator.stopped().await;
            sleep(BETWEEN_QUERIES).await;
            let late_query = query("late", 1, &[1.0], 1000);
            let received = aggregator.send_query(aggregator.now(), late_query).await;
            *reply.borrow_mut() = Some(received);
        });
    })
}

#[test]
fn the_process_goes_on_until_a_frontend_has_served_what_it_has_accepted() {
    let reply = Rc::<RefCell<Option<Reply>>>::default();
    let extensions = Extensions {
        frontends: vec![frontend_with_late_query(reply.clone())],
        ..Extensions::default()
    };
    let cached = CachedList::OneEndpoint;
    run_scenario_with_extensions(cached, SETTINGS, 100, extensions, |harness| async move {
        let shutdown = OperatorSignal::Shutdown;
        harness.signals.send(shutdown).await.unwrap();
        let mut leaf = LeafServerConnection::accept(&harness.leaf).await;
        let id = leaf.next_call().await.id;
        leaf.send_result(&id).await;
        let served = timeout(HANG_TIMEOUT, harness.served).await;
        assert!(served.expect("the aggregator ends").unwrap().is_ok());
        let reply = reply.borrow();
        let is_answered = matches!(*reply, Some(Reply::Answer { complete: true, .. }));
        assert!(is_answered, "{reply:?}");
    });
}
