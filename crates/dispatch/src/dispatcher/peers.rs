//! Loads of other hosts, the slots that this host grants them, and the load that it announces.

use std::collections::BTreeMap;

use carawayseam_types::{BackendName, EngineKey, HostId, Millis, Tier};

use super::Dispatcher;
use crate::engine::ServerLoad;
use crate::job::Action;
use crate::load::{EngineDump, HostLoad, WaitingCount};

/// Minimum interval between two dispatch passes that are triggered by load updates from peers.
pub(super) const MIN_DISPATCH_INTERVAL: Millis = Millis(10);

impl Dispatcher {
    /// Records the load that a peer announced.
    pub fn record_peer_load(&mut self, now: Millis, host: &HostId, load: HostLoad) -> Vec<Action> {
        self.now = self.now.max(now);
        self.peers.record_load(now, host, load);
        // With many peers, a dispatch pass after every announcement would cost more than it gains.
        if self.now.since(self.last_dispatch_at) < MIN_DISPATCH_INTERVAL {
            return Vec::new();
        }
        self.dispatch_all_waiting()
    }

    /// Grants a peer a slot of a server if one is free and the server bears more rejections.
    ///
    /// Returns `None` for an unknown server.
    pub fn grant_slot(&mut self, now: Millis, host: &HostId, engine: EngineKey) -> Option<bool> {
        let mut engines = self.pools.values().flat_map(|pool| &pool.engines);
        let known = engines.find(|known| known.key == engine)?;
        let used = known
            .running
            .saturating_add(self.peers.announced_load(engine).running);
        let is_free = used < known.entry.slots && self.brittle_servers.grant(now, &known.entry.id, used);
        if is_free {
            self.peers.grant_slot(now, host, engine);
        }
        Some(is_free)
    }

    /// Releases the slot of a server that a peer used.
    pub fn release_slot(&mut self, now: Millis, host: &HostId, engine: EngineKey) -> Vec<Action> {
        self.now = self.now.max(now);
        self.peers.release_slot(host, engine);
        self.dispatch_all_waiting()
    }

    /// Returns the load of this host, to be announced to peers.
    #[must_use]
    pub fn own_load(&self) -> HostLoad {
        let engines = self.pools.values().flat_map(|pool| &pool.engines);
        let busy = engines.filter(|engine| engine.running > 0);
        let mut waiting: BTreeMap<(BackendName, Tier), u32> = BTreeMap::new();
        for (backend, pool) in &self.pools {
            for job in &pool.waiting {
                *waiting.entry((backend.clone(), job.job.tier)).or_default() += 1;
            }
        }
        HostLoad {
            engines: busy
                .map(|engine| {
                    let load = ServerLoad {
                        running: engine.running,
                        prompt_ahead: engine.prompt_ahead as u32,
                    };
                    (engine.key, load)
                })
                .collect(),
            waiting: waiting
                .into_iter()
                .map(|((backend, tier), count)| WaitingCount { backend, tier, count })
                .collect(),
        }
    }

    /// Returns the number of stored load entries, one per peer and server.
    #[must_use]
    pub fn peer_load_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the numbers of waiting and of running requests.
    #[must_use]
    pub fn request_counts(&self) -> (usize, usize) {
        (self.waiting_backends.len(), self.running.len())
    }

    /// Returns the known state of each server.
    #[must_use]
    pub fn dump(&self, now: Millis) -> Vec<EngineDump> {
        let pools = self.pools.values();
        let engines = pools.flat_map(|pool| pool.engines.iter().map(move |engine| (pool, engine)));
        engines
            .map(|(pool, engine)| {
                let pace = engine.speed.pace(now, &pool.baseline);
                let learned = engine.capacity.estimate(now, engine.entry.slots);
                EngineDump {
                    engine: engine.entry.id.clone(),
                    backend: engine.entry.backend.clone(),
                    version: engine.entry.version.clone(),
                    takes_work: engine.takes_work(now),
                    running: engine.running,
                    used: engine.running + self.peers.load_on(now, engine.key, engine.own_load()).running,
                    failure_share: engine.failure_share(now),
                    event_ms: pace.event,
                    thousand_tokens_ms: pace.token * 1_000.0,
                    soft_capacity: learned.map_or(engine.entry.slots, |learned| learned.soft_capacity),
                    pace_samples: learned.map_or(0, |learned| learned.samples),
                }
            })
            .collect()
    }
}
