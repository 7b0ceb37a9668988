//! Plans the reads and orders that bring the engines to their wanted state.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use carawayseam_config::{BackendKind, Document, EngineSpec};
use carawayseam_external::engine::{EngineLoadout, EngineState, Role};
use carawayseam_types::{BackendName, EngineId, Millis, VersionId};
use serde::Serialize;

use crate::config::{DEFAULT_TTL, MAX_DELIVERY_TIME};
use crate::engine::{LoadStatus, TrackedEngine};

/// Limits on a planner's concurrent requests and the delay after a change of holder.
#[derive(Debug, Clone, Copy)]
pub struct PlannerLimits {
    max_concurrent_loads: usize,
    max_concurrent_reads: usize,
    handover: Millis,
}

impl Default for PlannerLimits {
    fn default() -> Self {
        Self {
            max_concurrent_loads: 4,
            max_concurrent_reads: 32,
            handover: DEFAULT_TTL + MAX_DELIVERY_TIME,
        }
    }
}

impl PlannerLimits {
    /// Sets how many engines may load at the same time, which bounds the load on the weight store.
    #[must_use]
    pub const fn max_concurrent_loads(mut self, count: usize) -> Self {
        self.max_concurrent_loads = count;
        self
    }

    /// Sets how long a new holder waits before it orders engines that do not check fencing tokens.
    ///
    /// It must cover the TTL of the previous lease plus the maximum delivery time, so that no order
    /// of the previous holder arrives after it. The default is exactly this sum.
    #[must_use]
    pub const fn handover(mut self, wait: Millis) -> Self {
        self.handover = wait;
        self
    }
}

/// The outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order and reported its state.
    Accepted(EngineState),
    /// The engine rejected the order, because it has seen a newer fencing token.
    Fenced,
    /// The order was not sent, because the lease has lapsed.
    NotPermitted,
    /// No response arrived; the engine may have accepted the order.
    NoResponse,
}

/// An input of a planner.
#[derive(Debug, Clone)]
pub enum PlanEvent {
    /// A newer configuration document is in effect.
    Document(Arc<Document>),
    /// A rollout is complete and the old version released: the engines of the old version load
    /// the new one.
    Released {
        /// The model.
        backend: BackendName,
        /// The old version.
        from: VersionId,
        /// The new version.
        to: VersionId,
    },
    /// This host has acquired the lease.
    Acquired,
    /// This host no longer holds the lease.
    Lost,
    /// An engine's state was read.
    State(EngineState),
    /// An engine's state could not be read.
    StateFailed(EngineId),
    /// An order was sent or could not be sent.
    Ordered {
        /// The engine.
        engine: EngineId,
        /// The outcome of the order.
        outcome: OrderOutcome,
    },
    /// Periodic event, sent every 10 to 50 ms.
    Tick,
}

/// An output of a planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanAction {
    /// Read an engine's state. The result is delivered as `State` or `StateFailed`.
    ReadState(EngineId),
    /// Obtain a permit and order this state. The outcome is delivered as `Ordered`.
    Order {
        /// The engine.
        engine: EngineId,
        /// The wanted state.
        wanted: EngineLoadout,
    },
    /// Whether a version's engines serve it, according to the states read. Sent on each change.
    Ready {
        /// The model.
        backend: BackendName,
        /// The version.
        version: VersionId,
        /// Whether all reachable engines of the version serve it, and at least half of all its
        /// engines.
        ready: bool,
    },
}

/// A planner's state, for the state dump.
#[derive(Debug, Clone, Serialize)]
pub struct PlannerDump {
    /// Whether this host holds the lease and plans orders.
    pub holds: bool,
    /// Engines that do not check fencing tokens and so follow any order.
    pub not_fencing: Vec<EngineId>,
    /// The engines.
    pub engines: Vec<EngineDump>,
}

/// An engine in a planner's dump.
#[derive(Debug, Clone, Serialize)]
pub struct EngineDump {
    /// The engine.
    pub engine: EngineId,
    /// The wanted version.
    pub wanted: VersionId,
    /// `unknown`, `loading`, `settled` or `astray`.
    #[serde(rename = "standing")]
    pub status: &'static str,
    /// Whether the engine checks fencing tokens.
    pub checks_fencing: bool,
}

