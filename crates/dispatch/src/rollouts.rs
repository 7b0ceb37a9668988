//! Rollouts of a backend's traffic to another version, decided on the evidence of all hosts.
//!
//! A canary share of the requests goes to the new version first. Each host counts the
//! responses of both versions, in all and by route, and adds the counts of its peers. If the new version fails
//! clearly more often or is slower than the old one, also on a single route, the rollout is rolled back at once.
//! Rare routes give the new version a larger share, so that it is judged on each of them. Shortly before
//! the deadline, a version with enough good responses gets all traffic and the rollout is
//! complete; any other rollout is rolled back. A host without a live connection to the store
//! sends no requests to a new version unless its rollout is known to be complete.

mod rollout;
mod routes;

use std::collections::BTreeMap;

use carawayseam_types::{BackendName, HostId, Millis, StoreRevision, VersionId};

use crate::pace::{PaceBaseline, PaceRating, PaceReport, ResponseTime};
use crate::rotation::Rotation;
use rollout::Rollout;
use routes::{RouteEvidence, RouteHistory};

pub(crate) use routes::MAX_ROUTES;
pub use routes::{
    JudgedRoute, ProcessId, ResponseOutcome, ResponseSource, RouteCounts, RouteFinding, RouteReport,
    RouteUpdate,
};

/// Interval between the writes of consecutive hosts; a host skips its write if an earlier host wrote
/// the state.
const WRITE_INTERVAL: Millis = Millis(120);
/// Minimum number of bad responses of the new version for a rollback on evidence.
const MIN_BAD_RESPONSES: u32 = 4;
/// Factor on the old version's share of bad responses that the new version may reach.
const MAX_BAD_SHARE_FACTOR: f64 = 2.0;
/// Share of bad responses that is allowed on top, since it may be due to chance.
const BAD_SHARE_MARGIN: f64 = 0.08;
/// Standard deviations of the old version's share, over the new version's responses, that are allowed on top.
const MAX_DEVIATIONS: f64 = 2.0;

/// The versions that may run a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum VersionRule {
    /// Any version.
    #[default]
    Any,
    /// Only this version.
    Only(VersionId),
    /// Any version except this one.
    Not(VersionId),
}

impl VersionRule {
    /// Returns whether a version may run the request.
    #[must_use]
    pub fn allows(&self, version: &VersionId) -> bool {
        match self {
            Self::Any => true,
            Self::Only(required) => required == version,
            Self::Not(excluded) => excluded != version,
        }
    }
}

/// An operator's order to roll out a version of a backend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The order's revision; a later order has a higher one.
    pub revision: StoreRevision,
    /// The version to roll out.
    pub to: VersionId,
    /// The maximum duration of the rollout.
    pub within: Millis,
}

/// The state of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum RolloutState {
    /// In progress.
    #[display("running")]
    Running,
    /// All traffic goes to the new version.
    #[display("complete")]
    Complete,
    /// All traffic goes to the old version.
    #[display("rolled back")]
    RolledBack,
}

/// Response counts of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResponseCounts {
    /// All responses.
    pub all: u32,
    /// Failures, and responses that came far too late.
    pub bad: u32,
}

impl ResponseCounts {
    fn add(&mut self, other: Self) {
        self.all += other.all;
        self.bad += other.bad;
    }

    fn bad_share(self) -> f64 {
        f64::from(self.bad) / f64::from(self.all.max(1))
    }
}

/// One host's response counts of both versions during a rollout.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Evidence {
    /// The new version.
    pub new: ResponseCounts,
    /// The old versions.
    pub old: ResponseCounts,
}

impl Evidence {
    /// `old_share` is the share of bad responses of the old version on the routes of the new one.
    fn shows_regression(self, old_share: f64) -> bool {
        let old_share = self.old.bad_share().max(old_share).min(1.0);
        let deviation = (old_share * (1.0 - old_share) / f64::from(self.new.all.max(1))).sqrt();
        let margin = deviation.mul_add(MAX_DEVIATIONS, BAD_SHARE_MARGIN);
        let allowed = old_share.mul_add(MAX_BAD_SHARE_FACTOR, margin);
        self.new.bad >= MIN_BAD_RESPONSES && self.new.bad_share() > allowed
    }
}

