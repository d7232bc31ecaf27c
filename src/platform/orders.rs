//! Orders to model runners and the runners' reports, in the platform's format.

use crate::client::{Connection, SendError};
use crate::gateway::{Order, OrderOutcome, RunnerControl, RunnerReport, Weights};
use crate::http::{Body, read_body};
use crate::inventory::Name;
use crate::platform::entries::{WireHolding, holdings, parse_start};
use crate::platform::object::Object;
use crate::platform::requests::is_leaving;
use bytes::Bytes;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::http::response;
use hyper::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

const REPORT_PATH: &str = "/-/report";
const ORDER_PATH: &str = "/-/order";
const EXPECT_SERVER: HeaderName = HeaderName::from_static("x-expect-instance");
/// How long a runner may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a runner may take to respond. Runners respond within milliseconds, and an order
/// without a response can be sent again, since a runner executes only the order that it expects.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// The largest accepted report of a runner, in bytes.
const MAX_REPORT_BYTES: usize = 1024 * 1024;

/// A client of the control interface of the platform's model runners.
#[derive(Debug)]
pub(crate) struct PlatformRunners;

#[derive(Serialize)]
struct WireOrder<'a> {
    operation: &'static str,
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    /// The number of orders that the runner must have accepted before; it refuses the order if
    /// its own count differs.
    #[serde(skip_serializing_if = "Option::is_none")]
    precondition: Option<u64>,
    holder: &'a str,
    fence_token: u64,
}

#[derive(Deserialize)]
struct WireReport {
    #[serde(default)]
    models: Vec<Object<WireHolding>>,
    #[serde(default)]
    busy: bool,
    /// The number of orders accepted since the runner started.
    #[serde(default)]
    sequence: u64,
    /// When the process started, in Unix milliseconds.
    #[serde(default)]
    born: Option<u64>,
    /// Adapters that are being loaded, as MODEL/NAME@VERSION.
    #[serde(default)]
    coming: Vec<String>,
}

/// Parses MODEL/NAME@VERSION, without the version.
fn loading_adapter(text: &str) -> Option<Weights> {
    let (name, _version) = text.split_once('@').unwrap_or((text, ""));
    let (model, adapter) = name.split_once('/')?;
    Some(Weights {
        model: model.into(),
        adapter: Some(Name::from(adapter)),
    })
}

/// Decodes a runner's report.
pub(super) fn decode_report(body: &[u8]) -> Result<RunnerReport, serde_json::Error> {
    let Object(wire) = serde_json::from_slice::<Object<WireReport>>(body)?;
    Ok(RunnerReport {
        is_leaving: false,
        holdings: holdings(wire.models),
        is_busy: wire.busy,
        orders: wire.sequence,
        started_ms: parse_start(wire.born)?,
        loading_adapters: wire
            .coming
            .iter()
            .filter_map(|it| loading_adapter(it))
            .collect(),
    })
}

/// Sends one request over a new connection and reads the response.
async fn call(
    address: SocketAddr,
    request: Request<Body>,
) -> Result<(response::Parts, Bytes), SendError> {
    let exchange = async {
        let mut connection =
            Connection::open_abort_on_drop(address, CONNECT_TIMEOUT, RESPONSE_TIMEOUT).await?;
        let response = connection.send(request).await?;
        let (head, body) = response.into_parts();
        let body = read_body(body, MAX_REPORT_BYTES).await;
        let body = body.map_err(|_error| SendError::MaybeSent)?;
        Ok((head, body))
    };
    compio::time::timeout(CONNECT_TIMEOUT + RESPONSE_TIMEOUT, exchange)
        .await
        .unwrap_or(Err(SendError::MaybeSent))
}

fn host_header(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string()).expect("an address is a header value")
}

impl RunnerControl for PlatformRunners {
    async fn report(&self, address: SocketAddr, server: &str) -> Option<RunnerReport> {
        let request = Request::get(REPORT_PATH)
            .header(header::HOST, host_header(address))
            .header(EXPECT_SERVER, server)
            .body(Body::empty())
            .ok()?;
        let (head, body) = match call(address, request).await {
            Ok(answer) => answer,
            Err(error) => {
                tracing::info!(server, %address, ?error, "runner's report not read");
                return None;
            }
        };
        if head.status != StatusCode::OK {
            tracing::info!(server, %address, status = %head.status, "runner refused its report");
            return None;
        }
        match decode_report(&body) {
            Ok(report) => Some(RunnerReport {
                is_leaving: is_leaving(&head.headers),
                ..report
            }),
            Err(error) => {
                tracing::warn!(%address, %error, "runner's report unreadable");
                None
            }
        }
    }

    async fn order(&self, address: SocketAddr, order: &Order<'_>) -> OrderOutcome {
        let wire = WireOrder {
            operation: if order.is_load {
                "loading"
            } else {
                "unloading"
            },
            model: &order.weights.model,
            adapter: order.weights.adapter.as_deref(),
            precondition: order.expected_orders,
            holder: order.leader,
            fence_token: order.fence,
        };
        let body = serde_json::to_vec(&wire).expect("an order serializes");
        let request = Request::post(ORDER_PATH)
            .header(header::HOST, host_header(address))
            .header(header::CONTENT_TYPE, "application/json")
            .header(EXPECT_SERVER, order.server)
            .body(Body::full(body));
        let Ok(request) = request else {
            return OrderOutcome::Invalid;
        };
        match call(address, request).await.map(|(head, _)| head.status) {
            Ok(StatusCode::ACCEPTED) => OrderOutcome::Accepted,
            Ok(StatusCode::OK) => OrderOutcome::Held,
            Ok(StatusCode::CONFLICT) => OrderOutcome::Busy,
            Ok(StatusCode::PRECONDITION_FAILED) => OrderOutcome::Fenced,
            Ok(StatusCode::BAD_REQUEST | StatusCode::MISDIRECTED_REQUEST) => OrderOutcome::Invalid,
            Ok(_) | Err(SendError::MaybeSent) => OrderOutcome::Unanswered,
            Err(SendError::NotSent) => OrderOutcome::NotSent,
        }
    }
}
