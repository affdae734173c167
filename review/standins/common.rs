//! Stand-ins for clients, leaf servers, discovery and the platform, with the standard library only.
//! Each case includes this file as a module.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns whether the disruption of the case is to be left out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Loopback address of this process, so that parallel runs do not share addresses.
pub fn own_ip() -> Ipv4Addr {
    let pid = std::process::id();
    Ipv4Addr::new(127, 40 + (pid >> 16 & 63) as u8, (pid >> 8 & 255) as u8, (pid & 255).max(1) as u8)
}

pub fn listen() -> TcpListener {
    TcpListener::bind((own_ip(), 0)).expect("a free port")
}

pub fn free_address() -> SocketAddr {
    listen().local_addr().expect("a local address")
}

// ---------------------------------------------------------------- record

/// The file `record.txt`: one line per event, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file in the folder that CASE_DIR names.
    pub fn create() -> Record {
        let folder = std::env::var("CASE_DIR").unwrap_or_else(|_| ".".into());
        let file = File::create(Path::new(&folder).join("record.txt")).expect("record.txt");
        start_watchdog();
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: impl AsRef<str>) {
        let since = at.saturating_duration_since(self.started).as_secs_f64() * 1000.0;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{since:10.1} ms  {}", text.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

// ---------------------------------------------------------------- configuration

pub struct Class {
    pub name: &'static str,
    pub aim_ms: u64,
    pub give_up_ms: u64,
    pub semantics: &'static str,
    pub least_share: f64,
}

pub struct Deployment {
    pub classes: Vec<Class>,
    pub tenants: Vec<&'static str>,
    pub places: u32,
    pub reach: u32,
    pub ranges: u32,
    pub mixers: u32,
    pub sockets: u32,
    pub open_cap: u32,
    pub streams: u32,
    pub cold_from: f64,
    pub cold_ms: u64,
    pub fall_multiple: f64,
    pub fall_ms: u64,
}

impl Deployment {
    pub fn small() -> Deployment {
        Deployment {
            classes: vec![
                Class { name: "network-report", aim_ms: 2500, give_up_ms: 5000, semantics: "read_like", least_share: 0.6 },
                Class { name: "pack-lookup", aim_ms: 2000, give_up_ms: 5000, semantics: "read_like", least_share: 1.0 },
            ],
            tenants: vec!["curieri-rapid", "livrari-urban"],
            places: 6,
            reach: 3,
            ranges: 12,
            mixers: 2,
            sockets: 1024,
            open_cap: 400,
            streams: 32,
            cold_from: 0.21,
            cold_ms: 18_000,
            fall_multiple: 2.5,
            fall_ms: 3_000,
        }
    }

    pub fn config(&self, name: &str, listen: SocketAddr, discovery: SocketAddr, known: &str) -> String {
        let list = |items: Vec<String>| items.join(",");
        let classes = list(self.classes.iter().map(|class| {
            format!(
                "{{\"name\":\"{}\",\"aim_ns\":{},\"give_up_ns\":{},\"semantics\":\"{}\",\"dedup_window_ns\":{},\
                 \"group\":\"all\",\"importance\":1.0,\"late_value\":0.3,\"stream\":false}}",
                class.name, class.aim_ms * 1_000_000, class.give_up_ms * 1_000_000, class.semantics, class.give_up_ms * 1_000_000
            )
        }).collect());
        let orgs = list(self.tenants.iter().map(|tenant| {
            format!("{{\"name\":\"{tenant}\",\"allowance_per_s\":500.0,\"fraction\":{}}}", 1.0 / self.tenants.len() as f64)
        }).collect());
        let per_class = |value: &dyn Fn(&Class) -> String| list(self.classes.iter().map(value).collect());
        format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":128,\"sockets\":{sockets}}},\"known\":{known},\"settings\":{{\
             \"callers\":{{\"marks_retry\":true}},\"classes\":[{classes}],\"orgs\":[{orgs}],\"counted_by\":\"request\",\
             \"discovery\":\"pushed\",\"domain_type\":\"fanout\",\"extra\":{{\"bundle_max\":1,\"class_need\":[{need}],\
             \"least_share\":[{least}],\"overhead_ns\":0,\"partial_earns\":[{earns}],\"places\":{places},\"ranges\":{ranges},\
             \"reach\":{reach},\"second_step\":[{second}],\"warm_keys\":false}},\
             \"guarantees\":{{\"ask_within_ns\":10000000000,\"cold_from\":{cold_from},\"cold_ns\":{cold_ns},\
             \"fall_multiple\":{fall_multiple},\"fall_ns\":{fall_ns},\"grace_to_answer_ns\":20000000,\
             \"stop_sending_within_ns\":2000000000}},\"kinds\":[\"std-2c\"],\
             \"limits\":{{\"cancelling\":true,\"conn_idle_ns\":30000000000,\"connect_timeout_ns\":250000000,\
             \"cpu_us_per_request\":0.0,\"cpu_us_per_s\":400000,\"max_attempts\":3,\"max_retry_after_ns\":2000000000,\
             \"may_duplicate\":true,\"may_probe\":false,\"open_cap\":{open_cap},\"peers\":false,\"retry_after\":true,\
             \"streams_per_conn\":{streams}}},\"localities\":[\"a\"],\"me\":0,\"my_zone\":0,\"replicas_of_me\":{mixers},\
             \"reporting\":{{\"fields\":[],\"how\":\"none\"}},\"stages\":[\"query-fleet\"],\
             \"tariffs\":{{\"cross_zone\":0.01}},\"tick_ns\":5000000,\"tier\":0,\"weight_source\":\"nominal\"}}}}",
            seed = seed(),
            sockets = self.sockets,
            need = per_class(&|_| "1.0".into()),
            least = per_class(&|class| format!("{:.2}", class.least_share)),
            earns = per_class(&|_| "0.9".into()),
            second = per_class(&|_| "0".into()),
            places = self.places,
            ranges = self.ranges,
            reach = self.reach,
            cold_from = self.cold_from,
            cold_ns = self.cold_ms * 1_000_000,
            fall_multiple = self.fall_multiple,
            fall_ns = self.fall_ms * 1_000_000,
            open_cap = self.open_cap,
            streams = self.streams,
            mixers = self.mixers,
        )
    }
}

