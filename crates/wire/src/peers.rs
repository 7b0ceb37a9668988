//! Datagrams between hosts that route alone.

use carawayseam_types::{EngineKey, HostId, Millis, OrganisationId};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::Heartbeat;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A heartbeat.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Asks the keeper of an organisation's account for tokens.
    #[serde(rename = "QuotaAsk")]
    QuotaRequest(QuotaRequest),
    /// Asks the keeper of a backend server's slots for one of them.
    #[serde(rename = "SlotAsk")]
    SlotRequest {
        /// The asking host.
        host: HostId,
        /// Repeated in the answer.
        #[serde(rename = "ask")]
        request_id: u64,
        /// The server.
        engine: EngineKey,
    },
    /// Asks for the store's changes after a revision.
    #[serde(rename = "NewsAsk")]
    ChangesRequest {
        /// The asking host.
        host: HostId,
        /// Repeated in the answer.
        #[serde(rename = "ask")]
        request_id: u64,
        /// The revision.
        after: u64,
    },
    /// Asks for a piece of an item that is too large for a datagram.
    #[serde(rename = "PieceAsk")]
    ItemChunkRequest {
        /// The asking host.
        host: HostId,
        /// Repeated in the answer.
        #[serde(rename = "ask")]
        request_id: u64,
        /// The item's key.
        key: CompactString,
        /// The revision of its change.
        revision: u64,
        /// Where the piece begins, in bytes.
        offset: u32,
    },
    /// Answers an ask.
    #[serde(rename = "Answer")]
    Response {
        /// The ask's number.
        #[serde(rename = "ask")]
        request_id: u64,
        /// What became of it.
        #[serde(rename = "answer")]
        response: PeerResponse,
    },
    /// A request left a server.
    SlotReturn {
        /// The host that had the slot.
        host: HostId,
        /// The server.
        engine: EngineKey,
    },
    /// Gives tokens back that were not used.
    QuotaReturn {
        /// Whose they are.
        organisation: OrganisationId,
        /// How many.
        tokens: u32,
    },
}

/// Asks for the tokens of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// The asking host.
    pub host: HostId,
    /// Repeated in the answer.
    #[serde(rename = "ask")]
    pub request_id: u64,
    /// Whose quota.
    pub organisation: OrganisationId,
    /// How many.
    pub tokens: u32,
    /// How long the request can wait for them.
    #[serde(rename = "patience")]
    pub max_wait: Millis,
}

/// What became of an ask.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// For tokens.
    Quota(QuotaOutcome),
    /// For a slot.
    Slot(SlotOutcome),
    /// For the store's changes; none if the host cannot tell them all.
    #[serde(rename = "News")]
    Changes(Option<StoreChanges>),
    /// For a piece of an item; none if the host no longer has it.
    #[serde(rename = "Piece")]
    Chunk(Option<ItemChunk>),
}

/// A piece of an item's value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemChunk {
    /// The length of the whole value, in bytes.
    pub total: u32,
    /// The piece.
    pub bytes: Vec<u8>,
}

/// What a host knows of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreChanges {
    /// The revision up to which the changes tell all.
    #[serde(rename = "end")]
    pub end_revision: u64,
    /// Whether nothing later is known.
    #[serde(rename = "is_whole")]
    pub is_complete: bool,
    /// The age of the proof that nothing later was there.
    pub age: Millis,
    /// How much longer missing entries of backend servers may come back after an outage of the store.
    #[serde(rename = "kept_for")]
    pub removal_grace: Millis,
    /// The changes in order.
    pub changes: Vec<StoreChange>,
}

/// One change in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreChange {
    /// The item's key.
    pub key: CompactString,
    /// The revision of the change.
    pub revision: u64,
    /// What became of the item.
    pub kind: StoreChangeKind,
}

/// What became of an item of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreChangeKind {
    /// It was written.
    Put(Vec<u8>),
    /// It was written, and is too large for a datagram.
    PutLarge,
    /// It was removed.
    Removed,
}

/// What became of an ask for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotOutcome {
    /// It is the asking host's until it is returned.
    Granted,
    /// All are taken.
    Full,
    /// The host does not know the server.
    #[serde(rename = "NotKept")]
    NotOwner,
}

/// What became of a [`QuotaRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaOutcome {
    /// The tokens are there after this time.
    Granted(Millis),
    /// They are not; they would be after this time.
    Refused(Millis),
    /// The host does not keep the account, or does not know the organisation.
    #[serde(rename = "NotKept")]
    NotOwner,
}
