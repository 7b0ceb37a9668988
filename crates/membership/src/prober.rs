//! Probes in flight, and the selection of the next peer to probe.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use carawayseam_types::{Millis, ZoneId};
use carawayseam_wire::{Body, Peer};
use rand::seq::SliceRandom;
use rand::{Rng, RngExt};

use crate::Timing;
use crate::limits::{MAX_LOCAL_HEALTH, OTHER_ZONE_PROBE_INTERVAL};
use crate::peers::{PeerId, Peers};

/// A probe in flight.
#[derive(Debug)]
struct Probe {
    target: PeerId,
    sent_at: Millis,
    sent_indirectly: bool,
}

/// A probe in flight on behalf of another process.
#[derive(Debug)]
struct Relay {
    requester: SocketAddr,
    seq: u64,
    sent_at: Millis,
}

/// An action that is due.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Due {
    /// Probe this peer.
    Probe { seq: u64, target: Peer },
    /// Ask other peers to probe this peer.
    ProbeIndirectly { seq: u64, target: Peer },
    /// The peer did not answer in time.
    TimedOut(PeerId),
}

/// Probes one peer each period; every peer of a zone group is probed once before any is probed again.
///
/// A process whose own link or processor is busy misses acks of sound peers. Its time-outs grow with its local health
/// count, so that it does not declare these dead.
#[derive(Debug)]
pub(crate) struct Prober {
    timing: Timing,
    local_health: u32,
    seq: u64,
    rounds: u64,
    next_at: Millis,
    own_zone: Vec<PeerId>,
    other_zones: Vec<PeerId>,
    probes: BTreeMap<u64, Probe>,
    relays: BTreeMap<u64, Relay>,
}

impl Prober {
    pub(crate) fn new(timing: Timing) -> Self {
        Self {
            timing,
            local_health: 0,
            seq: 0,
            rounds: 0,
            next_at: Millis::ZERO,
            own_zone: Vec::new(),
            other_zones: Vec::new(),
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
        }
    }

    /// Returns whether probes are unanswered so far.
    pub(crate) fn has_probes(&self) -> bool {
        !self.probes.is_empty()
    }

    /// Returns a time-out, multiplied by the local health count plus one.
    pub(crate) fn scaled(&self, timeout: Millis) -> Millis {
        timeout.times(u64::from(self.local_health) + 1)
    }

    /// Records that this process may be the slow one: a probe was not answered, or peers suspected it.
    pub(crate) fn increment_local_health_score(&mut self) {
        self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
    }

    /// Returns the local health count; 0 is healthy.
    pub(crate) const fn local_health(&self) -> u32 {
        self.local_health
    }

    /// Appends the actions that are due at `now`; a new probe waits while `may_probe` is false.
    pub(crate) fn tick(
        &mut self,
        now: Millis,
        peers: &Peers,
        may_probe: bool,
        rng: &mut impl Rng,
        due: &mut Vec<Due>,
    ) {
        self.check_timeouts(now, peers, due);
        if now < self.next_at || !may_probe {
            return;
        }
        self.next_at = now + self.timing.probe_period;
        if let Some(target) = self.next_target(peers, rng) {
            let seq = self.next_seq();
            let id = PeerId::of(&target);
            self.probes.insert(
                seq,
                Probe {
                    target: id,
                    sent_at: now,
                    sent_indirectly: false,
                },
            );
            due.push(Due::Probe { seq, target });
        }
    }

    /// Returns a new sequence number, unique until the process restarts.
    pub(crate) const fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    fn check_timeouts(&mut self, now: Millis, peers: &Peers, due: &mut Vec<Due>) {
        let probe_timeout = self.scaled(self.timing.probe_timeout);
        let direct_timeout = self.scaled(self.timing.direct_timeout);
        let is_expired = |at: Millis| now.since(at) >= probe_timeout;
        self.relays.retain(|_, relay| !is_expired(relay.sent_at));
        self.probes.retain(|_, probe| {
            let timed_out = is_expired(probe.sent_at);
            if timed_out {
                due.push(Due::TimedOut(probe.target.clone()));
            }
            !timed_out
        });
        for (seq, probe) in &mut self.probes {
            let is_unanswered = !probe.sent_indirectly && now.since(probe.sent_at) >= direct_timeout;
            let target = peers.get(&probe.target).filter(|_| is_unanswered);
            if let Some(target) = target.cloned() {
                probe.sent_indirectly = true;
                due.push(Due::ProbeIndirectly { seq: *seq, target });
            }
        }
    }

    /// Ends the probe `seq` if `peer` is its target.
    pub(crate) fn record_ack(&mut self, seq: u64, peer: &PeerId) {
        let is_expected = self.probes.get(&seq).is_some_and(|probe| probe.target == *peer);
        if is_expected {
            self.probes.remove(&seq);
            self.local_health = self.local_health.saturating_sub(1);
        }
    }

    /// Registers a probe for another process and returns its own sequence number.
    pub(crate) fn relay(&mut self, now: Millis, requester: SocketAddr, requester_seq: u64) -> u64 {
        let seq = self.next_seq();
        self.relays.insert(
            seq,
            Relay {
                requester,
                seq: requester_seq,
                sent_at: now,
            },
        );
        seq
    }

    /// Removes a relayed probe, and returns the address and ack to be sent to its requester.
    pub(crate) fn take_relayed_ack(&mut self, seq: u64) -> Option<(SocketAddr, Body)> {
        let relay = self.relays.remove(&seq)?;
        Some((relay.requester, Body::Ack { seq: relay.seq }))
    }

    fn next_target(&mut self, peers: &Peers, rng: &mut impl Rng) -> Option<Peer> {
        self.rounds += 1;
        let is_other_zone_round = self.rounds.is_multiple_of(OTHER_ZONE_PROBE_INTERVAL);
        self.pick_from_zone(is_other_zone_round, peers, rng)
            .or_else(|| self.pick_from_zone(!is_other_zone_round, peers, rng))
    }

    fn pick_from_zone(&mut self, other_zone: bool, peers: &Peers, rng: &mut impl Rng) -> Option<Peer> {
        let list = if other_zone {
            &mut self.other_zones
        } else {
            &mut self.own_zone
        };
        let zone = &peers.me.zone;
        let find_live = |id: &PeerId| peers.get(id).filter(|peer| crate::peers::is_live(peer)).cloned();
        while let Some(id) = list.pop() {
            if let Some(peer) = find_live(&id) {
                return Some(peer);
            }
        }
        let candidates = peers
            .live()
            .iter()
            .filter(|peer| (peer.zone != *zone) == other_zone);
        list.extend(candidates.map(PeerId::of));
        list.shuffle(rng);
        // Zones take turns, so that the loss of a whole zone is seen soon.
        let mut counts: BTreeMap<&ZoneId, usize> = BTreeMap::new();
        list.sort_by_cached_key(|id| {
            let count = peers.get(id).map(|peer| counts.entry(&peer.zone).or_default());
            count.map_or(0, |count| {
                *count += 1;
                *count
            })
        });
        list.pop().and_then(|id| find_live(&id))
    }
}

/// Returns up to `count` of `items`, chosen at random without repetition.
pub(crate) fn sample<T: Clone>(items: &[T], count: usize, rng: &mut impl Rng) -> Vec<T> {
    let mut indices: Vec<usize> = Vec::with_capacity(count);
    let sample_size = count.min(items.len());
    while indices.len() < sample_size {
        let index = rng.random_range(0..items.len());
        if !indices.contains(&index) {
            indices.push(index);
        }
    }
    indices.into_iter().map(|index| items[index].clone()).collect()
}
