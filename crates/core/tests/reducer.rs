//! The reducer with hand-made inputs: what the sockets owe their clients and leaf servers, one test
//! a danger.

mod support;

use aggregator_core::engine::{Effect, Input};
use aggregator_core::protocol::http::RequestError;
use aggregator_core::protocol::leaf::{LeafRequest, LeafResponse, PartStatus};
use aggregator_core::protocol::query::{ClientRequest, Query, QueryPart, Reply};
use support::engine_harness::{Bed, MS, SETTINGS, START};

fn calls(bed: &Bed) -> Vec<(u64, String)> {
    let call = |(connection, frame): &(u64, LeafRequest)| match frame {
        LeafRequest::Call(parts) => parts
            .iter()
            .map(|p| (*connection, p.id.to_string()))
            .collect(),
        _ => Vec::new(),
    };
    bed.frames.iter().flat_map(call).collect()
}

fn refused(reply: Option<&Reply>) -> bool {
    matches!(reply, Some(Reply::Rejected { retry_after: Some(after) }) if (1..=500 * MS).contains(after))
}

#[test]
fn a_query_is_answered_whole_with_the_values_as_given() {
    let mut bed = Bed::new(2);
    let client = bed.ask(1, &[0.5, 0.5]);
    bed.open_all();
    bed.answer_all();
    let Some(Reply::Answer {
        complete: true,
        hits,
    }) = bed.reply(client)
    else {
        panic!("{:?}", bed.reply(client))
    };
    assert_eq!(hits[1].doc, "doc q1.1");
    assert_eq!(hits.len(), 2);
}

#[test]
fn parts_of_one_turn_reuse_a_connection_and_later_ones_too() {
    let mut bed = Bed::new(1);
    bed.ask(1, &[0.5, 0.5]);
    bed.open_all();
    bed.answer_all();
    bed.ask(1, &[1.0]);
    assert_eq!(
        (
            bed.connections.len(),
            bed.state.counters().connections.opened
        ),
        (1, 1)
    );
    assert_eq!(calls(&bed).len(), 3);
}

#[test]
fn a_full_connection_gets_a_second_beside_it() {
    let mut bed = Bed::new(1);
    bed.ask(1, &[0.2; 5]);
    assert_eq!(bed.connections.len(), 2, "four streams on one connection");
}

#[test]
fn a_connection_that_never_comes_up_is_given_up_in_time() {
    let mut bed = Bed::new(1);
    bed.ask(1, &[1.0]);
    bed.pass(249);
    assert_eq!(bed.state.counters().attempts_ended.unreachable, 0);
    bed.pass(2);
    assert!(bed.state.counters().attempts_ended.unreachable >= 1);
    assert!(calls(&bed).is_empty());
}

#[test]
fn what_waits_for_a_connection_is_dropped_whole_when_its_replica_drains() {
    let mut bed = Bed::new(1);
    bed.ask(1, &[1.0]);
    let connection = *bed.connections.keys().next().unwrap();
    bed.list(1, "draining", 0);
    bed.open(connection);
    bed.pass(3000);
    assert!(
        calls(&bed).is_empty(),
        "its first byte would break the rule"
    );
    assert_eq!(bed.state.counters().attempts_ended.not_sent, 1);
}

#[test]
fn a_frame_cut_off_before_its_end_never_ran_and_after_it_may_have() {
    let mut bed = Bed::new(1);
    bed.ask(1, &[1.0]);
    let connection = *bed.connections.keys().next().unwrap();
    bed.break_off(connection);
    assert_eq!(
        (
            bed.state.counters().attempts_ended.unreachable,
            bed.state.counters().attempts_ended.connection_lost
        ),
        (1, 0)
    );
    let mut bed = Bed::new(1);
    bed.ask(1, &[1.0]);
    bed.open_all();
    let connection = *bed.connections.keys().next().unwrap();
    bed.break_off(connection);
    assert_eq!(
        (
            bed.state.counters().attempts_ended.unreachable,
            bed.state.counters().attempts_ended.connection_lost
        ),
        (0, 1)
    );
}

