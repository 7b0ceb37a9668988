//! What happens to a lease, what it asks for, and what it shows of itself.

use carawayseam_types::{FencingToken, Millis};
use serde::Serialize;

use crate::{CallId, HolderEntry, LapseCause, StoreCall, StoreResponse};

/// An input of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// A call was answered, or given up.
    Response {
        /// Which.
        call: CallId,
        /// What came of it.
        response: StoreResponse,
    },
    /// A watch saw the holder's entry go.
    HolderGone,
    /// This process is about to stop.
    Resign,
    /// Time passed; sent every 10 to 50 ms.
    Tick,
}

/// An output of a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Call the store; its answer comes back as [`LeaseEvent::Response`].
    Call {
        /// Repeated in the answer.
        call: CallId,
        /// What to call.
        request: StoreCall,
    },
    /// This host holds the lease now.
    Acquired {
        /// The token for its orders.
        token: FencingToken,
    },
    /// This host holds the lease no longer.
    Lost {
        /// The token it had.
        token: FencingToken,
        /// Why.
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
    /// The holder as last read.
    pub holder: Option<HolderEntry>,
    /// This host's token, if it holds the lease.
    pub token: Option<FencingToken>,
    /// How long the lease still runs without renewal.
    pub remaining: Option<Millis>,
}
