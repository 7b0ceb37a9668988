//! Hosts of builds that do not take part in gossip rounds.
//!
//! Such a host sends heartbeats to all, and takes a host for lost from which it receives none. It is told from hosts
//! that take part by what it sends.

use std::collections::BTreeMap;

use carawayseam_types::{HostId, Millis};

/// A host sends heartbeats if its last one is at most this old.
const HEARTBEAT_TTL: Millis = Millis(1_000);
/// A host takes part in gossip if its last message of that kind is at most this old.
const GOSSIP_TTL: Millis = Millis::from_secs(5);

#[derive(Debug, Default)]
struct Heard {
    heartbeat_at: Option<Millis>,
    gossip_at: Option<Millis>,
}

/// When each host last sent a heartbeat, and a message that only newer builds send.
#[derive(Debug, Default)]
pub struct EarlierBuilds(BTreeMap<HostId, Heard>);

impl EarlierBuilds {
    /// Records a heartbeat.
    pub fn record_heartbeat(&mut self, now: Millis, host: &HostId) {
        self.0.entry(host.clone()).or_default().heartbeat_at = Some(now);
        self.evict(now);
    }

    /// Records a message that earlier builds do not send.
    pub fn record_gossip(&mut self, now: Millis, host: &HostId) {
        self.0.entry(host.clone()).or_default().gossip_at = Some(now);
        self.evict(now);
    }

    /// Iterates over the hosts that send heartbeats and take no part in gossip.
    pub fn hosts(&self, now: Millis) -> impl Iterator<Item = &HostId> {
        let is_within = move |at: Option<Millis>, ttl| at.is_some_and(|at| now.since(at) <= ttl);
        let earlier = self.0.iter().filter(move |(_, heard)| {
            is_within(heard.heartbeat_at, HEARTBEAT_TTL) && !is_within(heard.gossip_at, GOSSIP_TTL)
        });
        earlier.map(|(host, _)| host)
    }

    /// Forgets hosts that sent neither for a while.
    fn evict(&mut self, now: Millis) {
        self.0.retain(|_, heard| {
            let last = heard.heartbeat_at.max(heard.gossip_at);
            last.is_some_and(|at| now.since(at) <= GOSSIP_TTL)
        });
    }
}
