//! A caller of the platform, who notes exactly what came back.

use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::BodyExt;
use hyper::Request;
use rattanjunction::{Body, Connection};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an answer may take before the caller gives up.
const PATIENCE: Duration = Duration::from_secs(20);

/// A request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Its id.
    pub id: String,
    /// The method.
    pub method: &'static str,
    /// The path with its query.
    pub path: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body; with `is_chunked` sent in chunks.
    pub body: Vec<u8>,
    /// Whether the body is sent in chunks.
    pub is_chunked: bool,
    /// When the caller leaves, whatever has come.
    pub disconnect_after: Option<Duration>,
}

impl CallerRequest {
    /// A request without a body.
    pub fn get(path: &str) -> Self {
        Self {
            id: format!("{:016x}", rand::random::<u64>()),
            method: "GET",
            path: path.to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            is_chunked: false,
            disconnect_after: None,
        }
    }

    /// A request with a body.
    pub fn post(path: &str, body: &str) -> Self {
        Self {
            method: "POST",
            body: body.as_bytes().to_vec(),
            ..Self::get(path)
        }
    }

    /// A request for a model.
    pub fn model(path: &str, model: &str) -> Self {
        Self::post(path, "write")
            .with("X-Model", model)
            .with("X-Token-Usage", "700,280")
            .with("X-Prompt-Prefix", "5c1e:100,91bd:600")
    }

    /// With one more header.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }
}

/// What came back.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// The status, if a head came.
    pub status: Option<u16>,
    /// Headers, by name in lowercase.
    pub headers: HashMap<String, String>,
    /// The body as far as it came.
    pub body: String,
    /// Whether it ended as a whole answer does.
    pub is_complete: bool,
    /// When each piece of the body came, since the request.
    pub chunk_times: Vec<Duration>,
    /// How long it all took.
    pub duration: Duration,
}

impl Answer {
    /// A header's value, or nothing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Whether a status promises that the request did not run and never will.
    pub fn promises_not_run(&self) -> bool {
        matches!(self.status, Some(429 | 503 | 408 | 421))
    }
}

/// A caller with kept connections.
#[derive(Debug, Default)]
pub struct Caller {
    kept: RefCell<HashMap<SocketAddr, Connection>>,
}

impl Caller {
    /// Sends a request and reads what comes back.
    pub async fn ask(&self, address: SocketAddr, ask: &CallerRequest) -> Answer {
        let mut answer = Answer::default();
        let began = Instant::now();
        let patience = ask.disconnect_after.unwrap_or(PATIENCE);
        // Without an end the answer tells by what is missing.
        let _ = compio::time::timeout(patience, self.exchange(address, ask, &mut answer)).await;
        answer.duration = began.elapsed();
        answer
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        ask: &CallerRequest,
        answer: &mut Answer,
    ) -> Option<()> {
        let began = Instant::now();
        let kept = self.kept.borrow_mut().remove(&address);
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(address, CONNECT_TIMEOUT).await.ok()?,
        };
        let response = connection.send(request(ask)).await.ok()?;
        answer.status = Some(response.status().as_u16());
        for (name, value) in response.headers() {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            answer.headers.insert(name.to_string(), value);
        }
        let mut body = response.into_body().into_data_stream();
        while let Some(piece) = body.next().await {
            let piece: Bytes = piece.ok()?;
            answer.chunk_times.push(began.elapsed());
            answer.body.push_str(&String::from_utf8_lossy(&piece));
        }
        answer.is_complete = true;
        if answer.header("connection") != "close" {
            self.kept.borrow_mut().insert(address, connection);
        }
        Some(())
    }
}

fn request(ask: &CallerRequest) -> Request<Body> {
    let body = if ask.is_chunked {
        let (mut sender, body) = Body::channel(ask.body.len());
        for chunk in ask.body.chunks(3) {
            let chunk = Bytes::copy_from_slice(chunk);
            sender.try_send(Ok(chunk)).expect("the channel has room");
        }
        body
    } else if ask.body.is_empty() {
        Body::empty()
    } else {
        Body::full(ask.body.clone())
    };
    let mut request = Request::builder()
        .method(ask.method)
        .uri(&ask.path)
        .header("Host", super::HOST)
        .header("X-Attempt-Id", &ask.id)
        .header("X-Deadline-Ms", "4000");
    for (name, value) in &ask.headers {
        request = request.header(*name, value);
    }
    request.body(body).expect("the parts are valid")
}
