//! Which server a waiting request takes, and whether it takes one beyond what the server handles well.

use carawayseam_types::{Millis, Tier};
use rand::RngExt;
use rand::rngs::StdRng;

use super::Place;

/// Time before the latest start of a request at which it no longer waits for a server that handles one more well.
/// Waiting requests are looked at every 50 ms or more often.
const START_MARGIN: Millis = Millis(100);

/// A server with a free slot that may run a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Offer {
    /// The server's index.
    pub(crate) server: usize,
    /// The expected completion and penalties; lower is better.
    pub(crate) score: f64,
    pub(crate) is_within_soft_capacity: bool,
    /// Whether the request finishes in time there and delays no others, or no server offers that.
    pub(crate) suits: bool,
    /// Whether the server has to be measured.
    pub(crate) wants_probe: bool,
}

/// The choice for one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Chosen {
    pub(crate) server: usize,
    pub(crate) is_probe: bool,
}

/// The requests that count as waiting before the one considered: earlier ones of this host, and all of peers.
#[derive(Debug)]
pub(crate) struct Queue {
    pub(crate) peers_waiting: u32,
    /// The number of requests that all servers together handle well.
    pub(crate) soft_capacity: u32,
    pub(crate) ahead: u32,
    /// The highest tier of which a request waits for a server that handles one more well.
    pub(crate) waiting_tier: Option<Tier>,
}

impl Queue {
    /// Returns whether a request may take a server beyond its soft capacity: it would otherwise not start in time,
    /// and no request of a higher tier waits.
    pub(crate) fn may_exceed(&self, now: Millis, tier: Tier, latest_start: Millis, typical_ms: f64) -> bool {
        let waits_above = self.waiting_tier.is_some_and(|waiting| waiting.outranks(tier));
        let ahead = f64::from(self.ahead.saturating_add(self.peers_waiting));
        let wait_ms = ahead * typical_ms / f64::from(self.soft_capacity.max(1));
        !waits_above && now + START_MARGIN + Millis(wait_ms as u64) >= latest_start
    }

    /// Counts a request that keeps waiting, for a server's soft capacity if any server has a slot for it.
    pub(crate) const fn pass(&mut self, tier: Tier, has_slot: bool) {
        self.ahead = self.ahead.saturating_add(1);
        if has_slot && self.waiting_tier.is_none() {
            self.waiting_tier = Some(tier);
        }
    }
}

/// Chooses at random among the best servers, or a slow one that has to be measured.
pub(crate) fn choose(
    offers: &[Offer],
    may_exceed: bool,
    may_probe: bool,
    typical_ms: f64,
    rng: &mut StdRng,
) -> Option<Chosen> {
    let probed: Vec<&Offer> = offers.iter().filter(|offer| offer.wants_probe).collect();
    if may_probe && !probed.is_empty() {
        let server = probed[rng.random_range(0..probed.len())].server;
        return Some(Chosen {
            server,
            is_probe: true,
        });
    }
    let is_open = |offer: &&Offer| offer.suits && (may_exceed || offer.is_within_soft_capacity);
    let open = || offers.iter().filter(is_open);
    let best = open().map(|offer| offer.score).min_by(f64::total_cmp)?;
    let limit = best + Place::tolerance_ms(typical_ms);
    let near: Vec<&Offer> = open()
        .filter(|offer| offer.score.total_cmp(&limit).is_le())
        .collect();
    if near.is_empty() {
        return None;
    }
    let server = near[rng.random_range(0..near.len())].server;
    Some(Chosen {
        server,
        is_probe: false,
    })
}
