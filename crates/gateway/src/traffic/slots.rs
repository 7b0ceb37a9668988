//! Requests a slot from the host that owns a backend server's slots before a request is sent there.
//!
//! Loads are announced several times a second. Between two announcements many hosts see the same
//! free slot; its owner grants it to one of them. Without a response the request is sent anyway, unless
//! the server is brittle.

use carawayseam_types::{EngineKey, HostId, Millis};
use carawayseam_wire::{PeerMessage, PeerResponse, SlotOutcome};

use crate::shared::{Assignment, Shared, lock};

/// The maximum time to wait for the owner's response.
const REQUEST_TIMEOUT: Millis = Millis(15);
const MAX_REQUESTS: u32 = 1;

/// A slot of a server, held at the host that owns the server's slots.
#[derive(Debug)]
pub(super) struct RemoteSlot {
    owner: HostId,
    engine: EngineKey,
}

impl RemoteSlot {
    /// Returns the slot to its owner.
    pub(super) fn release(self, shared: &Shared) {
        let message = PeerMessage::SlotReturn {
            host: shared.settings.host.clone(),
            engine: self.engine,
        };
        shared.peers.send(&self.owner, &message);
    }
}

/// The owner of a server's slots reported that none is free, or granted none of a brittle server.
#[derive(Debug)]
pub(super) struct NoFreeSlot;

/// Acquires the slot for an assignment; returns `None` if this host owns the server's slots itself.
pub(super) async fn acquire(
    shared: &Shared,
    assignment: &Assignment,
    is_brittle: bool,
) -> Result<Option<RemoteSlot>, NoFreeSlot> {
    let Some(owner) = shared.peers.owner(assignment.engine.as_str()) else {
        let dispatcher = &mut lock(&shared.dispatch).dispatcher;
        let is_granted = dispatcher.grant_own_slot(shared.now(), &assignment.engine);
        return if is_granted { Ok(None) } else { Err(NoFreeSlot) };
    };
    let engine = EngineKey::from(&assignment.engine);
    let message = |request_id| PeerMessage::SlotRequest {
        host: shared.settings.host.clone(),
        request_id,
        engine,
    };
    let outcome = match shared
        .peers
        .request(&owner, REQUEST_TIMEOUT, MAX_REQUESTS, message)
        .await
    {
        Some(PeerResponse::Slot(outcome)) => Some(outcome),
        _ => None,
    };
    shared.metrics.count("slot_asks", outcome_label(outcome));
    match outcome {
        Some(SlotOutcome::Full) => Err(NoFreeSlot),
        Some(SlotOutcome::NotOwner) | None if is_brittle => Err(NoFreeSlot),
        Some(SlotOutcome::Granted | SlotOutcome::NotOwner) | None => Ok(Some(RemoteSlot { owner, engine })),
    }
}

const fn outcome_label(outcome: Option<SlotOutcome>) -> &'static str {
    match outcome {
        Some(SlotOutcome::Granted) => "granted",
        Some(SlotOutcome::Full) => "full",
        Some(SlotOutcome::NotOwner) => "not-kept",
        None => "unanswered",
    }
}
