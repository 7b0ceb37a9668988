//! Records and forwarded requests, as length-delimited frames over TCP.

use carawayseam_types::{
    BackendName, Digest, EnvironmentId, HostId, Millis, OrganisationId, Refusal, Revision, RouteName, Tier,
    Tokens, UnknownReason, VersionId,
};
use serde::{Deserialize, Serialize};

/// Names a record.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
pub enum RecordKey {
    /// The document of an environment; its body is the YAML text.
    #[display("configuration of {_0}")]
    Configuration(EnvironmentId),
    /// A move of a backend; its body is the move's record as JSON.
    #[display("move of {_1} in {_0}")]
    #[serde(rename = "Move")]
    Rollout(EnvironmentId, BackendName),
}

/// A record's newest known state, without its body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The record.
    pub key: RecordKey,
    /// Its revision; the highest wins everywhere.
    pub revision: Revision,
    /// The digest of its body.
    #[serde(with = "crate::digest")]
    pub digest: Digest,
}

/// A record with its body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its key, revision and digest.
    pub head: Head,
    /// Its body.
    pub body: String,
}

impl Record {
    /// Makes a record, digesting its body.
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
    /// Asks for all heads: [`StreamReply::Heads`].
    Heads,
    /// Asks for a record: [`StreamReply::Record`].
    Pull(RecordKey),
    /// Asks to serve a request: [`ForwardFrame`]s follow. Closing the stream cancels it.
    Forward(Box<ForwardedRequest>),
}

/// The answer to a request that is not forwarded work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamReply {
    /// All heads known.
    Heads(Vec<Head>),
    /// The record, if it is known.
    Record(Option<Record>),
}

/// A request handed to the host that owns the engines for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardedRequest {
    /// The entry host that keeps the caller's connection.
    pub from: HostId,
    /// The environment.
    pub environment: EnvironmentId,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The tier.
    pub tier: Tier,
    /// The route.
    pub route: RouteName,
    /// The model.
    pub backend: BackendName,
    /// The version picked by the first host.
    pub version: VersionId,
    /// The whole prompt.
    pub prompt: String,
    /// The longest answer allowed.
    pub max_output: Tokens,
    /// Tokens that the caller already has.
    pub delivered: Tokens,
    /// How long the whole answer may still take; spans survive clocks that differ.
    pub remaining: Millis,
}

/// A frame of a forwarded request's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardFrame {
    /// The request still waits; sent every second, so that silence means a lost connection.
    Waiting,
    /// An attempt began on an engine of this version.
    Started {
        /// The version.
        version: VersionId,
    },
    /// What became of an attempt, encoded by [`crate::encode`] for the host that picked its version.
    Observed(Vec<u8>),
    /// Some tokens, from `offset` on.
    Tokens {
        /// The position of the first token in the answer.
        offset: Tokens,
        /// The number of tokens.
        count: Tokens,
        /// Their text.
        text: String,
    },
    /// The explicit end.
    End {
        /// The answer's whole length.
        tokens: Tokens,
    },
    /// Not run, finally.
    Refused(Refusal),
    /// Begun and given up, finally.
    Abandoned {
        /// Why.
        reason: UnknownReason,
        /// When the caller may ask again.
        retry_after: Option<Millis>,
    },
}
