//! Loads of servers in a large fleet: what the owners of slots measure, grant and tell.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use carawayseam_types::{EngineId, EngineKey, HostId, Incarnation, Millis, Tier, ZoneId};

use super::Dispatcher;
use crate::engine::{Engine, ServerLoad};
use crate::job::Action;
use crate::server_loads::{Measurement, OwnerKey};

/// A refused claim of a higher tier keeps slots from lower tiers for this time.
const REFUSED_CLAIM_TTL: Millis = Millis(100);
/// The largest number of refused claims kept for one server.
const MAX_REFUSED_CLAIMS: usize = 256;
/// A host whose last confirmation is older than this may have started anew, with any incarnation.
const CONFIRMATION_TTL: Millis = Millis(2_500);

/// The result of a claim of a slot at the host that owns it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimedSlot {
    /// Whether the slot is granted.
    pub is_granted: bool,
    /// The load of all hosts on the server, including a slot that was granted.
    pub load: ServerLoad,
}

/// The load of this host on one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldLoad {
    /// The server.
    pub engine: EngineId,
    /// The server's availability zone.
    pub zone: ZoneId,
    /// The load.
    pub load: ServerLoad,
}

/// Claims that were refused lately, by server.
#[derive(Debug, Default)]
pub(super) struct RefusedClaims(HashMap<EngineKey, Vec<RefusedClaim>>);

#[derive(Debug)]
struct RefusedClaim {
    at: Millis,
    host: HostId,
    tier: Tier,
}

impl RefusedClaims {
    /// Returns the number of refused claims of tiers above `tier`, at most one for each host and tier.
    fn count_above(&mut self, now: Millis, engine: EngineKey, tier: Tier) -> u32 {
        let Some(claims) = self.0.get_mut(&engine) else {
            return 0;
        };
        claims.retain(|claim| now.since(claim.at) <= REFUSED_CLAIM_TTL);
        if claims.is_empty() {
            self.0.remove(&engine);
            return 0;
        }
        let above = claims.iter().filter(|claim| claim.tier.outranks(tier));
        above.count() as u32
    }

    /// Records a refused claim; of one host and tier, the latest replaces the others.
    ///
    /// A host's claims of lower tiers must not end the precedence of its higher ones.
    fn record(&mut self, now: Millis, engine: EngineKey, host: &HostId, tier: Tier) {
        let claims = self.0.entry(engine).or_default();
        claims.retain(|claim| claim.host != *host || claim.tier != tier);
        claims.push(RefusedClaim {
            at: now,
            host: host.clone(),
            tier,
        });
        if claims.len() > MAX_REFUSED_CLAIMS {
            claims.remove(0);
        }
    }

    /// Forgets a host's refused claim of a tier, because it got a slot.
    fn forget(&mut self, engine: EngineKey, host: &HostId, tier: Tier) {
        if let Some(claims) = self.0.get_mut(&engine) {
            claims.retain(|claim| claim.host != *host || claim.tier != tier);
        }
    }

    /// Drops claims that no longer count, also of servers that nobody claims any more.
    pub(super) fn expire(&mut self, now: Millis) {
        self.0.retain(|_, claims| {
            claims.retain(|claim| now.since(claim.at) <= REFUSED_CLAIM_TTL);
            !claims.is_empty()
        });
    }
}

/// The last confirmation of held slots of each host.
#[derive(Debug, Default)]
pub(super) struct HeldConfirmations(BTreeMap<HostId, (Millis, Incarnation, u64)>);

impl HeldConfirmations {
    /// Returns whether a confirmation is newer than the last one, and records it if so.
    pub(super) fn accept(&mut self, now: Millis, host: &HostId, incarnation: Incarnation, seq: u64) -> bool {
        self.0.retain(|_, (at, _, _)| now.since(*at) <= CONFIRMATION_TTL);
        let known = self.0.get(host);
        let is_outdated = known.is_some_and(|(_, known, last)| (incarnation, seq) <= (*known, *last));
        if !is_outdated {
            self.0.insert(host.clone(), (now, incarnation, seq));
        }
        !is_outdated
    }
}

