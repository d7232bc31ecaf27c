//! A caller of the platform that records exactly what it receives.

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use hyper::Request;
use rattanjunction::{Body, Connection};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The time limit for a request and its whole answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The id sent in `X-Attempt-Id`.
    pub id: String,
    /// The HTTP method.
    pub method: &'static str,
    /// The path and query.
    pub path: String,
    /// Headers besides those that every request has.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the body is sent with chunked transfer encoding.
    pub is_chunked: bool,
    /// How long the caller says that it waits, in milliseconds.
    pub deadline_ms: u64,
    /// When the caller disconnects, even with an incomplete answer.
    pub disconnect_after: Option<Duration>,
}

impl CallerRequest {
    /// A `GET` request without a body.
    pub fn get(path: &str) -> Self {
        Self {
            id: format!("{:016x}", rand::random::<u64>()),
            method: "GET",
            path: path.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            is_chunked: false,
            deadline_ms: 4_000,
            disconnect_after: None,
        }
    }

    /// A `POST` request with a body.
    pub fn post(path: &str, body: &str) -> Self {
        Self {
            method: "POST",
            body: body.as_bytes().to_vec(),
            ..Self::get(path)
        }
    }

    /// A `POST` request for `model`, given as `model` or `model/adapter`, with an estimate of its
    /// tokens and the prefix of its prompt.
    pub fn model(path: &str, model: &str) -> Self {
        Self::post(path, "write")
            .with("X-Model", model)
            .with("X-Token-Usage", "700,280")
            .with("X-Prompt-Prefix", "5c1e:100,91bd:600")
    }

    /// Adds a header.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }
}

/// What a caller received for a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status, if the response head was received.
    pub status: Option<u16>,
    /// Headers by lowercase name.
    pub headers: HashMap<String, String>,
    /// The received part of the body.
    pub body: String,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
    /// When each chunk of the body was received, counted from the start of the request.
    pub chunk_times: Vec<Duration>,
    /// The time from the start of the request until the answer ended or was given up.
    pub duration: Duration,
}

impl Answer {
    /// The value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Whether the status guarantees that the request did not run and never will.
    pub fn promises_not_run(&self) -> bool {
        matches!(self.status, Some(429 | 503 | 408 | 421))
    }
}

/// A caller that keeps its connections open for later requests.
#[derive(Debug, Default)]
pub struct Caller {
    idle_connections: RefCell<HashMap<SocketAddr, Connection>>,
}

impl Caller {
    /// Sends a request and reads the answer until its end or the time limit.
    pub async fn request(&self, address: SocketAddr, request: &CallerRequest) -> Answer {
        let mut answer = Answer::default();
        let began = Instant::now();
        let timeout = request.disconnect_after.unwrap_or(REQUEST_TIMEOUT);
        // The fields of the answer show how far the exchange came.
        let _ = compio::time::timeout(timeout, self.exchange(address, request, &mut answer)).await;
        answer.duration = began.elapsed();
        answer
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: &CallerRequest,
        answer: &mut Answer,
    ) -> Option<()> {
        let began = Instant::now();
        let idle = self.idle_connections.borrow_mut().remove(&address);
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::open(address, CONNECT_TIMEOUT).await.ok()?,
        };
        let response = connection.send(http_request(request)).await.ok()?;
        answer.status = Some(response.status().as_u16());
        for (name, value) in response.headers() {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            answer.headers.insert(name.to_string(), value);
        }
        let mut body = response.into_body().into_data_stream();
        while let Some(chunk) = body.next().await {
            let chunk: Bytes = chunk.ok()?;
            answer.chunk_times.push(began.elapsed());
            answer.body.push_str(&String::from_utf8_lossy(&chunk));
        }
        answer.is_complete = true;
        if answer.header("connection") != "close" {
            self.idle_connections
                .borrow_mut()
                .insert(address, connection);
        }
        Some(())
    }
}

fn http_request(request: &CallerRequest) -> Request<Body> {
    let body = if request.is_chunked {
        let (mut sender, body) = Body::channel(request.body.len());
        for chunk in request.body.chunks(3) {
            let chunk = Bytes::copy_from_slice(chunk);
            sender.try_send(Ok(chunk)).expect("the channel has room");
        }
        body
    } else if request.body.is_empty() {
        Body::empty()
    } else {
        Body::full(request.body.clone())
    };
    let mut builder = Request::builder()
        .method(request.method)
        .uri(&request.path)
        .header("Host", super::HOST)
        .header("X-Attempt-Id", &request.id)
        .header("X-Deadline-Ms", request.deadline_ms);
    for (name, value) in &request.headers {
        builder = builder.header(*name, value);
    }
    builder.body(body).expect("the parts are valid")
}
