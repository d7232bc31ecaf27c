//! A client of the platform's store: a log with keyed topics, and groups of members.

use crate::client::{Connection, SendError};
use crate::gateway::{
    Changes, ConfigSource, Configuration, ContainmentLog, Directory, Group, LeadershipClaims,
    Members, Membership, Metrics, Position, ServerChange, StoreError, StoredCause,
};
use crate::http::{Body, read_flowing_body};
use crate::inventory::Name;
use crate::platform::configuration;
use crate::platform::directory::{SERVERS_TOPIC, server_changes};
use crate::platform::recent_records::RecentRecords;
use crate::platform::stored_cause;
use crate::platform::unreadable_records::UnreadableRecords;
use crate::response_body::ResponseBody;
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The paths of the store's calls, which are also their names in metrics.
const CALL_PATHS: [&str; 6] = [
    "/-/log-newest",
    "/-/log-read",
    "/-/log-append",
    "/-/log-join",
    "/-/log-leave",
    "/-/log-owners",
];
/// The keyed topic to which the operator writes.
const OPERATOR_TOPIC: &str = "keyed.op";
/// The key of the configuration in the operator's topic.
const CONFIGURATION_KEY: &[u8] = b"config";
/// The topic whose partitions the store assigns to VMs.
const MEMBERS_TOPIC: &str = "members";
/// The keyed topic of what VMs contain because it crashes servers.
const CONTAINED_TOPIC: &str = "keyed.contained";
/// The topic of leadership claims.
const CLAIMS_TOPIC: &str = "claims";
/// The name of the group that all VMs join.
const GROUP: &str = "rattanjunction";
/// The partition whose owner may claim leadership.
const LEADER_PARTITION: u64 = 0;

/// How long the store may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a response may take to begin beyond the requested wait, and how long it may pause. At
/// the worst slowdown seen, the store responds within a third of a second.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(700);
/// The largest accepted response, in bytes; the operator's limit on the size of a configuration
/// is far below it.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;
/// The most that one read returns, in kilobytes.
const READ_KB: u32 = 1_024;
/// How often a page is requested that is not the first one of a topic.
const PAGE_ATTEMPTS: u32 = 4;
/// The longest pause before a page is requested again; grows with each failure.
const PAGE_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The header that names the era of the store.
const ERA_HEADER: &str = "store-era";
/// The number of idle connections that are kept open for reuse.
const MAX_IDLE: usize = 4;

/// A client of the platform's store.
#[derive(Debug)]
pub(crate) struct PlatformStore {
    address: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    metrics: Rc<Metrics>,
    /// The records that could not be read.
    unreadable: RefCell<UnreadableRecords>,
    /// The records of the directory that were read last.
    recent_servers: RefCell<RecentRecords>,
}

#[derive(Deserialize)]
struct WireNewest<'a> {
    /// The items, which are read one by one.
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    /// Whether more keys follow.
    #[serde(default)]
    more_pages: bool,
    /// The offset after the last record.
    end: u64,
}

#[derive(Deserialize)]
struct WireItemKey {
    key: String,
}

#[derive(Deserialize)]
struct WireItem {
    /// In base64.
    value: String,
    #[serde(default)]
    offset: Option<u64>,
}

#[derive(Serialize)]
struct WireJoin<'a> {
    group: &'a str,
    member: &'a str,
    topics: [&'a str; 1],
    ttl_ms: u64,
    generation: u64,
}

#[derive(Serialize)]
struct WireLeave<'a> {
    group: &'a str,
    member: &'a str,
}

#[derive(Deserialize)]
struct WireJoined {
    generation: u64,
    /// The partitions that the member owns: topic, partition, committed offset.
    parts: Vec<(String, u64, u64)>,
}

#[derive(Deserialize)]
struct WireOwners {
    /// All partitions: topic, partition, owning member, committed offset.
    parts: Vec<(String, u64, String, u64)>,
}

#[derive(Deserialize)]
struct WireAppended {
    offset: u64,
}

#[derive(Deserialize)]
struct WireEnd {
    end: u64,
}

/// The store's answer to a call.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    /// The era that the answer names; 0 if it names none.
    era: u64,
    body: Bytes,
}

