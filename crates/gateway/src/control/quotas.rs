//! Organisations' accounts that this host keeps for others.

use carawayseam_dispatch::quota::Source;
use carawayseam_types::OrganisationId;
use carawayseam_wire::{PeerMessage, QuotaAsk, QuotaOutcome};

use crate::shared::{Shared, lock};

/// Answers a host that asks for tokens.
pub(super) fn answer(shared: &Shared, asked: &QuotaAsk) {
    let outcome = outcome(shared, asked);
    let answer = PeerMessage::QuotaAnswer {
        ask: asked.ask,
        outcome,
    };
    shared.peers.send(&asked.host, &answer);
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
    let taken = lock(&shared.desk).quotas.take_pooled(
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
    let mut desk = lock(&shared.desk);
    desk.quotas
        .give_back(organisation, Source::Pooled, f64::from(tokens));
}
