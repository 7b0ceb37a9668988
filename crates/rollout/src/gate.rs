//! Per-host enforcement of rollouts: picks the version of each request and stops a faulty version.

use std::collections::BTreeMap;
use std::sync::Arc;

use carawayseam_config::{Document, RolloutSpec};
use carawayseam_types::{BackendName, Digest, HostId, Incarnation, Millis, Revision, RolloutId, VersionId};

use crate::exposure::draw;
use crate::status::{RolloutState, Serving};
use crate::{
    Cause, Evidence, GateAction, GateDump, GateEvent, Observation, Pick, RolloutRecord, RolloutView,
};

/// A host without contact for longer than this sends no further requests to the new version.
const CONTACT_TIMEOUT: Millis = Millis(2_500);
/// Bounds how often a host reports a rollout whose counts change.
const MIN_REPORT_INTERVAL: Millis = Millis(400);
/// The longest time between two reports of a rollout, even if no count changed.
pub(crate) const MAX_REPORT_INTERVAL: Millis = Millis::from_secs(2);
/// Bounds the stops kept for rollouts whose record has not yet arrived at this host.
const MAX_EARLY_STOPS: usize = 64;

/// Picks versions at one entry host.
#[derive(Debug)]
pub struct Gate {
    host: HostId,
    incarnation: Incarnation,
    document: Option<Arc<Document>>,
    rollouts: BTreeMap<BackendName, TrackedRollout>,
    early_stops: BTreeMap<RolloutId, Cause>,
    contact: Option<Millis>,
    seed: u64,
    picks: u64,
    reports: u64,
    refused: u64,
}

/// A rollout and the progress of its reports and its settlement.
#[derive(Debug)]
struct TrackedRollout {
    state: RolloutState,
    declared: bool,
    settled: Option<VersionId>,
    reported_at: Option<Millis>,
    changed: bool,
}

impl TrackedRollout {
    const fn new(state: RolloutState) -> Self {
        Self {
            state,
            declared: false,
            settled: None,
            reported_at: None,
            changed: true,
        }
    }

    fn rollout_id(&self) -> &RolloutId {
        &self.state.record().spec.name
    }

    fn is_subject_of(&self, report: &Evidence) -> bool {
        *self.rollout_id() == report.move_id && self.state.record().environment == report.environment
    }

    fn is_report_due(&self, now: Millis) -> bool {
        let record = self.state.record();
        match self.reported_at {
            _ if record.phase.is_final() => false,
            None => true,
            // A clock that stepped back must not suppress reports.
            Some(at) if at > now => true,
            Some(at) if self.changed => now.since(at) >= MIN_REPORT_INTERVAL,
            Some(at) => now.since(at) >= MAX_REPORT_INTERVAL,
        }
    }
}

impl Gate {
    /// Creates a gate without a configuration document.
    #[must_use]
    pub fn new(host: HostId, incarnation: Incarnation) -> Self {
        let seed = Digest::of(host.as_str().as_bytes()).0 as u64;
        Self {
            host,
            incarnation,
            document: None,
            rollouts: BTreeMap::new(),
            early_stops: BTreeMap::new(),
            contact: None,
            seed,
            picks: 0,
            reports: 0,
            refused: 0,
        }
    }

