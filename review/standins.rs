//! Stand-ins of the platform, the runners and the requesters for the cases of the review, and the
//! cases themselves. Only the standard library is used; `review/build.sh` builds it.
//!
//! Usage: `standins CASE FOLDER`, from the root of the repository. Exits with 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest time for which a case runs before it is given up.
const CASE_LIMIT: Duration = Duration::from_secs(110);
const HOST: &str = "case.example";

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        })
    }

    fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.4} s  {}", text.as_ref());
    }
}

/// One message of HTTP/1.1, request or response.
#[derive(Clone, Debug, Default)]
struct Message {
    /// The request line or the status line.
    first_line: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
    }

    fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
struct Connection {
    stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    fn open(address: SocketAddr) -> std::io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut buffer = [0; 16 * 1024];
        let count = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before one begins.
    fn read_head(&mut self) -> std::io::Result<Option<Message>> {
        let end = loop {
            let found = self.ahead.windows(4).position(|window| window == b"\r\n\r\n");
            if let Some(end) = found {
                break end;
            }
            if self.fill()? == 0 {
                return match self.ahead.is_empty() {
                    true => Ok(None),
                    false => Err(std::io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
        self.ahead.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(key, value)| (key.trim().to_owned(), value.trim().to_owned()));
        Ok(Some(Message {
            first_line,
            headers: headers.collect(),
            body: Vec::new(),
        }))
    }

    fn read_exact_body(&mut self, length: usize) -> std::io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            if self.fill()? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..length).collect())
    }

    fn read_line(&mut self) -> std::io::Result<String> {
        loop {
            let found = self.ahead.windows(2).position(|window| window == b"\r\n");
            if let Some(end) = found {
                let line: Vec<u8> = self.ahead.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that follows a head with a length or in chunks.
    fn read_body(&mut self, message: &mut Message) -> std::io::Result<()> {
        if let Some(length) = message.header("content-length").and_then(|it| it.parse().ok()) {
            message.body = self.read_exact_body(length)?;
            return Ok(());
        }
        let is_chunked = message.header("transfer-encoding").is_some();
        while is_chunked {
            let size = self.read_line()?;
            let size = size.split(';').next().unwrap_or_default().trim().to_owned();
            let size = usize::from_str_radix(&size, 16);
            let size = size.map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
            let chunk = self.read_exact_body(size)?;
            self.read_line()?;
            if size == 0 {
                break;
            }
            message.body.extend(chunk);
        }
        Ok(())
    }

    fn read_message(&mut self) -> std::io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut message)?;
        Ok(Some(message))
    }

    fn respond(&mut self, status: &str, headers: &[(&str, &str)], body: &[u8]) -> std::io::Result<()> {
        let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            bytes.push_str(&format!("{name}: {value}\r\n"));
        }
        bytes.push_str("\r\n");
        let mut bytes = bytes.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// Serves connections at an address, each in its own thread.
fn serve(address: SocketAddr, handle: impl Fn(Connection) + Clone + Send + 'static) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(Connection::new(stream)));
        }
    });
    Ok(bound)
}

/// A topic of the platform's store.
#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
}

#[derive(Default)]
struct StoreState {
    topics: HashMap<String, Topic>,
    generation: u64,
    /// The members of the only group, with the time at which each lapses.
    members: BTreeMap<String, Instant>,
    group_topic: String,
}

/// The platform's store: a log with keyed topics and one group.
#[derive(Clone, Default)]
struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

const PARTITIONS: usize = 12;

fn json_text(body: &str, field: &str) -> Option<String> {
    let (_, rest) = body.split_once(&format!("\"{field}\":\""))?;
    rest.split_once('"').map(|(value, _)| value.to_owned())
}

