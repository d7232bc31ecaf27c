//! A stand-in of the platform's store: a log with keyed topics and groups.

use crate::http_json;
use bytes::{Buf, Bytes};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use rattanjunction::{Body, listen, serve_http};
use serde::Deserialize;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Partitions of a topic.
const PARTS: u64 = 12;
/// How often a waiting read looks again.
const READ_POLL: Duration = Duration::from_millis(2);
/// How long a call without an answer is held.
const NO_ANSWER: Duration = Duration::from_secs(3_600);

/// What is wrong with the store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StoreFaults {
    /// Every call is refused.
    pub is_down: bool,
    /// No call is answered, and none has an effect.
    pub is_silent: bool,
    /// Writes take effect and are not answered.
    pub loses_answers: bool,
    /// Nobody joins a group.
    pub refuses_joins: bool,
    /// The owners of partitions are not told.
    pub hides_owners: bool,
}

#[derive(Debug, Default)]
struct Topic {
    first: u64,
    records: Vec<Bytes>,
}

#[derive(Debug, Default)]
struct Members {
    generation: u64,
    alive: BTreeMap<String, Instant>,
    topic: String,
}

#[derive(Deserialize)]
struct Join {
    group: String,
    member: String,
    topics: Vec<String>,
    ttl_ms: u64,
}

#[derive(Deserialize)]
struct Leave {
    group: String,
    member: String,
}

/// The store's stand-in, served in tasks of the test's own runtime.
#[derive(Debug, Default)]
pub struct StoreStandIn {
    topics: RefCell<HashMap<String, Topic>>,
    groups: RefCell<HashMap<String, Members>>,
    faults: Cell<StoreFaults>,
    calls: RefCell<HashMap<String, u64>>,
}

impl StoreStandIn {
    /// Starts a store with nothing in it.
    pub(super) async fn start(address: SocketAddr) -> Rc<Self> {
        let store = Rc::new(Self::default());
        let listener = listen(address).await.expect("the address is free");
        let served = store.clone();
        compio::runtime::spawn(serve_http(listener, Rc::default(), move |request| {
            served.clone().handle(request)
        }))
        .detach();
        store
    }

    /// Sets what is wrong from now on.
    pub fn set(&self, faults: StoreFaults) {
        self.faults.set(faults);
    }

