//! The part of a move that stands at each entry host.

use std::collections::BTreeMap;
use std::sync::Arc;

use carawayseam_config::{Document, RolloutSpec};
use carawayseam_types::{BackendName, Digest, HostId, Incarnation, Millis, Revision, RolloutId, VersionId};

use crate::exposure::draw;
use crate::standing::{Serving, Standing};
use crate::{
    Cause, Evidence, GateAction, GateDump, GateEvent, Observation, Pick, RolloutRecord, RolloutView,
};

/// Without contact for longer, a host sends the new version nothing more.
const CONTACT_TIMEOUT: Millis = Millis(2_500);
/// The least time between two reports of a move.
const REPORT_EVERY: Millis = Millis(400);
/// The most time between two reports of a move, even if nothing changed.
const REPORT_IDLE: Millis = Millis::from_secs(2);
/// Stops of moves that this host has no record of yet.
const MAX_EARLY_STOPS: usize = 64;

/// Picks versions at one entry host.
#[derive(Debug)]
pub struct Gate {
    host: HostId,
    incarnation: Incarnation,
    document: Option<Arc<Document>>,
    moves: BTreeMap<BackendName, Followed>,
    early_stops: BTreeMap<RolloutId, Cause>,
    contact: Option<Millis>,
    seed: u64,
    picks: u64,
    reports: u64,
    refused: u64,
}

/// A move with what was said of it so far.
#[derive(Debug)]
struct Followed {
    standing: Standing,
    declared: bool,
    settled: Option<VersionId>,
    reported_at: Option<Millis>,
    changed: bool,
}

impl Followed {
    const fn new(standing: Standing) -> Self {
        Self {
            standing,
            declared: false,
            settled: None,
            reported_at: None,
            changed: true,
        }
    }

    fn move_id(&self) -> &RolloutId {
        &self.standing.record().spec.name
    }

    fn is_of(&self, report: &Evidence) -> bool {
        *self.move_id() == report.move_id && self.standing.record().environment == report.environment
    }

    fn is_report_due(&self, now: Millis) -> bool {
        let record = self.standing.record();
        match self.reported_at {
            _ if record.phase.is_final() => false,
            None => true,
            // A clock that stepped back must not keep the host silent.
            Some(at) if at > now => true,
            Some(at) if self.changed => now.since(at) >= REPORT_EVERY,
            Some(at) => now.since(at) >= REPORT_IDLE,
        }
    }
}

impl Gate {
    /// Makes a gate that knows no document yet.
    #[must_use]
    pub fn new(host: HostId, incarnation: Incarnation) -> Self {
        let seed = Digest::of(host.as_str().as_bytes()).0 as u64;
        Self {
            host,
            incarnation,
            document: None,
            moves: BTreeMap::new(),
            early_stops: BTreeMap::new(),
            contact: None,
            seed,
            picks: 0,
            reports: 0,
            refused: 0,
        }
    }

