//! Stand-ins for the platform's store, runners and requesters, with the standard library alone, and the
//! processes of the system that the scripts of the second review start. Everything is on loopback.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The hostname of all routes.
pub const HOST: &str = "desk.example";
/// The longest wait of the store for a record.
const MAX_WAIT_MS: u64 = 30_000;
/// The number of partitions of a topic.
const PARTITIONS: u64 = 12;

/// An address of the loopback network that nothing else is likely to use.
pub fn loopback() -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 64 + (id >> 8) as u8 % 128, id as u8, 1)
}

/// What was sent, answered and run, in the order in which it was seen.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self(Arc::new((Instant::now(), Mutex::new(file))))
    }

    /// Seconds since the script began.
    pub fn now(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now());
        let mut file = self.0.1.lock().unwrap();
        file.write_all(line.as_bytes()).expect("the record can be written");
    }
}

/// A request as it was received.
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(it, _)| *it == name).map(|(_, value)| value)
    }
}

/// A connection with what was read beyond the last message.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count > 0)
    }

    /// Reads up to and with the blank line; `None` if the connection ends before the first byte.
    pub fn head(&mut self) -> io::Result<Option<Vec<String>>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|it| it == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(Some(head.split("\r\n").map(str::to_owned).collect()));
            }
            if !self.fill()? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    pub fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn text_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|it| it == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// One chunk; empty at the end of the body.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let size = self.text_line()?;
        let size = size.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        if size == 0 {
            while !self.text_line()?.is_empty() {}
            return Ok(Vec::new());
        }
        let data = self.exactly(size)?;
        self.exactly(2)?;
        Ok(data)
    }

    /// The body that the headers announce.
    pub fn body(&mut self, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
        let find = |name: &str| {
            let found = headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
            found.map(|(_, value)| value.as_str())
        };
        if find("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        let length = find("content-length").and_then(|it| it.trim().parse().ok());
        self.exactly(length.unwrap_or(0))
    }

    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some(lines) = self.head()? else { return Ok(None) };
        let mut first = lines[0].split(' ');
        let method = first.next().unwrap_or("").to_owned();
        let target = first.next().unwrap_or("").to_owned();
        let headers = header_pairs(&lines);
        let body = self.body(&headers)?;
        Ok(Some(Request { method, target, headers, body }))
    }

    /// Whether the peer has closed the connection or sent something.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut [0]);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

pub fn header_pairs(lines: &[String]) -> Vec<(String, String)> {
    let pairs = lines[1..].iter().filter_map(|line| line.split_once(':'));
    pairs.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned())).collect()
}

/// Formats a response with a length.
pub fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status} Answer\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
            .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// ---------------------------------------------------------------- the platform's store

#[derive(Default)]
struct StoreState {
    topics: HashMap<String, Vec<Vec<u8>>>,
    /// The topic whose partition is down: calls for it are answered 503, and nothing is done.
    down: Option<String>,
    members: BTreeMap<String, Instant>,
    generation: u64,
}

/// The platform's store: a log with keyed topics, and one group.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

