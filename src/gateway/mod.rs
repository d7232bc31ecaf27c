//! The serving role: one process on every VM that relays requests from callers to backend servers.
//!
//! The code uses the types of this module only. Callers, backend servers, the log and the directory
//! are accessed through the small traits in [`external`]. The decisions on routing, retries and
//! placement are made in code that does no network access, so that it can be tested without any.

mod attempt;
mod backlog;
mod begun_parts;
mod boot_time;
mod budget;
mod call;
mod caller_request;
mod change_history;
mod choose;
mod coming_copy;
mod configuration;
mod configuration_check;
mod containment_keeper;
mod crash_check;
mod crash_containment;
mod crash_evidence;
mod crash_message;
mod crash_news;
mod crash_report;
mod crash_state;
mod demand;
mod demand_rate;
mod directory_updates;
mod document_history;
mod election;
mod events;
mod exchange;
mod external;
mod failure;
mod first_read;
mod fleet;
mod forward_relay;
mod forward_targets;
mod forwarding;
mod gossip;
mod gossip_message;
mod gossip_receiver;
mod gossip_sender;
mod gossip_targets;
mod grant;
mod group_members;
mod journal;
mod leader_view;
mod line_budget;
mod line_fit;
mod load_limit;
mod log_clock;
mod log_follower;
mod metrics;
mod order_dispatch;
mod order_queue;
mod outbox;
mod packed_document;
mod peer;
mod peer_loads;
mod peer_search;
mod peers;
mod placement;
mod plain_calls;
mod plain_load;
mod position;
mod predicted_wait;
mod prompt_part;
mod reachability;
mod read_deadline;
mod read_delays;
mod read_turn;
mod relay;
mod removal;
mod repeated_news;
mod report_pace;
mod report_schedule;
mod routing;
mod runner_load;
mod runner_state;
mod sending;
mod server;
mod server_limits;
mod server_probe;
mod server_speed;
mod settings;
mod sighting_message;
mod software_versions;
mod source_selector;
mod speeds;
mod start_knowledge;
mod state;
mod state_monitor;
mod stream_gossip;
mod stream_message;
mod stream_resumption;
mod stream_versions;
mod streaming;
mod sync_client;
mod sync_message;
mod sync_server;
#[cfg(test)]
mod tests;
mod transfer_slots;
mod unconfirmed_alarm;
mod version_search;
mod view;
mod waiting;
mod watch;
mod zone_loads;

pub(crate) use caller_request::{CallerRequest, Generation};
pub(crate) use configuration::{
    Configuration, Document, Engine, Limits, Model, Route, RouteKind, Service, Target,
};
pub(crate) use crash_report::CrashCause;
pub(crate) use external::{
    Changes, ConfigSource, ContainmentLog, Directory, Group, LeadershipClaims, Malformed, Members,
    Membership, Order, OrderOutcome, Protocol, Refusal, Reply, RunnerControl, RunnerReport,
    SendOptions, ServerChange, StoreError, StoredCause, Weights,
};
pub(crate) use fleet::{Entry, Holding, ServerState, UNKNOWN_START_MS};
pub(crate) use metrics::Metrics;
pub(crate) use position::Position;
pub(crate) use prompt_part::PromptPart;
pub(crate) use server::serve;
pub(crate) use server_speed::StatedLoad;
pub(crate) use settings::{Bounds, Settings};
