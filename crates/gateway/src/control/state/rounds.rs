//! What this host sends in a gossip round.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use carawayseam_dispatch::gossip::{EarlierBuilds, Rounds, Target};
use carawayseam_types::{EngineKey, HostId, Millis, ZoneId};
use carawayseam_wire::{EngineLoad, GossipRound, HeldSlots, PeerMessage};
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

use super::ControlState;
use super::announcements::Outgoing;
use crate::control::{capacity, configuration, gossip, loads};
use crate::shared::lock;

/// How often a host confirms the slots that it holds to their owners.
const HELD_SLOTS_INTERVAL: Millis = Millis(500);
/// How often a host asks a peer for reports that it may have missed.
const REPORTS_REQUEST_INTERVAL: Millis = Millis::from_secs(2);

/// For how long after a host sent heartbeats to all its rounds also go to hosts that still send heartbeats.
///
/// When a fleet outgrows the full mesh, all its hosts look to each other like earlier builds until they hear a round; a
/// round of one of two hosts is enough. 30 s of rounds reach each host of a fleet of this size.
const FULL_MESH_TRANSITION: Millis = Millis::from_secs(30);

/// The state of this host's gossip rounds.
#[derive(Debug)]
pub(super) struct GossipState {
    rng: StdRng,
    rounds: Rounds,
    pub(super) earlier_builds: EarlierBuilds,
    /// Whether there were hosts of earlier builds when the owners of slots were chosen.
    pub(super) had_earlier_builds: bool,
    /// Whether owners or servers have changed since this host determined the servers whose slots it owns.
    pub(super) are_owned_slots_outdated: bool,
    /// When this host last sent heartbeats to all.
    pub(super) used_full_mesh_at: Option<Millis>,
    held_confirmed_at: Millis,
    reports_requested_at: Option<Millis>,
    /// The position in the list of reports at which the next round starts.
    next_report: usize,
    /// The position of the slot owner at which the next confirmations start.
    next_owner: usize,
}

impl GossipState {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            rounds: Rounds::default(),
            earlier_builds: EarlierBuilds::default(),
            had_earlier_builds: false,
            are_owned_slots_outdated: true,
            used_full_mesh_at: None,
            held_confirmed_at: Millis::ZERO,
            reports_requested_at: None,
            next_report: 0,
            next_owner: 0,
        }
    }
}

impl ControlState {
    /// Applies a peer's gossip round.
    pub(super) fn apply_gossip_round(&mut self, now: Millis, round: &GossipRound) {
        if round.host == self.shared.settings.host || !self.hosts.contains(&round.host) {
            self.shared.metrics.count("gossip", "unknown-host");
            return;
        }
        self.gossip.earlier_builds.record_gossip(now, &round.host);
        if !gossip::apply_round(&self.shared, now, round) {
            return;
        }
        if let Some(version) = round.configuration {
            self.record_peer_configuration(now, &round.host, version);
        }
    }

    /// Returns the messages of this host's next round.
    pub(super) fn own_round(&mut self, now: Millis, seq: u64) -> Vec<Outgoing> {
        self.update_slot_owners(now);
        self.update_owned_slots();
        let peers = self.reachable_peers(now);
        let targets = self
            .gossip
            .rounds
            .next(&self.shared.settings.zone, &peers, &mut self.gossip.rng);
        let mut messages = self.status_messages(now, seq, &targets);
        let samples_at = self.gossip.held_confirmed_at;
        messages.extend(self.held_slots(now, seq));
        if self.gossip.held_confirmed_at != samples_at {
            messages.extend(self.server_samples(now, seq));
        }
        messages.extend(self.reports_request(now, &peers));
        messages.extend(self.report_messages(now, &targets));
        messages
    }