/// A host's update on a rollout, sent to its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutUpdate {
    /// The backend.
    pub backend: BackendName,
    /// The order's revision.
    pub revision: StoreRevision,
    /// The time since the order was given, as known to the sender.
    pub elapsed: Millis,
    /// The sender's own counts.
    pub evidence: Evidence,
}

/// A host's counts of slow responses during a rollout, sent to its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PaceUpdate {
    /// The backend.
    pub backend: BackendName,
    /// The order's revision.
    pub revision: StoreRevision,
    /// The sender's own counts.
    pub report: PaceReport,
}

/// A state to write, provided that the stored state still has the expected revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The backend.
    pub backend: BackendName,
    /// The order that the state belongs to.
    pub order: Order,
    /// The new state of the rollout.
    pub state: RolloutState,
    /// The revision of the stored state that is replaced, if there is one.
    pub expected: Option<StoreRevision>,
    /// The route evidence against the new version, if it is clear.
    pub finding: Option<RouteFinding>,
}

/// All rollouts that this host knows.
#[derive(Debug)]
pub struct Rollouts {
    /// This process.
    process: ProcessId,
    /// The latest rollout of each backend.
    by_backend: BTreeMap<BackendName, Rollout>,
    /// The revision of each backend's stored state, which remains after its order is replaced.
    written: BTreeMap<BackendName, StoreRevision>,
    /// The revision of the order that each backend's latest one has replaced.
    replaced: BTreeMap<BackendName, StoreRevision>,
    /// How long the responses of each backend take, other than those of a version that is rolled out.
    pace_baselines: BTreeMap<BackendName, PaceBaseline>,
    /// The responses of each backend on each route, other than those of a rollout.
    histories: BTreeMap<BackendName, RouteHistory>,
    /// The peers whose counts of slow responses were passed on.
    forwarded_pace: Rotation,
}

impl Rollouts {
    /// Creates the state of a process that knows of no rollout.
    #[must_use]
    pub const fn new(process: ProcessId) -> Self {
        Self {
            process,
            by_backend: BTreeMap::new(),
            written: BTreeMap::new(),
            replaced: BTreeMap::new(),
            pace_baselines: BTreeMap::new(),
            histories: BTreeMap::new(),
            forwarded_pace: Rotation::new(),
        }
    }

    /// Drops what only the lost state of a store contained that was restored from a copy.
    ///
    /// Rollouts and their evidence stay: the operator writes the orders again that the copy lacks, and the
    /// hosts the states.
    pub fn forget_stored_states(&mut self) {
        self.written.clear();
        for rollout in self.by_backend.values_mut() {
            rollout.expect_lost_state();
        }
    }

    /// Starts the rollout of an order; a known or older order is ignored.
    ///
    /// An order that is written again after the store was restored continues its rollout.
    pub fn apply_order(&mut self, now: Millis, backend: BackendName, order: Order) {
        let replaced = self.replaced.get(&backend).copied();
        match self.by_backend.get_mut(&backend) {
            Some(known) if known.order.revision >= order.revision => return,
            Some(known) if known.is_written_again(&order) => {
                known.order.revision = order.revision;
                known.expect_lost_state();
                return;
            }
            Some(known) if known.is_older_copy(&order, replaced) => return,
            Some(known) => {
                self.replaced.insert(backend.clone(), known.order.revision);
            }
            None => {}
        }
        let routes = RouteEvidence::new(self.histories.get(&backend));
        let new_rollout = Rollout::new(now, order, routes);
        self.by_backend.insert(backend, new_rollout);
    }

    /// Applies the stored state of a rollout to a version.
    ///
    /// A decided state is not replaced by an earlier one, which a copy of the store may contain.
    pub fn apply_state(
        &mut self,
        backend: &BackendName,
        to: &VersionId,
        state: RolloutState,
        revision: StoreRevision,
    ) {
        let written = self.written.get(backend).copied();
        if written.is_some_and(|written| revision <= written) {
            return;
        }
        self.written.insert(backend.clone(), revision);
        // A state that is older than the order belongs to an earlier order.
        let current = self
            .by_backend
            .get_mut(backend)
            .filter(|rollout| rollout.order.to == *to && revision > rollout.order.revision);
        match current {
            Some(rollout) if rollout.is_decided() && state == RolloutState::Running => {}
            Some(rollout) => {
                rollout.state = Some(state);
                rollout.is_state_lost = false;
            }
            None => {}
        }
    }

