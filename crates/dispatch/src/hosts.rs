//! The hosts that may admit requests: those with an entry in the store, and those that had one.
//!
//! An entry is removed when its host's lease expires, which can happen while the host still
//! serves requests. A host therefore stays known without an entry while it is live, and for
//! `UNLISTED_TTL` after its entry was removed.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use carawayseam_types::{HostId, Millis};

/// How long a host that is not live stays known after its entry was removed.
const UNLISTED_TTL: Millis = Millis::from_secs(5);

/// A host whose entry was removed from the store.
#[derive(Debug, Clone, Copy)]
struct UnlistedHost {
    address: SocketAddr,
    since: Millis,
}

/// The known hosts with their addresses.
#[derive(Debug, Default)]
pub struct Hosts {
    listed: BTreeMap<HostId, SocketAddr>,
    unlisted: BTreeMap<HostId, UnlistedHost>,
}

impl Hosts {
    /// Replaces the listed hosts with the store's complete list.
    pub fn set(&mut self, now: Millis, hosts: impl IntoIterator<Item = (HostId, SocketAddr)>) {
        let before = std::mem::replace(&mut self.listed, hosts.into_iter().collect());
        for (host, address) in before {
            if !self.listed.contains_key(&host) {
                self.unlisted.insert(host, UnlistedHost { address, since: now });
            }
        }
        self.unlisted.retain(|host, _| !self.listed.contains_key(host));
    }

    /// Adds or updates one entry of the store.
    pub fn insert(&mut self, host: HostId, address: SocketAddr) {
        self.unlisted.remove(&host);
        self.listed.insert(host, address);
    }

    /// Records that an entry was removed from the store; the host stays known as unlisted.
    pub fn remove(&mut self, now: Millis, host: &HostId) {
        if let Some(address) = self.listed.remove(host) {
            self.unlisted
                .insert(host.clone(), UnlistedHost { address, since: now });
        }
    }

    /// Removes hosts that have had no entry for `UNLISTED_TTL` and are not live.
    ///
    /// Returns true if any were removed.
    pub fn remove_expired(&mut self, now: Millis, is_live: impl Fn(&HostId) -> bool) -> bool {
        let before = self.unlisted.len();
        self.unlisted
            .retain(|host, unlisted| is_live(host) || now.since(unlisted.since) < UNLISTED_TTL);
        self.unlisted.len() < before
    }

    /// Returns the number of hosts in the store's list other than `me`.
    #[must_use]
    pub fn other_listed_count(&self, me: &HostId) -> u32 {
        self.listed.keys().filter(|host| *host != me).count() as u32
    }

    /// Returns the number of known hosts other than `me`.
    #[must_use]
    pub fn other_known_count(&self, me: &HostId) -> u32 {
        self.others(me).count() as u32
    }

    /// Returns whether a host is known.
    #[must_use]
    pub fn contains(&self, host: &HostId) -> bool {
        self.listed.contains_key(host) || self.unlisted.contains_key(host)
    }

    /// Iterates over the known hosts other than `me`, with their addresses.
    pub fn others(&self, me: &HostId) -> impl Iterator<Item = (&HostId, SocketAddr)> {
        let listed = self.listed.iter().map(|(host, address)| (host, *address));
        let unlisted = self
            .unlisted
            .iter()
            .map(|(host, unlisted)| (host, unlisted.address));
        listed.chain(unlisted).filter(move |(host, _)| *host != me)
    }
}
