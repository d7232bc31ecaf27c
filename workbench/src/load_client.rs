//! A caller: sends requests and tells how each ended.

use crate::answer::{Answer, artifact_key};
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{Method, Request, Response, StatusCode, header};
use rattanjunction::{Body, Connection, Pool, ResponseBody, SendError};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a caller waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A request for a completion.
#[derive(Clone, Debug)]
pub struct Question {
    /// The model, or `model/adapter`.
    pub model: String,
    /// What the user says.
    pub prompt: String,
    /// Tokens at most.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The caller's API key.
    pub api_key: Option<String>,
    /// The deadline, if the request states one.
    pub deadline_ms: Option<u64>,
    /// Fields that only engines take, for asking one directly.
    pub version: Option<String>,
    /// The request's id in journals, if the caller names one.
    pub id: Option<String>,
}

impl Question {
    /// A streamed question without an API key.
    pub fn new(model: &str, prompt: &str, max_tokens: u32) -> Self {
        Self {
            model: model.to_owned(),
            prompt: prompt.to_owned(),
            max_tokens,
            stream: true,
            api_key: None,
            deadline_ms: None,
            version: None,
            id: None,
        }
    }

    /// The messages of the request.
    pub fn messages(&self) -> Value {
        json!([{"role": "user", "content": self.prompt}])
    }

    /// The answer that an engine with these versions gives.
    pub fn expected(&self, version: &str, adapter_version: Option<&str>) -> Answer {
        let key = match (adapter_version, self.model.rsplit_once('/')) {
            (Some(adapter_version), Some((base, adapter))) => {
                artifact_key(base, version, Some((adapter, adapter_version)))
            }
            _ => artifact_key(&self.model, version, None),
        };
        Answer::new(&key, &self.messages(), Some(self.max_tokens))
    }

    fn body(&self) -> Bytes {
        let mut body = json!({
            "model": self.model,
            "messages": self.messages(),
            "max_tokens": self.max_tokens,
            "stream": self.stream,
        });
        if let Some(version) = &self.version {
            body["version"] = json!(version);
        }
        body.to_string().into()
    }
}

/// How a request ended, as its caller sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The answer is whole and marked so.
    Complete(String),
    /// An error answer, in place of or within a stream.
    Error(ErrorAnswer),
    /// The connection broke without a word.
    Cut(String),
    /// A clean end without the mark of completeness: must never happen.
    Truncated(String),
    /// No connection could be had.
    NoConnection,
}

/// An error answer.
#[derive(Clone, Debug, PartialEq)]
pub struct ErrorAnswer {
    /// The HTTP status; 200 within a stream.
    pub status: u16,
    /// The code.
    pub code: String,
    /// Whether the request ran: `no`, `yes` or `unknown`.
    pub ran: String,
    /// When to come back, in seconds.
    pub retry_after_s: Option<u64>,
    /// The message.
    pub message: String,
}

/// A request's end with its times.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// How it ended.
    pub end: End,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
}

impl Outcome {
    /// The whole answer, if there is one.
    pub fn text(&self) -> Option<&str> {
        match &self.end {
            End::Complete(text) => Some(text),
            _ => None,
        }
    }
}

/// Asks over connections that are used again.
#[derive(Debug, Default)]
pub struct Asker {
    pool: Pool,
}

struct Progress {
    started: Instant,
    last: Instant,
    first_token: Option<Duration>,
    gaps: Vec<Duration>,
    text: String,
}

