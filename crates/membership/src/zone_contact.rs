//! The last contact with a zone.

use carawayseam_types::Millis;

/// When a listed zone was last heard from.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ZoneContact {
    pub(crate) received_at: Millis,
    /// Whether a probe to the zone has failed since.
    pub(crate) has_failed_probe: bool,
}

impl ZoneContact {
    /// Returns the contact of a zone from which a datagram was received at `time`.
    pub(crate) const fn at(time: Millis) -> Self {
        Self {
            received_at: time,
            has_failed_probe: false,
        }
    }
}
