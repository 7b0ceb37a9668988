//! The engines of one zone, backend and version, and the queue before them.

use std::collections::{BTreeMap, BTreeSet};

use carawayseam_types::{AttemptId, BackendName, HostId, Millis, Tier, VersionId, ZoneId};

use crate::PoolLoad;
use crate::engine::Length;
use crate::index::EngineIx;
use crate::queue::{Entitlement, Queue, Ticket};
use crate::speed::Speeds;

/// Names a pool.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct PoolKey {
    pub(crate) zone: ZoneId,
    pub(crate) backend: BackendName,
    pub(crate) version: VersionId,
}

/// A pool's load as a peer announced it.
#[derive(Debug, Clone)]
pub(crate) struct RemoteLoad {
    pub(crate) at: Millis,
    pub(crate) load: PoolLoad,
    /// Requests forwarded there since, which it did not count yet.
    pub(crate) forwarded: u32,
    /// Requests that this host sent to the pool's engines itself since.
    pub(crate) borrowed: u32,
}

impl RemoteLoad {
    /// The time that a new request of a tier would wait, in milliseconds.
    pub(crate) fn wait_ms(&self, tier: Tier) -> f64 {
        let waits = &self.load.tier_waits;
        let wait = waits.get(usize::from(tier.0)).or(waits.last());
        wait.map_or(0.0, |wait| wait.0 as f64)
    }

    /// Whether work below a tier is kept there.
    pub(crate) fn keeps_below(&self, tier: Tier) -> bool {
        self.load.lowest_kept.is_some_and(|low| tier.outranks(low))
    }
}

/// A pool.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) key: PoolKey,
    pub(crate) is_service: bool,
    /// Engines that the document puts here and that are not gone or leaving.
    pub(crate) live: u32,
    /// Engines that the document puts here.
    pub(crate) engines: Vec<EngineIx>,
    /// Engines with a free slot, in no order.
    pub(crate) free: Vec<EngineIx>,
    pub(crate) slots: u32,
    /// Slots, weighted by the engines' speeds.
    pub(crate) capacity: f64,
    pub(crate) speeds: Speeds,
    /// Whole answers seen; before the first few, speeds are a guess.
    pub(crate) answers: u32,
    pub(crate) queue: Queue,
    /// This host's running attempts by tier, the newest last.
    pub(crate) running: BTreeMap<Tier, BTreeSet<AttemptId>>,
    /// The host that admits for this pool; none means this host.
    pub(crate) owner: Option<HostId>,
    pub(crate) remote: BTreeMap<HostId, RemoteLoad>,
    /// Expected service time of the requests that were dispatched last, in milliseconds.
    pub(crate) mean_cost: f64,
    mean_squared_cost: f64,
    /// The highest tier that was refused for want of capacity, and until when that counts.
    refused: Option<(Tier, Millis)>,
}

const MEAN_COST_KEEP: f64 = 0.99;
/// A request is short below this part of the time for which slots are held.
const SHORT_PART: f64 = 0.5;
/// Answers after which the pool's speeds are believed.
const ENOUGH_ANSWERS: u32 = 8;
/// A refused tier keeps lower ones out for so long.
const REFUSED_COUNTS: Millis = Millis::from_secs(1);
/// Loads announced longer ago say nothing.
const OLDEST_LOAD: Millis = Millis::from_secs(2);

impl Pool {
    pub(crate) fn new(key: PoolKey, is_service: bool) -> Self {
        Self {
            key,
            is_service,
            live: 0,
            engines: Vec::new(),
            free: Vec::new(),
            slots: 0,
            capacity: 0.0,
            speeds: if is_service {
                Speeds::of_service()
            } else {
                Speeds::of_model()
            },
            answers: 0,
            queue: Queue::default(),
            running: BTreeMap::new(),
            owner: None,
            remote: BTreeMap::new(),
            mean_cost: 0.0,
            mean_squared_cost: 0.0,
            refused: None,
        }
    }

    pub(crate) const fn knows_speeds(&self) -> bool {
        self.answers >= ENOUGH_ANSWERS
    }

