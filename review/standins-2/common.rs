//! Stand-ins that the cases 6 to 10 share: the platform that starts mixers, discovery, leaf servers
//! and clients. They follow PROTOCOL, DEPLOY and WIRE, and use the standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, BinaryHeap};
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption is played: not with TROUBLE=0.
pub fn is_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// The record of one run, with the seconds since its start on each line.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("record: {error}")));
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line that is also printed.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// Ends the run because the case could not be played.
pub fn cannot_run(why: &str) -> ! {
    println!("could not run: {why}");
    std::process::exit(2);
}

/// Folder of a run, removed when the value is dropped.
pub struct RunFolder(pub PathBuf);

impl RunFolder {
    pub fn create() -> RunFolder {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap_or_else(|error| cannot_run(&format!("folder: {error}")));
        RunFolder(path)
    }
}

impl Drop for RunFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Reserves a free port at a loopback address, which is free again when this returns.
pub fn free_address(ip: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddrV4::new(ip, 0))
        .unwrap_or_else(|error| cannot_run(&format!("no free port: {error}")));
    listener.local_addr().unwrap()
}

// ---------------------------------------------------------------------------------------------
// Delayed work

struct Job {
    due: Instant,
    number: u64,
    work: Box<dyn FnOnce() + Send>,
}

impl PartialEq for Job {
    fn eq(&self, other: &Job) -> bool {
        self.number == other.number
    }
}
impl Eq for Job {}
impl PartialOrd for Job {
    fn partial_cmp(&self, other: &Job) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Job {
    fn cmp(&self, other: &Job) -> std::cmp::Ordering {
        (other.due, other.number).cmp(&(self.due, self.number))
    }
}

/// Runs work at a later time, in one thread.
#[derive(Clone)]
pub struct Scheduler {
    jobs: Arc<(Mutex<(BinaryHeap<Job>, u64)>, Condvar)>,
}

impl Scheduler {
    pub fn start() -> Scheduler {
        let jobs = Arc::new((Mutex::new((BinaryHeap::new(), 0)), Condvar::new()));
        let scheduler = Scheduler { jobs };
        let runner = scheduler.clone();
        thread::spawn(move || runner.run());
        scheduler
    }

    pub fn after(&self, delay: Duration, work: impl FnOnce() + Send + 'static) {
        let (jobs, changed) = &*self.jobs;
        let mut jobs = jobs.lock().unwrap();
        jobs.1 += 1;
        let number = jobs.1;
        jobs.0.push(Job { due: Instant::now() + delay, number, work: Box::new(work) });
        changed.notify_one();
    }

    fn run(&self) {
        let (jobs, changed) = &*self.jobs;
        let mut locked = jobs.lock().unwrap();
        loop {
            let now = Instant::now();
            let next = locked.0.peek().map(|job| job.due);
            locked = match next {
                Some(due) if due <= now => {
                    let job = locked.0.pop().unwrap();
                    drop(locked);
                    (job.work)();
                    jobs.lock().unwrap()
                }
                Some(due) => changed.wait_timeout(locked, due - now).unwrap().0,
                None => changed.wait(locked).unwrap(),
            };
        }
    }
}

// ---------------------------------------------------------------------------------------------
// Discovery

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Status {
    Up,
    Draining,
    Removed,
}

#[derive(Clone, Debug)]
pub struct Endpoint {
    pub name: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub group: u32,
    pub status: Status,
    pub since_ms: u64,
}

/// The list of leaf servers, with the version at which each line last changed.
#[derive(Default)]
pub struct List {
    pub index: u64,
    lines: BTreeMap<String, (u64, Endpoint)>,
    /// Versions up to this one are answered with the whole list.
    oldest_known: u64,
}

impl List {
    pub fn set(&mut self, endpoints: Vec<Endpoint>) {
        self.index += 1;
        for endpoint in endpoints {
            self.lines.insert(endpoint.name.clone(), (self.index, endpoint));
        }
    }