/// The body of a successful answer, with its era.
#[derive(Debug)]
struct Success {
    era: u64,
    body: Bytes,
}

/// What is known of a call while it is in progress.
#[derive(Debug, Default)]
struct CallProgress {
    received_bytes: Cell<u64>,
    /// Whether the call is sent on a connection that was kept open.
    is_reused: Cell<bool>,
}

/// A record of a keyed topic; an empty value deletes the key.
pub(super) struct KeyedRecord {
    pub(super) key: Bytes,
    pub(super) value: Bytes,
    /// Whether the record was written before the store was last restored from a copy, as far as
    /// known.
    pub(super) may_be_restored: bool,
}

/// The records that one read returned.
struct RecordsRead {
    changes: Changes<KeyedRecord>,
    /// Whether the topic held more records at the time of the read.
    has_more: bool,
}

impl PlatformStore {
    /// Creates a client of the store at `address`; connections are opened on demand.
    pub(crate) fn new(address: SocketAddr, metrics: Rc<Metrics>) -> Self {
        Self {
            address,
            idle: RefCell::default(),
            metrics,
            unreadable: RefCell::default(),
            recent_servers: RefCell::default(),
        }
    }

    /// Makes a call to the store and records it in the metrics.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<Answer, StoreError> {
        let began = Instant::now();
        let progress = CallProgress::default();
        let answer = self.send_call(method, path, body, wait, &progress).await;
        let outcome = match &answer {
            Ok(answer) if answer.status.is_success() => "answered",
            Ok(_) | Err(StoreError::Refused) => "refused",
            Err(_) => "unanswered",
        };
        let call = CALL_PATHS.iter().find(|call| path.starts_with(**call));
        let call = call.copied().unwrap_or("other");
        let took = began.elapsed();
        self.metrics.note_store_call(call, outcome, took);
        let received_bytes = progress.received_bytes.get();
        self.metrics.store_bytes.inc_by(received_bytes);
        if outcome == "unanswered" {
            tracing::info!(
                call,
                took_ms = took.as_millis() as u64,
                received_bytes,
                is_reused = progress.is_reused.get(),
                "store call unanswered"
            );
        }
        answer
    }

    /// Makes a call over an idle connection, or over a new one if there is none or it was closed.
    ///
    /// The time limit applies until the answer begins and to each pause in it: how long the whole
    /// answer takes depends on its size and on the VM's link.
    async fn send_call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
        progress: &CallProgress,
    ) -> Result<Answer, StoreError> {
        let limit = RESPONSE_TIMEOUT + wait;
        let head = self.request_head(&method, path, &body, limit, progress);
        let answer = match compio::time::timeout(limit, head).await {
            Ok(Ok((connection, response))) => {
                let received_bytes = &progress.received_bytes;
                self.read_answer(connection, response, received_bytes).await
            }
            Ok(Err(SendError::NotSent)) => return Err(StoreError::Refused),
            Ok(Err(SendError::MaybeSent)) | Err(_) => None,
        };
        answer.ok_or_else(|| {
            // The idle connections may be as unresponsive as this one.
            self.idle.borrow_mut().clear();
            StoreError::Unanswered
        })
    }

    /// Sends a request and waits for the head of the answer.
    async fn request_head(
        &self,
        method: &Method,
        path: &str,
        body: &Bytes,
        limit: Duration,
        progress: &CallProgress,
    ) -> Result<(Connection, Response<ResponseBody>), SendError> {
        if let Some(mut connection) = self.take_idle() {
            progress.is_reused.set(true);
            match connection.send(self.request(method, path, body)).await {
                // The connection was closed before the request was written.
                Err(SendError::NotSent) => {}
                // A read can be repeated. The other idle connections may be broken as well.
                Err(SendError::MaybeSent) if *method == Method::GET => {
                    self.idle.borrow_mut().clear();
                }
                outcome => return Ok((connection, outcome?)),
            }
        }
        progress.is_reused.set(false);
        let opened = Connection::open_bulk(self.address, CONNECT_TIMEOUT, limit);
        let mut connection = opened.await?;
        let response = connection.send(self.request(method, path, body)).await?;
        Ok((connection, response))
    }

    /// Reads an answer and keeps its connection; `None` if it does not arrive whole.
    async fn read_answer(
        &self,
        connection: Connection,
        response: Response<ResponseBody>,
        received_bytes: &Cell<u64>,
    ) -> Option<Answer> {
        let status = response.status();
        let era = response.headers().get(ERA_HEADER);
        let era = era.and_then(|era| era.to_str().ok()?.parse().ok());
        let body = response.into_body();
        let body = read_flowing_body(body, MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT, received_bytes);
        let body = body.await.ok()?;
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
        Some(Answer {
            status,
            era: era.unwrap_or(0),
            body,
        })
    }

    /// Takes an idle connection that can send a request at once.
    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| !connection.is_closed());
        let index = idle.iter().position(Connection::is_ready)?;
        Some(idle.swap_remove(index))
    }

    fn request(&self, method: &Method, path: &str, body: &Bytes) -> Request<Body> {
        let host = HeaderValue::from_str(&self.address.to_string());
        Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, host.expect("an address is a header value"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Body::full(body.clone()))
            .expect("the parts are valid")
    }

    async fn get(&self, path: &str, wait: Duration) -> Result<Success, StoreError> {
        let answer = self.call(Method::GET, path, Bytes::new(), wait).await?;
        success(answer)
    }

    /// Makes a read that continues at a position of an earlier read.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Rewound`] if the position belongs to an earlier era than the answer,
    /// and with [`StoreError::Unanswered`] if the answer belongs to an earlier era than the position:
    /// it was sent before the store was restored.
    async fn get_from(
        &self,
        path: &str,
        from: Position,
        wait: Duration,
    ) -> Result<Bytes, StoreError> {
        let answer = self.call(Method::GET, path, Bytes::new(), wait).await?;
        let names_era = answer.status.is_success() || answer.status == StatusCode::GONE;
        match answer.era.cmp(&from.era) {
            Ordering::Greater if names_era => Err(StoreError::Rewound),
            Ordering::Less if names_era => Err(StoreError::Unanswered),
            _ => Ok(success(answer)?.body),
        }
    }

    async fn post(&self, path: &str, body: &impl Serialize) -> Result<Success, StoreError> {
        let body = serde_json::to_vec(body).expect("requests serialize");
        let answer = self
            .call(Method::POST, path, body.into(), Duration::ZERO)
            .await?;
        success(answer)
    }

    /// Reads the newest record of each key, page by page, and the position at which to continue. Records
    /// that cannot be read have no effect on others.
    async fn read_newest(&self, topic: &'static str) -> Result<Changes<KeyedRecord>, StoreError> {
        let mut records = Vec::new();
        let mut next: Option<Position> = None;
        let mut after = String::new();
        loop {
            let path = format!("/-/log-newest?topic={topic}&part=0{after}");
            let attempts = if records.is_empty() { 1 } else { PAGE_ATTEMPTS };
            let answer = self.get_page(&path, attempts).await?;
            let page: WireNewest<'_> = parse(&answer.body)?;
            let era = answer.era;
            // The pages are not one consistent snapshot. Reading continues at the end offset of the
            // first page, so that records appended during the later pages are not missed.
            let end = Position {
                era,
                offset: page.end,
            };
            let next = *next.get_or_insert(end);
            if next.era != era {
                return Err(StoreError::Rewound);
            }
            let mut last_key = None;
            for item in page.items {
                let Ok(WireItemKey { key }) = serde_json::from_str(item.get()) else {
                    let item = item.get().as_bytes();
                    self.report_unreadable(topic, "", item, "the key is not text");
                    continue;
                };
                records.extend(self.read_item(topic, era, &key, item));
                last_key = Some(key);
            }
            if !page.more_pages {
                return Ok(Changes {
                    items: records,
                    next_offset: next.to_u64(),
                });
            }
            let last_key = last_key.ok_or_else(|| warn_garbled("no key to continue after"))?;
            let last_key = utf8_percent_encode(&last_key, NON_ALPHANUMERIC);
            after = format!("&after={last_key}");
        }
    }

    /// Reads the record of a key. One that cannot be read has a value that is not valid either.
    fn read_item(
        &self,
        topic: &'static str,
        era: u64,
        key: &str,
        item: &RawValue,
    ) -> Option<KeyedRecord> {
        let read = serde_json::from_str::<WireItem>(item.get());
        let read = read.map_err(|error| error.to_string()).and_then(|item| {
            let value = BASE64_STANDARD.decode(&item.value);
            let value = value.map_err(|error| error.to_string())?;
            Ok((item.offset, value))
        });
        let (offset, value) = match read {
            Ok(read) => read,
            Err(error) => {
                self.report_unreadable(topic, key, item.get().as_bytes(), error);
                (None, item.get().as_bytes().to_vec())
            }
        };
        let may_be_restored = era > 0 && !self.is_new(topic, era, key, offset, &value);
        // The newest record of a key that was dropped is not listed.
        (!value.is_empty()).then(|| KeyedRecord {
            key: key.to_owned().into(),
            value: value.into(),
            may_be_restored,
        })
    }

    fn report_unreadable(
        &self,
        topic: &'static str,
        key: &str,
        record: &[u8],
        error: impl std::fmt::Display,
    ) {
        self.unreadable
            .borrow_mut()
            .report(topic, key, record, error);
    }

    /// Whether a record is known to have been written since the store was last restored.
    fn is_new(&self, topic: &str, era: u64, key: &str, offset: Option<u64>, value: &[u8]) -> bool {
        let Some(offset) = offset.filter(|_| topic == SERVERS_TOPIC) else {
            return false;
        };
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let at = Position { era, offset };
        self.recent_servers.borrow_mut().is_new(at, &record)
    }

    /// Reads a page; tries again after a failure, so that the pages before it are not read in vain.
    async fn get_page(&self, path: &str, attempts: u32) -> Result<Success, StoreError> {
        let mut failures = 0;
        loop {
            match self.get(path, Duration::ZERO).await {
                Err(error) if failures + 1 < attempts => {
                    failures += 1;
                    let pause = PAGE_RETRY_PAUSE * failures;
                    tracing::info!(path, ?error, failures, "page of the log not read");
                    compio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
                }
                outcome => return outcome,
            }
        }
    }

    /// Appends one record to a topic; `position` is empty or holds further parameters of the call.
    async fn append(
        &self,
        topic: &str,
        position: &str,
        record: &[u8],
    ) -> Result<Position, StoreError> {
        let mut body = BytesMut::new();
        body.put_u32(record.len() as u32);
        body.put_slice(record);
        let path = format!("/-/log-append?topic={topic}&part=0{position}");
        let answer = self
            .call(Method::POST, &path, body.freeze(), Duration::ZERO)
            .await?;
        let answer = success(answer)?;
        let appended: WireAppended = parse(&answer.body)?;
        Ok(Position {
            era: answer.era,
            offset: appended.offset,
        })
    }

    /// Reads all records of a keyed topic from a position on, in as many reads as that takes.
    async fn read_to_end(
        &self,
        topic: &'static str,
        from: u64,
    ) -> Result<Changes<KeyedRecord>, StoreError> {
        let mut all = Vec::new();
        let mut next_offset = from;
        loop {
            let read = self
                .read_records(topic, next_offset, Duration::ZERO, usize::MAX)
                .await?;
            all.extend(read.changes.items);
            next_offset = read.changes.next_offset;
            if !read.has_more {
                return Ok(Changes {
                    items: all,
                    next_offset,
                });
            }
        }
    }

    /// Reads the records of a keyed topic from a position on, as many as one read returns and at most
    /// `max_records`.
    async fn read_records(
        &self,
        topic: &'static str,
        from: u64,
        wait: Duration,
        max_records: usize,
    ) -> Result<RecordsRead, StoreError> {
        let from = Position::from_u64(from);
        let offset = from.offset;
        let wait_ms = wait.as_millis();
        let path = format!(
            "/-/log-read?topic={topic}&part=0&from={offset}&max_kb={READ_KB}&wait_ms={wait_ms}"
        );
        let answer = self.get_from(&path, from, wait).await?;
        let end = answer.clone().try_get_u64().unwrap_or(0);
        let mut records = split_records(answer).ok_or(StoreError::Garbled)?;
        records.truncate(max_records);
        if topic == SERVERS_TOPIC {
            self.recent_servers.borrow_mut().note(from, &records);
        }
        let next = Position {
            offset: offset + records.len() as u64,
            ..from
        };
        let has_more = !records.is_empty() && next.offset < end;
        let items = records.into_iter().filter_map(|record| {
            let read = parse_keyed_record(record.clone());
            if read.is_none() {
                self.report_unreadable(topic, "", &record, "shorter than its key");
            }
            read
        });
        let changes = Changes {
            items: items.collect(),
            next_offset: next.to_u64(),
        };
        Ok(RecordsRead { changes, has_more })
    }
}

