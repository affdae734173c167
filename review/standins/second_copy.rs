//! A leaf server turns a part away (`busy`), and a second copy of that answer follows directly
//! behind, before the leaf server reads anything else on the connection. The part belongs to a
//! class that is not safe to repeat, so it may run once at most.

mod common;

use common::*;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const REQUESTS: u32 = 10;
/// Work of a part; the site states 140 to 180 ms for this class.
const WORK: Duration = Duration::from_millis(160);
/// Time between an answer and its second copy: the two are two packets.
const COPY_DELAY: Duration = Duration::from_micros(300);
const TEXT: &str = "c41e77d0";

/// Times at which each part began to run, by part id.
type Runs = Arc<Mutex<BTreeMap<String, Vec<Instant>>>>;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create();
    let mut deployment = Deployment::small();
    deployment.classes[1].semantics = "non_idempotent";
    let discovery = Discovery::start(&record);
    let runs = Runs::default();
    let mut leaves = Vec::new();
    for cell in 0..deployment.places {
        let name = format!("s-{cell}");
        // A release has left range 0, which cells 0 to 2 hold, one leaf server.
        let status = if matches!(cell, 1 | 2) { "draining" } else { "up" };
        let address = if cell == 0 {
            start_full_leaf(&runs, &record)
        } else {
            let leaf = Leaf::start(&name, WORK.as_millis() as u64);
            let address = leaf.address;
            leaves.push(leaf);
            address
        };
        discovery.publish(Endpoint { name, address, group: cell, status, since_ms: 0 });
    }
    let address = free_address();
    let config = deployment.config("n0", address, discovery.address, &discovery.snapshot());
    let mut mixer = Mixer::start(&record, "n0", address, discovery.address, &config);

    let mut answered = 0;
    for number in 0..REQUESTS {
        let id = format!("9b1f03aa{number:08x}");
        // Only range 0 of these is held by s-0.
        let query = Query { class: "pack-lookup", id: &id, tenant: "curieri-rapid", timeout_ms: 4000, shards: &[0, 2, 3], text: TEXT };
        let Ok(mut stream) = connect(address) else {
            record.say("could not run: no connection");
            return COULD_NOT_RUN;
        };
        let _ = stream.write_all(&query.bytes());
        record.line(format!("client sent {id}, class pack-lookup, which is not safe to repeat"));
        let outcome = read_reply(&mut stream, Instant::now() + ms(5000));
        record.line(format!("client got for {id}: {}", outcome.text()));
        answered += u32::from(matches!(outcome, Outcome::Reply(_)));
        thread::sleep(ms(300));
    }
    thread::sleep(ms(500));
    record_arrivals(&record, &leaves);

    let runs = runs.lock().unwrap();
    let repeated = runs.values().filter(|times| times.len() > 1).count();
    record.say(format!(
        "{answered} of {REQUESTS} requests answered; {} parts ran at s-0, {repeated} of them more than once",
        runs.len()
    ));
    if let Some(status) = mixer.ended() {
        record.say(format!("the aggregator has ended: {status}"));
        return BROKEN;
    }
    if runs.is_empty() {
        record.say("could not run: no part has run at s-0");
        return COULD_NOT_RUN;
    }
    if repeated == 0 { HELD } else { BROKEN }
}

/// Starts a leaf server whose queue, which other aggregators fill too, is full when a part arrives
/// for the first time.
fn start_full_leaf(runs: &Runs, record: &Record) -> std::net::SocketAddr {
    let listener = listen();
    let address = listener.local_addr().expect("a local address");
    let (runs, record) = (runs.clone(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (runs, record) = (runs.clone(), record.clone());
            spawn_small(move || serve_full_leaf(stream, &runs, &record));
        }
    });
    address
}

fn serve_full_leaf(mut stream: TcpStream, runs: &Runs, record: &Record) {
    let _ = stream.set_nodelay(true);
    let writer = Arc::new(Mutex::new(stream.try_clone().expect("a socket")));
    let mut turned_away = Vec::new();
    loop {
        let mut header = [0; 4];
        let mut body;
        if stream.read_exact(&mut header).is_err() {
            return;
        }
        body = vec![0; u32::from_be_bytes(header) as usize];
        if stream.read_exact(&mut body).is_err() {
            return;
        }
        if body.first() == Some(&b'X') {
            record.line(format!("s-0: {} is given up", String::from_utf8_lossy(&body[1..])));
        }
        if body.first() != Some(&b'Q') {
            continue;
        }
        for (id, shard, wait_ms, text) in parts_of(&body[1..]) {
            if !turned_away.contains(&id) {
                turned_away.push(id.clone());
                let answer = frame(&format!("A{id} busy - -\n"));
                let mut writer = writer.lock().unwrap();
                let _ = writer.write_all(&answer);
                if has_trouble() {
                    thread::sleep(COPY_DELAY);
                    let _ = writer.write_all(&answer);
                }
                let copies = if has_trouble() { ", and a second copy of that answer" } else { "" };
                record.line(format!("s-0: {id} d={wait_ms} arrived and was turned away: busy{copies}"));
                continue;
            }
            let mut runs = runs.lock().unwrap();
            let times = runs.entry(id.clone()).or_default();
            times.push(Instant::now());
            record.line(format!("s-0: {id} d={wait_ms} arrived and runs, run {}", times.len()));
            let (writer, record) = (writer.clone(), record.clone());
            spawn_small(move || {
                thread::sleep(WORK);
                let _ = writer.lock().unwrap().write_all(&frame(&format!("A{id} ok 1 -\n{}", value_of(shard, &text))));
                record.line(format!("s-0: {id} is done: ok"));
            });
        }
    }
}
