//! Carries out what the pure libraries ask for.

use std::net::SocketAddr;

use carawayseam_external::engine::EngineLoadout;
use carawayseam_lease::{LeaseAction, LeaseEvent, OrderOutcome, PlanAction, PlanEvent};
use carawayseam_membership::{Event as MembershipEvent, WatchAction, WatchEvent};
use carawayseam_node::{PeerAction, current_document_key, pull_from_peer};
use carawayseam_rollout::DriverEvent;
use carawayseam_types::{EngineId, Millis};
use carawayseam_wire::{Topic, encode};
use serde::Serialize;

use super::actor::{ControlState, Step};
use super::handle::ControlHandle;
use super::messages::Note;
use crate::watch;

impl ControlState {
    /// Works until no step is left; steps bring about further steps.
    pub(super) fn work(&mut self, now: Millis) {
        while let Some(step) = self.steps.pop_front() {
            match step {
                Step::Membership(event) => self.run_membership(now, event),
                Step::Lease(index, event) => self.run_lease(now, index, event),
                Step::Plan(index, event) => self.run_planner(now, index, event),
                Step::Drive(index, backend, event) => self.run_driver(now, index, &backend, event),
                Step::Guard(index, event) => self.run_guard(now, index, event),
            }
        }
    }

    fn run_membership(&mut self, now: Millis, event: MembershipEvent) {
        let mut actions = Vec::new();
        self.membership.handle(now, event, &mut actions);
        for action in actions {
            if let Some(duty) = self.process.execute(action) {
                self.take_duty(now, duty);
            }
        }
    }

    fn take_duty(&mut self, now: Millis, duty: PeerAction) {
        match duty {
            PeerAction::Pull(from, key) => self.spawn(|control| async move {
                control.tell(Note::Peer(pull_from_peer(from, key).await));
            }),
            PeerAction::Apply(record) => self.put_in_force(&record),
            PeerAction::Peers(peers) => self.take_peers(peers),
            PeerAction::Deliver(item) => self.take_item(now, &item),
        }
    }

    fn run_lease(&mut self, now: Millis, index: usize, event: LeaseEvent) {
        let mut actions = Vec::new();
        self.environments[index].lease.handle(now, event, &mut actions);
        let environment = self.environments[index].name.clone();
        for action in actions {
            match action {
                LeaseAction::Call { call, request } => {
                    let (outside, environment) = (self.outside.clone(), environment.clone());
                    self.spawn(|control| async move {
                        let answer = outside.call_store(request).await;
                        control.tell(Note::Lease(environment, call, answer));
                    });
                }
                LeaseAction::Acquired { token } => {
                    log::info!(environment:% = environment, token:% = token; "control lease acquired");
                    self.process.metrics.count("lease.acquired");
                    self.acquired(index);
                }
                LeaseAction::Lost { token, cause } => {
                    log::warn!(environment:% = environment, token:% = token; "control lease lost: {cause}");
                    self.process.metrics.count("lease.lost");
                    self.lost(index);
                }
            }
        }
    }

    fn acquired(&mut self, index: usize) {
        let env = &mut self.environments[index];
        env.is_holder = true;
        // An earlier holder may have written since, so everything is read anew.
        env.has_read_all = false;
        env.drivers.clear();
        env.watch = None;
        self.steps.push_back(Step::Plan(index, PlanEvent::Acquired));
        self.watch_as_needed(index);
    }

    fn lost(&mut self, index: usize) {
        let env = &mut self.environments[index];
        env.is_holder = false;
        env.drivers.clear();
        self.steps.push_back(Step::Plan(index, PlanEvent::Lost));
    }

    fn run_planner(&mut self, now: Millis, index: usize, event: PlanEvent) {
        let mut actions = Vec::new();
        self.environments[index].planner.handle(now, event, &mut actions);
        for action in actions {
            match action {
                PlanAction::ReadState(engine) => self.read_engine(index, engine),
                PlanAction::Order { engine, wanted } => self.order(index, engine, wanted),
                PlanAction::Ready {
                    backend,
                    version,
                    ready,
                } => {
                    log::info!(backend:% = backend, version:% = version, ready = ready; "engines of a version");
                    let is_awaited = |env: &super::environment::Environment| {
                        env.drivers
                            .get(&backend)
                            .is_some_and(|driver| driver.record().spec.to == version)
                    };
                    if is_awaited(&self.environments[index]) {
                        self.steps.push_back(Step::Drive(
                            index,
                            backend.clone(),
                            DriverEvent::EnginesReady(ready),
                        ));
                    }
                    let ready_versions = &mut self.environments[index].ready;
                    ready_versions.retain(|known| *known != (backend.clone(), version.clone()));
                    if ready {
                        ready_versions.push((backend, version));
                    }
                }
            }
        }
    }

