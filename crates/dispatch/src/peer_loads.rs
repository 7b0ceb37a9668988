//! What peers announced of their loads, summed by server.
//!
//! Heartbeats come far more often than servers are chosen from scratch, so the sums are kept
//! up to date as announcements come and expire; a heartbeat costs as much as it holds.

use std::collections::{BTreeMap, HashMap};

use carawayseam_types::{BackendName, EngineKey, HostId, Millis, Tier};

use crate::engine::ServerLoad;
use crate::load::{HostLoad, WaitingCount};

/// A peer's announcement counts for so long.
const LOAD_COUNTS: Millis = Millis(1_500);
/// Requests that wait at a peer count for so long after it told of them.
const WAITING_COUNTS: Millis = Millis(700);

/// A request whose prompt is not counted.
const ONE_REQUEST: ServerLoad = ServerLoad {
    running: 1,
    prompt_ahead: 0,
};

/// What one peer has.
#[derive(Debug, Default)]
struct Announced {
    at: Millis,
    engines: Vec<(EngineKey, ServerLoad)>,
    /// Slots given to the peer since then.
    granted: Vec<EngineKey>,
    waiting: Vec<WaitingCount>,
}

/// The announcements of all peers.
#[derive(Debug, Default)]
pub(crate) struct PeerLoads {
    announced: HashMap<HostId, Announced>,
    sums: Sums,
}

#[derive(Debug, Default)]
struct Sums {
    engines: HashMap<EngineKey, ServerLoad>,
    waiting: BTreeMap<(BackendName, Tier), u32>,
}

impl Sums {
    fn add(&mut self, announced: &Announced) {
        for (engine, load) in &announced.engines {
            let sum = self.engines.entry(*engine).or_default();
            sum.running += load.running;
            sum.prompt_ahead += load.prompt_ahead;
        }
        for waiting in &announced.waiting {
            let key = (waiting.backend.clone(), waiting.tier);
            *self.waiting.entry(key).or_default() += waiting.count;
        }
    }

    fn subtract_loads(&mut self, announced: &Announced) {
        for (engine, load) in &announced.engines {
            self.take_off(*engine, *load);
        }
        for engine in &announced.granted {
            self.take_off(*engine, ONE_REQUEST);
        }
    }

    fn subtract_waiting(&mut self, announced: &Announced) {
        for waiting in &announced.waiting {
            let key = (waiting.backend.clone(), waiting.tier);
            if let Some(sum) = self.waiting.get_mut(&key) {
                *sum -= waiting.count;
            }
        }
    }

    fn take_off(&mut self, engine: EngineKey, load: ServerLoad) {
        let Some(sum) = self.engines.get_mut(&engine) else {
            return;
        };
        sum.running -= load.running;
        sum.prompt_ahead -= load.prompt_ahead;
        if *sum == ServerLoad::default() {
            self.engines.remove(&engine);
        }
    }
}

impl PeerLoads {
    /// Takes a peer's announcement in place of its last one.
    pub(crate) fn announce(&mut self, now: Millis, host: &HostId, load: HostLoad) {
        let announced = self.announced.entry(host.clone()).or_default();
        self.sums.subtract_loads(announced);
        self.sums.subtract_waiting(announced);
        *announced = Announced {
            at: now,
            engines: load.engines,
            granted: Vec::new(),
            waiting: load.waiting,
        };
        self.sums.add(announced);
    }

    /// Notes a slot that was given to a peer.
    pub(crate) fn grant(&mut self, now: Millis, host: &HostId, engine: EngineKey) {
        let announced = self.announced.entry(host.clone()).or_default();
        announced.at = now;
        announced.granted.push(engine);
        self.sums.engines.entry(engine).or_default().running += 1;
    }

    /// Notes that a peer's request left a server.
    pub(crate) fn returned(&mut self, host: &HostId, engine: EngineKey) {
        let Some(announced) = self.announced.get_mut(host) else {
            return;
        };
        let granted = announced.granted.iter().position(|given| *given == engine);
        let running = announced
            .engines
            .iter_mut()
            .find(|(other, load)| *other == engine && load.running > 0);
        match (granted, running) {
            (Some(ix), _) => {
                announced.granted.swap_remove(ix);
            }
            (None, Some((_, load))) => load.running -= 1,
            (None, None) => return,
        }
        self.sums.take_off(engine, ONE_REQUEST);
    }

    /// Drops announcements that are too old to count.
    pub(crate) fn expire(&mut self, now: Millis) {
        let sums = &mut self.sums;
        self.announced.retain(|_, announced| {
            let age = now.since(announced.at);
            if age > WAITING_COUNTS {
                sums.subtract_waiting(announced);
                announced.waiting.clear();
            }
            let is_current = age <= LOAD_COUNTS;
            if !is_current {
                sums.subtract_loads(announced);
            }
            is_current
        });
    }

    /// What all peers have at a server.
    pub(crate) fn at(&self, engine: EngineKey) -> ServerLoad {
        self.sums.engines.get(&engine).copied().unwrap_or_default()
    }

    /// Requests of each tier that wait for a backend at peers.
    pub(crate) fn waiting_for<'a>(
        &'a self,
        backend: &'a BackendName,
    ) -> impl Iterator<Item = (Tier, u32)> + 'a {
        let waiting = self.sums.waiting.iter();
        waiting
            .filter(move |((other, _), _)| other == backend)
            .map(|((_, tier), count)| (*tier, *count))
    }

    /// Loads that are kept, over all peers and servers.
    pub(crate) fn len(&self) -> usize {
        let loads = self.announced.values();
        loads
            .map(|announced| announced.engines.len() + announced.granted.len())
            .sum()
    }
}
