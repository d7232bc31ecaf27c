//! A serving system for many models on fewer accelerators.
//!
//! The processes of this crate route requests from callers to backend servers. They agree on
//! shared state by the order of records in the platform's log; docs/DESIGN.md explains why.

mod accept_queue;
mod admission;
mod answer_identity;
mod append_pace;
mod arguments;
mod batch_queue;
mod buffered_stream;
mod callers;
mod check;
pub mod cli;
mod client;
mod client_input;
mod client_memory;
mod completion;
mod config;
mod connection_end;
mod control;
mod csv_import;
mod demand;
mod dry_run;
mod engine;
mod entry;
mod error;
mod events;
mod external;
mod fleet;
mod frame_codec;
mod gateway;
mod head_progress;
mod http;
mod idempotency;
mod idle_timer;
mod inventory;
mod membership;
mod metrics;
mod open_requests;
mod operator;
mod pause_detector;
mod peer;
mod placement;
mod plain_service;
mod planner;
mod platform;
mod process_signals;
mod quarantine;
mod received_request;
mod recent_decisions;
mod reference;
mod refusals;
mod replay;
mod replica;
mod request_end;
mod request_headers;
mod response_body;
mod response_fault;
mod response_progress;
mod retry;
mod router;
mod server;
mod server_sockets;
mod service_registry;
mod short_id;
mod shutdown;
mod signal;
mod snapshot_writer;
mod socket_limits;
mod sse;
mod stream;
mod trace;
mod upload;
mod upload_stream;
mod wire;
mod write_stall;

pub use client::{Connection, Pool, SendError};
pub use config::Config;
pub use error::{ERROR_RESPONSES, ErrorResponse, Failure, Fault, Kind, Ran};
pub use events::{EVENTS, Event, EventRow};
pub use http::{Body, ReadError, json_response, listen, read_body, serve as serve_http};
pub use inventory::{
    Adapter, AdmissionRule, BackendServer, Caller, Duty, Inventory, Model, MovePolicy, Name,
    PlacementRule, PlainService, Priority, Problem, RoutingRule, Rules,
};
pub use reference::{FIELDS, FieldRow};
pub use replay::{CommandVerdict, Replay};
pub use response_body::ResponseBody;
pub use response_fault::ResponseFault;
pub use server::serve;
pub use shutdown::{Shutdown, WorkGuard};
