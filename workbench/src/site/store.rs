//! A stand-in for the platform's store: a log with keyed topics and consumer groups.

use crate::http_json;
use bytes::{Buf, Bytes};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use percent_encoding::percent_decode_str;
use rattanjunction::{Body, listen, serve_http};
use serde::Deserialize;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The number of partitions of a topic.
const PARTITIONS: u64 = 12;
/// How often a waiting read checks for new records.
const READ_POLL: Duration = Duration::from_millis(2);
/// How much of a paced answer is sent at once.
const PACED_CHUNK_BYTES: usize = 16 * 1024;
/// How long a slow call takes.
const SLOW_ANSWER: Duration = Duration::from_millis(1_500);
/// How long a call is held when no answer is to be sent; longer than any test runs.
const UNANSWERED_HOLD: Duration = Duration::from_secs(3_600);

/// What happens to calls about one topic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TopicFault {
    /// They are refused with status 503.
    Refused,
    /// They are not answered.
    Silent,
    /// They are answered later than a VM waits for an answer.
    Slow,
    /// Their answers end early.
    CutShort,
}

/// The faults that the store simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StoreFaults {
    /// Every call is refused with status 503.
    pub is_down: bool,
    /// No call is answered or has an effect.
    pub is_silent: bool,
    /// Writes take effect but are not answered.
    pub loses_answers: bool,
    /// Calls to join a group are refused with status 503.
    pub refuses_joins: bool,
    /// Queries for the owners of partitions are refused with status 503.
    pub hides_owners: bool,
    /// The bytes per second at which each answer is sent; 0 for no limit.
    pub bytes_per_s: u64,
    /// A topic about which calls fail, and how.
    pub topic_fault: Option<(&'static str, TopicFault)>,
}

/// What a store can come back with: its topics and groups at one moment.
#[derive(Clone, Debug, Default)]
pub struct StoreCopy {
    topics: HashMap<String, Topic>,
    groups: HashMap<String, Group>,
}

#[derive(Clone, Debug, Default)]
struct Topic {
    /// The offset of the first record that compaction has left readable.
    first_offset: u64,
    records: Vec<Bytes>,
}

#[derive(Clone, Debug, Default)]
struct Group {
    /// Incremented whenever a member joins, leaves or expires.
    generation: u64,
    /// The members, each with the time at which its membership expires.
    members: BTreeMap<String, Instant>,
    topic: String,
}

#[derive(Deserialize)]
struct JoinRequest {
    group: String,
    member: String,
    topics: Vec<String>,
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct LeaveRequest {
    group: String,
    member: String,
}

/// A stand-in for the store, served by tasks on the test's own runtime.
#[derive(Debug, Default)]
pub struct StoreStandIn {
    topics: RefCell<HashMap<String, Topic>>,
    groups: RefCell<HashMap<String, Group>>,
    faults: Cell<StoreFaults>,
    /// How often the store has come back from a copy.
    era: Cell<u64>,
    calls: RefCell<HashMap<String, u64>>,
    topic_calls: RefCell<HashMap<String, u64>>,
    /// The reads of a whole topic, by topic.
    whole_reads: RefCell<BTreeMap<String, u64>>,
    /// How many items a page has at most, and a read of records; 0 for all in one.
    page_items: Cell<usize>,
    /// Items that are listed beside the records of a topic.
    odd_items: RefCell<Vec<(String, Value)>>,
}

impl StoreStandIn {
    /// Starts an empty store.
    pub(super) async fn start(address: SocketAddr) -> Rc<Self> {
        let store = Rc::new(Self::default());
        let listener = listen(address).await.expect("the address is free");
        let served = store.clone();
        compio::runtime::spawn(serve_http(listener, Rc::default(), move |request| {
            served.clone().handle(request, 0)
        }))
        .detach();
        store
    }

    /// Serves the same log at another address, where each server's entry names an address whose port
    /// is higher by `port_offset`.
    pub(super) async fn serve_paths(self: &Rc<Self>, address: SocketAddr, port_offset: u16) {
        let listener = listen(address).await.expect("the address is free");
        let served = self.clone();
        compio::runtime::spawn(serve_http(listener, Rc::default(), move |request| {
            served.clone().handle(request, port_offset)
        }))
        .detach();
    }

    /// Sets the faults simulated from now on.
    pub fn set(&self, faults: StoreFaults) {
        self.faults.set(faults);
    }

    /// Writes a record to a keyed topic, as the operator and the servers do.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        self.append(topic, keyed_record(key, value.to_string().as_bytes()));
    }

    /// Deletes a key from a keyed topic.
    pub fn drop_key(&self, topic: &str, key: &str) {
        self.append(topic, keyed_record(key, &[]));
    }

