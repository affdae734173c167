//! A reducer with hand-made inputs in place of sockets. It carries the effects out as sockets
//! would, and checks at each step what must hold at every one.

use aggregator_core::config::{parse_aggregator_settings, parse_policy_settings};
use aggregator_core::engine::usage::{UsageRecord, UsageWatermark};
use aggregator_core::engine::{ClientId, ConnectionId, Effect, Engine, Input};
use aggregator_core::protocol::discovery::EndpointUpdate;
use aggregator_core::protocol::leaf::{LeafRequest, LeafResponse, PartStatus};
use aggregator_core::protocol::query::{ClientRequest, Query, QueryPart, Reply};
use bytes::Bytes;
use std::collections::{BTreeMap, BTreeSet};

pub const MS: u64 = 1_000_000;
pub const START: u64 = 1_000_000 * MS;
/// As a real site has them: class 0 takes partial answers, class 1 needs every part.
pub const SETTINGS: &str = "classes.count=2\nclasses.0.name=report\nclasses.0.aim_ns=2000000000\n\
classes.0.give_up_ns=5000000000\nclasses.0.semantics=read_like\nclasses.1.name=lookup\n\
classes.1.aim_ns=2000000000\nclasses.1.give_up_ns=6000000000\nclasses.1.semantics=read_like\n\
extra.places=1\nextra.reach=1\nextra.ranges=8\nextra.class_need=1.0,1.0\nextra.least_share=0.6,1.0\n\
extra.partial_earns=0.9,0.9\nextra.second_step=0,0\nreplicas_of_me=1\ntick_ns=5000000\n\
limits.cancelling=true\nlimits.may_duplicate=true\nlimits.max_attempts=4\nlimits.streams_per_conn=4\n\
limits.connect_timeout_ns=250000000\nlimits.conn_idle_ns=30000000000\nlimits.open_cap=60\n\
limits.max_retry_after_ns=500000000\nlimits.retry_after=true\nlocalities=north,south\n";

pub struct Bed {
    pub state: Engine,
    pub now: u64,
    pub replies: BTreeMap<ClientId, Vec<(u64, Reply)>>,
    pub left: BTreeSet<ClientId>,
    /// Connections by their number: the address, and whether it is up.
    pub connections: BTreeMap<ConnectionId, (String, bool)>,
    /// All frames, and what is out at each connection.
    pub frames: Vec<(ConnectionId, LeafRequest)>,
    pub out: BTreeMap<ConnectionId, Vec<String>>,
    pub closed: Vec<ClientId>,
    pub listening: bool,
    pub exited: bool,
    /// No socket takes the last byte of a frame.
    pub stuck: bool,
    pub records: Vec<UsageRecord>,
    pub marks: Vec<UsageWatermark>,
    /// When the list was watched anew.
    pub watches: Vec<u64>,
    /// The number of the last one.
    pub watch: u64,
    told: BTreeMap<String, String>,
    writing: BTreeSet<ConnectionId>,
    clients: u64,
    index: u64,
}

pub fn address(replica: u64) -> String {
    format!("127.0.{}.{}:7070", replica / 256, replica % 256)
}

fn listing(index: u64, snapshot: bool, lines: &[(u64, &str, u64)]) -> EndpointUpdate {
    let line = |(replica, status, since): &(u64, &str, u64)| {
        serde_json::json!({"name": format!("s-{replica}"), "address": address(*replica), "zone": "north",
            "type": "m", "group": 0, "status": status, "weight": 1.0, "since_ms": since / MS})
    };
    let lines: Vec<_> = lines.iter().map(line).collect();
    serde_json::from_value(
        serde_json::json!({"index": index, "snapshot": snapshot, "endpoints": lines}),
    )
    .expect("a list")
}

impl Bed {
    pub fn new(replicas: u64) -> Bed {
        Bed::with(SETTINGS, replicas)
    }

    pub fn with(text: &str, replicas: u64) -> Bed {
        Bed::seeded(text, replicas, 7)
    }

