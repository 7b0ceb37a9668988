//! Which orders bring the engines to their wanted state, and when.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use carawayseam_config::{BackendKind, Document, EngineSpec};
use carawayseam_external::engine::{EngineLoadout, EngineState, Role};
use carawayseam_types::{BackendName, EngineId, Millis, VersionId};
use serde::Serialize;

use crate::config::{DEFAULT_TTL, MAX_DELIVERY_TIME};
use crate::engine::{Standing, Tracked};

/// Bounds of what a planner asks for.
#[derive(Debug, Clone, Copy)]
pub struct PlannerLimits {
    max_concurrent_loads: usize,
    readings_at_once: usize,
    handover: Millis,
}

impl Default for PlannerLimits {
    fn default() -> Self {
        Self {
            max_concurrent_loads: 4,
            readings_at_once: 32,
            handover: DEFAULT_TTL + MAX_DELIVERY_TIME,
        }
    }
}

impl PlannerLimits {
    /// Sets how many engines may load at once, within the weight store's rate.
    #[must_use]
    pub const fn max_concurrent_loads(mut self, count: usize) -> Self {
        self.max_concurrent_loads = count;
        self
    }

    /// Sets how long a new holder waits before it orders engines that do not check fencing tokens.
    ///
    /// The old lease and the longest delivery, so that no old order comes in later.
    #[must_use]
    pub const fn handover(mut self, wait: Millis) -> Self {
        self.handover = wait;
        self
    }
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took it and told its state.
    Accepted(EngineState),
    /// The engine has seen a newer fencing token.
    Fenced,
    /// No permit was given; the lease has lapsed.
    NotPermitted,
    /// No answer came; the engine may have taken it.
    NoResponse,
}

/// An input of a planner.
#[derive(Debug, Clone)]
pub enum PlanEvent {
    /// A newer document is in force.
    Document(Arc<Document>),
    /// A move is finished and its old version released: its engines take the new one.
    Released {
        /// The model.
        backend: BackendName,
        /// The old version.
        from: VersionId,
        /// The new version.
        to: VersionId,
    },
    /// This host holds the lease now.
    Acquired,
    /// This host holds the lease no longer.
    Lost,
    /// An engine's state was read.
    State(EngineState),
    /// An engine's state could not be read.
    StateFailed(EngineId),
    /// An order was sent, or could not be.
    Ordered {
        /// The engine.
        engine: EngineId,
        /// What became of it.
        outcome: OrderOutcome,
    },
    /// Time passed; sent every 10 to 50 ms.
    Tick,
}

/// An output of a planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlanAction {
    /// Read an engine's state; it comes back as `State` or `StateFailed`.
    ReadState(EngineId),
    /// Get a permit and order this state; it comes back as `Ordered`.
    Order {
        /// The engine.
        engine: EngineId,
        /// The state wanted.
        wanted: EngineLoadout,
    },
    /// Whether a version's engines serve it, as read back; told at each change.
    Ready {
        /// The model.
        backend: BackendName,
        /// The version.
        version: VersionId,
        /// Whether all reachable engines serve it, and at least half of all.
        ready: bool,
    },
}

/// A planner's state, for the state dump.
#[derive(Debug, Clone, Serialize)]
pub struct PlannerDump {
    /// Whether this host gives orders.
    pub holds: bool,
    /// Engines that follow any order, however old its fencing token.
    pub not_fencing: Vec<EngineId>,
    /// The engines.
    pub engines: Vec<EngineDump>,
}

/// An engine in a planner's dump.
#[derive(Debug, Clone, Serialize)]
pub struct EngineDump {
    /// The engine.
    pub engine: EngineId,
    /// The version wanted.
    pub wanted: VersionId,
    /// `unknown`, `loading`, `settled` or `astray`.
    #[serde(rename = "standing")]
    pub status: &'static str,
    /// Whether it checks fencing tokens.
    pub checks_fencing: bool,
}

