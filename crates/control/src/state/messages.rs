//! Messages to the control state, and what it answers.

use carawayseam_external::hosts::HostList;
use carawayseam_external::kv::Range;
use carawayseam_lease::{CallId, LeaseDump, PlanEvent, PlannerDump, StoreResponse};
use carawayseam_node::{PeerEvent, PeerQuery};
use carawayseam_rollout::RolloutRecord;
use carawayseam_types::{BackendName, EnvironmentId};
use serde::Serialize;
use tokio::sync::oneshot;

use crate::calls::WriteOutcome;

/// A message that asks for no answer.
#[derive(Debug)]
pub(crate) enum Note {
    Peer(PeerEvent),
    HostList(HostList),
    Watched(EnvironmentId, Range),
    Compared(EnvironmentId, u64),
    Lease(EnvironmentId, CallId, StoreResponse),
    Plan(EnvironmentId, PlanEvent),
    RolloutWritten(EnvironmentId, BackendName, WriteOutcome),
    Leave,
    Tick,
}

/// A question.
#[derive(Debug)]
pub(crate) enum Question {
    Dump(oneshot::Sender<StateDump>),
    Peer(PeerQuery),
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
    /// Whether this process watches the store for it.
    pub(crate) watches: bool,
    /// How often its watch went silent.
    pub(crate) silent_watches: u64,
    /// The control lease.
    pub(crate) lease: LeaseDump,
    /// Orders to engines.
    pub(crate) orders: PlannerDump,
    /// The moves that this process drives.
    pub(crate) moves: Vec<RolloutRecord>,
}
