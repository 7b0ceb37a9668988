//! Backend servers that reported that they are draining.
//!
//! A server's own report overrides the store's list, which may still contain an entry from before
//! the server began to drain. Only a restart of the server ends its draining state.

use std::collections::BTreeMap;

use carawayseam_types::{EngineId, Millis};

/// How long a draining server is announced to peers after this host received the server's report.
const GOSSIP_PERIOD: Millis = Millis::from_secs(3);
/// How long a draining server is announced while a peer has just started.
const NEW_PEER_GOSSIP_PERIOD: Millis = Millis::from_secs(120);
/// Limit of draining servers announced in one update, the latest first.
const MAX_GOSSIP_UPDATES: usize = 24;
/// Limit of draining servers kept; beyond it the oldest are evicted.
const MAX_SERVERS: usize = 4_096;

/// One start of a backend server that is draining.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainingServer {
    /// The server.
    pub engine: EngineId,
    /// The server's start time, if known.
    pub started: Option<u64>,
}

/// The latest report that a server is draining.
#[derive(Debug, Clone, Copy)]
struct Notice {
    started: Option<u64>,
    received_at: Millis,
    /// Whether this host received it from the server itself and not from a peer.
    is_from_server: bool,
}

/// The draining servers.
#[derive(Debug, Default)]
pub struct DrainingServers(BTreeMap<EngineId, Notice>);

impl DrainingServers {
    /// Records a report, from the server or from a peer, that a server is draining.
    ///
    /// Returns true if this start of the server was not known to be draining.
    pub fn record(&mut self, now: Millis, draining: DrainingServer, is_from_server: bool) -> bool {
        let DrainingServer { engine, started } = draining;
        let known = self.0.get(&engine);
        let is_new = known.is_none_or(|known| known.started < started);
        if is_new {
            let notice = Notice {
                started,
                received_at: now,
                is_from_server,
            };
            self.0.insert(engine, notice);
            self.evict_oldest();
        }
        is_new
    }

    /// Returns whether the server is draining in the start `started`.
    #[must_use]
    pub fn contains(&self, engine: &EngineId, started: Option<u64>) -> bool {
        self.0.get(engine).is_some_and(|notice| started <= notice.started)
    }

    /// Returns the draining servers to announce to peers: those that reported to this host within
    /// `GOSSIP_PERIOD`.
    ///
    /// A peer that has just started knows of no draining servers. While there is one, all reports
    /// received within `NEW_PEER_GOSSIP_PERIOD` are announced, including those from peers.
    #[must_use]
    pub fn gossip_updates(&self, now: Millis, has_new_peer: bool) -> Vec<DrainingServer> {
        let is_due = |notice: &Notice| {
            let age = now.since(notice.received_at);
            (notice.is_from_server && age <= GOSSIP_PERIOD) || (has_new_peer && age <= NEW_PEER_GOSSIP_PERIOD)
        };
        self.updates(is_due, MAX_GOSSIP_UPDATES)
    }

    /// Returns the draining servers to pass on in a gossip round: those of which this host learned within
    /// `GOSSIP_PERIOD`, from the server or from a peer.
    #[must_use]
    pub fn forwarded_updates(&self, now: Millis, limit: usize) -> Vec<DrainingServer> {
        let is_due = |notice: &Notice| now.since(notice.received_at) <= GOSSIP_PERIOD;
        self.updates(is_due, limit)
    }

    /// Returns the draining servers of which a report `is_due`, the latest first.
    fn updates(&self, is_due: impl Fn(&Notice) -> bool, limit: usize) -> Vec<DrainingServer> {
        let mut due: Vec<_> = self.0.iter().filter(|(_, notice)| is_due(notice)).collect();
        due.sort_by_key(|(_, notice)| std::cmp::Reverse(notice.received_at));
        let updates = due.into_iter().take(limit);
        updates
            .map(|(engine, notice)| DrainingServer {
                engine: engine.clone(),
                started: notice.started,
            })
            .collect()
    }

    fn evict_oldest(&mut self) {
        while self.0.len() > MAX_SERVERS {
            let oldest = self.0.iter().min_by_key(|(_, notice)| notice.received_at);
            let Some(engine) = oldest.map(|(engine, _)| engine.clone()) else {
                return;
            };
            self.0.remove(&engine);
        }
    }
}