#[test]
fn a_connection_that_swallowed_an_attempt_gets_nothing_more() {
    let mut bed = Bed::new(1);
    let client = bed.ask(1, &[1.0]);
    bed.open_all();
    let old = *bed.connections.keys().next().unwrap();
    // The only replica answers nothing until the client gives up.
    bed.pass(6000);
    assert!(bed.reply(client).is_some());
    assert!(
        !bed.connections.contains_key(&old),
        "closed, since nothing more is out on it"
    );
    bed.ask(1, &[1.0]);
    assert!(
        bed.connections.keys().all(|connection| *connection > old),
        "a new one shows at once whether anyone is there"
    );
}

#[test]
fn a_frame_that_the_socket_never_takes_does_not_hold_its_connection_for_ever() {
    let mut bed = Bed::new(1);
    bed.stuck = true;
    bed.ask(1, &[1.0]);
    bed.open_all();
    let old = *bed.connections.keys().next().unwrap();
    bed.pass(6000);
    assert!(
        !bed.connections.contains_key(&old),
        "its machine has vanished with the buffer full"
    );
}

#[test]
fn what_expired_while_it_waited_does_not_go_out_when_the_socket_is_free_at_last() {
    let mut bed = Bed::new(1);
    bed.stuck = true;
    bed.ask(1, &[0.5, 0.5]);
    bed.open_all();
    let connection = *bed.connections.keys().next().unwrap();
    let mut effects = bed
        .state
        .apply(START + 2100 * MS, Input::FrameWritten { connection });
    effects.extend(bed.state.apply(START + 2100 * MS, Input::BatchEnded));
    effects.retain(|effect| matches!(effect, Effect::WriteFrame { .. }));
    assert_eq!(effects, [], "its time was the aim of 2 s");
    assert_eq!(bed.state.counters().attempts_ended.not_sent, 1);
}

#[test]
fn a_late_answer_to_what_was_given_up_is_ignored() {
    let mut bed = Bed::new(1);
    let first = bed.ask(1, &[1.0]);
    bed.open_all();
    let connection = *bed.connections.keys().next().unwrap();
    bed.left.insert(first);
    bed.put(Input::ClientDisconnected { client: first });
    assert!(bed
        .frames
        .iter()
        .any(|(_, frame)| *frame == LeafRequest::Cancel("q1.0".into())));
    bed.answer_to(connection, "q1.0", PartStatus::Ok);
    assert_eq!(bed.state.counters().attempts_ended.success, 0);
    assert!(bed.replies[&first].is_empty(), "nobody is there to be told");
}

#[test]
fn what_waits_for_a_connection_does_not_go_where_its_replica_was_before() {
    let mut bed = Bed::new(2);
    bed.ask(1, &[0.5, 0.5]);
    bed.told("127.0.0.9:7070", "up");
    let old: Vec<u64> = bed.connections.keys().copied().collect();
    bed.put(only_the_second("127.0.0.9:7070"));
    bed.told(&support::engine_harness::address(2), "removed");
    bed.open_all();
    bed.pass(100);
    assert!(
        calls(&bed)
            .iter()
            .all(|(connection, _)| !old.contains(connection)),
        "{:?}",
        calls(&bed)
    );
    assert!(
        old.iter()
            .all(|connection| !bed.connections.contains_key(connection)),
        "nothing is left to do on them"
    );
    bed.open_all();
    assert_eq!(calls(&bed).len(), 2, "both at the new address");
}

