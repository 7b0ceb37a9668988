//! Responds to other hosts' requests for state that this host owns: quota accounts of organisations
//! and slots of backend servers.

use carawayseam_dispatch::quota::AccountKind;
use carawayseam_types::{EngineKey, HostId, OrganisationId};
use carawayseam_wire::{PeerMessage, PeerResponse, QuotaOutcome, QuotaRequest, SlotOutcome};

use crate::shared::{Shared, lock};

/// Responds to a host's request for tokens of an organisation's quota.
pub(super) fn respond_quota(shared: &Shared, request: &QuotaRequest) {
    let response = PeerResponse::Quota(grant_quota(shared, request));
    let request_id = request.request_id;
    shared
        .peers
        .send(&request.host, &PeerMessage::Response { request_id, response });
}

/// Responds to a host's request for a slot of a backend server.
pub(super) fn respond_slot(shared: &Shared, host: &HostId, request_id: u64, engine: EngineKey) {
    let granted = lock(&shared.dispatch)
        .dispatcher
        .grant_slot(shared.now(), host, engine);
    let outcome = match granted {
        Some(true) => SlotOutcome::Granted,
        Some(false) => SlotOutcome::Full,
        None => SlotOutcome::NotOwner,
    };
    let response = PeerResponse::Slot(outcome);
    shared
        .peers
        .send(host, &PeerMessage::Response { request_id, response });
}

/// Releases a slot that another host held; a request that waits on this host may then start.
pub(super) fn release_slot(shared: &Shared, host: &HostId, engine: EngineKey) {
    let now = shared.now();
    let mut dispatch = lock(&shared.dispatch);
    let actions = dispatch.dispatcher.release_slot(now, host, engine);
    dispatch.apply(now, actions);
}

fn grant_quota(shared: &Shared, request: &QuotaRequest) -> QuotaOutcome {
    let catalog = shared.catalog();
    let organisation = catalog
        .as_ref()
        .and_then(|catalog| catalog.organisation(&request.organisation));
    let Some(quota) = organisation.and_then(|organisation| organisation.quota) else {
        return QuotaOutcome::NotOwner;
    };
    let tokens = f64::from(request.tokens);
    let taken = lock(&shared.dispatch).quotas.take_shared(
        shared.now(),
        &request.organisation,
        quota,
        tokens,
        request.max_wait,
    );
    match taken {
        Ok(wait) => QuotaOutcome::Granted(wait),
        Err(Some(wait)) => QuotaOutcome::Refused(wait),
        Err(None) => QuotaOutcome::NotOwner,
    }
}

/// Refunds tokens that another host did not use to the organisation's account.
pub(super) fn return_tokens(shared: &Shared, organisation: &OrganisationId, tokens: u32) {
    let mut dispatch = lock(&shared.dispatch);
    dispatch
        .quotas
        .refund(organisation, AccountKind::Shared, f64::from(tokens));
}
