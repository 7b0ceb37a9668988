//! Moves that this process drives while it holds the lease.

use std::collections::btree_map::Entry as MapEntry;

use carawayseam_config::{BackendKind, Document, RolloutSpec};
use carawayseam_lease::PlanEvent;
use carawayseam_node::rollout_key;
use carawayseam_rollout::{Driver, DriverAction, DriverEvent, Preparing, Rollout, RolloutRecord};
use carawayseam_types::{BackendName, EnvironmentId, HostId, Millis, Revision};
use carawayseam_wire::{PeerRole, PeerState, Record, RecordKey};

use super::actor::{ControlState, Step};
use super::environment::StoredMove;
use super::messages::Note;
use crate::calls::WriteOutcome;

impl ControlState {
    /// Begins declared moves that have no record yet, and drives those that have.
    pub(super) fn begin_moves(&mut self, now: Millis, index: usize) {
        let env = &self.environments[index];
        if !env.is_holder || !env.has_read_all {
            return;
        }
        let Some(document) = env.document.clone() else {
            return;
        };
        let Some((revision, promoted_at)) = env.promoted_at else {
            return;
        };
        if env.revision != Some(revision) {
            return;
        }
        for spec in &document.moves {
            self.begin_move(now, index, spec, revision, promoted_at);
        }
        self.supersede_undeclared(index, &document);
    }

    fn begin_move(
        &mut self,
        now: Millis,
        index: usize,
        spec: &RolloutSpec,
        revision: Revision,
        promoted_at: Millis,
    ) {
        let known = self.known_move(index, &spec.backend);
        let env = &mut self.environments[index];
        // The gates compare all three, so a name that is used again for other versions is another move.
        let is_same = |record: &RolloutRecord| {
            let known = &record.spec;
            known.name == spec.name && known.from == spec.from && known.to == spec.to
        };
        let is_begun = known.as_ref().is_some_and(is_same);
        let MapEntry::Vacant(place) = env.drivers.entry(spec.backend.clone()) else {
            return;
        };
        if let (true, Some(record)) = (is_begun, &known) {
            place.insert(Driver::new(record.clone()));
            self.brief_driver(index, &spec.backend);
            return;
        }
        if env.is_beginning.contains(&spec.backend) {
            return;
        }
        let promoted = Rollout::<Preparing>::promote(
            env.name.clone(),
            spec.clone(),
            revision,
            known.as_ref(),
            promoted_at,
        );
        match promoted {
            Ok(mv) => {
                env.is_beginning.push(spec.backend.clone());
                log::info!(move_id:% = spec.name, at:% = now; "move begun");
                self.write_move(index, &mv.into_record());
            }
            Err(e) => log::error!(move_id:% = spec.name; "move not begun: {e}"),
        }
    }

    /// Tells a fresh driver what is known already.
    fn brief_driver(&mut self, index: usize, backend: &BackendName) {
        let hosts = self.entry_hosts();
        let env = &self.environments[index];
        let Some(driver) = env.drivers.get(backend) else {
            return;
        };
        let target = (backend.clone(), driver.record().spec.to.clone());
        let is_service = env.document.as_ref().is_some_and(|document| {
            document
                .backend(backend)
                .is_some_and(|backend| backend.kind == BackendKind::Service)
        });
        // Plain services take no orders, so theirs count as ready.
        let ready = is_service || env.ready.contains(&target);
        let is_taken_back = env.take_backs.contains(&driver.record().spec.name);
        self.drive(index, backend, DriverEvent::Hosts(hosts));
        self.drive(index, backend, DriverEvent::EnginesReady(ready));
        if is_taken_back {
            self.drive(index, backend, DriverEvent::TakeBack);
        }
    }

    fn supersede_undeclared(&mut self, index: usize, document: &Document) {
        let declared = |backend: &BackendName, driver: &Driver| {
            let name = &driver.record().spec.name;
            document
                .moves
                .iter()
                .any(|mv| mv.backend == *backend && mv.name == *name)
        };
        let drivers = &self.environments[index].drivers;
        let gone: Vec<BackendName> = drivers
            .iter()
            .filter(|(backend, driver)| !declared(backend, driver) && !driver.record().phase.is_final())
            .map(|(backend, _)| backend.clone())
            .collect();
        for backend in gone {
            self.drive(index, &backend, DriverEvent::Superseded);
        }
    }