    /// From now on, the changes up to the present version are no longer known one by one.
    pub fn forget_changes(&mut self) {
        self.oldest_known = self.index;
        self.lines.retain(|_, (_, endpoint)| endpoint.status != Status::Removed);
    }

    pub fn up(&self) -> usize {
        self.lines.values().filter(|(_, endpoint)| endpoint.status == Status::Up).count()
    }

    pub fn draining(&self) -> usize {
        self.lines.values().filter(|(_, endpoint)| endpoint.status == Status::Draining).count()
    }

    /// The whole list, without the lines that are removed.
    pub fn snapshot(&self, indent: usize) -> String {
        let lines = self.lines.values().map(|(_, endpoint)| endpoint);
        let lines = lines.filter(|endpoint| endpoint.status != Status::Removed);
        message(self.index, true, lines, indent)
    }

    /// What a watch from this version is told first.
    fn first_message(&self, from: u64, indent: usize) -> String {
        if from <= self.oldest_known || from > self.index {
            return self.snapshot(indent);
        }
        self.changes(from, indent)
    }

    fn changes(&self, from: u64, indent: usize) -> String {
        let changed = self.lines.values().filter(|(version, _)| *version > from);
        message(self.index, false, changed.map(|(_, endpoint)| endpoint), indent)
    }
}

/// A message of discovery. With an indent of 0 it is one line, otherwise one field a line.
fn message<'a>(
    index: u64,
    is_snapshot: bool,
    endpoints: impl Iterator<Item = &'a Endpoint>,
    indent: usize,
) -> String {
    let pad = |depth: usize| match indent {
        0 => String::new(),
        width => format!("\n{}", " ".repeat(width * depth)),
    };
    let (one, two, three) = (pad(1), pad(2), pad(3));
    let mut text = format!("{{{one}\"index\": {index},{one}\"snapshot\": {is_snapshot},{one}\"endpoints\": [");
    for (number, endpoint) in endpoints.enumerate() {
        let comma = if number == 0 { "" } else { "," };
        let status = match endpoint.status {
            Status::Up => "up",
            Status::Draining => "draining",
            Status::Removed => "removed",
        };
        let Endpoint { name, address, zone, group, since_ms, .. } = endpoint;
        let _ = write!(
            text,
            "{comma}{two}{{{three}\"name\": \"{name}\",{three}\"address\": \"{address}\",{three}\"zone\": \"{zone}\",\
             {three}\"type\": \"std-2c\",{three}\"group\": {group},{three}\"status\": \"{status}\",\
             {three}\"weight\": 1.0,{three}\"since_ms\": {since_ms}{two}}}"
        );
    }
    let end = if indent == 0 { "" } else { "\n" };
    let _ = write!(text, "{one}]{end}}}\n");
    text
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Mode {
    /// Answers at once.
    Up,
    /// Accepts calls and says nothing, also on open watches.
    Silent,
}

/// The discovery agent of one mixer.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    pub list: Arc<(Mutex<List>, Condvar)>,
    mode: Arc<Mutex<(Mode, u64)>>,
    /// Blanks of a level of the list; 0 for a list in one line.
    indent: usize,
    record: Record,
    name: String,
    /// Speed at which the list is written; 0 for at once.
    pub bytes_per_second: Arc<AtomicU64>,
    /// When each call ended that got no answer, by seconds of the record.
    pub given_up: Arc<Mutex<Vec<f64>>>,
    /// Greatest version that was written whole to the mixer, with its time.
    pub told: Arc<Mutex<Vec<(u64, f64)>>>,
}

