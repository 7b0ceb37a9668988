//! Requests a slot from the host that owns a backend server's slots before a request is sent there.
//!
//! Loads are announced several times a second. Between two announcements many hosts see the same
//! free slot; its owner grants it to one of them. Without a response the request is sent anyway, unless
//! the server is brittle.

use carawayseam_types::{EngineKey, HostId, Millis, Tier};
use carawayseam_wire::{PeerMessage, PeerResponse, SlotClaim, SlotOutcome};

use crate::control::decode_claimed;
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

/// What a slot is needed for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Claim {
    /// The tier of the request.
    pub(super) tier: Tier,
    /// Whether the server bears few rejections.
    pub(super) is_brittle: bool,
}

/// The owner of a server's slots reported that none is free, or granted none of a brittle server.
#[derive(Debug)]
pub(super) struct NoFreeSlot;

/// Acquires the slot for an assignment; returns `None` if this host owns the server's slots itself.
pub(super) async fn acquire(
    shared: &Shared,
    assignment: &Assignment,
    claim: Claim,
) -> Result<Option<RemoteSlot>, NoFreeSlot> {
    let zone = lock(&shared.dispatch).dispatcher.zone_of(&assignment.engine);
    let Some(owner) = shared.peers.slot_owner(assignment.engine.as_str(), zone.as_ref()) else {
        return acquire_own(shared, assignment, claim);
    };
    let engine = EngineKey::from(&assignment.engine);
    let outcome = if shared.peers.takes_claims() {
        claim_slot(shared, &owner, assignment, claim.tier).await
    } else {
        request_slot(shared, &owner, engine).await
    };
    shared.metrics.count("slot_asks", outcome_label(outcome));
    match outcome {
        Some(SlotOutcome::Full) => Err(NoFreeSlot),
        Some(SlotOutcome::NotOwner) | None if claim.is_brittle => Err(NoFreeSlot),
        Some(SlotOutcome::Granted | SlotOutcome::NotOwner) | None => Ok(Some(RemoteSlot { owner, engine })),
    }
}

/// Takes a slot that this host owns.
fn acquire_own(
    shared: &Shared,
    assignment: &Assignment,
    claim: Claim,
) -> Result<Option<RemoteSlot>, NoFreeSlot> {
    let now = shared.now();
    let dispatcher = &mut lock(&shared.dispatch).dispatcher;
    let is_free =
        !shared.peers.takes_claims() || dispatcher.may_use_own_slot(now, &assignment.engine, claim.tier);
    let is_granted = is_free && dispatcher.grant_own_slot(now, &assignment.engine);
    if is_granted { Ok(None) } else { Err(NoFreeSlot) }
}

/// Claims a slot from its owner, and records the load that it tells; returns `None` if it does not respond.
async fn claim_slot(
    shared: &Shared,
    owner: &HostId,
    assignment: &Assignment,
    tier: Tier,
) -> Option<SlotOutcome> {
    let message = |request_id| {
        PeerMessage::SlotClaim(SlotClaim {
            host: shared.settings.host.clone(),
            request_id,
            engine: EngineKey::from(&assignment.engine),
            tier,
        })
    };
    let response = shared
        .peers
        .request(owner, REQUEST_TIMEOUT, MAX_REQUESTS, message)
        .await;
    let Some(PeerResponse::SlotLoad(load)) = response else {
        return None;
    };
    if let Some(claimed) = decode_claimed(&load) {
        lock(&shared.dispatch).dispatcher.record_claim_response(
            shared.now(),
            &assignment.engine,
            owner,
            claimed,
        );
    }
    Some(load.outcome)
}

/// Requests a slot from an owner that announces its loads to all hosts; returns `None` if it does not respond.
async fn request_slot(shared: &Shared, owner: &HostId, engine: EngineKey) -> Option<SlotOutcome> {
    let message = |request_id| PeerMessage::SlotRequest {
        host: shared.settings.host.clone(),
        request_id,
        engine,
    };
    let response = shared
        .peers
        .request(owner, REQUEST_TIMEOUT, MAX_REQUESTS, message)
        .await;
    match response {
        Some(PeerResponse::Slot(outcome)) => Some(outcome),
        _ => None,
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
