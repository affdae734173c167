//! Bad clients send 200 requests at once, each on a connection of its own, read the answers, and
//! hold the connections. Every usual client that connects later and sends a whole request has to
//! get its final answer half a second after its time at the latest.

mod common;

use common::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Descriptors of the aggregator; the terms of service allow 256 to 1,024.
const SOCKETS: u32 = 256;
/// Queries and parts that it may hold, about 2 s of 130 queries a second with 4 parts.
const OPEN_CAP: u32 = 1200;
const BAD_REQUESTS: u32 = 200;
/// Time between two requests of the bad client.
const BAD_GAP: Duration = Duration::from_micros(800);
/// Work of a part; the site states 170 to 230 ms for this class.
const WORK_MS: u64 = 220;
const USUAL_CLIENTS: u32 = 10;
const TIMEOUT_MS: u64 = 3000;
/// Time after the client's time up to which an answer only earns nothing.
const GRACE_MS: u64 = 500;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create();
    let mut deployment = Deployment::small();
    deployment.sockets = SOCKETS;
    deployment.open_cap = OPEN_CAP;
    let discovery = Discovery::start(&record);
    let mut leaves = Vec::new();
    for cell in 0..deployment.places {
        let leaf = Leaf::start(&format!("s-{cell}"), WORK_MS);
        let name = leaf.state.name.clone();
        discovery.publish(Endpoint { name, address: leaf.address, group: cell, status: "up", since_ms: 0 });
        leaves.push(leaf);
    }
    let address = free_address();
    let config = deployment.config("n0", address, discovery.address, &discovery.snapshot());
    let mut mixer = Mixer::start(&record, "n0", address, discovery.address, &config);
    thread::sleep(ms(500));

    let held = if has_trouble() { bad_clients(address, &record) } else { Vec::new() };
    thread::sleep(ms(1500));
    let clients: Vec<_> = (0..USUAL_CLIENTS).map(|number| {
        let record = record.clone();
        let client = thread::spawn(move || usual_client(address, number, &record));
        thread::sleep(ms(500));
        client
    }).collect();
    let results: Vec<Option<bool>> = clients.into_iter().map(|client| client.join().unwrap_or(None)).collect();
    record_arrivals(&record, &leaves);
    let sent = results.iter().flatten().count();
    let lost = results.iter().flatten().filter(|answered| !**answered).count();
    record.say(format!(
        "{sent} requests of usual clients were sent whole; {lost} had no final answer {GRACE_MS} ms after their time of {TIMEOUT_MS} ms"
    ));
    drop(held);
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

/// Sends one request on each of many connections, reads the answers, and returns the connections.
fn bad_clients(address: SocketAddr, record: &Record) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for number in 0..BAD_REQUESTS {
        let Ok(mut stream) = connect(address) else { continue };
        let id = format!("{:016x}", 0xbad0_0000_0000_0000u64 + u64::from(number));
        if stream.write_all(&query(&id).bytes()).is_ok() {
            record.line(format!("bad client sent {id}"));
            streams.push((id, stream));
        }
        thread::sleep(BAD_GAP);
    }
    record.say(format!("disruption: {} requests at once, on as many connections, which are held", streams.len()));
    let until = Instant::now() + ms(1200);
    let mut answered = 0;
    let mut closed = 0;
    for (id, stream) in &mut streams {
        let outcome = read_reply(stream, until.max(Instant::now() + ms(1)));
        record.line(format!("bad client got for {id}: {}", outcome.text()));
        match outcome {
            Outcome::Reply(_) => answered += 1,
            Outcome::Ended(_) => closed += 1,
            Outcome::Nothing => {}
        }
    }
    record.say(format!("{answered} of them are answered, {closed} closed, the others have neither yet"));
    streams.into_iter().map(|(_, stream)| stream).collect()
}

fn query(id: &str) -> Query<'_> {
    Query { class: "network-report", id, tenant: "curieri-rapid", timeout_ms: TIMEOUT_MS, shards: &[1, 2, 3], text: "c41e77d0" }
}

/// Sends one request on a new connection. Returns whether it got its final answer in time, or `None`
/// if it could not be sent.
fn usual_client(address: SocketAddr, number: u32, record: &Record) -> Option<bool> {
    let mut stream = connect(address).ok()?;
    let id = format!("{:016x}", 0x77a0_0000_0000_0000u64 + u64::from(number));
    stream.write_all(&query(&id).bytes()).ok()?;
    let sent_at = Instant::now();
    record.line(format!("usual client {number} has connected and sent {id}"));
    let outcome = read_reply(&mut stream, sent_at + ms(TIMEOUT_MS + GRACE_MS));
    let waited = sent_at.elapsed().as_millis();
    record.line(format!("usual client {number}, {id}: {waited} ms after its last byte: {}", outcome.text()));
    Some(matches!(outcome, Outcome::Reply(_)))
}
