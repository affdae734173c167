//! A bad client sends the id of another client's open request, and sends it again as soon as it is
//! turned away. The other client leaves. Whoever is served must get the values that leaf servers
//! made for its own request.

mod common;

use common::*;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Instant;

const ROUNDS: u32 = 10;
/// Work of a part; the site states 170 to 230 ms.
const WORK_MS: u64 = 200;
/// Time after which the usual client leaves.
const STAY_MS: u64 = 100;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::create();
    let deployment = Deployment::small();
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
    let shards: Vec<u32> = (0..deployment.ranges).collect();

    let mut served = 0;
    let mut turned_away = 0;
    let mut foreign = 0;
    for round in 0..ROUNDS {
        let id = format!("{:016x}", 0x9b1f_03aa_0000_0000u64 + u64::from(round));
        let text = format!("usual{round:08}");
        let usual = Query { class: "network-report", id: &id, tenant: "curieri-rapid", timeout_ms: 4000, shards: &shards, text: &text };
        let Ok(mut usual_stream) = connect(address) else {
            record.say("could not run: no connection");
            return COULD_NOT_RUN;
        };
        let sent_at = Instant::now();
        let _ = usual_stream.write_all(&usual.bytes());
        record.line(format!("usual client sent {id} with text {text}"));
        let copied = Arc::new(AtomicBool::new(false));
        let (flag, bad_record) = (copied.clone(), record.clone());
        let own_id = if has_trouble() { id.clone() } else { format!("{id}f") };
        let bad = thread::spawn(move || bad_client(address, &own_id, round, &flag, &bad_record));
        thread::sleep(ms(STAY_MS).saturating_sub(sent_at.elapsed()));
        drop(usual_stream);
        record.line(format!("usual client of {id} has left after {STAY_MS} ms"));
        let result = bad.join().unwrap_or_default();
        served += result.served;
        turned_away += result.turned_away;
        foreign += result.foreign;
        thread::sleep(ms(300));
    }
    record.say(format!(
        "the bad client was turned away {turned_away} times and served {served} times; \
         {foreign} values that it was served were made for the other client's request"
    ));
    if let Some(status) = mixer.ended() {
        record.say(format!("the aggregator has ended: {status}"));
        return BROKEN;
    }
    if served == 0 && (!has_trouble() || turned_away == 0) {
        record.say("could not run: no request of the second client was answered");
        return COULD_NOT_RUN;
    }
    if foreign == 0 { HELD } else { BROKEN }
}

#[derive(Default)]
struct BadClient {
    served: u32,
    turned_away: u32,
    foreign: u32,
}

/// Sends its request until it is not turned away any more.
fn bad_client(address: SocketAddr, id: &str, round: u32, copied: &AtomicBool, record: &Record) -> BadClient {
    let shards: Vec<u32> = (0..12).collect();
    let text = format!("other{round:08}");
    let usual_text = format!("usual{round:08}");
    let mut result = BadClient::default();
    thread::sleep(ms(20));
    let until = Instant::now() + ms(3000);
    while Instant::now() < until {
        let Ok(mut stream) = connect(address) else { continue };
        let query = Query { class: "network-report", id, tenant: "livrari-urban", timeout_ms: 4000, shards: &shards, text: &text };
        let _ = stream.write_all(&query.bytes());
        copied.store(true, Ordering::SeqCst);
        match read_reply(&mut stream, Instant::now() + ms(5000)) {
            Outcome::Reply(reply) if reply.status == 200 => {
                result.served += 1;
                record.line(format!("second client, {id} with text {text}: 200 {}", reply.body));
                for (shard, value) in hits(&reply.body) {
                    if value == value_of(shard, text.as_bytes()) {
                        continue;
                    }
                    let whose = if value == value_of(shard, usual_text.as_bytes()) { "made for the usual client" } else { "unknown" };
                    record.line(format!("second client got for shard {shard} the value {value}: {whose}"));
                    result.foreign += 1;
                }
                return result;
            }
            other => {
                result.turned_away += 1;
                record.line(format!("second client, {id}: {}", other.text()));
                thread::sleep(ms(2));
            }
        }
    }
    result
}