/// Plans the orders to the engines of one environment while this host holds its lease.
#[derive(Debug)]
pub struct Planner {
    limits: PlannerLimits,
    document: Option<Arc<Document>>,
    released: BTreeMap<(BackendName, VersionId), VersionId>,
    engines: BTreeMap<EngineId, TrackedEngine>,
    acquired_at: Option<Millis>,
    is_handover_complete: bool,
    ready: BTreeSet<(BackendName, VersionId)>,
}

impl Planner {
    /// Creates a planner without a configuration document and without the lease.
    #[must_use]
    pub const fn new(limits: PlannerLimits) -> Self {
        Self {
            limits,
            document: None,
            released: BTreeMap::new(),
            engines: BTreeMap::new(),
            acquired_at: None,
            is_handover_complete: false,
            ready: BTreeSet::new(),
        }
    }

    /// Handles one event at the time `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: PlanEvent, actions: &mut Vec<PlanAction>) {
        match event {
            PlanEvent::Document(document) => self.apply_document(document),
            PlanEvent::Released { backend, from, to } => self.apply_release(backend, from, to),
            PlanEvent::Acquired => self.handle_acquired(now),
            PlanEvent::Lost => self.acquired_at = None,
            PlanEvent::State(state) => self.update(&state.engine.clone(), |it| it.record_state(now, state)),
            PlanEvent::StateFailed(engine) => self.update(&engine, |it| it.record_failure(now)),
            PlanEvent::Ordered { engine, outcome } => self.handle_outcome(now, &engine, outcome),
            PlanEvent::Tick => {}
        }
        if let Some(acquired_at) = self.acquired_at {
            self.plan(now, acquired_at, actions);
            self.report_readiness(actions);
        }
    }

    /// Returns the planner's state for the state dump.
    #[must_use]
    pub fn dump(&self) -> PlannerDump {
        let ignores_fencing = |(_, it): &(&EngineId, &TrackedEngine)| !it.checks_fencing;
        let engines = self.engines.iter();
        PlannerDump {
            holds: self.acquired_at.is_some(),
            not_fencing: engines
                .clone()
                .filter(ignores_fencing)
                .map(|(id, _)| id.clone())
                .collect(),
            engines: engines.map(|(id, it)| engine_dump(id, it)).collect(),
        }
    }

    fn apply_document(&mut self, document: Arc<Document>) {
        let is_declared = |id: &EngineId| document.engine(id).is_some();
        self.engines.retain(|id, _| is_declared(id));
        // A release is dropped once the document declares its new version for the backend.
        self.released.retain(|(backend, _), to| {
            let declared = document.backend(backend);
            declared.is_some_and(|declared| declared.version != *to)
        });
        self.document = Some(document);
        self.update_wanted();
    }

    fn apply_release(&mut self, backend: BackendName, from: VersionId, to: VersionId) {
        self.released.insert((backend, from), to);
        self.update_wanted();
    }

    /// Updates the wanted state of each model engine. Plain services receive no orders.
    fn update_wanted(&mut self) {
        let Some(document) = self.document.clone() else {
            return;
        };
        let is_model = |spec: &&EngineSpec| {
            let backend = document.backend(&spec.backend);
            backend.is_some_and(|backend| backend.kind == BackendKind::Model)
        };
        for spec in document.engines.iter().filter(is_model) {
            let wanted = self.wanted_loadout(spec);
            self.engines
                .entry(spec.name.clone())
                .and_modify(|tracked| tracked.set_wanted(&wanted, spec.checks_fencing))
                .or_insert_with(|| TrackedEngine::new(wanted, spec.checks_fencing));
        }
    }

    fn wanted_loadout(&self, spec: &EngineSpec) -> EngineLoadout {
        let key = (spec.backend.clone(), spec.version.clone());
        EngineLoadout {
            model: spec.backend.clone(),
            version: self.released.get(&key).unwrap_or(&spec.version).clone(),
            adapters: Vec::new(),
            role: Role::PrefillAndDecode,
        }
    }

    fn handle_acquired(&mut self, now: Millis) {
        self.acquired_at = Some(now);
        self.is_handover_complete = false;
        self.ready.clear();
        for tracked in self.engines.values_mut() {
            tracked.reset();
        }
    }

    fn handle_outcome(&mut self, now: Millis, engine: &EngineId, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::Accepted(state) => self.update(engine, |it| it.record_state(now, state)),
            // The state is read before the order is repeated, because the order may have taken effect.
            OrderOutcome::NoResponse => self.update(engine, |it| it.record_failure(now)),
            OrderOutcome::Fenced | OrderOutcome::NotPermitted => {
                self.update(engine, |it| it.schedule_read(now));
                self.acquired_at = None;
            }
        }
    }

    fn update(&mut self, engine: &EngineId, change: impl FnOnce(&mut TrackedEngine)) {
        if let Some(tracked) = self.engines.get_mut(engine) {
            change(tracked);
        }
    }

    /// Reads the engines that are due and sends orders to those in a different state than wanted,
    /// within the limit on concurrent loads.
    fn plan(&mut self, now: Millis, acquired_at: Millis, actions: &mut Vec<PlanAction>) {
        let is_handover_elapsed = now.since(acquired_at) >= self.limits.handover;
        self.complete_handover(is_handover_elapsed);
        // Loads ordered by an earlier holder count towards the limit, so all engines are read
        // before the first order.
        let are_all_polled = self.engines.values().all(TrackedEngine::was_polled);
        let mut loading = self.engines.values().filter(|it| it.is_loading()).count();
        let mut reading = self.engines.values().filter(|it| it.is_read_pending()).count();
        for (id, tracked) in &mut self.engines {
            tracked.check_timeout(now);
            if !tracked.is_due(now) {
                continue;
            }
            let may_order = are_all_polled && (tracked.checks_fencing || is_handover_elapsed);
            match tracked.load_status() {
                LoadStatus::Mismatched if may_order && loading < self.limits.max_concurrent_loads => {
                    loading += 1;
                    tracked.record_request(now, true);
                    let (engine, wanted) = (id.clone(), tracked.wanted.clone());
                    actions.push(PlanAction::Order { engine, wanted });
                }
                LoadStatus::Mismatched => {}
                _ if reading < self.limits.max_concurrent_reads => {
                    reading += 1;
                    tracked.record_request(now, false);
                    actions.push(PlanAction::ReadState(id.clone()));
                }
                _ => {}
            }
        }
    }

    /// Schedules another read of the engines that do not check fencing tokens, once no order of an
    /// earlier holder can arrive any more.
    fn complete_handover(&mut self, is_handover_elapsed: bool) {
        if !is_handover_elapsed || self.is_handover_complete {
            return;
        }
        self.is_handover_complete = true;
        for tracked in self.engines.values_mut().filter(|it| !it.checks_fencing) {
            tracked.reset();
        }
    }

    fn report_readiness(&mut self, actions: &mut Vec<PlanAction>) {
        let now_ready = self.ready_versions();
        let changed: Vec<_> = now_ready.symmetric_difference(&self.ready).cloned().collect();
        for (backend, version) in changed {
            let ready = now_ready.contains(&(backend.clone(), version.clone()));
            actions.push(PlanAction::Ready {
                backend,
                version,
                ready,
            });
        }
        self.ready = now_ready;
    }

    fn ready_versions(&self) -> BTreeSet<(BackendName, VersionId)> {
        let mut counts: BTreeMap<(BackendName, VersionId), VersionEngineCounts> = BTreeMap::new();
        for tracked in self.engines.values() {
            let key = (tracked.wanted.model.clone(), tracked.wanted.version.clone());
            counts.entry(key).or_default().add(tracked);
        }
        let ready = counts.into_iter().filter(|(_, engines)| engines.are_ready());
        ready.map(|(key, _)| key).collect()
    }
}

/// Counts of the engines that are to serve one version.
#[derive(Debug, Default)]
struct VersionEngineCounts {
    all: usize,
    reachable: usize,
    settled: usize,
}

impl VersionEngineCounts {
    fn add(&mut self, tracked: &TrackedEngine) {
        self.all += 1;
        self.reachable += usize::from(tracked.is_reachable());
        self.settled += usize::from(tracked.load_status() == LoadStatus::Settled);
    }

    /// Returns whether the version counts as ready. Unreachable engines are left out, so that a
    /// failed engine does not block a rollout, but at least half of all engines must serve the
    /// version, so that a few reachable ones are not enough.
    const fn are_ready(&self) -> bool {
        self.settled >= self.reachable && self.settled * 2 >= self.all
    }
}

fn engine_dump(id: &EngineId, tracked: &TrackedEngine) -> EngineDump {
    EngineDump {
        engine: id.clone(),
        wanted: tracked.wanted.version.clone(),
        status: match tracked.load_status() {
            LoadStatus::Unknown => "unknown",
            LoadStatus::Loading | LoadStatus::LoadingOther => "loading",
            LoadStatus::Settled => "settled",
            LoadStatus::Mismatched => "astray",
        },
        checks_fencing: tracked.checks_fencing,
    }
}