impl Discovery {
    pub fn start(
        name: &str,
        ip: Ipv4Addr,
        list: Arc<(Mutex<List>, Condvar)>,
        indent: usize,
        record: &Record,
    ) -> Discovery {
        let listener = TcpListener::bind(SocketAddrV4::new(ip, 0))
            .unwrap_or_else(|error| cannot_run(&format!("discovery: {error}")));
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            list,
            mode: Arc::new(Mutex::new((Mode::Up, 0))),
            indent,
            record: record.clone(),
            name: name.to_string(),
            bytes_per_second: Arc::default(),
            given_up: Arc::default(),
            told: Arc::default(),
        };
        let agent = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = agent.clone();
                thread::spawn(move || agent.serve(stream));
            }
        });
        discovery
    }

    /// Changes the mode. Watches that were open before a silence stay silent.
    pub fn set_mode(&self, mode: Mode) {
        let mut current = self.mode.lock().unwrap();
        *current = (mode, current.1 + 1);
    }

    /// Writes at the speed of discovery, in pieces of a tenth of a second.
    fn write_slowly(&self, stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
        let speed = self.bytes_per_second.load(Ordering::Relaxed);
        if speed == 0 {
            return stream.write_all(bytes);
        }
        for piece in bytes.chunks((speed / 10).max(1) as usize) {
            stream.write_all(piece)?;
            sleep_ms(100 * piece.len() as u64 / (speed / 10).max(1));
        }
        Ok(())
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Some(head) = read_head(&mut stream) else { return };
        let from = head.split("from=").nth(1).and_then(|rest| {
            rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
        });
        let mut version = from.unwrap_or(0);
        let opened_in = *self.mode.lock().unwrap();
        if opened_in.0 == Mode::Silent {
            self.record.line(&format!("discovery {}: call from={version}, not answered", self.name));
            // Never answered: reads until the mixer gives up.
            let mut byte = [0];
            let _ = stream.read(&mut byte);
            let at = self.record.seconds();
            self.record.line(&format!("discovery {}: the mixer has given the call up", self.name));
            self.given_up.lock().unwrap().push(at);
            return;
        }
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        let mut is_first = true;
        loop {
            let (text, index) = {
                let (list, changed) = &*self.list;
                let mut list = list.lock().unwrap();
                if !is_first && list.index == version {
                    list = changed.wait_timeout(list, Duration::from_secs(2)).unwrap().0;
                }
                if is_first {
                    (list.first_message(version, self.indent), list.index)
                } else if list.index > version {
                    (list.changes(version, self.indent), list.index)
                } else {
                    ("\n".to_string(), version)
                }
            };
            if *self.mode.lock().unwrap() != opened_in {
                // The watch has fallen silent, and stays open.
                let mut byte = [0];
                let _ = stream.read(&mut byte);
                return;
            }
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if self.write_slowly(&mut stream, chunk.as_bytes()).is_err() {
                self.record.line(&format!(
                    "discovery {}: the watch from={version} ended while {} bytes were written",
                    self.name,
                    text.len()
                ));
                return;
            }
            if is_first || index > version {
                self.record.line(&format!(
                    "discovery {}: wrote version {index} to the watch from={version}, {} bytes",
                    self.name,
                    text.len()
                ));
                self.told.lock().unwrap().push((index, self.record.seconds()));
            }
            is_first = false;
            version = index;
        }
    }
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    String::from_utf8(head).ok()
}

// ---------------------------------------------------------------------------------------------
// Leaf servers

/// A part that has arrived at a leaf server.
#[derive(Clone, Debug)]
pub struct PartSeen {
    pub at: f64,
    pub server: String,
    pub id: String,
    pub shard: u32,
    pub wait_ms: u64,
}

/// What all leaf servers of a run share.
#[derive(Clone)]
pub struct Leaves {
    pub record: Record,
    pub scheduler: Scheduler,
    pub parts: Arc<Mutex<Vec<PartSeen>>>,
    /// Work of a part, which differs by up to a seventh among the parts.
    pub work: Duration,
    /// If not 0, each answer of this number is spoilt: its length announces eight bytes more than are
    /// sent, and every other time eight bytes less.
    pub spoils_every: u64,
    answers: Arc<AtomicU64>,
}

