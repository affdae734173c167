//! The endpoint list and the watch that delivers it.

use crate::snapshot_of_one;
use crate::support::engine_harness::{address, EngineHarness, MS, SETTINGS, START};
use aggregator_core::engine::Input;

/// Discovery is a single service for all aggregators. If all aggregators whose watch was rejected
/// retried at the same time, they would overload it, and none would get a list.
#[test]
fn watches_of_a_polled_list_are_spread_over_time_and_back_off() {
    let settings =
        format!("{SETTINGS}discovery=on_request\nguarantees.ask_within_ns=10000000000\n");
    let mut starts = Vec::new();
    for seed in 0..20 {
        let mut harness = EngineHarness::with_seed(&settings, 1, seed);
        let mut ended_watches = 0;
        while harness.now < START + 60_000 * MS {
            harness.advance(50);
            if harness.watch_starts.len() > ended_watches {
                ended_watches = harness.watch_starts.len();
                let watch = harness.last_watch;
                harness.apply(Input::WatchEnded { watch });
            }
        }
        assert!(
            (5..=20).contains(&ended_watches),
            "expected 5 to 20 watches in a minute, with increasing delays, got {ended_watches}"
        );
        starts.extend(harness.watch_starts[..2].to_vec());
    }
    let starts_within_half_a_second = |from: &u64| {
        let half_a_second = *from..from + 500 * MS;
        let starts = starts.iter().filter(|at| half_a_second.contains(at));
        starts.count()
    };
    let maximum = starts.iter().map(starts_within_half_a_second).max();
    assert!(
        maximum <= Some(starts.len() / 3),
        "expected at most a third of the first watches within half a second, got {maximum:?}"
    );
}

/// When discovery pushes the list, a new watch is cheap, and the list must not be late.
#[test]
fn a_pushed_list_is_watched_from_the_start_and_soon_after_each_end() {
    let mut harness = EngineHarness::new(1);
    assert_eq!(harness.watch_starts, [START]);
    let watch = harness.last_watch;
    harness.apply(Input::WatchEnded { watch });
    harness.advance(1000);
    assert_eq!(harness.watch_starts.len(), 2);
    harness.apply(Input::ConfigurationReloaded { is_valid: true });
    assert_eq!(
        harness.watch_starts.len(),
        3,
        "expected a watch on the new address right after the reload"
    );
}

#[test]
fn the_late_end_of_a_replaced_watch_starts_no_other_watch() {
    let mut harness = EngineHarness::new(1);
    let replaced = harness.last_watch;
    harness.apply(Input::ConfigurationReloaded { is_valid: true });
    harness.apply(Input::WatchEnded { watch: replaced });
    harness.advance(20_000);
    assert_eq!(
        harness.watch_starts.len(),
        2,
        "expected no watch after the one that replaced it"
    );
}

#[test]
fn a_snapshot_replaces_a_stale_cached_list() {
    let mut harness = EngineHarness::new(2);
    harness.apply(snapshot_of_one(2, &address(2)));
    harness.send_query(1, &[0.5, 0.5]);
    let mut connections = harness.connections.values();
    assert!(
        connections.all(|socket| socket.address == address(2)),
        "{:?}",
        harness.connections
    );
    assert_eq!(harness.engine.endpoints_version(), 9);
}

#[test]
fn calls_to_a_replica_that_has_moved_go_to_its_new_address() {
    let mut harness = EngineHarness::new(2);
    harness.send_query(1, &[0.5, 0.5]);
    harness.open_all_connections();
    harness.respond_to_all();
    harness.set_status_of_address("127.0.0.9:7070", "up");
    harness.apply(snapshot_of_one(2, "127.0.0.9:7070"));
    let frames_before = harness.frames.len();
    harness.send_query(1, &[1.0]);
    harness.open_all_connections();
    let called: Vec<&str> = harness.frames[frames_before..]
        .iter()
        .map(|sent| harness.connections[&sent.connection].address.as_str())
        .collect();
    assert_eq!(called, ["127.0.0.9:7070"]);
}
