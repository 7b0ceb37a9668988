//! Lease settings and the holder's entry in the store.

use carawayseam_types::{EnvironmentId, HostId, Millis, Nonce};
use serde::{Deserialize, Serialize};

/// Lifetime of a lease that is not renewed.
pub const DEFAULT_TTL: Millis = Millis(10_000);
/// Upper bound on the time from the permit of an order to its arrival at the engine.
pub const MAX_DELIVERY_TIME: Millis = Millis(5_000);
/// A lease is renewed each time this fraction (one third) of its TTL has passed.
pub(crate) const RENEWALS_PER_TTL: u64 = 3;
/// Tolerated clock drift between host and store: one part in this many of the TTL.
const CLOCK_DRIFT_DIVISOR: u64 = 20;
/// A store call without a response for this long counts as failed.
pub(crate) const CALL_TIMEOUT: Millis = Millis(2_000);
/// Shortest interval between a follower's periodic reads of the holder's entry.
pub(crate) const MIN_READ_INTERVAL: Millis = Millis(2_000);
/// Upper bound of the random delay added to a read, so that hosts do not become candidates
/// at the same moment.
pub(crate) const READ_JITTER: Millis = Millis(1_000);
/// A clock that steps back further than this cannot be used to time a lease.
pub(crate) const MAX_CLOCK_STEP_BACK: Millis = Millis(20);

/// Settings with which one host competes for the lease of one environment.
#[derive(Debug, Clone)]
pub struct LeaseConfig {
    pub(crate) environment: EnvironmentId,
    pub(crate) host: HostId,
    pub(crate) ttl: Millis,
    pub(crate) seed: u64,
}

impl LeaseConfig {
    /// Creates the settings for an environment and a host, with the default TTL.
    ///
    /// The seed must differ between hosts and between restarts of a host, because the nonces
    /// are drawn from it.
    #[must_use]
    pub const fn new(environment: EnvironmentId, host: HostId, seed: u64) -> Self {
        Self {
            environment,
            host,
            ttl: DEFAULT_TTL,
            seed,
        }
    }

    /// Sets the lifetime of a lease that is not renewed.
    #[must_use]
    pub const fn ttl(mut self, ttl: Millis) -> Self {
        self.ttl = ttl;
        self
    }

    /// Returns the key of the holder's entry.
    #[must_use]
    pub fn key(&self) -> String {
        holder_key(&self.environment)
    }

    /// Returns how long a lease is valid by this host's clock: the TTL less the tolerated clock
    /// drift and step back.
    pub(crate) fn safe_ttl(&self) -> Millis {
        self.ttl - Millis(self.ttl.0 / CLOCK_DRIFT_DIVISOR) - MAX_CLOCK_STEP_BACK
    }
}

/// Returns the key of the entry that names an environment's lease holder.
#[must_use]
pub fn holder_key(environment: &EnvironmentId) -> String {
    format!("control/{environment}/holder")
}

/// The holder's entry in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderEntry {
    /// The host that holds the lease.
    pub host: HostId,
    /// Random number drawn by the host, by which it recognises its own entry.
    pub nonce: Nonce,
}

impl HolderEntry {
    /// Returns the entry as JSON, the form in which it is stored.
    ///
    /// # Panics
    ///
    /// Never panics: names and numbers can always be serialized as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("names and numbers are valid JSON")
    }

    /// Parses an entry. Returns `None` if the text is not a holder's entry.
    #[must_use]
    pub fn from_json(text: &str) -> Option<Self> {
        serde_json::from_str(text).ok()
    }
}
