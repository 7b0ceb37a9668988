//! The platform's key-value service: compare-and-swap, leases and watches.
//!
//! A revision is the store-wide modification number of a write. It increases
//! with every write to the store; 0 stands for a key that does not exist.

use serde::{Deserialize, Serialize};

/// `GET ?key=` returns the [`Entry`], or status 404 if the key does not exist.
pub const GET_PATH: &str = "/v1/get";
/// `POST` [`PutRequest`] returns [`PutReply`], or status 409 with [`Conflict`].
pub const PUT_PATH: &str = "/v1/put";
/// `POST` [`DeleteRequest`] returns [`PutReply`], or status 409 with [`Conflict`].
pub const DELETE_PATH: &str = "/v1/delete";
/// `GET ?prefix=` returns all entries whose key has the prefix, as a [`Range`].
pub const RANGE_PATH: &str = "/v1/range";
/// `GET ?prefix=&after=&wait_ms=` long-polls for changes.
///
/// Returns a [`Range`] of the changes after revision `after`, which is empty on timeout.
pub const WATCH_PATH: &str = "/v1/watch";
/// `POST` [`GrantRequest`] returns a [`Lease`].
pub const GRANT_PATH: &str = "/v1/lease/grant";
/// `POST` [`LeaseRequest`] returns the renewed [`Lease`], or status 404 if it has expired.
pub const RENEW_PATH: &str = "/v1/lease/renew";
/// `POST` [`LeaseRequest`] returns status 200; the entries attached to the lease are deleted.
pub const REVOKE_PATH: &str = "/v1/lease/revoke";
/// Maximum size of a value.
pub const MAX_VALUE_BYTES: usize = 1_024 * 1_024;

/// An entry of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, JSON text by convention.
    pub value: String,
    /// The revision of the last write to this key.
    pub revision: u64,
}

/// A request to write one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// The key to write.
    pub key: String,
    /// The value to store.
    pub value: String,
    /// The revision that the key must have, 0 if it must not exist; `None` writes unconditionally.
    pub expect: Option<u64>,
    /// The lease to attach the entry to; the entry is deleted when the lease expires.
    pub lease: Option<u64>,
    /// The time after which the entry is deleted, in milliseconds.
    pub ttl_ms: Option<u64>,
}

impl PutRequest {
    /// Returns a request that creates a key and conflicts if the key exists.
    pub fn create(key: impl Into<String>, value: String) -> Self {
        Self::swap(key, value, 0)
    }

    /// Returns a request that replaces a key and conflicts unless its revision is `expect`.
    pub fn swap(key: impl Into<String>, value: String, expect: u64) -> Self {
        Self {
            key: key.into(),
            value,
            expect: Some(expect),
            lease: None,
            ttl_ms: None,
        }
    }
}

/// A request to delete one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeleteRequest {
    /// The key to delete.
    pub key: String,
    /// The revision that the key must have; `None` deletes unconditionally.
    pub expect: Option<u64>,
}

/// The response to a write or delete that took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutReply {
    /// The revision of the write.
    pub revision: u64,
}

/// The response to a write that was rejected because the key has another revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The current entry, if there is one.
    pub current: Option<Entry>,
}

/// The entries under a key prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// The entries; a watch returns only those changed after its revision `after`.
    pub entries: Vec<Entry>,
    /// The keys deleted after revision `after` (watches only).
    pub deleted: Vec<String>,
    /// The latest revision of the store at the time of the response.
    pub revision: u64,
}

/// A request for a new lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Time until the lease expires unless renewed, in milliseconds.
    pub ttl_ms: u64,
}

/// A request to renew or revoke a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The lease id.
    pub lease: u64,
}

/// A granted or renewed lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The lease id. Ids increase, so the id serves as a fencing token.
    pub lease: u64,
    /// Time until the lease expires unless renewed, in milliseconds.
    pub ttl_ms: u64,
}
