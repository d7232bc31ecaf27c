//! A stand-in for a plain service, such as receipts or bookings.

use crate::http_json;
use crate::journal::Journal;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use rattanjunction::Body;
use serde_json::{Value, json};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// A stand-in for a plain service that numbers the calls it runs.
#[derive(Debug)]
pub struct PlainStandIn {
    name: String,
    runs: Cell<u64>,
    delay: Duration,
    journal: Journal,
}

impl PlainStandIn {
    /// Creates a service that takes `delay` to run a call and records each in the journal.
    pub fn new(name: &str, delay: Duration, journal: Option<&Path>) -> Self {
        Self {
            name: name.to_owned(),
            runs: Cell::new(0),
            delay,
            journal: Journal::open(journal),
        }
    }

    /// Serves until the process ends.
    pub async fn serve(self: Rc<Self>, address: SocketAddr) {
        http_json::serve(address, move |request| self.clone().handle(request)).await;
    }

    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Response<Body> {
        if request.uri().path() == "/journal" {
            return http_json::ok(&self.journal.lines());
        }
        if request.method() == Method::GET {
            return http_json::ok(&json!({"service": self.name, "path": request.uri().path()}));
        }
        let path = request.uri().path().to_owned();
        let id = header(&request, "x-request-id");
        let body: Value = http_json::read_json(request).await.unwrap_or(Value::Null);
        // Recorded before the delay: a call counts as run as soon as it starts, even if its answer
        // is lost.
        self.journal
            .note("run", json!({"path": path, "request": id, "body": body}));
        self.runs.set(self.runs.get() + 1);
        let number = self.runs.get();
        compio::time::sleep(self.delay).await;
        http_json::ok(&json!({"service": self.name, "number": number, "body": body}))
    }
}

/// The value of a request header, or an empty string.
pub fn header(request: &Request<Incoming>, name: &str) -> String {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
