//! Heartbeats and other announcements between hosts.

use std::net::SocketAddr;

use carawayseam_dispatch::draining_servers::DrainingServer;
use carawayseam_dispatch::load::HostLoad;
use carawayseam_dispatch::peers::HeartbeatOrigin;
use carawayseam_dispatch::rollouts::{Evidence, ResponseCounts, RolloutUpdate};
use carawayseam_types::{Digest, HostId, Millis};
use carawayseam_wire::{Heartbeat, PeerMessage, RolloutCounts};

use super::ControlState;
use crate::control::loads::{decode_server_load, decode_waiting, encode_server_load, encode_waiting};
use crate::control::{
    configuration, poison_contents, poison_parts, rollout_pace, rollout_routes, server_limits,
};
use crate::shared::lock;

/// How long older reports are repeated after a peer becomes live or starts anew.
const NEW_PEER_REPORT_TIME: Millis = Millis(2_000);

/// Limit of the hosts in one message to hosts that are not heard, so that it fits a datagram.
const MAX_UNHEARD_HOSTS: usize = 24;

/// A message to several hosts.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) message: PeerMessage,
    pub(crate) addresses: Vec<SocketAddr>,
}

impl ControlState {
    pub(super) fn apply_heartbeat(&mut self, now: Millis, heartbeat: Heartbeat) {
        if heartbeat.host == self.shared.settings.host {
            return;
        }
        let Heartbeat {
            host,
            incarnation,
            seq,
            serves_keys,
            ..
        } = &heartbeat;
        match self
            .peers
            .record_heartbeat(now, host, *incarnation, *seq, *serves_keys)
        {
            HeartbeatOrigin::Outdated => return,
            HeartbeatOrigin::Known => {}
            HeartbeatOrigin::New => {
                log::info!(peer:% = host, incarnation:% = incarnation; "peer is live");
                self.new_peer_until = now + NEW_PEER_REPORT_TIME;
                self.update_group(now);
            }
        }
        // Hosts of earlier builds change the owners of slots, so a host that is not listed must not count as one.
        if self.hosts.contains(host) {
            self.gossip.earlier_builds.record_heartbeat(now, host);
        }
        if let Some(version) = heartbeat.configuration {
            self.record_peer_configuration(now, &heartbeat.host, version);
        }
        for (content, crashes) in &heartbeat.crashes {
            lock(&self.shared.poison).record_peer_crashes(now, &heartbeat.host, Digest(*content), *crashes);
        }
        for counts in &heartbeat.rollouts {
            lock(&self.shared.rollouts).record_peer_update(
                now,
                &heartbeat.host,
                &decode_rollout_counts(counts),
            );
        }
        let load = HostLoad {
            engines: heartbeat.engines.iter().map(decode_server_load).collect(),
            waiting: heartbeat.waiting.iter().map(decode_waiting).collect(),
        };
        let mut dispatch = lock(&self.shared.dispatch);
        for (engine, started) in heartbeat.draining_servers {
            let server = DrainingServer { engine, started };
            if dispatch.dispatcher.mark_draining(now, server.clone(), false) {
                log::info!(engine:% = server.engine, peer:% = heartbeat.host; "a peer reported that a backend server drains");
            }
        }
        let actions = dispatch.dispatcher.record_peer_load(now, &heartbeat.host, load);
        dispatch.apply(now, actions);
    }

    /// Returns what this host announces to the others: to all in a small fleet, and in a large one to a few, and to hosts
    /// of earlier builds.
    pub(super) fn own_announcements(&mut self, now: Millis, seq: u64) -> Vec<Outgoing> {
        if self.uses_full_mesh() {
            let others = self.hosts.others(&self.shared.settings.host);
            let addresses: Vec<SocketAddr> = others.map(|(_, address)| address).collect();
            if !addresses.is_empty() {
                self.gossip.used_full_mesh_at = Some(now);
            }
            return self.heartbeats(now, seq, &addresses);
        }
        let peers = &self.shared.peers;
        let earlier = self.gossip.earlier_builds.hosts(now);
        let earlier: Vec<SocketAddr> = earlier.filter_map(|host| peers.address(host)).collect();
        let mut messages = self.heartbeats(now, seq, &earlier);
        messages.extend(self.own_round(now, seq));
        messages
    }