impl Dispatcher {
    /// Grants a peer's claim of a slot whose owner is this host.
    ///
    /// Free slots go to hosts first that were refused for a higher tier. Returns `None` for an unknown server.
    pub fn grant_claim(
        &mut self,
        now: Millis,
        host: &HostId,
        request_id: u64,
        key: EngineKey,
        tier: Tier,
    ) -> Option<ClaimedSlot> {
        let engine = self.engine_of(key)?;
        let (id, slots, own) = (engine.entry.id.clone(), engine.entry.slots, engine.own_load());
        let peers = self.peers.announced_load(key);
        let used = own.running.saturating_add(peers.running);
        if self.peers.has_claim(host, key, request_id) {
            // The claim arrived twice.
            let load = ServerLoad {
                running: used,
                prompt_ahead: own.prompt_ahead.saturating_add(peers.prompt_ahead),
            };
            return Some(ClaimedSlot {
                is_granted: true,
                load,
            });
        }
        let free = slots.saturating_sub(used);
        let is_granted = free > self.refused_claims.count_above(now, key, tier)
            && self.brittle_servers.grant(now, &id, used);
        if is_granted {
            self.peers.grant_claim(now, host, key, request_id);
            self.refused_claims.forget(key, host, tier);
        } else {
            self.refused_claims.record(now, key, host, tier);
        }
        let load = ServerLoad {
            running: used.saturating_add(u32::from(is_granted)),
            prompt_ahead: own.prompt_ahead.saturating_add(peers.prompt_ahead),
        };
        Some(ClaimedSlot { is_granted, load })
    }

    /// Returns whether a request of this host may use a slot that this host owns, beside refused claims of peers
    /// for higher tiers.
    pub fn may_use_own_slot(&mut self, now: Millis, engine: &EngineId, tier: Tier) -> bool {
        let key = EngineKey::from(engine);
        let Some(known) = self.engine_of(key) else {
            return true;
        };
        let slots = known.entry.slots;
        // The request itself is among the running ones already.
        let others = known.running.saturating_sub(1);
        let used = others.saturating_add(self.peers.announced_load(key).running);
        slots.saturating_sub(used) > self.refused_claims.count_above(now, key, tier)
    }

    /// Records the response of the owner of a server's slots to this host's claim.
    pub fn record_claim_response(
        &mut self,
        now: Millis,
        engine: &EngineId,
        owner: &HostId,
        claimed: ClaimedSlot,
    ) {
        let key = EngineKey::from(engine);
        let owner = OwnerKey::from(owner);
        self.peers
            .measured
            .record_claim(now, key, owner, claimed.load, !claimed.is_granted);
    }

    /// Replaces what a peer holds of the slots that this host owns; returns the actions that follow.
    ///
    /// `as_of_request` is the peer's last request at that time: slots for later ones stay.
    pub fn confirm_held_slots(
        &mut self,
        now: Millis,
        host: &HostId,
        process: (Incarnation, u64),
        as_of_request: u64,
        engines: Vec<(EngineKey, ServerLoad)>,
    ) -> Vec<Action> {
        let (incarnation, seq) = process;
        self.now = self.now.max(now);
        if !self.held_confirmations.accept(now, host, incarnation, seq) {
            return Vec::new();
        }
        self.peers.confirm_held(now, host, as_of_request, engines);
        self.dispatch_all_waiting()
    }

    /// Returns the load of this host on each server that it uses.
    #[must_use]
    pub fn held_loads(&self) -> Vec<HeldLoad> {
        let engines = self.pools.values().flat_map(|pool| &pool.engines);
        let used = engines.filter(|engine| engine.running > 0);
        let loads = used.map(|engine| HeldLoad {
            engine: engine.entry.id.clone(),
            zone: engine.entry.zone.clone(),
            load: engine.own_load(),
        });
        loads.collect()
    }

    /// Records measurements of other owners, except for servers whose slots this host owns; returns the actions that
    /// follow.
    pub fn record_measurements(&mut self, now: Millis, measurements: &[Measurement]) -> Vec<Action> {
        self.now = self.now.max(now);
        let mut has_news = false;
        for measurement in measurements {
            if !self.owned_slots.contains(&measurement.engine) {
                has_news |= self.peers.measured.record(now, measurement);
            }
        }
        if has_news && self.now.since(self.last_dispatch_at) >= super::peers::MIN_DISPATCH_INTERVAL {
            return self.dispatch_all_waiting();
        }
        Vec::new()
    }