/// What waits at a connection when several inputs come at once: nothing may be written that any of
/// them forbids.
#[test]
fn a_client_that_left_and_a_drain_come_before_a_connection_that_came_up_with_them() {
    let gone = |bed: &Bed, client| {
        (
            Input::ClientDisconnected { client },
            bed.connections.keys().next().copied().unwrap(),
        )
    };
    for (opened_first, cancelling) in [(true, true), (true, false), (false, true), (false, false)] {
        let mut bed = Bed::with(
            &SETTINGS.replace("cancelling=true", &format!("cancelling={cancelling}")),
            1,
        );
        let client = bed.ask(1, &[0.5, 0.5]);
        let (left, connection) = gone(&bed, client);
        let mut inputs = vec![left, Input::ConnectionOpened { connection }];
        if opened_first {
            inputs.reverse();
        }
        let mut effects = Vec::new();
        for input in inputs.into_iter().chain([Input::BatchEnded]) {
            effects.extend(bed.state.apply(bed.now, input));
        }
        effects.retain(|effect| matches!(effect, Effect::WriteFrame { .. }));
        assert_eq!(
            effects,
            [],
            "nobody asks for it any more, cancelling or not"
        );
        assert_eq!(bed.state.counters().attempts_ended.cancelled, 2);
    }
    let mut bed = Bed::new(2);
    bed.ask(1, &[1.0]);
    let connection = *bed.connections.keys().next().unwrap();
    let (address, _) = bed.connections[&connection].clone();
    let other = if address == support::engine_harness::address(1) {
        2
    } else {
        1
    };
    let mut effects = Vec::new();
    let line = serde_json::json!(
        {"name": format!("s-{other}"), "address": support::engine_harness::address(other), "group": 0, "status": "up"});
    let complete = serde_json::json!({"index": 9, "snapshot": true, "endpoints": [line]});
    let list = Input::EndpointsUpdated(serde_json::from_value(complete).expect("a list"));
    for input in [
        Input::ConnectionOpened { connection },
        list,
        Input::BatchEnded,
    ] {
        effects.extend(bed.state.apply(bed.now, input));
    }
    effects.retain(|effect| matches!(effect, Effect::WriteFrame { .. }));
    assert_eq!(effects, [], "whom the whole list does not name is gone");
}

#[test]
fn an_answered_query_sends_nothing_more() {
    let mut bed = Bed::with(&SETTINGS.replace("cancelling=true", "cancelling=false"), 3);
    let client = bed.ask(0, &[0.7, 0.3]);
    let connections: Vec<u64> = bed.connections.keys().copied().collect();
    assert_eq!(connections.len(), 2, "each part at a replica of its own");
    let heavy = *connections
        .iter()
        .find(|connection| bed.frames.iter().all(|(l, _)| l != *connection))
        .unwrap();
    bed.open(heavy);
    bed.answer_all();
    bed.pass(10_000);
    assert!(bed.reply(client).is_some());
    let before = calls(&bed).len();
    bed.open_all();
    bed.pass(1000);
    assert_eq!(
        calls(&bed).len(),
        before,
        "what waited for its connection is over with its query"
    );
}

/// The socket has taken a frame's last byte and has not said so yet when a spoilt answer ends the
/// connection.
#[test]
fn what_the_socket_was_given_when_we_close_may_have_run() {
    let text = SETTINGS.replace(
        "classes.1.semantics=read_like",
        "classes.1.semantics=non_idempotent",
    );
    let mut bed = Bed::with(&text, 2);
    bed.stuck = true;
    let client = bed.ask(1, &[1.0]);
    bed.open_all();
    assert_eq!(calls(&bed).len(), 1);
    let connection = calls(&bed)[0].0;
    bed.put(Input::FrameReceived {
        connection,
        frame: LeafResponse::Malformed(None),
    });
    bed.open_all();
    bed.pass(6000);
    assert_eq!(calls(&bed).len(), 1, "it may have run: not once more");
    assert!(
        matches!(bed.reply(client), Some(Reply::Failed)),
        "and no word that trying again is harmless"
    );
}

