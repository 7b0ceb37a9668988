//! The loads of peers, summed by server: as they announced them, or as the owners of slots measured them.
//!
//! Heartbeats arrive far more often than servers are chosen from scratch, so the sums are updated
//! incrementally as announcements arrive and expire. The cost of a heartbeat is proportional to
//! its size.

use std::collections::{BTreeMap, HashMap};

use carawayseam_types::{BackendName, EngineKey, HostId, Millis, Tier};

use crate::engine::ServerLoad;
use crate::gossip::Statuses;
use crate::inherited_loads::InheritedLoads;
use crate::load::{HostLoad, WaitingCount};
use crate::server_loads::ServerLoads;

/// How long a peer's announced load is counted after it was received.
const LOAD_TTL: Millis = Millis(1_500);
/// How long the waiting requests that a peer announced are counted after they were received.
const WAITING_TTL: Millis = Millis(700);

/// The largest number of prompt tokens that is counted for one peer and server, so that no sum overflows: callers
/// state the lengths of their prompts.
const MAX_PROMPT_AHEAD: u32 = 1 << 20;
/// The largest number of requests that is counted for one entry of a peer, so that no sum overflows.
const MAX_REQUESTS: u32 = 1 << 16;

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
    /// Slots that were granted to the peer since the announcement.
    granted: Vec<GrantedSlot>,
    waiting: Vec<WaitingCount>,
}

/// A slot that this host granted to a peer.
#[derive(Debug, Clone, Copy)]
struct GrantedSlot {
    engine: EngineKey,
    /// The id of the peer's request for it.
    request_id: u64,
    /// When a claimed slot was granted, which its holder has to confirm; `None` if the next announcement tells.
    claimed_at: Option<Millis>,
}

impl GrantedSlot {
    /// Returns whether the holder should have confirmed the slot since, and did not.
    fn is_unconfirmed(&self, now: Millis) -> bool {
        self.claimed_at.is_some_and(|at| now.since(at) > LOAD_TTL)
    }
}

