//! Finds peers that reach the backend servers which this host does not reach itself.

use std::sync::Arc;

use carawayseam_dispatch::reach::{ReachChange, ReachKind, ReachQuery};
use carawayseam_types::{EngineKey, HostId, Millis, ZoneId};
use carawayseam_wire::{PeerMessage, PeerResponse};

use crate::shared::{Shared, lock};
use crate::stopping::Phase;

/// The maximum time to wait for a peer's response; a peer without one is asked again in a later round.
const REQUEST_TIMEOUT: Millis = Millis(60);
const MAX_REQUESTS: u32 = 1;

/// Asks peers which of the servers they reach, and records what they confirm.
pub(super) fn ask_peers(shared: &Arc<Shared>, query: &ReachQuery, peers: &[(HostId, ZoneId)]) {
    let settings = &shared.settings;
    for peer in query.select_peers(&settings.host, &settings.zone, peers) {
        let zone = peers.iter().find(|(host, _)| *host == peer);
        let Some(zone) = zone.map(|(_, zone)| zone.clone()) else {
            continue;
        };
        tokio::spawn(ask_peer(Arc::clone(shared), peer, zone, query.engines.clone()));
    }
}

async fn ask_peer(shared: Arc<Shared>, peer: HostId, zone: ZoneId, engines: Vec<EngineKey>) {
    let message = |request_id| PeerMessage::ReachRequest {
        host: shared.settings.host.clone(),
        request_id,
        engines: engines.clone(),
    };
    let response = shared
        .peers
        .request(&peer, REQUEST_TIMEOUT, MAX_REQUESTS, message)
        .await;
    let Some(PeerResponse::Reach(reached)) = response else {
        shared.metrics.count("reach_asks", "unanswered");
        return;
    };
    let label = if reached.is_empty() { "none" } else { "reached" };
    shared.metrics.count("reach_asks", label);
    let now = shared.now();
    let mut dispatch = lock(&shared.dispatch);
    let actions = dispatch.dispatcher.record_relays(now, &peer, &zone, &reached);
    dispatch.apply(now, actions);
}

/// Responds to a host that asks which servers this host reaches; a stopping host relays nothing.
pub(super) fn respond(shared: &Shared, host: &HostId, request_id: u64, engines: &[EngineKey]) {
    let reached = match shared.phase() {
        Phase::Serving => lock(&shared.dispatch).dispatcher.reached_directly(engines),
        _ => Vec::new(),
    };
    shared
        .peers
        .respond(host, request_id, PeerResponse::Reach(reached));
}

/// Logs and counts the backends whose reach has changed.
pub(super) fn record_changes(shared: &Shared, changes: Vec<ReachChange>) {
    for ReachChange {
        backend,
        kind,
        servers,
    } in changes
    {
        let (label, level) = match kind {
            ReachKind::Lost => ("lost", log::Level::Warn),
            ReachKind::Relayed => ("relayed", log::Level::Warn),
            ReachKind::Regained => ("regained", log::Level::Info),
        };
        shared.metrics.count("backend_reach", label);
        log::log!(level, backend:% = backend, reach:% = kind, servers = servers; "the reach of a backend changed");
    }
}
