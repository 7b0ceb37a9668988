//! What happens to the membership, and what it asks for.

use std::net::SocketAddr;

use carawayseam_external::hosts::HostList;
use carawayseam_types::Revision;
use carawayseam_wire::{Datagram, Head, Item, Peer, Record, RecordKey, Topic};

/// An input.
#[derive(Debug, Clone)]
pub enum Event {
    /// A datagram came.
    Datagram {
        /// Where it came from.
        from: SocketAddr,
        /// Its content.
        datagram: Datagram,
    },
    /// The platform's host list was read.
    HostList(HostList),
    /// This process publishes a value; only the newest under each topic and name counts.
    Publish {
        /// What it is.
        topic: Topic,
        /// Tells apart the values of one topic.
        name: String,
        /// The encoded value.
        payload: Vec<u8>,
    },
    /// A record was read from the store or pulled from a peer.
    Record(Record),
    /// A peer told its heads.
    Heads {
        /// The peer's address.
        from: SocketAddr,
        /// The heads.
        heads: Vec<Head>,
    },
    /// A pull failed.
    PullFailed {
        /// The peer's address.
        from: SocketAddr,
        /// The record wanted.
        key: RecordKey,
    },
    /// This process is about to stop.
    Leave,
    /// Time passed; sent every 10 to 50 ms.
    Tick,
}

/// An output.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// To where.
        to: SocketAddr,
        /// What.
        datagram: Datagram,
    },
    /// Pull a record over a stream; its answer comes back as `Record` or `PullFailed`.
    Pull {
        /// From where.
        from: SocketAddr,
        /// Which.
        key: RecordKey,
    },
    /// A newer record is known; put it in force.
    Apply(Record),
    /// The live peers changed; this process is among them.
    Peers(Vec<Peer>),
    /// A peer published a newer value.
    Deliver(Item),
    /// A message was refused; it is counted and logged.
    Refuse(Refusal),
}

/// Why a message was refused.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum Refusal {
    /// The sender is neither a seed, nor in the host list, nor known by a peer.
    #[display("datagram from unknown host at {from}")]
    UnknownHost {
        /// The address.
        from: SocketAddr,
    },
    /// The record's body does not match its digest.
    #[display("the body of the {key} does not match its digest")]
    Digest {
        /// The record.
        key: RecordKey,
    },
    /// Two bodies claim one revision; the one with the higher digest stands everywhere.
    #[display("two bodies claim revision {} of the {}", head.revision, head.key)]
    Fork {
        /// The head refused.
        head: Head,
    },
    /// The record is older than the one in force.
    #[display("revision {found} of the {key} is older than {known}")]
    OldRevision {
        /// The record.
        key: RecordKey,
        /// The revision refused.
        found: Revision,
        /// The revision in force.
        known: Revision,
    },
    /// A value is too long for a datagram.
    #[display("a value under {topic} has {found} bytes, more than {limit}")]
    TooLong {
        /// What it is.
        topic: Topic,
        /// Its encoded size in bytes.
        found: usize,
        /// The limit in bytes.
        limit: usize,
    },
}