fn warn_garbled(error: impl std::fmt::Display) -> StoreError {
    tracing::warn!(%error, "store's response unreadable");
    StoreError::Garbled
}

fn parse<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, StoreError> {
    serde_json::from_slice(bytes).map_err(warn_garbled)
}

/// Returns the body of a successful response, and maps other statuses to errors.
fn success(answer: Answer) -> Result<Success, StoreError> {
    let Answer { status, era, body } = answer;
    match status {
        StatusCode::OK => Ok(Success { era, body }),
        StatusCode::GONE => Err(StoreError::Compacted),
        StatusCode::PRECONDITION_FAILED => {
            let end: WireEnd = parse(&body)?;
            let end = Position {
                era,
                offset: end.end,
            };
            Err(StoreError::Conflict(end.to_u64()))
        }
        status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
            Err(StoreError::Refused)
        }
        _ => Err(StoreError::Unanswered),
    }
}

/// Splits the response to a read into records, each of which follows its length in four bytes.
/// The response begins with the end offset and the first retained offset, eight bytes each.
fn split_records(mut answer: Bytes) -> Option<Vec<Bytes>> {
    let mut records = Vec::new();
    answer.try_get_u64().ok()?;
    answer.try_get_u64().ok()?;
    while answer.has_remaining() {
        let length = answer.try_get_u32().ok()? as usize;
        if answer.remaining() < length {
            return None;
        }
        records.push(answer.split_to(length));
    }
    Some(records)
}

