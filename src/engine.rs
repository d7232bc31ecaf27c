//! Client for the HTTP/JSON interface of engines: state reports, and orders to load or unload.
//!
//! An engine is the model-serving process of a runner.

use crate::client::{Connection, Pool};
use crate::http::{Body, read_body};
use hyper::{Method, Request, StatusCode, header};
use prometheus_client::metrics::counter::Counter;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time limit for connecting to an engine, and for its answer to a report or an order.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The largest report accepted, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// The state that an engine reports.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Report {
    /// Identifies this run of the engine; a restarted engine reports another value.
    pub(crate) boot: u64,
    /// Number of running requests; the figure may lag behind the engine's actual state.
    pub(crate) running: u32,
    /// Number of queued requests; the figure may lag behind the engine's actual state.
    pub(crate) waiting: u32,
    /// Artifacts that are in memory now.
    pub(crate) artifacts: Vec<ReportedArtifact>,
}

impl Report {
    /// Finds an artifact by its name, as in [`ReportedArtifact::name`].
    pub(crate) fn find(&self, name: &str) -> Option<&ReportedArtifact> {
        self.artifacts.iter().find(|held| held.name == name)
    }
}

/// An artifact in an engine's memory.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ReportedArtifact {
    /// `model@version` or `model/adapter@version`.
    pub(crate) name: String,
    /// Memory that the artifact occupies, in MiB.
    pub(crate) mib: u64,
    /// Whether the artifact is being loaded, ready or being unloaded.
    pub(crate) state: ReportedState,
}

/// The loading state of an artifact in an engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ReportedState {
    /// The artifact is being loaded.
    Loading,
    /// The artifact is loaded and serves requests.
    Ready,
    /// The artifact finishes its running requests before it is unloaded.
    Unloading,
}

/// An order to an engine, as sent over HTTP.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Order<'a> {
    /// `load`, `unload` or `fence`.
    pub(crate) order: &'a str,
    /// `model@version` or `model/adapter@version`; empty for `fence`.
    pub(crate) artifact: &'a str,
    /// Memory to reserve, in MiB.
    pub(crate) mib: u64,
    /// The fencing token: engines reject orders with a lower one than they have accepted.
    pub(crate) fence: u64,
}

/// The result of sending an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OrderAnswer {
    /// The engine has executed the order or is executing it.
    Accepted,
    /// The engine has already accepted a higher fencing token.
    Fenced,
    /// The engine cannot execute the order, for example because it lacks memory.
    Refused,
    /// The order was not sent.
    NotSent,
    /// No answer was received; the order may have arrived or may still arrive.
    Unanswered,
}

/// Sends report requests and orders to engines.
#[derive(Debug)]
pub(crate) struct EngineClient {
    pool: Rc<Pool>,
    report_bytes: Counter,
}

impl EngineClient {
    /// Creates a client with its own connection pool; `report_bytes` counts the bytes of reports.
    pub(crate) fn new(report_bytes: Counter) -> Self {
        Self {
            pool: Rc::default(),
            report_bytes,
        }
    }

    /// Requests an engine's report; returns `None` if there is no valid answer in time.
    pub(crate) async fn report(&self, address: SocketAddr) -> Option<Report> {
        let call = async {
            let mut connection = match self.pool.take(address) {
                Some(connection) => connection,
                None => Connection::open(address, CALL_TIMEOUT).await.ok()?,
            };
            let request = build_request(Method::GET, address, "/report", Body::empty());
            let response = connection.send(request).await.ok()?;
            if response.status() != StatusCode::OK {
                return None;
            }
            let body = read_body(response.into_body(), MAX_ANSWER_BYTES)
                .await
                .ok()?;
            self.pool.put(connection);
            self.report_bytes.inc_by(body.len() as u64);
            serde_json::from_slice(&body).ok()
        };
        match compio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(report) => report,
            Err(_elapsed) => {
                self.pool.clear(address);
                None
            }
        }
    }

    /// Sends an order once, over a new connection.
    pub(crate) async fn order(&self, address: SocketAddr, order: &Order<'_>) -> OrderAnswer {
        let Ok(mut connection) = Connection::open(address, CALL_TIMEOUT).await else {
            return OrderAnswer::NotSent;
        };
        let body = serde_json::to_vec(order).expect("orders serialize");
        let request = build_request(Method::POST, address, "/orders", Body::full(body));
        match compio::time::timeout(CALL_TIMEOUT, connection.send(request)).await {
            Ok(Ok(response)) => match response.status() {
                StatusCode::OK | StatusCode::ACCEPTED => OrderAnswer::Accepted,
                StatusCode::CONFLICT => OrderAnswer::Fenced,
                _ => OrderAnswer::Refused,
            },
            Ok(Err(crate::client::SendError::NotSent)) => OrderAnswer::NotSent,
            Ok(Err(crate::client::SendError::MaybeSent)) | Err(_) => OrderAnswer::Unanswered,
        }
    }
}

/// Builds an HTTP request with a JSON content type to a backend server.
pub(crate) fn build_request(
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Body,
) -> Request<Body> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(body)
        .expect("paths are constants or come from parsed requests")
}
