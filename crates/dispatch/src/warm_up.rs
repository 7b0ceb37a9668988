//! Backend servers that bear few requests for a while after they have started.
//!
//! A backend may state how many requests a second such a server bears, from all hosts together, and for how long. A
//! server's entry tells how much longer it warms up. The entry arrives after the server's start, so a server that
//! refused a connection counts as cold from its next connection on, until its entry says otherwise. Hosts that have
//! not observed the restart learn of it from those that have.

use std::collections::{BTreeMap, BTreeSet};

use carawayseam_types::{BackendName, EngineId, Millis, RequestRate};

use crate::engine::EngineEntry;
use crate::rotation::Rotation;

/// How long a restart is announced to peers.
const GOSSIP_PERIOD: Millis = Millis::from_secs(3);
/// Limit of servers announced in one update.
const MAX_GOSSIP_UPDATES: usize = 16;
/// How much later a peer's end of a warm-up has to be to replace the known one. Delivery delays make equal ends differ,
/// and hosts would announce them to each other without end.
const MIN_LATER: Millis = Millis::from_secs(1);

/// What the servers of a backend bear while they warm up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WarmUpLimit {
    /// How long a server warms up after its start.
    pub duration: Millis,
    /// The requests that a server bears meanwhile, of all hosts together.
    pub rate: RequestRate,
}

/// A server that may have restarted, as sent to peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerWarmUp {
    /// The server.
    pub engine: EngineId,
    /// The start in the entry that the announcing host knows, which is earlier than the restart.
    pub started: Option<u64>,
    /// How much longer the server warms up.
    pub remaining: Millis,
}

/// How a connection to a server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The server refused or reset it: its process may have ended, whatever host asks.
    Closed,
    /// The server did not answer; the cause may as well be this host's link, so no peer is told.
    Unanswered,
}

/// Until when a server is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// It does not accept connections, and warms up after it does.
    Down(Refusal),
    /// It is cold until this time.
    Until(Millis),
}

/// A server that warms up.
#[derive(Debug, Clone, Copy)]
struct Warming {
    phase: Phase,
    limit: WarmUpLimit,
    /// When this host learned of a restart that the server's entry does not show; `None` if it did not.
    restart_learned_at: Option<Millis>,
}

impl Warming {
    /// Returns whether the server is cold.
    fn is_cold(&self, now: Millis) -> bool {
        match self.phase {
            Phase::Down(_) => true,
            Phase::Until(until) => now < until,
        }
    }

    /// Returns how much longer the server is cold if it accepts connections now.
    fn remaining(&self, now: Millis) -> Millis {
        match self.phase {
            Phase::Down(_) => self.limit.duration,
            Phase::Until(until) => until.since(now),
        }
    }
}

/// What a server's entry last said.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Reported {
    backend: BackendName,
    started: Option<u64>,
    warms_up_for: Millis,
    received_at: Millis,
}

impl Reported {
    /// Returns whether an entry says what this one said.
    fn is_same(&self, entry: &EngineEntry) -> bool {
        self.backend == entry.backend
            && self.started == entry.started
            && self.warms_up_for == entry.warms_up_for
    }

    /// Returns whether an entry is of an earlier start and says that the server is warm, as an entry of a store that was
    /// restored from a copy may.
    fn supersedes(&self, entry: &EngineEntry) -> bool {
        self.started > entry.started && entry.warms_up_for == Millis::ZERO
    }

    /// Returns the warm-up that the entry tells of, if it is one.
    fn warming(&self, limit: Option<WarmUpLimit>) -> Option<Warming> {
        let limit = limit.filter(|_| self.warms_up_for > Millis::ZERO)?;
        Some(Warming {
            phase: Phase::Until(self.received_at + self.warms_up_for.min(limit.duration)),
            limit,
            restart_learned_at: None,
        })
    }
}

/// The servers that warm up.
#[derive(Debug, Default)]
pub struct WarmUps {
    limits: BTreeMap<BackendName, WarmUpLimit>,
    reported: BTreeMap<EngineId, Reported>,
    warming: BTreeMap<EngineId, Warming>,
    /// Servers whose entries ended their warm-up, until they are taken.
    ended: BTreeSet<EngineId>,
    announced: Rotation,
}

impl WarmUps {
    /// Replaces the limits of the backends. What is known of their servers stays known.
    pub fn set_limits(&mut self, limits: impl Iterator<Item = (BackendName, WarmUpLimit)>) {
        self.limits = limits.collect();
        for (engine, reported) in &self.reported {
            let limit = self.limits.get(&reported.backend).copied();
            match (self.warming.get_mut(engine), limit) {
                (Some(warming), Some(limit)) => warming.limit = limit,
                (Some(_), None) => {
                    self.warming.remove(engine);
                    self.ended.insert(engine.clone());
                }
                // The entry may have arrived before the limit.
                (None, limit) => {
                    if let Some(warming) = reported.warming(limit) {
                        self.warming.insert(engine.clone(), warming);
                    }
                }
            }
        }
    }