#[test]
fn where_the_settings_allow_no_advice_a_refused_client_gets_none() {
    let mut bed = Bed::with(
        &SETTINGS.replace("retry_after=true", "retry_after=false"),
        0,
    );
    let given_up = bed.ask(1, &[1.0]);
    let over_cap = bed.ask(1, &[1.0 / 64.0; 64]);
    let late = bed.connect();
    bed.ask_on(late, 1, &[1.0], 1);
    for client in [given_up, over_cap, late] {
        assert_eq!(
            bed.reply(client),
            Some(&Reply::Rejected { retry_after: None })
        );
    }
}

/// Repeats are dropped for a while after a part may first have run: one that is late by a
/// connection that came up late would run again.
#[test]
fn a_repeat_does_not_go_out_on_a_connection_that_came_up_past_its_window() {
    let keyed = "classes.1.semantics=idempotency_key\nclasses.1.dedup_window_ns=100000000";
    let text = SETTINGS.replace("classes.1.semantics=read_like", keyed);
    for (up_after, sent) in [(60, 2), (150, 1)] {
        let mut bed = Bed::with(&text, 2);
        let client = bed.ask(1, &[1.0]);
        let first = *bed.connections.keys().next().unwrap();
        bed.open(first);
        bed.pass(10);
        bed.answer(first, PartStatus::Error);
        bed.pass(20);
        assert_eq!(
            bed.connections.len(),
            2,
            "the repeat waits for its connection"
        );
        bed.pass(up_after - 30);
        bed.open_all();
        assert_eq!(calls(&bed).len(), sent, "up after {up_after} ms");
        bed.pass(200);
        assert_eq!(
            matches!(bed.reply(client), Some(Reply::Failed)),
            sent == 1,
            "{:?}",
            bed.reply(client)
        );
    }
}

#[test]
fn an_idle_connection_is_closed_before_its_other_end_does_so() {
    let mut bed = Bed::new(1);
    bed.ask(1, &[1.0]);
    bed.open_all();
    bed.answer_all();
    bed.pass(26_000);
    assert_eq!(bed.connections.len(), 1);
    bed.pass(3_000);
    assert!(bed.connections.is_empty());
}

#[test]
fn over_the_cap_a_query_is_refused_at_once_with_advice() {
    let mut bed = Bed::new(1);
    let clients: Vec<u64> = (0..20).map(|_| bed.ask(1, &[0.2; 5])).collect();
    let at_once = clients
        .iter()
        .filter(|client| refused(bed.reply(**client)))
        .count();
    assert_eq!(
        bed.state.counters().received.over_capacity,
        10,
        "ten queries of five parts fill the cap of 60"
    );
    assert!(at_once >= 10);
}

#[test]
fn parts_that_are_in_leave_room_under_the_cap() {
    let mut bed = Bed::new(3);
    (0..10).for_each(|_| {
        bed.ask(1, &[0.2; 5]);
    });
    bed.open_all();
    let connection = *bed.out.keys().next().unwrap();
    bed.answer(connection, PartStatus::Ok);
    let client = bed.ask(1, &[0.2; 5]);
    assert_eq!(bed.reply(client), None, "59 are open, 60 may be");
    let client = bed.ask(1, &[0.2; 5]);
    assert!(refused(bed.reply(client)));
}

#[test]
fn what_is_given_up_is_refused_at_once_with_advice() {
    let mut bed = Bed::new(1);
    bed.list(1, "removed", 0);
    let client = bed.ask(1, &[1.0]);
    assert!(refused(bed.reply(client)), "{:?}", bed.reply(client));
    assert_eq!(bed.replies[&client][0].0, START);
}

#[test]
fn a_client_without_time_left_is_refused_and_nothing_is_sent() {
    let mut bed = Bed::new(1);
    let client = bed.connect();
    bed.ask_on(client, 1, &[1.0], 5);
    assert!(refused(bed.reply(client)));
    assert!(bed.connections.is_empty());
}

#[test]
fn every_query_is_over_before_its_client_gives_up() {
    let mut bed = Bed::new(2);
    let client = bed.ask(0, &[0.5, 0.5]);
    bed.pass(10_000);
    assert!(bed.replies[&client][0].0 < START + 5000 * MS);
    assert_eq!(bed.state.counters().faults.reply_deadline, 0);
}