impl Asker {
    /// Sends a question and reads the answer to its end.
    pub async fn ask(&self, address: SocketAddr, question: &Question) -> Outcome {
        let started = Instant::now();
        let mut progress = Progress {
            started,
            last: started,
            first_token: None,
            gaps: Vec::new(),
            text: String::new(),
        };
        let end = self.exchange(address, question, &mut progress).await;
        Outcome {
            end,
            first_token: progress.first_token,
            total: started.elapsed(),
            gaps: progress.gaps,
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        question: &Question,
        progress: &mut Progress,
    ) -> End {
        let pooled = self.pool.take(address);
        let connection = match pooled {
            Some(connection) => Ok(connection),
            None => Connection::open(address, CONNECT_TIMEOUT).await,
        };
        let Ok(mut connection) = connection else {
            return End::NoConnection;
        };
        let response = match connection.send(build(address, question)).await {
            Ok(response) => response,
            Err(SendError::NotSent) => return End::NoConnection,
            Err(SendError::MaybeSent) => return End::Cut(String::new()),
        };
        let closes = response
            .headers()
            .get(header::CONNECTION)
            .is_some_and(|value| value == "close");
        let end = if response.status() != StatusCode::OK {
            read_error(response).await
        } else if question.stream {
            read_stream(response, progress).await
        } else {
            read_whole(response).await
        };
        let is_read = matches!(end, End::Complete(_))
            || matches!(&end, End::Error(error) if error.status != 200);
        if is_read && !closes {
            self.pool.put(connection);
        }
        end
    }
}

fn build(address: SocketAddr, question: &Question) -> Request<Body> {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri("/v1/chat/completions")
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(key) = &question.api_key {
        builder = builder.header(header::AUTHORIZATION, format!("Bearer {key}"));
    }
    if let Some(id) = &question.id {
        builder = builder.header("x-request-id", id);
    }
    if let Some(deadline_ms) = question.deadline_ms {
        builder = builder.header("x-deadline-ms", deadline_ms);
    }
    builder
        .body(Body::full(question.body()))
        .expect("the request is well formed")
}

async fn read_error(response: Response<ResponseBody>) -> End {
    let status = response.status().as_u16();
    let retry_after_s = response
        .headers()
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    match response.into_body().collect().await {
        Ok(body) => {
            let value = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
            End::Error(error_answer(&value, status, retry_after_s))
        }
        Err(_) => End::Cut(String::new()),
    }
}

fn error_answer(value: &Value, status: u16, retry_after_s: Option<u64>) -> ErrorAnswer {
    let text = |field: &str| {
        value["error"][field]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    };
    ErrorAnswer {
        status,
        code: text("code"),
        ran: text("ran"),
        retry_after_s,
        message: text("message"),
    }
}

async fn read_whole(response: Response<ResponseBody>) -> End {
    let Ok(body) = response.into_body().collect().await else {
        return End::Cut(String::new());
    };
    let value: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
    match value["choices"][0]["message"]["content"].as_str() {
        Some(text) => End::Complete(text.to_owned()),
        None => End::Truncated(value.to_string()),
    }
}

async fn read_stream(response: Response<ResponseBody>, progress: &mut Progress) -> End {
    let mut body = response.into_body();
    let mut buffer = BytesMut::new();
    let mut complete = false;
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    buffer.extend_from_slice(&data);
                }
            }
            Some(Err(_)) => return End::Cut(std::mem::take(&mut progress.text)),
            None if complete => return End::Complete(std::mem::take(&mut progress.text)),
            None => return End::Truncated(std::mem::take(&mut progress.text)),
        }
        while let Some(end) = buffer.windows(2).position(|window| window == b"\n\n") {
            let event = buffer.split_to(end + 2);
            let Some(data) = event.strip_prefix(b"data: ") else {
                continue;
            };
            if data.starts_with(b"[DONE]") {
                complete = true;
                continue;
            }
            let value: Value = serde_json::from_slice(data).unwrap_or(Value::Null);
            if value["error"].is_object() {
                return End::Error(error_answer(&value, 200, None));
            }
            if let Some(token) = value["choices"][0]["delta"]["content"].as_str() {
                progress.note(token);
            }
        }
    }
}

impl Progress {
    fn note(&mut self, token: &str) {
        let now = Instant::now();
        match self.first_token {
            None => self.first_token = Some(now - self.started),
            Some(_) => self.gaps.push(now - self.last),
        }
        self.last = now;
        self.text.push_str(token);
    }
}

/// An answer of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub enum CallEnd {
    /// The service's answer, or an error answer, with its status.
    Answered(u16, Value),
    /// The connection broke, or none could be had.
    Broken,
}

/// Calls a plain service through a VM, on a connection of its own.
pub async fn call(address: SocketAddr, path: &str, key: Option<&str>, body: &Value) -> CallEnd {
    call_as(address, path, key, body, None).await
}

/// Calls a plain service under a request id of the caller's.
pub async fn call_as(
    address: SocketAddr,
    path: &str,
    key: Option<&str>,
    body: &Value,
    id: Option<&str>,
) -> CallEnd {
    let Ok(mut connection) = Connection::open(address, CONNECT_TIMEOUT).await else {
        return CallEnd::Broken;
    };
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(key) = key {
        builder = builder.header("idempotency-key", key);
    }
    if let Some(id) = id {
        builder = builder.header("x-request-id", id);
    }
    let request = builder
        .body(Body::full(body.to_string()))
        .expect("the request is well formed");
    let Ok(response) = connection.send(request).await else {
        return CallEnd::Broken;
    };
    let status = response.status().as_u16();
    match response.into_body().collect().await {
        Ok(body) => {
            let value = serde_json::from_slice(&body.to_bytes()).unwrap_or(Value::Null);
            CallEnd::Answered(status, value)
        }
        Err(_) => CallEnd::Broken,
    }
}