    /// Returns the hosts that cannot read the messages of rounds.
    fn hosts_without_rounds(&self, now: Millis) -> BTreeSet<&HostId> {
        let full_mesh_at = self.gossip.used_full_mesh_at;
        if full_mesh_at.is_some_and(|at| now.since(at) <= FULL_MESH_TRANSITION) {
            return BTreeSet::new();
        }
        self.gossip.earlier_builds.hosts(now).collect()
    }

    /// Returns the reachable peers with their zones, without hosts of earlier builds.
    fn reachable_peers(&self, now: Millis) -> Vec<Target> {
        let own_host = &self.shared.settings.host;
        let earlier = self.hosts_without_rounds(now);
        let reachable = self.group.reachable.iter();
        let reachable = reachable.filter(|host| *host != own_host && !earlier.contains(host));
        let targets = reachable.map(|host| Target {
            host: host.clone(),
            zone: self.zones.get(host).cloned(),
        });
        targets.collect()
    }

    /// Determines the servers whose slots this host owns, if that may have changed.
    ///
    /// Ranking all hosts of a zone for each server is too much work for every round.
    fn update_owned_slots(&mut self) {
        let dispatch = &self.shared.dispatch;
        if !std::mem::take(&mut self.gossip.are_owned_slots_outdated) {
            lock(dispatch).dispatcher.forget_measurements_of_owned();
            return;
        }
        let peers = &self.shared.peers;
        let is_owned = |engine: &carawayseam_types::EngineId, zone: &ZoneId| {
            peers.slot_owner(engine.as_str(), Some(zone)).is_none()
        };
        lock(dispatch).dispatcher.set_owned_slots(is_owned);
    }

    /// Returns the round's own message, one for each zone of its targets.
    fn status_messages(&self, now: Millis, seq: u64, targets: &[Target]) -> Vec<Outgoing> {
        let own_zone = &self.shared.settings.zone;
        let mut by_zone: BTreeMap<&ZoneId, Vec<SocketAddr>> = BTreeMap::new();
        for target in targets {
            if let Some(address) = self.shared.peers.address(&target.host) {
                let zone = target.zone.as_ref().unwrap_or(own_zone);
                by_zone.entry(zone).or_default().push(address);
            }
        }
        let messages = by_zone.into_iter().filter_map(|(zone, addresses)| {
            let message = PeerMessage::GossipRound(self.gossip_round(now, seq, zone));
            self.within_budget(now, message, addresses)
        });
        messages.collect()
    }

    fn gossip_round(&self, now: Millis, seq: u64, zone: &ZoneId) -> GossipRound {
        let settings = &self.shared.settings;
        let mut dispatch = lock(&self.shared.dispatch);
        let dispatcher = &mut dispatch.dispatcher;
        let waiting = dispatcher.own_load().waiting;
        let draining = dispatcher.forwarded_draining_servers(now, gossip::MAX_DRAINING);
        let loads = dispatcher.measurements_for(now, &settings.host, zone, gossip::MAX_LOADS);
        drop(dispatch);
        let waiting = waiting.into_iter().take(gossip::MAX_WAITING);
        let mut round = GossipRound {
            host: settings.host.clone(),
            incarnation: self.incarnation,
            seq,
            serves_keys: self.shared.may_use_keys(),
            configuration: configuration::announced(&self.shared),
            waiting: waiting.map(loads::encode_waiting).collect(),
            draining_servers: draining
                .into_iter()
                .map(|server| (server.engine, server.started))
                .collect(),
            loads: loads.iter().map(gossip::encode_load).collect(),
        };
        round.limit_to_datagram();
        round
    }