impl Leaves {
    pub fn new(record: &Record, work: Duration) -> Leaves {
        Leaves {
            record: record.clone(),
            scheduler: Scheduler::start(),
            parts: Arc::default(),
            work,
            spoils_every: 0,
            answers: Arc::default(),
        }
    }

    /// Starts a leaf server, and returns its address.
    pub fn start(&self, name: &str, ip: Ipv4Addr) -> SocketAddr {
        let listener = TcpListener::bind(SocketAddrV4::new(ip, 0))
            .unwrap_or_else(|error| cannot_run(&format!("leaf server: {error}")));
        let address = listener.local_addr().unwrap();
        let (leaves, name) = (self.clone(), name.to_string());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (leaves, name) = (leaves.clone(), name.clone());
                thread::spawn(move || leaves.serve(&name, stream));
            }
        });
        address
    }

    fn serve(&self, name: &str, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let stream = Arc::new(stream);
        let mut reader = &*stream;
        loop {
            let mut length = [0; 4];
            if reader.read_exact(&mut length).is_err() {
                return;
            }
            let mut frame = vec![0; u32::from_be_bytes(length) as usize];
            if reader.read_exact(&mut frame).is_err() {
                return;
            }
            let at = self.record.seconds();
            match frame.first() {
                Some(b'Q') => self.on_call(name, at, &frame[1..], &stream),
                Some(b'X') => {
                    let id = String::from_utf8_lossy(&frame[1..]).into_owned();
                    self.record.line(&format!("{name}: given up {id}"));
                }
                _ => return,
            }
        }
    }

    fn on_call(&self, name: &str, at: f64, mut rest: &[u8], stream: &Arc<TcpStream>) {
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let line = String::from_utf8_lossy(&rest[..end]).into_owned();
            let fields: Vec<&str> = line.split(' ').collect();
            let [id, shard, list, length] = fields[..] else { return };
            let length: usize = length.parse().unwrap_or(0);
            let text = String::from_utf8_lossy(&rest[end + 1..end + 1 + length]).into_owned();
            rest = &rest[end + 1 + length..];
            let wait = list.split(',').find_map(|item| item.strip_prefix("d="));
            let part = PartSeen {
                at,
                server: name.to_string(),
                id: id.to_string(),
                shard: shard.parse().unwrap_or(u32::MAX),
                wait_ms: wait.and_then(|wait| wait.parse().ok()).unwrap_or(0),
            };
            self.record.line(&format!("{name}: part {id} d={}", part.wait_ms));
            self.parts.lock().unwrap().push(part);
            let (stream, id) = (stream.clone(), id.to_string());
            let value = value_of(&id, &text);
            let spread = Numbers(at.to_bits()).below(1_000) as f64 / 7_000.0;
            let number = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
            let is_spoilt = self.spoils_every > 0 && number % self.spoils_every == 0;
            let is_longer = is_spoilt && number / self.spoils_every % 2 == 1;
            let (record, name) = (self.record.clone(), name.to_string());
            self.scheduler.after(self.work.mul_f64(1.0 - spread), move || {
                let body = format!("A{id} ok 1.0 -\n{value}");
                let (announced, sent) = match (is_spoilt, is_longer) {
                    (false, _) => (body.len(), body.len()),
                    (true, true) => (body.len(), body.len() - 8),
                    (true, false) => (body.len() - 8, body.len()),
                };
                let mut frame = (announced as u32).to_be_bytes().to_vec();
                frame.extend_from_slice(&body.as_bytes()[..sent]);
                if is_spoilt {
                    record.line(&format!("{name}: spoilt answer to {id}, announces {announced} bytes and has {sent}"));
                }
                // Only the scheduler writes, so frames do not mix.
                let _ = (&*stream).write_all(&frame);
            });
        }
    }
}