/// Splits a record into its key and value; the first byte is the length of the key.
fn parse_keyed_record(mut record: Bytes) -> Option<KeyedRecord> {
    let length = usize::from(record.try_get_u8().ok()?);
    if record.len() < length {
        return None;
    }
    let key = record.split_to(length);
    Some(KeyedRecord {
        key,
        value: record,
        may_be_restored: false,
    })
}

/// Decodes the configurations among the operator's records; invalid ones are skipped.
fn decode_configurations(records: Changes<KeyedRecord>) -> Changes<Configuration> {
    let matching = records
        .items
        .iter()
        .filter(|record| record.key == CONFIGURATION_KEY && !record.value.is_empty());
    let items = matching.filter_map(|record| match configuration::decode(&record.value) {
        Ok(configuration) => Some(configuration),
        Err(error) => {
            tracing::error!(%error, "configuration unreadable; the current one remains in force");
            None
        }
    });
    Changes {
        items: items.collect(),
        next_offset: records.next_offset,
    }
}

impl ConfigSource for PlatformStore {
    async fn newest(&self) -> Result<Changes<Configuration>, StoreError> {
        self.read_newest(OPERATOR_TOPIC)
            .await
            .map(decode_configurations)
    }

    fn decode(&self, document: &[u8]) -> Result<Configuration, StoreError> {
        configuration::decode(document).map_err(warn_garbled)
    }