    /// Writes a record to a topic as it is.
    pub fn put_raw(&self, topic: &str, record: &[u8]) {
        self.append(topic, record.to_vec().into());
    }

    /// Writes a record to a keyed topic, whatever its value.
    pub fn put_bytes(&self, topic: &str, key: &str, value: &[u8]) {
        self.append(topic, keyed_record(key, value));
    }

    /// Sets how many items a page, and a read of records, has at most.
    pub fn set_page_items(&self, items: usize) {
        self.page_items.set(items);
    }

    /// Lists an item beside the records of a topic, whatever it looks like.
    pub fn list_item(&self, topic: &str, item: Value) {
        self.odd_items.borrow_mut().push((topic.to_owned(), item));
    }

    /// Drops the history of a keyed topic: reads from older offsets fail with status 410, while the
    /// newest record of each key stays available.
    pub fn compact(&self, topic: &str) {
        if let Some(topic) = self.topics.borrow_mut().get_mut(topic) {
            topic.first_offset = topic.records.len() as u64;
        }
    }

    /// Copies everything that the store holds now.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy {
            topics: self.topics.borrow().clone(),
            groups: self.groups.borrow().clone(),
        }
    }

    /// Goes on from an older copy: what was written since is lost, its offsets are given out again,
    /// and the next era begins.
    pub fn come_back_from(&self, copy: StoreCopy) {
        *self.topics.borrow_mut() = copy.topics;
        *self.groups.borrow_mut() = copy.groups;
        self.era.set(self.era.get() + 1);
    }

    /// The number of calls to a path so far.
    pub fn calls(&self, path: &str) -> u64 {
        self.calls.borrow().get(path).copied().unwrap_or(0)
    }

    /// The number of calls about a topic so far.
    pub fn topic_calls(&self, topic: &str) -> u64 {
        self.topic_calls.borrow().get(topic).copied().unwrap_or(0)
    }

    /// The number of reads of a whole topic so far, by topic.
    pub fn whole_reads(&self) -> BTreeMap<String, u64> {
        self.whole_reads.borrow().clone()
    }

    /// The number of records of a topic.
    pub fn len(&self, topic: &str) -> usize {
        let topics = self.topics.borrow();
        topics.get(topic).map_or(0, |topic| topic.records.len())
    }

    fn append(&self, topic: &str, record: Bytes) -> u64 {
        let mut topics = self.topics.borrow_mut();
        let records = &mut topics.entry(topic.to_owned()).or_default().records;
        records.push(record);
        records.len() as u64 - 1
    }

    /// Answers a call; the answer names the era in which the call arrived.
    async fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
        port_offset: u16,
    ) -> Response<Body> {
        let era = self.era.get();
        let mut answer = self.answer(request, port_offset).await;
        answer.headers_mut().insert("store-era", era.into());
        match self.faults.get().bytes_per_s {
            0 => answer,
            bytes_per_s => answer.map(|body| paced(body, bytes_per_s)),
        }
    }

    async fn answer(&self, request: Request<Incoming>, port_offset: u16) -> Response<Body> {
        let path = request.uri().path().to_owned();
        *self.calls.borrow_mut().entry(path.clone()).or_default() += 1;
        if let Some(topic) = http_json::query::<String>(&request, "topic") {
            *self.topic_calls.borrow_mut().entry(topic).or_default() += 1;
        }
        if self.faults.get().is_silent {
            compio::time::sleep(UNANSWERED_HOLD).await;
        }
        if self.faults.get().is_down {
            return http_json::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let is_write = *request.method() == Method::POST;
        match self.fault_of(&request) {
            Some(TopicFault::Refused) => {
                return http_json::status(StatusCode::SERVICE_UNAVAILABLE);
            }
            Some(TopicFault::Silent) => compio::time::sleep(UNANSWERED_HOLD).await,
            Some(TopicFault::Slow) => compio::time::sleep(SLOW_ANSWER).await,
            Some(TopicFault::CutShort) => {
                let cut = Body::full(Bytes::from_static(b"{\"items\":[{\"key\":"));
                return Response::new(cut);
            }
            None => {}
        }
        let answer = match path.as_str() {
            "/-/log-newest" => self.newest(&request, port_offset),
            "/-/log-read" => self.read(&request, port_offset).await,
            "/-/log-append" => self.handle_append(request).await,
            "/-/log-join" if self.faults.get().refuses_joins => {
                http_json::status(StatusCode::SERVICE_UNAVAILABLE)
            }
            "/-/log-join" => self.join(request).await,
            "/-/log-leave" => self.leave(request).await,
            "/-/log-owners" if self.faults.get().hides_owners => {
                http_json::status(StatusCode::SERVICE_UNAVAILABLE)
            }
            "/-/log-owners" => self.owners(&request),
            _ => http_json::status(StatusCode::NOT_FOUND),
        };
        if is_write && self.faults.get().loses_answers {
            compio::time::sleep(UNANSWERED_HOLD).await;
        }
        answer
    }

    /// What happens to a call because of its topic.
    fn fault_of(&self, request: &Request<Incoming>) -> Option<TopicFault> {
        let (topic, fault) = self.faults.get().topic_fault?;
        let of_call: Option<String> = http_json::query(request, "topic");
        (of_call.as_deref() == Some(topic)).then_some(fault)
    }

    fn newest(&self, request: &Request<Incoming>, port_offset: u16) -> Response<Body> {
        let topic: String = http_json::query(request, "topic").unwrap_or_default();
        *self
            .whole_reads
            .borrow_mut()
            .entry(topic.clone())
            .or_default() += 1;
        let topics = self.topics.borrow();
        let records = topics.get(&topic).map_or(&[][..], |topic| &topic.records);
        let mut newest: BTreeMap<String, (usize, Bytes)> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let Some((key, value)) = split_record(record) else {
                continue;
            };
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, move_port(&value, port_offset)));
            }
        }
        let after: String = http_json::query(request, "after").unwrap_or_default();
        let after = percent_decode_str(&after).decode_utf8_lossy();
        let items = newest.into_iter().map(|(key, (offset, value))| {
            let item = json!({"key": key, "value": base64(&value), "offset": offset});
            (key, item)
        });
        let odd_items = self.odd_items.borrow();
        let odd_items = odd_items.iter().filter(|(of_topic, _)| *of_topic == topic);
        let odd_items = odd_items.map(|(_, item)| {
            let key = item["key"].as_str().unwrap_or_default();
            (key.to_owned(), item.clone())
        });
        let mut items: Vec<(String, Value)> = items.chain(odd_items).collect();
        items.sort_by(|(left, _), (right, _)| left.cmp(right));
        items.retain(|(key, _)| after.is_empty() || **key > *after);
        let page_items = match self.page_items.get() {
            0 => items.len(),
            page_items => page_items.min(items.len()),
        };
        let has_more = page_items < items.len();
        let items: Vec<Value> = items
            .into_iter()
            .take(page_items)
            .map(|(_, it)| it)
            .collect();
        http_json::ok(&json!({"items": items, "more_pages": has_more, "end": records.len()}))
    }

    async fn read(&self, request: &Request<Incoming>, port_offset: u16) -> Response<Body> {
        let topic: String = http_json::query(request, "topic").unwrap_or_default();
        let from: u64 = http_json::query(request, "from").unwrap_or(0);
        let wait = Duration::from_millis(http_json::query(request, "wait_ms").unwrap_or(0));
        let began = Instant::now();
        loop {
            if self.faults.get().is_silent {
                compio::time::sleep(UNANSWERED_HOLD).await;
            }
            if self.faults.get().is_down {
                return http_json::status(StatusCode::SERVICE_UNAVAILABLE);
            }
            let (first, end, records) = {
                let topics = self.topics.borrow();
                let topic = topics.get(&topic);
                let first = topic.map_or(0, |topic| topic.first_offset);
                let records = topic.map_or(&[][..], |topic| &topic.records);
                let skip = (from as usize).min(records.len());
                let count = match self.page_items.get() {
                    0 => records.len(),
                    page_items => page_items,
                };
                let page = records[skip..].iter().take(count).cloned();
                (first, records.len() as u64, page.collect::<Vec<Bytes>>())
            };
            if from < first || from > end {
                let gone = json!({"first": first});
                return rattanjunction::json_response(StatusCode::GONE, &gone);
            }
            if !records.is_empty() || began.elapsed() >= wait {
                let mut bytes = [end.to_be_bytes(), first.to_be_bytes()].concat();
                for record in &records {
                    let record = match split_record(record) {
                        Some((key, value)) if port_offset > 0 => {
                            keyed_record(&key, &move_port(&value, port_offset))
                        }
                        _ => record.clone(),
                    };
                    bytes.extend((record.len() as u32).to_be_bytes());
                    bytes.extend(&record);
                }
                return Response::new(Body::full(bytes));
            }
            compio::time::sleep(READ_POLL).await;
        }
    }

    async fn handle_append(&self, request: Request<Incoming>) -> Response<Body> {
        let topic: String = http_json::query(&request, "topic").unwrap_or_default();
        let at: Option<u64> = http_json::query(&request, "at");
        let Some(mut body) = http_json::collect_body(request).await else {
            return http_json::status(StatusCode::BAD_REQUEST);
        };
        let end = self.len(&topic) as u64;
        if at.is_some_and(|at| at != end) {
            let answer = json!({"end": end});
            return rattanjunction::json_response(StatusCode::PRECONDITION_FAILED, &answer);
        }
        while body.has_remaining() {
            let length = body.get_u32() as usize;
            self.append(&topic, body.split_to(length));
        }
        http_json::ok(&json!({"offset": end, "end": self.len(&topic)}))
    }

    async fn join(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(join) = http_json::read_json::<JoinRequest>(request).await else {
            return http_json::status(StatusCode::BAD_REQUEST);
        };
        let mut groups = self.groups.borrow_mut();
        let group = groups.entry(join.group).or_default();
        group.topic = join.topics.first().cloned().unwrap_or_default();
        group.expire_members();
        let until = Instant::now() + Duration::from_millis(join.ttl_ms);
        if group.members.insert(join.member.clone(), until).is_none() {
            group.generation += 1;
        }
        let own = group.assignments().into_iter();
        let own = own.filter(|(_, member)| *member == join.member);
        let parts: Vec<Value> = own.map(|(part, _)| json!([group.topic, part, 0])).collect();
        http_json::ok(&json!({"generation": group.generation, "parts": parts}))
    }

    async fn leave(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(leave) = http_json::read_json::<LeaveRequest>(request).await else {
            return http_json::status(StatusCode::BAD_REQUEST);
        };
        if let Some(group) = self.groups.borrow_mut().get_mut(&leave.group)
            && group.members.remove(&leave.member).is_some()
        {
            group.generation += 1;
        }
        http_json::ok(&json!({}))
    }

    fn owners(&self, request: &Request<Incoming>) -> Response<Body> {
        let name: String = http_json::query(request, "group").unwrap_or_default();
        let mut groups = self.groups.borrow_mut();
        let group = groups.entry(name).or_default();
        group.expire_members();
        let assignments = group.assignments().into_iter();
        let parts: Vec<Value> = assignments
            .map(|(part, member)| json!([group.topic, part, member, 0]))
            .collect();
        http_json::ok(&json!({"parts": parts}))
    }
}

