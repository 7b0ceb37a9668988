//! The API of a model engine: token streams, load reports, cache events and orders.

use carawayseam_types::{AttemptId, BackendName, Digest, EngineId, FencingToken, HostId, Tokens, VersionId};
use serde::{Deserialize, Serialize};

/// `POST` [`GenerateRequest`] returns server-sent events; the data of each is a [`Frame`].
pub const GENERATE_PATH: &str = "/v1/generate";
/// `POST` [`CancelRequest`] returns status 200, also for an unknown attempt.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// `GET` returns a [`LoadReport`], which may be out of date.
pub const LOAD_PATH: &str = "/v1/load";
/// `GET ?after=` returns the [`CacheEvents`] after a sequence number.
pub const CACHE_EVENTS_PATH: &str = "/v1/cache-events";
/// `POST` [`Order`] returns [`EngineState`], or status 409 if the engine checks fencing tokens and
/// this one is stale.
pub const ORDER_PATH: &str = "/v1/order";
/// `GET` returns [`EngineState`].
pub const STATE_PATH: &str = "/v1/state";
/// `POST` [`KvExportRequest`] returns [`KvExport`], or status 404.
pub const KV_EXPORT_PATH: &str = "/v1/kv-export";

/// Length of the prompt prefix that prefix caches are keyed by.
pub const PREFIX_BYTES: usize = 1_024;
/// Bytes of text counted as one token, in estimates and in the stand-ins.
pub const BYTES_PER_TOKEN: usize = 4;

/// Returns the digest of the first [`PREFIX_BYTES`] of a prompt, which identifies it in cache events.
#[must_use]
pub fn prefix_digest(prompt: &str) -> Digest {
    let end = prompt.len().min(PREFIX_BYTES);
    Digest::of(&prompt.as_bytes()[..end])
}

/// Estimates the length of a text in tokens.
#[must_use]
pub const fn estimate_tokens(text: &str) -> Tokens {
    Tokens(text.len().div_ceil(BYTES_PER_TOKEN) as u32)
}

/// Identifies an attempt across all hosts and their restarts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptRef {
    /// The host that dispatched the attempt.
    pub host: HostId,
    /// The host's incarnation.
    pub incarnation: u64,
    /// The id of the attempt, unique within that incarnation of the host.
    pub attempt: AttemptId,
}

/// A request to generate tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The attempt; each frame repeats its id.
    pub attempt: AttemptRef,
    /// The model.
    pub model: BackendName,
    /// The version that must serve the request; an engine with another version responds with status 409.
    pub version: VersionId,
    /// The complete prompt.
    pub prompt: String,
    /// The maximum length of the output, in tokens.
    pub max_output_tokens: u32,
    /// The offset of the first token to send; greater than 0 to resume a stream.
    pub resume_offset: u32,
    /// Prefilled state exported by another engine.
    pub kv: Option<KvExport>,
}

/// One frame of a token stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The attempt that the frame belongs to.
    pub attempt: AttemptId,
    /// The content of the frame.
    #[serde(flatten)]
    pub body: FrameBody,
}

/// The content of a frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum FrameBody {
    /// A run of consecutive tokens.
    Tokens {
        /// The position of the first token in the output.
        offset: u32,
        /// The number of tokens.
        count: u32,
        /// The text of the tokens.
        text: String,
    },
    /// The end of the output. A stream that ends without it was truncated.
    End {
        /// The total length of the output, in tokens.
        tokens: u32,
    },
    /// The engine failed; no frame follows.
    Failed {
        /// The error message of the engine.
        message: String,
    },
}

/// A request to cancel an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The attempt to cancel.
    pub attempt: AttemptRef,
}

/// The load of an engine at the time `reported_at`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine.
    pub engine: EngineId,
    /// When the load was measured, in milliseconds since the Unix epoch.
    pub reported_at: u64,
    /// The number of requests in the running batch.
    pub running: u32,
    /// The number of requests waiting for prefill.
    pub waiting: u32,
    /// The number of prompt tokens waiting for prefill.
    pub waiting_prompt_tokens: u32,
}

/// A change to the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number; a gap means that events were lost.
    pub seq: u64,
    /// The digest of the prefix, see [`prefix_digest`].
    pub prefix: Digest,
    /// Whether the prefix was added; otherwise it was evicted.
    pub present: bool,
}

/// The cache events after a sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events, oldest first.
    pub events: Vec<CacheEvent>,
    /// The latest sequence number.
    pub newest: u64,
}

/// The phases of a request that an engine serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prefill and decode.
    #[serde(rename = "whole")]
    PrefillAndDecode,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// An order to an engine. It states the desired state rather than a transition, so it can be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing token of the lease holder.
    pub fencing: FencingToken,
    /// The desired state.
    pub wanted: EngineLoadout,
}

/// The model, version, adapters and role of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineLoadout {
    /// The model.
    pub model: BackendName,
    /// The version.
    pub version: VersionId,
    /// The adapters applied to the model.
    pub adapters: Vec<String>,
    /// The role.
    pub role: Role,
}

/// The state of an engine, as it reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The engine.
    pub engine: EngineId,
    /// The loadout that serves requests.
    pub loaded: Option<EngineLoadout>,
    /// The loadout being loaded.
    pub loading: Option<EngineLoadout>,
    /// The highest fencing token seen; `None` if the engine does not check tokens.
    pub fencing: Option<FencingToken>,
}

/// A request to export the prefilled state of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExportRequest {
    /// The attempt.
    pub attempt: AttemptRef,
}

/// Prefilled state that another engine of the same version can resume from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// The version that computed the state.
    pub version: VersionId,
    /// The digest of the prompt.
    pub content: Digest,
    /// The number of tokens in the state, from the prompt and decoded.
    pub tokens: u32,
}