    pub(crate) fn running_count(&self) -> u32 {
        self.running.values().map(|attempts| attempts.len() as u32).sum()
    }

    /// The time until a new request would start, in milliseconds.
    pub(crate) fn wait_ms(&self, now: Millis, ticket: &Ticket, part: f64) -> f64 {
        if self.queue.len() == 0 && !self.free.is_empty() {
            return 0.0;
        }
        let next_slot = self.mean_cost / self.capacity.max(1.0);
        self.queue.wait(now, ticket, self.entitlement(part)) + next_slot
    }

    /// What a part of all shares is worth in this pool.
    ///
    /// Short requests run beyond the slots that the capacity counts.
    pub(crate) fn entitlement(&self, part: f64) -> Entitlement {
        let capacity = self.capacity.max(f64::from(self.running_count()));
        Entitlement { part, capacity }
    }

    /// Notes that a tier had to be refused; what ranks below it must not be kept.
    pub(crate) fn note_refused(&mut self, now: Millis, tier: Tier) {
        let highest = self.refused_tier(now).map_or(tier, |known| known.min(tier));
        self.refused = Some((highest, now + REFUSED_COUNTS));
    }

    /// The highest tier that had to be refused here lately.
    pub(crate) fn refused_tier(&self, now: Millis) -> Option<Tier> {
        let (tier, until) = self.refused?;
        (now < until).then_some(tier)
    }

    pub(crate) fn on_dispatch(&mut self, cost: f64) {
        let keep = if self.mean_cost > 0.0 { MEAN_COST_KEEP } else { 0.0 };
        self.mean_cost = keep.mul_add(self.mean_cost - cost, cost);
        let squared = cost * cost;
        self.mean_squared_cost = keep.mul_add(self.mean_squared_cost - squared, squared);
    }

    /// How long a request is beside the ones that hold the slots.
    ///
    /// A slot looked at by chance is held by a request of the mean squared
    /// cost over the mean cost, as long requests hold their slots longer.
    pub(crate) fn length(&self, cost: f64) -> Length {
        if cost * self.mean_cost < self.mean_squared_cost * SHORT_PART {
            Length::Short
        } else {
            Length::Long
        }
    }

    /// Whether work of a higher tier runs here.
    pub(crate) fn serves_above(&self, tier: Tier) -> bool {
        let mut higher = self.running.range(..tier);
        higher.any(|(_, attempts)| !attempts.is_empty())
    }

    /// The lowest tier that waits or runs here.
    pub(crate) fn lowest_kept(&self) -> Option<Tier> {
        let running = self.running.iter().rev();
        let lowest_running = running
            .filter(|(_, attempts)| !attempts.is_empty())
            .map(|(tier, _)| *tier)
            .next();
        self.queue.lowest().max(lowest_running)
    }

    /// The load as this host announces it.
    pub(crate) fn load(&self, now: Millis) -> PoolLoad {
        let used = self.running_count() + self.queue.len() as u32;
        let capacity = self.entitlement(1.0).capacity.max(1.0);
        let waits = self
            .queue
            .work_by_tier()
            .map(|work| Millis((work / capacity) as u64));
        let tier_waits: Vec<Millis> = waits.collect();
        PoolLoad {
            zone: self.key.zone.clone(),
            backend: self.key.backend.clone(),
            version: self.key.version.clone(),
            free_slots: self.slots.saturating_sub(used),
            wait: tier_waits.last().copied().unwrap_or_default(),
            tier_waits,
            lowest_kept: self.lowest_kept(),
            refused: self.refused_tier(now),
        }
    }

    /// The load that the pool's owner announced, if that is not too old.
    pub(crate) fn owner_load(&self, now: Millis) -> Option<&RemoteLoad> {
        let load = self.remote.get(self.owner.as_ref()?)?;
        (now.since(load.at) <= OLDEST_LOAD).then_some(load)
    }

    /// Fresh loads of all peers.
    pub(crate) fn fresh_loads(&self, now: Millis) -> impl Iterator<Item = &RemoteLoad> {
        self.remote
            .values()
            .filter(move |load| now.since(load.at) <= OLDEST_LOAD)
    }
}
