//! A caller's connection that sends a request as planned and records what comes back.

use super::history::RequestPlan;
use crate::site::HOST;
use compio::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::TcpStream;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long callers wait, as they state it.
pub(super) const DEADLINE: Duration = Duration::from_secs(4);
/// The time limit for the answer, so that it shows which answers come late.
const ANSWER_LIMIT: Duration = Duration::from_secs(7);
/// The time limit for opening a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Into how many pieces a slow body is divided.
const PIECES: usize = 8;
/// The buffer size of one read.
const READ_BYTES: usize = 16 * 1024;
/// The maximum number of headers in a response.
const MAX_HEADERS: usize = 64;

/// What came back for a request.
#[derive(Clone, Debug, Default)]
pub(super) struct Response {
    pub(super) status: Option<u16>,
    pub(super) body: String,
    pub(super) is_complete: bool,
    /// Whether the connection may be used again.
    pub(super) is_kept: bool,
    /// Why nothing more came.
    pub(super) error: Option<String>,
}

/// A connection of a caller.
pub(super) struct CallerConnection {
    stream: TcpStream,
    /// When the last response ended.
    pub(super) idle_since: Option<Instant>,
}

impl CallerConnection {
    pub(super) async fn open(address: SocketAddr) -> io::Result<Self> {
        let connecting = TcpStream::connect(address);
        let stream = compio::time::timeout(CONNECT_LIMIT, connecting).await;
        let stream = stream.map_err(|_elapsed| io::ErrorKind::TimedOut)??;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            idle_since: None,
        })
    }

    /// Whether the VM has not closed the connection as far as the caller can see.
    pub(super) fn is_open(&self) -> bool {
        let socket = SockRef::from(&self.stream);
        let peeked = socket
            .set_nonblocking(true)
            .and_then(|()| socket.peek(&mut [MaybeUninit::uninit()]));
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and reads the response.
    pub(super) async fn exchange(&mut self, id: &str, plan: &RequestPlan) -> Response {
        for (index, piece) in pieces(id, plan).into_iter().enumerate() {
            if index > 0 && plan.piece_pause_ms > 0 {
                compio::time::sleep(Duration::from_millis(plan.piece_pause_ms)).await;
            }
            // What the VM sent before it closed the connection is still read.
            if self.stream.write_all(piece).await.0.is_err() {
                break;
            }
        }
        let mut bytes = Vec::new();
        let until = Instant::now() + ANSWER_LIMIT;
        let mut response = Response::default();
        while !response.is_complete {
            let left = until.saturating_duration_since(Instant::now());
            let reading = self.stream.read(Vec::with_capacity(READ_BYTES));
            match compio::time::timeout(left, reading).await {
                Ok(BufResult(Ok(0), _)) => response.error = Some("closed".to_owned()),
                Ok(BufResult(Ok(_), more)) => {
                    bytes.extend(more);
                    response = parse(&bytes).unwrap_or_default();
                }
                Ok(BufResult(Err(error), _)) => response.error = Some(error.to_string()),
                Err(_elapsed) => response.error = Some("nothing more came".to_owned()),
            }
            if response.error.is_some() {
                break;
            }
        }
        self.idle_since = Some(Instant::now());
        response
    }
}

/// The bytes of a request, in the pieces in which they are sent.
fn pieces(id: &str, plan: &RequestPlan) -> Vec<Vec<u8>> {
    let framing = match plan.is_chunked {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {}", plan.body_bytes),
    };
    // Prompts share their first part only, so that no part seems to crash its servers.
    let model = match plan.kind.is_stream() {
        true => format!(
            "X-Model: m0\r\nX-Token-Usage: 700,280\r\nX-Prompt-Prefix: 5c1e:100,{id}:600\r\n"
        ),
        false => String::new(),
    };
    let head = format!(
        "POST {}it HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\n\
         X-Padding: {}\r\n{model}{framing}\r\n\r\n",
        plan.kind.prefix(),
        DEADLINE.as_millis(),
        "x".repeat(plan.padding_bytes),
    );
    let mut pieces = vec![head.into_bytes()];
    let body = vec![b'x'; plan.body_bytes];
    for part in body.chunks(plan.body_bytes.div_ceil(PIECES).max(1)) {
        let mut piece = part.to_vec();
        if plan.is_chunked {
            piece.splice(0..0, format!("{:x}\r\n", part.len()).into_bytes());
            piece.extend_from_slice(b"\r\n");
        }
        pieces.push(piece);
    }
    if plan.is_chunked {
        pieces.push(b"0\r\n\r\n".to_vec());
    }
    match plan.piece_pause_ms {
        0 => vec![pieces.concat()],
        _ => pieces,
    }
}

/// What the bytes hold of a response; `None` without a whole head.
fn parse(bytes: &[u8]) -> Option<Response> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(length) = head.parse(bytes).ok()? else {
        return None;
    };
    let header = |name: &str| {
        let mut headers = head.headers.iter();
        let header = headers.find(|it| it.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(header.value).ok()
    };
    let rest = &bytes[length..];
    let (body, is_complete) = match header("content-length").and_then(|it| it.parse::<usize>().ok())
    {
        Some(stated) => (rest.to_vec(), rest.len() == stated),
        None => dechunk(rest),
    };
    Some(Response {
        status: head.code,
        body: String::from_utf8_lossy(&body).into_owned(),
        is_complete,
        is_kept: is_complete && header("connection") != Some("close"),
        error: None,
    })
}

/// The decoded part of a chunked body, and whether it ends there.
fn dechunk(mut bytes: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Ok(httparse::Status::Complete((start, size))) = httparse::parse_chunk_size(bytes) {
        let size = size as usize;
        let Some(chunk) = bytes.get(start..start + size + 2) else {
            break;
        };
        if size == 0 {
            return (body, true);
        }
        body.extend_from_slice(&chunk[..size]);
        bytes = &bytes[start + size + 2..];
    }
    (body, false)
}
