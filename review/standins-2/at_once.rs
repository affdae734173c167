//! Clients that send many queries at once on a connection, and read all answers. Each query has to get
//! its final answer at the latest half a second after its own time.

mod common;
use common::*;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Queries that a client sends at once. With TROUBLE=0 it sends one after the other.
const AT_ONCE: u64 = 30;
const CLIENTS: u64 = 3;
const ROUNDS: u64 = 3;
/// The grace of the page, and 50 ms for each time limit.
const GRACE: f64 = 0.5 + 0.05;

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
        ranges: 20,
        mixers: 1,
        discovery: "pushed",
        open_cap: 112,
        memory_mb: 192,
        sockets: 1024,
    };
    let leaves = Leaves::new(record, Duration::from_millis(200));
    let list = Arc::new((Mutex::new(List::default()), Condvar::new()));
    let servers = (0..12_u32).map(|place| {
        let name = format!("s-{:08x}", 0x5be2_a07d_u32.wrapping_mul(2 * place + 1));
        Endpoint {
            address: leaves.start(&name, Ipv4Addr::new(127, 20, 0, place as u8 + 1)),
            zone: if place % 2 == 0 { "buc-pipera" } else { "buc-militari" },
            group: place % 10,
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

    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, listen) = (record.clone(), mixer.listen);
            thread::spawn(move || (0..ROUNDS).map(|round| run_client(number, round, listen, &record)).sum::<u64>())
        })
        .collect();
    let lost: u64 = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();
    if let Some(status) = mixer.ended() {
        cannot_run(&format!("the mixer has ended: {status}"));
    }
    record.say(&format!("{lost} of {} queries got no final answer by 0.5 s after their time", CLIENTS * ROUNDS * AT_ONCE));
    lost > 0
}

/// Sends one round of queries, and returns how many of them were lost.
fn run_client(client: u64, round: u64, listen: SocketAddr, record: &Record) -> u64 {
    let mut numbers = Numbers(client * 1000 + round);
    let queries: Vec<(String, u64, String)> = (0..AT_ONCE)
        .map(|number| {
            let first = numbers.below(20) as u32;
            let shards: Vec<u32> = (0..4).map(|step| (first + 5 * step) % 20).collect();
            // 60 to 100% of the give-up time of 5 s.
            let timeout = 3_000 + numbers.below(2_001);
            let id = format!("c{client:02}{round:02}{number:04}");
            let text = query("pack-lookup", &id, timeout, &shards, "");
            (id, timeout, text)
        })
        .collect();
    let mut lost = 0;
    let mut judge = |id: &str, timeout: u64, reply: &Reply, after: f64| {
        let text = match reply {
            Reply::Answer { status, .. } => format!("{status}"),
            other => format!("{other:?}"),
        };
        let is_lost = !matches!(reply, Reply::Answer { .. }) || after > timeout as f64 / 1e3 + GRACE;
        lost += u64::from(is_lost);
        let mark = if is_lost { "LOST: " } else { "" };
        record.line(&format!("{mark}{id} timeout={timeout} ms: {text} after {after:.3} s"));
    };
    if !is_trouble() {
        let mut kept = Client::new(listen);
        for (id, timeout, text) in &queries {
            let began = Instant::now();
            let reply = kept.exchange(text, Duration::from_millis(timeout + 2_000));
            judge(id, *timeout, &reply, began.elapsed().as_secs_f64());
        }
        return lost;
    }
    let Ok(mut stream) = TcpStream::connect(listen) else { return AT_ONCE };
    let _ = stream.set_nodelay(true);
    let all: String = queries.iter().map(|(_, _, text)| text.as_str()).collect();
    record.line(&format!("client {client} sends {AT_ONCE} queries at once, {} bytes", all.len()));
    let _ = stream.write_all(all.as_bytes());
    let sent = Instant::now();
    let mut reader = Client::on(listen, stream);
    for (id, timeout, _) in &queries {
        let reply = reader.read_reply(sent + Duration::from_secs(9));
        judge(id, *timeout, &reply, sent.elapsed().as_secs_f64());
    }
    lost
}
