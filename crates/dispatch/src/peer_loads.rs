//! The loads that peers announced, summed by server.
//!
//! Heartbeats arrive far more often than servers are chosen from scratch, so the sums are updated
//! incrementally as announcements arrive and expire. The cost of a heartbeat is proportional to
//! its size.

use std::collections::{BTreeMap, HashMap};

use carawayseam_types::{BackendName, EngineKey, HostId, Millis, Tier};

use crate::engine::ServerLoad;
use crate::load::{HostLoad, WaitingCount};

/// How long a peer's announced load is counted after it was received.
const LOAD_TTL: Millis = Millis(1_500);
/// How long the waiting requests that a peer announced are counted after they were received.
const WAITING_TTL: Millis = Millis(700);

/// The largest number of prompt tokens that is counted for one peer and server, so that no sum overflows: callers
/// state the lengths of their prompts.
const MAX_PROMPT_AHEAD: u32 = 1 << 20;

/// The load of one request, without its prompt.
const ONE_REQUEST: ServerLoad = ServerLoad {
    running: 1,
    prompt_ahead: 0,
};

/// The latest load that one peer announced.
#[derive(Debug, Default)]
struct Announcement {
    updated_at: Millis,
    engines: Vec<(EngineKey, ServerLoad)>,
    /// Servers on which a slot was granted to the peer since the announcement, one entry per slot.
    granted: Vec<EngineKey>,
    waiting: Vec<WaitingCount>,
}

/// The announced loads of all peers.
#[derive(Debug, Default)]
pub(crate) struct PeerLoads {
    announcements: HashMap<HostId, Announcement>,
    sums: Sums,
}

/// Totals over the announcements of all peers.
#[derive(Debug, Default)]
struct Sums {
    engines: HashMap<EngineKey, ServerLoad>,
    waiting: BTreeMap<(BackendName, Tier), u32>,
}

impl Sums {
    fn add(&mut self, announcement: &Announcement) {
        for (engine, load) in &announcement.engines {
            let sum = self.engines.entry(*engine).or_default();
            sum.running += load.running;
            sum.prompt_ahead += load.prompt_ahead;
        }
        for waiting in &announcement.waiting {
            let key = (waiting.backend.clone(), waiting.tier);
            *self.waiting.entry(key).or_default() += waiting.count;
        }
    }

    fn subtract_loads(&mut self, announcement: &Announcement) {
        for (engine, load) in &announcement.engines {
            self.subtract_from(*engine, *load);
        }
        for engine in &announcement.granted {
            self.subtract_from(*engine, ONE_REQUEST);
        }
    }

    fn subtract_waiting(&mut self, announcement: &Announcement) {
        for waiting in &announcement.waiting {
            let key = (waiting.backend.clone(), waiting.tier);
            if let Some(sum) = self.waiting.get_mut(&key) {
                *sum -= waiting.count;
            }
        }
    }

    fn subtract_from(&mut self, engine: EngineKey, load: ServerLoad) {
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

fn bound_prompt((engine, load): (EngineKey, ServerLoad)) -> (EngineKey, ServerLoad) {
    let prompt_ahead = load.prompt_ahead.min(MAX_PROMPT_AHEAD);
    (engine, ServerLoad { prompt_ahead, ..load })
}

impl PeerLoads {
    /// Replaces a peer's last announcement.
    pub(crate) fn record_load(&mut self, now: Millis, host: &HostId, load: HostLoad) {
        let announcement = self.announcements.entry(host.clone()).or_default();
        self.sums.subtract_loads(announcement);
        self.sums.subtract_waiting(announcement);
        *announcement = Announcement {
            updated_at: now,
            engines: load.engines.into_iter().map(bound_prompt).collect(),
            granted: Vec::new(),
            waiting: load.waiting,
        };
        self.sums.add(announcement);
    }

    /// Records a slot that was granted to a peer.
    pub(crate) fn grant_slot(&mut self, now: Millis, host: &HostId, engine: EngineKey) {
        let announcement = self.announcements.entry(host.clone()).or_default();
        announcement.updated_at = now;
        announcement.granted.push(engine);
        self.sums.engines.entry(engine).or_default().running += 1;
    }

    /// Records that a peer's request no longer occupies a slot of a server.
    pub(crate) fn release_slot(&mut self, host: &HostId, engine: EngineKey) {
        let Some(announcement) = self.announcements.get_mut(host) else {
            return;
        };
        let granted = announcement
            .granted
            .iter()
            .position(|granted_engine| *granted_engine == engine);
        let running = announcement
            .engines
            .iter_mut()
            .find(|(other, load)| *other == engine && load.running > 0);
        match (granted, running) {
            (Some(ix), _) => {
                announcement.granted.swap_remove(ix);
            }
            (None, Some((_, load))) => load.running -= 1,
            (None, None) => return,
        }
        self.sums.subtract_from(engine, ONE_REQUEST);
    }

    /// Drops announced loads and waiting counts that are too old to be counted.
    pub(crate) fn expire(&mut self, now: Millis) {
        let sums = &mut self.sums;
        self.announcements.retain(|_, announcement| {
            let age = now.since(announcement.updated_at);
            if age > WAITING_TTL {
                sums.subtract_waiting(announcement);
                announcement.waiting.clear();
            }
            let is_current = age <= LOAD_TTL;
            if !is_current {
                sums.subtract_loads(announcement);
            }
            is_current
        });
    }

    /// Returns the load of all peers on a server.
    pub(crate) fn load_on(&self, engine: EngineKey) -> ServerLoad {
        self.sums.engines.get(&engine).copied().unwrap_or_default()
    }

    /// Iterates over the number of requests that wait for a backend at peers, by tier.
    pub(crate) fn waiting_for(&self, backend: &BackendName) -> Vec<(Tier, u32)> {
        let waiting = self.sums.waiting.iter();
        let of_backend = waiting.filter(|((other, _), _)| other == backend);
        of_backend.map(|((_, tier), count)| (*tier, *count)).collect()
    }

    /// Returns the number of entries kept, over all peers and servers.
    pub(crate) fn len(&self) -> usize {
        let loads = self.announcements.values();
        loads
            .map(|announcement| announcement.engines.len() + announcement.granted.len())
            .sum()
    }
}
