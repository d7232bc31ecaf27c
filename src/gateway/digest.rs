//! The messages between VMs.

use prost::Message;

/// What one VM tells the others.
#[derive(Clone, PartialEq, Message)]
pub(super) struct Digest {
    /// The sender's process.
    #[prost(uint64, tag = "1")]
    pub(super) boot: u64,
    /// Whether the sender is about to leave.
    #[prost(bool, tag = "2")]
    pub(super) is_leaving: bool,
    /// The sender's requests in flight; servers without any are left out.
    #[prost(message, repeated, tag = "3")]
    pub(super) loads: Vec<ServerRequests>,
    /// Whether this message tells the demand at the sender.
    #[prost(bool, tag = "12")]
    pub(super) is_demand: bool,
    /// Grows with each telling of the demand, whose messages share it.
    #[prost(uint32, tag = "14")]
    pub(super) demand_turn: u32,
    /// Whether more of that demand follows in the next message.
    #[prost(bool, tag = "13")]
    pub(super) has_more: bool,
    /// The demand at the sender, told to the VM that gives orders.
    #[prost(message, repeated, tag = "4")]
    pub(super) demands: Vec<WeightsDemand>,
    /// What runners hold, if the sender leads.
    #[prost(message, repeated, tag = "5")]
    pub(super) holdings: Vec<ServerHoldings>,
    /// Crashes with requests aboard that the sender saw lately.
    #[prost(message, repeated, tag = "6")]
    pub(super) crashes: Vec<Crashes>,
    /// The fence under which the sender gives orders; 0 if it gives none.
    #[prost(uint64, tag = "8")]
    pub(super) fence: u64,
    /// Prompts sent to runners since the last message about prompts.
    #[prost(message, repeated, tag = "9")]
    pub(super) prompts: Vec<SentPrompt>,
    /// The sender's availability zone.
    #[prost(string, tag = "10")]
    pub(super) availability_zone: String,
    /// What the sender read of the log, if it follows it closely.
    #[prost(message, optional, tag = "11")]
    pub(super) followed: Option<Followed>,
    /// Whether loads and demands are left out of this message.
    #[prost(bool, tag = "7")]
    pub(super) is_partial: bool,
}

/// What a VM that follows the log closely has read of it.
#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct Followed {
    /// The offset after the last change of the directory that others must know of at once.
    #[prost(uint64, tag = "1")]
    pub(super) directory_news: u64,
    /// The age of the last reading of the directory.
    #[prost(uint32, tag = "2")]
    pub(super) directory_age_ms: u32,
    /// The offset after the last change of the configuration.
    #[prost(uint64, tag = "3")]
    pub(super) configuration_news: u64,
    /// The age of the last reading of the configuration.
    #[prost(uint32, tag = "4")]
    pub(super) configuration_age_ms: u32,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct ServerRequests {
    #[prost(string, tag = "1")]
    pub(super) server: String,
    #[prost(uint32, tag = "2")]
    pub(super) in_flight: u32,
    /// The model that they ask for; empty for plain calls.
    #[prost(string, tag = "3")]
    pub(super) model: String,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct WeightsDemand {
    #[prost(string, tag = "1")]
    pub(super) model: String,
    #[prost(string, optional, tag = "2")]
    pub(super) adapter: Option<String>,
    /// What it takes of runners' time, in microseconds a second.
    #[prost(uint32, tag = "3")]
    pub(super) busy_us_per_s: u32,
    /// Requests in a thousand seconds.
    #[prost(uint32, tag = "5")]
    pub(super) requests_per_1000_s: u32,
    /// Requests that wait for a runner that holds the weights.
    #[prost(uint32, tag = "4")]
    pub(super) waiting: u32,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct ServerHoldings {
    #[prost(string, tag = "1")]
    pub(super) server: String,
    /// When the server's process started, in Unix milliseconds.
    #[prost(uint64, tag = "3")]
    pub(super) started_ms: u64,
    #[prost(message, repeated, tag = "2")]
    pub(super) models: Vec<ModelHolding>,
}

#[derive(Clone, PartialEq, Message)]
pub(super) struct ModelHolding {
    #[prost(string, tag = "1")]
    pub(super) model: String,
    #[prost(uint64, tag = "2")]
    pub(super) version: u64,
    #[prost(string, repeated, tag = "3")]
    pub(super) adapters: Vec<String>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct Crashes {
    #[prost(fixed64, tag = "1")]
    pub(super) fingerprint: u64,
    #[prost(uint32, tag = "2")]
    pub(super) crashes: u32,
}

/// A prompt that the sender has just sent to a runner.
#[derive(Clone, PartialEq, Message)]
pub(super) struct SentPrompt {
    #[prost(string, tag = "1")]
    pub(super) server: String,
    /// How long the runner takes to read it, in microseconds.
    #[prost(uint32, tag = "2")]
    pub(super) read_us: u32,
}
