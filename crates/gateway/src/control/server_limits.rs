//! Exchanges the rate limits of backend servers with the other hosts.

use carawayseam_dispatch::server_limits::ServerLimit;
use carawayseam_types::{HostId, Millis, RequestRate};
use carawayseam_wire::{PeerMessage, ServerLimitUpdate};

use crate::shared::{Shared, lock};

/// Returns the announcement of the limits that peers may not know, or `None` if there are none.
pub(super) fn announcement(shared: &Shared, now: Millis, has_new_peer: bool) -> Option<PeerMessage> {
    let updates = lock(&shared.dispatch)
        .server_limits
        .gossip_updates(now, has_new_peer);
    (!updates.is_empty()).then(|| PeerMessage::ServerLimits {
        host: shared.settings.host.clone(),
        limits: updates.into_iter().map(encode_limit).collect(),
    })
}

/// Applies the limits that a peer announced.
pub(super) fn apply_updates(shared: &Shared, host: &HostId, limits: Vec<ServerLimitUpdate>) {
    let now = shared.now();
    for ServerLimitUpdate {
        engine,
        version,
        limit,
    } in limits
    {
        let update = ServerLimit {
            engine: engine.clone(),
            version,
            limit,
        };
        if lock(&shared.dispatch).record_peer_rate_limit(now, update) {
            log::info!(
                engine:% = engine, peer:% = host, limit_per_s = limit.map(RequestRate::per_second);
                "a peer reported the rate limit of a backend server"
            );
        }
    }
}

fn encode_limit(limit: ServerLimit) -> ServerLimitUpdate {
    ServerLimitUpdate {
        engine: limit.engine,
        version: limit.version,
        limit: limit.limit,
    }
}
