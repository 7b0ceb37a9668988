//! Exchanges the rate limits and the rejection limits of backend servers with the other hosts.

use carawayseam_dispatch::server_limits::ServerLimit;
use carawayseam_types::{EngineId, HostId, Millis, RejectionLimit, RequestRate};
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

/// Returns the announcement of the brittle servers that peers may not know, or `None` if there are none.
pub(super) fn brittle_announcement(shared: &Shared, now: Millis, has_new_peer: bool) -> Option<PeerMessage> {
    let updates = lock(&shared.dispatch)
        .dispatcher
        .rejection_limit_updates(now, has_new_peer);
    (!updates.is_empty()).then(|| PeerMessage::BrittleServers {
        host: shared.settings.host.clone(),
        limits: updates.into_iter().map(encode_limit).collect(),
    })
}

/// Applies the rejection limits that a peer announced.
pub(super) fn apply_brittle_updates(
    shared: &Shared,
    host: &HostId,
    limits: Vec<ServerLimitUpdate<RejectionLimit>>,
) {
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
        let dispatcher = &mut lock(&shared.dispatch).dispatcher;
        if dispatcher.record_peer_rejection_limit(now, update) {
            log::info!(
                engine:% = engine, peer:% = host, rejections_per_s = limit.map(|limit| limit.per_second);
                "a peer reported how many rejections a backend server bears"
            );
        }
    }
}

/// Records that a brittle server rejected a peer's request.
pub(super) fn apply_rejection(shared: &Shared, engine: &EngineId) {
    shared.metrics.count("brittle_rejections", "peer");
    lock(&shared.dispatch)
        .dispatcher
        .record_peer_rejection(shared.now(), engine);
}

fn encode_limit<V>(limit: ServerLimit<V>) -> ServerLimitUpdate<V> {
    ServerLimitUpdate {
        engine: limit.engine,
        version: limit.version,
        limit: limit.limit,
    }
}