/// The loads of all peers.
#[derive(Debug, Default)]
pub(crate) struct PeerLoads {
    announcements: HashMap<HostId, Announcement>,
    sums: Sums,
    /// The loads of servers whose slots other hosts own, if hosts exchange these in gossip rounds.
    pub(crate) measured: ServerLoads,
    /// The loads of servers whose slots this host has owned for a short time only.
    pub(crate) inherited: InheritedLoads,
    /// The waiting requests of peers, if hosts exchange these in gossip rounds.
    pub(crate) statuses: Statuses,
    /// The number of live peers for which the statuses stand.
    pub(crate) live_peers: u32,
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
        for granted in &announcement.granted {
            self.subtract_from(granted.engine, ONE_REQUEST);
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

fn bound_load((engine, load): (EngineKey, ServerLoad)) -> (EngineKey, ServerLoad) {
    let load = ServerLoad {
        running: load.running.min(MAX_REQUESTS),
        prompt_ahead: load.prompt_ahead.min(MAX_PROMPT_AHEAD),
    };
    (engine, load)
}

/// Bounds the loads, and keeps one of each server: the entries of one peer must not add up to more either.
fn bound_loads(mut loads: Vec<(EngineKey, ServerLoad)>) -> Vec<(EngineKey, ServerLoad)> {
    loads.sort_by_key(|(engine, _)| *engine);
    loads.dedup_by_key(|(engine, _)| *engine);
    loads.into_iter().map(bound_load).collect()
}

fn bound_waiting(waiting: WaitingCount) -> WaitingCount {
    let count = waiting.count.min(MAX_REQUESTS);
    WaitingCount { count, ..waiting }
}

impl PeerLoads {
    /// Replaces a peer's last announcement.
    pub(crate) fn record_load(&mut self, now: Millis, host: &HostId, load: HostLoad) {
        let announcement = self.announcements.entry(host.clone()).or_default();
        self.sums.subtract_loads(announcement);
        self.sums.subtract_waiting(announcement);
        *announcement = Announcement {
            updated_at: now,
            engines: bound_loads(load.engines),
            granted: Vec::new(),
            waiting: load.waiting.into_iter().map(bound_waiting).collect(),
        };
        self.sums.add(announcement);
    }

    /// Replaces what a peer holds, except for the slots that were granted for its requests after `as_of_request`.
    pub(crate) fn confirm_held(
        &mut self,
        now: Millis,
        host: &HostId,
        as_of_request: u64,
        engines: Vec<(EngineKey, ServerLoad)>,
    ) {
        let earlier = self
            .announcements
            .get(host)
            .map(|announcement| &announcement.granted);
        let later: Vec<GrantedSlot> = earlier
            .into_iter()
            .flatten()
            .filter(|granted| granted.request_id > as_of_request && !granted.is_unconfirmed(now))
            .copied()
            .collect();
        let load = HostLoad {
            engines,
            waiting: Vec::new(),
        };
        self.record_load(now, host, load);
        for granted in later {
            self.add_granted(host, granted);
        }
    }

    /// Records a slot that was granted for a peer's request.
    pub(crate) fn grant_slot(&mut self, now: Millis, host: &HostId, engine: EngineKey) {
        self.announcements.entry(host.clone()).or_default().updated_at = now;
        let granted = GrantedSlot {
            engine,
            request_id: 0,
            claimed_at: None,
        };
        self.add_granted(host, granted);
    }

    /// Records a slot that was granted for a peer's claim; the peer has to confirm it.
    ///
    /// The grant does not renew what the peer confirmed before: a slot whose return was lost must not last as long as
    /// the peer claims others.
    pub(crate) fn grant_claim(&mut self, now: Millis, host: &HostId, engine: EngineKey, request_id: u64) {
        let granted = GrantedSlot {
            engine,
            request_id,
            claimed_at: Some(now),
        };
        self.inherited.add_slot(engine);
        self.add_granted(host, granted);
    }

    /// Returns whether a slot was granted for this claim already.
    pub(crate) fn has_claim(&self, host: &HostId, engine: EngineKey, request_id: u64) -> bool {
        let mut granted = self
            .announcements
            .get(host)
            .into_iter()
            .flat_map(|known| &known.granted);
        granted
            .any(|slot| slot.engine == engine && slot.request_id == request_id && slot.claimed_at.is_some())
    }

    fn add_granted(&mut self, host: &HostId, granted: GrantedSlot) {
        let announcement = self.announcements.entry(host.clone()).or_default();
        announcement.granted.push(granted);
        self.sums.engines.entry(granted.engine).or_default().running += 1;
    }

    /// Records that a peer's request no longer occupies a slot of a server.
    pub(crate) fn release_slot(&mut self, host: &HostId, engine: EngineKey) {
        self.inherited.release_slot(engine);
        let Some(announcement) = self.announcements.get_mut(host) else {
            return;
        };
        let granted = announcement
            .granted
            .iter()
            .rposition(|granted| granted.engine == engine);
        let running = announcement
            .engines
            .iter_mut()
            .find(|(other, load)| *other == engine && load.running > 0);
        match (granted, running) {
            (Some(ix), _) => {
                // The latest: a slot whose return was lost is among the earlier ones, which expire if not confirmed.
                announcement.granted.remove(ix);
            }
            (None, Some((_, load))) => load.running -= 1,
            (None, None) => return,
        }
        self.sums.subtract_from(engine, ONE_REQUEST);
    }

    /// Drops announced loads and waiting counts that are too old to be counted.
    pub(crate) fn expire(&mut self, now: Millis) {
        self.measured.expire(now);
        self.inherited.expire(now);
        let sums = &mut self.sums;
        self.announcements.retain(|_, announcement| {
            let age = now.since(announcement.updated_at);
            if age > WAITING_TTL {
                sums.subtract_waiting(announcement);
                announcement.waiting.clear();
            }
            announcement.granted.retain(|granted| {
                let is_unconfirmed = granted.is_unconfirmed(now);
                if is_unconfirmed {
                    sums.subtract_from(granted.engine, ONE_REQUEST);
                }
                !is_unconfirmed
            });
            if age <= LOAD_TTL {
                return true;
            }
            // Slots that were claimed since the last announcement remain.
            let (claimed, others) = announcement
                .granted
                .iter()
                .copied()
                .partition(|granted| granted.claimed_at.is_some());
            announcement.granted = others;
            sums.subtract_loads(announcement);
            announcement.engines.clear();
            announcement.granted = claimed;
            !announcement.granted.is_empty()
        });
    }

    /// Returns the load of all peers on a server, beside this host's `own` load.
    ///
    /// A measurement by the owner of the server's slots goes before what peers announced to this host: they announce
    /// to the owner only.
    pub(crate) fn load_on(&self, now: Millis, engine: EngineKey, own: ServerLoad) -> ServerLoad {
        match self.measured.load_on(now, engine) {
            Some(all) => ServerLoad {
                running: all.running.saturating_sub(own.running),
                prompt_ahead: all.prompt_ahead.saturating_sub(own.prompt_ahead),
            },
            None => self.announced_load(engine),
        }
    }

    /// Returns the load of all peers on a server as they announced it to this host.
    pub(crate) fn announced_load(&self, engine: EngineKey) -> ServerLoad {
        let announced = self.sums.engines.get(&engine).copied().unwrap_or_default();
        let inherited = self.inherited.load_on(engine);
        ServerLoad {
            running: announced.running.max(inherited.running),
            prompt_ahead: announced.prompt_ahead.max(inherited.prompt_ahead),
        }
    }

    /// Returns the number of requests that wait for a backend at peers, by tier.
    pub(crate) fn waiting_for(&self, now: Millis, backend: &BackendName) -> Vec<(Tier, u32)> {
        let waiting = self.sums.waiting.iter();
        let of_backend = waiting.filter(|((other, _), _)| other == backend);
        let announced = of_backend.map(|((_, tier), count)| (*tier, *count));
        let mut sums: BTreeMap<Tier, u32> = announced.collect();
        for (tier, count) in self.statuses.waiting_for(now, backend, self.live_peers) {
            let sum = sums.entry(tier).or_default();
            *sum = sum.saturating_add(count);
        }
        sums.into_iter().collect()
    }

    /// Returns the number of entries kept, over all peers and servers.
    pub(crate) fn len(&self) -> usize {
        let loads = self.announcements.values();
        loads
            .map(|announcement| announcement.engines.len() + announcement.granted.len())
            .sum()
    }
}
