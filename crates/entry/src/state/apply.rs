//! Carries out what the pure libraries ask for.

use std::net::SocketAddr;
use std::sync::Arc;

use carawayseam_config::Document;
use carawayseam_external::engine::AttemptRef;
use carawayseam_membership::Event as MembershipEvent;
use carawayseam_node::{PeerAction, document_from_record, pull_from_peer};
use carawayseam_rollout::{GateAction, GateEvent, RolloutRecord};
use carawayseam_scheduler::{Action, Event};
use carawayseam_types::{
    AttemptId, EngineId, EnvironmentId, HostId, Millis, RequestSeq, Revision, VersionId,
};
use carawayseam_wire::{Peer, PeerRole, Record, RecordKey, Topic, encode};
use serde::Serialize;

use super::actor::{ControlState, Step};
use super::messages::{Assignment, Note, Signal};
use super::news::StoppedVersion;

impl ControlState {
    /// Works until no step is left; steps bring about further steps.
    pub(super) fn work(&mut self, now: Millis) {
        while let Some(step) = self.steps.pop_front() {
            match step {
                Step::Scheduler(index, event) => self.run_scheduler(now, index, event),
                Step::Gate(index, event) => self.run_gate(now, index, event),
                Step::Membership(event) => self.run_membership(now, event),
                Step::Confirm(index) => self.confirm(index),
            }
        }
    }

    fn run_scheduler(&mut self, now: Millis, index: usize, event: Event) {
        let mut actions = Vec::new();
        self.environments[index]
            .scheduler
            .handle(now, event, &mut actions);
        for action in actions {
            self.apply_scheduler(index, action);
        }
    }

    fn apply_scheduler(&mut self, index: usize, action: Action) {
        let env = &mut self.environments[index];
        match action {
            Action::Dispatch {
                attempt,
                request,
                engine,
                version,
                import_from,
                ..
            } => {
                env.open_attempt(attempt, request);
                let import_from =
                    import_from.and_then(|(from, attempt)| self.import_of(index, &from, attempt));
                let Some(address) = self.address_of(index, &engine) else {
                    self.fail_at_once(index, attempt);
                    return;
                };
                let assignment = Assignment {
                    attempt,
                    engine,
                    address,
                    version,
                    import_from,
                };
                self.environments[index].signal(request, Signal::Dispatch(assignment));
            }
            Action::Cancel { attempt, engine } => {
                if let Some(open) = env.attempts.remove(&attempt) {
                    log::debug!(engine:% = engine, attempt:% = attempt; "attempt cancelled");
                    env.signal(open, Signal::Cancel(attempt));
                }
            }
            Action::Refuse { request, refusal } => {
                self.process.metrics.count("requests.refused");
                self.finish(index, request, Signal::Refused(refusal));
            }
            Action::Abandon {
                request,
                reason,
                retry_after,
            } => {
                self.process.metrics.count("requests.abandoned");
                self.finish(index, request, Signal::Abandoned { reason, retry_after });
            }
            Action::Forward { request, host } => self.forward(index, request, host),
            Action::AnnouncePoison {
                content,
                engine,
                crashes,
            } => {
                let name = format!("{content}/{engine}");
                self.publish(Topic::Poison, name, &crashes);
            }
            Action::AnnounceLoad(announcement) => {
                let name = self.environments[index].name.to_string();
                self.publish(Topic::PoolLoad, name, &announcement);
            }
            Action::Note(notice) => log::warn!(environment:% = env.name; "{notice}"),
        }
    }

    fn finish(&mut self, index: usize, request: RequestSeq, signal: Signal) {
        let env = &mut self.environments[index];
        env.signal(request, signal);
        if let Some(event) = env.close_request(request) {
            self.steps.push_back(Step::Gate(index, event));
        }
    }

    fn forward(&mut self, index: usize, request: RequestSeq, host: HostId) {
        let address = self.entry_address(&host);
        let env = &self.environments[index];
        let Some(open) = env.requests.get(&request) else {
            return;
        };
        let version = open.version.clone();
        env.signal(
            request,
            Signal::Forward {
                host,
                address,
                version,
            },
        );
    }

    fn entry_address(&self, host: &HostId) -> Option<SocketAddr> {
        let entry = |peer: &&Peer| peer.host == *host && peer.role == PeerRole::Entry;
        self.peers.iter().find(entry).map(|peer| peer.address)
    }

    fn address_of(&self, index: usize, engine: &EngineId) -> Option<SocketAddr> {
        let document = self.environments[index].document.as_ref()?;
        document.engine(engine).map(|engine| engine.address)
    }

