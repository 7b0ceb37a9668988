//! The hosts that share quotas, rate limits and the retry budget, and those that follow the store.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;

use carawayseam_dispatch::group::{Group, SlotOwners};
use carawayseam_dispatch::store_tree::{FOLLOWERS_PER_ZONE, Registration, StoreSources};
use carawayseam_types::{HostId, Millis, ZoneId};

use super::ControlState;
use crate::settings::Settings;
use crate::shared::lock;

/// The rendezvous hashing key by which the store followers are chosen.
const STORE_FOLLOWERS_KEY: &str = "store";

impl ControlState {
    /// Returns whether the fleet is small enough for each host to send heartbeats to all others.
    pub(super) fn uses_full_mesh(&self) -> bool {
        let own_host = &self.shared.settings.host;
        let hosts = self.hosts.other_known_count(own_host) as usize + 1;
        hosts <= self.shared.settings.full_mesh_hosts
    }

    /// Recomputes the group of hosts that share quotas, rate limits and the retry budget, and applies it if it changed.
    pub(super) fn update_group(&mut self, now: Millis) {
        let own_host = &self.shared.settings.host;
        let known = self.hosts.other_known_count(own_host);
        let live = self.live_hosts(now).len() as u32;
        let has_serving_peer = self.peers.live(now).any(|(_, peer)| peer.serves_keys);
        let mut dispatch = lock(&self.shared.dispatch);
        dispatch.dispatcher.set_live_peers(live);
        let others_serve = has_serving_peer || dispatch.dispatcher.has_serving_peers(now);
        drop(dispatch);
        let mut reach = lock(&self.shared.reachability);
        reach.has_serving_peers = others_serve;
        reach.has_unresponsive_peers = live < self.hosts.other_listed_count(own_host);
        drop(reach);
        let group = Group {
            known: known.max(live) + 1,
            live: live + 1,
            reachable: self.group_hosts(now),
        };
        if group == self.group {
            return;
        }
        log::info!(known = group.known, heard = group.live, reachable = group.reachable.len(), full_mesh = self.uses_full_mesh(), local_health = self.members.local_health(); "peers counted");
        let mut dispatch = lock(&self.shared.dispatch);
        dispatch.quotas.set_group(now, group.clone());
        dispatch.server_limits.set_group(now, group.clone());
        dispatch.dispatcher.set_host_count(group.known);
        drop(dispatch);
        self.shared.peers.set_group(group.clone());
        self.group = group;
        self.choose_slot_owners(now);
        self.choose_store_sources();
    }

    /// Returns the listed hosts that can receive requests now, including this one.
    fn group_hosts(&self, now: Millis) -> Vec<HostId> {
        let mut hosts = self.reachable_hosts(now);
        hosts.insert(self.shared.settings.host.clone());
        hosts.into_iter().collect()
    }

    /// Chooses the owners of slots anew if hosts of earlier builds have appeared, or there are none any more.
    pub(super) fn update_slot_owners(&mut self, now: Millis) {
        let has_earlier_builds = self.gossip.earlier_builds.hosts(now).next().is_some();
        if has_earlier_builds != self.gossip.had_earlier_builds {
            self.update_members(now);
            self.choose_slot_owners(now);
        }
    }

    /// Chooses the hosts that own the slots of backend servers.
    ///
    /// Hosts of earlier builds choose among the hosts of all zones, and two hosts must not own the same slots.
    fn choose_slot_owners(&mut self, now: Millis) {
        let reachable = self.group.reachable.clone();
        let has_earlier_builds = self.gossip.earlier_builds.hosts(now).next().is_some();
        self.gossip.had_earlier_builds = has_earlier_builds;
        let owners = if self.uses_full_mesh() || has_earlier_builds {
            SlotOwners::of_any_zone(reachable)
        } else {
            SlotOwners::by_zone(reachable, &self.zones)
        };
        self.shared.peers.set_slot_owners(owners);
        self.gossip.are_owned_slots_outdated = true;
    }

    /// Chooses the hosts that this host polls for changes of the store, if it does not watch the store
    /// itself, and counts the store followers of all availability zones.
    fn choose_store_sources(&self) {
        let Settings {
            host: own_host, zone, ..
        } = &self.shared.settings;
        let is_in_zone = |host: &HostId| host == own_host || self.zones.get(host) == Some(zone);
        let ranked = self
            .group
            .select_hosts(STORE_FOLLOWERS_KEY, usize::MAX, is_in_zone);
        let sources = StoreSources::of(own_host, &ranked);
        log::debug!(sources:? = sources.hosts, tree = sources.is_tree; "sources of the store's changes chosen");
        self.shared.peers.set_store_sources(sources);
        let is_large_fleet = !self.uses_full_mesh();
        self.shared
            .is_large_fleet
            .store(is_large_fleet, Ordering::Relaxed);
        let terms = if self.uses_full_mesh() {
            Registration::SMALL_FLEET
        } else {
            Registration::LARGE_FLEET
        };
        self.shared
            .registration
            .send_if_modified(|registration| std::mem::replace(registration, terms) != terms);
        let mut hosts_per_zone: BTreeMap<&ZoneId, usize> = BTreeMap::from([(zone, 1)]);
        let others = self.hosts.others(own_host);
        for zone in others.filter_map(|(host, _)| self.zones.get(host)) {
            *hosts_per_zone.entry(zone).or_default() += 1;
        }
        let followers: usize = hosts_per_zone
            .values()
            .map(|hosts| (*hosts).min(FOLLOWERS_PER_ZONE))
            .sum();
        self.shared
            .store_followers
            .store(followers as u32, Ordering::Relaxed);
    }
}
