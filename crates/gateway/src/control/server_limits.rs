//! Exchanges the rate limits and the rejection limits of backend servers with the other hosts.

use carawayseam_dispatch::server_limits::ServerLimit;
use carawayseam_types::{EngineId, HostId, Millis, RejectionLimit, RequestRate};
use carawayseam_wire::{PeerMessage, ServerLimitUpdate};

use crate::shared::{Shared, lock};

/// Returns the announcement of the rate limits that peers may not know, or `None` if there are none.
pub(super) fn announcement(shared: &Shared, now: Millis, has_new_peer: bool) -> Option<PeerMessage> {
    let updates = lock(&shared.dispatch)
        .server_limits
        .gossip_updates(now, has_new_peer);
    let limits = encode_limits(updates)?;
    let host = shared.settings.host.clone();
    Some(PeerMessage::ServerLimits { host, limits })
}

/// Returns the announcement of the brittle servers that peers may not know, or `None` if there are none.
pub(super) fn brittle_announcement(shared: &Shared, now: Millis, has_new_peer: bool) -> Option<PeerMessage> {
    let updates = lock(&shared.dispatch)
        .dispatcher
        .rejection_limit_updates(now, has_new_peer);
    let limits = encode_limits(updates)?;
    let host = shared.settings.host.clone();
    Some(PeerMessage::BrittleServers { host, limits })
}

/// Applies the rate limits that a peer announced.
pub(super) fn apply_updates(shared: &Shared, host: &HostId, limits: Vec<ServerLimitUpdate>) {
    let now = shared.now();
    for limit in limits.into_iter().map(decode_limit) {
        let (engine, rate) = (limit.engine.clone(), limit.limit);
        if lock(&shared.dispatch).record_peer_rate_limit(now, limit) {
            log::info!(
                engine:% = engine, peer:% = host, limit_per_s = rate.map(RequestRate::per_second);
                "a peer reported the rate limit of a backend server"
            );
        }
    }
}

/// Applies the rejection limits that a peer announced.
pub(super) fn apply_brittle_updates(
    shared: &Shared,
    host: &HostId,
    limits: Vec<ServerLimitUpdate<RejectionLimit>>,
) {
    let now = shared.now();
    for limit in limits.into_iter().map(decode_limit) {
        let (engine, rejections) = (limit.engine.clone(), limit.limit);
        let is_new = lock(&shared.dispatch)
            .dispatcher
            .record_peer_rejection_limit(now, limit);
        if is_new {
            log::info!(
                engine:% = engine, peer:% = host, rejections_per_s = rejections.map(|limit| limit.per_second);
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

/// Returns the limits to announce, or `None` if there are none.
fn encode_limits<V>(updates: Vec<ServerLimit<V>>) -> Option<Vec<ServerLimitUpdate<V>>> {
    let encode = |update: ServerLimit<V>| ServerLimitUpdate {
        engine: update.engine,
        version: update.version,
        limit: update.limit,
    };
    (!updates.is_empty()).then(|| updates.into_iter().map(encode).collect())
}

fn decode_limit<V>(update: ServerLimitUpdate<V>) -> ServerLimit<V> {
    ServerLimit {
        engine: update.engine,
        version: update.version,
        limit: update.limit,
    }
}