fn seed() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |now| now.as_nanos() as u64);
    now ^ u64::from(std::process::id()).rotate_left(40)
}

// ---------------------------------------------------------------- the aggregator

/// Longest run of a case. After that, the aggregators are killed and the case could not run.
const MAX_RUN: Duration = Duration::from_secs(105);

/// Processes that this case has started and that have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all aggregators and this process, whose case could not run.
pub fn give_up(why: &str) -> ! {
    for id in STARTED.lock().unwrap().iter() {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {id}")]).status();
    }
    let _ = fs::remove_dir_all(temporary_folder());
    println!("could not run: {why}");
    std::process::exit(COULD_NOT_RUN);
}

fn temporary_folder() -> PathBuf {
    std::env::temp_dir().join(format!("review-{}", std::process::id()))
}

fn start_watchdog() {
    thread::spawn(|| {
        thread::sleep(MAX_RUN);
        give_up("the case takes too long");
    });
}

/// Root of the repository: the nearest folder above that has the deploy file.
pub fn repository() -> PathBuf {
    let mut folder = std::env::current_dir().expect("current folder");
    while !folder.join("deploy/balancer.toml").exists() {
        if !folder.pop() {
            eprintln!("no deploy/balancer.toml above the current folder");
            std::process::exit(COULD_NOT_RUN);
        }
    }
    folder
}

fn run_command(root: &Path) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy file");
    let line = text.lines().find(|line| line.starts_with("run = ")).expect("run in the deploy file");
    line.split('"').nth(1).expect("a quoted command").to_string()
}

/// One aggregator, started with the command of the deploy file. It is killed when dropped.
pub struct Mixer {
    child: Child,
    pub address: SocketAddr,
    pub config_path: PathBuf,
    pub folder: PathBuf,
    record: Record,
}