/// The value that a leaf server makes for a part.
pub fn value_of(id: &str, text: &str) -> String {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in id.bytes().chain(text.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    format!("{hash:016x}")
}

// ---------------------------------------------------------------------------------------------
// Mixers

/// Settings of a deployment, those of the site with the given changes.
#[derive(Clone)]
pub struct Site {
    pub places: u32,
    pub ranges: u32,
    pub mixers: u32,
    pub discovery: &'static str,
    pub open_cap: u32,
    pub memory_mb: u32,
    pub sockets: u32,
}

impl Site {
    pub fn settings(&self) -> String {
        let class = |name: &str, aim_ms: u64, importance: &str| {
            format!(
                "{{\"aim_ns\":{},\"dedup_window_ns\":5000000000,\"give_up_ns\":5000000000,\"group\":\"all\",\
                 \"importance\":{importance},\"late_value\":0.3,\"name\":\"{name}\",\"semantics\":\"read_like\",\"stream\":false}}",
                aim_ms * 1_000_000
            )
        };
        let Site { places, ranges, mixers, discovery, open_cap, .. } = self;
        format!(
            "{{\"callers\":{{\"marks_retry\":true}},\"classes\":[{},{}],\"counted_by\":\"request\",\"discovery\":\"{discovery}\",\
             \"domain_type\":\"fanout\",\"extra\":{{\"bundle_max\":1,\"class_need\":[1.0,1.0],\"least_share\":[0.6,1.0],\
             \"overhead_ns\":0,\"partial_earns\":[0.95,0.9],\"places\":{places},\"ranges\":{ranges},\"reach\":3,\
             \"second_step\":[0,0],\"warm_keys\":false}},\"guarantees\":{{\"ask_within_ns\":10000000000,\"cold_from\":0.21,\
             \"cold_ns\":18000000000,\"fall_multiple\":2.5,\"fall_ns\":3000000000,\"grace_to_answer_ns\":20000000,\
             \"stop_sending_within_ns\":2000000000}},\"kinds\":[\"std-2c\"],\"limits\":{{\"cancelling\":true,\
             \"conn_idle_ns\":30000000000,\"connect_timeout_ns\":250000000,\"cpu_us_per_request\":0.0,\"cpu_us_per_s\":400000,\
             \"max_attempts\":3,\"max_retry_after_ns\":2000000000,\"may_duplicate\":true,\"may_probe\":false,\
             \"open_cap\":{open_cap},\"peers\":false,\"retry_after\":true,\"streams_per_conn\":32}},\
             \"localities\":[\"buc-pipera\",\"buc-militari\"],\"me\":0,\"my_zone\":0,\"orgs\":[\
             {{\"allowance_per_s\":9.0,\"fraction\":0.7,\"name\":\"curieri-rapid\"}},\
             {{\"allowance_per_s\":2.0,\"fraction\":0.2,\"name\":\"livrari-urban\"}},\
             {{\"allowance_per_s\":1.0,\"fraction\":0.1,\"name\":\"taxi-moto-est\"}}],\"over_share_worth\":0.1,\
             \"replicas_of_me\":{mixers},\"reporting\":{{\"fields\":[],\"how\":\"none\"}},\"stages\":[\"query-fleet\"],\
             \"tariffs\":{{\"cross_zone\":0.01,\"late_fail\":0.08,\"waste\":0.03}},\"tick_ns\":5000000,\"tier\":0,\
             \"weight_source\":\"nominal\"}}",
            class("network-report", 2500, "3.0"),
            class("pack-lookup", 2000, "1.0"),
        )
    }
}

/// A mixer, started with the command of the deploy file and ended when the value is dropped.
pub struct Mixer {
    pub name: String,
    pub listen: SocketAddr,
    pub config: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

impl Mixer {
    /// Prepares a mixer that is not started yet.
    pub fn new(folder: &Path, name: &str, ip: Ipv4Addr) -> Mixer {
        let folder = folder.join(name);
        let _ = fs::create_dir_all(folder.join("tmp"));
        Mixer {
            name: name.to_string(),
            listen: free_address(ip),
            config: folder.join("config.json"),
            folder,
            child: None,
        }
    }

    pub fn write_config(&self, site: &Site, discovery: SocketAddr, known: &str, seed: u64) {
        let text = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{discovery}\",\"seed\":\"{seed:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{known},\"settings\":{}}}",
            self.name, self.listen, site.memory_mb, site.sockets, site.settings()
        );
        let next = self.folder.join("config.next");
        let written = fs::write(&next, text).and_then(|()| fs::rename(&next, &self.config));
        written.unwrap_or_else(|error| cannot_run(&format!("configuration: {error}")));
    }

    pub fn start(&mut self, discovery: SocketAddr) {
        let root = std::env::var("REPOSITORY").unwrap_or_else(|_| ".".to_string());
        let run = deploy_command(Path::new(&root), "run");
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"));
        let mut command = Command::new("/bin/sh");
        // The mixer ends with this process, however that ends.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .arg("-c")
            .arg(run)
            .current_dir(&root)
            .env("BALANCER_NAME", &self.name)
            .env("BALANCER_LISTEN", self.listen.to_string())
            .env("BALANCER_DISCOVERY", discovery.to_string())
            .env("BALANCER_CONFIG", &self.config)
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.map_or_else(|_| Stdio::null(), Stdio::from))
            .spawn();
        self.child = Some(child.unwrap_or_else(|error| cannot_run(&format!("mixer: {error}"))));
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Sends a signal to the program itself.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(self.pid().to_string()).status();
    }

    /// Kills the mixer and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns how the mixer ended, or `None` while it runs.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Waits until the mixer is ready.
    pub fn wait_ready(&mut self) {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if let Some(status) = self.ended() {
                cannot_run(&format!("{} has ended: {status}\n{}", self.name, self.log_end()));
            }
            let mut client = Client::new(self.listen);
            let reply = client.exchange("GET /-/ready HTTP/1.1\r\nHost: mixer\r\n\r\n", Duration::from_secs(1));
            if matches!(reply, Reply::Answer { status: 200, .. }) {
                return;
            }
            sleep_ms(20);
        }
        cannot_run(&format!("{} is not ready after 20 s", self.name));
    }

    /// Resident memory in KiB.
    pub fn resident_kib(&self) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    pub fn log_end(&self) -> String {
        let log = self.log();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(12)..].join("\n")
    }
}

