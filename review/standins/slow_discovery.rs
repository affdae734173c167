//! Discovery answers each watch 1.5 s after it was asked. A leaf server drains: no new work may
//! reach it later than 8.05 s after that (told at the latest 6 s after discovery had the change,
//! 2 s of grace, 0.05 s of slack on sockets).

mod common;

use common::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

const SLOW_ANSWER_MS: u64 = 1500;
const TOLD_MS: u64 = 6000;
const GRACE_MS: u64 = 2050;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create();
    let deployment = Deployment::small();
    let discovery = Discovery::start(&record);
    let mut leaves = Vec::new();
    for cell in 0..deployment.places {
        let leaf = Leaf::start(&format!("s-{cell}"), 15);
        discovery.publish(endpoint(&leaf, cell, "up"));
        leaves.push(leaf);
    }
    if has_trouble() {
        discovery.answer_delay_ms.store(SLOW_ANSWER_MS, Ordering::SeqCst);
        record.say(format!("disruption: discovery answers {SLOW_ANSWER_MS} ms after it was asked"));
    }
    let address = free_address();
    let config = deployment.config("n0", address, discovery.address, &discovery.snapshot());
    let mut mixer = Mixer::start(&record, "n0", address, discovery.address, &config);

    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..3).map(|number| {
        let (stop, record) = (stop.clone(), record.clone());
        thread::spawn(move || client(number, address, &stop, &record))
    }).collect();
    thread::sleep(ms(3000));
    let drained = &leaves[0];
    discovery.publish(endpoint(drained, 0, "draining"));
    let drained_at = Instant::now();
    record.say("discovery has: s-0 drains");
    thread::sleep(ms(14_000));
    stop.store(true, Ordering::SeqCst);
    let served: u64 = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();

    record_arrivals(&record, &leaves);
    let limit = drained_at + ms(TOLD_MS + GRACE_MS);
    let arrivals = drained.arrivals();
    let before = arrivals.iter().filter(|part| part.at < drained_at).count();
    let late: Vec<&Arrival> = arrivals.iter().filter(|part| part.at > limit).collect();
    for part in &late {
        let after = part.at.duration_since(drained_at).as_millis();
        record.line_at(part.at, format!("s-0 received part {} {after} ms after it began to drain", part.id));
    }
    record.say(format!(
        "{served} queries served; s-0 received {before} parts before it drained and {} later than {} ms after",
        late.len(), TOLD_MS + GRACE_MS
    ));
    if let Some(status) = mixer.ended() {
        record.say(format!("the aggregator has ended: {status}"));
        return BROKEN;
    }
    if served < 50 {
        record.say("could not run: too little traffic");
        return COULD_NOT_RUN;
    }
    if late.is_empty() { HELD } else { BROKEN }
}

fn endpoint(leaf: &Leaf, cell: u32, status: &'static str) -> Endpoint {
    Endpoint { name: leaf.state.name.clone(), address: leaf.address, group: cell, status, since_ms: 0 }
}

/// Sends one query after the other on one connection. Returns the number of queries served.
fn client(number: u32, address: std::net::SocketAddr, stop: &AtomicBool, record: &Record) -> u64 {
    use std::io::Write;
    let Ok(mut stream) = connect(address) else { return 0 };
    let mut served = 0;
    for turn in 0u32.. {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("{number:04x}{turn:012x}");
        let shards: Vec<u32> = (0..4).map(|step| (turn + number + 3 * step) % 12).collect();
        let query = Query { class: "pack-lookup", id: &id, tenant: "curieri-rapid", timeout_ms: 4000, shards: &shards, text: "c41e77d0" };
        if stream.write_all(&query.bytes()).is_err() {
            break;
        }
        record.line(format!("client {number} sent {id}"));
        let outcome = read_reply(&mut stream, Instant::now() + ms(5000));
        record.line(format!("client {number} got for {id}: {}", outcome.text()));
        served += u64::from(matches!(outcome, Outcome::Reply(reply) if reply.status == 200));
        thread::sleep(ms(40));
    }
    served
}