    async fn changes(
        &self,
        from: u64,
        wait: Duration,
    ) -> Result<Changes<Configuration>, StoreError> {
        let read = self.read_records(OPERATOR_TOPIC, from, wait, usize::MAX);
        let read = read.await;
        read.map(|read| decode_configurations(read.changes))
    }
}

impl Directory for PlatformStore {
    async fn entries(&self) -> Result<Changes<ServerChange>, StoreError> {
        let records = self.read_newest(SERVERS_TOPIC).await?;
        Ok(server_changes(records, &mut self.unreadable.borrow_mut()))
    }

    async fn changes_before(&self, end: u64, count: u64) -> Result<Vec<ServerChange>, StoreError> {
        let end = Position::from_u64(end);
        let mut next = Position {
            offset: end.offset.saturating_sub(count),
            ..end
        };
        let mut items = Vec::new();
        while next < end {
            let left = (end.offset - next.offset) as usize;
            let from = next.to_u64();
            let read = self
                .read_records(SERVERS_TOPIC, from, Duration::ZERO, left)
                .await?;
            let read = read.changes;
            if read.next_offset == from {
                return Err(warn_garbled("records before the end are missing"));
            }
            next = Position::from_u64(read.next_offset);
            items.extend(server_changes(read, &mut self.unreadable.borrow_mut()).items);
        }
        Ok(items)
    }

