//! Narrow moments on real sockets: a client that leaves, a connection that is shut while bytes are
//! on their way, an end that comes between two requests. The test plays all others, so each
//! crossing is forced.

mod support;

use aggregator_core::net::OperatorSignal;
use std::io;
use support::engine_harness::SETTINGS;
use support::socket_harness::{answer, client, play, query, Leaf, Stage, NEVER};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Duration, Instant};

/// The end of a connection as its client sees it: all was read, and nothing was reset.
async fn ends_well(stream: &mut TcpStream) {
    let end = timeout(NEVER, stream.read(&mut [0])).await.expect("an end");
    assert_eq!(end.map_err(|e| e.kind()), Ok(0));
    assert!(stream.take_error().unwrap().is_none(), "reset");
}

/// All that a leaf server is sent from now on, until nothing has come for a while.
async fn frames(leaf: &mut Leaf) -> Vec<String> {
    let mut frames = Vec::new();
    while let Ok(Some(frame)) = timeout(Duration::from_secs(20), leaf.frame()).await {
        frames.push(frame);
    }
    frames
}

#[test]
fn a_client_that_leaves_behind_pipelined_requests_is_gone_at_once() {
    play(SETTINGS, 100, |stage| async move {
        let mut client = client(stage.mixer).await;
        let both = query("a1", "") + &query("a2", "") + &query("a3", "");
        client.write_all(both.as_bytes()).await.unwrap();
        let mut leaf = Leaf::next(&stage.leaf).await;
        assert_eq!(leaf.call().await.0, "a1.3");
        let left = Instant::now();
        drop(client);
        assert_eq!(
            timeout(NEVER, leaf.frame()).await.unwrap(),
            Some("Xa1.3".into())
        );
        assert!(
            left.elapsed() < Duration::from_millis(100),
            "{:?}",
            left.elapsed()
        );
        assert_eq!(
            frames(&mut leaf).await,
            [""; 0],
            "nobody waits for the others"
        );
    });
}

#[test]
fn a_client_that_sends_more_than_is_read_ahead_is_seen_to_leave() {
    play(SETTINGS, 100, |stage| async move {
        let mut client = client(stage.mixer).await;
        let many: String = (0..2000).map(|n| query(&format!("a{n}"), "")).collect();
        client.write_all(many.as_bytes()).await.unwrap();
        let mut leaf = Leaf::next(&stage.leaf).await;
        assert_eq!(leaf.call().await.0, "a0.3");
        let left = Instant::now();
        drop(client);
        assert_eq!(
            timeout(NEVER, leaf.frame()).await.unwrap(),
            Some("Xa0.3".into())
        );
        assert!(
            left.elapsed() < Duration::from_millis(100),
            "{:?}",
            left.elapsed()
        );
        assert_eq!(
            frames(&mut leaf).await,
            [""; 0],
            "nobody waits for the others"
        );
    });
}

#[test]
fn the_time_of_a_request_runs_while_it_waits_behind_another() {
    play(SETTINGS, 100, |stage| async move {
        let mut client = client(stage.mixer).await;
        let both = query("b1", "") + &query("b2", "X-Timeout: 1500m\r\n");
        client.write_all(both.as_bytes()).await.unwrap();
        let mut leaf = Leaf::next(&stage.leaf).await;
        let first = leaf.call().await.0;
        sleep(Duration::from_millis(300)).await;
        leaf.answer(&first).await;
        assert!(answer(&mut client).await.1.contains("b1.3"));
        let (second, wait_ms) = leaf.call().await;
        assert_eq!(second, "b2.3");
        assert!(wait_ms <= 1200, "{wait_ms} ms told of 1200 left");
        leaf.answer(&second).await;
        assert!(answer(&mut client).await.1.contains("b2.3"));
    });
}

#[test]
fn the_last_answer_is_not_lost_to_bytes_that_were_not_read() {
    play(SETTINGS, 100, |stage| async move {
        let mut client = client(stage.mixer).await;
        client
            .write_all(query("c1", "Connection: close\r\n").as_bytes())
            .await
            .unwrap();
        let mut leaf = Leaf::next(&stage.leaf).await;
        let id = leaf.call().await.0;
        let behind: String = (0..2000).map(|n| query(&format!("c-{n}"), "")).collect();
        client.write_all(behind.as_bytes()).await.unwrap();
        leaf.answer(&id).await;
        let (head, body) = answer(&mut client).await;
        assert!(
            head.contains("Connection: close") && body.contains("c1.3"),
            "{head}{body}"
        );
        // More comes while the mixer is about to close.
        client.write_all(behind.as_bytes()).await.unwrap();
        ends_well(&mut client).await;
        assert_eq!(
            frames(&mut leaf).await,
            [""; 0],
            "what follows a last request is not served"
        );
    });
}

