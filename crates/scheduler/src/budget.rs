//! The retry budget: repeats are a bounded share of first attempts.

use carawayseam_types::{Permille, Tier};

/// A token bucket that first attempts fill and repeats empty.
///
/// Its depth lets the requests of a lost part of the fleet start again once;
/// after that, repeats stay a share of the traffic, so they cannot amplify it.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    level: f64,
    depth: f64,
    share: f64,
}

/// The least depth, so that a small fleet survives one engine's loss.
const MIN_DEPTH: f64 = 32.0;
/// The part of the bucket that only the highest tier may use.
const RESERVE: f64 = 0.25;

impl RetryBudget {
    pub(crate) const fn new() -> Self {
        Self {
            level: MIN_DEPTH,
            depth: MIN_DEPTH,
            share: 0.1,
        }
    }

    /// Takes the share from the document, and the depth from half the fleet's concurrency.
    pub(crate) fn configure(&mut self, share: Permille, concurrency: u32) {
        self.share = share.as_fraction();
        let depth = (f64::from(concurrency) / 2.0).max(MIN_DEPTH);
        self.level += (depth - self.depth).max(0.0);
        self.depth = depth;
        self.level = self.level.min(depth);
    }

    pub(crate) fn on_first_attempt(&mut self) {
        self.level = (self.level + self.share).min(self.depth);
    }

    /// Takes one repeat, if the tier may have it.
    pub(crate) fn take(&mut self, tier: Tier) -> bool {
        let floor = if tier == Tier::HIGHEST {
            0.0
        } else {
            self.depth * RESERVE
        };
        let granted = self.level - 1.0 >= floor;
        if granted {
            self.level -= 1.0;
        }
        granted
    }

    pub(crate) const fn level(&self) -> f64 {
        self.level
    }
}
