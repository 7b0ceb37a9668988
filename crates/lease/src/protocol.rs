//! The events, actions and state dump of a lease.

use carawayseam_types::{FencingToken, Millis};
use serde::Serialize;

use crate::{CallId, HolderEntry, LapseCause, StoreCall, StoreResponse};

/// An input of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// A call received its response or failed.
    Response {
        /// The id of the call.
        call: CallId,
        /// The result of the call.
        response: StoreResponse,
    },
    /// A watch reported the deletion of the holder's entry.
    HolderGone,
    /// This process is about to stop.
    Resign,
    /// Periodic event, sent every 10 to 50 ms.
    Tick,
}

/// An output of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Call the store. The response is delivered as [`LeaseEvent::Response`].
    Call {
        /// The id of the call, repeated in the response.
        call: CallId,
        /// The call to make.
        request: StoreCall,
    },
    /// This host has acquired the lease.
    Acquired {
        /// The fencing token for its orders.
        token: FencingToken,
    },
    /// This host no longer holds the lease.
    Lost {
        /// The fencing token of the lost lease.
        token: FencingToken,
        /// Why the lease was lost.
        cause: LapseCause,
    },
}

/// A lease's state, for the state dump.
#[derive(Debug, Clone, Serialize)]
pub struct LeaseDump {
    /// The key of the holder's entry.
    pub key: String,
    /// `follower`, `candidate`, `holder` or `lapsed`.
    pub state: &'static str,
    /// The holder according to the entry last read or written.
    pub holder: Option<HolderEntry>,
    /// This host's fencing token, if it holds the lease.
    pub token: Option<FencingToken>,
    /// Time until the lease expires without renewal.
    pub remaining: Option<Millis>,
}
