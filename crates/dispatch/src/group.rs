//! Hosts that hear each other, and which of them keeps what they share.

use carawayseam_types::{Digest, HostId};

/// The hosts that this one counts on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// All hosts that may admit requests, this one among them.
    pub known: u32,
    /// Those heard lately, this one among them.
    pub live: u32,
    /// Those that can be asked now, this one among them.
    pub reachable: Vec<HostId>,
}

impl Group {
    /// A host alone.
    #[must_use]
    pub fn alone(host: HostId) -> Self {
        Self {
            known: 1,
            live: 1,
            reachable: vec![host],
        }
    }

    /// The host that keeps what all share under a name, by the highest hash of both names.
    #[must_use]
    pub fn owner(&self, name: &str) -> Option<&HostId> {
        let name = Digest::of(name.as_bytes());
        self.reachable.iter().max_by_key(|host| weight(host, name))
    }

    /// Those hosts among the ones nearby that do for the others what is named, the first one first.
    #[must_use]
    pub fn select_hosts(&self, name: &str, count: usize, is_near: impl Fn(&HostId) -> bool) -> Vec<HostId> {
        let name = Digest::of(name.as_bytes());
        let mut near: Vec<&HostId> = self.reachable.iter().filter(|host| is_near(host)).collect();
        near.sort_by_key(|host| std::cmp::Reverse(weight(host, name)));
        near.into_iter().take(count).cloned().collect()
    }

    /// The keeper, unless it is the host that asks.
    #[must_use]
    pub fn owner_other_than(&self, me: &HostId, name: &str) -> Option<&HostId> {
        self.owner(name).filter(|host| *host != me)
    }

    /// All hosts, those that are cut off among them.
    #[must_use]
    pub fn all(&self) -> u32 {
        self.known.max(self.live).max(1)
    }
}

/// Orders hosts differently for each name, and alike at all hosts.
fn weight(host: &HostId, name: Digest) -> Digest {
    let host = Digest::of(host.as_str().as_bytes());
    Digest::of(&(host.0 ^ name.0).to_le_bytes())
}
