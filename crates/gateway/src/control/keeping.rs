//! What this host keeps for others: organisations' accounts, and slots of backend servers.

use carawayseam_dispatch::quota::Source;
use carawayseam_types::{EngineKey, HostId, OrganisationId};
use carawayseam_wire::{AskAnswer, PeerMessage, QuotaAsk, QuotaOutcome, SlotOutcome};

use crate::shared::{Shared, lock};

/// Answers a host that asks for tokens.
pub(super) fn answer_quota(shared: &Shared, asked: &QuotaAsk) {
    let answer = AskAnswer::Quota(outcome(shared, asked));
    let ask = asked.ask;
    shared
        .peers
        .send(&asked.host, &PeerMessage::Answer { ask, answer });
}

/// Answers a host that asks for a slot.
pub(super) fn answer_slot(shared: &Shared, host: &HostId, ask: u64, engine: EngineKey) {
    let granted = lock(&shared.dispatch)
        .dispatcher
        .grant_slot(shared.now(), host, engine);
    let outcome = match granted {
        Some(true) => SlotOutcome::Granted,
        Some(false) => SlotOutcome::Full,
        None => SlotOutcome::NotKept,
    };
    let answer = AskAnswer::Slot(outcome);
    shared.peers.send(host, &PeerMessage::Answer { ask, answer });
}

/// A slot is free again; a request that waits here may take it.
pub(super) fn take_slot_back(shared: &Shared, host: &HostId, engine: EngineKey) {
    let now = shared.now();
    let mut dispatch = lock(&shared.dispatch);
    let actions = dispatch.dispatcher.slot_returned(now, host, engine);
    dispatch.apply(now, actions);
}

fn outcome(shared: &Shared, asked: &QuotaAsk) -> QuotaOutcome {
    let catalog = shared.catalog();
    let organisation = catalog
        .as_ref()
        .and_then(|catalog| catalog.organisation(&asked.organisation));
    let Some(quota) = organisation.and_then(|organisation| organisation.quota) else {
        return QuotaOutcome::NotKept;
    };
    let tokens = f64::from(asked.tokens);
    let taken = lock(&shared.dispatch).quotas.take_pooled(
        shared.now(),
        &asked.organisation,
        quota,
        tokens,
        asked.patience,
    );
    match taken {
        Ok(wait) => QuotaOutcome::Granted(wait),
        Err(Some(wait)) => QuotaOutcome::Refused(wait),
        Err(None) => QuotaOutcome::NotKept,
    }
}

/// Takes back tokens that another host did not use.
pub(super) fn take_back(shared: &Shared, organisation: &OrganisationId, tokens: u32) {
    let mut dispatch = lock(&shared.dispatch);
    dispatch
        .quotas
        .give_back(organisation, Source::Pooled, f64::from(tokens));
}
