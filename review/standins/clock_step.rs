//! A probe, no case. The wall clock of all machines is stepped back by an hour while the aggregator
//! runs. Then a leaf server restarts, so that its `since_ms` is an hour behind the aggregator's own
//! clock. It must not get more than N + 2 x root of N + 2 parts in any 3 s of its warm-up.

mod common;

use common::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const STEP_MS: u64 = 3_600_000;
/// Parts of mean work that a warm leaf server can do in a second.
const CAPACITY: f64 = 110.0;
const OBSERVED_MS: u64 = 9_000;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create();
    let mut deployment = Deployment::small();
    deployment.cold_from = 0.05;
    deployment.mixers = 1;
    let discovery = Discovery::start(&record);
    let mut leaves = Vec::new();
    for cell in 0..deployment.places {
        let leaf = Leaf::start(&format!("s-{cell}"), 30);
        discovery.publish(endpoint(&leaf, cell, 0));
        leaves.push(leaf);
    }
    let address = free_address();
    let config = deployment.config("n0", address, discovery.address, &discovery.snapshot());
    let mut mixer = Mixer::start(&record, "n0", address, discovery.address, &config);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6).map(|number| {
        let stop = stop.clone();
        thread::spawn(move || client(number, address, &stop))
    }).collect();
    thread::sleep(ms(12_000));
    let before = leaves[0].arrivals().len() as f64 / 12.0;
    leaves[0].go_down();
    record.line("s-0 has died");
    thread::sleep(ms(1500));
    leaves[0].come_up();
    let up_at = Instant::now();
    let step = if has_trouble() { STEP_MS } else { 0 };
    discovery.publish(endpoint(&leaves[0], 0, unix_ms() - step));
    record.say(format!("s-0 has restarted, by a clock that was stepped back by {step} ms"));
    thread::sleep(ms(OBSERVED_MS));
    stop.store(true, Ordering::SeqCst);
    let served: u32 = clients.into_iter().map(|client| client.join().unwrap_or(0)).sum();

    let window = Duration::from_millis(deployment.fall_ms);
    let times: Vec<Instant> = leaves[0].arrivals().iter().map(|part| part.at).filter(|at| *at >= up_at).collect();
    let mut breaches = 0;
    let mut worst = String::new();
    let mut worst_ratio = 0.0;
    for (index, begin) in times.iter().enumerate() {
        let count = times[index..].iter().take_while(|at| **at < *begin + window).count() as f64;
        let middle = begin.duration_since(up_at).as_secs_f64() + window.as_secs_f64() / 2.0;
        let share = deployment.cold_from + (1.0 - deployment.cold_from) * (middle * 1000.0 / deployment.cold_ms as f64).min(1.0);
        let allowed = deployment.fall_multiple * share * CAPACITY * window.as_secs_f64();
        let limit = if allowed < 30.0 { allowed + 3.0 * allowed.sqrt() + 3.0 } else { allowed + 2.0 * allowed.sqrt() + 2.0 };
        breaches += u32::from(count > limit);
        if count / limit > worst_ratio {
            worst_ratio = count / limit;
            worst = format!("{count} parts in 3 s from {:.1} s on, allowed {limit:.0}", middle - 1.5);
        }
    }
    record.say(format!("{served} queries served; s-0 got {before:.0} parts a second before; worst window: {worst}; {breaches} windows over the limit"));
    if mixer.ended().is_some() {
        return BROKEN;
    }
    if served < 500 {
        return COULD_NOT_RUN;
    }
    if breaches == 0 { HELD } else { BROKEN }
}

fn endpoint(leaf: &Leaf, cell: u32, since_ms: u64) -> Endpoint {
    Endpoint { name: leaf.state.name.clone(), address: leaf.address, group: cell, status: "up", since_ms }
}

fn client(number: u32, address: SocketAddr, stop: &AtomicBool) -> u32 {
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
        served += u32::from(matches!(read_reply(&mut stream, Instant::now() + ms(5000)), Outcome::Reply(reply) if reply.status == 200));
        thread::sleep(ms(40));
    }
    served
}
