//! A fleet of 3,200 leaf servers, whose list comes indented. A quarter of them begin to drain. No
//! part may reach a leaf server later than the grace after its drain was told. `INDENT` sets the
//! blanks of a level; 0 stands for a list in one line.

mod common;
use common::*;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

const SERVERS: u32 = 3_200;
const INDENT: usize = 8;
/// Every fourth place drains.
const DRAINS_EVERY: u32 = 4;
/// Shards that are queried. Each is held by the servers of three places in a row, one of which may
/// drain.
const QUERIED: u32 = 40;
/// `stop_sending_within_ns`, the 50 ms of the protocol page, and 0.15 s for a mixer that is held up.
const GRACE: f64 = 2.0 + 0.05 + 0.15;

fn main() {
    let folder = RunFolder::create();
    let record = Record::create(std::path::Path::new(&std::env::args().nth(1).unwrap()));
    let broken = play(&folder, &record);
    drop(folder);
    std::process::exit(i32::from(broken));
}

fn queried_shard(number: u32) -> u32 {
    number * 5
}

/// A server of the list. Those that hold a queried shard answer; nothing is sent to the others.
fn server(leaves: &Leaves, place: u32) -> Endpoint {
    let name = format!("s-{:08x}", 0x5be2_a07d_u32.wrapping_mul(2 * place + 1));
    let ip = Ipv4Addr::new(127, 20, (place / 250) as u8, (place % 250) as u8 + 1);
    let is_queried = place < 5 * QUERIED && place % 5 < 3;
    let unused = SocketAddr::from((ip, 17_070));
    Endpoint {
        address: if is_queried { leaves.start(&name, ip) } else { unused },
        zone: if place % 2 == 0 { "buc-pipera" } else { "buc-militari" },
        group: place,
        status: Status::Up,
        since_ms: 0,
        name,
    }
}

fn play(folder: &RunFolder, record: &Record) -> bool {
    let site = Site {
        places: SERVERS,
        ranges: 2 * SERVERS,
        mixers: 2,
        discovery: "pushed",
        open_cap: 112,
        memory_mb: 192,
        sockets: 1024,
    };
    let indent = std::env::var("INDENT").ok().and_then(|text| text.parse().ok()).unwrap_or(INDENT);
    let leaves = Leaves::new(record, Duration::from_millis(160));
    let servers: Vec<Endpoint> = (0..SERVERS).map(|place| server(&leaves, place)).collect();
    let list = Arc::new((Mutex::new(List::default()), Condvar::new()));
    // The mixers have this list from before. Their first calls are answered with the whole list.
    list.0.lock().unwrap().set(servers.clone());
    let known = list.0.lock().unwrap().snapshot(0);
    list.0.lock().unwrap().forget_changes();

    let mut mixers = Vec::new();
    for number in 0..2_u8 {
        let name = format!("n{number}");
        let agent = Discovery::start(&name, Ipv4Addr::new(127, 0, 1, number + 1), list.clone(), indent, record);
        let mut mixer = Mixer::new(&folder.0, &name, Ipv4Addr::new(127, 0, 2, number + 1));
        mixer.write_config(&site, agent.address, &known, 100 + u64::from(number));
        mixer.start(agent.address);
        mixer.wait_ready();
        mixers.push((mixer, agent));
    }
    let bytes = list.0.lock().unwrap().snapshot(indent).len();
    record.say(&format!("two mixers are ready; the list has {SERVERS} servers and {bytes} bytes"));

    let stop = Arc::new(Mutex::new(false));
    let clients: Vec<_> = (0..8_u64)
        .map(|number| {
            let listen = mixers[(number % 2) as usize].0.listen;
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || run_client(number, listen, &record, &stop))
        })
        .collect();
    sleep_ms(3_000);

    // The time at which each server's drain was told: discovery has it and can be reached.
    let mut told = HashMap::new();
    if is_trouble() {
        let draining = servers.iter().filter(|line| line.group % DRAINS_EVERY == 0);
        let lines: Vec<Endpoint> =
            draining.map(|line| Endpoint { status: Status::Draining, ..line.clone() }).collect();
        record.say(&format!("{} leaf servers begin to drain", lines.len()));
        list.0.lock().unwrap().set(lines.clone());
        let at = record.seconds();
        list.1.notify_all();
        told.extend(lines.into_iter().map(|line| (line.name, at)));
    }
    sleep_ms(12_000);
    *stop.lock().unwrap() = true;
    for client in clients {
        let _ = client.join();
    }
    for (mixer, _) in &mut mixers {
        if let Some(status) = mixer.ended() {
            cannot_run(&format!("{} has ended: {status}", mixer.name));
        }
        let log = mixer.log();
        let mut ended = log.lines().filter(|line| line.contains("watch on discovery ended"));
        if let Some(line) = ended.next() {
            record.line(&format!("log of {}, the first of {}: {line}", mixer.name, ended.count() + 1));
        }
    }
    judge(&leaves, &told, record)
}

fn run_client(number: u64, listen: SocketAddr, record: &Record, stop: &Mutex<bool>) {
    let mut numbers = Numbers(number);
    let mut client = Client::new(listen);
    let mut sent = 0;
    while !*stop.lock().unwrap() {
        let first = numbers.below(u64::from(QUERIED)) as u32;
        let shards: Vec<u32> = (0..4).map(|step| queried_shard((first + 7 * step) % QUERIED)).collect();
        sent += 1;
        let id = format!("c{number:02}{sent:06}");
        let request = query("pack-lookup", &id, 4_000, &shards, "");
        let began = record.seconds();
        let text = match client.exchange(&request, Duration::from_millis(4_500)) {
            Reply::Answer { status, .. } => format!("{status}"),
            other => format!("{other:?}"),
        };
        record.line(&format!("client: {id} {text} after {:.3} s", record.seconds() - began));
        sleep_ms(400 + numbers.below(800));
    }
}

fn judge(leaves: &Leaves, told: &HashMap<String, f64>, record: &Record) -> bool {
    let parts = leaves.parts.lock().unwrap();
    let (mut late, mut latest) = (0, 0.0_f64);
    for part in parts.iter() {
        let Some(told_at) = told.get(&part.server) else { continue };
        let after = part.at - told_at;
        if after > GRACE {
            (late, latest) = (late + 1, latest.max(after));
            record.line(&format!("LATE: part {} reached {} {after:.3} s after its drain was told", part.id, part.server));
        }
    }
    record.say(&format!(
        "{} parts; {late} reached a draining leaf server over {GRACE:.2} s after its drain was told, the last {latest:.3} s after it",
        parts.len()
    ));
    if parts.is_empty() {
        cannot_run("no part was sent");
    }
    late > 0
}
