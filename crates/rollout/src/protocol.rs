//! What goes into a gate and what comes out.

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
    /// A move's record, from the store or a peer; an older revision is ignored.
    Record(RolloutRecord),
    /// A request whose version was picked before is sent once more, after an attempt failed.
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
        /// What became of it.
        observation: Observation,
    },
    /// A peer stopped a version by itself.
    PeerStopped {
        /// The move.
        move_id: RolloutId,
        /// What the peer saw.
        cause: Cause,
    },
    /// A peer's counts of a move, as it reported them.
    Evidence(Evidence),
    /// The host heard from the control lease's holder, or of a newer record, just now.
    Contact,
    /// Time passed; sent every 10 to 50 ms.
    Tick,
}

/// An output of the gate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GateAction {
    /// The new version gets nothing more from this host; tell the peers and the scheduler.
    Stop {
        /// The move.
        move_id: RolloutId,
        /// The model or plain service.
        backend: BackendName,
        /// The version that gets nothing more.
        withdrawn: VersionId,
        /// The version that serves instead.
        serving: VersionId,
        /// What was seen.
        cause: Cause,
    },
    /// Spread this host's counts to the control lease's holder.
    Report(Evidence),
    /// The move is over for this host; a log line says so.
    Settled {
        /// The move.
        move_id: RolloutId,
        /// The version that serves.
        serving: VersionId,
        /// Why.
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
    /// Whether the call may run twice without harm.
    pub idempotent: bool,
    /// The request's content.
    pub content: Digest,
}

/// The gate's state, for the state dump.
#[derive(Debug, Clone, Serialize)]
pub struct GateDump {
    /// The moves as this host knows them.
    pub moves: Vec<RolloutRecord>,
    /// The moves whose new version this host has stopped.
    pub stopped: Vec<RolloutId>,
    /// When the host last heard from the control lease's holder, or of a newer record.
    pub contact: Option<Millis>,
    /// How each move stands at this host.
    pub views: Vec<RolloutView>,
    /// Records that broke a rule.
    pub refused: u64,
}

/// How a move stands at a host.
#[derive(Debug, Clone, Serialize)]
pub struct RolloutView {
    /// The move.
    pub move_id: RolloutId,
    /// Whether the document in force declares it.
    pub declared: bool,
    /// The version that serves alone; none while both do.
    pub serving: Option<VersionId>,
    /// Why that version serves alone.
    pub cause: Option<Cause>,
    /// What speaks most against the new version.
    pub suspected: Option<Fault>,
    /// The route on which it was seen.
    pub suspected_route: Option<RouteName>,
    /// How much speaks against it, as the logarithm of a likelihood ratio.
    pub score: f64,
    /// The counts of all hosts, as this host knows them.
    pub routes: Vec<RouteEvidence>,
}