#[test]
fn not_ready_without_a_list_nor_once_told_to_end() {
    let ready = |bed: &mut Bed| {
        let client = bed.connect();
        bed.put(Input::RequestReceived {
            client,
            arrived: bed.now,
            request: Ok(ClientRequest::Ready),
        });
        bed.reply(client) == Some(&Reply::Ready(true))
    };
    let mut bed = Bed::new(0);
    assert!(!ready(&mut bed));
    bed.list(1, "up", 0);
    assert!(ready(&mut bed));
    bed.put(Input::ShutdownRequested);
    assert!(!ready(&mut bed));
}

#[test]
fn many_idle_clients_at_once_each_make_room_for_one_more() {
    let mut bed = Bed::new(1);
    let opened = |client| bed.state.apply(START, Input::ClientConnected { client });
    let closed: Vec<Effect> = (1..=470).flat_map(opened).collect();
    let oldest: Vec<Effect> = (1..=20)
        .map(|client| Effect::CloseClient { client })
        .collect();
    assert_eq!(
        closed, oldest,
        "of 1,024 descriptors 460 are for clients, and two go for each that is too many"
    );
}

/// They come by hundreds and say nothing: the good clients' connections, though idle for longer,
/// are left alone.
#[test]
fn who_never_asked_goes_first_when_there_is_no_room() {
    let mut bed = Bed::new(1);
    let good = bed.ask(1, &[1.0]);
    bed.open_all();
    bed.answer_all();
    (0..2000).for_each(|_| {
        bed.connect();
    });
    assert!(bed.closed.len() > 1500 && !bed.closed.contains(&good));
}

/// Some clients ask once and keep their connection for good.
#[test]
fn clients_idle_for_two_seconds_make_room_before_it_runs_out() {
    let mut bed = Bed::new(1);
    let ask_once = |bed: &mut Bed| {
        let client = bed.ask(1, &[1.0]);
        bed.open_all();
        bed.answer_all();
        client
    };
    let early: Vec<u64> = (0..300).map(|_| ask_once(&mut bed)).collect();
    assert!(bed.closed.is_empty());
    bed.pass(2000);
    let late: Vec<u64> = (0..150).map(|_| ask_once(&mut bed)).collect();
    assert!(
        early[..70].iter().all(|client| bed.closed.contains(client)),
        "down to half of the room"
    );
    assert!(!late.iter().any(|client| bed.closed.contains(client)));
}

#[test]
fn a_second_query_under_the_id_of_an_open_one_is_turned_away() {
    let mut bed = Bed::new(1);
    let client = bed.ask(1, &[1.0]);
    let other = bed.connect();
    let ask_as = |bed: &mut Bed| {
        let part = QueryPart {
            shard: 0,
            weight: 1.0,
            work: None,
        };
        let query = Query {
            name: format!("q{client}"),
            class: 1,
            tenant: 0,
            timeout: 5000 * MS,
            is_retry: false,
            idempotency_key: None,
            parts: vec![part],
            text: Default::default(),
        };
        bed.put(Input::RequestReceived {
            client: other,
            arrived: bed.now,
            request: Ok(ClientRequest::Query(query)),
        });
        bed.reply(other).cloned()
    };
    assert!(matches!(
        ask_as(&mut bed),
        Some(Reply::InvalidRequest(RequestError { status: 409, .. }))
    ));
    bed.open_all();
    assert_eq!(calls(&bed).len(), 1, "its parts would have the same names");
    bed.answer_all();
    ask_as(&mut bed);
    assert_eq!(calls(&bed).len(), 2, "the first is over");
}

