//! What the hosts said of themselves in their latest rounds.

use std::collections::BTreeMap;

use carawayseam_types::{BackendName, HostId, Incarnation, Millis, Tier};

use crate::load::WaitingCount;

/// Waiting requests count for this time after they were reported.
const WAITING_TTL: Millis = Millis(1_000);
/// A host is forgotten after this time without a round, and then any process of it is accepted.
const STATUS_TTL: Millis = Millis(2_500);

/// What a host says of itself in a round.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// The start of the host's process.
    pub incarnation: Incarnation,
    /// Increases with each round of one incarnation.
    pub seq: u64,
    /// Whether the host serves requests with keys.
    pub serves_keys: bool,
    /// Its waiting requests.
    pub waiting: Vec<WaitingCount>,
}

#[derive(Debug)]
struct Heard {
    at: Millis,
    status: Status,
}

/// The latest statuses of the hosts that were heard lately.
///
/// A host hears only a few others in a second, so these are a random sample of the fleet.
#[derive(Debug, Default)]
pub struct Statuses(BTreeMap<HostId, Heard>);

impl Statuses {
    /// Records a host's status; returns false if it is outdated.
    pub fn record(&mut self, now: Millis, host: &HostId, status: Status) -> bool {
        self.0.retain(|_, heard| now.since(heard.at) <= STATUS_TTL);
        let is_outdated = self.0.get(host).is_some_and(|known| {
            let known = &known.status;
            (status.incarnation, status.seq) <= (known.incarnation, known.seq)
        });
        if !is_outdated {
            self.0.insert(host.clone(), Heard { at: now, status });
        }
        !is_outdated
    }

    /// Returns whether a host that was heard lately serves requests with keys.
    #[must_use]
    pub fn has_serving_peers(&self, now: Millis) -> bool {
        let mut heard = self.0.values();
        heard.any(|heard| heard.status.serves_keys && now.since(heard.at) <= STATUS_TTL)
    }

    /// Returns how many requests are estimated to wait for a backend at all of `live` peers, by tier.
    ///
    /// The peers that were heard lately stand for all.
    #[must_use]
    pub fn waiting_for(&self, now: Millis, backend: &BackendName, live: u32) -> Vec<(Tier, u32)> {
        let is_recent = |heard: &&Heard| now.since(heard.at) <= WAITING_TTL;
        let recent = self.0.values().filter(is_recent);
        let heard = u64::try_from(recent.clone().count()).unwrap_or(u64::MAX);
        let mut sums: BTreeMap<Tier, u64> = BTreeMap::new();
        for waiting in recent.flat_map(|heard| &heard.status.waiting) {
            if waiting.backend == *backend {
                *sums.entry(waiting.tier).or_default() += u64::from(waiting.count);
            }
        }
        let scale = |sum: u64| {
            let scaled = sum.saturating_mul(u64::from(live).max(heard)) / heard.max(1);
            u32::try_from(scaled).unwrap_or(u32::MAX)
        };
        sums.into_iter().map(|(tier, sum)| (tier, scale(sum))).collect()
    }
}
