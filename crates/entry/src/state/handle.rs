//! How other threads reach the control state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use carawayseam_config::Document;
use carawayseam_external::engine::{CacheEvents, LoadReport};
use carawayseam_external::hosts::HostList;
use carawayseam_node::{PeerEvent, PeerQuery};
use carawayseam_rollout::Observation;
use carawayseam_types::{AttemptId, EngineId, EnvironmentId, Millis, RequestSeq};
use carawayseam_wire::{Head, Record, RecordKey};
use kameo::actor::ActorRef;
use tokio::sync::{oneshot, watch};

use super::actor::ControlState;
use super::messages::{AttemptNews, EngineReading, Note, Question, StateDump, Submission};

/// The documents in force, by environment in the order of the settings.
pub(crate) type Documents = Vec<(EnvironmentId, Option<Arc<Document>>)>;

/// Reaches the control state from any thread.
#[derive(Debug, Clone)]
pub(crate) struct ControlHandle {
    actor: ActorRef<ControlState>,
    documents: watch::Receiver<Documents>,
    caught_up: Arc<AtomicBool>,
}

impl ControlHandle {
    pub(super) const fn new(
        actor: ActorRef<ControlState>,
        documents: watch::Receiver<Documents>,
        caught_up: Arc<AtomicBool>,
    ) -> Self {
        Self {
            actor,
            documents,
            caught_up,
        }
    }

    /// The document of an environment in force.
    pub(crate) fn document(&self, environment: &EnvironmentId) -> Option<Arc<Document>> {
        let documents = self.documents.borrow();
        let found = documents.iter().find(|(name, _)| name == environment);
        found.and_then(|(_, document)| document.clone())
    }

    /// Whether an environment's document is known.
    pub(crate) fn has_document(&self, environment: &EnvironmentId) -> bool {
        self.document(environment).is_some()
    }

    /// Whether every environment's document is known, and is not the word of one lagging peer.
    pub(crate) fn is_ready(&self) -> bool {
        let has_all = self
            .documents
            .borrow()
            .iter()
            .all(|(_, document)| document.is_some());
        has_all && self.caught_up.load(Ordering::Relaxed)
    }

    /// The longest deadline that a route allows.
    pub(crate) fn longest_deadline(&self) -> Millis {
        let documents = self.documents.borrow();
        let routes = documents
            .iter()
            .filter_map(|(_, document)| document.as_ref())
            .flat_map(|d| &d.routes);
        routes
            .map(|route| route.max_deadline)
            .max()
            .unwrap_or(Millis::ZERO)
    }

    /// Whether the settings name an environment.
    pub(crate) fn serves(&self, environment: &EnvironmentId) -> bool {
        self.documents
            .borrow()
            .iter()
            .any(|(name, _)| name == environment)
    }

    pub(crate) fn submit(&self, submission: Submission) {
        self.tell(Note::Submit(Box::new(submission)));
    }

    pub(crate) fn caller_gone(&self, environment: EnvironmentId, request: RequestSeq) {
        self.tell(Note::CallerGone(environment, request));
    }

    pub(crate) fn attempt(&self, environment: EnvironmentId, attempt: AttemptId, news: AttemptNews) {
        self.tell(Note::Attempt(environment, attempt, news));
    }

    pub(crate) fn observed(&self, environment: EnvironmentId, request: RequestSeq, observation: Observation) {
        self.tell(Note::Observed(environment, request, observation));
    }

    pub(crate) fn record(&self, record: Record) {
        self.tell(Note::Peer(PeerEvent::Record(record)));
    }

    pub(crate) fn heads(&self, from: SocketAddr, heads: Vec<Head>) {
        self.tell(Note::Peer(PeerEvent::Heads(from, heads)));
    }

    pub(crate) fn host_list(&self, list: HostList) {
        self.tell(Note::HostList(list));
    }

    pub(crate) fn engine_load(&self, environment: EnvironmentId, load: LoadReport) {
        self.tell(Note::EngineLoad(environment, load));
    }

    pub(crate) fn cache_events(&self, environment: EnvironmentId, engine: EngineId, events: CacheEvents) {
        self.tell(Note::CacheEvents(environment, engine, events));
    }

    pub(crate) fn drain(&self) {
        self.tell(Note::Drain);
    }

    /// Tells the peers that this process stops, and ends the actor.
    pub(crate) async fn leave(&self) {
        self.tell(Note::Leave);
        if self.actor.stop_gracefully().await.is_err() {
            log::debug!("the control state had ended");
        }
        self.actor.wait_for_shutdown().await;
    }

    pub(crate) async fn wait_for_end(&self) {
        self.actor.wait_for_shutdown().await;
    }

    pub(crate) async fn dump(&self) -> Option<StateDump> {
        self.ask(Question::Dump).await
    }

    pub(crate) async fn local_heads(&self) -> Vec<Head> {
        self.ask(|tx| Question::Peer(PeerQuery::Heads(tx)))
            .await
            .unwrap_or_default()
    }

    pub(crate) async fn local_record(&self, key: RecordKey) -> Option<Record> {
        self.ask(|tx| Question::Peer(PeerQuery::Record(key, tx)))
            .await
            .flatten()
    }

    pub(crate) async fn engines_to_read(&self) -> Vec<EngineReading> {
        self.ask(Question::EnginesToRead).await.unwrap_or_default()
    }

    /// Sends a message; false once the actor has ended.
    pub(super) fn tell(&self, note: Note) -> bool {
        // The mailbox is unbounded, so this fails only then.
        let taken = self.actor.tell(note).try_send().is_ok();
        if !taken {
            log::debug!("the control state has ended");
        }
        taken
    }

    async fn ask<T>(&self, question: impl FnOnce(oneshot::Sender<T>) -> Question) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        if self.actor.tell(question(tx)).try_send().is_err() {
            return None;
        }
        rx.await.ok()
    }
}