#[test]
fn a_spoilt_answer_fails_its_attempt_and_frees_the_others_at_once() {
    for named in [true, false] {
        let mut bed = Bed::new(2);
        let client = bed.ask(1, &[0.25; 4]);
        bed.open_all();
        let connection = *bed.out.iter().max_by_key(|(_, out)| out.len()).unwrap().0;
        let there = bed.out[&connection].len() as u64;
        bed.spoil(connection, named);
        let ended = bed.state.counters().attempts_ended.clone();
        assert_eq!(
            (ended.error, ended.cancelled, ended.connection_lost),
            (1, there - 1, 0)
        );
        assert!(
            !bed.connections.contains_key(&connection),
            "where its next frame begins is not known"
        );
        bed.open_all();
        bed.answer_all();
        assert!(matches!(
            bed.reply(client),
            Some(Reply::Answer { complete: true, .. })
        ));
        assert_eq!(bed.now, START, "nothing was waited for");
    }
}

#[test]
fn an_answer_for_nothing_that_is_out_is_spoilt_but_a_copy_is_not() {
    let mut bed = Bed::new(1);
    bed.ask(1, &[0.5, 0.5]);
    bed.open_all();
    let connection = *bed.connections.keys().next().unwrap();
    bed.answer_to(connection, "q1.1", PartStatus::Ok);
    bed.answer_to(connection, "q1.1", PartStatus::Ok);
    assert_eq!(bed.state.counters().connections.malformed, 0);
    bed.answer_to(connection, "q9.0", PartStatus::Ok);
    assert_eq!(bed.state.counters().connections.malformed, 1);
    assert_eq!(
        bed.state.counters().attempts_ended.error,
        1,
        "the one that was out has failed"
    );
}

/// Replicas, clients and queries of ever new names, all day long.
#[test]
fn what_is_held_does_not_grow_with_the_names_that_came_and_went() {
    let mut bed = Bed::new(1);
    let (mut held, mut replica) = (Vec::new(), 1);
    for _ in 0..4 {
        for _ in 0..100 {
            replica += 1;
            bed.list(replica, "up", 0);
            bed.list(replica - 1, "removed", 0);
            let client = bed.ask(1, &[0.5, 0.5]);
            bed.open_all();
            bed.answer_all();
            bed.pass(150);
            bed.left.insert(client);
            bed.put(Input::ClientDisconnected { client });
        }
        held.push(bed.state.held());
    }
    assert!(held[1..].iter().all(|now| *now <= held[0] + 5), "{held:?}");
    assert_eq!(bed.state.counters().queries_ended.complete, 400);
}

#[test]
fn told_to_end_it_serves_on_then_closes_between_requests_and_finishes_what_it_took() {
    let mut bed = Bed::new(1);
    let idle = bed.ask(1, &[1.0]);
    bed.open_all();
    bed.answer_all();
    bed.put(Input::ShutdownRequested);
    bed.pass(700);
    assert!(
        bed.listening && bed.closed.is_empty(),
        "clients may still come for 0.7 s"
    );
    let late = bed.ask(1, &[1.0]);
    bed.pass(100);
    assert!(!bed.listening);
    assert_eq!(bed.closed, [idle]);
    assert!(!bed.exited, "a query is still open");
    bed.answer_all();
    assert!(matches!(
        bed.reply(late),
        Some(Reply::Answer { complete: true, .. })
    ));
    assert!(bed.exited);
}

#[test]
fn told_to_end_it_leaves_nothing_for_the_kill() {
    let mut bed = Bed::new(1);
    bed.put(Input::ShutdownRequested);
    bed.pass(690);
    let client = bed.connect();
    bed.ask_on(client, 1, &[1.0], 6000);
    bed.pass(5400);
    assert_eq!(
        bed.replies[&client].len(),
        1,
        "SIGKILL may come 6.7 s after SIGTERM"
    );
    assert!(bed.exited);
}

#[test]
fn a_client_accepted_as_the_listener_goes_does_not_hold_up_the_end() {
    let mut bed = Bed::new(1);
    bed.put(Input::ShutdownRequested);
    bed.pass(800);
    assert!(bed.exited);
    let mut bed = Bed::new(1);
    let busy = bed.ask(1, &[1.0]);
    bed.open_all();
    bed.put(Input::ShutdownRequested);
    bed.pass(800);
    let idle = bed.connect();
    assert_eq!(bed.closed, [idle]);
    bed.answer_all();
    assert!(bed.exited && bed.replies[&busy].len() == 1);
}

