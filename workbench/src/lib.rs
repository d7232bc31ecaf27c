//! Stand-ins for everything around rattanjunction, with load and experiments.
//!
//! Each stand-in keeps a journal of what it was asked and did, so that the
//! system's promises can be checked from the outside.

pub mod account;
pub mod answer;
pub mod calls;
pub mod capacity;
pub mod cluster;
pub mod crowd;
pub mod demo;
pub mod engine;
pub mod experiment;
pub mod http_json;
pub mod journal;
pub mod keyed_calls;
pub mod load_client;
pub mod overhead;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod report;
pub mod sample_inventory;
pub mod service;
pub mod site;
pub mod soak;
pub mod status;
pub mod traffic;
pub mod usage;
