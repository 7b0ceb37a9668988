//! Whether this host reaches a backend server directly, through a peer, or not at all.

use std::collections::BTreeMap;

use carawayseam_types::{BackendName, EngineKey, HostId, Millis, ZoneId};
use rand::RngExt;
use rand::rngs::StdRng;

use crate::group;
use crate::rotation::Rotation;

/// How long a peer's confirmation that it reaches a server is valid.
const RELAY_LIFETIME: Millis = Millis::from_secs(1);
/// Interval between connection attempts to a lost server.
pub(crate) const PROBE_INTERVAL: Millis = Millis(350);
/// Interval between two rounds in which peers are asked.
const QUERY_INTERVAL: Millis = Millis(350);
/// Maximum number of servers in one query, which has to fit one datagram of 1,400 bytes.
const MAX_QUERY_ENGINES: usize = 240;
/// Number of rounds in which peers are asked about a server that none of them confirms.
const EAGER_ROUNDS: u64 = 8;
/// After these, peers are asked in one of so many rounds.
const LATER_ROUND_STRIDE: u64 = 8;
/// Number of peers asked in one round.
const PEERS_PER_ROUND: usize = 4;
/// Number of relays to a backend from which on none is asked again before its turn, so that requests are
/// spread over peers.
const ENOUGH_RELAYS: usize = 2;
/// Time from the begin of a round after which the confirmations of the next round have arrived.
const NEXT_ROUND_SPAN: Millis = Millis(450);
/// Number of peers asked in one round while no peer is known to reach any server of a lost backend.
const PEERS_PER_URGENT_ROUND: usize = 20;

/// A peer that confirmed lately that it reaches a server directly.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Relay {
    pub(crate) host: HostId,
    pub(crate) zone: ZoneId,
    /// Time until which the confirmation is valid.
    pub(crate) until: Millis,
}

/// How one server is reached from this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Reach {
    /// This host connects to the server.
    Direct,
    /// This host cannot connect to the server.
    Lost {
        /// Time of the next connection attempt.
        probe_at: Millis,
        /// Whether a connection attempt was begun.
        is_probed: bool,
        /// Whether a connection attempt failed, so that the server is not just slow to respond.
        is_confirmed: bool,
        /// Number of rounds since a peer was known to reach the server.
        unanswered: u64,
        relays: Vec<Relay>,
    },
}

impl Reach {
    pub(crate) const fn is_direct(&self) -> bool {
        matches!(self, Self::Direct)
    }

    /// Returns whether requests can be sent to the server, directly or through a peer.
    pub(crate) fn is_usable(&self, now: Millis) -> bool {
        self.is_direct() || self.live_relays(now).next().is_some()
    }

    /// Returns whether peers are asked about the server in this round.
    ///
    /// Nobody reaches a server that has crashed, so a server that peers do not confirm is asked about less
    /// often.
    pub(crate) fn take_question(&mut self, now: Millis) -> bool {
        let has_relay = self.live_relays(now).next().is_some();
        match self {
            Self::Lost {
                is_confirmed: true,
                unanswered,
                ..
            } => {
                *unanswered = if has_relay { 0 } else { *unanswered + 1 };
                *unanswered <= EAGER_ROUNDS || unanswered.is_multiple_of(LATER_ROUND_STRIDE)
            }
            _ => false,
        }
    }

    /// Returns whether peers are asked about the server.
    pub(crate) const fn needs_relays(&self) -> bool {
        matches!(
            self,
            Self::Lost {
                is_confirmed: true,
                ..
            }
        )
    }

    pub(crate) fn live_relays(&self, now: Millis) -> impl Iterator<Item = &Relay> + Clone {
        let relays: &[Relay] = match self {
            Self::Direct => &[],
            Self::Lost { relays, .. } => relays,
        };
        relays.iter().filter(move |relay| now < relay.until)
    }

    /// Records that the server does not respond, or that connecting to it failed (`is_confirmed`).
    pub(crate) fn lose(&mut self, now: Millis, is_confirmed: bool) {
        match self {
            Self::Direct => {
                *self = Self::Lost {
                    probe_at: now,
                    is_probed: false,
                    is_confirmed,
                    unanswered: 0,
                    relays: Vec::new(),
                };
            }
            Self::Lost {
                is_confirmed: known, ..
            } => *known |= is_confirmed,
        }
    }

    /// Returns when the next connection attempt is due.
    pub(crate) const fn probe_at(&self) -> Option<Millis> {
        match self {
            Self::Direct => None,
            Self::Lost { probe_at, .. } => Some(*probe_at),
        }
    }

    /// Sets the time of the next connection attempt.
    pub(crate) const fn schedule_probe(&mut self, at: Millis) {
        if let Self::Lost { probe_at, .. } = self {
            *probe_at = at;
        }
    }

    /// Returns whether a connection attempt is due, and schedules the next one if so.
    pub(crate) fn take_probe(&mut self, now: Millis) -> bool {
        match self {
            Self::Lost {
                probe_at,
                is_probed,
                is_confirmed,
                ..
            } if now >= *probe_at => {
                *probe_at = now + PROBE_INTERVAL;
                // The connection attempt before this one failed.
                *is_confirmed |= *is_probed;
                *is_probed = true;
                true
            }
            _ => false,
        }
    }

    /// Records the confirmation of a peer; returns whether it is of use.
    pub(crate) fn confirm_relay(&mut self, now: Millis, host: &HostId, zone: &ZoneId) -> bool {
        let Self::Lost { relays, .. } = self else {
            return false;
        };
        relays.retain(|relay| now < relay.until && relay.host != *host);
        relays.push(Relay {
            host: host.clone(),
            zone: zone.clone(),
            until: now + RELAY_LIFETIME,
        });
        true
    }

