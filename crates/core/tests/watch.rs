//! The watch on the list, on real sockets: silent, ended, moved, and laid out in every form.

mod support;

use aggregator_core::net::OperatorSignal;
use support::engine_harness::SETTINGS;
use support::socket_harness::{
    addresses, answer, client, line, list, play, query, Leaf, Watch, NEVER,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{sleep, timeout, Duration, Instant};

/// Discovery had it and could be reached: so long after, a change counts as told.
const TOLD: Duration = Duration::from_secs(6);

/// The status with which a query is answered where the list names nobody: the list has been taken.
async fn refused(mixer: std::net::SocketAddr) -> bool {
    let mut client = client(mixer).await;
    client
        .write_all(query("gone", "X-Timeout: 400m\r\n").as_bytes())
        .await
        .unwrap();
    answer(&mut client).await.0.starts_with("HTTP/1.1 503")
}

#[test]
fn a_list_that_comes_indented_is_taken() {
    play(SETTINGS, 100, |stage| async move {
        let mut watch = Watch::next(&stage.discovery).await;
        assert!(watch.request.contains("from=2 "), "{}", watch.request);
        watch.begin().await;
        let indented = serde_json::to_string_pretty(&list(9, &[])).unwrap();
        for piece in (indented + "\n").as_bytes().chunks(7) {
            watch.write(std::str::from_utf8(piece).unwrap()).await;
            tokio::task::yield_now().await;
        }
        drop(watch);
        let again = Watch::next(&stage.discovery).await;
        assert!(again.request.contains("from=9 "), "{}", again.request);
        assert!(refused(stage.mixer).await, "it names nobody");
    });
}

#[test]
fn a_watch_that_falls_silent_is_opened_anew_and_has_told_within_the_time() {
    play(SETTINGS, 100, |stage| async move {
        let mut silent = Watch::next(&stage.discovery).await;
        silent.begin().await;
        silent.write("\n").await;
        let since = Instant::now();
        // The first call after it meets an agent that is silent as well.
        let deaf = Watch::next(&stage.discovery).await;
        let mut third = Watch::next(&stage.discovery).await;
        third.begin().await;
        third.write(&format!("{}\n", list(9, &[]))).await;
        assert!(since.elapsed() < TOLD, "{:?}", since.elapsed());
        assert!(refused(stage.mixer).await);
        drop((silent, deaf, third));
    });
}

/// What is pushed counts as told at once, and a drain has to be obeyed 2 s later: however long
/// discovery was down, nobody may wait for longer than that before asking again.
#[test]
fn however_often_a_watch_was_refused_the_next_one_comes_soon() {
    play(SETTINGS, 100, |stage| async move {
        let mut before = Instant::now();
        for _ in 0..30 {
            let (stream, _) = timeout(NEVER, stage.discovery.accept())
                .await
                .expect("a watch")
                .unwrap();
            drop(stream);
            assert!(
                before.elapsed() < Duration::from_secs(1),
                "{:?}",
                before.elapsed()
            );
            before = Instant::now();
        }
        for _ in 0..10 {
            let silent = Watch::next(&stage.discovery).await;
            assert!(
                before.elapsed() < Duration::from_secs(2),
                "{:?}",
                before.elapsed()
            );
            before = Instant::now();
            drop(silent);
        }
    });
}

#[test]
fn a_watch_that_lives_is_kept() {
    play(SETTINGS, 100, |stage| async move {
        let mut watch = Watch::next(&stage.discovery).await;
        watch.begin().await;
        for _ in 0..10 {
            sleep(Duration::from_secs(2)).await;
            watch.write("\n").await;
        }
        let another = timeout(Duration::from_millis(100), stage.discovery.accept()).await;
        assert!(another.is_err(), "no second watch");
    });
}

#[test]
fn a_reload_moves_the_watch_and_the_old_ones_end_is_no_news() {
    play(SETTINGS, 100, |stage| async move {
        let old = Watch::next(&stage.discovery).await;
        let next = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = addresses(next.local_addr().unwrap());
        // The old watch ends in the very moment in which discovery moves.
        drop(old);
        stage
            .tell
            .send(OperatorSignal::Reload(Some(at)))
            .await
            .unwrap();
        let mut moved = Watch::next(&next).await;
        moved.begin().await;
        moved.write("\n").await;
        let leaf = stage.leaf.local_addr().unwrap();
        for second in 0..4 {
            sleep(Duration::from_secs(1)).await;
            moved
                .write(&format!(
                    "{}\n",
                    list(20 + second, &[line(leaf, "draining")])
                ))
                .await;
        }
        assert!(
            timeout(Duration::from_millis(100), next.accept())
                .await
                .is_err(),
            "it is kept"
        );
        assert_eq!(
            moved.stream.try_read(&mut [0]).map_err(|e| e.kind()),
            Err(std::io::ErrorKind::WouldBlock)
        );
        assert!(
            refused(stage.mixer).await,
            "a draining one gets nothing new"
        );
        let gone = timeout(Duration::from_millis(100), stage.discovery.accept()).await;
        assert!(gone.is_err(), "nobody asks at the old address: {gone:?}");
        let _ = moved.stream.read(&mut []).await;
    });
}

#[test]
fn half_a_list_that_ends_in_a_reset_is_not_taken() {
    play(SETTINGS, 100, |stage| async move {
        let mut watch = Watch::next(&stage.discovery).await;
        // No length and no chunks: only the end of the connection says where the body ends.
        watch
            .stream
            .write_all(b"HTTP/1.1 200 OK\r\n\r\n")
            .await
            .unwrap();
        let complete = list(9, &[]).to_string();
        watch
            .stream
            .write_all(&complete.as_bytes()[..complete.len() - 1])
            .await
            .unwrap();
        sleep(Duration::from_millis(10)).await;
        watch.stream.set_zero_linger().unwrap();
        drop(watch);
        let again = Watch::next(&stage.discovery).await;
        assert!(again.request.contains("from=2 "), "{}", again.request);
        let mut client = client(stage.mixer).await;
        client
            .write_all(query("still", "").as_bytes())
            .await
            .unwrap();
        let mut leaf = Leaf::next(&stage.leaf).await;
        assert_eq!(
            leaf.call().await.0,
            "still.3",
            "whom the list of before names is asked"
        );
    });
}
