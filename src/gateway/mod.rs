//! The serving role: one process on every VM between callers and backend servers.
//!
//! Everything here speaks in the types of this folder. Callers, backend servers, the
//! log and the directory are met through the small traits of [`outside`]; what decides
//! (routing, retries, placement) is plain code without a network.

mod ask;
mod backlog;
mod budget;
mod call;
mod ceiling;
mod chain;
mod choose;
mod configuration;
mod demand;
mod digest;
mod events;
mod exchange;
mod failure;
mod fleet;
mod following;
mod gossip;
mod grant;
mod journal;
mod leading;
mod line_fit;
mod metrics;
mod news;
mod ordering;
mod outside;
mod patience;
mod peer;
mod peers;
mod planning;
mod receipt;
mod relay;
mod routing;
mod server;
mod settings;
mod speeds;
mod spread;
mod state;
mod streaming;
mod suspects;
mod swaps;
mod targets;
mod telling;
#[cfg(test)]
mod tests;
mod tracked;
mod turns;
mod view;
mod watch;
mod zone_loads;

pub(crate) use ask::{Ask, Generation};
pub(crate) use configuration::{
    Configuration, Engine, Limits, Model, Route, RouteKind, Service, Target,
};
pub(crate) use fleet::{Entry, Holding, ServerState};
pub(crate) use metrics::Metrics;
pub(crate) use outside::{
    Changes, Claims, ConfigSource, Directory, Group, Malformed, Members, Membership, Order,
    OrderOutcome, Protocol, Refusal, Reply, RunnerControl, RunnerReport, SendOptions, ServerChange,
    StoreError, Weights,
};
pub(crate) use server::serve;
pub(crate) use settings::{Bounds, Settings};
