//! Small helpers for HTTP/JSON, on both sides.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use rattanjunction::{Body, Shutdown, json_response, listen, serve_http};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a call of the workbench may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves HTTP at an address until the process ends.
///
/// # Panics
///
/// Panics when the address is taken.
pub async fn serve<H, F>(address: SocketAddr, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    let listener = listen(address)
        .await
        .unwrap_or_else(|error| panic!("{address} cannot be bound: {error}"));
    serve_http(listener, Rc::new(Shutdown::default()), handler).await;
}

/// Reads a request's body whole.
pub async fn collect_body(request: Request<Incoming>) -> Option<Bytes> {
    Some(request.into_body().collect().await.ok()?.to_bytes())
}

/// Reads a request's body as JSON.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    serde_json::from_slice(&collect_body(request).await?).ok()
}

/// A JSON answer with status 200.
pub fn ok(value: &impl Serialize) -> Response<Body> {
    json_response(StatusCode::OK, value)
}

/// An answer with a status and nothing else to say.
pub fn status(status: StatusCode) -> Response<Body> {
    json_response(status, &serde_json::json!({}))
}

/// The value of a query parameter.
pub fn query<T: std::str::FromStr>(request: &Request<Incoming>, name: &str) -> Option<T> {
    request.uri().query()?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then(|| value.parse().ok())?
    })
}

/// Gets JSON from another process; `None` when it does not answer.
pub async fn get(address: SocketAddr, path: &str) -> Option<Value> {
    let call = async {
        let client = cyper::Client::new().ok()?;
        let response = client
            .get(format!("http://{address}{path}"))
            .ok()?
            .send()
            .await
            .ok()?;
        response.json().await.ok()
    };
    compio::time::timeout(CALL_TIMEOUT, call).await.ok()?
}

/// Posts JSON to another process; its status and answer, or `None` when none came.
pub async fn post(
    address: SocketAddr,
    path: &str,
    body: &impl Serialize,
) -> Option<(StatusCode, Value)> {
    let call = async {
        let client = cyper::Client::new().ok()?;
        let response = client
            .post(format!("http://{address}{path}"))
            .ok()?
            .json(body)
            .ok()?
            .send()
            .await
            .ok()?;
        let status = response.status();
        Some((status, response.json().await.ok()?))
    };
    compio::time::timeout(CALL_TIMEOUT, call).await.ok()?
}
