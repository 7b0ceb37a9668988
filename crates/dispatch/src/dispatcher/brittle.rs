//! Servers that bear few rejections.

use carawayseam_types::{EngineId, Millis, RejectionLimit};

use super::Dispatcher;
use crate::brittle_servers::BRITTLE_REJECTION_PAUSE;
use crate::server_limits::ServerLimit;

impl Dispatcher {
    /// Returns how many rejections in a second a server bears, if it is brittle.
    #[must_use]
    pub fn rejection_limit(&self, engine: &EngineId) -> Option<RejectionLimit> {
        self.brittle_servers.get(engine)
    }

    /// Records the limit in the response to a request that was sent at `sent_at`.
    ///
    /// Returns whether the known limit changed.
    pub fn record_rejection_limit(
        &mut self,
        now: Millis,
        engine: &EngineId,
        sent_at: Millis,
        reported: Option<RejectionLimit>,
    ) -> bool {
        self.brittle_servers
            .record_response(now, engine, sent_at, reported)
    }

    /// Records a limit that a peer announced; returns whether the known limit changed.
    pub fn record_peer_rejection_limit(&mut self, now: Millis, update: ServerLimit<RejectionLimit>) -> bool {
        self.brittle_servers.record_peer_update(now, update)
    }

    /// Returns the limits to announce to peers.
    pub fn rejection_limit_updates(
        &mut self,
        now: Millis,
        has_new_peer: bool,
    ) -> Vec<ServerLimit<RejectionLimit>> {
        self.brittle_servers.gossip_updates(now, has_new_peer)
    }

    /// Returns whether a request that this host, which owns a server's slots, has assigned to the server may
    /// be sent to it; it counts as one that a brittle server may reject.
    pub fn grant_own_slot(&mut self, now: Millis, engine: &EngineId) -> bool {
        let used_by_others = self.used_slots(engine).saturating_sub(1);
        self.brittle_servers.grant(now, engine, used_by_others)
    }

    /// Returns the number of requests of all hosts that a server has, as far as this host knows.
    fn used_slots(&self, id: &EngineId) -> u32 {
        let mut engines = self.pools.values().flat_map(|pool| &pool.engines);
        let known = engines.find(|known| known.entry.id == *id);
        known.map_or(0, |known| {
            let peers = self.peers.load_on(self.now, known.key, known.own_load());
            known.running.saturating_add(peers.running)
        })
    }

    /// Records that a brittle server rejected a request of this host, and pauses the server.
    ///
    /// Returns false if the server is not brittle.
    pub fn record_own_rejection(&mut self, now: Millis, engine: &EngineId) -> bool {
        if self.brittle_servers.get(engine).is_none() {
            return false;
        }
        let used = self.used_slots(engine);
        self.brittle_servers.record_rejection(now, engine, used);
        self.close_server(now, engine, BRITTLE_REJECTION_PAUSE);
        true
    }

    /// Records that a brittle server rejected a peer's request, and pauses the server if it bears no more.
    pub fn record_peer_rejection(&mut self, now: Millis, engine: &EngineId) {
        let used = self.used_slots(engine);
        self.brittle_servers.record_rejection(now, engine, used);
        if !self.brittle_servers.has_room(now, engine) {
            self.close_server(now, engine, BRITTLE_REJECTION_PAUSE);
        }
    }
}
