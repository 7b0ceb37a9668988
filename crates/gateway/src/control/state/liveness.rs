//! Which other hosts are live: by their heartbeats in a small fleet, and by probes in a large one.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use carawayseam_types::{HostId, Millis};
use carawayseam_wire::{Body, Datagram, PeerMessage};

use super::ControlState;
use crate::control::members::ListedHost;

impl ControlState {
    /// Handles a datagram of the membership protocol.
    pub(super) fn apply_membership(&mut self, now: Millis, from: SocketAddr, datagram: Datagram) {
        if !self.hosts.contains(&datagram.from.host) {
            self.shared.metrics.count("membership", "unknown-host");
            return;
        }
        // Hosts of a small fleet answer probes and send none, so an answer does not tell a host of a large one.
        if matches!(datagram.body, Body::Probe { .. } | Body::IndirectProbe { .. }) {
            self.gossip.earlier_builds.record_gossip(now, &datagram.from.host);
        }
        let responses = self.members.receive(now, from, datagram);
        self.send_membership(responses);
    }

    /// Sends the probes that are due, in a large fleet.
    pub(super) fn probe_members(&mut self, now: Millis) {
        if self.uses_full_mesh() {
            return;
        }
        let probes = self.members.tick(now);
        self.send_membership(probes);
    }

    /// Makes the listed hosts members, except for those of earlier builds.
    pub(super) fn update_members(&mut self, now: Millis) {
        let earlier: BTreeSet<&HostId> = self.gossip.earlier_builds.hosts(now).collect();
        let others = self.hosts.others(&self.shared.settings.host);
        let members = others.filter(|(host, _)| !earlier.contains(host));
        let listed = members.filter_map(|(host, address)| {
            Some(ListedHost {
                host: host.clone(),
                zone: self.zones.get(host)?.clone(),
                address,
                incarnation: *self.incarnations.get(host)?,
            })
        });
        let listed: Vec<ListedHost> = listed.collect();
        self.members.set_listed(now, listed.into_iter());
    }

    /// Returns the other hosts that are live.
    pub(super) fn live_hosts(&self, now: Millis) -> BTreeSet<HostId> {
        let by_heartbeat = self.peers.live(now).map(|(host, _)| host.clone());
        if self.uses_full_mesh() {
            return by_heartbeat.collect();
        }
        let mut live = self.members.live();
        live.extend(by_heartbeat);
        live
    }

    /// Returns the other listed hosts that can receive requests now.
    pub(super) fn reachable_hosts(&self, now: Millis) -> BTreeSet<HostId> {
        let by_heartbeat = self.peers.iter().filter(|(_, peer)| peer.is_reachable(now));
        let mut reachable: BTreeSet<HostId> = by_heartbeat.map(|(host, _)| host.clone()).collect();
        if !self.uses_full_mesh() {
            reachable.extend(self.members.alive());
        }
        reachable.retain(|host| self.hosts.contains(host));
        reachable
    }

    fn send_membership(&self, messages: Vec<(SocketAddr, PeerMessage)>) {
        for (address, message) in messages {
            self.shared.peers.send_to_address(address, &message);
        }
    }
}