/// A client that was served once and rests; the leaf server's connection stays open for what may
/// come.
async fn resting(stage: &Stage, name: &str) -> (TcpStream, Leaf) {
    let mut client = client(stage.mixer).await;
    client.write_all(query(name, "").as_bytes()).await.unwrap();
    let mut leaf = Leaf::next(&stage.leaf).await;
    let id = leaf.call().await.0;
    leaf.answer(&id).await;
    assert!(answer(&mut client).await.0.starts_with("HTTP/1.1 200"));
    (client, leaf)
}

#[test]
fn a_request_that_crosses_the_shutdown_of_its_connection_is_neither_sent_on_nor_reset() {
    play(SETTINGS, 100, |stage| async move {
        let (mut client, mut leaf) = resting(&stage, "d1").await;
        stage.tell.send(OperatorSignal::Shutdown).await.unwrap();
        ends_well(&mut client).await;
        client.write_all(query("d2", "").as_bytes()).await.unwrap();
        sleep(Duration::from_millis(100)).await;
        ends_well(&mut client).await;
        drop(client);
        let ended = timeout(NEVER, stage.served)
            .await
            .expect("the mixer ends")
            .unwrap();
        assert!(ended.is_ok());
        assert_eq!(
            frames(&mut leaf).await,
            [""; 0],
            "nothing is sent on after the shutdown"
        );
    });
}

#[test]
fn what_was_read_before_the_shutdown_is_answered_and_what_came_with_it() {
    play(SETTINGS, 100, |stage| async move {
        let mut client = client(stage.mixer).await;
        let both = query("e1", "") + &query("e2", "");
        client.write_all(both.as_bytes()).await.unwrap();
        let mut leaf = Leaf::next(&stage.leaf).await;
        let first = leaf.call().await.0;
        stage.tell.send(OperatorSignal::Shutdown).await.unwrap();
        sleep(Duration::from_millis(1000)).await;
        assert!(
            TcpStream::connect(stage.mixer).await.is_err(),
            "no new connections"
        );
        leaf.answer(&first).await;
        assert!(answer(&mut client).await.1.contains("e1.3"));
        let second = leaf.call().await.0;
        // Read after the shutdown has begun.
        client.write_all(query("e3", "").as_bytes()).await.unwrap();
        leaf.answer(&second).await;
        let (head, body) = answer(&mut client).await;
        assert!(
            head.contains("Connection: close") && body.contains("e2.3"),
            "{head}{body}"
        );
        ends_well(&mut client).await;
        drop(client);
        assert!(timeout(NEVER, stage.served)
            .await
            .expect("the mixer ends")
            .unwrap()
            .is_ok());
        assert_eq!(frames(&mut leaf).await, [""; 0]);
    });
}

#[test]
fn the_end_comes_in_time_while_a_leaf_server_hangs_and_all_that_was_taken_is_answered() {
    play(SETTINGS, 100, |stage| async move {
        let (mut resting, _idle) = resting(&stage, "f0").await;
        let mut client = client(stage.mixer).await;
        client.write_all(query("f1", "").as_bytes()).await.unwrap();
        sleep(Duration::from_millis(10)).await;
        let told = Instant::now();
        stage.tell.send(OperatorSignal::Shutdown).await.unwrap();
        // Neither client ever closes its side.
        let (head, _) = answer(&mut client).await;
        assert!(head.starts_with("HTTP/1.1 50"), "{head}");
        assert!(timeout(NEVER, stage.served)
            .await
            .expect("the mixer ends")
            .unwrap()
            .is_ok());
        // The longest deadline is 6 s, and a kill may follow 0.7 s later.
        assert!(
            told.elapsed() < Duration::from_millis(6_700),
            "{:?}",
            told.elapsed()
        );
        ends_well(&mut client).await;
        ends_well(&mut resting).await;
    });
}

