//! The hosts that are reachable from each other, and which of them owns a shared resource.

use carawayseam_types::{Digest, HostId};

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