    async fn changes_since(&self, from: u64) -> Result<Changes<ServerChange>, StoreError> {
        let records = self.read_to_end(SERVERS_TOPIC, from).await;
        Ok(server_changes(records?, &mut self.unreadable.borrow_mut()))
    }
}

impl Group for PlatformStore {
    async fn join(
        &self,
        member: &str,
        ttl: Duration,
        generation: u64,
    ) -> Result<Membership, StoreError> {
        let join = WireJoin {
            group: GROUP,
            member,
            topics: [MEMBERS_TOPIC],
            ttl_ms: ttl.as_millis() as u64,
            generation,
        };
        let joined: WireJoined = parse(&self.post("/-/log-join", &join).await?.body)?;
        let mut parts = joined.parts.iter();
        Ok(Membership {
            generation: joined.generation,
            is_owner: !joined.parts.is_empty(),
            is_first: parts.any(|(_, part, _)| *part == LEADER_PARTITION),
        })
    }

    async fn leave(&self, member: &str) -> Result<(), StoreError> {
        let leave = WireLeave {
            group: GROUP,
            member,
        };
        self.post("/-/log-leave", &leave).await.map(drop)
    }

    /// Lists the owners of partitions. Each member owns one unless there are more members than
    /// partitions, so the list is known to be complete only if there are fewer owners.
    async fn members(&self) -> Result<Members, StoreError> {
        let path = format!("/-/log-owners?group={GROUP}");
        let answer = self.get(&path, Duration::ZERO).await?;
        let owners: WireOwners = parse(&answer.body)?;
        let partitions = owners.parts.len();
        let owners = owners.parts.into_iter().map(|(_, _, member, _)| member);
        let mut names: Vec<Name> = owners.map(Name::from).collect();
        names.sort();
        names.dedup();
        Ok(Members { names, partitions })
    }
}

impl ContainmentLog for PlatformStore {
    async fn contained(&self) -> Result<Vec<StoredCause>, StoreError> {
        let records = self.read_newest(CONTAINED_TOPIC).await?;
        let stored = records.items.iter().filter_map(stored_cause::decode);
        Ok(stored.collect())
    }

    async fn write_contained(&self, stored: &StoredCause) -> Result<(), StoreError> {
        let record = stored_cause::encode(stored);
        let appended = self.append(CONTAINED_TOPIC, "", &record).await;
        appended.map(drop)
    }
}

impl LeadershipClaims for PlatformStore {
    async fn has_later_claim(&self, fence: u64) -> Result<bool, StoreError> {
        // A claim's fence is its position plus one, which is the position of the next claim.
        let next = Position::from_u64(fence);
        let from = next.offset;
        let path = format!("/-/log-read?topic={CLAIMS_TOPIC}&part=0&from={from}&wait_ms=0");
        let answer = self.get_from(&path, next, Duration::ZERO).await;
        match answer {
            Ok(answer) => {
                let records = split_records(answer).ok_or(StoreError::Garbled)?;
                Ok(!records.is_empty())
            }
            // Records are compacted away only after later ones have been appended.
            Err(StoreError::Compacted) => Ok(true),
            // The claim may be lost, and its fence is lower than any of the new era.
            Err(StoreError::Rewound) => Ok(true),
            Err(error) => Err(error),
        }
    }

    async fn claim(&self, leader: &str, offset: u64) -> Result<u64, StoreError> {
        let at = Position::from_u64(offset).offset;
        let position = format!("&at={at}");
        let appended = self
            .append(CLAIMS_TOPIC, &position, leader.as_bytes())
            .await?;
        // Fences begin at 1, so that no claim's fence is mistaken for a missing one.
        Ok(appended.to_u64() + 1)
    }
}