    /// Returns which versions may run a request of a route; `draw` is a random number from 0 to 1.
    #[must_use]
    pub fn version_rule(
        &self,
        now: Millis,
        backend: &BackendName,
        route: &JudgedRoute,
        is_store_live: bool,
        draw: f64,
    ) -> VersionRule {
        let rollout = self.by_backend.get(backend);
        rollout.map_or(VersionRule::Any, |rollout| {
            rollout.version_rule(now, route, is_store_live, draw)
        })
    }

    /// Returns the rule of each rollout that no longer depends on a draw, so that it also applies to requests
    /// that arrived under another one.
    #[must_use]
    pub fn settled_rules(&self, now: Millis, is_store_live: bool) -> Vec<(BackendName, VersionRule)> {
        let rollouts = self.by_backend.iter();
        let settled = rollouts.filter_map(|(backend, rollout)| {
            let rule = rollout.settled_rule(now, is_store_live)?;
            Some((backend.clone(), rule))
        });
        settled.collect()
    }

    /// Returns whether the stored state says that a backend's latest rollout is complete.
    #[must_use]
    pub fn is_complete(&self, backend: &BackendName) -> bool {
        self.by_backend.get(backend).is_some_and(Rollout::is_complete)
    }

    /// Records a response of a version.
    pub fn record_response(&mut self, now: Millis, source: &ResponseSource, outcome: ResponseOutcome) {
        if let Some(rollout) = self.by_backend.get_mut(&source.backend) {
            rollout.count_response(now, source, outcome);
            if !rollout.is_decided() || !rollout.is_current(&source.version) {
                return;
            }
        }
        let history = self.histories.entry(source.backend.clone()).or_default();
        history.record(&source.route, outcome);
    }

    /// Records how long a complete response of a version took.
    pub fn record_pace(&mut self, source: &ResponseSource, time: ResponseTime) {
        let baseline = self.pace_baselines.entry(source.backend.clone()).or_default();
        let rating = baseline.rate(&source.route, time);
        match self.by_backend.get_mut(&source.backend) {
            Some(rollout) if !rollout.is_complete() => {
                if !rollout.is_new(&source.version) {
                    baseline.record(&source.route, &source.engine, time);
                }
                rollout.count_pace(source, rating);
            }
            _ => baseline.record(&source.route, &source.engine, time),
        }
    }

    /// Records how long a response of a version takes that is not complete, if it is very slow already.
    ///
    /// Returns whether it was counted.
    pub fn record_unfinished_pace(&mut self, source: &ResponseSource, time: ResponseTime) -> bool {
        let Some(rollout) = self.by_backend.get_mut(&source.backend) else {
            return false;
        };
        let baseline = self.pace_baselines.get(&source.backend);
        let rating = baseline.map_or(PaceRating::Normal, |baseline| baseline.rate(&source.route, time));
        let is_counted = rating == PaceRating::VerySlow;
        if is_counted {
            rollout.count_pace(source, rating);
        }
        is_counted
    }

    /// Records the route counts of a process of any host; those of this process come back from its peers.
    pub fn record_peer_routes(&mut self, update: &RouteUpdate) {
        if update.process == self.process {
            return;
        }
        let rollout = self.by_backend.get_mut(&update.backend);
        if let Some(rollout) = rollout.filter(|rollout| rollout.order.revision == update.revision) {
            rollout.routes.record_peer(update);
        }
    }

    /// Returns route counts of undecided rollouts that this host sends to its peers: its own, and those of processes
    /// that have ended if `is_running` is given, for a peer that has just started.
    pub fn route_updates(&mut self, is_running: Option<&dyn Fn(&ProcessId) -> bool>) -> Vec<RouteUpdate> {
        let mut updates = Vec::new();
        for (backend, rollout) in &mut self.by_backend {
            if rollout.is_decided() {
                continue;
            }
            let mut processes = vec![(self.process.clone(), rollout.routes.local())];
            if let Some(is_running) = is_running {
                processes.extend(rollout.routes.ended(is_running));
            }
            let is_worse = rollout.routes.finding().is_some();
            updates.extend(processes.into_iter().map(|(process, routes)| RouteUpdate {
                backend: backend.clone(),
                revision: rollout.order.revision,
                is_worse,
                process,
                routes,
            }));
        }
        updates
    }

