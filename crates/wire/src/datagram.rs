//! Datagrams of the membership protocol and the gossip updates they carry.

use std::net::SocketAddr;

use carawayseam_types::{HostId, Incarnation, ZoneId};
use serde::{Deserialize, Serialize};

use crate::Head;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: Peer,
    /// The request or response.
    pub body: Body,
    /// Gossip updates, newest first, limited by the size of the datagram.
    pub updates: Vec<GossipUpdate>,
}

/// The request or response in a datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests an [`Body::Ack`].
    Probe {
        /// The sequence number, which the response repeats.
        seq: u64,
    },
    /// Acknowledges a probe.
    Ack {
        /// The sequence number of the probe.
        seq: u64,
    },
    /// Requests a probe of a third process that did not respond to the sender.
    IndirectProbe {
        /// The sequence number, which the response repeats.
        seq: u64,
        /// The address of the process to probe.
        target: SocketAddr,
    },
    /// Carries gossip updates only.
    Gossip,
    /// Requests an [`Body::Ack`] and the receiver's full state, which begins with [`Body::JoinReply`].
    Join {
        /// The sequence number, which the response repeats.
        seq: u64,
    },
    /// Begins the response to [`Body::Join`]; its datagrams carry the heads of records first.
    JoinReply {
        /// The number of heads the sender knows.
        heads: u64,
    },
}

/// A process of the cluster as its peers see it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Its host.
    pub host: HostId,
    /// Its role on the host.
    pub role: PeerRole,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The address that receives datagrams, and streams on the same port.
    pub address: SocketAddr,
    /// Increases with each start of the process.
    pub incarnation: Incarnation,
    /// Its membership state.
    pub state: PeerState,
}

/// The role of a process on its host.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum PeerRole {
    /// Serves requests of callers.
    #[display("entry")]
    Entry,
    /// Holds leases and drives rollouts.
    #[display("control")]
    Control,
    /// Serves requests of callers on the users' platform, where one process does all tasks of a host.
    #[display("gateway")]
    Gateway,
}

/// The membership state of a peer; at the same incarnation, a later variant overrides an earlier one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum PeerState {
    /// The peer responds to probes.
    #[display("alive")]
    Alive,
    /// The peer did not respond to a probe; it can refute the suspicion with a higher incarnation.
    #[display("suspect")]
    Suspect,
    /// The peer announced that it is shutting down.
    #[display("leaving")]
    Leaving,
    /// The peer has failed.
    #[display("dead")]
    Dead,
}

/// A gossip update. The highest version of each kind wins, so updates may arrive reordered or repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipUpdate {
    /// The state of a peer.
    Peer(Peer),
    /// The newest known revision of a record.
    Head(Head),
    /// The newest value published by a process under a key.
    Item(Item),
    /// A part of a value that is too large for one datagram.
    Part(ItemPart),
}

/// A part of an [`Item`]; the value is complete once all parts with one sequence number are received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemPart {
    /// The publisher and the kind of value.
    pub key: ItemKey,
    /// The publisher's incarnation.
    pub incarnation: Incarnation,
    /// Increases with each new value.
    pub seq: u64,
    /// The zero-based index of the part.
    pub index: u8,
    /// The number of parts.
    pub count: u8,
    /// The bytes of the part.
    pub payload: Vec<u8>,
}

/// A value published by one process; a value with a higher incarnation, then sequence number, replaces it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The publisher and the kind of value.
    pub key: ItemKey,
    /// The publisher's incarnation.
    pub incarnation: Incarnation,
    /// Increases with each new value.
    pub seq: u64,
    /// The value, encoded by [`crate::encode`].
    pub payload: Vec<u8>,
}

/// The key of a published value.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ItemKey {
    /// The publisher's host.
    pub host: HostId,
    /// The publisher's role.
    pub role: PeerRole,
    /// The kind of value.
    pub topic: Topic,
    /// Distinguishes the values of one topic, such as by environment name.
    pub name: String,
}

/// The kind of a published value.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Topic {
    /// The loads of the engine pools owned by a host.
    #[display("pool-load")]
    PoolLoad,
    /// Engine crashes caused by one request content.
    #[display("poison")]
    Poison,
    /// Response counts of a rollout's versions.
    #[display("evidence")]
    Evidence,
    /// A host stopped sending requests to a version on its own.
    #[display("stopped")]
    Stopped,
    /// The revisions that a host has in force.
    #[display("confirmed")]
    Confirmed,
    /// A liveness report of the control lease's holder.
    #[display("holder")]
    Holder,
    /// The status of an engine, as observed by a host.
    #[display("engine-standing")]
    #[serde(rename = "engine-standing")]
    EngineStatus,
}
