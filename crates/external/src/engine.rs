//! A model engine: token streams, load reports, cache events and orders.

use carawayseam_types::{AttemptId, BackendName, Digest, EngineId, FencingToken, HostId, Tokens, VersionId};
use serde::{Deserialize, Serialize};

/// `POST` [`GenerateRequest`]: server-sent events whose data is a [`Frame`] each.
pub const GENERATE_PATH: &str = "/v1/generate";
/// `POST` [`CancelRequest`]: status 200, also for an unknown attempt.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// `GET`: [`LoadReport`], as it was some time ago.
pub const LOAD_PATH: &str = "/v1/load";
/// `GET ?after=`: [`CacheEvents`].
pub const CACHE_EVENTS_PATH: &str = "/v1/cache-events";
/// `POST` [`Order`]: [`EngineState`], or status 409 where the token is old and the engine checks it.
pub const ORDER_PATH: &str = "/v1/order";
/// `GET`: [`EngineState`].
pub const STATE_PATH: &str = "/v1/state";
/// `POST` [`KvExportRequest`]: [`KvExport`], or status 404.
pub const KV_EXPORT_PATH: &str = "/v1/kv-export";

/// The length of the prompt's beginning by which prefix caches tell prompts apart, in bytes.
pub const PREFIX_BYTES: usize = 1_024;
/// Bytes of text that count as one token, in estimates and in the stand-ins.
pub const BYTES_PER_TOKEN: usize = 4;

/// The digest of a prompt's beginning, by which cache events name it.
#[must_use]
pub fn prefix_digest(prompt: &str) -> Digest {
    let end = prompt.len().min(PREFIX_BYTES);
    Digest::of(&prompt.as_bytes()[..end])
}

/// An estimate of a text's length in tokens.
#[must_use]
pub const fn estimate_tokens(text: &str) -> Tokens {
    Tokens(text.len().div_ceil(BYTES_PER_TOKEN) as u32)
}

/// Names an attempt over all hosts and their lives.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptRef {
    /// The host that dispatched it.
    pub host: HostId,
    /// The host's incarnation.
    pub incarnation: u64,
    /// The attempt's number on that host.
    pub attempt: AttemptId,
}

/// Asks for tokens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerateRequest {
    /// The attempt, repeated in each frame.
    pub attempt: AttemptRef,
    /// The model.
    pub model: BackendName,
    /// The version that must serve; another is refused with status 409.
    pub version: VersionId,
    /// The whole prompt.
    pub prompt: String,
    /// The longest answer allowed, in tokens.
    pub max_output_tokens: u32,
    /// The first token to send; more than 0 resumes a stream.
    pub resume_offset: u32,
    /// Prefilled state exported by another engine.
    pub kv: Option<KvExport>,
}

/// One frame of a token stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// The attempt it belongs to.
    pub attempt: AttemptId,
    /// What it carries.
    #[serde(flatten)]
    pub body: FrameBody,
}

/// What a frame carries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum FrameBody {
    /// Some tokens, from `offset` on.
    Tokens {
        /// The position of the first token in the answer.
        offset: u32,
        /// The number of tokens.
        count: u32,
        /// Their text.
        text: String,
    },
    /// The explicit end of the answer.
    End {
        /// The answer's whole length, in tokens.
        tokens: u32,
    },
    /// The engine gave up; the stream ends here.
    Failed {
        /// Why, in the engine's words.
        message: String,
    },
}

/// Cancels an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The attempt to cancel.
    pub attempt: AttemptRef,
}

/// An engine's load, as it was at `reported_at`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The engine.
    pub engine: EngineId,
    /// The time of the reading, in milliseconds since the Unix epoch.
    pub reported_at: u64,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait for prefill.
    pub waiting: u32,
    /// Prompt tokens that wait for prefill.
    pub waiting_prompt_tokens: u32,
}

/// A change of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number; gaps are events lost.
    pub seq: u64,
    /// The prefix.
    pub prefix: Digest,
    /// Whether the prefix came in, or went out.
    pub present: bool,
}

/// Cache events past a number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events, oldest first.
    pub events: Vec<CacheEvent>,
    /// The newest number so far.
    pub newest: u64,
}

/// What an engine is to serve as.
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

/// An order: the wanted state, never a step towards it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The lease holder's token.
    pub fencing: FencingToken,
    /// The state wanted.
    pub wanted: EngineLoadout,
}

/// What an engine has loaded and serves as.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineLoadout {
    /// The model.
    pub model: BackendName,
    /// The version.
    pub version: VersionId,
    /// Adapters over the model.
    pub adapters: Vec<String>,
    /// The role.
    pub role: Role,
}

/// An engine's state, read back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The engine.
    pub engine: EngineId,
    /// What serves now.
    pub loaded: Option<EngineLoadout>,
    /// What is being loaded.
    pub loading: Option<EngineLoadout>,
    /// The highest token that the engine has seen; none where it does not check.
    pub fencing: Option<FencingToken>,
}

/// Asks for an attempt's prefilled state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExportRequest {
    /// The attempt.
    pub attempt: AttemptRef,
}

/// Prefilled state that another engine of the same version may take over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// The version it belongs to.
    pub version: VersionId,
    /// The prompt's digest.
    pub content: Digest,
    /// Tokens held: the prompt's and those decoded.
    pub tokens: u32,
}
