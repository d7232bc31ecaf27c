//! A stand-in of a plain service, such as receipts or bookings.

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

/// The service's stand-in: each call it runs gets the next number.
#[derive(Debug)]
pub struct PlainStandIn {
    name: String,
    runs: Cell<u64>,
    delay: Duration,
    journal: Journal,
}

impl PlainStandIn {
    /// A service that takes `delay` for a call.
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
        // Noted at the start: from here on the call has run.
        self.journal
            .note("run", json!({"path": path, "request": id, "body": body}));
        self.runs.set(self.runs.get() + 1);
        let number = self.runs.get();
        compio::time::sleep(self.delay).await;
        http_json::ok(&json!({"service": self.name, "number": number, "body": body}))
    }
}

/// The value of a request's header.
pub fn header(request: &Request<Incoming>, name: &str) -> String {
    request
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
