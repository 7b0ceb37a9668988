//! Calls to the store, and what came of them.

use carawayseam_external::kv::{Conflict, Entry, GrantRequest, Lease, LeaseRequest, PutReply, PutRequest};

/// Tells the answers of one lease's calls apart; a late one is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct CallId(pub u64);

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Asks for a lease.
    Grant(GrantRequest),
    /// Creates the holder's entry.
    Put(PutRequest),
    /// Reads the holder's entry.
    Get {
        /// Its key.
        key: String,
    },
    /// Renews the lease.
    Renew(LeaseRequest),
    /// Gives the lease back; its answer is not waited for.
    Revoke(LeaseRequest),
}

/// What came of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResponse {
    /// A lease was granted.
    Granted(Lease),
    /// The entry was written.
    Written(PutReply),
    /// The entry exists, or has another revision.
    Conflict(Conflict),
    /// The entry as it stands, if there is one.
    Entry(Option<Entry>),
    /// The lease was renewed.
    Renewed(Lease),
    /// The lease does not exist any more.
    LeaseGone,
    /// No answer came; the call may have taken effect.
    NoResponse,
}
