//! How the time between events grows with the number of running requests, on all servers of a backend.

use super::{MAX_CONCURRENCY, index};

/// Weight of a sample that is slower than the curve. It is the lower weight because the curve follows the servers
/// that bear concurrency best; the others have a knee.
const SLOWER_WEIGHT: f64 = 0.01;
/// Weight of a sample that is faster than the curve.
const FASTER_WEIGHT: f64 = 0.1;
/// Largest logarithm of the growth that is learned, so that wrong samples have a bounded effect.
const MAX_GROWTH: f64 = 3.0;

/// The logarithm of the time between events by concurrency, relative to that of a single request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CommonCurve([f64; MAX_CONCURRENCY]);

impl Default for CommonCurve {
    fn default() -> Self {
        Self([0.0; MAX_CONCURRENCY])
    }
}

impl CommonCurve {
    /// Returns the growth at a concurrency.
    pub(crate) fn growth(&self, concurrency: u32) -> f64 {
        self.0[index(concurrency)]
    }

    /// Moves the curve towards a sample that exceeds what was expected by `residual`.
    pub(crate) fn record(&mut self, concurrency: u32, residual: f64) {
        if concurrency <= 1 {
            return;
        }
        let ix = index(concurrency);
        let weight = if residual > 0.0 {
            SLOWER_WEIGHT
        } else {
            FASTER_WEIGHT
        };
        let growth = residual.mul_add(weight, self.0[ix]);
        // More requests never speed a server up; neighbours follow, so that rare concurrencies are covered.
        self.0[ix] = growth.clamp(0.0, MAX_GROWTH);
        let growth = self.0[ix];
        for lower in &mut self.0[..ix] {
            *lower = lower.min(growth);
        }
        for higher in &mut self.0[ix..] {
            *higher = higher.max(growth);
        }
    }
}
