//! The hosts that are reachable from each other, and which of them owns a shared resource.

use std::collections::BTreeMap;

use carawayseam_types::{Digest, HostId, ZoneId};

/// The hosts as this host knows them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// Number of hosts that may admit requests, including this one.
    pub known: u32,
    /// Number of hosts from which a message was received lately, including this one.
    pub live: u32,
    /// Hosts that requests can be sent to now, including this one.
    pub reachable: Vec<HostId>,
}

impl Group {
    /// Returns a group that consists of `host` only.
    #[must_use]
    pub fn alone(host: HostId) -> Self {
        Self {
            known: 1,
            live: 1,
            reachable: vec![host],
        }
    }

    /// Returns the host that owns the shared resource `name`, by rendezvous hashing.
    ///
    /// The owner is the reachable host with the highest hash of host name and resource name.
    #[must_use]
    pub fn owner(&self, name: &str) -> Option<&HostId> {
        let name = Digest::of(name.as_bytes());
        self.reachable.iter().max_by_key(|host| weight(host, name))
    }

    /// Returns up to `count` near hosts that perform the task `name` for the others, the highest
    /// ranked first.
    #[must_use]
    pub fn select_hosts(&self, name: &str, count: usize, is_near: impl Fn(&HostId) -> bool) -> Vec<HostId> {
        let name = Digest::of(name.as_bytes());
        let mut near: Vec<&HostId> = self.reachable.iter().filter(|host| is_near(host)).collect();
        near.sort_by_key(|host| std::cmp::Reverse(weight(host, name)));
        near.into_iter().take(count).cloned().collect()
    }

    /// Returns the owner of `name`, or `None` if that is `me`.
    #[must_use]
    pub fn owner_other_than(&self, me: &HostId, name: &str) -> Option<&HostId> {
        self.owner(name).filter(|host| *host != me)
    }

    /// Returns the number of all hosts, including partitioned ones; at least 1.
    #[must_use]
    pub fn all(&self) -> u32 {
        self.known.max(self.live).max(1)
    }
}

/// The hosts that own the slots of backend servers.
///
/// In a large fleet the owner of a server's slots is a host of the server's availability zone, so that a claim does not
/// leave the zone, and a zone that is partitioned from the others keeps the owners of its servers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotOwners {
    all: Vec<HostId>,
    by_zone: BTreeMap<ZoneId, Vec<HostId>>,
}

impl SlotOwners {
    /// Returns the owners among `reachable` hosts, whatever their zones.
    #[must_use]
    pub const fn of_any_zone(reachable: Vec<HostId>) -> Self {
        Self {
            all: reachable,
            by_zone: BTreeMap::new(),
        }
    }

    /// Returns the owners among `reachable` hosts, each for the servers of its zone.
    #[must_use]
    pub fn by_zone(reachable: Vec<HostId>, zones: &BTreeMap<HostId, ZoneId>) -> Self {
        let mut by_zone: BTreeMap<ZoneId, Vec<HostId>> = BTreeMap::new();
        for host in &reachable {
            if let Some(zone) = zones.get(host) {
                by_zone.entry(zone.clone()).or_default().push(host.clone());
            }
        }
        Self {
            all: reachable,
            by_zone,
        }
    }

    /// Returns whether the owners take claims that name a tier; those of small fleets and earlier builds do not.
    #[must_use]
    pub fn takes_claims(&self) -> bool {
        !self.by_zone.is_empty()
    }

    /// Returns the owner of the slots of a server, by rendezvous hashing.
    ///
    /// A zone without a reachable host has its servers' slots owned by the hosts of all zones.
    #[must_use]
    pub fn owner(&self, engine: &str, zone: Option<&ZoneId>) -> Option<&HostId> {
        let hosts = zone.and_then(|zone| self.by_zone.get(zone)).unwrap_or(&self.all);
        let name = Digest::of(engine.as_bytes());
        hosts.iter().max_by_key(|host| weight(host, name))
    }
}

/// Returns the peers of a host in an order that differs between hosts.
pub(crate) fn order_for<'a>(host: &HostId, mut peers: Vec<&'a HostId>) -> Vec<&'a HostId> {
    let name = Digest::of(host.as_str().as_bytes());
    peers.sort_by_cached_key(|peer| weight(peer, name));
    peers
}

/// Returns the rank of a host for a name: it differs between names and is the same at all hosts.
fn weight(host: &HostId, name: Digest) -> Digest {
    let host = Digest::of(host.as_str().as_bytes());
    Digest::of(&(host.0 ^ name.0).to_le_bytes())
}