    /// Takes one event at the time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: GateEvent, actions: &mut Vec<GateAction>) {
        match event {
            GateEvent::Configure(document) => self.document = Some(document),
            GateEvent::Record(record) => self.take_record(record, actions),
            GateEvent::Dispatched {
                backend,
                route,
                version,
            } => {
                if let Some(followed) = self.moves.get_mut(&backend) {
                    followed.standing.dispatch(now, &route, &version);
                }
            }
            GateEvent::Observed { backend, observation } => {
                self.observe(now, &backend, &observation, actions);
            }
            GateEvent::PeerStopped { move_id, cause } => self.stop_by_peer(move_id, cause, actions),
            GateEvent::Evidence(report) => self.take_evidence(now, &report, actions),
            GateEvent::Contact => self.contact = Some(now),
            GateEvent::Tick => self.tick(now, actions),
        }
        self.settle(actions);
    }

    /// Picks the version that serves a request; none for an unknown backend.
    ///
    /// Counts the pick as a dispatch to that version.
    pub fn pick(&mut self, now: Millis, pick: &Pick<'_>) -> Option<VersionId> {
        let document = self.document.as_ref()?;
        let backend = document.backend(pick.backend)?;
        let has_contact = self.has_contact(now);
        let followed = match self.moves.get_mut(pick.backend) {
            Some(followed) if is_declared(document, followed) => followed,
            _ => return Some(backend.version.clone()),
        };
        self.picks += 1;
        followed.changed = true;
        let standing = &mut followed.standing;
        standing.pass_time(now);
        let spec = &standing.record().spec;
        Some(match standing.serving() {
            Serving::New(_) => spec.to.clone(),
            Serving::Old(_) if standing.record().phase.is_final() => spec.from.clone(),
            Serving::Split if has_contact => {
                let draw = draw(self.seed, pick.content, self.picks);
                standing.pick(now, pick, document, draw)
            }
            Serving::Old(_) | Serving::Split => standing.pick_old(now, pick.route),
        })
    }

    /// The revision of a backend's move that this host follows, for the holder's `Confirmed`.
    ///
    /// None until the document in force declares the move, because until
    /// then the host serves by the document alone.
    #[must_use]
    pub fn confirmed(&self, backend: &BackendName) -> Option<Revision> {
        let document = self.document.as_ref()?;
        let followed = self.moves.get(backend)?;
        is_declared(document, followed).then_some(followed.standing.record().revision)
    }

    /// The state, for the state dump.
    #[must_use]
    pub fn dump(&self) -> GateDump {
        let standings = self.moves.values().map(|followed| &followed.standing);
        let stopped = self.moves.values().filter(|f| f.standing.stopped().is_some());
        GateDump {
            moves: standings.map(|standing| standing.record().clone()).collect(),
            stopped: stopped.map(|followed| followed.move_id().clone()).collect(),
            contact: self.contact,
            views: self.moves.values().map(|followed| self.view(followed)).collect(),
            refused: self.refused,
        }
    }

    fn view(&self, followed: &Followed) -> RolloutView {
        let standing = &followed.standing;
        let spec = &standing.record().spec;
        let (serving, cause) = match standing.serving() {
            Serving::Old(cause) => (Some(spec.from.clone()), Some(cause)),
            Serving::New(cause) => (Some(spec.to.clone()), Some(cause)),
            Serving::Split => (None, None),
        };
        let suspicion = standing.judge().suspicion();
        let document = self.document.as_ref();
        RolloutView {
            move_id: followed.move_id().clone(),
            declared: document.is_some_and(|document| is_declared(document, followed)),
            serving,
            cause,
            suspected: suspicion.as_ref().map(|suspicion| suspicion.fault),
            suspected_route: suspicion.as_ref().map(|suspicion| suspicion.route.clone()),
            score: suspicion.map_or(0.0, |suspicion| suspicion.score),
            routes: standing.totals(),
        }
    }

    fn has_contact(&self, now: Millis) -> bool {
        // A clock that stepped back makes the last contact's age unknown.
        self.contact
            .is_some_and(|at| at <= now && now.since(at) <= CONTACT_TIMEOUT)
    }

    fn take_record(&mut self, record: RolloutRecord, actions: &mut Vec<GateAction>) {
        let backend = record.spec.backend.clone();
        let known = self.moves.get_mut(&backend);
        let checked = match &known {
            Some(known) if record.revision <= known.standing.record().revision => return,
            Some(known) => record.check_after(known.standing.record()),
            None => record.check(),
        };
        match known {
            _ if checked.is_err() => self.refused += 1,
            Some(known) if record.is_same_rollout(known.standing.record()) => known.standing.follow(record),
            _ => {
                self.moves
                    .insert(backend.clone(), Followed::new(Standing::new(record)));
            }
        }
        self.obey_early_stop(&backend, actions);
    }

    fn obey_early_stop(&mut self, backend: &BackendName, actions: &mut Vec<GateAction>) {
        let Some(followed) = self.moves.get(backend) else {
            return;
        };
        if let Some(cause) = self.early_stops.remove(followed.move_id()) {
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
        let Some(followed) = self.moves.get_mut(backend) else {
            return;
        };
        if followed.standing.record().phase.is_final() {
            return;
        }
        followed.standing.observe(now, observation);
        followed.changed = true;
        self.stop_if_clear(backend, actions);
    }

    fn stop_by_peer(&mut self, move_id: RolloutId, cause: Cause, actions: &mut Vec<GateAction>) {
        let followed = self
            .moves
            .values()
            .find(|followed| *followed.move_id() == move_id);
        match followed.map(|followed| followed.standing.record().spec.backend.clone()) {
            Some(backend) => self.stop(&backend, cause, actions),
            None if self.early_stops.len() < MAX_EARLY_STOPS => {
                self.early_stops.entry(move_id).or_insert(cause);
            }
            None => {}
        }
    }

    fn take_evidence(&mut self, now: Millis, report: &Evidence, actions: &mut Vec<GateAction>) {
        if report.host == self.host {
            return;
        }
        if let Some(finding) = report.finding.clone() {
            self.stop_by_peer(report.move_id.clone(), finding.into(), actions);
        }
        match self.moves.get_mut(&report.backend) {
            Some(followed) if followed.is_of(report) => {
                followed.standing.take_evidence(now, report);
                self.stop_if_clear(&report.backend, actions);
            }
            _ => {}
        }
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<GateAction>) {
        let backends: Vec<BackendName> = self.moves.keys().cloned().collect();
        for backend in backends {
            if let Some(followed) = self.moves.get_mut(&backend) {
                followed.standing.pass_time(now);
            }
            self.stop_if_clear(&backend, actions);
            self.report_if_due(now, &backend, actions);
        }
    }

    fn stop_if_clear(&mut self, backend: &BackendName, actions: &mut Vec<GateAction>) {
        let Some(followed) = self.moves.get_mut(backend) else {
            return;
        };
        if let Some(cause) = followed.standing.find(&self.host) {
            self.stop(backend, cause, actions);
        }
    }

    fn stop(&mut self, backend: &BackendName, cause: Cause, actions: &mut Vec<GateAction>) {
        let Some(followed) = self.moves.get_mut(backend) else {
            return;
        };
        if followed.standing.record().phase.is_final() || !followed.standing.stop(cause.clone()) {
            return;
        }
        // The report of a stop does not wait for its turn.
        followed.reported_at = None;
        let spec = &followed.standing.record().spec;
        actions.push(GateAction::Stop {
            move_id: spec.name.clone(),
            backend: spec.backend.clone(),
            withdrawn: spec.to.clone(),
            serving: spec.from.clone(),
            cause,
        });
    }

    fn report_if_due(&mut self, now: Millis, backend: &BackendName, actions: &mut Vec<GateAction>) {
        let Some(followed) = self.moves.get_mut(backend) else {
            return;
        };
        if !followed.is_report_due(now) {
            return;
        }
        followed.reported_at = Some(now);
        followed.changed = false;
        self.reports += 1;
        let report = followed
            .standing
            .report(&self.host, self.incarnation, self.reports);
        actions.push(GateAction::Report(report));
    }

    /// Says once which version serves when a move is over for this host.
    fn settle(&mut self, actions: &mut Vec<GateAction>) {
        let Some(document) = &self.document else { return };
        for (backend, followed) in &mut self.moves {
            let is_declared = is_declared(document, followed);
            followed.declared |= is_declared;
            let spec = &followed.standing.record().spec;
            let outcome = match followed.standing.serving() {
                // A record may come before the document that declares its move.
                _ if !followed.declared => None,
                _ if !is_declared => document
                    .backend(backend)
                    .map(|backend| (backend.version.clone(), Cause::Superseded)),
                Serving::New(cause) => Some((spec.to.clone(), cause)),
                Serving::Old(cause) => Some((spec.from.clone(), cause)),
                Serving::Split => None,
            };
            let serving = outcome.as_ref().map(|(serving, _)| serving.clone());
            if followed.settled == serving {
                continue;
            }
            followed.settled = serving;
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

/// Whether the document declares the move; its times are those of its promotion.
fn is_declared(document: &Document, followed: &Followed) -> bool {
    let record = followed.standing.record();
    let is_same = |spec: &RolloutSpec| {
        let (known, declared) = (&record.spec, spec);
        known.name == declared.name
            && known.backend == declared.backend
            && known.from == declared.from
            && known.to == declared.to
    };
    document.environment == record.environment && document.moves.iter().any(is_same)
}
