//! Backend servers that crash when they have to turn away too many requests.
//!
//! Such a server reports how many rejections in a second it bears. The bound holds for all hosts together,
//! so a host sends it a request only with a slot that the owner of its slots has granted, and hosts tell
//! each other of each rejection. The owner grants no more slots at once than the server may reject, and
//! once half of the bound is used up, nobody sends it more requests. A rejection also shows how many
//! requests the server has room for, which may be fewer than its slots.

use std::collections::{BTreeMap, VecDeque};

use carawayseam_types::{EngineId, Millis, RejectionLimit};

use crate::reported_limits::{ReportedLimits, ServerLimit};

/// Pause of a brittle server that rejected a request of this host, or that has no room for more rejections.
pub const BRITTLE_REJECTION_PAUSE: Millis = Millis::from_secs(1);
/// Time over which a server's rejections are counted, with a margin for the time in which they become known.
const REJECTION_WINDOW: Millis = Millis(1_200);
/// The part of the bound that known rejections may use: others may not be known yet.
const KNOWN_REJECTIONS_DIVISOR: u32 = 2;
/// Time after which the owner knows whether the server rejected a request with a granted slot.
const OUTCOME_DELAY: Millis = Millis(30);
/// Time without a rejection after which a server is tried with one more request at once.
const ROOM_GROWTH_INTERVAL: Millis = Millis::from_secs(3);
/// Limit of rejections kept per server.
const MAX_REJECTIONS: usize = 256;

/// The brittle servers and their latest requests.
#[derive(Debug, Default)]
pub struct BrittleServers {
    reported: ReportedLimits<RejectionLimit>,
    recent: BTreeMap<EngineId, Recent>,
}

/// The latest requests to one brittle server.
#[derive(Debug, Default)]
struct Recent {
    /// When requests of any host were rejected.
    rejections: VecDeque<Millis>,
    /// When slots were granted for requests that may yet be rejected.
    grants: VecDeque<Millis>,
    /// The number of requests that the server had room for at its last rejection.
    room: Option<u32>,
    /// When the last request was rejected.
    rejected_at: Millis,
}

impl Recent {
    /// Returns whether the server is expected to have room for a request beside `used` others.
    fn takes(&self, now: Millis, used: u32) -> bool {
        self.room.is_none_or(|room| {
            let growth = now.since(self.rejected_at).0 / ROOM_GROWTH_INTERVAL.0;
            u64::from(used) < u64::from(room) + growth
        })
    }

    fn drop_old(&mut self, now: Millis) {
        self.rejections.retain(|at| now.since(*at) <= REJECTION_WINDOW);
        self.grants.retain(|at| now.since(*at) <= OUTCOME_DELAY);
    }
}

impl BrittleServers {
    /// Records the limit in the response to a request that was sent at `sent_at`.
    ///
    /// Returns whether the known limit changed.
    pub fn record_response(
        &mut self,
        now: Millis,
        engine: &EngineId,
        sent_at: Millis,
        reported: Option<RejectionLimit>,
    ) -> bool {
        let is_change = self.reported.record_response(now, engine, sent_at, reported);
        self.forget_recent(engine);
        is_change
    }

    /// Records a limit that a peer announced; returns whether the known limit changed.
    pub fn record_peer_update(&mut self, now: Millis, update: ServerLimit<RejectionLimit>) -> bool {
        let engine = update.engine.clone();
        let is_change = self.reported.record_peer_update(now, update);
        self.forget_recent(&engine);
        is_change
    }

    /// Drops the requests of a server that is not brittle.
    fn forget_recent(&mut self, engine: &EngineId) {
        if self.reported.get(engine).is_none() {
            self.recent.remove(engine);
        }
    }

    /// Returns how many rejections in a second a server bears, if it is brittle.
    #[must_use]
    pub fn get(&self, engine: &EngineId) -> Option<RejectionLimit> {
        self.reported.get(engine)
    }

    /// Returns the limits to announce to peers.
    pub fn gossip_updates(&mut self, now: Millis, has_new_peer: bool) -> Vec<ServerLimit<RejectionLimit>> {
        self.reported.gossip_updates(now, has_new_peer)
    }

    /// Records that a server with `used` requests, including this one, rejected a request of any host.
    ///
    /// Of no effect if the server is not brittle.
    pub fn record_rejection(&mut self, now: Millis, engine: &EngineId, used: u32) {
        if self.reported.get(engine).is_none() {
            return;
        }
        let recent = self.recent.entry(engine.clone()).or_default();
        recent.rejected_at = now;
        recent.room = Some(used.saturating_sub(1).max(1));
        recent.rejections.push_back(now);
        recent.drop_old(now);
        if recent.rejections.len() > MAX_REJECTIONS {
            recent.rejections.pop_front();
        }
    }

    /// Returns whether the known rejections of a server leave room for more.
    #[must_use]
    pub fn has_room(&self, now: Millis, engine: &EngineId) -> bool {
        let Some(limit) = self.reported.get(engine) else {
            return true;
        };
        let is_recent = |at: &&Millis| now.since(**at) <= REJECTION_WINDOW;
        let recent = self.recent.get(engine);
        let rejections = recent.map_or(0, |recent| recent.rejections.iter().filter(is_recent).count());
        rejections == 0 || rejections * (KNOWN_REJECTIONS_DIVISOR as usize) < limit.per_second as usize
    }

    /// Records a slot that is granted for a request, unless the server might reject too many then.
    ///
    /// `used` is the number of requests that the server has already. Returns whether the slot may be granted;
    /// always true if the server is not brittle.
    pub fn grant(&mut self, now: Millis, engine: &EngineId, used: u32) -> bool {
        let Some(limit) = self.reported.get(engine) else {
            return true;
        };
        let has_room = self.has_room(now, engine);
        let recent = self.recent.entry(engine.clone()).or_default();
        recent.drop_old(now);
        let at_risk = recent.rejections.len() + recent.grants.len();
        let is_granted =
            has_room && recent.takes(now, used) && (at_risk == 0 || at_risk + 1 < limit.per_second as usize);
        if is_granted {
            recent.grants.push_back(now);
        }
        is_granted
    }
}
