//! The platform's key-value service: compare-and-swap, leases and watches.
//!
//! Revisions are the store's own modification numbers; they grow with every
//! write in the store, and 0 stands for a key that does not exist.

use serde::{Deserialize, Serialize};

/// `GET ?key=` reads one entry: [`Entry`] or status 404.
pub const GET_PATH: &str = "/v1/get";
/// `POST` [`PutRequest`]: [`PutReply`], or status 409 with [`Conflict`].
pub const PUT_PATH: &str = "/v1/put";
/// `POST` [`DeleteRequest`]: [`PutReply`], or status 409 with [`Conflict`].
pub const DELETE_PATH: &str = "/v1/delete";
/// `GET ?prefix=` reads all entries below a prefix: [`Range`].
pub const RANGE_PATH: &str = "/v1/range";
/// `GET ?prefix=&after=&wait_ms=` answers when an entry changes past `after`: [`Range`], empty on timeout.
pub const WATCH_PATH: &str = "/v1/watch";
/// `POST` [`GrantRequest`]: [`Lease`].
pub const GRANT_PATH: &str = "/v1/lease/grant";
/// `POST` [`LeaseRequest`]: [`Lease`], or status 404 when it lapsed.
pub const RENEW_PATH: &str = "/v1/lease/renew";
/// `POST` [`LeaseRequest`]: status 200; entries under the lease go.
pub const REVOKE_PATH: &str = "/v1/lease/revoke";
/// The largest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_024 * 1_024;

/// An entry of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its key.
    pub key: String,
    /// Its value, JSON text by convention.
    pub value: String,
    /// The store's number of the write that made it so.
    pub revision: u64,
}

/// Writes one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutRequest {
    /// The key to write.
    pub key: String,
    /// The value to store.
    pub value: String,
    /// The revision that the key must have, 0 for absent; none writes blindly.
    pub expect: Option<u64>,
    /// The entry goes when this lease lapses.
    pub lease: Option<u64>,
    /// The entry goes after this time, in milliseconds.
    pub ttl_ms: Option<u64>,
}

impl PutRequest {
    /// Creates a key that must not exist.
    pub fn create(key: impl Into<String>, value: String) -> Self {
        Self::swap(key, value, 0)
    }

    /// Replaces a key that must have the revision `expect`.
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

/// Deletes one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeleteRequest {
    /// The key to delete.
    pub key: String,
    /// The revision that the key must have; none deletes blindly.
    pub expect: Option<u64>,
}

/// A write took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PutReply {
    /// The store's number of the write.
    pub revision: u64,
}

/// A write was refused, because the key has another revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The entry as it stands, if there is one.
    pub current: Option<Entry>,
}

/// Entries below a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// The entries; a watch gives only those changed past `after`.
    pub entries: Vec<Entry>,
    /// Keys deleted past `after` (watches only).
    pub deleted: Vec<String>,
    /// The store's newest revision at the time of the answer.
    pub revision: u64,
}

/// Asks for a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// How long it lasts without renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// Names a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The lease's id.
    pub lease: u64,
}

/// A lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Its id; ids grow, so it serves as a fencing token.
    pub lease: u64,
    /// How long it lasts without renewal, in milliseconds.
    pub ttl_ms: u64,
}