    fn import_of(
        &self,
        index: usize,
        engine: &EngineId,
        attempt: AttemptId,
    ) -> Option<(SocketAddr, AttemptRef)> {
        let address = self.address_of(index, engine)?;
        Some((address, self.attempt_ref(attempt)))
    }

    fn attempt_ref(&self, attempt: AttemptId) -> AttemptRef {
        AttemptRef {
            host: self.process.settings.host.clone(),
            incarnation: self.process.incarnation.0,
            attempt,
        }
    }

    fn run_gate(&mut self, now: Millis, index: usize, event: GateEvent) {
        let mut actions = Vec::new();
        self.environments[index].gate.handle(now, event, &mut actions);
        for action in actions {
            self.apply_gate(index, action);
        }
    }

    fn apply_gate(&mut self, index: usize, action: GateAction) {
        match action {
            GateAction::Stop {
                move_id,
                backend,
                withdrawn,
                serving,
                cause,
            } => {
                self.process.metrics.count("moves.stopped");
                log::warn!(move_id:% = move_id, version:% = withdrawn; "version stopped here: {cause}");
                let name = move_id.to_string();
                let environment = self.environments[index].name.clone();
                self.publish_json(
                    Topic::Stopped,
                    name,
                    &StoppedVersion {
                        environment,
                        move_id,
                        cause,
                    },
                );
                self.withdraw(index, backend, withdrawn, serving);
            }
            GateAction::Report(evidence) => {
                let name = evidence.move_id.to_string();
                self.publish(Topic::Evidence, name, &evidence);
            }
            GateAction::Settled {
                move_id,
                serving,
                cause,
            } => {
                log::info!(move_id:% = move_id, version:% = serving; "move settled here: {cause}");
            }
        }
    }

    fn withdraw(
        &mut self,
        index: usize,
        backend: carawayseam_types::BackendName,
        from: VersionId,
        to: VersionId,
    ) {
        self.steps.push_back(Step::Scheduler(
            index,
            Event::VersionWithdrawn { backend, from, to },
        ));
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
            PeerAction::Pull(from, key) => self.pull(from, key),
            PeerAction::Apply(record) => self.put_in_force(&record),
            PeerAction::Peers(peers) => self.take_peers(peers),
            PeerAction::Deliver(item) => self.take_item(now, &item),
        }
    }

    fn pull(&self, from: SocketAddr, key: RecordKey) {
        let Some(me) = self.me.clone() else {
            return;
        };
        tokio::spawn(async move {
            let news = pull_from_peer(from, key).await;
            if me.tell(Note::Peer(news)).try_send().is_err() {
                log::debug!("the control state has ended");
            }
        });
    }

    fn put_in_force(&mut self, record: &Record) {
        match &record.head.key {
            RecordKey::Configuration(environment) => {
                if let Some(document) = document_from_record(record) {
                    self.configure(environment, record.head.revision, document);
                }
            }
            RecordKey::Rollout(environment, _) => match serde_json::from_str::<RolloutRecord>(&record.body) {
                Ok(mv) => {
                    let Some(index) = self.index_of(environment) else {
                        return;
                    };
                    log::info!(move_id:% = mv.spec.name, revision:% = mv.revision; "move is {}: {}", mv.phase, mv.cause);
                    self.steps.push_back(Step::Gate(index, GateEvent::Record(mv)));
                    self.steps.push_back(Step::Gate(index, GateEvent::Contact));
                    self.steps.push_back(Step::Confirm(index));
                }
                Err(e) => log::error!("{} not read: {e}", record.head.key),
            },
        }
    }

    fn configure(&mut self, environment: &EnvironmentId, revision: Revision, document: Arc<Document>) {
        let Some(index) = self.index_of(environment) else {
            return;
        };
        let env = &mut self.environments[index];
        env.document = Some(Arc::clone(&document));
        env.revision = Some(revision);
        self.process.log_revision.set(revision);
        log::info!(environment:% = environment, revision:% = revision; "document in force");
        self.documents
            .send_modify(|documents| documents[index].1 = Some(Arc::clone(&document)));
        self.steps
            .push_back(Step::Gate(index, GateEvent::Configure(Arc::clone(&document))));
        self.steps
            .push_back(Step::Scheduler(index, Event::Configure(document)));
        self.steps.push_back(Step::Confirm(index));
    }

    /// Publishes a value among the peers.
    pub(super) fn publish<T: Serialize>(&mut self, topic: Topic, name: String, value: &T) {
        match encode(value) {
            Ok(payload) => {
                self.steps.push_back(Step::Membership(MembershipEvent::Publish {
                    topic,
                    name,
                    payload,
                }));
            }
            Err(e) => log::error!("{topic} was not encoded: {e}"),
        }
    }
}
