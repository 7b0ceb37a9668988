//! What a lease is made of, and the holder's entry in the store.

use carawayseam_types::{EnvironmentId, HostId, Millis, Nonce};
use serde::{Deserialize, Serialize};

/// How long a lease lasts without renewal.
pub const DEFAULT_TTL: Millis = Millis(10_000);
/// The longest time an order may take from its permit to the engine.
pub const MAX_DELIVERY_TIME: Millis = Millis(5_000);
/// Parts of a lease after which it is renewed.
pub(crate) const RENEWALS_PER_TTL: u64 = 3;
/// The share of a lease that clocks may differ by, as one part in this many.
const DRIFT_PARTS: u64 = 20;
/// A call that was not answered for this long is lost.
pub(crate) const CALL_TIMEOUT: Millis = Millis(2_000);
/// How often a follower looks for a holder, at the least.
pub(crate) const LOOK_PERIOD: Millis = Millis(2_000);
/// The random part of that period, so that candidates do not run into each other.
pub(crate) const LOOK_JITTER: Millis = Millis(1_000);
/// A clock that goes back further than this cannot judge a lease.
pub(crate) const CLOCK_BACK_ALLOWED: Millis = Millis(20);

/// The lease of one environment, as one host competes for it.
#[derive(Debug, Clone)]
pub struct LeaseConfig {
    pub(crate) environment: EnvironmentId,
    pub(crate) host: HostId,
    pub(crate) ttl: Millis,
    pub(crate) seed: u64,
}

impl LeaseConfig {
    /// Names the environment and the host.
    ///
    /// The seed differs between hosts and lives, since nonces are drawn by it.
    #[must_use]
    pub const fn new(environment: EnvironmentId, host: HostId, seed: u64) -> Self {
        Self {
            environment,
            host,
            ttl: DEFAULT_TTL,
            seed,
        }
    }

    /// Sets how long the lease lasts without renewal.
    #[must_use]
    pub const fn ttl(mut self, ttl: Millis) -> Self {
        self.ttl = ttl;
        self
    }

    /// The key of the holder's entry.
    #[must_use]
    pub fn key(&self) -> String {
        holder_key(&self.environment)
    }

    /// The time for which a lease holds, judged by this host's own clock.
    pub(crate) fn safe_ttl(&self) -> Millis {
        self.ttl - Millis(self.ttl.0 / DRIFT_PARTS) - CLOCK_BACK_ALLOWED
    }
}

/// The key of the entry that names an environment's lease holder.
#[must_use]
pub fn holder_key(environment: &EnvironmentId) -> String {
    format!("control/{environment}/holder")
}

/// The holder's entry in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderEntry {
    /// The host that holds the lease.
    pub host: HostId,
    /// Drawn by the host, so that it knows its own entry again.
    pub nonce: Nonce,
}

impl HolderEntry {
    /// The entry as the store holds it.
    ///
    /// # Panics
    ///
    /// Never; names and numbers can always be written as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("names and numbers are valid JSON")
    }

    /// Reads an entry; none if someone wrote another thing there.
    #[must_use]
    pub fn from_json(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}