    /// Returns the confirmations of the slots that this host holds, if they are due.
    fn held_slots(&mut self, now: Millis, seq: u64) -> Vec<Outgoing> {
        if now.since(self.gossip.held_confirmed_at) < HELD_SLOTS_INTERVAL {
            return Vec::new();
        }
        self.gossip.held_confirmed_at = now;
        let peers = &self.shared.peers;
        // The loads include all requests that were sent to owners before.
        let as_of_request = peers.last_request_id();
        let held = lock(&self.shared.dispatch).dispatcher.held_loads();
        let mut by_owner: BTreeMap<HostId, Vec<EngineLoad>> = BTreeMap::new();
        for held in held {
            if let Some(owner) = peers.slot_owner(held.engine.as_str(), Some(&held.zone)) {
                let load = loads::encode_server_load((EngineKey::from(&held.engine), held.load));
                by_owner.entry(owner).or_default().push(load);
            }
        }
        // Hosts of earlier builds learn this host's loads from heartbeats.
        let earlier = self.hosts_without_rounds(now);
        by_owner.retain(|owner, _| !earlier.contains(owner));
        let mut due: Vec<(SocketAddr, Vec<EngineLoad>)> = by_owner
            .into_iter()
            .filter_map(|(owner, engines)| Some((peers.address(&owner)?, engines)))
            .collect();
        let count = due.len().max(1);
        let first = self.gossip.next_owner % count;
        due.rotate_left(first);
        let mut messages = Vec::new();
        for (address, engines) in due {
            let message = PeerMessage::HeldSlots(HeldSlots {
                host: self.shared.settings.host.clone(),
                incarnation: self.incarnation,
                seq,
                as_of_request,
                engines,
            });
            let Some(message) = self.within_budget(now, message, vec![address]) else {
                break;
            };
            messages.push(message);
        }
        // Owners that the budget does not cover come first the next time, so that no owner's slots stay unconfirmed.
        self.gossip.next_owner = (first + messages.len()) % count;
        messages
    }

    /// Returns this host's samples of the paces of servers to their owners, which are due with the held slots.
    fn server_samples(&self, now: Millis, seq: u64) -> Vec<Outgoing> {
        let samples = capacity::samples(&self.shared, self.incarnation, seq).into_iter();
        let messages = samples.filter_map(|(owner, message)| {
            let address = self.shared.peers.address(&owner)?;
            self.within_budget(now, message, vec![address])
        });
        messages.collect()
    }

    /// Returns a request to a random peer for reports that this host may have missed, if it is due.
    fn reports_request(&mut self, now: Millis, peers: &[Target]) -> Option<Outgoing> {
        let last = self.gossip.reports_requested_at;
        if last.is_some_and(|at| now.since(at) < REPORTS_REQUEST_INTERVAL) {
            return None;
        }
        let peer = peers.choose(&mut self.gossip.rng)?;
        let address = self.shared.peers.address(&peer.host)?;
        self.gossip.reports_requested_at = Some(now);
        let host = self.shared.settings.host.clone();
        self.within_budget(now, PeerMessage::ReportsRequest { host }, vec![address])
    }

    /// Returns the reports of this round; those that the budget does not cover come first in the next one.
    fn report_messages(&mut self, now: Millis, targets: &[Target]) -> Vec<Outgoing> {
        let peers = &self.shared.peers;
        let addresses = targets.iter().filter_map(|target| peers.address(&target.host));
        let addresses: Vec<SocketAddr> = addresses.collect();
        let mut reports = gossip::reports(&self.shared, now, false);
        let count = reports.len();
        if count == 0 || addresses.is_empty() {
            return Vec::new();
        }
        reports.rotate_left(self.gossip.next_report % count);
        let mut messages = Vec::new();
        for report in reports {
            match self.within_budget(now, report, addresses.clone()) {
                Some(message) => messages.push(message),
                None => break,
            }
        }
        self.gossip.next_report = (self.gossip.next_report + messages.len()) % count;
        messages
    }

    fn within_budget(
        &self,
        now: Millis,
        message: PeerMessage,
        addresses: Vec<SocketAddr>,
    ) -> Option<Outgoing> {
        let is_covered = gossip::spend(&self.shared, now, addresses.len(), &message);
        is_covered.then_some(Outgoing { message, addresses })
    }
}
