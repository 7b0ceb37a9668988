//! One environment in the control state.

use std::collections::BTreeMap;
use std::sync::Arc;

use carawayseam_config::Document;
use carawayseam_lease::{Lease, LeaseConfig, Planner, PlannerLimits};
use carawayseam_membership::WatchGuard;
use carawayseam_node::HostProcess;
use carawayseam_rollout::Driver;
use carawayseam_types::{BackendName, EnvironmentId, Incarnation, Millis, Revision, RolloutId, VersionId};

use super::messages::EnvironmentDump;
use crate::watch::{WATCH_WAIT, Watch};

/// How often a cheap read finds out whether the watch misses something.
const COMPARE_PERIOD: Millis = Millis(2_000);

/// A move's record in the store, as last known.
#[derive(Debug)]
pub(super) struct StoredMove {
    /// The store's revision of its key.
    pub(super) store_revision: u64,
}

/// The state of one environment.
#[derive(Debug)]
pub(super) struct Environment {
    pub(super) name: EnvironmentId,
    pub(super) document: Option<Arc<Document>>,
    pub(super) revision: Option<Revision>,
    /// When the document in force was promoted, where this process read it itself.
    pub(super) promoted_at: Option<(Revision, Millis)>,
    pub(super) lease: Lease,
    pub(super) is_holder: bool,
    /// Whether this process stands for the lease, or holds it.
    pub(super) stands: bool,
    pub(super) said_held_at: Millis,
    /// When a holder was last heard of; the start counts as word of one.
    pub(super) heard_holder_at: Millis,
    pub(super) planner: Planner,
    pub(super) drivers: BTreeMap<BackendName, Driver>,
    pub(super) stored: BTreeMap<BackendName, StoredMove>,
    pub(super) take_backs: Vec<RolloutId>,
    /// Versions whose engines serve them, as read back.
    pub(super) ready: Vec<(BackendName, VersionId)>,
    /// Moves whose first record is being written.
    pub(super) is_beginning: Vec<BackendName>,
    pub(super) watch: Option<Watch>,
    pub(super) guard: WatchGuard,
    pub(super) has_read_all: bool,
}

impl Environment {
    pub(super) fn new(name: EnvironmentId, process: &HostProcess) -> Self {
        let Incarnation(seed) = process.incarnation;
        let lease = LeaseConfig::new(name.clone(), process.settings.host.clone(), seed);
        Self {
            lease: Lease::new(lease),
            name,
            document: None,
            revision: None,
            promoted_at: None,
            is_holder: false,
            stands: false,
            said_held_at: Millis::ZERO,
            heard_holder_at: process.clock.now(),
            planner: Planner::new(PlannerLimits::default()),
            drivers: BTreeMap::new(),
            stored: BTreeMap::new(),
            take_backs: Vec::new(),
            ready: Vec::new(),
            is_beginning: Vec::new(),
            watch: None,
            guard: WatchGuard::new(WATCH_WAIT, COMPARE_PERIOD),
            has_read_all: false,
        }
    }

    pub(super) fn dump(&self, now: Millis) -> EnvironmentDump {
        EnvironmentDump {
            environment: self.name.clone(),
            revision: self.revision.map(|revision| revision.0),
            watches: self.watch.is_some(),
            silent_watches: self.guard.unresponsive_count(),
            lease: self.lease.dump(now),
            orders: self.planner.dump(),
            moves: self
                .drivers
                .values()
                .map(|driver| driver.record().clone())
                .collect(),
        }
    }
}