/// Discovery is one service for all mixers: those whose watch was turned away and that ask again in
/// step keep it so busy that none gets a list.
#[test]
fn the_list_is_watched_when_the_module_says_so_and_not_in_step() {
    let text = format!("{SETTINGS}discovery=on_request\nguarantees.ask_within_ns=10000000000\n");
    let mut times = Vec::new();
    for seed in 0..20 {
        let mut bed = Bed::seeded(&text, 1, seed);
        let mut failed = 0;
        while bed.now < START + 60_000 * MS {
            bed.pass(50);
            if bed.watches.len() > failed {
                failed = bed.watches.len();
                bed.put(Input::WatchEnded { watch: bed.watch });
            }
        }
        assert!(
            (5..=20).contains(&failed),
            "it goes on asking, ever more rarely: {failed} calls in a minute"
        );
        times.extend(bed.watches[..2].to_vec());
    }
    times.sort_unstable();
    let most = times
        .iter()
        .map(|at| {
            times
                .iter()
                .filter(|t| (*at..at + 500 * MS).contains(t))
                .count()
        })
        .max();
    assert!(
        most <= Some(times.len() / 3),
        "no half second sees most of the first calls: {most:?}"
    );
}

/// Where discovery pushes its list, a watch that ended is nobody's burden: the list must not be
/// late.
#[test]
fn a_pushed_list_is_watched_from_the_start_and_again_soon() {
    let mut bed = Bed::new(1);
    assert_eq!(bed.watches, [START]);
    bed.put(Input::WatchEnded { watch: bed.watch });
    bed.pass(1000);
    assert_eq!(bed.watches.len(), 2);
    bed.put(Input::ConfigurationReloaded { usable: true });
    assert_eq!(bed.watches.len(), 3, "a new address is watched at once");
}

#[test]
fn the_end_of_a_watch_that_was_replaced_begins_no_other() {
    let mut bed = Bed::new(1);
    let replaced = bed.watch;
    bed.put(Input::ConfigurationReloaded { usable: true });
    bed.put(Input::WatchEnded { watch: replaced });
    bed.pass(20_000);
    assert_eq!(bed.watches.len(), 2, "the one in its place is kept");
}

/// The whole list: replica 2 alone, at this address.
fn only_the_second(address: &str) -> Input {
    let line = serde_json::json!({"name": "s-2", "address": address, "group": 0, "status": "up"});
    let complete = serde_json::json!({"index": 9, "snapshot": true, "endpoints": [line]});
    Input::EndpointsUpdated(serde_json::from_value(complete).expect("a list"))
}

#[test]
fn a_remembered_list_may_be_old_and_a_whole_one_replaces_it() {
    let mut bed = Bed::new(2);
    bed.put(only_the_second(&support::engine_harness::address(2)));
    bed.ask(1, &[0.5, 0.5]);
    assert!(
        bed.connections
            .values()
            .all(|(address, _)| *address == support::engine_harness::address(2)),
        "{:?}",
        bed.connections
    );
    assert_eq!(bed.state.list_index(), 9);
}

#[test]
fn a_replica_that_has_moved_is_asked_at_its_new_address() {
    let mut bed = Bed::new(2);
    bed.ask(1, &[0.5, 0.5]);
    bed.open_all();
    bed.answer_all();
    bed.told("127.0.0.9:7070", "up");
    bed.put(only_the_second("127.0.0.9:7070"));
    let before = bed.frames.len();
    bed.ask(1, &[1.0]);
    bed.open_all();
    let sent: Vec<&str> = bed.frames[before..]
        .iter()
        .map(|(connection, _)| bed.connections[connection].0.as_str())
        .collect();
    assert_eq!(sent, ["127.0.0.9:7070"]);
}
