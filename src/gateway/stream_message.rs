//! The parts of gossip messages that concern the software versions of streams.

use crate::gateway::software_versions::CandidateVersions;
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
    /// The versions at which it can have begun if it was not told to the sender.
    #[prost(string, repeated, tag = "3")]
    pub(super) candidates: Vec<String>,
    /// Whether there may be further candidates.
    #[prost(bool, tag = "4")]
    pub(super) is_incomplete: bool,
}

impl VersionReply {
    /// Encodes the answer to the question for a stream.
    pub(super) fn of(stream: u64, answer: &VersionAnswer) -> Self {
        let candidates = answer.candidates.versions.iter();
        Self {
            stream,
            version: answer.version.as_ref().map(Name::to_string),
            candidates: candidates.map(Name::to_string).collect(),
            is_incomplete: answer.candidates.is_incomplete,
        }
    }

    /// Decodes the answer.
    pub(super) fn answer(&self) -> VersionAnswer {
        VersionAnswer {
            version: self.version.as_deref().map(Name::from),
            candidates: CandidateVersions {
                versions: self
                    .candidates
                    .iter()
                    .map(|it| it.as_str().into())
                    .collect(),
                is_incomplete: self.is_incomplete,
            },
        }
    }
}