    /// Records a peer's counts of slow responses.
    pub fn record_peer_pace(&mut self, host: &HostId, update: &PaceUpdate) {
        let rollout = self.by_backend.get_mut(&update.backend);
        let Some(rollout) = rollout.filter(|rollout| rollout.order.revision == update.revision) else {
            return;
        };
        let earlier = rollout.peer_pace.get(host).copied().unwrap_or_default();
        if !update.report.is_earlier_than(earlier) {
            rollout.peer_pace.insert(host.clone(), update.report);
            rollout.pace.add(update.report, earlier);
        }
    }

    /// Returns the counts of slow responses that this host sends to its peers: those of undecided rollouts.
    #[must_use]
    pub fn pace_updates(&self) -> Vec<PaceUpdate> {
        let undecided = self
            .by_backend
            .iter()
            .filter(|(_, rollout)| !rollout.is_decided());
        let updates = undecided.map(|(backend, rollout)| PaceUpdate {
            backend: backend.clone(),
            revision: rollout.order.revision,
            report: rollout.local_pace,
        });
        updates.collect()
    }

    /// Returns counts of slow responses to pass on in a gossip round: this host's own, and those of some peers, which
    /// take turns.
    pub fn forwarded_pace(&mut self, limit: usize) -> Vec<(HostId, PaceUpdate)> {
        let own = self.pace_updates().into_iter();
        let mut updates: Vec<_> = own.map(|update| (self.process.host.clone(), update)).collect();
        let mut peers = Vec::new();
        for (backend, rollout) in &self.by_backend {
            if rollout.is_decided() {
                continue;
            }
            peers.extend(rollout.peer_pace.iter().map(|(host, report)| {
                let update = PaceUpdate {
                    backend: backend.clone(),
                    revision: rollout.order.revision,
                    report: *report,
                };
                (host.clone(), update)
            }));
        }
        peers.sort_by(|(host, _), (other, _)| host.cmp(other));
        updates.extend(self.forwarded_pace.take(&peers, limit));
        updates
    }

    /// Records a peer's counts, and the time of the order if the peer knows an earlier one.
    pub fn record_peer_update(&mut self, now: Millis, host: &HostId, update: &RolloutUpdate) {
        let rollout = self.by_backend.get_mut(&update.backend);
        if let Some(rollout) = rollout.filter(|rollout| rollout.order.revision == update.revision) {
            rollout.peers.insert(host.clone(), update.evidence);
            rollout.started_at = rollout.started_at.min(now - update.elapsed);
        }
    }

    /// Returns the updates that this host sends to its peers.
    #[must_use]
    pub fn gossip_updates(&self, now: Millis) -> Vec<RolloutUpdate> {
        let rollouts = self.by_backend.iter().map(|(backend, rollout)| RolloutUpdate {
            backend: backend.clone(),
            revision: rollout.order.revision,
            elapsed: rollout.elapsed(now),
            evidence: rollout.local,
        });
        rollouts.collect()
    }

    /// Returns the states that this host should write now.
    ///
    /// `rank` is the host's position in the write order.
    pub fn due_decisions(&mut self, now: Millis, rank: u32) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for (backend, rollout) in &mut self.by_backend {
            let Some(due_state) = rollout.due_state(now) else {
                continue;
            };
            let since = match rollout.due_write {
                Some((state, since)) if state == due_state => since,
                _ => {
                    rollout.due_write = Some((due_state, now));
                    now
                }
            };
            if now.since(since) < WRITE_INTERVAL.times(u64::from(rank)) {
                continue;
            }
            // The write is retried if its result does not arrive.
            rollout.due_write = Some((due_state, now + WRITE_INTERVAL.times(WRITE_RETRY_INTERVALS)));
            decisions.push(Decision {
                backend: backend.clone(),
                order: rollout.order.clone(),
                state: due_state,
                expected: self.written.get(backend).copied(),
                finding: rollout.routes.finding().cloned(),
            });
        }
        decisions
    }
}

/// Number of write intervals after which a write without a known result is retried.
const WRITE_RETRY_INTERVALS: u64 = 3;
