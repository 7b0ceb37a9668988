//! Messages between carawayseam's own processes, encoded by `postcard`.
//!
//! Datagrams carry heartbeats and small news; streams carry records and
//! forwarded requests. Each message begins with the protocol's version, and
//! one of another version is refused before it is decoded.
//!
//! ```
//! use carawayseam_wire::{StreamRequest, decode, encode};
//!
//! let buf = encode(&StreamRequest::Heads)?;
//! let back: StreamRequest = decode(&buf)?;
//! assert!(matches!(back, StreamRequest::Heads));
//! # Ok::<(), carawayseam_wire::WireError>(())
//! ```

mod beat;
mod codec;
mod datagram;
mod digest;
mod peers;
mod stream;

pub use beat::{Beat, EngineLoad, MoveCounts, WaitingLoad};
pub use codec::{
    MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES, PROTOCOL_VERSION, WireError, decode, decode_datagram, encode,
};
pub use datagram::{Body, Datagram, Item, ItemKey, ItemPart, News, Peer, PeerRole, PeerState, Topic};
pub use peers::{
    AskAnswer, ItemPiece, PeerMessage, QuotaAsk, QuotaOutcome, SlotOutcome, StoreChange, StoreChangeKind,
    StoreNews,
};
pub use stream::{ForwardFrame, ForwardedRequest, Head, Record, RecordKey, StreamReply, StreamRequest};
