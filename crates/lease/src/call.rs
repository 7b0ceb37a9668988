//! Calls to the key-value store and their responses.

use carawayseam_external::kv::{Conflict, Entry, GrantRequest, Lease, LeaseRequest, PutReply, PutRequest};

/// Identifies a call of one lease, so that a late response to an earlier call is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct CallId(pub u64);

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Requests a lease.
    Grant(GrantRequest),
    /// Creates the holder's entry.
    Put(PutRequest),
    /// Reads the holder's entry.
    Get {
        /// The key of the entry.
        key: String,
    },
    /// Renews the lease.
    Renew(LeaseRequest),
    /// Releases the lease. The response is not awaited.
    Revoke(LeaseRequest),
}

/// The result of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResponse {
    /// A lease was granted.
    Granted(Lease),
    /// The entry was written.
    Written(PutReply),
    /// The entry already exists or has a different revision.
    Conflict(Conflict),
    /// The current entry, or `None` if there is none.
    Entry(Option<Entry>),
    /// The lease was renewed.
    Renewed(Lease),
    /// The lease no longer exists.
    LeaseGone,
    /// No response arrived; the call may have taken effect.
    NoResponse,
}