impl Mixer {
    pub fn start(record: &Record, name: &str, address: SocketAddr, discovery: SocketAddr, config: &str) -> Mixer {
        let folder = temporary_folder().join(name);
        let private = folder.join("tmp");
        fs::create_dir_all(&private).expect("temporary folder");
        let config_path = folder.join("config.json");
        fs::write(&config_path, config).expect("configuration file");
        let log = File::create(folder.join("log.txt")).expect("log file");
        let root = repository();
        let run = run_command(&root);
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .current_dir(&root)
            .env("BALANCER_NAME", name)
            .env("BALANCER_LISTEN", address.to_string())
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .env("BALANCER_CONFIG", &config_path)
            .env("TMPDIR", &private)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log file"))
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|error| {
            record.say(format!("could not run: {run}: {error}"));
            std::process::exit(COULD_NOT_RUN);
        });
        STARTED.lock().unwrap().push(child.id());
        record.line(format!("started aggregator {name}, process {}, at {address}: {run}", child.id()));
        let mixer = Mixer { child, address, config_path, folder, record: record.clone() };
        mixer.wait_until_ready();
        mixer
    }

    fn wait_until_ready(&self) {
        let limit = Instant::now() + ms(10_000);
        while Instant::now() < limit {
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let _ = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n\r\n");
                if matches!(read_reply(&mut stream, Instant::now() + ms(1000)), Outcome::Reply(reply) if reply.status == 200) {
                    self.record.line("the aggregator is ready");
                    return;
                }
            }
            thread::sleep(ms(20));
        }
        self.record.line("the aggregator is not ready");
        give_up("the aggregator is not ready");
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {id}")]).status();
        self.record.line(format!("sent SIG{name} to the aggregator"));
    }

    /// Returns the exit code once the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }
}

impl Drop for Mixer {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        for line in lines.iter().skip(lines.len().saturating_sub(40)) {
            self.record.line(format!("log of the aggregator: {line}"));
        }
        let _ = fs::remove_dir_all(temporary_folder());
    }
}

// ---------------------------------------------------------------- leaf servers

/// A part that has arrived at a leaf server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub id: String,
    pub shard: u32,
    pub wait_ms: u64,
}

pub struct LeafState {
    pub name: String,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Time from the arrival of a part to its answer, in milliseconds.
    pub work_ms: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    is_down: AtomicBool,
}

/// A leaf server, which answers each part after its work. It does not stop a cancelled part.
#[derive(Clone)]
pub struct Leaf {
    pub address: SocketAddr,
    pub state: Arc<LeafState>,
}

/// The value that a leaf server makes for a part: a hash of the shard and the text.
pub fn value_of(shard: u32, text: &[u8]) -> String {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in shard.to_be_bytes().iter().chain(text) {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    format!("{hash:016x}")
}

/// Records the parts that arrived at leaf servers. Each runs on arrival, for the time of its work.
pub fn record_arrivals(record: &Record, leaves: &[Leaf]) {
    for leaf in leaves {
        for part in leaf.arrivals() {
            let (name, id, wait) = (&leaf.state.name, &part.id, part.wait_ms);
            record.line_at(part.at, format!("{name} received and ran part {id}, d={wait}"));
        }
    }
}

impl Leaf {
    pub fn start(name: &str, work_ms: u64) -> Leaf {
        let listener = listen();
        let address = listener.local_addr().expect("a local address");
        let state = Arc::new(LeafState {
            name: name.to_string(),
            arrivals: Mutex::default(),
            work_ms: AtomicU64::new(work_ms),
            connections: Mutex::default(),
            is_down: AtomicBool::new(false),
        });
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.is_down.load(Ordering::SeqCst) {
                    continue;
                }
                let _ = stream.set_nodelay(true);
                shared.connections.lock().unwrap().push(stream.try_clone().expect("a socket"));
                let shared = shared.clone();
                spawn_small(move || serve_leaf(stream, shared));
            }
        });
        Leaf { address, state }
    }

    /// Ends all connections, as a process does that dies; new ones are closed until `come_up`.
    pub fn go_down(&self) {
        self.state.is_down.store(true, Ordering::SeqCst);
        for stream in self.state.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn come_up(&self) {
        self.state.is_down.store(false, Ordering::SeqCst);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.arrivals.lock().unwrap().clone()
    }
}

