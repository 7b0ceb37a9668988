//! Servers that this host reaches only through peers.

use std::collections::{BTreeMap, HashSet};

use carawayseam_types::{BackendName, EngineId, EngineKey, HostId, Millis, ZoneId};

use super::Dispatcher;
use crate::job::Action;
use crate::reach::{self, ReachChange, ReachQuery};

impl Dispatcher {
    /// Returns the servers to ask peers about, if a round is due and servers are lost.
    pub fn reach_queries(&mut self, now: Millis) -> Option<ReachQuery> {
        self.now = self.now.max(now);
        if !self.reach_rounds.is_due(now) {
            return None;
        }
        let mut engines = self.pools.values().flat_map(|pool| &pool.engines);
        if !engines.any(|engine| engine.reach.needs_relays()) {
            return None;
        }
        self.reach_rounds.begin(now);
        let mut keys = Vec::new();
        let mut relays = Vec::new();
        for pool in self.pools.values_mut() {
            let is_lost = pool.is_lost();
            let engines = pool.engines.iter_mut();
            let lost = engines.filter_map(|engine| {
                let is_due = engine.reach.take_question(now) || (is_lost && engine.reach.needs_relays());
                (is_due && !engine.is_out_of_service()).then_some(&*engine)
            });
            let mut expiries: BTreeMap<&HostId, Millis> = BTreeMap::new();
            for engine in lost {
                keys.push(engine.key);
                for relay in engine.reach.live_relays(now) {
                    let until = expiries.entry(&relay.host).or_insert(relay.until);
                    *until = (*until).max(relay.until);
                }
            }
            relays.extend(reach::relays_to_refresh(now, &expiries));
        }
        if keys.is_empty() {
            return None;
        }
        // The order must not depend on that of the pools, or the rotation would skip servers.
        keys.sort_unstable();
        relays.sort_unstable();
        relays.dedup_by_key(|(_, host)| *host);
        let relays = relays.into_iter().map(|(_, host)| host.clone()).collect();
        let is_urgent = self.pools.values().any(|pool| pool.is_relay_search_urgent(now));
        Some(self.reach_rounds.query(&keys, relays, is_urgent))
    }

    /// Returns those of the servers that this host reaches directly and that accept requests.
    #[must_use]
    pub fn reached_directly(&self, keys: &[EngineKey]) -> Vec<EngineKey> {
        let keys: HashSet<EngineKey> = keys.iter().copied().collect();
        let engines = self.pools.values().flat_map(|pool| &pool.engines);
        let reached = engines.filter(|engine| {
            keys.contains(&engine.key) && engine.reach.is_direct() && !engine.is_out_of_service()
        });
        reached.map(|engine| engine.key).collect()
    }

    /// Records that a peer reaches servers directly, and starts the requests that wait for them.
    pub fn record_relays(
        &mut self,
        now: Millis,
        host: &HostId,
        zone: &ZoneId,
        keys: &[EngineKey],
    ) -> Vec<Action> {
        self.now = self.now.max(now);
        let keys: HashSet<EngineKey> = keys.iter().copied().collect();
        let mut is_of_use = false;
        for engine in self.pools.values_mut().flat_map(|pool| &mut pool.engines) {
            if keys.contains(&engine.key) {
                is_of_use |= engine.reach.confirm_relay(now, host, zone);
            }
        }
        if is_of_use {
            self.dispatch_all_waiting()
        } else {
            Vec::new()
        }
    }

    /// Records that this host could not connect to a server for a peer.
    pub fn mark_unreachable(&mut self, now: Millis, engine: &EngineId) {
        self.now = self.now.max(now);
        for pool in self.pools.values_mut() {
            let known = pool.engine_mut(engine).filter(|engine| engine.reach.is_direct());
            let Some(key) = known.map(|engine| {
                engine.reach.lose(now, true);
                engine.key
            }) else {
                continue;
            };
            pool.record_loss(now, key);
        }
    }

    /// Returns whether no server of a backend is reached, directly or through a peer, though some are listed.
    #[must_use]
    pub fn reaches_none(&self, backend: &BackendName) -> bool {
        let pool = self.pools.get(backend);
        pool.is_some_and(|pool| pool.reaches_none(self.now))
    }

    /// Returns the backends whose reach has changed since the last call.
    pub fn take_reach_changes(&mut self) -> Vec<ReachChange> {
        let now = self.now;
        let pools = self.pools.iter_mut();
        let changes = pools.filter_map(|(backend, pool)| {
            let (kind, servers) = pool.take_reach_change(now)?;
            Some(ReachChange {
                backend: backend.clone(),
                kind,
                servers,
            })
        });
        changes.collect()
    }

    /// Forgets a peer as relay to a server until it confirms again that it reaches the server.
    pub fn drop_relay(&mut self, now: Millis, engine: &EngineId, host: &HostId) {
        self.now = self.now.max(now);
        for pool in self.pools.values_mut() {
            if let Some(engine) = pool.engine_mut(engine) {
                engine.reach.drop_relay(host);
            }
        }
    }
}