    /// Handles one event at the time `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: GateEvent, actions: &mut Vec<GateAction>) {
        match event {
            GateEvent::Configure(document) => self.document = Some(document),
            GateEvent::Record(record) => self.handle_record(record, actions),
            GateEvent::Dispatched {
                backend,
                route,
                version,
            } => {
                if let Some(tracked) = self.rollouts.get_mut(&backend) {
                    tracked.state.dispatch(now, &route, &version);
                }
            }
            GateEvent::Observed { backend, observation } => {
                self.observe(now, &backend, &observation, actions);
            }
            GateEvent::PeerStopped { move_id, cause } => self.stop_by_peer(move_id, cause, actions),
            GateEvent::Evidence(report) => self.handle_evidence(now, &report, actions),
            GateEvent::Contact => self.contact = Some(now),
            GateEvent::Tick => self.tick(now, actions),
        }
        self.settle(actions);
    }

    /// Returns the version that serves a request, or `None` for an unknown backend.
    ///
    /// Counts the pick as a dispatch to that version.
    pub fn pick(&mut self, now: Millis, pick: &Pick<'_>) -> Option<VersionId> {
        let document = self.document.as_ref()?;
        let backend = document.backend(pick.backend)?;
        let has_contact = self.has_contact(now);
        let tracked = match self.rollouts.get_mut(pick.backend) {
            Some(tracked) if is_declared(document, tracked) => tracked,
            _ => return Some(backend.version.clone()),
        };
        self.picks += 1;
        tracked.changed = true;
        let state = &mut tracked.state;
        state.advance_time(now);
        let spec = &state.record().spec;
        Some(match state.serving() {
            Serving::New(_) => spec.to.clone(),
            Serving::Old(_) if state.record().phase.is_final() => spec.from.clone(),
            Serving::Split if has_contact => {
                let draw = draw(self.seed, pick.content, self.picks);
                state.pick(now, pick, document, draw)
            }
            Serving::Old(_) | Serving::Split => state.dispatch_old(now, pick.route),
        })
    }

    /// Returns the revision of the backend's rollout that this host applies, for the owner's `Confirmed`.
    ///
    /// Returns `None` until the document in force declares the rollout, because
    /// until then the host serves by the document alone.
    #[must_use]
    pub fn confirmed(&self, backend: &BackendName) -> Option<Revision> {
        let document = self.document.as_ref()?;
        let tracked = self.rollouts.get(backend)?;
        is_declared(document, tracked).then_some(tracked.state.record().revision)
    }

    /// Returns a snapshot for the state dump.
    #[must_use]
    pub fn dump(&self) -> GateDump {
        let states = self.rollouts.values().map(|tracked| &tracked.state);
        let stopped = self.rollouts.values().filter(|f| f.state.stopped().is_some());
        GateDump {
            moves: states.map(|state| state.record().clone()).collect(),
            stopped: stopped.map(|tracked| tracked.rollout_id().clone()).collect(),
            contact: self.contact,
            views: self.rollouts.values().map(|tracked| self.view(tracked)).collect(),
            refused: self.refused,
        }
    }

    fn view(&self, tracked: &TrackedRollout) -> RolloutView {
        let state = &tracked.state;
        let spec = &state.record().spec;
        let (serving, cause) = match state.serving() {
            Serving::Old(cause) => (Some(spec.from.clone()), Some(cause)),
            Serving::New(cause) => (Some(spec.to.clone()), Some(cause)),
            Serving::Split => (None, None),
        };
        let suspicion = state.judge().suspicion();
        let document = self.document.as_ref();
        RolloutView {
            move_id: tracked.rollout_id().clone(),
            declared: document.is_some_and(|document| is_declared(document, tracked)),
            serving,
            cause,
            suspected: suspicion.as_ref().map(|suspicion| suspicion.fault),
            suspected_route: suspicion.as_ref().map(|suspicion| suspicion.route.clone()),
            score: suspicion.map_or(0.0, |suspicion| suspicion.score),
            routes: state.totals(),
        }
    }

    fn has_contact(&self, now: Millis) -> bool {
        // A clock that stepped back makes the last contact's age unknown.
        self.contact
            .is_some_and(|at| at <= now && now.since(at) <= CONTACT_TIMEOUT)
    }

    fn handle_record(&mut self, record: RolloutRecord, actions: &mut Vec<GateAction>) {
        let backend = record.spec.backend.clone();
        let known = self.rollouts.get_mut(&backend);
        let checked = match &known {
            Some(known) if record.revision <= known.state.record().revision => return,
            Some(known) => record.check_after(known.state.record()),
            None => record.check(),
        };
        match known {
            _ if checked.is_err() => self.refused += 1,
            Some(known) if record.is_same_rollout(known.state.record()) => known.state.update_record(record),
            _ => {
                self.rollouts
                    .insert(backend.clone(), TrackedRollout::new(RolloutState::new(record)));
            }
        }
        self.apply_early_stop(&backend, actions);
    }

    fn apply_early_stop(&mut self, backend: &BackendName, actions: &mut Vec<GateAction>) {
        let Some(tracked) = self.rollouts.get(backend) else {
            return;
        };
        if let Some(cause) = self.early_stops.remove(tracked.rollout_id()) {
            self.stop(backend, cause, actions);
        }
    }

    fn observe(
        &mut self,
        now: Millis,
        backend: &BackendName,
        observation: &Observation,
        actions: &mut Vec<GateAction>,
    ) {
        let Some(tracked) = self.rollouts.get_mut(backend) else {
            return;
        };
        if tracked.state.record().phase.is_final() {
            return;
        }
        tracked.state.observe(now, observation);
        tracked.changed = true;
        self.stop_on_evidence(backend, actions);
    }

    fn stop_by_peer(&mut self, move_id: RolloutId, cause: Cause, actions: &mut Vec<GateAction>) {
        let tracked = self
            .rollouts
            .values()
            .find(|tracked| *tracked.rollout_id() == move_id);
        match tracked.map(|tracked| tracked.state.record().spec.backend.clone()) {
            Some(backend) => self.stop(&backend, cause, actions),
            None if self.early_stops.len() < MAX_EARLY_STOPS => {
                self.early_stops.entry(move_id).or_insert(cause);
            }
            None => {}
        }
    }

    fn handle_evidence(&mut self, now: Millis, report: &Evidence, actions: &mut Vec<GateAction>) {
        if report.host == self.host {
            return;
        }
        if let Some(finding) = report.finding.clone() {
            self.stop_by_peer(report.move_id.clone(), finding.into(), actions);
        }
        match self.rollouts.get_mut(&report.backend) {
            Some(tracked) if tracked.is_subject_of(report) => {
                tracked.state.handle_evidence(now, report);
                self.stop_on_evidence(&report.backend, actions);
            }
            _ => {}
        }
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<GateAction>) {
        let backends: Vec<BackendName> = self.rollouts.keys().cloned().collect();
        for backend in backends {
            if let Some(tracked) = self.rollouts.get_mut(&backend) {
                tracked.state.advance_time(now);
            }
            self.stop_on_evidence(&backend, actions);
            self.report_if_due(now, &backend, actions);
        }
    }

    fn stop_on_evidence(&mut self, backend: &BackendName, actions: &mut Vec<GateAction>) {
        let Some(tracked) = self.rollouts.get_mut(backend) else {
            return;
        };
        if let Some(cause) = tracked.state.new_finding(&self.host) {
            self.stop(backend, cause, actions);
        }
    }

    fn stop(&mut self, backend: &BackendName, cause: Cause, actions: &mut Vec<GateAction>) {
        let Some(tracked) = self.rollouts.get_mut(backend) else {
            return;
        };
        if tracked.state.record().phase.is_final() || !tracked.state.stop(cause.clone()) {
            return;
        }
        // A stop is reported at once, regardless of the report interval.
        tracked.reported_at = None;
        let spec = &tracked.state.record().spec;
        actions.push(GateAction::Stop {
            move_id: spec.name.clone(),
            backend: spec.backend.clone(),
            withdrawn: spec.to.clone(),
            serving: spec.from.clone(),
            cause,
        });
    }

    fn report_if_due(&mut self, now: Millis, backend: &BackendName, actions: &mut Vec<GateAction>) {
        let Some(tracked) = self.rollouts.get_mut(backend) else {
            return;
        };
        if !tracked.is_report_due(now) {
            return;
        }
        tracked.reported_at = Some(now);
        tracked.changed = false;
        self.reports += 1;
        let report = tracked.state.report(&self.host, self.incarnation, self.reports);
        actions.push(GateAction::Report(report));
    }

    /// Emits `Settled` once for each rollout that has ended at this host.
    fn settle(&mut self, actions: &mut Vec<GateAction>) {
        let Some(document) = &self.document else { return };
        for (backend, tracked) in &mut self.rollouts {
            let is_declared = is_declared(document, tracked);
            tracked.declared |= is_declared;
            let spec = &tracked.state.record().spec;
            let outcome = match tracked.state.serving() {
                // A record may arrive before the document that declares its rollout.
                _ if !tracked.declared => None,
                _ if !is_declared => document
                    .backend(backend)
                    .map(|backend| (backend.version.clone(), Cause::Superseded)),
                Serving::New(cause) => Some((spec.to.clone(), cause)),
                Serving::Old(cause) => Some((spec.from.clone(), cause)),
                Serving::Split => None,
            };
            let serving = outcome.as_ref().map(|(serving, _)| serving.clone());
            if tracked.settled == serving {
                continue;
            }
            tracked.settled = serving;
            let move_id = spec.name.clone();
            let settled = outcome.map(|(serving, cause)| GateAction::Settled {
                move_id,
                serving,
                cause,
            });
            actions.extend(settled);
        }
    }
}

/// Returns whether the document declares the rollout.
///
/// Times are not compared: those of the record are fixed when it is promoted.
fn is_declared(document: &Document, tracked: &TrackedRollout) -> bool {
    let record = tracked.state.record();
    let is_same = |spec: &RolloutSpec| {
        let (known, declared) = (&record.spec, spec);
        known.name == declared.name
            && known.backend == declared.backend
            && known.from == declared.from
            && known.to == declared.to
    };
    document.environment == record.environment && document.moves.iter().any(is_same)
}
