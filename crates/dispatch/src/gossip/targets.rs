//! The hosts that a round goes to.

use carawayseam_types::{HostId, Millis, ZoneId};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;

/// The interval between rounds.
pub const ROUND_INTERVAL: Millis = Millis(100);
/// Number of hosts of the own zone that a round goes to.
const OWN_ZONE_TARGETS: usize = 2;
/// One of this many rounds goes to a host of another zone too.
const OTHER_ZONE_STRIDE: u64 = 3;

/// A host that a round goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The host.
    pub host: HostId,
    /// Its availability zone, if known.
    pub zone: Option<ZoneId>,
}

/// Chooses the hosts of each round at random.
#[derive(Debug, Default)]
pub struct Rounds {
    number: u64,
}

impl Rounds {
    /// Returns the hosts of the next round, out of the reachable peers.
    pub fn next(&mut self, zone: &ZoneId, peers: &[Target], rng: &mut StdRng) -> Vec<Target> {
        self.number += 1;
        let (own, others): (Vec<&Target>, Vec<&Target>) =
            peers.iter().partition(|peer| peer.zone.as_ref() == Some(zone));
        let is_other_zone_round = self.number.is_multiple_of(OTHER_ZONE_STRIDE);
        let own_count = if own.is_empty() { 0 } else { OWN_ZONE_TARGETS };
        // A host without peers in its zone relies on those of other zones alone.
        let other_count = match own_count {
            0 => OWN_ZONE_TARGETS,
            _ => usize::from(is_other_zone_round),
        };
        let own = own.sample(rng, own_count).copied();
        let others = others.sample(rng, other_count).copied();
        own.chain(others).cloned().collect()
    }
}
