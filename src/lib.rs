//! A serving system for many models on fewer accelerators.
//!
//! The processes of this crate stand between callers and backend servers. What
//! they must agree on they take from the order of records in the platform's
//! log; docs/DESIGN.md tells why.

mod admission;
mod arguments;
mod batch_queue;
mod callers;
mod check;
pub mod cli;
mod client;
mod completion;
mod config;
mod control;
mod demand;
mod dry_run;
mod engine;
mod entry;
mod error;
mod events;
mod fleet;
mod gateway;
mod http;
mod idempotency;
mod inventory;
mod keeper;
mod kernel;
mod membership;
mod metrics;
mod operator;
mod outside;
mod pace;
mod pause;
mod peer;
mod placement;
mod plain;
mod planner;
mod platform;
mod quarantine;
mod recent;
mod reference;
mod register;
mod replay;
mod replica;
mod retry;
mod router;
mod sender;
mod server;
mod short_id;
mod shutdown;
mod signal;
mod sse;
mod stall;
mod stream;
mod trace;
mod wire;

pub use client::{Connection, Pool, SendError};
pub use config::Config;
pub use error::{ANSWERS, Answer, Failure, Fault, Kind, Ran};
pub use events::{EVENTS, Event, EventRow};
pub use http::{Body, ReadError, json_response, listen, read_body, serve as serve_http};
pub use inventory::{
    Adapter, AdmissionRule, BackendServer, Caller, Duty, Inventory, Model, MovePolicy, Name,
    PlacementRule, PlainService, Priority, Problem, RoutingRule, Rules,
};
pub use reference::{FIELDS, FieldRow};
pub use replay::{Judged, Replay};
pub use server::serve;
pub use shutdown::{OpenGuard, Shutdown};
