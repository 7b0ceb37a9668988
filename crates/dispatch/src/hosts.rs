//! The hosts that may admit requests: those that the store lists, and those whose entry it lost.
//!
//! An entry ends with its host's lease, which may end while the host serves on. So a host stays
//! known after its entry has gone, as long as it is heard and for a while longer.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use carawayseam_types::{HostId, Millis};

/// A host that is not heard stays known for so long after its entry has gone.
const KNOWN_AFTER: Millis = Millis::from_secs(5);

/// A host whose entry has gone.
#[derive(Debug, Clone, Copy)]
struct Unlisted {
    address: SocketAddr,
    since: Millis,
}

/// Hosts with their addresses.
#[derive(Debug, Default)]
pub struct Hosts {
    listed: BTreeMap<HostId, SocketAddr>,
    unlisted: BTreeMap<HostId, Unlisted>,
}

impl Hosts {
    /// Takes the whole list of the store.
    pub fn set(&mut self, now: Millis, hosts: impl IntoIterator<Item = (HostId, SocketAddr)>) {
        let before = std::mem::replace(&mut self.listed, hosts.into_iter().collect());
        for (host, address) in before {
            if !self.listed.contains_key(&host) {
                self.unlisted.insert(host, Unlisted { address, since: now });
            }
        }
        self.unlisted.retain(|host, _| !self.listed.contains_key(host));
    }

    /// Takes one entry of the store.
    pub fn insert(&mut self, host: HostId, address: SocketAddr) {
        self.unlisted.remove(&host);
        self.listed.insert(host, address);
    }

    /// Takes that an entry of the store has gone.
    pub fn remove(&mut self, now: Millis, host: &HostId) {
        if let Some(address) = self.listed.remove(host) {
            self.unlisted
                .insert(host.clone(), Unlisted { address, since: now });
        }
    }

    /// Forgets hosts that have no entry and are not heard; true if there were some.
    pub fn remove_expired(&mut self, now: Millis, is_live: impl Fn(&HostId) -> bool) -> bool {
        let before = self.unlisted.len();
        self.unlisted
            .retain(|host, unlisted| is_live(host) || now.since(unlisted.since) < KNOWN_AFTER);
        self.unlisted.len() < before
    }

    /// Hosts in the store's list, but for one.
    #[must_use]
    pub fn other_listed_count(&self, me: &HostId) -> u32 {
        self.listed.keys().filter(|host| *host != me).count() as u32
    }

    /// Hosts that are known, but for one.
    #[must_use]
    pub fn other_known_count(&self, me: &HostId) -> u32 {
        self.others(me).count() as u32
    }

    /// Whether a host is known.
    #[must_use]
    pub fn contains(&self, host: &HostId) -> bool {
        self.listed.contains_key(host) || self.unlisted.contains_key(host)
    }

    /// Known hosts with their addresses, but for one.
    pub fn others(&self, me: &HostId) -> impl Iterator<Item = (&HostId, SocketAddr)> {
        let listed = self.listed.iter().map(|(host, address)| (host, *address));
        let unlisted = self
            .unlisted
            .iter()
            .map(|(host, unlisted)| (host, unlisted.address));
        listed.chain(unlisted).filter(move |(host, _)| *host != me)
    }
}
