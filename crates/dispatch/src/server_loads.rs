//! Loads of backend servers as measured by the owners of their slots.
//!
//! The owner of a server's slots knows the load of all hosts on it, since they claim slots from it. Measurements
//! spread by gossip, so they arrive late and out of order. To the latest measurement of a server are added the
//! requests that this host itself has started there since, and those that ended are subtracted.

use std::collections::{BTreeMap, VecDeque};

use carawayseam_types::{Digest, EngineKey, HostId, Millis};

use crate::engine::ServerLoad;

/// A measurement counts for this time.
const MEASUREMENT_TTL: Millis = Millis(3_000);
/// A refused claim marks a server as full for this time for each server that is marked, within bounds, so that a host
/// makes at most 100 claims a second in vain while up to 100 servers are full. A newer measurement ends a mark sooner.
const FULL_TTL_PER_SERVER: Millis = Millis(10);
const MIN_FULL_TTL: Millis = Millis(40);
const MAX_FULL_TTL: Millis = Millis(1_000);
/// The largest number of own starts and ends kept for one server.
const MAX_OWN_CHANGES: usize = 64;
/// The largest number of prompt tokens that a measurement may state: callers state the lengths of their prompts.
const MAX_PROMPT_AHEAD: u32 = 1 << 24;

/// Identifies the owner of a measurement by a digest of the host's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct OwnerKey(pub u32);

impl From<&HostId> for OwnerKey {
    fn from(host: &HostId) -> Self {
        Self(Digest::of(host.as_str().as_bytes()).low_bits())
    }
}

/// The load of all hosts on a server, as its owner measured it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Measurement {
    /// The server.
    pub engine: EngineKey,
    /// The owner of the server's slots.
    pub owner: OwnerKey,
    /// Increases with each measurement of one owner.
    pub version: u64,
    /// The time since the measurement.
    pub age: Millis,
    /// The load of all hosts.
    pub load: ServerLoad,
}

/// A request that this host started on a server, or that ended there.
#[derive(Debug, Clone, Copy)]
enum OwnChange {
    Start,
    End,
}

#[derive(Debug)]
struct Known {
    owner: OwnerKey,
    version: u64,
    measured_at: Millis,
    load: ServerLoad,
}

impl Known {
    fn is_current(&self, now: Millis) -> bool {
        now.since(self.measured_at) <= MEASUREMENT_TTL
    }

    /// Returns whether a measurement taken at `measured_at` replaces this one.
    ///
    /// Versions rule out replays of one owner; those of different owners are not comparable.
    fn is_superseded_by(&self, measurement: &Measurement, measured_at: Millis) -> bool {
        let is_newer = measurement.owner != self.owner || measurement.version > self.version;
        is_newer && measured_at > self.measured_at
    }
}

#[derive(Debug, Default)]
struct Entry {
    known: Option<Known>,
    /// When a claim was last refused, unless a later change has freed a slot.
    refused_at: Option<Millis>,
    full_until: Millis,
    own_changes: VecDeque<(Millis, OwnChange)>,
}

impl Entry {
    const fn clear_full(&mut self) {
        self.refused_at = None;
        self.full_until = Millis::ZERO;
    }
}

/// The latest measurement of each server.
#[derive(Debug, Default)]
pub struct ServerLoads(BTreeMap<EngineKey, Entry>);

impl ServerLoads {
    /// Records a measurement; returns false if it is outdated.
    pub fn record(&mut self, now: Millis, measurement: &Measurement) -> bool {
        let measured_at = now - measurement.age;
        let entry = self.0.entry(measurement.engine).or_default();
        let known = entry.known.as_ref().filter(|known| known.is_current(now));
        let is_outdated = known.is_some_and(|known| !known.is_superseded_by(measurement, measured_at));
        if is_outdated || measurement.age > MEASUREMENT_TTL {
            return false;
        }
        entry.known = Some(Known {
            owner: measurement.owner,
            version: measurement.version,
            measured_at,
            load: bound(measurement.load),
        });
        if entry.refused_at.is_some_and(|at| measured_at > at) {
            entry.clear_full();
        }
        entry.own_changes.retain(|(at, _)| *at > measured_at);
        true
    }