fn keyed(key: &str, value: &str) -> Vec<u8> {
    let mut record = vec![key.len() as u8];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value.as_bytes());
    record
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        let store = Self { address: listener.local_addr().unwrap(), state: Arc::default() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes the newest record of a key; an empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.append(topic, keyed(key, value));
    }

    /// Takes the partition of one topic down, or brings it back.
    pub fn set_down(&self, topic: Option<&str>) {
        self.state.0.lock().unwrap().down = topic.map(str::to_owned);
    }

    /// The number of records of a topic.
    pub fn len(&self, topic: &str) -> usize {
        self.state.0.lock().unwrap().topics.get(topic).map_or(0, Vec::len)
    }

    fn append(&self, topic: &str, record: Vec<u8>) {
        let mut state = self.state.0.lock().unwrap();
        state.topics.entry(topic.to_owned()).or_default().push(record);
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(request)) = wire.request() {
            let answer = self.answer(&request);
            if wire.stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> Vec<u8> {
        let topic = request.query("topic").unwrap_or("").to_owned();
        if self.state.0.lock().unwrap().down.as_deref() == Some(topic.as_str()) {
            return response(503, "", b"");
        }
        match request.path() {
            "/-/log-newest" => self.newest(&topic),
            "/-/log-read" => self.read(&topic, request),
            "/-/log-append" => self.handle_append(&topic, request),
            "/-/log-join" => self.join(&String::from_utf8_lossy(&request.body)),
            "/-/log-leave" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let mut state = self.state.0.lock().unwrap();
                if state.members.remove(&json_text(&body, "member")).is_some() {
                    state.generation += 1;
                }
                json(200, "{}")
            }
            "/-/log-owners" => {
                let mut state = self.state.0.lock().unwrap();
                let owners = state.owners();
                let rows = owners.iter().map(|(part, it)| format!("[\"members\",{part},\"{it}\",0]"));
                json(200, &format!("{{\"parts\":[{}]}}", rows.collect::<Vec<_>>().join(",")))
            }
            _ => response(404, "", b""),
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let state = self.state.0.lock().unwrap();
        let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            let value = &record[1 + length..];
            match value.is_empty() {
                true => newest.remove(&key),
                false => newest.insert(key, (offset, base64(value))),
            };
        }
        let items = newest.iter().map(|(key, (offset, value))| {
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        });
        let items = items.collect::<Vec<_>>().join(",");
        let end = records.len();
        json(200, &format!("{{\"items\":[{items}],\"more_pages\":false,\"end\":{end}}}"))
    }

    fn read(&self, topic: &str, request: &Request) -> Vec<u8> {
        let number = |name| request.query(name).and_then(|it| it.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS));
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let records = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return response(200, "", &body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn handle_append(&self, topic: &str, request: &Request) -> Vec<u8> {
        let mut state = self.state.0.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        let end = records.len();
        let at = request.query("at").and_then(|it| it.parse::<usize>().ok());
        if at.is_some_and(|at| at != end) {
            return json(412, &format!("{{\"end\":{end}}}"));
        }
        let mut rest = &request.body[..];
        while rest.len() >= 4 {
            let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
            records.push(rest[4..4 + length].to_vec());
            rest = &rest[4 + length..];
        }
        let answer = format!("{{\"offset\":{end},\"end\":{}}}", records.len());
        self.state.1.notify_all();
        json(200, &answer)
    }

    fn join(&self, body: &str) -> Vec<u8> {
        let member = json_text(body, "member");
        let ttl = Duration::from_millis(json_number(body, "ttl_ms"));
        let mut state = self.state.0.lock().unwrap();
        if state.members.insert(member.clone(), Instant::now() + ttl).is_none() {
            state.generation += 1;
        }
        let owners = state.owners();
        let own = owners.iter().filter(|(_, it)| *it == member);
        let rows = own.map(|(part, _)| format!("[\"members\",{part},0]"));
        let rows = rows.collect::<Vec<_>>().join(",");
        let generation = state.generation;
        json(200, &format!("{{\"generation\":{generation},\"ttl_ms\":{},\"parts\":[{rows}]}}", ttl.as_millis()))
    }
}

impl StoreState {
    fn owners(&mut self) -> Vec<(u64, String)> {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, until| *until > now);
        if self.members.len() < before {
            self.generation += 1;
        }
        let members: Vec<&String> = self.members.keys().collect();
        if members.is_empty() {
            return Vec::new();
        }
        (0..PARTITIONS).map(|part| (part, members[part as usize % members.len()].clone())).collect()
    }
}

fn json(status: u16, body: &str) -> Vec<u8> {
    response(status, "Content-Type: application/json\r\n", body.as_bytes())
}

/// The text of a field, from JSON without escapes.
pub fn json_text(body: &str, field: &str) -> String {
    let rest = body.split_once(&format!("\"{field}\":\"")).map_or("", |it| it.1);
    rest.split('"').next().unwrap_or("").to_owned()
}

/// The number of a field; 0 if there is none.
pub fn json_number(body: &str, field: &str) -> u64 {
    let rest = body.split_once(&format!("\"{field}\":")).map_or("", |it| it.1);
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            word = word << 8 | u32::from(*group.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(DIGITS[(word >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

// ---------------------------------------------------------------- runners

/// Answers one request on its connection; returns whether the connection goes on.
pub type Work = Arc<dyn Fn(&Runner, &Request, &mut Wire) -> bool + Send + Sync>;

/// A runner: one server of a service.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub record: Record,
    sequence: Arc<AtomicU64>,
    is_gone: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Runner {
    pub fn start(ip: Ipv4Addr, id: &str, service: &str, zone: &str, record: &Record, work: Work) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        listener.set_nonblocking(true).unwrap();
        let runner = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().unwrap(),
            record: record.clone(),
            sequence: Arc::default(),
            is_gone: Arc::default(),
            open: Arc::default(),
        };
        let served = runner.clone();
        thread::spawn(move || {
            while !served.is_gone() {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                stream.set_nonblocking(false).unwrap();
                served.open.lock().unwrap().push(stream.try_clone().unwrap());
                let (runner, work) = (served.clone(), work.clone());
                thread::spawn(move || runner.serve(stream, &work));
            }
        });
        runner
    }

    pub fn is_gone(&self) -> bool {
        self.is_gone.load(Ordering::SeqCst)
    }

    /// Ends the process of the runner: it answers nothing more, and its port is closed.
    pub fn exit(&self) {
        self.is_gone.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// What the next status report says.
    pub fn next_report(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        self.entry(&self.service, state, sequence)
    }

    /// An entry that names another service, with a number that is higher by `ahead` than the last one.
    pub fn report_of(&self, service: &str, ahead: u64) -> String {
        self.entry(service, "ready", self.sequence.load(Ordering::SeqCst) + ahead)
    }

    fn entry(&self, service: &str, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence}}}",
            service, self.address, self.zone
        )
    }

    fn serve(&self, stream: TcpStream, work: &Work) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(request)) = wire.request() {
            if self.is_gone() {
                return;
            }
            let expected = request.header("x-expect-instance");
            let is_other = !expected.is_empty() && expected != self.id;
            let own_id = format!("X-Instance-Id: {}\r\n", self.id);
            let goes_on = if is_other {
                wire.stream.write_all(&response(421, &own_id, b"")).is_ok()
            } else if request.path() == "/health" {
                wire.stream.write_all(&response(200, &own_id, b"")).is_ok()
            } else {
                work(self, &request, &mut wire)
            };
            if !goes_on || self.is_gone() {
                let _ = wire.stream.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}

/// The headers of a signed answer to a request.
pub fn signed(request: &Request) -> String {
    let id = request.header("x-attempt-id");
    format!("X-Attempt-Id: {id}\r\nX-Server-Signature: sig.{id}\r\nKeep-Alive: timeout=5\r\n")
}

// ---------------------------------------------------------------- requesters

/// How a request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The whole answer: its status, whether it is signed, and its body.
    Answer(u16, bool, Vec<u8>),
    /// The connection ended, or failed, before the answer was whole.
    Broken(String),
    /// The requester gave up waiting.
    Late,
}

