//! Takes a permit before a request is sent to a backend server that reports a rate limit or warms up.
//!
//! The limit applies to all hosts together, so one of them owns the permits and the others ask it for
//! each request. Without a permit the request goes to another server, or waits. Unlike a slot, a permit
//! is not assumed if the owner does not respond.

use carawayseam_types::{EngineId, HostId, Millis, RequestRate};
use carawayseam_wire::{PeerMessage, PeerResponse, PermitOutcome};

use crate::shared::{Assignment, Shared, lock};

/// The maximum time to wait for the owner's response.
const REQUEST_TIMEOUT: Millis = Millis(20);
const MAX_REQUESTS: u32 = 2;
/// How long a server is not used by this host if no host grants permits to use it.
const NO_OWNER_PAUSE: Millis = Millis(100);

/// A permit to send one request to a server with a rate limit.
#[derive(Debug)]
pub(super) struct Permit {
    engine: EngineId,
    limit: RequestRate,
    /// The host that granted it; `None` if that is this host.
    owner: Option<HostId>,
}

impl Permit {
    /// Returns the rate limit that the permit is for.
    pub(super) const fn limit(&self) -> RequestRate {
        self.limit
    }

    /// Returns the permit of a request that was not sent.
    pub(super) fn refund(self, shared: &Shared) {
        match self.owner {
            Some(owner) => shared
                .peers
                .send(&owner, &PeerMessage::PermitReturn { engine: self.engine }),
            None => lock(&shared.dispatch).server_limits.refund_permit(&self.engine),
        }
    }
}

/// The server's rate limit leaves no room for the request.
#[derive(Debug)]
pub(super) struct RateLimited;

/// Takes a permit for an assignment; returns `None` if the server reports no limit.
pub(super) async fn acquire(shared: &Shared, assignment: &Assignment) -> Result<Option<Permit>, RateLimited> {
    let engine = &assignment.engine;
    let limit = lock(&shared.dispatch)
        .server_limits
        .limit_at(shared.now(), engine);
    let Some(limit) = limit else {
        return Ok(None);
    };
    let (outcome, owner) = match take_own(shared, engine, limit) {
        Ok(outcome) => (outcome, None),
        Err(owner) => (ask_owner(shared, &owner, engine, limit).await, Some(owner)),
    };
    shared.metrics.count("permit_asks", outcome_label(outcome));
    let wait = match outcome {
        Some(PermitOutcome::Granted) => {
            let engine = engine.clone();
            return Ok(Some(Permit { engine, limit, owner }));
        }
        Some(PermitOutcome::Refused(wait)) => wait,
        Some(PermitOutcome::NotOwner) | None => NO_OWNER_PAUSE,
    };
    log::debug!(engine:% = engine, wait_ms = wait.0; "the rate limit of a backend server leaves no room");
    lock(&shared.dispatch)
        .dispatcher
        .defer_server(shared.now(), engine, limit, wait);
    Err(RateLimited)
}

/// Takes a permit that this host owns; returns the owner if it is another host.
fn take_own(shared: &Shared, engine: &EngineId, limit: RequestRate) -> Result<Option<PermitOutcome>, HostId> {
    let limits = &mut lock(&shared.dispatch).server_limits;
    match limits.take_permit(shared.now(), engine, limit) {
        Ok(()) => Ok(Some(PermitOutcome::Granted)),
        Err(Some(wait)) => Ok(Some(PermitOutcome::Refused(wait))),
        Err(None) => limits.remote_owner(engine).cloned().map_or(Ok(None), Err),
    }
}

/// Asks the owner for a permit; returns `None` if it does not respond.
async fn ask_owner(
    shared: &Shared,
    owner: &HostId,
    engine: &EngineId,
    limit: RequestRate,
) -> Option<PermitOutcome> {
    let message = |request_id| PeerMessage::PermitRequest {
        host: shared.settings.host.clone(),
        request_id,
        engine: engine.clone(),
        limit,
    };
    let response = shared
        .peers
        .request(owner, REQUEST_TIMEOUT, MAX_REQUESTS, message)
        .await;
    match response {
        Some(PeerResponse::Permit(outcome)) => Some(outcome),
        _ => None,
    }
}

const fn outcome_label(outcome: Option<PermitOutcome>) -> &'static str {
    match outcome {
        Some(PermitOutcome::Granted) => "granted",
        Some(PermitOutcome::Refused(_)) => "refused",
        Some(PermitOutcome::NotOwner) => "not-owner",
        None => "unanswered",
    }
}
