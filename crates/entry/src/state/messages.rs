//! Messages to the control state, and what it answers.

use std::net::SocketAddr;

use carawayseam_external::engine::{AttemptRef, CacheEvents, LoadReport};
use carawayseam_external::hosts::HostList;
use carawayseam_node::{PeerEvent, PeerQuery};
use carawayseam_rollout::{GateDump, Observation};
use carawayseam_scheduler::{AttemptFailure, Request, SchedulerDump};
use carawayseam_types::{
    AttemptId, EngineId, EnvironmentId, HostId, Millis, Refusal, RequestSeq, Tokens, UnknownReason, VersionId,
};
use serde::Serialize;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

/// A request handed to the control state.
#[derive(Debug)]
pub(crate) struct Submission {
    /// The environment.
    pub(crate) environment: EnvironmentId,
    /// The request; the version is picked here unless a peer picked it.
    pub(crate) request: Request,
    /// Whether a version is to be picked.
    pub(crate) pick_version: bool,
    /// Where decisions go.
    pub(crate) signals: UnboundedSender<Signal>,
}

/// A decision on one request.
#[derive(Debug, Clone)]
pub(crate) enum Signal {
    /// Send it to an engine.
    Dispatch(Assignment),
    /// Stop an attempt; another decision follows.
    Cancel(AttemptId),
    /// Final: not run.
    Refused(Refusal),
    /// Final: begun and given up.
    Abandoned {
        /// Why.
        reason: UnknownReason,
        /// When the caller may ask again.
        retry_after: Option<Millis>,
    },
    /// Hand it to the host that owns the engines.
    Forward {
        /// The owner.
        host: HostId,
        /// Where it takes streams; none if it left just now.
        address: Option<SocketAddr>,
        /// The version picked.
        version: VersionId,
    },
}

/// An attempt to be made.
#[derive(Debug, Clone)]
pub(crate) struct Assignment {
    /// The attempt's number.
    pub(crate) attempt: AttemptId,
    /// The engine.
    pub(crate) engine: EngineId,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// The version that must serve.
    pub(crate) version: VersionId,
    /// An earlier attempt whose prefilled state may be exported.
    pub(crate) import_from: Option<(SocketAddr, AttemptRef)>,
}

/// What became of an attempt so far.
#[derive(Debug, Clone)]
pub(crate) enum AttemptNews {
    /// The first token came.
    FirstToken,
    /// More of the answer came.
    Progress(Tokens),
    /// The whole answer came.
    Finished(Tokens),
    /// It failed.
    Failed(AttemptFailure, Tokens),
}

/// An engine whose load and cache events this host reads.
#[derive(Debug, Clone)]
pub(crate) struct EngineReading {
    /// The environment.
    pub(crate) environment: EnvironmentId,
    /// The engine.
    pub(crate) engine: EngineId,
    /// Where it listens.
    pub(crate) address: SocketAddr,
    /// The last cache event seen.
    pub(crate) after: u64,
}

/// A message to the control state that asks for no answer.
#[derive(Debug)]
pub(crate) enum Note {
    Submit(Box<Submission>),
    CallerGone(EnvironmentId, RequestSeq),
    Attempt(EnvironmentId, AttemptId, AttemptNews),
    Observed(EnvironmentId, RequestSeq, Observation),
    Peer(PeerEvent),
    HostList(HostList),
    EngineLoad(EnvironmentId, LoadReport),
    CacheEvents(EnvironmentId, EngineId, CacheEvents),
    Drain,
    Leave,
    Tick,
}

/// A question to the control state.
#[derive(Debug)]
pub(crate) enum Question {
    Dump(oneshot::Sender<StateDump>),
    Peer(PeerQuery),
    EnginesToRead(oneshot::Sender<Vec<EngineReading>>),
}

/// The state of the process, for the state dump.
pub(crate) type StateDump = carawayseam_node::StateDump<EnvironmentDump>;

/// One environment, for the state dump.
#[derive(Debug, Serialize)]
pub(crate) struct EnvironmentDump {
    /// Its name.
    pub(crate) environment: EnvironmentId,
    /// The revision of the document in force.
    pub(crate) revision: Option<u64>,
    /// The digest of the document in force.
    pub(crate) digest: Option<String>,
    /// Requests open on this host.
    pub(crate) open_requests: usize,
    /// Attempts that run for this host.
    pub(crate) open_attempts: usize,
    /// The scheduler.
    pub(crate) scheduler: SchedulerDump,
    /// The moves between versions.
    pub(crate) moves: GateDump,
}
