//! What a scheduler is made of.

use carawayseam_types::{HostId, ZoneId};

/// How several entry hosts share the engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Coordination {
    /// Each pool of engines has one owning host; the others forward to it.
    #[default]
    Owners,
    /// Each host routes alone and heeds the shed levels that its peers announce.
    Announced,
}

/// What a scheduler is made of.
#[derive(Debug, Clone)]
pub struct SchedulerConfig {
    pub(crate) host: HostId,
    pub(crate) zone: ZoneId,
    pub(crate) seed: u64,
    pub(crate) coordination: Coordination,
}

impl SchedulerConfig {
    /// Names the host and its availability zone.
    #[must_use]
    pub const fn new(host: HostId, zone: ZoneId) -> Self {
        Self {
            host,
            zone,
            seed: 0,
            coordination: Coordination::Owners,
        }
    }

    /// Seeds the random choices.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Chooses how the hosts share the engines.
    #[must_use]
    pub const fn coordination(mut self, coordination: Coordination) -> Self {
        self.coordination = coordination;
        self
    }
}
