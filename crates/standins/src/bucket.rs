//! A token bucket that limits calls a second.

use carawayseam_types::Millis;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Lets through `rate` calls a second, with at most a second's worth, or one call, at once.
#[derive(Debug)]
pub(crate) struct Bucket {
    rate: f64,
    left: f64,
    filled_at: Millis,
}

impl Bucket {
    pub(crate) fn new(rate: f64, now: Millis) -> Self {
        Self {
            rate,
            left: rate.max(1.0),
            filled_at: now,
        }
    }

    /// Takes one call out; false when none is left.
    pub(crate) fn take(&mut self, now: Millis) -> bool {
        let passed = now.since(self.filled_at).0 as f64 / MILLIS_PER_SECOND;
        self.filled_at = self.filled_at.max(now);
        self.left = (self.left + passed * self.rate).min(self.rate.max(1.0));
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
