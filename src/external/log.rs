//! Client of the platform's append-only log, over HTTP and JSON.
//!
//! `POST /streams/{stream}/records` appends the body as one record and returns
//! `{"offset": n}`. `GET /streams/{stream}/records?from=N&wait_ms=W` is a long poll: it returns a
//! page once a record at `N` exists or `W` has passed. With `limit=L` a page has at most `L`
//! records.

use crate::external::limited_body::read_limited;
use hyper::StatusCode;
use prometheus_client::metrics::counter::Counter;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of an append, after which its outcome is unknown.
const APPEND_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How much longer than its requested wait the response to a read may take to begin.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_000);
/// How long the response to a read may pause.
const MAX_STALL: Duration = Duration::from_millis(1_000);
/// The largest page, in bytes.
const MAX_PAGE_BYTES: usize = 32 * 1024 * 1024;
/// The largest response to an append, in bytes.
const MAX_APPENDED_BYTES: usize = 64 * 1024;

/// Why a call to the log failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LogError {
    /// The log is over its rate limit and did not carry out the call.
    Busy,
    /// The call was not carried out: the log refused it, or no connection was made.
    Refused,
    /// No valid answer came; an append may have taken effect.
    Unanswered,
}

/// One record of a stream.
#[derive(Debug, Deserialize)]
pub(crate) struct LogRecord {
    /// Offset of the record in its stream.
    pub(crate) offset: u64,
    /// Time of the append by the log's clock, in milliseconds since the epoch.
    pub(crate) at_ms: u64,
    /// The record, as it was appended.
    pub(crate) data: Box<RawValue>,
}

/// Records of a stream in order, with the bounds of what the log holds.
#[derive(Debug, Deserialize)]
pub(crate) struct Page {
    /// The first offset that the log still retains.
    pub(crate) first: u64,
    /// The offset that the next appended record will get.
    pub(crate) end: u64,
    /// The records from the requested offset on, as many as fit a page.
    pub(crate) records: Vec<LogRecord>,
}

/// An append-only log of named streams.
pub(crate) trait LogService: 'static {
    /// Appends one record and returns its offset.
    fn append(&self, stream: &str, record: Vec<u8>) -> impl Future<Output = Result<u64, LogError>>;

    /// Reads a page of records from an offset on, waiting up to `wait` for the first.
    fn read(
        &self,
        stream: &str,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, LogError>>;

    /// Reads the record at an offset; `None` if the log does not hold it.
    fn read_one(
        &self,
        stream: &str,
        offset: u64,
    ) -> impl Future<Output = Result<Option<LogRecord>, LogError>>;

    /// Replaces the pooled connections, which may be dead without an error.
    fn reset_connections(&self);
}

/// The log over HTTP.
#[derive(Debug)]
pub(crate) struct HttpLog {
    address: SocketAddr,
    client: RefCell<cyper::Client>,
    bytes: Counter,
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: u64,
}

impl HttpLog {
    /// Creates a client of the log at `address` that adds the bytes of bodies to `bytes`.
    pub(crate) fn new(address: SocketAddr, bytes: Counter) -> Self {
        Self {
            address,
            client: RefCell::new(new_client()),
            bytes,
        }
    }

    fn url(&self, stream: &str) -> String {
        format!("http://{}/streams/{stream}/records", self.address)
    }

    fn client(&self) -> cyper::Client {
        self.client.borrow().clone()
    }
}

fn new_client() -> cyper::Client {
    cyper::Client::new().expect("creating an HTTP client without TLS does not fail")
}

/// Classifies a call that got no answer. If no connection was made, the log received nothing.
fn send_error(error: &cyper::Error) -> LogError {
    match error {
        cyper::Error::HyperClient(error) if error.is_connect() => LogError::Refused,
        _ => LogError::Unanswered,
    }
}

/// Whether a status says that the log did nothing; others may come from an intermediary.
fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}

impl LogService for HttpLog {
    fn reset_connections(&self) {
        *self.client.borrow_mut() = new_client();
    }

    async fn append(&self, stream: &str, record: Vec<u8>) -> Result<u64, LogError> {
        self.bytes.inc_by(record.len() as u64);
        let call = async {
            let response = self
                .client()
                .post(self.url(stream))
                .map_err(|_bad_url| LogError::Refused)?
                .body(record)
                .send()
                .await
                .map_err(|error| send_error(&error))?;
            if response.status() == StatusCode::TOO_MANY_REQUESTS {
                return Err(LogError::Busy);
            }
            if is_refusal(response.status()) {
                return Err(LogError::Refused);
            }
            if !response.status().is_success() {
                return Err(LogError::Unanswered);
            }
            let body = read_limited(response, MAX_APPENDED_BYTES, APPEND_TIMEOUT, |_| {}).await;
            let body = body.ok_or(LogError::Unanswered)?;
            let appended: Result<AppendResponse, _> = serde_json::from_slice(&body);
            appended
                .map(|appended| appended.offset)
                .map_err(|_malformed| LogError::Unanswered)
        };
        match compio::time::timeout(APPEND_TIMEOUT, call).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => {
                self.reset_connections();
                Err(LogError::Unanswered)
            }
        }
    }

    async fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Page, LogError> {
        let wait_ms = wait.as_millis();
        let url = format!("{}?from={from}&wait_ms={wait_ms}", self.url(stream));
        self.read_page(url, wait + READ_TIMEOUT_MARGIN).await
    }

    async fn read_one(&self, stream: &str, offset: u64) -> Result<Option<LogRecord>, LogError> {
        let url = format!("{}?from={offset}&wait_ms=0&limit=1", self.url(stream));
        let page = self.read_page(url, READ_TIMEOUT_MARGIN).await?;
        let mut records = page.records.into_iter();
        Ok(records.next().filter(|record| record.offset == offset))
    }
}

impl HttpLog {
    /// Reads a page. `timeout` limits how long the response takes to begin; how long the whole page
    /// takes depends on its size.
    async fn read_page(&self, url: String, timeout: Duration) -> Result<Page, LogError> {
        let head = async {
            let request = self.client().get(url);
            let request = request.map_err(|_error| LogError::Unanswered)?;
            let response = request.send().await;
            response.map_err(|_error| LogError::Unanswered)
        };
        let read = match compio::time::timeout(timeout, head).await {
            Ok(response) => self.read_body(response?).await?,
            Err(_elapsed) => None,
        };
        let Some(body) = read else {
            self.reset_connections();
            return Err(LogError::Unanswered);
        };
        serde_json::from_slice(&body).map_err(|_malformed| LogError::Unanswered)
    }

    /// Reads the body of a response; `None` if it does not arrive whole.
    async fn read_body(&self, response: cyper::Response) -> Result<Option<Vec<u8>>, LogError> {
        if !response.status().is_success() {
            return Err(LogError::Refused);
        }
        let note_bytes = |bytes| {
            self.bytes.inc_by(bytes);
        };
        Ok(read_limited(response, MAX_PAGE_BYTES, MAX_STALL, note_bytes).await)
    }
}
