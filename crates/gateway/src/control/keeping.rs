//! What this host keeps for others: organisations' accounts, and slots of backend servers.

use carawayseam_dispatch::quota::Source;
use carawayseam_types::{EngineKey, HostId, OrganisationId};
use carawayseam_wire::{PeerMessage, PeerResponse, QuotaOutcome, QuotaRequest, SlotOutcome};

use crate::shared::{Shared, lock};

/// Answers a host that asks for tokens.
pub(super) fn answer_quota(shared: &Shared, asked: &QuotaRequest) {
    let answer = PeerResponse::Quota(outcome(shared, asked));
    let ask = asked.request_id;
    shared.peers.send(
        &asked.host,
        &PeerMessage::Response {
            request_id: ask,
            response: answer,
        },
    );
}

/// Answers a host that asks for a slot.
pub(super) fn answer_slot(shared: &Shared, host: &HostId, ask: u64, engine: EngineKey) {
    let granted = lock(&shared.dispatch)
        .dispatcher
        .grant_slot(shared.now(), host, engine);
    let outcome = match granted {
        Some(true) => SlotOutcome::Granted,
        Some(false) => SlotOutcome::Full,
        None => SlotOutcome::NotOwner,
    };
    let answer = PeerResponse::Slot(outcome);
    shared.peers.send(
        host,
        &PeerMessage::Response {
            request_id: ask,
            response: answer,
        },
    );
}

/// A slot is free again; a request that waits here may take it.
pub(super) fn take_slot_back(shared: &Shared, host: &HostId, engine: EngineKey) {
    let now = shared.now();
    let mut dispatch = lock(&shared.dispatch);
    let actions = dispatch.dispatcher.slot_returned(now, host, engine);
    dispatch.apply(now, actions);
}

fn outcome(shared: &Shared, asked: &QuotaRequest) -> QuotaOutcome {
    let catalog = shared.catalog();
    let organisation = catalog
        .as_ref()
        .and_then(|catalog| catalog.organisation(&asked.organisation));
    let Some(quota) = organisation.and_then(|organisation| organisation.quota) else {
        return QuotaOutcome::NotOwner;
    };
    let tokens = f64::from(asked.tokens);
    let taken = lock(&shared.dispatch).quotas.take_pooled(
        shared.now(),
        &asked.organisation,
        quota,
        tokens,
        asked.max_wait,
    );
    match taken {
        Ok(wait) => QuotaOutcome::Granted(wait),
        Err(Some(wait)) => QuotaOutcome::Refused(wait),
        Err(None) => QuotaOutcome::NotOwner,
    }
}

/// Takes back tokens that another host did not use.
pub(super) fn take_back(shared: &Shared, organisation: &OrganisationId, tokens: u32) {
    let mut dispatch = lock(&shared.dispatch);
    dispatch
        .quotas
        .give_back(organisation, Source::Pooled, f64::from(tokens));
}