    /// The newest record of a backend's move, from whatever source.
    fn known_move(&self, index: usize, backend: &BackendName) -> Option<RolloutRecord> {
        let key = RecordKey::Rollout(self.environments[index].name.clone(), backend.clone());
        let record = self.membership.record(&key)?;
        serde_json::from_str(&record.body).ok()
    }

    pub(super) fn drive(&mut self, index: usize, backend: &BackendName, event: DriverEvent) {
        self.steps.push_back(Step::Drive(index, backend.clone(), event));
    }

    pub(super) fn drive_all(&mut self, index: usize, event: &DriverEvent) {
        let backends: Vec<BackendName> = self.environments[index].drivers.keys().cloned().collect();
        for backend in backends {
            self.drive(index, &backend, event.clone());
        }
    }

    pub(super) fn run_driver(
        &mut self,
        now: Millis,
        index: usize,
        backend: &BackendName,
        event: DriverEvent,
    ) {
        let Some(driver) = self.environments[index].drivers.get_mut(backend) else {
            return;
        };
        let mut actions = Vec::new();
        driver.handle(now, event, &mut actions);
        let spec = driver.record().spec.clone();
        for action in actions {
            match action {
                DriverAction::Write(record) => self.write_move(index, &record),
                DriverAction::ReleaseOld => {
                    log::info!(move_id:% = spec.name, version:% = spec.from; "old version released");
                    let (backend, from, to) = (spec.backend.clone(), spec.from.clone(), spec.to.clone());
                    self.steps
                        .push_back(Step::Plan(index, PlanEvent::Released { backend, from, to }));
                }
            }
        }
    }

    /// Writes a record, but only under a lease that holds at this moment.
    fn write_move(&mut self, index: usize, record: &RolloutRecord) {
        let env = &mut self.environments[index];
        if let Err(e) = env.lease.permit(&self.process.clock) {
            log::warn!(move_id:% = record.spec.name; "move not written: {e}");
            env.is_beginning.retain(|backend| *backend != record.spec.backend);
            return;
        }
        let backend = record.spec.backend.clone();
        let expect = env.stored.get(&backend).map_or(0, |stored| stored.store_revision);
        let key = rollout_key(&env.name, &backend);
        let (outside, environment, record) = (self.outside.clone(), env.name.clone(), record.clone());
        self.spawn(|control| async move {
            let outcome = outside.write_move(key, &record, expect).await;
            control.tell(Note::RolloutWritten(environment, backend, outcome));
        });
    }

    pub(super) fn move_written(
        &mut self,
        environment: &EnvironmentId,
        backend: &BackendName,
        outcome: WriteOutcome,
    ) {
        let Some(index) = self.index_of(environment) else {
            return;
        };
        self.environments[index]
            .is_beginning
            .retain(|beginning| beginning != backend);
        match outcome {
            WriteOutcome::Stands(entry) => self.take_entry(index, &entry),
            WriteOutcome::Lost => {
                log::warn!(backend:% = backend; "a move's write was lost; it is tried again");
            }
        }
    }

    /// Takes a move's record as the store holds it.
    pub(super) fn stored_move(
        &mut self,
        index: usize,
        backend: &BackendName,
        store_revision: u64,
        record: RolloutRecord,
    ) {
        let stored = &mut self.environments[index].stored;
        let known = stored.get(backend).map_or(0, |stored| stored.store_revision);
        if store_revision < known {
            return;
        }
        stored.insert(backend.clone(), StoredMove { store_revision });
        self.drive(index, backend, DriverEvent::Record(record));
    }

    /// Tells operators of a move's new record.
    pub(super) fn tell_move(&mut self, record: &Record) {
        match serde_json::from_str::<RolloutRecord>(&record.body) {
            Ok(mv) => {
                let (phase, cause) = (mv.phase, &mv.cause);
                log::info!(
                    move_id:% = mv.spec.name, phase:% = phase, share:% = mv.share, revision:% = mv.revision;
                    "move is {phase}: {cause}"
                );
                self.process.metrics.count("moves.changed");
            }
            Err(e) => log::error!("{} not read: {e}", record.head.key),
        }
    }

    pub(super) fn entry_hosts(&self) -> Vec<HostId> {
        let live = self
            .peers
            .iter()
            .filter(|peer| peer.role == PeerRole::Entry && peer.state == PeerState::Alive);
        live.map(|peer| peer.host.clone()).collect()
    }
}
