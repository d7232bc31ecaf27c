//! The platform's store: a log with keyed topics and groups, and who enters what there.

use crate::client::{Connection, SendError};
use crate::gateway::{
    Changes, Claims, ConfigSource, Configuration, Directory, Group, Members, Membership, Metrics,
    ServerChange, StoreError,
};
use crate::http::{Body, read_body};
use crate::inventory::Name;
use crate::platform::configuration;
use crate::platform::directory::server_changes;
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The calls, as metrics name them.
const CALLS: [&str; 6] = [
    "/-/log-newest",
    "/-/log-read",
    "/-/log-append",
    "/-/log-join",
    "/-/log-leave",
    "/-/log-owners",
];
/// The topic that the operator writes.
const OPERATOR_TOPIC: &str = "keyed.op";
/// The key of the configuration in it.
const CONFIGURATION_KEY: &[u8] = b"config";
/// The topic in which backend servers enter themselves.
const SERVERS_TOPIC: &str = "keyed.servers";
/// The topic whose partitions are dealt out among VMs.
const MEMBERS_TOPIC: &str = "members";
/// The topic of claims.
const CLAIMS_TOPIC: &str = "claims";
/// The group of all VMs.
const GROUP: &str = "rattanjunction";
/// The partition whose owner is to lead.
const FIRST_PARTITION: u64 = 0;

/// How long the store may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long an answer may take beyond the wait that was asked for. A store that is slow by
/// the worst factor seen in trials answers in a third of a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// The largest answer: the operator's limit on a configuration is far below it.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// Kilobytes that one read asks for.
const READ_KB: u32 = 1_024;
/// Idle connections kept.
const MAX_IDLE: usize = 4;

/// A client of the platform's store.
#[derive(Debug)]
pub(crate) struct PlatformStore {
    address: SocketAddr,
    idle: RefCell<Vec<Connection>>,
    metrics: Rc<Metrics>,
    /// Whether servers tell when they started.
    tells_start: Cell<bool>,
}

#[derive(Deserialize)]
struct WireNewest {
    items: Vec<WireItem>,
    /// Whether more keys follow.
    #[serde(default)]
    more_pages: bool,
    /// The offset after the last record.
    end: u64,
}

#[derive(Deserialize)]
struct WireItem {
    key: String,
    /// In base64.
    value: String,
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
    /// The member's partitions: topic, partition, committed offset.
    parts: Vec<(String, u64, u64)>,
}

#[derive(Deserialize)]
struct WireOwners {
    /// All partitions: topic, partition, member, committed offset.
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

/// A record of a keyed topic; without a value the key is dropped.
pub(super) struct KeyedRecord {
    pub(super) key: Bytes,
    pub(super) value: Bytes,
}

impl PlatformStore {
    /// A client of the store at `address`.
    pub(crate) fn new(address: SocketAddr, metrics: Rc<Metrics>) -> Self {
        Self {
            address,
            idle: RefCell::default(),
            metrics,
            tells_start: Cell::new(false),
        }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let began = Instant::now();
        let answer = self.call_untold(method, path, body, wait).await;
        let outcome = match &answer {
            Ok((status, _)) if status.is_success() => "answered",
            Ok(_) | Err(StoreError::Refused) => "refused",
            Err(_) => "unanswered",
        };
        let call = CALLS.iter().find(|call| path.starts_with(**call));
        let call = call.copied().unwrap_or("other");
        self.metrics.note_store_call(call, outcome, began.elapsed());
        answer
    }