#[test]
fn a_connection_that_waits_to_be_accepted_when_listening_stops_is_answered() {
    let text = SETTINGS
        .replace("open_cap=60", "open_cap=600")
        .replace("streams_per_conn=4", "streams_per_conn=99");
    // Room for 18 clients and 16 more that are being closed.
    play(&text, 40, |stage| async move {
        let mut clients = Vec::new();
        for n in 0..40 {
            let mut client = client(stage.mixer).await;
            client
                .write_all(query(&format!("g{n}"), "").as_bytes())
                .await
                .unwrap();
            clients.push(client);
        }
        let mut leaf = Leaf::next(&stage.leaf).await;
        let first = leaf.call().await.0;
        assert_eq!(first, "g0.3");
        stage.tell.send(OperatorSignal::Shutdown).await.unwrap();
        let leaf = tokio::task::spawn_local(async move {
            sleep(Duration::from_millis(1000)).await;
            leaf.answer(&first).await;
            leaf.serve().await
        });
        for client in &mut clients {
            // Its last words may be a refusal: the queries before it have waited for long. A reset
            // is no answer.
            let (head, _) = answer(client).await;
            assert!(
                head.starts_with("HTTP/1.1 200") || head.starts_with("HTTP/1.1 503"),
                "{head}"
            );
        }
        drop(clients);
        assert!(timeout(NEVER, stage.served)
            .await
            .expect("the mixer ends")
            .unwrap()
            .is_ok());
        leaf.await.unwrap();
    });
}

#[test]
fn a_new_connection_that_says_nothing_is_closed_and_costs_nobody_his_answer() {
    play(SETTINGS, 100, |stage| async move {
        let mut silent = client(stage.mixer).await;
        let end = timeout(Duration::from_millis(2_500), silent.read(&mut [0]))
            .await
            .expect("closed");
        assert_eq!(end.map_err(|e: io::Error| e.kind()), Ok(0));
    });
}

/// The connection is reset: what its other end has not read is lost, as after a crash.
fn reset(stream: TcpStream) {
    stream.set_zero_linger().unwrap();
    drop(stream);
}

#[test]
fn a_part_that_may_not_be_repeated_and_may_have_run_is_not_sent_again() {
    let text = SETTINGS.replace(
        "classes.1.semantics=read_like",
        "classes.1.semantics=non_idempotent",
    );
    play(&text, 100, |stage| async move {
        let mut client = client(stage.mixer).await;
        client.write_all(query("h1", "").as_bytes()).await.unwrap();
        let mut leaf = Leaf::next(&stage.leaf).await;
        assert_eq!(leaf.call().await.0, "h1.3");
        reset(leaf.stream);
        let (head, _) = answer(&mut client).await;
        assert!(
            head.starts_with("HTTP/1.1 504") && !head.contains("Retry-After"),
            "{head}"
        );
        let again = timeout(Duration::from_secs(20), stage.leaf.accept()).await;
        assert!(again.is_err(), "nobody asks again: {again:?}");
    });
}

#[test]
fn a_part_that_may_be_repeated_is_sent_again_and_told_what_is_left() {
    play(SETTINGS, 100, |stage| async move {
        let mut client = client(stage.mixer).await;
        client
            .write_all(query("i1", "X-Timeout: 2000m\r\n").as_bytes())
            .await
            .unwrap();
        let mut leaf = Leaf::next(&stage.leaf).await;
        let (id, first_ms) = leaf.call().await;
        assert!(first_ms <= 2000, "{first_ms}");
        sleep(Duration::from_millis(700)).await;
        reset(leaf.stream);
        let mut leaf = Leaf::next(&stage.leaf).await;
        let (again, wait_ms) = leaf.call().await;
        assert!(
            again == id && wait_ms <= 1300,
            "{wait_ms} ms told of 1300 left"
        );
        leaf.answer(&id).await;
        assert!(answer(&mut client).await.1.contains("i1.3"));
    });
}

#[test]
fn idle_clients_that_fill_the_places_while_discovery_is_down_shut_out_neither_the_watch_nor_a_new_client(
) {
    // Room for 45 clients.
    play(SETTINGS, 100, |stage| async move {
        drop(stage.discovery.accept().await.unwrap());
        let (first, leaf) = resting(&stage, "j-first").await;
        let leaf = tokio::task::spawn_local(leaf.serve());
        let mut resting = vec![first];
        for n in 0..60 {
            let mut client = client(stage.mixer).await;
            client
                .write_all(query(&format!("j{n}"), "").as_bytes())
                .await
                .unwrap();
            assert!(answer(&mut client).await.0.starts_with("HTTP/1.1 200"));
            resting.push(client);
            resting.push(support::socket_harness::client(stage.mixer).await);
        }
        let mut watch = support::socket_harness::Watch::next(&stage.discovery).await;
        watch.begin().await;
        watch.write("\n").await;
        let mut client = client(stage.mixer).await;
        client
            .write_all(query("j-last", "").as_bytes())
            .await
            .unwrap();
        assert!(answer(&mut client).await.1.contains("j-last.3"));
        drop((resting, watch));
        leaf.abort();
    });
}
