//! Hosts that hear each other, and which of them keeps what they share.

use carawayseam_types::{Digest, HostId};

/// The hosts that this one counts on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Group {
    /// All hosts that may admit requests, this one among them.
    pub known: u32,
    /// Those heard lately, this one among them.
    pub heard: u32,
    /// Those that can be asked now, this one among them.
    pub reachable: Vec<HostId>,
}

impl Group {
    /// A host alone.
    #[must_use]
    pub fn alone(host: HostId) -> Self {
        Self {
            known: 1,
            heard: 1,
            reachable: vec![host],
        }
    }

    /// The host that keeps what all share under a name, by the highest hash of both names.
    #[must_use]
    pub fn keeper(&self, name: &str) -> Option<&HostId> {
        let second = Digest::of(name.as_bytes());
        let weight = |host: &&HostId| {
            let first = Digest::of(host.as_str().as_bytes());
            Digest::of(&(first.0 ^ second.0).to_le_bytes())
        };
        self.reachable.iter().max_by_key(weight)
    }

    /// The keeper, unless it is the host that asks.
    #[must_use]
    pub fn keeper_beside(&self, me: &HostId, name: &str) -> Option<&HostId> {
        self.keeper(name).filter(|host| *host != me)
    }

    /// All hosts, those that are cut off among them.
    #[must_use]
    pub fn all(&self) -> u32 {
        self.known.max(self.heard).max(1)
    }
}
