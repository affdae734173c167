//! The program as operators run it: reloads on SIGHUP with a valid and an invalid configuration,
//! and a graceful shutdown after both. The program stays a single process throughout.

mod support {
    pub mod aggregator_process;
    pub mod discovery;
}

use serde_json::json;
use support::aggregator_process::AggregatorProcess;
use support::discovery::Discovery;
use tokio::io::AsyncReadExt;

fn config(discovery: &Discovery) -> String {
    let known = json!({"index": 41, "snapshot": true, "endpoints": []});
    let settings = json!({
        "classes": [{"name": "a", "aim_ns": 2, "give_up_ns": 6, "semantics": "read_like"}],
        "extra": {"places": 1, "reach": 1, "ranges": 2, "class_need": [1.0], "least_share": [0.6],
            "partial_earns": [0.9], "second_step": [0]},
        "replicas_of_me": 1, "tick_ns": 5,
    });
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.address(), "seed": "1",
        "known": known, "settings": settings})
    .to_string()
}

#[tokio::test]
async fn a_reload_moves_the_watch_and_an_invalid_file_changes_nothing() {
    let (old, new) = (Discovery::start().await, Discovery::start().await);
    let mut program = AggregatorProcess::start("reload", &config(&old));
    let mut first_watch = old.accept_watch().await;
    program.write_config("{");
    program
        .signal("-HUP", "previous configuration stays in force")
        .await;
    program.write_config(&config(&new));
    program.signal("-HUP", "configuration reloaded").await;
    let second_watch = new.accept_watch().await;
    assert!(
        second_watch.request.contains("from=41 "),
        "expected a watch that continues from the known endpoint list: {}",
        second_watch.request
    );
    assert_eq!(
        first_watch.stream.read(&mut [0]).await.unwrap(),
        0,
        "expected the old watch to have ended"
    );
    program.write_config(&config(&old));
    program.signal("-HUP", "configuration reloaded").await;
    let _third_watch = old.accept_watch().await;
    program.signal("-TERM", "exit requested").await;
    assert!(program.wait_for_exit());
}

/// Returns the ids of all child processes of a process, or an empty string if there are none.
#[cfg(target_os = "linux")]
fn child_processes(id: u32) -> String {
    let threads = std::fs::read_dir(format!("/proc/{id}/task")).unwrap();
    let children = threads.map(|thread| thread.unwrap().path().join("children"));
    children
        .map(|children| std::fs::read_to_string(children).unwrap())
        .collect()
}

#[cfg(target_os = "linux")]
#[tokio::test]
async fn the_aggregator_is_one_process_before_and_after_a_reload() {
    let discovery = Discovery::start().await;
    let mut program = AggregatorProcess::start("one-process", &config(&discovery));
    let _first_watch = discovery.accept_watch().await;
    assert_eq!(child_processes(program.id()), "");
    program.signal("-HUP", "configuration reloaded").await;
    let _second_watch = discovery.accept_watch().await;
    assert_eq!(child_processes(program.id()), "");
    program.signal("-TERM", "exit requested").await;
    assert!(program.wait_for_exit());
}