    /// Sets the servers whose slots this host owns; of new ones, the former owner's measurement counts at first.
    pub fn set_owned_slots(&mut self, is_owned: impl Fn(&EngineId, &ZoneId) -> bool) {
        let mut owned = BTreeSet::new();
        let engines = self.pools.values().flat_map(|pool| &pool.engines);
        for engine in engines.filter(|engine| is_owned(&engine.entry.id, &engine.entry.zone)) {
            owned.insert(engine.key);
            if !self.owned_slots.contains(&engine.key) {
                let load = self.peers.load_on(self.now, engine.key, engine.own_load());
                self.peers.inherited.insert(self.now, engine.key, load);
            }
        }
        self.owned_slots = owned;
        let is_owned = |engine: &EngineKey| self.owned_slots.contains(engine);
        self.peers.inherited.retain_owned(is_owned);
        self.forget_measurements_of_owned();
    }

    /// Drops measurements of the servers whose slots this host owns: late responses of former owners bring some.
    pub fn forget_measurements_of_owned(&mut self) {
        for engine in &self.owned_slots {
            self.peers.measured.forget(*engine);
        }
    }

    /// Returns the measurements to tell another host, at most `limit`: first those of the servers whose slots this
    /// host owns, in turn if there are more, then the newest of others.
    ///
    /// A host of this host's zone is told of that zone's servers; a host of another `zone` of the servers of all zones
    /// but its own, of which it hears from its neighbours.
    #[must_use]
    pub fn measurements_for(
        &mut self,
        now: Millis,
        me: &HostId,
        zone: &ZoneId,
        limit: usize,
    ) -> Vec<Measurement> {
        let is_own_zone = *zone == self.zone;
        let owner = OwnerKey::from(me);
        let mut zones: HashMap<EngineKey, ZoneId> = HashMap::new();
        let mut measurements = Vec::new();
        for engine in self.pools.values().flat_map(|pool| &pool.engines) {
            zones.insert(engine.key, engine.entry.zone.clone());
            let is_of_interest = (engine.entry.zone == *zone) == is_own_zone;
            if !is_of_interest || !self.owned_slots.contains(&engine.key) {
                continue;
            }
            let (own, peers) = (engine.own_load(), self.peers.announced_load(engine.key));
            measurements.push(Measurement {
                engine: engine.key,
                owner,
                version: now.0,
                age: Millis::ZERO,
                load: ServerLoad {
                    running: own.running.saturating_add(peers.running),
                    prompt_ahead: own.prompt_ahead.saturating_add(peers.prompt_ahead),
                },
            });
        }
        if measurements.len() > limit {
            measurements.sort_by_key(|measurement| measurement.engine);
            return self.told_measurements.take(&measurements, limit);
        }
        let is_wanted = |engine: EngineKey| {
            let of_zone = zones.get(&engine);
            of_zone.is_some_and(|of_zone| (of_zone == zone) == is_own_zone)
        };
        let rest = limit.saturating_sub(measurements.len());
        measurements.extend(self.peers.measured.newest(now, rest, is_wanted));
        measurements
    }

    /// Sets the number of live peers for which the statuses of some stand.
    pub const fn set_live_peers(&mut self, live_peers: u32) {
        self.peers.live_peers = live_peers;
    }

    /// Records the status of a peer in its latest round; returns false if it is outdated.
    pub fn record_status(&mut self, now: Millis, host: &HostId, status: crate::gossip::Status) -> bool {
        self.peers.statuses.record(now, host, status)
    }

    /// Returns whether a peer that was heard lately serves requests with keys.
    #[must_use]
    pub fn has_serving_peers(&self, now: Millis) -> bool {
        self.peers.statuses.has_serving_peers(now)
    }

    /// Returns the availability zone of a server.
    #[must_use]
    pub fn zone_of(&self, engine: &EngineId) -> Option<ZoneId> {
        let mut engines = self.pools.values().flat_map(|pool| &pool.engines);
        let known = engines.find(|known| known.entry.id == *engine);
        known.map(|known| known.entry.zone.clone())
    }

    fn engine_of(&self, key: EngineKey) -> Option<&Engine> {
        let mut engines = self.pools.values().flat_map(|pool| &pool.engines);
        engines.find(|known| known.key == key)
    }
}