impl Drop for Mixer {
    fn drop(&mut self) {
        self.kill();
    }
}

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// Has the system kill this process when the one that started it ends.
fn end_with_parent() -> std::io::Result<()> {
    const SET_PARENT_DEATH_SIGNAL: i32 = 1;
    const KILL: u64 = 9;
    match unsafe { prctl(SET_PARENT_DEATH_SIGNAL, KILL, 0_u64, 0_u64, 0_u64) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// Returns a command of the deploy file.
pub fn deploy_command(root: &Path, key: &str) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml"))
        .unwrap_or_else(|error| cannot_run(&format!("deploy file: {error}")));
    let line = text.lines().find(|line| line.split('=').next().map(str::trim) == Some(key));
    let command = line.and_then(|line| line.split('"').nth(1));
    command.unwrap_or_else(|| cannot_run("deploy file without the command")).to_string()
}

// ---------------------------------------------------------------------------------------------
// Clients

#[derive(Clone, Debug)]
pub enum Reply {
    Answer { status: u16, body: String },
    /// The connection ended, or could not be opened, before a whole answer.
    Ended(String),
    /// No answer in the time of the client.
    Nothing,
}

/// A client's connection, which is kept.
pub struct Client {
    mixer: SocketAddr,
    stream: Option<TcpStream>,
    buffer: Vec<u8>,
}

impl Client {
    pub fn new(mixer: SocketAddr) -> Client {
        Client { mixer, stream: None, buffer: Vec::new() }
    }

    /// A client whose requests are already written to this connection.
    pub fn on(mixer: SocketAddr, stream: TcpStream) -> Client {
        Client { mixer, stream: Some(stream), buffer: Vec::new() }
    }

    /// Sends one request and waits for its answer. A new connection is opened if none is open, or
    /// if the mixer has closed it between two requests.
    pub fn exchange(&mut self, request: &str, wait: Duration) -> Reply {
        let was_kept = self.stream.is_some();
        let reply = self.try_exchange(request, wait);
        if was_kept && matches!(reply, Reply::Ended(_)) {
            return self.try_exchange(request, wait);
        }
        reply
    }

    fn try_exchange(&mut self, request: &str, wait: Duration) -> Reply {
        let until = Instant::now() + wait;
        if self.stream.is_none() {
            self.buffer.clear();
            match TcpStream::connect_timeout(&self.mixer, wait) {
                Ok(stream) => {
                    let _ = stream.set_nodelay(true);
                    self.stream = Some(stream);
                }
                Err(error) => return Reply::Ended(format!("not connected: {error}")),
            }
        }
        let stream = self.stream.as_mut().unwrap();
        if let Err(error) = stream.write_all(request.as_bytes()) {
            self.stream = None;
            return Reply::Ended(format!("not written: {error}"));
        }
        self.read_reply(until)
    }

    /// Reads the next answer on the open connection.
    pub fn read_reply(&mut self, until: Instant) -> Reply {
        loop {
            if let Some((status, body, is_last)) = take_response(&mut self.buffer) {
                if is_last {
                    self.stream = None;
                }
                return Reply::Answer { status, body };
            }
            let Some(stream) = self.stream.as_mut() else {
                return Reply::Ended("no connection".to_string());
            };
            let now = Instant::now();
            if now >= until {
                self.stream = None;
                return Reply::Nothing;
            }
            let _ = stream.set_read_timeout(Some((until - now).max(Duration::from_millis(1))));
            let mut bytes = [0; 16 * 1024];
            match stream.read(&mut bytes) {
                Ok(0) => {
                    self.stream = None;
                    return Reply::Ended("closed".to_string());
                }
                Ok(count) => self.buffer.extend_from_slice(&bytes[..count]),
                Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
                Err(error) => {
                    self.stream = None;
                    return Reply::Ended(format!("{error}"));
                }
            }
        }
    }
}

/// Removes one whole response from the front of the buffer.
fn take_response(buffer: &mut Vec<u8>) -> Option<(u16, String, bool)> {
    let end = buffer.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buffer[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length.and_then(|value| value.trim().parse().ok()).unwrap_or(0);
    if buffer.len() < end + length {
        return None;
    }
    let body = String::from_utf8_lossy(&buffer[end..end + length]).into_owned();
    let is_last = head.contains("connection: close");
    buffer.drain(..end + length);
    Some((status, body, is_last))
}

/// The text of a query with equal weights.
pub fn query(class: &str, id: &str, timeout_ms: u64, shards: &[u32], extra_headers: &str) -> String {
    let weight = 1.0 / shards.len() as f64;
    let parts: Vec<String> =
        shards.iter().map(|shard| format!("{{\"shard\":{shard},\"weight\":{weight:.6}}}")).collect();
    let body = format!("{{\"shards\":[{}],\"q\":\"{id}\"}}", parts.join(","));
    format!(
        "POST /{class} HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: {id}\r\nX-Tenant-Id: curieri-rapid\r\n\
         X-Timeout: {timeout_ms}m\r\n{extra_headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A small generator of numbers, the same at each run.
pub struct Numbers(pub u64);

impl Numbers {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }
}