    pub fn seeded(text: &str, replicas: u64, seed: u64) -> Bed {
        let (site, decisions) = (
            parse_aggregator_settings(text).unwrap(),
            parse_policy_settings(text).unwrap(),
        );
        let lines: Vec<_> = (1..=replicas).map(|r| (r, "up", 0)).collect();
        let mut bed = Bed {
            state: Engine::new(
                START,
                site,
                decisions,
                seed,
                &listing(1, true, &lines),
                1024,
            ),
            now: START,
            replies: BTreeMap::new(),
            left: BTreeSet::new(),
            connections: BTreeMap::new(),
            frames: Vec::new(),
            out: BTreeMap::new(),
            closed: Vec::new(),
            listening: true,
            exited: false,
            stuck: false,
            records: Vec::new(),
            marks: Vec::new(),
            watches: Vec::new(),
            watch: 0,
            told: (1..=replicas)
                .map(|r| (address(r), "up".to_string()))
                .collect(),
            writing: BTreeSet::new(),
            clients: 0,
            index: 1,
        };
        bed.put(Input::BatchEnded);
        bed
    }

    /// One input and the turn after it.
    pub fn put(&mut self, input: Input) {
        let mut effects = self.state.apply(self.now, input);
        effects.extend(self.state.apply(self.now, Input::BatchEnded));
        effects.into_iter().for_each(|effect| self.perform(effect));
    }

    fn perform(&mut self, effect: Effect) {
        match effect {
            Effect::RecordUsage(usage) => self.records.push(usage),
            Effect::RecordWatermark(mark) => self.marks.push(mark),
            Effect::SendReply {
                client,
                reply,
                close,
            } => {
                self.replies
                    .entry(client)
                    .or_default()
                    .push((self.now, reply));
                if close {
                    self.put(Input::ClientDisconnected { client });
                }
            }
            Effect::CloseClient { client } => {
                self.closed.push(client);
                self.put(Input::ClientDisconnected { client });
            }
            Effect::OpenConnection {
                connection,
                address,
            } => {
                assert_eq!(
                    self.told[&address.to_string()],
                    "up",
                    "no new connection where nothing may go"
                );
                self.connections
                    .insert(connection, (address.to_string(), false));
            }
            Effect::WriteFrame { connection, frame } => {
                let (address, up) = &self.connections[&connection];
                assert!(*up, "nothing is written before the connection is up");
                assert!(self.writing.insert(connection), "one frame at a time");
                let out = self.out.entry(connection).or_default();
                match &frame {
                    LeafRequest::Call(parts) => {
                        assert_eq!(
                            self.told[address], "up",
                            "nothing new goes to what drains or is gone"
                        );
                        for part in parts {
                            assert!(
                                !out.contains(&part.id.to_string()),
                                "{} is out there",
                                part.id
                            );
                            out.push(part.id.to_string());
                        }
                        assert!(out.len() <= 4, "no more than streams_per_conn");
                    }
                    LeafRequest::Cancel(id) => out.retain(|other| **other != **id),
                    LeafRequest::HealthCheck | LeafRequest::LoadReport => {}
                }
                self.frames.push((connection, frame));
                if !self.stuck {
                    self.writing.remove(&connection);
                    self.put(Input::FrameWritten { connection });
                }
            }
            Effect::CloseConnection { connection } => {
                self.connections.remove(&connection);
                self.out.remove(&connection);
            }
            Effect::StartWatch { watch, .. } => {
                self.watches.push(self.now);
                self.watch = watch;
            }
            Effect::SendGossip { .. } => {}
            Effect::StopListening => self.listening = false,
            Effect::Exit(_) => self.exited = true,
        }
    }

