//! The events and actions of a membership.

use std::net::SocketAddr;

use carawayseam_external::hosts::HostList;
use carawayseam_types::Revision;
use carawayseam_wire::{Datagram, Head, Item, Peer, Record, RecordKey, Topic};

/// An input of a [`Membership`](crate::Membership).
#[derive(Debug, Clone)]
pub enum Event {
    /// A datagram was received.
    Datagram {
        /// The sender's address.
        from: SocketAddr,
        /// The decoded datagram.
        datagram: Datagram,
    },
    /// The platform's host list was read.
    HostList(HostList),
    /// The processes that the platform lists, which are its peers; replaces the earlier list.
    ///
    /// Those that are not known count as alive. After this event only listed processes become peers.
    Listed(Vec<Peer>),
    /// This process publishes a value, which replaces its earlier one under the same topic and name.
    Publish {
        /// The topic of the value.
        topic: Topic,
        /// The name of the value, unique within the topic.
        name: String,
        /// The encoded value.
        payload: Vec<u8>,
    },
    /// A record was read from the store or pulled from a peer.
    Record(Record),
    /// A peer answered a request for its heads.
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
        /// The key of the record that was requested.
        key: RecordKey,
    },
    /// This process starts to shut down.
    Leave,
    /// Time has passed; expected every 10 to 50 ms.
    Tick,
}

/// An output of a [`Membership`](crate::Membership).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The datagram.
        datagram: Datagram,
    },
    /// Pull a record over a stream; the result is passed back as `Record` or `PullFailed`.
    Pull {
        /// The peer's address.
        from: SocketAddr,
        /// The key of the record.
        key: RecordKey,
    },
    /// Apply a record that is newer than the one applied before.
    Apply(Record),
    /// The set of live peers changed; the list includes this process.
    Peers(Vec<Peer>),
    /// A peer published a newer value.
    Deliver(Item),
    /// A message was refused; the refusal is already counted and should be logged.
    Refuse(Refusal),
}

/// Why a message was refused.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum Refusal {
    /// The sender is neither a seed, nor in the host list, nor known by a peer.
    #[display("datagram from unknown host at {from}")]
    UnknownHost {
        /// The sender's address.
        from: SocketAddr,
    },
    /// The body of the record does not match its digest.
    #[display("the body of the {key} does not match its digest")]
    Digest {
        /// The key of the record.
        key: RecordKey,
    },
    /// Two bodies have the same revision; on all processes, the one with the higher digest wins.
    #[display("two bodies claim revision {} of the {}", head.revision, head.key)]
    Fork {
        /// The head of the refused record.
        head: Head,
    },
    /// The record is older than the applied one.
    #[display("revision {found} of the {key} is older than {known}")]
    OldRevision {
        /// The key of the record.
        key: RecordKey,
        /// The refused revision.
        found: Revision,
        /// The applied revision.
        known: Revision,
    },
    /// A published value exceeds the limit of its topic.
    #[display("a value under {topic} has {found} bytes, more than {limit}")]
    TooLong {
        /// The topic of the value.
        topic: Topic,
        /// The length of payload and name in bytes.
        found: usize,
        /// The limit in bytes.
        limit: usize,
    },
}
