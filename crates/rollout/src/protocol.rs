//! Inputs, outputs and state dump of the gate.

use std::sync::Arc;

use carawayseam_config::Document;
use carawayseam_types::{BackendName, Digest, Millis, RolloutId, RouteName, VersionId};
use serde::Serialize;

use crate::{Cause, Evidence, Fault, Observation, RolloutRecord, RouteEvidence};

/// An input of the gate.
#[derive(Debug, Clone)]
pub enum GateEvent {
    /// A newer document is in force.
    Configure(Arc<Document>),
    /// A rollout record from the store or a peer; older revisions are ignored.
    Record(RolloutRecord),
    /// A request whose version is already picked is retried after a failed attempt.
    Dispatched {
        /// The model or plain service.
        backend: BackendName,
        /// The route.
        route: RouteName,
        /// The version that serves this attempt.
        version: VersionId,
    },
    /// An attempt on a backend ended.
    Observed {
        /// The model or plain service.
        backend: BackendName,
        /// The outcome of the attempt.
        observation: Observation,
    },
    /// A peer stopped the new version on its own.
    PeerStopped {
        /// The rollout.
        move_id: RolloutId,
        /// Why the peer stopped it.
        cause: Cause,
    },
    /// The counts of a rollout that a peer reported.
    Evidence(Evidence),
    /// The host just received a message from the control lease's holder, or a newer record.
    Contact,
    /// Time passed; sent every 10 to 50 ms.
    Tick,
}

/// An output of the gate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GateAction {
    /// This host sends no more requests to the new version; notify the peers and the scheduler.
    Stop {
        /// The rollout.
        move_id: RolloutId,
        /// The model or plain service.
        backend: BackendName,
        /// The version that gets no more requests.
        withdrawn: VersionId,
        /// The version that serves instead.
        serving: VersionId,
        /// Why it was stopped.
        cause: Cause,
    },
    /// Send this host's counts to the control lease's holder.
    Report(Evidence),
    /// The rollout has ended on this host; write a log line.
    Settled {
        /// The rollout.
        move_id: RolloutId,
        /// The version that serves.
        serving: VersionId,
        /// Why it ended.
        cause: Cause,
    },
}

/// The request for which a version is picked.
#[derive(Debug, Clone)]
pub struct Pick<'a> {
    /// The model or plain service.
    pub backend: &'a BackendName,
    /// The route.
    pub route: &'a RouteName,
    /// Whether the call may safely run twice.
    pub idempotent: bool,
    /// The digest of the request's content.
    pub content: Digest,
}

/// The gate's state, for the state dump.
#[derive(Debug, Clone, Serialize)]
pub struct GateDump {
    /// The latest rollout records known to this host.
    pub moves: Vec<RolloutRecord>,
    /// The rollouts whose new version this host has stopped.
    pub stopped: Vec<RolloutId>,
    /// When the host last received a message from the control lease's holder, or a newer record.
    pub contact: Option<Millis>,
    /// The status of each rollout on this host.
    pub views: Vec<RolloutView>,
    /// The number of invalid records received.
    pub refused: u64,
}

/// The status of a rollout on a host.
#[derive(Debug, Clone, Serialize)]
pub struct RolloutView {
    /// The rollout.
    pub move_id: RolloutId,
    /// Whether the document in force declares it.
    pub declared: bool,
    /// The only version that serves; `None` while both do.
    pub serving: Option<VersionId>,
    /// Why only that version serves.
    pub cause: Option<Cause>,
    /// The fault of the new version with the strongest evidence.
    pub suspected: Option<Fault>,
    /// The route on which that fault occurred.
    pub suspected_route: Option<RouteName>,
    /// The strength of that evidence, as the logarithm of a likelihood ratio.
    pub score: f64,
    /// The counts of all hosts that this host has received.
    pub routes: Vec<RouteEvidence>,
}
