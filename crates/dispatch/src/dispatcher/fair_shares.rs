//! The shares of organisations, as configured and as used.

use carawayseam_types::Millis;

use super::Dispatcher;
use crate::fair_shares::{ShareDump, ShareWeights};

impl Dispatcher {
    /// Sets the weights of the organisations; past work of those that stay listed still counts.
    pub fn set_share_weights(&mut self, weights: ShareWeights) {
        for pool in self.pools.values_mut() {
            pool.recent_work.retain_listed(&weights);
        }
        self.share_weights = weights;
    }

    /// Returns the shares of the organisations in each backend, by backend and name.
    #[must_use]
    pub fn share_dump(&self, now: Millis) -> Vec<ShareDump> {
        let pools = self.pools.iter();
        let shares = pools.map(|(backend, pool)| pool.recent_work.dump(now, backend, &self.share_weights));
        let mut shares: Vec<ShareDump> = shares.flatten().collect();
        shares.sort_by(|a, b| a.backend.cmp(&b.backend));
        shares
    }
}