/// Sends one request over a new channel and reads the answer.
pub fn send(to: SocketAddr, head: &str, body: &[u8], patience: Duration) -> End {
    match send_fallibly(to, head, body, patience) {
        Ok(end) => end,
        Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => End::Late,
        Err(error) => End::Broken(format!("{:?}", error.kind())),
    }
}

fn send_fallibly(to: SocketAddr, head: &str, body: &[u8], patience: Duration) -> io::Result<End> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(patience))?;
    let mut wire = Wire::new(stream);
    wire.stream.write_all(&[head.as_bytes(), body].concat())?;
    read_answer(&mut wire)
}

pub fn read_answer(wire: &mut Wire) -> io::Result<End> {
    let Some(lines) = wire.head()? else {
        return Ok(End::Broken("closed without an answer".to_owned()));
    };
    let status = lines[0].split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    let headers = header_pairs(&lines);
    let is_signed = headers.iter().any(|(it, _)| it.eq_ignore_ascii_case("x-server-signature"));
    let body = wire.body(&headers)?;
    Ok(End::Answer(status, is_signed, body))
}

// ---------------------------------------------------------------- processes of the system

/// A machine of the system: one process of the deploy file.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

impl Machine {
    /// Starts a machine with the settings of a small deployment.
    pub fn start(folder: &Path, ip: Ipv4Addr, index: u16, zone: &str, store: SocketAddr) -> Self {
        // Each machine has an address of its own, so that all its ports are free.
        let [a, b, c, _] = ip.octets();
        let ip = Ipv4Addr::new(a, b, c, 11 + index as u8);
        let front = SocketAddr::from((ip, 8149));
        let ready = SocketAddr::from((ip, 8141));
        let name = format!("front-{zone}-{index}");
        let settings = folder.join(format!("{name}.toml"));
        let text = format!(
            "node_name = \"{name}\"\nrole = \"front\"\nmachine_class = \"front\"\nserves = [\"front\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r\"\ninternal_ports = [7380, 7395]\n\
             bootstrap = true\nheartbeat_ms = 1200\n\
             [listen]\nfront = \"{front}\"\nready_addr = \"{ready}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\nlink_mbps = 1000.0\n\
             [bounds]\nstable_window_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = 8\n\
             lost_slack_ms = 200\nconfig_apply_ms = 2000\nbudget_ratio = 0.2\nbudget_window_s = 10\n\
             budget_slack = 52\nrecovery_s = 12\nfencing_required = true\nlease_ms = 3000\nthaw_ms = 300\n\
             ceiling_window_s = 5\nceiling_overage = 1.1\n\
             [platform]\naddress = \"{store}\"\nform = \"log\"\nparts = 12\nkeep_s = 300\nttl_min_ms = 1000\n"
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let mut machine = Self { name, front, ready, settings, log, child: None };
        machine.run();
        machine
    }

    /// Starts the process of the deploy file.
    pub fn run(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new("target/release/rattanjunction")
            .args(["front", "--metrics-port", "9464"])
            .env_clear()
            .env("RATTANJUNCTION_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the program of the deploy file is built"));
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // The process was started here and has not been waited for, so that its id is its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|it| matches!(it.try_wait(), Ok(Some(_))))
    }

    pub fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let head = "GET /-/readiness HTTP/1.1\r\nHost: m\r\n\r\n";
        matches!(send(self.ready, head, b"", Duration::from_millis(500)), End::Answer(200, ..))
    }

    /// Waits until the platform would send requesters here.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// The lines of its log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.end();
    }
}

/// A folder that is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder can be made");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
