//! Leaf servers return a spoilt answer now and then, whose length does not fit. No client may get
//! anything but the values that were made for its request. `SPOILS` is the number of answers for each
//! spoilt one.

mod common;
use common::*;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

const SPOILS: u64 = 20;
const RANGES: u32 = 20;
const SECONDS: u64 = 25;

fn main() {
    let folder = RunFolder::create();
    let record = Record::create(std::path::Path::new(&std::env::args().nth(1).unwrap()));
    let broken = play(&folder, &record);
    drop(folder);
    std::process::exit(i32::from(broken));
}

fn play(folder: &RunFolder, record: &Record) -> bool {
    let site = Site {
        places: 10,
        ranges: RANGES,
        mixers: 2,
        discovery: "pushed",
        open_cap: 112,
        memory_mb: 128,
        sockets: 1024,
    };
    let spoils = std::env::var("SPOILS").ok().and_then(|text| text.parse().ok()).unwrap_or(SPOILS);
    let mut leaves = Leaves::new(record, Duration::from_millis(230));
    leaves.spoils_every = if is_trouble() { spoils } else { 0 };
    let list = Arc::new((Mutex::new(List::default()), Condvar::new()));
    let servers = (0..12_u32).map(|number| {
        let name = format!("s-{:08x}", 0x5be2_a07d_u32.wrapping_mul(2 * number + 1));
        Endpoint {
            address: leaves.start(&name, Ipv4Addr::new(127, 20, 0, number as u8 + 1)),
            zone: if number % 2 == 0 { "buc-pipera" } else { "buc-militari" },
            group: number % 10,
            status: Status::Up,
            since_ms: 0,
            name,
        }
    });
    list.0.lock().unwrap().set(servers.collect());
    let known = list.0.lock().unwrap().snapshot(0);
    let mut mixers = Vec::new();
    for number in 0..2_u8 {
        let name = format!("n{number}");
        let agent = Discovery::start(&name, Ipv4Addr::new(127, 0, 1, number + 1), list.clone(), 0, record);
        let mut mixer = Mixer::new(&folder.0, &name, Ipv4Addr::new(127, 0, 2, number + 1));
        mixer.write_config(&site, agent.address, &known, 100 + u64::from(number));
        mixer.start(agent.address);
        mixer.wait_ready();
        mixers.push(mixer);
    }
    record.say("two mixers are ready");

    let stop = Arc::new(Mutex::new(false));
    let clients: Vec<_> = (0..10_u64)
        .map(|number| {
            let listen = mixers[(number % 2) as usize].listen;
            let (record, stop) = (record.clone(), stop.clone());
            thread::spawn(move || run_client(number, listen, &record, &stop))
        })
        .collect();
    thread::sleep(Duration::from_secs(SECONDS));
    *stop.lock().unwrap() = true;
    let mut sums = [0_u64; 4];
    for client in clients {
        let counts = client.join().unwrap_or_default();
        sums.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
    }
    for mixer in &mut mixers {
        if let Some(status) = mixer.ended() {
            cannot_run(&format!("{} has ended: {status}", mixer.name));
        }
    }
    let [answers, values, mixed, cut] = sums;
    record.say(&format!(
        "{answers} answers with {values} values; {} of them no leaf server made for the request: {mixed} have bytes of another answer, {cut} are cut short",
        mixed + cut
    ));
    if values == 0 {
        cannot_run("no values were served");
    }
    mixed + cut > 0
}

/// Sends queries one after the other. Returns the numbers of answers, of values, of values with bytes of
/// another answer, and of other wrong values.
fn run_client(number: u64, listen: SocketAddr, record: &Record, stop: &Mutex<bool>) -> [u64; 4] {
    let mut numbers = Numbers(number);
    let mut client = Client::new(listen);
    let mut counts = [0; 4];
    let mut sent = 0;
    while !*stop.lock().unwrap() {
        sleep_ms(700 + numbers.below(1_400));
        sent += 1;
        let id = format!("c{number:02}{sent:06}");
        let is_report = numbers.below(100) < 29;
        let (class, shards): (_, Vec<u32>) = if is_report {
            ("network-report", (0..RANGES).collect())
        } else {
            let first = numbers.below(u64::from(RANGES)) as u32;
            ("pack-lookup", (0..4).map(|step| (first + 5 * step) % RANGES).collect())
        };
        let request = query(class, &id, 4_000, &shards, "");
        let reply = client.exchange(&request, Duration::from_millis(4_500));
        let Reply::Answer { status, body } = reply else {
            record.line(&format!("client: {id} {class} {reply:?}"));
            continue;
        };
        record.line(&format!("client: {id} {class} {status} {body}"));
        if status != 200 {
            continue;
        }
        counts[0] += 1;
        for (shard, value) in hits(&body) {
            counts[1] += 1;
            let expected = value_of(&format!("{id}.{shard}"), &id);
            if value != expected {
                let is_cut = expected.starts_with(&value);
                counts[if is_cut { 3 } else { 2 }] += 1;
                record.line(&format!("WRONG: {id} shard {shard} got {value:?}, its value is {expected:?}"));
            }
        }
    }
    counts
}

/// The shards and values of an answer, the values as they stand in the JSON.
fn hits(body: &str) -> Vec<(u32, String)> {
    let entries = body.split("{\"shard\":").skip(1);
    let parsed = entries.filter_map(|entry| {
        let shard = entry.split(',').next()?.parse().ok()?;
        let value = entry.split("\"doc\":\"").nth(1)?.split('"').next()?;
        Some((shard, value.to_string()))
    });
    parsed.collect()
}
