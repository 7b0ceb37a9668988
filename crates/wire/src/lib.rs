//! Messages between the processes of carawayseam, encoded with `postcard`.
//!
//! Datagrams carry heartbeats and gossip updates; streams carry records and
//! forwarded requests, or begin a relayed connection. Each message begins with the protocol version, and a
//! message of another version is rejected before it is decoded.
//!
//! ```
//! use carawayseam_wire::{StreamRequest, decode, encode};
//!
//! let buf = encode(&StreamRequest::Heads)?;
//! let back: StreamRequest = decode(&buf)?;
//! assert!(matches!(back, StreamRequest::Heads));
//! # Ok::<(), carawayseam_wire::WireError>(())
//! ```

mod capacity;
mod codec;
mod datagram;
mod digest;
mod gossip;
mod heartbeat;
mod peers;
mod relay;
mod stream;

pub use capacity::{ServerPace, ServerPaces, ServerSample, ServerSamples};
pub use codec::{
    MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES, PROTOCOL_VERSION, WireError, decode, decode_datagram, encode,
};
pub use datagram::{Body, Datagram, GossipUpdate, Item, ItemKey, ItemPart, Peer, PeerRole, PeerState, Topic};
pub use gossip::{GossipRound, HeldSlots, MeasuredLoad, SlotClaim, SlotLoad};
pub use heartbeat::{ConfigurationVersion, EngineLoad, Heartbeat, RolloutCounts, WaitingLoad};
pub use peers::{
    ContentCrash, ItemChunk, ItemsPage, PaceCounts, PartAnswer, PartCrash, PeerMessage, PeerResponse,
    PermitOutcome, QuotaOutcome, QuotaRequest, RolloutRoutes, RouteResponses, ServerLimitUpdate,
    ServerWarmUpUpdate, SlotOutcome, StoreChange, StoreChangeKind, StoreChanges, VersionResponses,
};
pub use relay::{RelayRefusal, RelayRequest, RelayResponse};
pub use stream::{ForwardFrame, ForwardedRequest, Head, Record, RecordKey, StreamReply, StreamRequest};
