//! What happens to a scheduler.

use std::sync::Arc;

use carawayseam_config::Document;
use carawayseam_types::{
    AttemptId, BackendName, Digest, EngineId, HostId, Millis, RequestSeq, Tier, Tokens, VersionId, ZoneId,
};
use serde::{Deserialize, Serialize};

use crate::Request;

/// An input of the scheduler.
#[derive(Debug, Clone)]
pub enum Event {
    /// A newer document is in force.
    Configure(Arc<Document>),
    /// A request came in.
    Arrive(Request),
    /// The caller went away; its request is cancelled wherever it is.
    CallerGone(RequestSeq),
    /// An attempt's first token came.
    FirstToken {
        /// The attempt.
        attempt: AttemptId,
    },
    /// An attempt brought more of its answer.
    Progress {
        /// The attempt.
        attempt: AttemptId,
        /// The answer's length so far, with earlier attempts' part.
        produced: Tokens,
    },
    /// An attempt ended with its whole answer.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// The answer's whole length; 0 for plain services.
        produced: Tokens,
    },
    /// An attempt ended without its whole answer.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// How it failed.
        failure: AttemptFailure,
        /// The part of the answer that the caller has.
        produced: Tokens,
    },
    /// An engine reported its load as it was some time ago.
    Load(EngineReport),
    /// An engine's prefix cache changed, as far as is known.
    Cache {
        /// The engine.
        engine: EngineId,
        /// The prefix.
        prefix: Digest,
        /// Whether it came in, or went out.
        present: bool,
    },
    /// Cache events of an engine were lost; what is known of it may be wrong.
    CacheGap {
        /// The engine.
        engine: EngineId,
    },
    /// The host list, a peer or an operator told how an engine stands.
    EngineStanding {
        /// The engine.
        engine: EngineId,
        /// How it stands.
        standing: EngineStanding,
    },
    /// The live entry hosts, this one among them; it decides who owns which engine.
    Members(Vec<Member>),
    /// A peer announced the load of the pools that it owns.
    PeerLoad(PoolLoadAnnouncement),
    /// A peer counted crashes of engines under one content.
    PoisonReported {
        /// The content.
        content: Digest,
        /// The engine that crashed under it.
        engine: EngineId,
        /// Crashes of that engine seen by that peer, over its whole life.
        crashes: u32,
        /// The peer.
        host: HostId,
    },
    /// A version is to get no more work; queued requests go to another.
    VersionWithdrawn {
        /// The model or plain service.
        backend: BackendName,
        /// The version withdrawn.
        from: VersionId,
        /// The version that serves instead.
        to: VersionId,
    },
    /// A planned stop: queued work is handed to peers or finished, new work refused.
    Drain,
    /// Time passed; sent every 10 to 50 ms.
    Tick,
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptFailure {
    /// The connection was refused, so no byte of the request left.
    #[display("connection refused")]
    NotSent,
    /// The engine answered that it takes no more.
    #[display("engine refused")]
    EngineRefused,
    /// The connection broke after the request may have left: the mark of a crash.
    #[display("connection lost")]
    ConnectionLost,
    /// No first token, or no further token, within its time limit.
    #[display("silent connection")]
    Silent,
    /// The engine answered with a failure of its own.
    #[display("engine failed")]
    EngineFailed,
    /// The deadline passed while it ran.
    #[display("deadline passed")]
    DeadlinePassed,
}

/// How an engine stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EngineStanding {
    /// It takes work.
    Live,
    /// It finishes what it has and takes nothing new.
    Leaving,
    /// It is gone; what it had failed.
    Gone,
}

/// An engine's load as it was at `reported_at`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The engine.
    pub engine: EngineId,
    /// When it was so.
    pub reported_at: Millis,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that waited for prefill.
    pub waiting: u32,
    /// Prompt tokens that waited for prefill.
    pub waiting_prompt: Tokens,
}

/// A live entry host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
}

/// The load of one pool, as its owner announces it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// The availability zone of the pool's engines.
    pub zone: ZoneId,
    /// The model or plain service.
    pub backend: BackendName,
    /// The version.
    pub version: VersionId,
    /// Requests that could start at once.
    pub free_slots: u32,
    /// The time a new request of the lowest tier would wait.
    pub wait: Millis,
    /// The time a new request of each tier would wait, the highest first; later tiers wait as the last.
    pub tier_waits: Vec<Millis>,
    /// The lowest tier that is queued or running; it would make room for a higher one.
    pub lowest_kept: Option<Tier>,
    /// The tier that had to be refused here lately; what ranks below it is refused everywhere.
    pub refused: Option<Tier>,
}

/// All pools that one host owns, at one time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoadAnnouncement {
    /// The owner.
    pub host: HostId,
    /// Grows with each announcement in the host's life; an older one is dropped.
    pub seq: u64,
    /// The pools.
    pub pools: Vec<PoolLoad>,
}