    /// Time passes, with a turn whenever one is due.
    pub fn pass(&mut self, ms: u64) {
        let end = self.now + ms * MS;
        while let Some(due) = self.state.next_due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            self.put(Input::BatchEnded);
        }
        self.now = end;
    }

    pub fn connect(&mut self) -> ClientId {
        self.clients += 1;
        self.put(Input::ClientConnected {
            client: self.clients,
        });
        self.clients
    }

    pub fn ask(&mut self, class: u16, weights: &[f64]) -> ClientId {
        let client = self.connect();
        self.ask_on(client, class, weights, 5000);
        client
    }

    pub fn ask_on(&mut self, client: ClientId, class: u16, weights: &[f64], timeout_ms: u64) {
        let part = |(shard, weight): (usize, &f64)| QueryPart {
            shard: shard as u32,
            weight: *weight,
            work: None,
        };
        let query = Query {
            name: format!("q{client}"),
            class,
            tenant: 0,
            timeout: timeout_ms * MS,
            is_retry: false,
            idempotency_key: None,
            parts: weights.iter().enumerate().map(part).collect(),
            text: Bytes::from_static(b"c41e77d0"),
        };
        self.replies.entry(client).or_default();
        self.put(Input::RequestReceived {
            client,
            arrived: self.now,
            request: Ok(ClientRequest::Query(query)),
        });
    }

    pub fn open(&mut self, connection: ConnectionId) {
        if let Some(it) = self.connections.get_mut(&connection).filter(|it| !it.1) {
            it.1 = true;
            self.put(Input::ConnectionOpened { connection });
        }
    }

    pub fn open_all(&mut self) {
        self.connections
            .keys()
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|connection| self.open(connection));
    }

    /// The oldest part out at a connection ends.
    pub fn answer(&mut self, connection: ConnectionId, status: PartStatus) {
        let out = self.out.entry(connection).or_default();
        if !out.is_empty() {
            let id = out.remove(0);
            self.answer_to(connection, &id, status);
        }
    }

    pub fn answer_to(&mut self, connection: ConnectionId, id: &str, status: PartStatus) {
        let value = Bytes::from(format!("doc {id}"));
        let frame = LeafResponse::PartResult {
            id: id.to_string(),
            status,
            report: "-".into(),
            value,
        };
        self.put(Input::FrameReceived { connection, frame });
    }

    /// All that is out is answered.
    pub fn answer_all(&mut self) {
        while let Some(connection) = self
            .out
            .iter()
            .find(|(_, out)| !out.is_empty())
            .map(|(connection, _)| *connection)
        {
            self.answer(connection, PartStatus::Ok);
        }
    }

    /// Something comes that can't be read, with or without the id of the oldest part out.
    pub fn spoil(&mut self, connection: ConnectionId, named: bool) {
        let id = self
            .out
            .get(&connection)
            .and_then(|out| out.first().cloned())
            .filter(|_| named);
        if self.connections[&connection].1 {
            self.put(Input::FrameReceived {
                connection,
                frame: LeafResponse::Malformed(id),
            });
        }
    }

    pub fn break_off(&mut self, connection: ConnectionId) {
        self.connections.remove(&connection);
        self.out.remove(&connection);
        self.put(Input::ConnectionClosed { connection });
    }

    /// Notes what a list says of an address, for the checks on what is written there.
    pub fn told(&mut self, address: &str, status: &str) {
        self.told.insert(address.to_string(), status.to_string());
    }

    pub fn list(&mut self, replica: u64, status: &str, since: u64) {
        self.index += 1;
        self.told(&address(replica), status);
        self.put(Input::EndpointsUpdated(listing(
            self.index,
            false,
            &[(replica, status, since)],
        )));
    }

    /// Some client leaves.
    pub fn leave(&mut self, dice: u64) {
        if self.clients > 0 {
            let client = 1 + dice % self.clients;
            if self.left.insert(client) {
                self.put(Input::ClientDisconnected { client });
            }
        }
    }

    pub fn reply(&self, client: ClientId) -> Option<&Reply> {
        self.replies
            .get(&client)
            .and_then(|replies| replies.last())
            .map(|(_, reply)| reply)
    }
}