fn json_number(body: &str, field: &str) -> Option<u64> {
    let (_, rest) = body.split_once(&format!("\"{field}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut value = 0_u32;
        for index in 0..3 {
            value = value << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(DIGITS[(value >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn keyed_record(key: &str, value: &[u8]) -> Vec<u8> {
    let mut record = vec![key.len() as u8];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value);
    record
}

impl StoreState {
    fn expire(&mut self) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, until| *until > now);
        if self.members.len() < before {
            self.generation += 1;
        }
    }

    fn owner(&self, part: usize) -> Option<&String> {
        self.members.keys().nth(part % self.members.len().max(1))
    }
}

impl Store {
    fn start(&self, address: SocketAddr) -> std::io::Result<SocketAddr> {
        let store = self.clone();
        serve(address, move |mut connection| {
            while let Ok(Some(request)) = connection.read_message() {
                // An answer takes 4 ms.
                thread::sleep(Duration::from_millis(4));
                if store.answer(&mut connection, &request).is_err() {
                    return;
                }
            }
        })
    }

    /// Writes a record to a keyed topic, as the operator and the runners do.
    fn put(&self, topic: &str, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.records.push(keyed_record(key, value.as_bytes()));
        changed.notify_all();
    }

    fn answer(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        const JSON: (&str, &str) = ("Content-Type", "application/json");
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let topic = request.query("topic").unwrap_or_default();
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        match request.path() {
            "/-/log-newest" => {
                let topic = state.topics.entry(topic).or_default();
                let mut newest: BTreeMap<String, (usize, Vec<u8>)> = BTreeMap::new();
                for (offset, record) in topic.records.iter().enumerate() {
                    let length = usize::from(record[0]);
                    let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
                    match record[1 + length..].is_empty() {
                        true => newest.remove(&key),
                        false => newest.insert(key, (offset, record[1 + length..].to_vec())),
                    };
                }
                let items = newest.iter().map(|(key, (offset, value))| {
                    format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
                });
                let items: Vec<String> = items.collect();
                let end = topic.records.len();
                let answer = format!("{{\"items\":[{}],\"more_pages\":false,\"end\":{end}}}", items.join(","));
                drop(state);
                connection.respond("200 OK", &[JSON], answer.as_bytes())
            }
            "/-/log-read" => {
                let from: usize = request.query("from").and_then(|it| it.parse().ok()).unwrap_or(0);
                let wait = request.query("wait_ms").and_then(|it| it.parse().ok()).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                loop {
                    let end = state.topics.entry(topic.clone()).or_default().records.len();
                    let left = until.saturating_duration_since(Instant::now());
                    if from < end || left.is_zero() {
                        break;
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
                let records = &state.topics[&topic].records;
                let mut answer = (records.len() as u64).to_be_bytes().to_vec();
                answer.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    answer.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    answer.extend_from_slice(record);
                }
                drop(state);
                connection.respond("200 OK", &[], &answer)
            }
            "/-/log-append" => {
                let records = &mut state.topics.entry(topic).or_default().records;
                let end = records.len();
                if request.query("at").is_some_and(|at| at != end.to_string()) {
                    let answer = format!("{{\"end\":{end}}}");
                    drop(state);
                    return connection.respond("412 Precondition Failed", &[JSON], answer.as_bytes());
                }
                let mut rest = &request.body[..];
                while rest.len() >= 4 {
                    let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    records.push(rest[4..4 + length].to_vec());
                    rest = &rest[4 + length..];
                }
                let answer = format!("{{\"offset\":{end},\"end\":{}}}", records.len());
                changed.notify_all();
                drop(state);
                connection.respond("200 OK", &[JSON], answer.as_bytes())
            }
            "/-/log-join" => {
                state.expire();
                let member = json_text(&body, "member").unwrap_or_default();
                let ttl = Duration::from_millis(json_number(&body, "ttl_ms").unwrap_or(1_000));
                let topics = body.split_once("\"topics\":[\"").map(|(_, rest)| rest);
                let topic = topics.and_then(|it| it.split_once('"')).map(|(topic, _)| topic);
                state.group_topic = topic.unwrap_or_default().to_owned();
                if state.members.insert(member.clone(), Instant::now() + ttl).is_none() {
                    state.generation += 1;
                }
                let parts = (0..PARTITIONS).filter(|part| state.owner(*part) == Some(&member));
                let parts: Vec<String> = parts.map(|part| format!("[\"{}\",{part},0]", state.group_topic)).collect();
                let answer = format!("{{\"generation\":{},\"parts\":[{}]}}", state.generation, parts.join(","));
                drop(state);
                connection.respond("200 OK", &[JSON], answer.as_bytes())
            }
            "/-/log-leave" => {
                let member = json_text(&body, "member").unwrap_or_default();
                if state.members.remove(&member).is_some() {
                    state.generation += 1;
                }
                drop(state);
                connection.respond("200 OK", &[JSON], b"{}")
            }
            "/-/log-owners" => {
                state.expire();
                let parts = (0..PARTITIONS).filter_map(|part| {
                    let owner = state.owner(part)?;
                    Some(format!("[\"{}\",{part},\"{owner}\",0]", state.group_topic))
                });
                let parts: Vec<String> = parts.collect();
                let answer = format!("{{\"parts\":[{}]}}", parts.join(","));
                drop(state);
                connection.respond("200 OK", &[JSON], answer.as_bytes())
            }
            _ => {
                drop(state);
                connection.respond("404 Not Found", &[], b"")
            }
        }
    }
}

/// The processes of the system that were started, for a case that is given up.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A process of the system; killed when dropped.
struct Vm {
    child: Child,
    front: SocketAddr,
    ready: SocketAddr,
}

impl Drop for Vm {
    fn drop(&mut self) {
        let id = self.child.id();
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|started| *started != id);
    }
}

/// A small deployment: the store, and the processes of the system at addresses of their own.
struct Site {
    store: Store,
    store_address: SocketAddr,
    folder: PathBuf,
    record: Record,
}

impl Site {
    fn start(record: &Record) -> Result<Self, AnyError> {
        let store = Store::default();
        let store_address = store.start("127.0.0.1:0".parse()?)?;
        let folder = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Self {
            store,
            store_address,
            folder,
            record: record.clone(),
        })
    }

    /// Starts a process as the deploy file does, with settings like those of `DEPLOY.md`.
    fn start_vm(&self, name: &str) -> Result<Vm, AnyError> {
        let mut held = Vec::new();
        let mut free_port = || -> Result<u16, AnyError> {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let port = listener.local_addr()?.port();
            held.push(listener);
            Ok(port)
        };
        let (front, ready, metrics) = (free_port()?, free_port()?, free_port()?);
        // The second of the internal ports has to be free as well.
        let internal = loop {
            let port = free_port()?;
            if port < 65_000 && TcpListener::bind(("127.0.0.1", port + 1)).is_ok() {
                break port;
            }
        };
        drop(held);
        let settings = format!(
            r#"node_name = "{name}"
role = "front"
machine_class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "karlin"
region = "praha"
internal_ports = [{internal},{}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]
[zones]
karlin = "praha"
[listen]
front = "127.0.0.1:{front}"
ready_addr = "127.0.0.1:{ready}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = {MEMORY_MB}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
lost_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 58
recovery_s = 12
pass_ms = 120
retry_after_s = 0
fencing_required = true
lease_ms = 3000
thaw_ms = 300
ceiling_window_s = 5
ceiling_overage = 1.1
[platform]
address = "{}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
append_ms = 2.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
"#,
            internal + 15,
            self.store_address,
        );
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings)?;
        let log = File::create(self.folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/rattanjunction")
            .args(["front", "--metrics-port", &metrics.to_string()])
            .env("RATTANJUNCTION_BOOT", &path)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        let vm = Vm {
            child,
            front: SocketAddr::from(([127, 0, 0, 1], front)),
            ready: SocketAddr::from(([127, 0, 0, 1], ready)),
        };
        self.record.line(format!("{name} started, pid {}, front {}", vm.child.id(), vm.front));
        Ok(vm)
    }

    fn wait_ready(&self, vm: &Vm) -> Result<(), AnyError> {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(15) {
            let ready = Connection::open(vm.ready).and_then(|mut connection| {
                connection.stream.write_all(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")?;
                connection.read_head()
            });
            if let Ok(Some(answer)) = ready {
                if answer.status() == 200 {
                    return Ok(());
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("the process did not get ready".into())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The memory of a machine, in megabytes: that of the small sites.
const MEMORY_MB: u64 = 260;

fn entry(service: &str, address: SocketAddr, state: &str, slots: u32, sequence: u64, more: &str) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"karlin\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence}{more}}}"
    )
}

/// Writes a runner's entry again and again, as runners do.
fn keep_listed(store: &Store, id: &str, service: &str, address: SocketAddr, slots: u32, more: &str) {
    let (store, id, service, more) = (store.clone(), id.to_owned(), service.to_owned(), more.to_owned());
    let put = move |sequence| {
        let entry = entry(&service, address, "ready", slots, sequence, &more);
        store.put("keyed.servers", &id, &entry);
    };
    put(1);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            put(sequence);
        }
    });
}

fn limits() -> &'static str {
    "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":5000,\"idle_timeout_ms\":15000}"
}

fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u64, attempts: u32) -> String {
    format!(
        "{{\"name\":\"r-{service}-{kind}\",\"hostname\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":150,\"priority\":2,\"service\":\"{service}\",\
         \"max_attempts\":{attempts}}}"
    )
}

fn plain_service(name: &str) -> String {
    format!("{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}}")
}

fn configure(store: &Store, version: u64, routes: &[String], services: &[String]) {
    let config = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{}}}",
        routes.join(","),
        services.join(","),
        limits()
    );
    store.put("keyed.op", "config", &config);
}