/// Plans the orders of one environment while its lease is held.
#[derive(Debug)]
pub struct Planner {
    limits: PlannerLimits,
    document: Option<Arc<Document>>,
    released: BTreeMap<(BackendName, VersionId), VersionId>,
    engines: BTreeMap<EngineId, Tracked>,
    acquired_at: Option<Millis>,
    was_handed_over: bool,
    ready: BTreeSet<(BackendName, VersionId)>,
}

impl Planner {
    /// Makes a planner that knows no document and holds no lease.
    #[must_use]
    pub const fn new(limits: PlannerLimits) -> Self {
        Self {
            limits,
            document: None,
            released: BTreeMap::new(),
            engines: BTreeMap::new(),
            acquired_at: None,
            was_handed_over: false,
            ready: BTreeSet::new(),
        }
    }

    /// Takes one event at the time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: PlanEvent, actions: &mut Vec<PlanAction>) {
        match event {
            PlanEvent::Document(document) => self.configure(document),
            PlanEvent::Released { backend, from, to } => self.release(backend, from, to),
            PlanEvent::Acquired => self.acquire(now),
            PlanEvent::Lost => self.acquired_at = None,
            PlanEvent::State(state) => self.with_engine(&state.engine.clone(), |it| it.read(now, state)),
            PlanEvent::StateFailed(engine) => self.with_engine(&engine, |it| it.failed(now)),
            PlanEvent::Ordered { engine, outcome } => self.ordered(now, &engine, outcome),
            PlanEvent::Tick => {}
        }
        if let Some(acquired_at) = self.acquired_at {
            self.plan(now, acquired_at, actions);
            self.tell_ready(actions);
        }
    }

    /// The state, for the state dump.
    #[must_use]
    pub fn dump(&self) -> PlannerDump {
        let ignores_fencing = |(_, it): &(&EngineId, &Tracked)| !it.checks_fencing;
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

    fn configure(&mut self, document: Arc<Document>) {
        let is_declared = |id: &EngineId| document.engine(id).is_some();
        self.engines.retain(|id, _| is_declared(id));
        // A document that declares another version takes the place of an earlier release.
        self.released.retain(|(backend, _), to| {
            let declared = document.backend(backend);
            declared.is_some_and(|declared| declared.version != *to)
        });
        self.document = Some(document);
        self.want();
    }

    fn release(&mut self, backend: BackendName, from: VersionId, to: VersionId) {
        self.released.insert((backend, from), to);
        self.want();
    }

    /// Sets each model engine's wanted state; plain services take no orders.
    fn want(&mut self) {
        let Some(document) = self.document.clone() else {
            return;
        };
        let is_model = |spec: &&EngineSpec| {
            let backend = document.backend(&spec.backend);
            backend.is_some_and(|backend| backend.kind == BackendKind::Model)
        };
        for spec in document.engines.iter().filter(is_model) {
            let wanted = self.wanted(spec);
            self.engines
                .entry(spec.name.clone())
                .and_modify(|tracked| tracked.want(&wanted, spec.checks_fencing))
                .or_insert_with(|| Tracked::new(wanted, spec.checks_fencing));
        }
    }

    fn wanted(&self, spec: &EngineSpec) -> EngineLoadout {
        let key = (spec.backend.clone(), spec.version.clone());
        EngineLoadout {
            model: spec.backend.clone(),
            version: self.released.get(&key).unwrap_or(&spec.version).clone(),
            adapters: Vec::new(),
            role: Role::Whole,
        }
    }

    fn acquire(&mut self, now: Millis) {
        self.acquired_at = Some(now);
        self.was_handed_over = false;
        self.ready.clear();
        for tracked in self.engines.values_mut() {
            tracked.forget();
        }
    }

    fn ordered(&mut self, now: Millis, engine: &EngineId, outcome: OrderOutcome) {
        match outcome {
            OrderOutcome::Accepted(state) => self.with_engine(engine, |it| it.read(now, state)),
            // Whether it took effect is read back before the order is repeated.
            OrderOutcome::NoResponse => self.with_engine(engine, |it| it.failed(now)),
            OrderOutcome::Fenced | OrderOutcome::NotPermitted => {
                self.with_engine(engine, |it| it.read_again(now));
                self.acquired_at = None;
            }
        }
    }

    fn with_engine(&mut self, engine: &EngineId, change: impl FnOnce(&mut Tracked)) {
        if let Some(tracked) = self.engines.get_mut(engine) {
            change(tracked);
        }
    }

    /// Reads engines and orders those that are astray, as many as may load at once.
    fn plan(&mut self, now: Millis, acquired_at: Millis, actions: &mut Vec<PlanAction>) {
        let is_handed_over = now.since(acquired_at) >= self.limits.handover;
        self.hand_over(is_handed_over);
        // Loads that an earlier holder ordered count as well, so all are read first.
        let is_surveyed = self.engines.values().all(Tracked::is_surveyed);
        let mut loading = self.engines.values().filter(|it| it.is_loading()).count();
        let mut reading = self.engines.values().filter(|it| it.is_being_read()).count();
        for (id, tracked) in &mut self.engines {
            tracked.time_out(now);
            if !tracked.is_due(now) {
                continue;
            }
            let may_order = is_surveyed && (tracked.checks_fencing || is_handed_over);
            match tracked.standing() {
                Standing::Astray if may_order && loading < self.limits.max_concurrent_loads => {
                    loading += 1;
                    tracked.asked(now, true);
                    let (engine, wanted) = (id.clone(), tracked.wanted.clone());
                    actions.push(PlanAction::Order { engine, wanted });
                }
                Standing::Astray => {}
                _ if reading < self.limits.readings_at_once => {
                    reading += 1;
                    tracked.asked(now, false);
                    actions.push(PlanAction::ReadState(id.clone()));
                }
                _ => {}
            }
        }
    }

    /// Reads engines that follow any order once more when no old order can come in later.
    fn hand_over(&mut self, is_handed_over: bool) {
        if !is_handed_over || self.was_handed_over {
            return;
        }
        self.was_handed_over = true;
        for tracked in self.engines.values_mut().filter(|it| !it.checks_fencing) {
            tracked.forget();
        }
    }

    fn tell_ready(&mut self, actions: &mut Vec<PlanAction>) {
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
        let mut counts: BTreeMap<(BackendName, VersionId), VersionEngines> = BTreeMap::new();
        for tracked in self.engines.values() {
            let key = (tracked.wanted.model.clone(), tracked.wanted.version.clone());
            counts.entry(key).or_default().add(tracked);
        }
        let ready = counts.into_iter().filter(|(_, engines)| engines.are_ready());
        ready.map(|(key, _)| key).collect()
    }
}

/// The engines that are to serve one version.
#[derive(Debug, Default)]
struct VersionEngines {
    all: usize,
    reachable: usize,
    settled: usize,
}

impl VersionEngines {
    fn add(&mut self, tracked: &Tracked) {
        self.all += 1;
        self.reachable += usize::from(tracked.is_reachable());
        self.settled += usize::from(tracked.standing() == Standing::Settled);
    }

    /// A lost engine must not hold up a move, nor may a few engines stand for all.
    const fn are_ready(&self) -> bool {
        self.settled >= self.reachable && self.settled * 2 >= self.all
    }
}

fn engine_dump(id: &EngineId, tracked: &Tracked) -> EngineDump {
    EngineDump {
        engine: id.clone(),
        wanted: tracked.wanted.version.clone(),
        status: match tracked.standing() {
            Standing::Unknown => "unknown",
            Standing::Loading | Standing::LoadingOther => "loading",
            Standing::Settled => "settled",
            Standing::Astray => "astray",
        },
        checks_fencing: tracked.checks_fencing,
    }
}
