//! Exchanges restarts of backend servers that warm up with the other hosts.

use carawayseam_dispatch::warm_up::ServerWarmUp;
use carawayseam_types::{HostId, Millis};
use carawayseam_wire::{PeerMessage, ServerWarmUpUpdate};

use crate::shared::{Shared, lock};

/// Returns the announcement of the restarts that peers may not know, or `None` if there are none.
pub(super) fn announcement(shared: &Shared, now: Millis, has_new_peer: bool) -> Option<PeerMessage> {
    let updates = lock(&shared.dispatch)
        .server_limits
        .warm_up_updates(now, has_new_peer);
    let encode = |update: ServerWarmUp| ServerWarmUpUpdate {
        engine: update.engine,
        started: update.started,
        remaining: update.remaining,
    };
    let host = shared.settings.host.clone();
    let servers: Vec<ServerWarmUpUpdate> = updates.into_iter().map(encode).collect();
    (!servers.is_empty()).then_some(PeerMessage::WarmUps { host, servers })
}

/// Applies the restarts that a peer announced.
pub(super) fn apply_updates(shared: &Shared, host: &HostId, servers: Vec<ServerWarmUpUpdate>) {
    if !shared.is_listed(host, "warm_ups") {
        return;
    }
    let now = shared.now();
    for server in servers {
        let update = ServerWarmUp {
            engine: server.engine,
            started: server.started,
            remaining: server.remaining,
        };
        if lock(&shared.dispatch)
            .server_limits
            .record_peer_warm_up(now, &update)
        {
            shared.metrics.count("warm_ups", "peer");
            log::info!(
                engine:% = update.engine, peer:% = host, remaining_ms = update.remaining.0;
                "a peer reported that a backend server may have restarted and warms up"
            );
        }
    }
}