/// Ids that differ from case to case.
fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// Sends a request on a connection and reads the answer.
fn exchange(connection: &mut Connection, id: &str, method: &str, path: &str, deadline_ms: u64, body: &[u8]) -> std::io::Result<Option<Message>> {
    exchange_with(connection, id, method, path, deadline_ms, "", body)
}

/// Like [`exchange`], with further headers.
fn exchange_with(connection: &mut Connection, id: &str, method: &str, path: &str, deadline_ms: u64, headers: &str, body: &[u8]) -> std::io::Result<Option<Message>> {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    connection.stream.set_read_timeout(Some(Duration::from_millis(deadline_ms + 1_000)))?;
    connection.stream.write_all(head.as_bytes())?;
    connection.stream.write_all(body)?;
    connection.read_message()
}

/// What became of a case.
enum Verdict {
    Held,
    Broken,
}

include!("cases.rs");

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: standins CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(&folder)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("no record: {error}");
            std::process::exit(2);
        }
    };
    record.line(format!("case {case}, with the disruption: {has_trouble}"));
    thread::spawn(|| {
        thread::sleep(CASE_LIMIT);
        eprintln!("the case did not end in time");
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        std::process::exit(2);
    });
    let outcome = run_case(&case, &record, has_trouble);
    let (text, code) = match outcome {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_owned(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}
