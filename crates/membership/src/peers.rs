//! The peers of one process and their states.

use std::collections::BTreeMap;

use carawayseam_types::{HostId, Millis};
use carawayseam_wire::{Item, Peer, PeerRole, PeerState};

use crate::limits::{DEAD_TTL, LEAVING_TTL};

/// Identifies a process across its restarts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PeerId {
    pub(crate) host: HostId,
    pub(crate) role: PeerRole,
}

impl PeerId {
    pub(crate) fn of(peer: &Peer) -> Self {
        Self {
            host: peer.host.clone(),
            role: peer.role,
        }
    }

    pub(crate) fn publisher(item: &Item) -> Self {
        Self {
            host: item.key.host.clone(),
            role: item.key.role,
        }
    }
}

/// The result of merging an update about a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Merge {
    /// The update is not newer than the known state.
    Stale,
    /// The peer was not known before.
    Joined,
    /// The state of a known peer changed.
    Changed,
    /// The update was about this process and wrong; this process took a higher incarnation.
    Refuted,
}

#[derive(Debug)]
struct Member {
    peer: Peer,
    since: Millis,
}

/// This process and all known peers.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(crate) me: Peer,
    members: BTreeMap<PeerId, Member>,
    live: Vec<Peer>,
    live_changed: bool,
}

impl Peers {
    pub(crate) const fn new(me: Peer) -> Self {
        Self {
            me,
            members: BTreeMap::new(),
            live: Vec::new(),
            live_changed: true,
        }
    }

    /// Merges an update about a peer; the higher incarnation wins, then the worse state.
    pub(crate) fn merge(&mut self, now: Millis, peer: &Peer) -> Merge {
        let id = PeerId::of(peer);
        if id == PeerId::of(&self.me) {
            return self.refute(peer);
        }
        match self.members.get_mut(&id) {
            // A late update about a dead peer must not restore a peer that was removed.
            None if peer.state == PeerState::Dead => Merge::Stale,
            None => {
                let peer = peer.clone();
                self.members.insert(id, Member { peer, since: now });
                self.live_changed = true;
                Merge::Joined
            }
            Some(known) if precedence(peer) <= precedence(&known.peer) => Merge::Stale,
            Some(known) => {
                let is_unchanged =
                    is_live(&known.peer) == is_live(peer) && known.peer.address == peer.address;
                self.live_changed |= !is_unchanged;
                known.peer = peer.clone();
                known.since = now;
                Merge::Changed
            }
        }
    }

    /// Raises the incarnation of this process if an update about it takes precedence over its own state.
    fn refute(&mut self, peer: &Peer) -> Merge {
        if precedence(peer) <= precedence(&self.me) {
            return Merge::Stale;
        }
        self.me.incarnation = peer.incarnation.next();
        Merge::Refuted
    }

    /// Worsens a peer's state at its current incarnation, and returns the peer if that changed it.
    pub(crate) fn worsen(&mut self, now: Millis, id: &PeerId, state: PeerState) -> Option<Peer> {
        let mut peer = self.get(id)?.clone();
        peer.state = state;
        (self.merge(now, &peer) == Merge::Changed).then_some(peer)
    }

    /// Declares suspect and leaving peers dead after their time-outs, and returns them.
    ///
    /// `suspicion_timeout` is multiplied by the number of decimal digits of the number of live peers.
    pub(crate) fn expire(&mut self, now: Millis, suspicion_timeout: Millis) -> Vec<Peer> {
        let suspicion = suspicion_timeout.times(u64::from(decimal_digits(self.live.len())));
        let is_expired = |member: &&Member| match member.peer.state {
            PeerState::Suspect => now.since(member.since) >= suspicion,
            PeerState::Leaving => now.since(member.since) >= LEAVING_TTL,
            PeerState::Alive | PeerState::Dead => false,
        };
        let ids: Vec<PeerId> = self
            .members
            .values()
            .filter(is_expired)
            .map(|member| PeerId::of(&member.peer))
            .collect();
        ids.iter()
            .filter_map(|id| self.worsen(now, id, PeerState::Dead))
            .collect()
    }

    /// Restarts the time after which suspect peers are declared dead.
    pub(crate) fn restart_suspicions(&mut self, now: Millis) {
        let suspects = self.members.values_mut();
        for suspect in suspects.filter(|member| member.peer.state == PeerState::Suspect) {
            suspect.since = now;
        }
    }

    /// Removes the peers that are not kept.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&Peer) -> bool) {
        let before = self.members.len();
        self.members.retain(|_, member| is_kept(&member.peer));
        self.live_changed |= self.members.len() < before;
    }

    /// Removes peers that have been dead for [`DEAD_TTL`], except listed ones, and returns their ids.
    pub(crate) fn forget(&mut self, now: Millis, is_listed: impl Fn(&HostId) -> bool) -> Vec<PeerId> {
        let is_forgettable = |member: &&Member| {
            member.peer.state == PeerState::Dead
                && now.since(member.since) >= DEAD_TTL
                && !is_listed(&member.peer.host)
        };
        let ids: Vec<PeerId> = self
            .members
            .values()
            .filter(is_forgettable)
            .map(|member| PeerId::of(&member.peer))
            .collect();
        for id in &ids {
            self.members.remove(id);
        }
        ids
    }

    /// Rebuilds the list of live peers if it changed, and returns whether it did.
    pub(crate) fn refresh_live(&mut self) -> bool {
        if !self.live_changed {
            return false;
        }
        self.live_changed = false;
        self.live.clear();
        let live = self.members.values().filter(|member| is_live(&member.peer));
        self.live.extend(live.map(|member| member.peer.clone()));
        true
    }

    /// Returns the live peers other than this process, as of the last refresh.
    pub(crate) fn live(&self) -> &[Peer] {
        &self.live
    }

    pub(crate) fn get(&self, id: &PeerId) -> Option<&Peer> {
        self.members.get(id).map(|member| &member.peer)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &Peer> {
        self.members.values().map(|member| &member.peer)
    }

    /// Returns the peer after `cursor` in the order of ids, wrapping around at the end.
    pub(crate) fn next_after(&self, cursor: Option<&PeerId>) -> Option<&Peer> {
        use std::ops::Bound::{Excluded, Unbounded};
        let rest = cursor.and_then(|id| self.members.range((Excluded(id), Unbounded)).next());
        rest.or_else(|| self.members.iter().next())
            .map(|(_, member)| &member.peer)
    }
}

/// Returns the key by which updates about one peer replace each other.
const fn precedence(peer: &Peer) -> (u64, PeerState) {
    (peer.incarnation.0, peer.state)
}

/// Returns whether a peer counts as live: alive or only suspected.
pub(crate) const fn is_live(peer: &Peer) -> bool {
    matches!(peer.state, PeerState::Alive | PeerState::Suspect)
}

/// Returns the number of decimal digits of `count`.
const fn decimal_digits(count: usize) -> u32 {
    match count.checked_ilog10() {
        Some(log) => log + 1,
        None => 1,
    }
}
