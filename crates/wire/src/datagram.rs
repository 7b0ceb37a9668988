//! Heartbeats and the news they carry.

use std::net::SocketAddr;

use carawayseam_types::{HostId, Incarnation, ZoneId};
use serde::{Deserialize, Serialize};

use crate::Head;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: Peer,
    /// What it asks or answers.
    pub body: Body,
    /// Gossip updates, newest first, as many as fit.
    #[serde(rename = "news")]
    pub updates: Vec<GossipUpdate>,
}

/// What a datagram asks or answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an [`Body::Ack`].
    Probe {
        /// Repeated in the answer.
        seq: u64,
    },
    /// Answers a probe.
    Ack {
        /// The probe's number.
        seq: u64,
    },
    /// Asks the receiver to probe a third process that did not answer the sender.
    #[serde(rename = "ProbeFor")]
    IndirectProbe {
        /// Repeated in the answer.
        seq: u64,
        /// The process to probe.
        target: SocketAddr,
    },
    /// Carries news only.
    Gossip,
    /// Asks for an [`Body::Ack`] and all that the receiver knows, begun by [`Body::JoinReply`].
    Join {
        /// Repeated in the answer.
        seq: u64,
    },
    /// Begins an answer to [`Body::Join`]; it carries heads of records before all else.
    #[serde(rename = "Told")]
    JoinReply {
        /// How many heads the sender knows.
        heads: u64,
    },
}

/// A process of the system as others see it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Its host.
    pub host: HostId,
    /// Which of the host's processes it is.
    pub role: PeerRole,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it takes datagrams, and streams on the same port.
    pub address: SocketAddr,
    /// Grows with each start.
    pub incarnation: Incarnation,
    /// How it stands.
    pub state: PeerState,
}

/// Which of a host's processes a peer is.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum PeerRole {
    /// Serves callers.
    #[display("entry")]
    Entry,
    /// Holds leases and drives moves.
    #[display("control")]
    Control,
}

/// How a peer stands; at the same incarnation a later variant beats an earlier one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum PeerState {
    /// It answers.
    #[display("alive")]
    Alive,
    /// It did not answer; it may refute this with a higher incarnation.
    #[display("suspect")]
    Suspect,
    /// It announced that it stops.
    #[display("leaving")]
    Leaving,
    /// It is gone.
    #[display("dead")]
    Dead,
}

/// A piece of news; each kind is a maximum, so order and repeats do not matter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipUpdate {
    /// How a peer stands.
    Peer(Peer),
    /// A record exists at this revision.
    Head(Head),
    /// The newest value that a process publishes under a key.
    Item(Item),
    /// A part of a value that is too long for one datagram.
    Part(ItemPart),
}

/// A part of an [`Item`]; the value is known once all parts of one sequence are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemPart {
    /// Who publishes what.
    pub key: ItemKey,
    /// The publisher's incarnation.
    pub incarnation: Incarnation,
    /// Grows with each value.
    pub seq: u64,
    /// The part's place, from 0 on.
    pub index: u8,
    /// How many parts there are.
    pub count: u8,
    /// The part of the value.
    pub payload: Vec<u8>,
}

/// A value that one process publishes; a higher incarnation, then sequence, replaces it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Who publishes what.
    pub key: ItemKey,
    /// The publisher's incarnation.
    pub incarnation: Incarnation,
    /// Grows with each value.
    pub seq: u64,
    /// The value, encoded by [`crate::encode`].
    pub payload: Vec<u8>,
}

/// Names a published value.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ItemKey {
    /// The publisher's host.
    pub host: HostId,
    /// The publisher's role.
    pub role: PeerRole,
    /// What the value is.
    pub topic: Topic,
    /// Tells apart the values of one topic, such as an environment's name.
    pub name: String,
}

/// What a published value is.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum Topic {
    /// Loads of the engine pools that a host owns.
    #[display("pool-load")]
    PoolLoad,
    /// Crashes of engines under one content.
    #[display("poison")]
    Poison,
    /// Counts of a move's versions.
    #[display("evidence")]
    Evidence,
    /// A host stopped a version by itself.
    #[display("stopped")]
    Stopped,
    /// The revisions that a host follows.
    #[display("confirmed")]
    Confirmed,
    /// A sign of life of the control lease's holder.
    #[display("holder")]
    Holder,
    /// An engine's standing, as a host saw it.
    #[display("engine-standing")]
    #[serde(rename = "engine-standing")]
    EngineStatus,
}