    async fn call_untold(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let exchange = async {
            let kept = self.take();
            if let Some(connection) = kept {
                match self.exchange(connection, &method, path, &body).await {
                    // It was closed before the request was written.
                    Err(SendError::NotSent) => {}
                    outcome => return outcome,
                }
            }
            let limit = ANSWER_TIMEOUT + wait;
            let opened =
                Connection::open_abort_on_drop(self.address, CONNECT_TIMEOUT, limit).await?;
            self.exchange(opened, &method, path, &body).await
        };
        let outcome = compio::time::timeout(ANSWER_TIMEOUT + wait, exchange);
        match outcome.await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(SendError::NotSent)) => Err(StoreError::Refused),
            Ok(Err(SendError::MaybeSent)) => Err(StoreError::Unanswered),
            Err(_elapsed) => {
                // The others may have gone silent with this one.
                self.idle.borrow_mut().clear();
                Err(StoreError::Unanswered)
            }
        }
    }

    fn take(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|connection| !connection.is_closed());
        let ready = idle.iter().position(Connection::is_ready)?;
        Some(idle.swap_remove(ready))
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        method: &Method,
        path: &str,
        body: &Bytes,
    ) -> Result<(StatusCode, Bytes), SendError> {
        let host = HeaderValue::from_str(&self.address.to_string());
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, host.expect("an address is a header value"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Body::full(body.clone()))
            .expect("the parts are valid");
        let response = connection.send(request).await?;
        let status = response.status();
        let body = read_body(response.into_body(), MAX_ANSWER_BYTES).await;
        let body = body.map_err(|_cut| SendError::MaybeSent)?;
        let mut idle = self.idle.borrow_mut();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
        Ok((status, body))
    }

    async fn get(&self, path: &str, wait: Duration) -> Result<Bytes, StoreError> {
        let answer = self.call(Method::GET, path, Bytes::new(), wait).await?;
        accept(answer)
    }

    async fn post(&self, path: &str, body: &impl Serialize) -> Result<Bytes, StoreError> {
        let body = serde_json::to_vec(body).expect("requests serialize");
        let answer = self
            .call(Method::POST, path, body.into(), Duration::ZERO)
            .await?;
        accept(answer)
    }

    /// The newest record of each key, and the offset to read on from.
    async fn newest_of(&self, topic: &str) -> Result<Changes<KeyedRecord>, StoreError> {
        let mut records = Vec::new();
        let mut next = None;
        let mut after = String::new();
        loop {
            let path = format!("/-/log-newest?topic={topic}&part=0{after}");
            let page: WireNewest = parse(&self.get(&path, Duration::ZERO).await?)?;
            // Pages are no snapshot: what changes after the first is read again.
            let end = *next.get_or_insert(page.end);
            if let Some(last) = page.items.last() {
                after = format!("&after={}", last.key);
            }
            for item in page.items {
                let value = BASE64_STANDARD.decode(&item.value).map_err(garbled)?;
                records.push(KeyedRecord {
                    key: item.key.into(),
                    value: value.into(),
                });
            }
            if !page.more_pages {
                return Ok(Changes {
                    items: records,
                    next: end,
                });
            }
        }
    }

    /// The records of a keyed topic from an offset on.
    async fn records_of(
        &self,
        topic: &str,
        from: u64,
        wait: Duration,
    ) -> Result<Changes<KeyedRecord>, StoreError> {
        let wait_ms = wait.as_millis();
        let path = format!(
            "/-/log-read?topic={topic}&part=0&from={from}&max_kb={READ_KB}&wait_ms={wait_ms}"
        );
        let answer = self.get(&path, wait).await?;
        let records = split_records(answer).ok_or(StoreError::Garbled)?;
        let next = from + records.len() as u64;
        let items: Option<Vec<KeyedRecord>> = records.into_iter().map(keyed).collect();
        Ok(Changes {
            items: items.ok_or(StoreError::Garbled)?,
            next,
        })
    }
}

fn garbled(error: impl std::fmt::Display) -> StoreError {
    tracing::warn!(%error, "store's answer unreadable");
    StoreError::Garbled
}

fn parse<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, StoreError> {
    serde_json::from_slice(bytes).map_err(garbled)
}

/// The body of an answer that says yes.
fn accept((status, body): (StatusCode, Bytes)) -> Result<Bytes, StoreError> {
    match status {
        StatusCode::OK => Ok(body),
        StatusCode::GONE => Err(StoreError::Compacted),
        StatusCode::PRECONDITION_FAILED => {
            let end: WireEnd = parse(&body)?;
            Err(StoreError::Conflict(end.end))
        }
        status if status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE => {
            Err(StoreError::Refused)
        }
        _ => Err(StoreError::Unanswered),
    }
}

/// The records after the end and the first retained offset, eight bytes each.
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

