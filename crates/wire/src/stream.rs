//! Records and forwarded requests, sent as length-delimited frames over TCP.

use carawayseam_types::{
    BackendName, Digest, EnvironmentId, HostId, Millis, OrganisationId, Refusal, Revision, RouteName, Tier,
    Tokens, UnknownReason, VersionId,
};
use serde::{Deserialize, Serialize};

/// The key of a record.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
pub enum RecordKey {
    /// The document of an environment; the record's body is the YAML text.
    #[display("configuration of {_0}")]
    Configuration(EnvironmentId),
    /// A rollout of a backend; the record's body is the rollout's record as JSON.
    #[display("move of {_1} in {_0}")]
    #[serde(rename = "Move")]
    Rollout(EnvironmentId, BackendName),
}

/// The newest known revision of a record, without its body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The key of the record.
    pub key: RecordKey,
    /// The revision of the record; every process keeps the highest one.
    pub revision: Revision,
    /// The digest of the record's body.
    #[serde(with = "crate::digest")]
    pub digest: Digest,
}

/// A record with its body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The record's key, revision and digest.
    pub head: Head,
    /// The record's body.
    pub body: String,
}

impl Record {
    /// Creates a record and computes the digest of its body.
    #[must_use]
    pub fn new(key: RecordKey, revision: Revision, body: String) -> Self {
        let digest = Digest::of(body.as_bytes());
        Self {
            head: Head {
                key,
                revision,
                digest,
            },
            body,
        }
    }
}

/// The first frame on a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamRequest {
    /// Requests all heads; the reply is [`StreamReply::Heads`].
    Heads,
    /// Requests a record; the reply is [`StreamReply::Record`].
    Pull(RecordKey),
    /// Forwards a caller's request; [`ForwardFrame`]s follow. Closing the stream cancels the request.
    Forward(Box<ForwardedRequest>),
}

/// The reply to a [`StreamRequest`] other than [`StreamRequest::Forward`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamReply {
    /// All known heads.
    Heads(Vec<Head>),
    /// The record, or `None` if it is unknown.
    Record(Option<Record>),
}

/// A request that is forwarded to the host that owns its engine pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The entry host that holds the caller's connection.
    pub from: HostId,
    /// The environment.
    pub environment: EnvironmentId,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The tier.
    pub tier: Tier,
    /// The route.
    pub route: RouteName,
    /// The backend that serves the model.
    pub backend: BackendName,
    /// The version selected by the forwarding host.
    pub version: VersionId,
    /// The complete prompt.
    pub prompt: String,
    /// The maximum length of the response.
    pub max_output: Tokens,
    /// The number of tokens already delivered to the caller.
    pub delivered: Tokens,
    /// The remaining time for the complete response; a duration does not depend on synchronized clocks.
    pub remaining: Millis,
}

/// A frame of the response to a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardFrame {
    /// The request is still queued. Sent every second, so that a missing frame indicates a lost connection.
    Waiting,
    /// An attempt began on an engine of this version.
    Started {
        /// The version.
        version: VersionId,
    },
    /// The outcome of an attempt, encoded by [`crate::encode`] for the host that selected its version.
    Observed(Vec<u8>),
    /// Tokens of the response, starting at `offset`.
    Tokens {
        /// The position of the first token in the response.
        offset: Tokens,
        /// The number of tokens.
        count: Tokens,
        /// The text of the tokens.
        text: String,
    },
    /// The explicit end of the response.
    End {
        /// The length of the complete response.
        tokens: Tokens,
    },
    /// The request was refused and will not be run.
    Refused(Refusal),
    /// The request was started and then abandoned.
    Abandoned {
        /// Why.
        reason: UnknownReason,
        /// The delay after which the caller may retry.
        retry_after: Option<Millis>,
    },
}