    /// Returns a heartbeat, and the messages that do not fit its datagram, to the hosts at some addresses.
    fn heartbeats(&self, now: Millis, seq: u64, addresses: &[SocketAddr]) -> Vec<Outgoing> {
        if addresses.is_empty() {
            return Vec::new();
        }
        let has_new_peer = now < self.new_peer_until;
        let heartbeat = PeerMessage::Heartbeat(self.own_heartbeat(now, seq, has_new_peer));
        let details = self.details(now, has_new_peer);
        let messages = std::iter::once(heartbeat).chain(details);
        messages
            .map(|message| Outgoing {
                message,
                addresses: addresses.to_vec(),
            })
            .collect()
    }

    fn details(&self, now: Millis, has_new_peer: bool) -> impl Iterator<Item = PeerMessage> {
        [
            server_limits::announcement(&self.shared, now, has_new_peer),
            server_limits::brittle_announcement(&self.shared, now, has_new_peer),
            rollout_pace::announcement(&self.shared),
            poison_parts::announcement(&self.shared, now, has_new_peer),
            poison_contents::announcement(&self.shared, now, has_new_peer),
        ]
        .into_iter()
        .flatten()
        .chain(rollout_routes::announcements(
            &self.shared,
            now,
            &self.peers,
            has_new_peer,
        ))
        .chain(self.unheard_announcements(now))
    }

    /// Returns the messages to the known hosts that this host does not hear.
    fn unheard_announcements(&self, now: Millis) -> Vec<PeerMessage> {
        let unheard = self.peers.unheard(now);
        let known: Vec<HostId> = unheard
            .filter(|host| self.hosts.contains(host))
            .cloned()
            .collect();
        let messages = known
            .chunks(MAX_UNHEARD_HOSTS)
            .map(|unheard| PeerMessage::UnheardHosts {
                host: self.shared.settings.host.clone(),
                unheard: unheard.to_vec(),
            });
        messages.collect()
    }

    fn own_heartbeat(&self, now: Millis, seq: u64, has_new_peer: bool) -> Heartbeat {
        let dispatch = lock(&self.shared.dispatch);
        let load = dispatch.dispatcher.own_load();
        let draining = dispatch.dispatcher.draining_servers(now, has_new_peer);
        drop(dispatch);
        Heartbeat {
            host: self.shared.settings.host.clone(),
            incarnation: self.incarnation,
            seq,
            serves_keys: self.shared.may_use_keys(),
            engines: load.engines.into_iter().map(encode_server_load).collect(),
            waiting: load.waiting.into_iter().map(encode_waiting).collect(),
            crashes: lock(&self.shared.poison)
                .gossip_updates(now)
                .into_iter()
                .map(|(content, crashes)| (content.0, crashes))
                .collect(),
            rollouts: lock(&self.shared.rollouts)
                .gossip_updates(now)
                .into_iter()
                .map(encode_rollout_counts)
                .collect(),
            configuration: configuration::announced(&self.shared),
            draining_servers: draining
                .into_iter()
                .map(|server| (server.engine, server.started))
                .collect(),
        }
    }
}

fn decode_rollout_counts(counts: &RolloutCounts) -> RolloutUpdate {
    let response_counts = |all, bad| ResponseCounts { all, bad };
    RolloutUpdate {
        backend: counts.backend.clone(),
        revision: counts.revision,
        elapsed: counts.elapsed,
        evidence: Evidence {
            new: response_counts(counts.new_all, counts.new_bad),
            old: response_counts(counts.old_all, counts.old_bad),
        },
    }
}

fn encode_rollout_counts(update: RolloutUpdate) -> RolloutCounts {
    let Evidence { new, old } = update.evidence;
    RolloutCounts {
        backend: update.backend,
        revision: update.revision,
        elapsed: update.elapsed,
        new_all: new.all,
        new_bad: new.bad,
        old_all: old.all,
        old_bad: old.bad,
    }
}
