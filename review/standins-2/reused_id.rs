//! A client leaves, and a bad client that has sent the id of its open request again and again is
//! accepted then. No client may get anything but the values that were made for its request.

mod common;
use common::*;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

const ROUNDS: u64 = 10;
const RANGES: u32 = 20;
/// The usual client leaves this long after its request.
const LEAVES_AFTER_MS: u64 = 60;

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
    let leaves = Leaves::new(record, Duration::from_millis(200));
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
    let agent = Discovery::start("n0", Ipv4Addr::new(127, 0, 1, 1), list.clone(), 0, record);
    let mut mixer = Mixer::new(&folder.0, "n0", Ipv4Addr::new(127, 0, 2, 1));
    mixer.write_config(&site, agent.address, &known, 7);
    mixer.start(agent.address);
    mixer.wait_ready();
    record.say("the mixer is ready");

    let (mut values, mut foreign) = (0, 0);
    for round in 0..ROUNDS {
        let (got, wrong) = run_round(round, mixer.listen, record);
        (values, foreign) = (values + got, foreign + wrong);
        sleep_ms(700);
    }
    if let Some(status) = mixer.ended() {
        cannot_run(&format!("the mixer has ended: {status}"));
    }
    record.say(&format!("{values} values were served to the second client; {foreign} of them were made for the first client's request"));
    if values == 0 {
        cannot_run("no values were served");
    }
    foreign > 0
}

/// The body of a query for all shards, whose text differs between the two clients.
fn request(id: &str, tenant: &str, text: &str) -> String {
    let parts: Vec<String> =
        (0..RANGES).map(|shard| format!("{{\"shard\":{shard},\"weight\":0.05}}")).collect();
    let body = format!("{{\"shards\":[{}],\"q\":\"{text}\"}}", parts.join(","));
    format!(
        "POST /network-report HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Tenant-Id: {tenant}\r\n\
         X-Timeout: 4000m\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the number of values that the second client got, and how many of them were foreign.
fn run_round(round: u64, listen: SocketAddr, record: &Record) -> (u64, u64) {
    let id = format!("a{round:07}");
    // Without the disruption, the second client has an id of its own.
    let second_id = if is_trouble() { id.clone() } else { format!("b{round:07}") };
    let (first_text, second_text) = (format!("first-{round}"), format!("second-{round}"));

    let Ok(mut first) = TcpStream::connect(listen) else { return (0, 0) };
    let _ = first.set_nodelay(true);
    let _ = first.write_all(request(&id, "curieri-rapid", &first_text).as_bytes());
    record.line(&format!("first client: sends {id}, text {first_text}"));
    let sent = Instant::now();
    let mut first = Some(first);

    // The same request again as soon as it is turned away, for 2 s at most.
    let mut second = Client::new(listen);
    let mut turned_away = 0;
    while sent.elapsed() < Duration::from_secs(2) {
        let left = Duration::from_millis(LEAVES_AFTER_MS);
        if sent.elapsed() >= left && first.take().is_some() {
            record.line("first client: leaves");
        }
        if !is_trouble() && first.is_some() {
            sleep_ms(1);
            continue;
        }
        let reply = second.exchange(&request(&second_id, "taxi-moto-est", &second_text), Duration::from_millis(4_500));
        let Reply::Answer { status, body } = reply else {
            record.line(&format!("second client: {second_id} {reply:?}"));
            return (0, 0);
        };
        if status != 200 {
            turned_away += 1;
            continue;
        }
        record.line(&format!("second client: {second_id}, text {second_text}, turned away {turned_away} times, then {body}"));
        let (mut values, mut foreign) = (0, 0);
        for (shard, value) in hits(&body) {
            let part = format!("{second_id}.{shard}");
            values += 1;
            if value == value_of(&part, &first_text) {
                foreign += 1;
                record.line(&format!("FOREIGN: shard {shard} of {second_id} has the value of the text {first_text}"));
            } else if value != value_of(&part, &second_text) {
                record.line(&format!("shard {shard} of {second_id} has an unknown value"));
            }
        }
        return (values, foreign);
    }
    record.line(&format!("second client: turned away {turned_away} times"));
    (0, 0)
}

/// The shards and values of an answer.
fn hits(body: &str) -> Vec<(u32, String)> {
    let entries = body.split("{\"shard\":").skip(1);
    let parsed = entries.filter_map(|entry| {
        let shard = entry.split(',').next()?.parse().ok()?;
        let value = entry.split("\"doc\":\"").nth(1)?.split('"').next()?;
        Some((shard, value.to_string()))
    });
    parsed.collect()
}