pub fn spawn_small(run: impl FnOnce() + Send + 'static) {
    let _ = thread::Builder::new().stack_size(128 * 1024).spawn(run);
}

fn serve_leaf(mut stream: TcpStream, state: Arc<LeafState>) {
    let writer = Arc::new(Mutex::new(stream.try_clone().expect("a socket")));
    loop {
        let mut header = [0; 4];
        if stream.read_exact(&mut header).is_err() {
            return;
        }
        let mut body = vec![0; u32::from_be_bytes(header) as usize];
        if stream.read_exact(&mut body).is_err() || body.is_empty() {
            return;
        }
        let at = Instant::now();
        if body[0] == b'Q' {
            for (id, shard, wait_ms, text) in parts_of(&body[1..]) {
                let arrival = Arrival { at, id: id.clone(), shard, wait_ms };
                state.arrivals.lock().unwrap().push(arrival);
                let (writer, work) = (writer.clone(), ms(state.work_ms.load(Ordering::SeqCst)));
                spawn_small(move || {
                    thread::sleep(work);
                    let answer = frame(&format!("A{id} ok 1 -\n{}", value_of(shard, &text)));
                    let _ = writer.lock().unwrap().write_all(&answer);
                });
            }
        }
    }
}

pub fn frame(payload: &str) -> Vec<u8> {
    let mut frame = (payload.len() as u32).to_be_bytes().to_vec();
    frame.extend_from_slice(payload.as_bytes());
    frame
}

pub fn parts_of(mut body: &[u8]) -> Vec<(String, u32, u64, Vec<u8>)> {
    let mut parts = Vec::new();
    while let Some(end) = body.iter().position(|byte| *byte == b'\n') {
        let line = String::from_utf8_lossy(&body[..end]).to_string();
        let fields: Vec<&str> = line.split(' ').collect();
        let length: usize = fields[3].parse().unwrap_or(0);
        let wait = fields[2].strip_prefix("d=").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let text = body[end + 1..end + 1 + length].to_vec();
        parts.push((fields[0].to_string(), fields[1].parse().unwrap_or(0), wait, text));
        body = &body[end + 1 + length..];
    }
    parts
}

// ---------------------------------------------------------------- discovery

#[derive(Clone)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub group: u32,
    pub status: &'static str,
    pub since_ms: u64,
}

impl Endpoint {
    fn json(&self) -> String {
        format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"type\":\"std-2c\",\"group\":{},\"status\":\"{}\",\
             \"weight\":1.0,\"since_ms\":{}}}",
            self.name, self.address, self.group, self.status, self.since_ms
        )
    }
}

#[derive(Default)]
struct List {
    changes: Vec<Endpoint>,
}

impl List {
    fn update(&self, snapshot: bool, from: usize) -> String {
        let mut latest: BTreeMap<&str, &Endpoint> = BTreeMap::new();
        for change in &self.changes[from..] {
            latest.insert(&change.name, change);
        }
        let lines = latest.values().filter(|endpoint| !snapshot || endpoint.status != "removed");
        let lines: Vec<String> = lines.map(|endpoint| endpoint.json()).collect();
        format!("{{\"index\":{},\"snapshot\":{snapshot},\"endpoints\":[{}]}}", self.changes.len(), lines.join(","))
    }
}

