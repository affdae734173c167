//! Bad clients connect by the hundreds and say nothing. The usual clients that connect meanwhile
//! send whole requests, each of which has to get its final answer half a second after its time at
//! the latest.

mod common;

use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// Descriptors of the aggregator; the terms of service allow 256 to 1,024.
const SOCKETS: u32 = 256;
const SILENT_CONNECTIONS: usize = 220;
const BAD_CLIENTS: usize = 4;
const USUAL_CLIENTS: u32 = 20;
const TIMEOUT_MS: u64 = 250;
/// Time after the client's time up to which an answer only earns nothing.
const GRACE_MS: u64 = 500;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create();
    let mut deployment = Deployment::small();
    deployment.sockets = SOCKETS;
    for class in &mut deployment.classes {
        class.aim_ms = 200;
        class.give_up_ms = 300;
    }
    let discovery = Discovery::start(&record);
    let mut leaves = Vec::new();
    for cell in 0..deployment.places {
        let leaf = Leaf::start(&format!("s-{cell}"), 20);
        let name = leaf.state.name.clone();
        discovery.publish(Endpoint { name, address: leaf.address, group: cell, status: "up", since_ms: 0 });
        leaves.push(leaf);
    }
    let address = free_address();
    let config = deployment.config("n0", address, discovery.address, &discovery.snapshot());
    let mut mixer = Mixer::start(&record, "n0", address, discovery.address, &config);

    let held: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    if has_trouble() {
        record.say(format!("disruption: {SILENT_CONNECTIONS} connections that say nothing"));
        for _ in 0..BAD_CLIENTS {
            let (held, record) = (held.clone(), record.clone());
            spawn_small(move || bad_client(address, &held, &record));
        }
    }
    thread::sleep(ms(10));
    let clients: Vec<_> = (0..USUAL_CLIENTS).map(|number| {
        let record = record.clone();
        let client = thread::spawn(move || usual_client(address, number, &record));
        thread::sleep(ms(10));
        client
    }).collect();
    let results: Vec<Option<bool>> = clients.into_iter().map(|client| client.join().unwrap_or(None)).collect();
    let sent = results.iter().flatten().count();
    let lost = results.iter().flatten().filter(|answered| !**answered).count();
    for leaf in &leaves {
        for part in leaf.arrivals() {
            record.line_at(part.at, format!("{} received part {} with d={}", leaf.state.name, part.id, part.wait_ms));
        }
    }
    record.say(format!(
        "{sent} requests of usual clients were sent whole; {lost} had no final answer {GRACE_MS} ms after their time of {TIMEOUT_MS} ms"
    ));
    if let Some(status) = mixer.ended() {
        record.say(format!("the aggregator has ended: {status}"));
        return BROKEN;
    }
    if sent < 5 {
        record.say("could not run: too few requests were sent");
        return COULD_NOT_RUN;
    }
    if lost == 0 { HELD } else { BROKEN }
}

/// Opens connections as fast as it can and holds them without a word.
fn bad_client(address: SocketAddr, held: &Mutex<Vec<TcpStream>>, record: &Record) {
    let mut opened = 0;
    for _ in 0..SILENT_CONNECTIONS / BAD_CLIENTS {
        if let Ok(stream) = connect(address) {
            held.lock().unwrap().push(stream);
            opened += 1;
        }
    }
    record.line(format!("a bad client has opened {opened} connections"));
}

/// Sends one request on a new connection. Returns whether it got its final answer in time, or `None`
/// if it could not be sent.
fn usual_client(address: SocketAddr, number: u32, record: &Record) -> Option<bool> {
    let mut stream = connect(address).ok()?;
    let id = format!("{:016x}", 0x77a0_0000_0000_0000u64 + u64::from(number));
    let query = Query { class: "pack-lookup", id: &id, tenant: "curieri-rapid", timeout_ms: TIMEOUT_MS, shards: &[1, 2, 3], text: "c41e77d0" };
    stream.write_all(&query.bytes()).ok()?;
    let sent_at = Instant::now();
    record.line(format!("usual client {number} has sent {id}"));
    let outcome = read_reply(&mut stream, sent_at + ms(6000));
    let waited = sent_at.elapsed().as_millis() as u64;
    record.line(format!("usual client {number}, {id}: {waited} ms after its last byte: {}", outcome.text()));
    Some(matches!(outcome, Outcome::Reply(_)) && waited <= TIMEOUT_MS + GRACE_MS)
}
