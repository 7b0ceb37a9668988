//! What a membership shows of itself.

use carawayseam_types::Millis;
use carawayseam_wire::{Head, Peer};
use serde::Serialize;

use crate::Refusal;

/// The membership's state, for the state dump.
#[derive(Debug, Clone, Serialize)]
pub struct MembershipDump {
    /// This process as it tells itself to others.
    pub me: Peer,
    /// All peers as this process sees them.
    pub peers: Vec<Peer>,
    /// The newest records known.
    pub heads: Vec<Head>,
    /// Published values known.
    pub items: usize,
    /// News that waits to be sent again.
    #[serde(rename = "queued_news")]
    pub queued_updates: usize,
    /// Newer records that are known to exist and not here yet.
    #[serde(rename = "wanted_records")]
    pub missing_records: usize,
    /// How old the platform's host list is; none if it was never read.
    pub host_list_age: Option<Millis>,
    /// Messages refused, by reason.
    pub refused: RefusalCounts,
}

/// Messages refused since the start, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RefusalCounts {
    /// Datagrams from unknown hosts.
    pub unknown_host: u64,
    /// Records whose body does not match their digest.
    pub digest: u64,
    /// Second bodies at one revision.
    pub fork: u64,
    /// Records older than those in force.
    pub old_revision: u64,
    /// Values too long for a datagram.
    pub too_long: u64,
}

impl RefusalCounts {
    pub(crate) const fn count(&mut self, refused: &Refusal) {
        let counter = match refused {
            Refusal::UnknownHost { .. } => &mut self.unknown_host,
            Refusal::Digest { .. } => &mut self.digest,
            Refusal::Fork { .. } => &mut self.fork,
            Refusal::OldRevision { .. } => &mut self.old_revision,
            Refusal::TooLong { .. } => &mut self.too_long,
        };
        *counter += 1;
    }
}