    /// Writes a record of a keyed topic, as the operator and the servers do.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        self.append(topic, keyed(key, value.to_string().as_bytes()));
    }

    /// Drops a key.
    pub fn drop_key(&self, topic: &str, key: &str) {
        self.append(topic, keyed(key, &[]));
    }

    /// Forgets the history of a keyed topic; the newest record of each key stays.
    pub fn compact(&self, topic: &str) {
        if let Some(topic) = self.topics.borrow_mut().get_mut(topic) {
            topic.first = topic.records.len() as u64;
        }
    }

    /// How often a call was made.
    pub fn calls(&self, path: &str) -> u64 {
        self.calls.borrow().get(path).copied().unwrap_or(0)
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

    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        *self.calls.borrow_mut().entry(path.clone()).or_default() += 1;
        if self.faults.get().is_silent {
            compio::time::sleep(NO_ANSWER).await;
        }
        if self.faults.get().is_down {
            return http_json::status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let is_write = *request.method() == Method::POST;
        let answer = match path.as_str() {
            "/-/log-newest" => self.newest(&request),
            "/-/log-read" => self.read(&request).await,
            "/-/log-append" => self.take_append(request).await,
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
            compio::time::sleep(NO_ANSWER).await;
        }
        answer
    }

    fn newest(&self, request: &Request<Incoming>) -> Response<Body> {
        let topic: String = http_json::query(request, "topic").unwrap_or_default();
        let topics = self.topics.borrow();
        let records = topics.get(&topic).map_or(&[][..], |topic| &topic.records);
        let mut newest: BTreeMap<String, (usize, Bytes)> = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = split(record);
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let items: Vec<Value> = newest
            .into_iter()
            .map(|(key, (offset, value))| {
                json!({"key": key, "value": base64(&value), "offset": offset})
            })
            .collect();
        http_json::ok(&json!({"items": items, "more_pages": false, "end": records.len()}))
    }

    async fn read(&self, request: &Request<Incoming>) -> Response<Body> {
        let topic: String = http_json::query(request, "topic").unwrap_or_default();
        let from: u64 = http_json::query(request, "from").unwrap_or(0);
        let wait = Duration::from_millis(http_json::query(request, "wait_ms").unwrap_or(0));
        let began = Instant::now();
        loop {
            if self.faults.get().is_silent {
                compio::time::sleep(NO_ANSWER).await;
            }
            if self.faults.get().is_down {
                return http_json::status(StatusCode::SERVICE_UNAVAILABLE);
            }
            let (first, records) = {
                let topics = self.topics.borrow();
                let topic = topics.get(&topic);
                let first = topic.map_or(0, |topic| topic.first);
                let records = topic.map_or(&[][..], |topic| &topic.records);
                let skip = (from as usize).min(records.len());
                (first, records[skip..].to_vec())
            };
            if from < first {
                let gone = json!({"first": first});
                return rattanjunction::json_response(StatusCode::GONE, &gone);
            }
            if !records.is_empty() || began.elapsed() >= wait {
                let end = from + records.len() as u64;
                let mut bytes = [end.to_be_bytes(), first.to_be_bytes()].concat();
                for record in &records {
                    bytes.extend((record.len() as u32).to_be_bytes());
                    bytes.extend(record);
                }
                return Response::new(Body::full(bytes));
            }
            compio::time::sleep(READ_POLL).await;
        }
    }

    async fn take_append(&self, request: Request<Incoming>) -> Response<Body> {
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
        let Some(join) = http_json::read_json::<Join>(request).await else {
            return http_json::status(StatusCode::BAD_REQUEST);
        };
        let mut groups = self.groups.borrow_mut();
        let members = groups.entry(join.group).or_default();
        members.topic = join.topics.first().cloned().unwrap_or_default();
        members.forget_silent();
        let until = Instant::now() + Duration::from_millis(join.ttl_ms);
        if members.alive.insert(join.member.clone(), until).is_none() {
            members.generation += 1;
        }
        let own = members.deal().into_iter();
        let own = own.filter(|(_, member)| *member == join.member);
        let parts: Vec<Value> = own
            .map(|(part, _)| json!([members.topic, part, 0]))
            .collect();
        http_json::ok(&json!({"generation": members.generation, "parts": parts}))
    }

    async fn leave(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(leave) = http_json::read_json::<Leave>(request).await else {
            return http_json::status(StatusCode::BAD_REQUEST);
        };
        if let Some(members) = self.groups.borrow_mut().get_mut(&leave.group)
            && members.alive.remove(&leave.member).is_some()
        {
            members.generation += 1;
        }
        http_json::ok(&json!({}))
    }

    fn owners(&self, request: &Request<Incoming>) -> Response<Body> {
        let group: String = http_json::query(request, "group").unwrap_or_default();
        let mut groups = self.groups.borrow_mut();
        let members = groups.entry(group).or_default();
        members.forget_silent();
        let dealt = members.deal().into_iter();
        let parts: Vec<Value> = dealt
            .map(|(part, member)| json!([members.topic, part, member, 0]))
            .collect();
        http_json::ok(&json!({"parts": parts}))
    }
}

impl Members {
    fn forget_silent(&mut self) {
        let now = Instant::now();
        let before = self.alive.len();
        self.alive.retain(|_, until| *until > now);
        if self.alive.len() < before {
            self.generation += 1;
        }
    }

    /// All partitions with their owners.
    fn deal(&self) -> Vec<(u64, String)> {
        let members: Vec<&String> = self.alive.keys().collect();
        let parts = (0..PARTS).filter_map(|part| {
            let member = members.get(part as usize % members.len().max(1))?;
            Some((part, (*member).clone()))
        });
        parts.collect()
    }
}

fn keyed(key: &str, value: &[u8]) -> Bytes {
    let mut record = vec![key.len() as u8];
    record.extend(key.as_bytes());
    record.extend(value);
    record.into()
}

fn split(record: &Bytes) -> (String, Bytes) {
    let length = usize::from(record[0]);
    let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
    (key, record.slice(1 + length..))
}

fn base64(bytes: &[u8]) -> String {
    use base64::Engine as _;
    base64::prelude::BASE64_STANDARD.encode(bytes)
}
