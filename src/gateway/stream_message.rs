//! The parts of gossip messages that concern the software versions of streams.

use crate::gateway::stream_versions::StreamKey;
use crate::gateway::version_search::VersionAnswer;
use crate::inventory::Name;
use prost::Message;

/// At which software version a stream began.
#[derive(Clone, PartialEq, Message)]
pub(super) struct BegunStream {
    /// The key of the stream.
    #[prost(fixed64, tag = "1")]
    pub(super) stream: u64,
    #[prost(string, tag = "2")]
    pub(super) version: String,
}

impl BegunStream {
    pub(super) fn of(key: StreamKey, version: &Name) -> Self {
        Self {
            stream: key.0,
            version: version.to_string(),
        }
    }
}

/// A question for the software version of a stream.
#[derive(Clone, PartialEq, Message)]
pub(super) struct VersionQuery {
    /// The key of the stream.
    #[prost(fixed64, tag = "1")]
    pub(super) stream: u64,
    /// The service that the stream belongs to.
    #[prost(string, tag = "2")]
    pub(super) service: String,
}

/// The answer to a [`VersionQuery`].
#[derive(Clone, PartialEq, Message)]
pub(super) struct VersionReply {
    /// The key of the stream.
    #[prost(fixed64, tag = "1")]
    pub(super) stream: u64,
    /// The version at which the stream began, if the sender was told.
    #[prost(string, optional, tag = "2")]
    pub(super) version: Option<String>,
    /// The version at which it began if no VM was told of it, as far as the sender can say.
    #[prost(string, optional, tag = "3")]
    pub(super) untold: Option<String>,
    /// Whether the sender has not known the servers for as long as streams last.
    #[prost(bool, tag = "4")]
    pub(super) is_young: bool,
    /// The version of the service, if the sender knows that streams have begun at no other one.
    #[prost(string, optional, tag = "5")]
    pub(super) only: Option<String>,
}

/// A version of a service at which streams may begin.
#[derive(Clone, PartialEq, Message)]
pub(super) struct OpenVersion {
    #[prost(string, tag = "1")]
    pub(super) service: String,
    #[prost(string, tag = "2")]
    pub(super) version: String,
}

impl VersionReply {
    /// Encodes the answer to the question for a stream.
    pub(super) fn of(stream: u64, answer: &VersionAnswer) -> Self {
        Self {
            stream,
            version: answer.version.as_ref().map(Name::to_string),
            only: answer.only.as_ref().map(Name::to_string),
            untold: answer.untold.as_ref().map(Name::to_string),
            is_young: answer.is_young,
        }
    }

    /// Decodes the answer.
    pub(super) fn answer(&self) -> VersionAnswer {
        VersionAnswer {
            version: self.version.as_deref().map(Name::from),
            only: self.only.as_deref().map(Name::from),
            untold: self.untold.as_deref().map(Name::from),
            is_young: self.is_young,
        }
    }
}