impl Group {
    fn expire_members(&mut self) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, until| *until > now);
        if self.members.len() < before {
            self.generation += 1;
        }
    }

    /// All partitions with their owners, assigned to the members in rotation.
    fn assignments(&self) -> Vec<(u64, String)> {
        let members: Vec<&String> = self.members.keys().collect();
        let parts = (0..PARTITIONS).filter_map(|part| {
            let member = members.get(part as usize % members.len().max(1))?;
            Some((part, (*member).clone()))
        });
        parts.collect()
    }
}

/// Sends a body that is in memory at a limited rate.
fn paced(body: Body, bytes_per_s: u64) -> Body {
    let Body::Full(Some(mut bytes)) = body else {
        return body;
    };
    let (mut sender, paced) = Body::answer(1);
    compio::runtime::spawn(async move {
        while !bytes.is_empty() {
            let chunk = bytes.split_to(bytes.len().min(PACED_CHUNK_BYTES));
            let pause = Duration::from_secs_f64(chunk.len() as f64 / bytes_per_s as f64);
            compio::time::sleep(pause).await;
            if !sender.send(chunk).await {
                return;
            }
        }
        sender.mark_complete();
    })
    .detach();
    paced
}

/// Encodes a record of a keyed topic: a byte with the length of the key, the key and the value. An
/// empty value deletes the key.
fn keyed_record(key: &str, value: &[u8]) -> Bytes {
    let mut record = vec![key.len() as u8];
    record.extend(key.as_bytes());
    record.extend(value);
    record.into()
}

/// Adds to the port of the address in a server's entry; leaves all else as it is.
fn move_port(value: &Bytes, port_offset: u16) -> Bytes {
    if port_offset == 0 {
        return value.clone();
    }
    let Ok(mut entry) = serde_json::from_slice::<Value>(value) else {
        return value.clone();
    };
    let address = entry["address"].as_str();
    let Some(address) = address.and_then(|it| it.parse::<SocketAddr>().ok()) else {
        return value.clone();
    };
    let moved = SocketAddr::new(address.ip(), address.port() + port_offset);
    entry["address"] = json!(moved.to_string());
    entry.to_string().into()
}

/// Splits a record of a keyed topic into its key and its value.
/// The key and the value of a record; `None` if it is shorter than its key.
fn split_record(record: &Bytes) -> Option<(String, Bytes)> {
    let length = usize::from(*record.first()?);
    let key = record.get(1..=length)?;
    let key = String::from_utf8_lossy(key).into_owned();
    Some((key, record.slice(1 + length..)))
}

fn base64(bytes: &[u8]) -> String {
    use base64::Engine as _;
    base64::prelude::BASE64_STANDARD.encode(bytes)
}
