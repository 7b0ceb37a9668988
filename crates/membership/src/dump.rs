//! The part of the state dump that describes the membership.

use carawayseam_types::Millis;
use carawayseam_wire::{Head, Peer};
use serde::Serialize;

use crate::Refusal;

/// The membership's state, for the state dump.
#[derive(Debug, Clone, Serialize)]
pub struct MembershipDump {
    /// This process as it announces itself.
    pub me: Peer,
    /// All known peers and their states.
    pub peers: Vec<Peer>,
    /// The heads of the newest known records.
    pub heads: Vec<Head>,
    /// Number of known published values.
    pub items: usize,
    /// Number of gossip updates still to be sent.
    #[serde(rename = "queued_news")]
    pub queued_updates: usize,
    /// Number of newer records that are known to exist but have not been pulled yet.
    #[serde(rename = "wanted_records")]
    pub missing_records: usize,
    /// Time since the platform's host list was read; none if it was never read.
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
    /// Conflicting bodies under one revision.
    pub fork: u64,
    /// Records older than the applied ones.
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