    /// Forgets a peer until it confirms again.
    pub(crate) fn drop_relay(&mut self, host: &HostId) {
        if let Self::Lost { relays, .. } = self {
            relays.retain(|relay| relay.host != *host);
        }
    }

    /// Returns the peer through which the next request is sent, or `None` if it is sent directly.
    ///
    /// A peer in the zone of this host or of the server carries no more bytes between zones than a
    /// direct connection would.
    pub(crate) fn choose_relay(
        &self,
        now: Millis,
        own: &ZoneId,
        server: &ZoneId,
        rng: &mut StdRng,
    ) -> Option<HostId> {
        let class = |relay: &Relay| (relay.zone != *own, relay.zone != *server && relay.zone != *own);
        let best = self.live_relays(now).map(class).min()?;
        let tied = self.live_relays(now).filter(|relay| class(relay) == best);
        let pick = rng.random_range(0..tied.clone().count());
        tied.skip(pick).map(|relay| relay.host.clone()).next()
    }
}

/// How the reach of a backend changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum ReachKind {
    /// No server is reached, neither directly nor through a peer.
    #[display("lost")]
    Lost,
    /// Servers are reached through peers only.
    #[display("relayed")]
    Relayed,
    /// A server is reached directly again.
    #[display("regained")]
    Regained,
}

/// A change in how this host reaches the servers of a backend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReachChange {
    /// Backend whose servers were lost or regained.
    pub backend: BackendName,
    /// How they are reached now.
    pub kind: ReachKind,
    /// Number of servers that are lost, reached through peers or reached directly again.
    pub servers: usize,
}

/// A question to peers: which of these servers do they reach directly?
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReachQuery {
    /// Servers to ask about.
    pub engines: Vec<EngineKey>,
    /// Number of this round.
    pub round: u64,
    /// Relays to ask again, because few others stay confirmed until the next round; the first to expire first.
    pub relays: Vec<HostId>,
    /// Whether a backend was lost lately and no peer is known to reach any of its servers.
    pub is_urgent: bool,
}

impl ReachQuery {
    /// Returns the peers to ask.
    ///
    /// They are taken in turn, half of them from the host's own zone, in an order that differs between hosts.
    /// Up to half of them are relays to be asked again.
    #[must_use]
    pub fn select_peers(&self, host: &HostId, zone: &ZoneId, peers: &[(HostId, ZoneId)]) -> Vec<HostId> {
        let limit = if self.is_urgent {
            PEERS_PER_URGENT_ROUND
        } else {
            PEERS_PER_ROUND
        };
        let is_listed = |relay: &&HostId| peers.iter().any(|(peer, _)| peer == *relay);
        let known = self.relays.iter().filter(is_listed).take(limit / 2);
        let mut selected: Vec<HostId> = known.cloned().collect();
        let others = peers.iter().filter(|(peer, _)| peer != host);
        let (near, far): (Vec<_>, Vec<_>) = others.partition(|(_, peer_zone)| peer_zone == zone);
        let [near, far] = [near, far].map(|peers| {
            let hosts = peers.into_iter().map(|(peer, _)| peer);
            group::order_for(host, hosts.collect())
        });
        let free = limit - selected.len();
        let near_count = near.len().min((free / 2).max(free.saturating_sub(far.len())));
        let far_count = far.len().min(free - near_count);
        let in_turn = take_turn(&near, self.round, near_count).chain(take_turn(&far, self.round, far_count));
        for peer in in_turn {
            if !selected.contains(peer) {
                selected.push(peer.clone());
            }
        }
        selected
    }
}

/// Returns the hosts whose turn it is in a round in which `count` of them are taken.
fn take_turn<'a>(hosts: &[&'a HostId], round: u64, count: usize) -> impl Iterator<Item = &'a HostId> {
    let start = (round as usize).wrapping_mul(count) % hosts.len().max(1);
    hosts.iter().cycle().skip(start).take(count).copied()
}

/// Returns the relays to ask again, of all those to one backend, each with the time of its expiry.
pub(crate) fn relays_to_refresh<'a>(
    now: Millis,
    relays: &BTreeMap<&'a HostId, Millis>,
) -> Vec<(Millis, &'a HostId)> {
    let expiring = relays.iter().filter(|(_, until)| **until < now + NEXT_ROUND_SPAN);
    let expiring: Vec<_> = expiring.map(|(host, until)| (*until, *host)).collect();
    if relays.len() - expiring.len() < ENOUGH_RELAYS {
        expiring
    } else {
        Vec::new()
    }
}

/// The rounds in which peers are asked which servers they reach.
#[derive(Debug, Default)]
pub(crate) struct ReachRounds {
    next_at: Millis,
    number: u64,
    rotation: Rotation,
}

impl ReachRounds {
    pub(crate) fn is_due(&self, now: Millis) -> bool {
        now >= self.next_at
    }

    pub(crate) fn begin(&mut self, now: Millis) {
        self.next_at = now + QUERY_INTERVAL;
        self.number += 1;
    }

    /// Returns this round's query for up to `MAX_QUERY_ENGINES` of the servers.
    pub(crate) fn query(&mut self, lost: &[EngineKey], relays: Vec<HostId>, is_urgent: bool) -> ReachQuery {
        ReachQuery {
            engines: self.rotation.take(lost, MAX_QUERY_ENGINES),
            round: self.number,
            relays,
            is_urgent,
        }
    }
}