    /// Applies the entries of all servers.
    ///
    /// An entry that has not changed says nothing new: time passes, and the server may have crashed since.
    pub fn update(&mut self, now: Millis, entries: &[EngineEntry]) {
        let listed: BTreeSet<&EngineId> = entries.iter().map(|entry| &entry.id).collect();
        self.reported.retain(|engine, _| listed.contains(engine));
        self.warming.retain(|engine, _| listed.contains(engine));
        for entry in entries {
            let earlier = self.reported.get(&entry.id);
            if earlier.is_some_and(|earlier| earlier.is_same(entry) || earlier.supersedes(entry)) {
                continue;
            }
            let reported = Reported {
                backend: entry.backend.clone(),
                started: entry.started,
                warms_up_for: entry.warms_up_for,
                received_at: now,
            };
            let limit = self.limits.get(&entry.backend).copied();
            if let Some(warming) = reported.warming(limit) {
                self.warming.insert(entry.id.clone(), warming);
            } else if self.warming.remove(&entry.id).is_some() {
                self.ended.insert(entry.id.clone());
            }
            self.reported.insert(entry.id.clone(), reported);
        }
    }

    /// Records that a connection to a server failed: it may have crashed, and warms up after its next start.
    pub fn record_refusal(
        &mut self,
        now: Millis,
        engine: &EngineId,
        backend: &BackendName,
        refusal: Refusal,
    ) {
        let Some(limit) = self.limits.get(backend).copied() else {
            return;
        };
        let known = self.warming.get(engine).map(|warming| warming.phase);
        let is_known = match refusal {
            Refusal::Closed => known == Some(Phase::Down(Refusal::Closed)),
            Refusal::Unanswered => matches!(known, Some(Phase::Down(_))),
        };
        if !is_known {
            let down = Warming {
                phase: Phase::Down(refusal),
                limit,
                restart_learned_at: (refusal == Refusal::Closed).then_some(now),
            };
            self.warming.insert(engine.clone(), down);
        }
    }

    /// Records that a connection to a server succeeded; returns whether the server warms up from now on.
    pub fn record_connection(&mut self, now: Millis, engine: &EngineId) -> bool {
        let Some(warming) = self.warming.get_mut(engine) else {
            return false;
        };
        let Phase::Down(refusal) = warming.phase else {
            return false;
        };
        warming.phase = Phase::Until(now + warming.limit.duration);
        warming.restart_learned_at = (refusal == Refusal::Closed).then_some(now);
        true
    }

    /// Records that a peer observed a restart; returns whether the server is cold for longer than was known.
    ///
    /// The entry of a later start than the one that the peer knew decides by itself.
    pub fn record_peer_update(&mut self, now: Millis, update: &ServerWarmUp) -> bool {
        let Some(reported) = self.reported.get(&update.engine) else {
            return false;
        };
        let limit = self.limits.get(&reported.backend).copied();
        let Some(limit) = limit.filter(|_| reported.started <= update.started) else {
            return false;
        };
        let known = self.warming.get(&update.engine);
        let known = known.map_or(Millis::ZERO, |warming| warming.remaining(now));
        let remaining = update.remaining.min(limit.duration);
        let is_known = known > Millis::ZERO && remaining < known + MIN_LATER;
        if is_known || remaining == Millis::ZERO {
            return false;
        }
        let warming = Warming {
            phase: Phase::Until(now + remaining),
            limit,
            restart_learned_at: Some(now),
        };
        self.warming.insert(update.engine.clone(), warming);
        true
    }

    /// Returns the restarts to announce to peers: those learned of within [`GOSSIP_PERIOD`], of this host or a peer.
    pub fn gossip_updates(&mut self, now: Millis, has_new_peer: bool) -> Vec<ServerWarmUp> {
        let is_due = |warming: &Warming| {
            let learned_at = warming.restart_learned_at;
            let is_new = |at: Millis| has_new_peer || now.since(at) <= GOSSIP_PERIOD;
            warming.is_cold(now) && learned_at.is_some_and(is_new)
        };
        let due: Vec<ServerWarmUp> = self
            .warming
            .iter()
            .filter(|(_, warming)| is_due(warming))
            .filter_map(|(engine, warming)| {
                Some(ServerWarmUp {
                    engine: engine.clone(),
                    started: self.reported.get(engine)?.started,
                    remaining: warming.remaining(now),
                })
            })
            .collect();
        self.announced.take(&due, MAX_GOSSIP_UPDATES)
    }

    /// Returns the requests per second that a server bears from all hosts together, if it warms up.
    #[must_use]
    pub fn rate(&self, now: Millis, engine: &EngineId) -> Option<RequestRate> {
        let warming = self.warming.get(engine)?;
        warming.is_cold(now).then_some(warming.limit.rate)
    }

    /// Returns the requests per second that a server bears whenever it warms up, if it bears fewer then.
    #[must_use]
    pub fn rate_if_cold(&self, engine: &EngineId) -> Option<RequestRate> {
        let reported = self.reported.get(engine)?;
        Some(self.limits.get(&reported.backend)?.rate)
    }

    /// Removes the servers that have warmed up, and returns them.
    pub fn take_ended(&mut self, now: Millis) -> Vec<EngineId> {
        let ended = self.warming.iter().filter(|(_, warming)| !warming.is_cold(now));
        let ended: Vec<EngineId> = ended.map(|(engine, _)| engine.clone()).collect();
        for engine in &ended {
            self.warming.remove(engine);
        }
        self.ended.extend(ended);
        std::mem::take(&mut self.ended).into_iter().collect()
    }
}