    /// Records the load in an owner's response to a claim; `is_full` if it granted none.
    pub fn record_claim(
        &mut self,
        now: Millis,
        engine: EngineKey,
        owner: OwnerKey,
        load: ServerLoad,
        is_full: bool,
    ) {
        let full_ttl = self.full_ttl(now);
        let entry = self.0.entry(engine).or_default();
        let version = match &entry.known {
            Some(known) if known.owner == owner => known.version,
            _ => 0,
        };
        entry.known = Some(Known {
            owner,
            version,
            measured_at: now,
            load: bound(load),
        });
        entry.own_changes.clear();
        if is_full {
            entry.refused_at = Some(now);
            entry.full_until = now + full_ttl;
        } else {
            entry.clear_full();
        }
    }

    /// Returns how long a server that refuses a claim now is marked as full.
    fn full_ttl(&self, now: Millis) -> Millis {
        let marked = self.0.values().filter(|entry| now < entry.full_until).count();
        FULL_TTL_PER_SERVER
            .times(marked as u64 + 1)
            .clamp(MIN_FULL_TTL, MAX_FULL_TTL)
    }

    /// Records that a request of this host was started on a server.
    pub fn record_start(&mut self, now: Millis, engine: EngineKey) {
        self.record_own(now, engine, OwnChange::Start);
    }

    /// Records that a request of this host has ended on a server.
    pub fn record_end(&mut self, now: Millis, engine: EngineKey) {
        self.record_own(now, engine, OwnChange::End);
    }

    fn record_own(&mut self, now: Millis, engine: EngineKey, change: OwnChange) {
        let Some(entry) = self.0.get_mut(&engine).filter(|entry| entry.known.is_some()) else {
            return;
        };
        // The slot that this host has freed is the first to be used again.
        if matches!(change, OwnChange::End) {
            entry.clear_full();
        }
        entry.own_changes.push_back((now, change));
        if entry.own_changes.len() > MAX_OWN_CHANGES {
            entry.own_changes.pop_front();
        }
    }

    /// Returns the load of all hosts on a server, or `None` without a measurement that is recent enough.
    #[must_use]
    pub fn load_on(&self, now: Millis, engine: EngineKey) -> Option<ServerLoad> {
        let entry = self.0.get(&engine)?;
        let known = entry.known.as_ref().filter(|known| known.is_current(now))?;
        let count = |is_counted: fn(OwnChange) -> bool| {
            let changes = entry.own_changes.iter().filter(|(_, change)| is_counted(*change));
            changes.count() as u32
        };
        let started = count(|change| matches!(change, OwnChange::Start));
        let ended = count(|change| matches!(change, OwnChange::End));
        Some(ServerLoad {
            running: known.load.running.saturating_add(started).saturating_sub(ended),
            prompt_ahead: known.load.prompt_ahead,
        })
    }

    /// Returns whether the owner refused a claim lately, and no later measurement has arrived.
    #[must_use]
    pub fn is_full(&self, now: Millis, engine: EngineKey) -> bool {
        self.0.get(&engine).is_some_and(|entry| now < entry.full_until)
    }

    /// Forgets the measurements of a server whose slots this host owns now.
    pub fn forget(&mut self, engine: EngineKey) {
        self.0.remove(&engine);
    }

    /// Returns the measurements of servers that `is_wanted`, the newest first, at most `limit`.
    #[must_use]
    pub fn newest(
        &self,
        now: Millis,
        limit: usize,
        is_wanted: impl Fn(EngineKey) -> bool,
    ) -> Vec<Measurement> {
        let current = self.0.iter().filter_map(|(engine, entry)| {
            let known = entry.known.as_ref().filter(|known| known.is_current(now))?;
            Some((*engine, known))
        });
        let mut wanted: Vec<(EngineKey, &Known)> = current.filter(|(engine, _)| is_wanted(*engine)).collect();
        wanted.sort_by_key(|(_, known)| std::cmp::Reverse(known.measured_at));
        let measurements = wanted.into_iter().take(limit).map(|(engine, known)| Measurement {
            engine,
            owner: known.owner,
            version: known.version,
            age: now.since(known.measured_at),
            load: known.load,
        });
        measurements.collect()
    }

    /// Drops servers of which nothing recent is known.
    pub fn expire(&mut self, now: Millis) {
        self.0.retain(|_, entry| {
            let is_current = entry.known.as_ref().is_some_and(|known| known.is_current(now));
            is_current || now < entry.full_until
        });
    }

    /// Returns the number of servers of which something is known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether nothing is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

fn bound(load: ServerLoad) -> ServerLoad {
    ServerLoad {
        running: load.running,
        prompt_ahead: load.prompt_ahead.min(MAX_PROMPT_AHEAD),
    }
}
