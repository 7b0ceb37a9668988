//! What a scheduler asks its process to do.

use carawayseam_types::{
    AttemptId, Digest, EngineId, HostId, Millis, Refusal, RequestSeq, Tokens, UnknownReason, VersionId,
};

use crate::{AttemptFailure, PoolLoadAnnouncement};

/// An output of the scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a request to an engine. Before it is sent, an unrepeatable call must be claimed.
    Dispatch {
        /// The attempt's number, carried by all its later events.
        attempt: AttemptId,
        /// The request.
        request: RequestSeq,
        /// The engine.
        engine: EngineId,
        /// The version that must serve it.
        version: VersionId,
        /// The first token wanted; more than 0 resumes a stream.
        resume_offset: Tokens,
        /// An earlier attempt whose prefilled state may be exported from its engine.
        import_from: Option<(EngineId, AttemptId)>,
    },
    /// Stop an attempt at its engine; its late frames are dropped.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// Its engine.
        engine: EngineId,
    },
    /// Answer finally and at once that the request was not run.
    Refuse {
        /// The request.
        request: RequestSeq,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Answer finally and at once that the request began and will not be completed.
    Abandon {
        /// The request.
        request: RequestSeq,
        /// Why.
        reason: UnknownReason,
        /// How long the caller should wait before it asks again.
        retry_after: Option<Millis>,
    },
    /// Hand the request to the entry host that owns the engines for it.
    Forward {
        /// The request.
        request: RequestSeq,
        /// The owner.
        host: HostId,
    },
    /// Tell the peers how often this content crashed engines here.
    AnnouncePoison {
        /// The content.
        content: Digest,
        /// The engine that crashed under it.
        engine: EngineId,
        /// Crashes of that engine seen by this host, over its whole life.
        crashes: u32,
    },
    /// Tell the peers the load of the pools owned here.
    AnnounceLoad(PoolLoadAnnouncement),
    /// Something an operator wants to read in the log.
    Note(Notice),
}

/// Something an operator wants to read in the log.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum Notice {
    /// An engine gets no work for a while.
    #[display("engine {engine} is ejected for {pause}: {failure}")]
    Ejected {
        /// The engine.
        engine: EngineId,
        /// For how long.
        pause: Millis,
        /// The last failure.
        failure: AttemptFailure,
    },
    /// An ejected engine gets work again, a little at first.
    #[display("engine {engine} is readmitted")]
    Readmitted {
        /// The engine.
        engine: EngineId,
    },
    /// A content crashed engines twice and is blocked.
    #[display("content {content} is blocked after {crashes} crashes")]
    PoisonBlocked {
        /// The content.
        content: Digest,
        /// Crashes over all hosts.
        crashes: u32,
    },
}
