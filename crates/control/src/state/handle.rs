//! How tasks reach the control state.

use carawayseam_node::PeerQuery;
use carawayseam_wire::{Head, Record, RecordKey};
use kameo::actor::ActorRef;
use tokio::sync::oneshot;

use super::actor::ControlState;
use super::messages::{Note, Question, StateDump};

/// Reaches the control state.
#[derive(Debug, Clone)]
pub(crate) struct ControlHandle(ActorRef<ControlState>);

impl ControlHandle {
    pub(super) const fn new(actor: ActorRef<ControlState>) -> Self {
        Self(actor)
    }

    /// Sends a message; false once the actor has ended.
    pub(crate) fn tell(&self, note: Note) -> bool {
        // The mailbox is unbounded, so this fails only then.
        self.0.tell(note).try_send().is_ok()
    }

    /// Gives leases back, tells the peers and ends the actor.
    pub(crate) async fn leave(&self) {
        self.tell(Note::Leave);
        if self.0.stop_gracefully().await.is_err() {
            log::debug!("the control state had ended");
        }
        self.0.wait_for_shutdown().await;
    }

    pub(crate) async fn dump(&self) -> Option<StateDump> {
        self.ask(Question::Dump).await
    }

    pub(crate) async fn heads(&self) -> Vec<Head> {
        self.ask(|tx| Question::Peer(PeerQuery::Heads(tx)))
            .await
            .unwrap_or_default()
    }

    pub(crate) async fn local_record(&self, key: RecordKey) -> Option<Record> {
        self.ask(|tx| Question::Peer(PeerQuery::Record(key, tx)))
            .await
            .flatten()
    }

    async fn ask<T>(&self, question: impl FnOnce(oneshot::Sender<T>) -> Question) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        if self.0.tell(question(tx)).try_send().is_err() {
            return None;
        }
        rx.await.ok()
    }
}
