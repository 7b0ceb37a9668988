//! Servers that are draining, closed, limited or unreachable.

use std::net::SocketAddr;

use carawayseam_types::{BackendName, EngineId, HostId, Millis, RequestRate, VersionId, ZoneId};

use super::Dispatcher;
use crate::draining_servers::DrainingServer;
use crate::evacuation::Evacuation;
use crate::job::{Action, Ticket};
use crate::rollouts::VersionRule;

impl Dispatcher {
    /// Returns whether a backend has a server of a version that is not draining, reachable or not.
    #[must_use]
    pub fn has_server_of(&self, backend: &BackendName, version: &VersionId) -> bool {
        let servers = self.pools.get(backend).into_iter().flat_map(|pool| &pool.engines);
        servers
            .map(|engine| &engine.entry)
            .any(|entry| entry.version == *version && !entry.is_draining)
    }

    /// Applies a change of the evacuated zones; returns whether it is one, and the actions that follow.
    ///
    /// Waiting requests go to servers of other zones, and requests in progress end where they are.
    pub fn apply_evacuation(&mut self, now: Millis, change: Evacuation) -> (bool, Vec<Action>) {
        self.now = self.now.max(now);
        if !self.evacuated.apply(change) {
            return (false, Vec::new());
        }
        self.mark_evacuated();
        (true, self.dispatch_all_waiting())
    }

    /// Iterates over the evacuated zones.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &ZoneId> {
        self.evacuated.iter()
    }

    /// Marks which servers warm up; requests prefer the others.
    pub fn mark_cold(&mut self, is_cold: impl Fn(&EngineId) -> bool) {
        for engine in self.pools.values_mut().flat_map(|pool| &mut pool.engines) {
            engine.is_cold = is_cold(&engine.entry.id);
        }
    }

    pub(super) fn mark_evacuated(&mut self) {
        for engine in self.pools.values_mut().flat_map(|pool| &mut pool.engines) {
            engine.is_evacuated = self.evacuated.contains(&engine.entry.zone);
        }
    }

    /// Replaces the version rule of the waiting requests of a backend; the next tick applies it.
    pub fn set_version_rule(&mut self, backend: &BackendName, rule: &VersionRule) {
        let waiting = self.pools.get_mut(backend).into_iter();
        for waiting in waiting.flat_map(|pool| &mut pool.waiting) {
            waiting.job.version = rule.clone();
        }
    }

    /// Records that a server is draining and returns whether this was unknown.
    ///
    /// `is_own` is true if the server itself reported it to this host, rather than a peer.
    pub fn mark_draining(&mut self, now: Millis, draining: DrainingServer, is_own: bool) -> bool {
        let mut engines = self.pools.values_mut().flat_map(|pool| &mut pool.engines);
        let known = engines.find(|engine| engine.entry.id == draining.engine);
        if let Some(known) = known.filter(|known| known.entry.started <= draining.started) {
            known.entry.is_draining = true;
        }
        self.draining_servers.record(now, draining, is_own)
    }

    /// Returns the draining servers to announce to peers.
    #[must_use]
    pub fn draining_servers(&self, now: Millis, has_new_peer: bool) -> Vec<DrainingServer> {
        self.draining_servers.gossip_updates(now, has_new_peer)
    }

    /// Returns the draining servers to pass on in a gossip round, at most `limit`.
    #[must_use]
    pub fn forwarded_draining_servers(&self, now: Millis, limit: usize) -> Vec<DrainingServer> {
        self.draining_servers.forwarded_updates(now, limit)
    }

    /// Sends a server no requests for `span`, as it asked for.
    ///
    /// If all servers of a backend are closed, requests that cannot wait for the first one to reopen are
    /// refused.
    pub fn close_server(&mut self, now: Millis, engine: &EngineId, span: Millis) {
        self.now = self.now.max(now);
        for pool in self.pools.values_mut() {
            if let Some(engine) = pool.engine_mut(engine) {
                engine.close(now + span);
            }
        }
    }

    /// Sends a server no requests for `wait`, because its rate limit has no room for a request.
    ///
    /// Requests go to other servers of the backend. If all are closed, those that cannot wait for their turn
    /// are refused.
    pub fn defer_server(&mut self, now: Millis, engine: &EngineId, limit: RequestRate, wait: Millis) {
        self.now = self.now.max(now);
        for pool in self.pools.values_mut() {
            if let Some(engine) = pool.engine_mut(engine) {
                engine.defer(now + wait, limit);
            }
        }
    }

    /// Reopens a server whose rate limit ended or changed.
    pub fn lift_limit(&mut self, now: Millis, engine: &EngineId) -> Vec<Action> {
        self.now = self.now.max(now);
        for pool in self.pools.values_mut() {
            if let Some(engine) = pool.engine_mut(engine) {
                engine.lift_limit();
            }
        }
        self.dispatch_all_waiting()
    }

    /// Returns the unreachable servers that are due for another connection attempt.
    pub fn due_probes(&mut self, now: Millis) -> Vec<(EngineId, SocketAddr)> {
        let pools = self.pools.values_mut();
        pools.flat_map(|pool| pool.take_probes(now)).collect()
    }

    /// Records that a server is silent while it has a request.
    ///
    /// It gets no further requests until a connection attempt succeeds. If the request was sent through `relay`, that
    /// peer may be silent instead: no further requests go through it until it confirms that it reaches the server.
    pub fn mark_silent(&mut self, now: Millis, engine: &EngineId, relay: Option<&HostId>) {
        self.now = self.now.max(now);
        if let Some(relay) = relay {
            self.drop_relay(now, engine, relay);
            return;
        }
        for pool in self.pools.values_mut() {
            if let Some(engine) = pool.engine_mut(engine) {
                engine.mark_silent(now);
            }
        }
    }

    /// Records that a response was lost, and that it is being checked whether its server crashed.
    ///
    /// Until the attempt ends, requests go to other servers of the backend if these have a slot.
    pub fn begin_loss_check(&mut self, ticket: Ticket) {
        let Some(running) = self.running.get_mut(&ticket) else {
            return;
        };
        let was_checked = std::mem::replace(&mut running.is_loss_checked, true);
        let pool = self.pools.get_mut(&running.backend);
        match pool.and_then(|pool| pool.engine_mut(&running.engine)) {
            Some(engine) if !was_checked => engine.begin_loss_check(),
            _ => {}
        }
    }

    /// Marks a server as reachable again.
    pub fn mark_reachable(&mut self, now: Millis, engine: &EngineId) -> Vec<Action> {
        self.now = self.now.max(now);
        for pool in self.pools.values_mut() {
            pool.mark_reachable(now, engine);
        }
        self.dispatch_all_waiting()
    }
}