    fn read_engine(&mut self, index: usize, engine: EngineId) {
        let environment = self.environments[index].name.clone();
        let Some(address) = self.address_of(index, &engine) else {
            self.steps
                .push_back(Step::Plan(index, PlanEvent::StateFailed(engine)));
            return;
        };
        let outside = self.outside.clone();
        self.spawn(|control| async move {
            let event = outside.read_engine(engine, address).await;
            control.tell(Note::Plan(environment, event));
        });
    }

    /// Gets the permit immediately before the order leaves, in the same turn of the thread.
    fn order(&mut self, index: usize, engine: EngineId, wanted: EngineLoadout) {
        let environment = self.environments[index].name.clone();
        let address = self.address_of(index, &engine);
        let permit = self.environments[index].lease.permit(&self.process.clock);
        let (address, permit) = match (address, permit) {
            (Some(address), Ok(permit)) => (address, permit),
            (None, _) => {
                self.steps
                    .push_back(Step::Plan(index, PlanEvent::StateFailed(engine)));
                return;
            }
            (_, Err(e)) => {
                log::warn!(engine:% = engine; "no order given: {e}");
                let outcome = OrderOutcome::NotPermitted;
                self.steps
                    .push_back(Step::Plan(index, PlanEvent::Ordered { engine, outcome }));
                return;
            }
        };
        let valid_until = self.process.clock.now() + permit.remaining();
        log::info!(engine:% = engine, version:% = wanted.version; "order given");
        let outside = self.outside.clone();
        self.spawn(|control| async move {
            let event = outside
                .order_engine(engine, address, permit, valid_until, wanted)
                .await;
            control.tell(Note::Plan(environment, event));
        });
    }

    fn address_of(&self, index: usize, engine: &EngineId) -> Option<SocketAddr> {
        let document = self.environments[index].document.as_ref()?;
        document.engine(engine).map(|engine| engine.address)
    }

    fn run_guard(&mut self, now: Millis, index: usize, event: WatchEvent) {
        let mut actions = Vec::new();
        self.environments[index].guard.handle(now, event, &mut actions);
        for action in actions {
            match action {
                WatchAction::Compare => self.compare(index),
                // Reading all keys anew helps even where every watch stays silent.
                WatchAction::Reopen { .. } => {
                    log::warn!(environment:% = self.environments[index].name; "the watch went silent");
                    self.process.metrics.count("watch.silent");
                    self.open_watch(index, 0);
                }
            }
        }
    }

    /// Reads the one key whose change matters most.
    fn compare(&mut self, index: usize) {
        let environment = self.environments[index].name.clone();
        let store = self.outside.store.clone();
        self.spawn(|control| async move {
            match store.get(&current_document_key(&environment)).await {
                Ok(Some(entry)) => drop(control.tell(Note::Compared(environment, entry.revision))),
                Ok(None) => {}
                Err(e) => log::debug!("revisions were not compared: {e}"),
            }
        });
    }

    pub(super) fn open_watch(&mut self, index: usize, after: u64) {
        let Some(control) = self.me.clone() else { return };
        let store = self.outside.watched.clone();
        let environment = self.environments[index].name.clone();
        self.environments[index].watch = Some(watch::start(store, environment, after, control));
    }

    /// Publishes a value among the peers.
    pub(super) fn publish<T: Serialize>(&mut self, topic: Topic, name: String, value: &T) {
        match encode(value) {
            Ok(payload) => self.push_membership(MembershipEvent::Publish { topic, name, payload }),
            Err(e) => log::error!("{topic} was not encoded: {e}"),
        }
    }

    /// Starts a task that reports back.
    pub(super) fn spawn<F: Future<Output = ()> + Send + 'static>(
        &self,
        task: impl FnOnce(ControlHandle) -> F,
    ) {
        if let Some(control) = self.me.clone() {
            tokio::spawn(task(control));
        }
    }
}