/// A record's key, after the byte with its length, and its value.
fn keyed(mut record: Bytes) -> Option<KeyedRecord> {
    let length = usize::from(record.try_get_u8().ok()?);
    if record.len() < length {
        return None;
    }
    let key = record.split_to(length);
    Some(KeyedRecord { key, value: record })
}

fn configurations(records: Changes<KeyedRecord>) -> Changes<Configuration> {
    let of_key = records
        .items
        .iter()
        .filter(|record| record.key == CONFIGURATION_KEY && !record.value.is_empty());
    let items = of_key.filter_map(|record| match configuration::decode(&record.value) {
        Ok(configuration) => Some(configuration),
        Err(error) => {
            tracing::error!(%error, "configuration unreadable; the present one stays in force");
            None
        }
    });
    Changes {
        items: items.collect(),
        next: records.next,
    }
}

impl ConfigSource for PlatformStore {
    async fn newest(&self) -> Result<Changes<Configuration>, StoreError> {
        self.newest_of(OPERATOR_TOPIC).await.map(configurations)
    }

    async fn changes(
        &self,
        from: u64,
        wait: Duration,
    ) -> Result<Changes<Configuration>, StoreError> {
        let records = self.records_of(OPERATOR_TOPIC, from, wait).await;
        records.map(configurations)
    }
}

impl Directory for PlatformStore {
    async fn entries(&self) -> Result<Changes<ServerChange>, StoreError> {
        let records = self.newest_of(SERVERS_TOPIC).await?;
        Ok(server_changes(records, &self.tells_start))
    }

    async fn changes_since(&self, from: u64) -> Result<Changes<ServerChange>, StoreError> {
        let records = self.records_of(SERVERS_TOPIC, from, Duration::ZERO).await;
        Ok(server_changes(records?, &self.tells_start))
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
        let joined: WireJoined = parse(&self.post("/-/log-join", &join).await?)?;
        let mut parts = joined.parts.iter();
        Ok(Membership {
            generation: joined.generation,
            is_first: parts.any(|(_, part, _)| *part == FIRST_PARTITION),
        })
    }

    async fn leave(&self, member: &str) -> Result<(), StoreError> {
        let leave = WireLeave {
            group: GROUP,
            member,
        };
        self.post("/-/log-leave", &leave).await.map(drop)
    }

    /// The owners of partitions: each member has one unless there are more members.
    async fn members(&self) -> Result<Members, StoreError> {
        let path = format!("/-/log-owners?group={GROUP}");
        let answer = self.get(&path, Duration::ZERO).await?;
        let owners: WireOwners = parse(&answer)?;
        let partitions = owners.parts.len();
        let owners = owners.parts.into_iter().map(|(_, _, member, _)| member);
        let mut names: Vec<Name> = owners.map(Name::from).collect();
        names.sort();
        names.dedup();
        let is_complete = names.len() < partitions;
        Ok(Members { names, is_complete })
    }
}

impl Claims for PlatformStore {
    async fn has_later_claim(&self, fence: u64) -> Result<bool, StoreError> {
        // A claim's fence is the offset of the next one.
        let path = format!("/-/log-read?topic={CLAIMS_TOPIC}&part=0&from={fence}&wait_ms=0");
        let answer = self.get(&path, Duration::ZERO).await;
        match answer {
            Ok(answer) => {
                let records = split_records(answer).ok_or(StoreError::Garbled)?;
                Ok(!records.is_empty())
            }
            // Records are forgotten only after later ones were written.
            Err(StoreError::Compacted) => Ok(true),
            Err(error) => Err(error),
        }
    }

    async fn claim(&self, holder: &str, place: u64) -> Result<u64, StoreError> {
        let mut record = BytesMut::new();
        record.put_u32(holder.len() as u32);
        record.put_slice(holder.as_bytes());
        let path = format!("/-/log-append?topic={CLAIMS_TOPIC}&part=0&at={place}");
        let answer = self
            .call(Method::POST, &path, record.freeze(), Duration::ZERO)
            .await?;
        let appended: WireAppended = parse(&accept(answer)?)?;
        // Fences begin at 1, so that none is taken for "no fence".
        Ok(appended.offset + 1)
    }
}
