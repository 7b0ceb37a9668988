//! Responds to other hosts' requests for state that this host owns: quota accounts of organisations, and
//! slots and permits of backend servers.

use carawayseam_dispatch::quota::AccountKind;
use carawayseam_types::{EngineId, EngineKey, HostId, OrganisationId, RequestRate};
use carawayseam_wire::{PeerResponse, PermitOutcome, QuotaOutcome, QuotaRequest, SlotOutcome};

use crate::shared::{Shared, lock};

/// Responds to a host's request for tokens of an organisation's quota.
pub(super) fn respond_quota(shared: &Shared, request: &QuotaRequest) {
    let response = PeerResponse::Quota(grant_quota(shared, request));
    shared.peers.respond(&request.host, request.request_id, response);
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
    shared.peers.respond(host, request_id, response);
}

/// Releases a slot that another host held; a request that waits on this host may then start.
pub(super) fn release_slot(shared: &Shared, host: &HostId, engine: EngineKey) {
    let now = shared.now();
    let mut dispatch = lock(&shared.dispatch);
    let actions = dispatch.dispatcher.release_slot(now, host, engine);
    dispatch.apply(now, actions);
}

/// Responds to a host's request for a permit to use a backend server with a rate limit.
pub(super) fn respond_permit(
    shared: &Shared,
    host: &HostId,
    request_id: u64,
    engine: &EngineId,
    limit: RequestRate,
) {
    let taken = lock(&shared.dispatch)
        .server_limits
        .take_permit(shared.now(), engine, limit);
    let outcome = match taken {
        Ok(()) => PermitOutcome::Granted,
        Err(Some(wait)) => PermitOutcome::Refused(wait),
        Err(None) => PermitOutcome::NotOwner,
    };
    let response = PeerResponse::Permit(outcome);
    shared.peers.respond(host, request_id, response);
}

/// Takes back a permit that another host did not use.
pub(super) fn return_permit(shared: &Shared, engine: &EngineId) {
    lock(&shared.dispatch).server_limits.refund_permit(engine);
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
