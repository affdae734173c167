//! The memory that is held for the requests of clients: the accounting, and requests over loopback
//! sockets for which no memory is left.

mod support;

use aggregator_core::memory::{
    MemoryBudget, ReservationError, CONNECTION_ALLOWANCE_BYTES, MAX_CONNECTION_BYTES,
};

#[test]
fn a_connection_takes_from_the_budget_what_exceeds_its_allowance() {
    let budget = MemoryBudget::new(1000);
    let (first, second) = (budget.open_account(), budget.open_account());
    let allowance = first.reserve(CONNECTION_ALLOWANCE_BYTES).unwrap();
    assert_eq!(budget.used(), 0);
    let rest = first.reserve(1000).unwrap();
    assert_eq!(budget.used(), 1000);
    assert_eq!(
        first.reserve(1).unwrap_err(),
        ReservationError::BudgetExhausted
    );
    let other = second.reserve(CONNECTION_ALLOWANCE_BYTES).unwrap();
    assert_eq!(
        second.reserve(1).unwrap_err(),
        ReservationError::BudgetExhausted
    );
    drop(allowance);
    assert_eq!(
        budget.used(),
        0,
        "expected the rest to fit into the allowance"
    );
    drop((rest, other));
    assert_eq!(budget.used(), 0);
}

#[test]
fn a_connection_has_a_limit_whatever_the_budget_is() {
    let connection = MemoryBudget::new(usize::MAX).open_account();
    let held = connection.reserve(MAX_CONNECTION_BYTES).unwrap();
    assert_eq!(
        connection.reserve(1).unwrap_err(),
        ReservationError::ConnectionLimit
    );
    drop(held);
    assert!(connection.reserve(1).is_ok());
}

#[test]
fn a_reservation_that_does_not_fit_keeps_its_size() {
    let budget = MemoryBudget::new(10);
    let connection = budget.open_account();
    let mut reservation = connection.reserve(CONNECTION_ALLOWANCE_BYTES + 4).unwrap();
    assert_eq!(
        reservation.resize(CONNECTION_ALLOWANCE_BYTES + 11),
        Err(ReservationError::BudgetExhausted)
    );
    assert_eq!(budget.used(), 4);
    reservation.resize(CONNECTION_ALLOWANCE_BYTES + 10).unwrap();
    assert_eq!(budget.used(), 10);
    reservation.resize(0).unwrap();
    assert_eq!(budget.used(), 0);
}

/// Requests at an aggregator that has no memory for clients beyond their allowances.
mod exhausted_budget {
    use crate::support::engine_harness::SETTINGS;
    use crate::support::socket_harness::client::{
        connect_client, expect_clean_close, query_request, read_response, send_query,
    };
    use crate::support::socket_harness::leaf_server::LeafServerConnection;
    use crate::support::socket_harness::{SocketHarness, SocketScenario};
    use std::future::Future;
    use tokio::io::AsyncWriteExt;

    /// Number of pipelined requests that exceeds the allowance of a connection.
    const PIPELINED_REQUESTS: usize = 100;

    fn run_without_budget<F: Future<Output = ()>>(test: impl FnOnce(SocketHarness) -> F) {
        let mut scenario = SocketScenario::new(SETTINGS, 100);
        scenario.memory_limit = 0;
        scenario.run(test);
    }

    /// Guards against a pipelined request that is dropped, or answered with an error that does not
    /// let the client retry it.
    #[test]
    fn a_pipelined_request_that_does_not_fit_is_rejected() {
        run_without_budget(|harness| async move {
            let mut client = connect_client(harness.aggregator).await;
            for number in 0..PIPELINED_REQUESTS {
                send_query(&mut client, &format!("q{number}")).await;
            }
            let leaf = LeafServerConnection::accept(&harness.leaf).await;
            tokio::task::spawn_local(leaf.serve());
            let mut answered = 0;
            let rejection = loop {
                let response = read_response(&mut client).await;
                if !response.head.starts_with("HTTP/1.1 200") {
                    break response;
                }
                answered += 1;
            };
            assert!(
                (2..PIPELINED_REQUESTS).contains(&answered),
                "expected the requests within the allowance to be answered, got {answered}"
            );
            let is_retriable = rejection.head.starts_with("HTTP/1.1 503")
                && rejection.head.contains("Retry-After: ")
                && rejection.head.contains("Connection: close");
            assert!(is_retriable, "{rejection:?}");
            expect_clean_close(&mut client).await;
        });
    }

    /// Guards against bad clients that take the memory for the requests of usual clients.
    #[test]
    fn a_usual_request_is_answered() {
        run_without_budget(|harness| async move {
            let mut bad = connect_client(harness.aggregator).await;
            for number in 0..PIPELINED_REQUESTS {
                send_query(&mut bad, &format!("bad{number}")).await;
            }
            let mut client = connect_client(harness.aggregator).await;
            let field = format!("Cookie: {}\r\n", "x".repeat(2_000));
            let request = query_request("usual", &field);
            client.write_all(request.as_bytes()).await.unwrap();
            let leaf = LeafServerConnection::accept(&harness.leaf).await;
            tokio::task::spawn_local(leaf.serve());
            let response = read_response(&mut client).await;
            assert!(response.head.starts_with("HTTP/1.1 200"), "{response:?}");
        });
    }

    /// Guards against a large body that is read although there is no memory to hold it, and against
    /// a client that gets no final answer then.
    #[test]
    fn a_body_that_does_not_fit_is_rejected_before_it_is_read() {
        run_without_budget(|harness| async move {
            let head = "POST /lookup HTTP/1.1\r\nX-Request-ID: large\r\n";
            for framing in ["Content-Length: 60000", "Transfer-Encoding: chunked"] {
                let mut client = connect_client(harness.aggregator).await;
                let part = format!("{head}{framing}\r\n\r\nea60\r\n{}", "x".repeat(10_000));
                client.write_all(part.as_bytes()).await.unwrap();
                let rejection = read_response(&mut client).await;
                let is_retriable = rejection.head.starts_with("HTTP/1.1 503")
                    && rejection.head.contains("Retry-After: ");
                assert!(is_retriable, "{framing}: {rejection:?}");
                expect_clean_close(&mut client).await;
            }
        });
    }
}
