//! Backend servers that this host does not reach itself: probes of them, and peers that relay to them.

use std::net::SocketAddr;
use std::sync::Arc;

use carawayseam_types::{EngineId, HostId, Millis, ZoneId};

use super::ControlState;
use crate::control::reach;
use crate::shared::{Shared, lock};
use crate::sockets;

/// Bounds the connection attempt to a backend server that was unreachable before.
const PROBE_TIMEOUT: Millis = Millis(250);

impl ControlState {
    /// Tries to connect to the unreachable backend servers that are due for a probe, so that no request
    /// has to.
    pub(super) fn probe_engines(&self, now: Millis) {
        let due = lock(&self.shared.dispatch).dispatcher.due_probes(now);
        for (engine, address) in due {
            tokio::spawn(probe_engine(Arc::clone(&self.shared), engine, address));
        }
    }
    /// Asks peers about the servers that this host does not reach, if that is due.
    pub(super) fn find_relays(&self, now: Millis) {
        let (query, changes) = {
            let dispatcher = &mut lock(&self.shared.dispatch).dispatcher;
            (dispatcher.reach_queries(now), dispatcher.take_reach_changes())
        };
        reach::record_changes(&self.shared, changes);
        if query.is_some() && self.shared.is_overloaded() {
            // Relayed connections would load the same link, and the servers may be sound.
            self.shared.metrics.count("reach_asks", "overloaded");
            return;
        }
        if let Some(query) = query {
            let reachable = self.group.reachable.iter();
            let peers: Vec<(HostId, ZoneId)> = reachable
                .filter_map(|host| Some((host.clone(), self.zones.get(host)?.clone())))
                .collect();
            reach::ask_peers(&self.shared, &query, &peers);
        }
    }
}

async fn probe_engine(shared: Arc<Shared>, engine: EngineId, address: SocketAddr) {
    let reached = sockets::connect(address, PROBE_TIMEOUT, PROBE_TIMEOUT).await;
    if reached.is_ok() {
        let now = shared.now();
        log::info!(engine:% = engine; "backend server is reachable again");
        shared.record_connection(&engine);
        let mut dispatch = lock(&shared.dispatch);
        let actions = dispatch.dispatcher.mark_reachable(now, &engine);
        dispatch.apply(now, actions);
    }
}
