//! How the hosts of a fleet share the calls to the store.
//!
//! Two hosts of each availability zone watch the store. In a small zone all others poll these two. In a large one the
//! hosts form a tree in rendezvous order, so that the load of a host that is polled does not grow with the zone. Hosts
//! of a large fleet renew their registrations less often, since probes show whether a host is alive.

use carawayseam_types::{HostId, Millis};

/// The number of hosts of an availability zone that watch the store.
pub const FOLLOWERS_PER_ZONE: usize = 2;
/// The number of hosts that poll one host first.
const CHILDREN: usize = 8;
/// In a zone of up to this many hosts, all poll the hosts that watch the store.
const MAX_FLAT_ZONE: usize = FOLLOWERS_PER_ZONE + 2 * CHILDREN;

/// The interval between polls of a host that polls the hosts that watch the store.
const POLL_INTERVAL: Millis = Millis(300);
/// The interval between polls in a tree: a watch and the delay after it take 1.3 s, and with two intervals more a
/// confirmation is not older than the 1.8 s after which an unknown route is refused as not confirmed.
const TREE_POLL_INTERVAL: Millis = Millis(200);

/// Where a host learns of changes of the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoreSources {
    /// The hosts to poll, in order of preference; empty if the host watches the store itself.
    pub hosts: Vec<HostId>,
    /// Whether the hosts of the zone form a tree.
    pub is_tree: bool,
}

impl StoreSources {
    /// Returns the sources of `me` among the reachable hosts of its zone, the highest ranked first.
    #[must_use]
    pub fn of(me: &HostId, ranked: &[HostId]) -> Self {
        let is_tree = ranked.len() > MAX_FLAT_ZONE;
        let rank = ranked.iter().position(|host| host == me);
        let first = match rank {
            Some(rank) if rank < FOLLOWERS_PER_ZONE => ranked.len(),
            Some(rank) if is_tree => (rank - FOLLOWERS_PER_ZONE) / CHILDREN,
            _ => 0,
        };
        Self {
            hosts: ranked
                .iter()
                .skip(first)
                .take(FOLLOWERS_PER_ZONE)
                .cloned()
                .collect(),
            is_tree,
        }
    }

    /// Returns the interval between polls.
    #[must_use]
    pub const fn poll_interval(&self) -> Millis {
        if self.is_tree {
            TREE_POLL_INTERVAL
        } else {
            POLL_INTERVAL
        }
    }

    /// Returns whether the host polls others in a tree. If none of them responds it calls the store, but rarely, because
    /// all hosts of a large zone may have to.
    #[must_use]
    pub const fn polls_in_tree(&self) -> bool {
        self.is_tree && !self.hosts.is_empty()
    }
}

/// How a host keeps itself registered in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Registration {
    /// The registration ends if it is not renewed within this time.
    pub lease: Millis,
    /// The interval between renewals.
    pub renew_interval: Millis,
}

impl Registration {
    /// The registration in a fleet whose hosts all send heartbeats to each other.
    pub const SMALL_FLEET: Self = Self {
        lease: Millis(9_000),
        renew_interval: Millis(2_500),
    };
    /// The registration in a larger fleet.
    ///
    /// A host that is gone bounds quota shares until its lease has ended, the end has reached the other hosts (1.9 s in
    /// a tree of depth 3) and it has been unlisted for 5 s, together within 20 s.
    pub const LARGE_FLEET: Self = Self {
        lease: Millis(12_000),
        renew_interval: Millis(5_000),
    };
}