/// The agent of discovery: watches with deltas, and an empty line every 2 s.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<Mutex<List>>,
    /// Time from a request to the first byte of its answer, in milliseconds.
    pub answer_delay_ms: Arc<AtomicU64>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record) -> Discovery {
        let listener = listen();
        let discovery = Discovery {
            address: listener.local_addr().expect("a local address"),
            list: Arc::default(),
            answer_delay_ms: Arc::default(),
            record: record.clone(),
        };
        let shared = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                spawn_small(move || shared.serve(stream));
            }
        });
        discovery
    }

    pub fn publish(&self, change: Endpoint) {
        self.list.lock().unwrap().changes.push(change);
    }

    pub fn snapshot(&self) -> String {
        self.list.lock().unwrap().update(true, 0)
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read_exact(&mut byte).is_err() {
                return;
            }
            head.push(byte[0]);
        }
        let head = String::from_utf8_lossy(&head).to_string();
        let request = head.lines().next().unwrap_or_default().to_string();
        self.record.line(format!("discovery was asked: {request}"));
        thread::sleep(ms(self.answer_delay_ms.load(Ordering::SeqCst)));
        if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        let from = request.split("from=").nth(1).and_then(|rest| rest.split([' ', '&']).next()?.parse::<usize>().ok());
        let mut known = from;
        let mut last_line = Instant::now() - ms(10_000);
        loop {
            let update = {
                let list = self.list.lock().unwrap();
                let current = list.changes.len();
                let update = match known {
                    Some(known) if known == current => None,
                    Some(known) if known < current && known > 0 => Some(list.update(false, known)),
                    _ => Some(list.update(true, 0)),
                };
                known = Some(current);
                update
            };
            let line = match update {
                Some(update) => {
                    self.record.line(format!("discovery tells: {}", &update[..update.len().min(300)]));
                    update
                }
                None if last_line.elapsed() >= ms(2000) => String::new(),
                None => {
                    thread::sleep(ms(5));
                    continue;
                }
            };
            last_line = Instant::now();
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
        }
    }
}

// ---------------------------------------------------------------- clients

#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub body: String,
    pub closes: bool,
}

#[derive(Clone, Debug)]
pub enum Outcome {
    Reply(Reply),
    /// The connection ended without a whole answer.
    Ended(String),
    /// Nothing whole arrived in time.
    Nothing,
}

impl Outcome {
    pub fn text(&self) -> String {
        match self {
            Outcome::Reply(reply) => format!("{} {}", reply.status, reply.body),
            Outcome::Ended(how) => format!("the connection ended with no answer: {how}"),
            Outcome::Nothing => "no answer".to_string(),
        }
    }
}

pub struct Query<'a> {
    pub class: &'a str,
    pub id: &'a str,
    pub tenant: &'a str,
    pub timeout_ms: u64,
    pub shards: &'a [u32],
    pub text: &'a str,
}

impl Query<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let weight = 1.0 / self.shards.len() as f64;
        let mut shards = String::new();
        for (index, shard) in self.shards.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            let _ = write!(shards, "{comma}{{\"shard\":{shard},\"weight\":{weight:.6}}}");
        }
        let body = format!("{{\"shards\":[{shards}],\"q\":\"{}\"}}", self.text);
        format!(
            "POST /{} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {}\r\nX-Tenant-Id: {}\r\nX-Timeout: {}m\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.class, self.id, self.tenant, self.timeout_ms, body.len()
        ).into_bytes()
    }
}

pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, ms(4000))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Reads one answer with a length.
pub fn read_reply(stream: &mut TcpStream, until: Instant) -> Outcome {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        if let Some(reply) = parse_reply(&bytes) {
            return Outcome::Reply(reply);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Outcome::Nothing;
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(0) => return Outcome::Ended("end of stream".into()),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted) => {}
            Err(error) => return Outcome::Ended(error.to_string()),
        }
    }
}

fn parse_reply(bytes: &[u8]) -> Option<Reply> {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let lower = head.to_ascii_lowercase();
    let length: usize = lower.lines().find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok())?;
    (body.len() >= length).then(|| Reply {
        status,
        body: body[..length].to_string(),
        closes: lower.contains("connection: close"),
    })
}

/// The values of an answer, by shard.
pub fn hits(body: &str) -> Vec<(u32, String)> {
    let mut hits = Vec::new();
    for piece in body.split("{\"shard\":").skip(1) {
        let shard = piece.split(',').next().and_then(|shard| shard.parse().ok());
        let value = piece.split("\"doc\":\"").nth(1).and_then(|rest| rest.split('"').next());
        if let (Some(shard), Some(value)) = (shard, value) {
            hits.push((shard, value.to_string()));
        }
    }
    hits
}
