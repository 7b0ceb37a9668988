//! The interface between the gateway and a deployment's headers, store and documents.

use std::net::SocketAddr;

use bytes::Bytes;
use carawayseam_dispatch::engine::PromptPart;
use carawayseam_dispatch::rollouts::RolloutState;
use carawayseam_dispatch::{Configuration, EngineEntry};
use carawayseam_types::{
    BackendName, EngineId, Millis, OrganisationId, RejectionLimit, RequestRate, StoreEra, StoreRevision,
    VersionId,
};
use compact_str::CompactString;
use hyper::HeaderMap;

/// Translates between the formats of a deployment and the types of the gateway.
pub trait Platform: Send + Sync + 'static {
    /// The client of the deployment's store.
    type Store: Store;

    /// Creates the reader and writer of headers.
    fn headers(&self) -> Box<dyn Headers>;

    /// Creates a client of the store at `address`.
    fn store(&self, address: SocketAddr) -> Self::Store;

    /// Returns the keys and key prefixes in the store.
    fn keys(&self) -> StoreKeys;

    /// Decodes the operator's configuration.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] when no part of the configuration can be used.
    fn decode_configuration(&self, value: &[u8]) -> Result<Configuration, DecodeError>;

    /// Returns the name of a field of [`Configuration`] in the operator's document.
    fn field_name<'a>(&self, field: &'a str) -> &'a str;

    /// Decodes the entry of a backend server.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] when the entry does not describe a usable server.
    fn decode_engine(&self, id: &str, value: &[u8]) -> Result<EngineEntry, DecodeError>;

    /// Decodes the operator's order to roll out a version of a backend.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] when the order cannot be read.
    fn decode_rollout_order(&self, value: &[u8]) -> Result<RolloutOrder, DecodeError>;

    /// Encodes the status of a rollout.
    fn encode_rollout_status(&self, status: &RolloutStatus) -> Vec<u8>;

    /// Decodes the status of a rollout.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] when the status cannot be read.
    fn decode_rollout_status(&self, value: &[u8]) -> Result<RolloutStatus, DecodeError>;
}

/// Reads and writes the headers of requests and responses.
pub trait Headers: Send + Sync + 'static {
    /// Reads the headers of a request that the gateway uses.
    fn read_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Replaces the headers of a request that only the gateway may set.
    fn write_request(&self, headers: &mut HeaderMap, outgoing: &OutgoingHead<'_>);

    /// Reads the headers of a response that the gateway uses.
    fn read_response(&self, headers: &HeaderMap) -> ResponseHead;
}

/// The values in a request's headers that the gateway uses.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestHead {
    /// The caller's id of this request.
    pub id: Option<CompactString>,
    /// How long the caller waits for the response.
    pub time_limit: Option<Millis>,
    /// The caller's key; `None` unless there is exactly one readable key.
    pub key: Option<CompactString>,
    /// The lengths of the prompt and its output.
    pub prompt: Option<Prompt>,
    /// The id of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<u64>,
}

/// The lengths of a prompt and its output.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The length of the prompt, in tokens.
    pub tokens: u32,
    /// The maximum length of the output, in tokens.
    pub max_output: u32,
    /// The caller's estimate of the output's length, in tokens.
    pub expected_output: Option<u32>,
    /// The parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
}

impl Prompt {
    /// Returns the expected length of the output, in tokens.
    #[must_use]
    pub fn likely_output(&self) -> u32 {
        let expected = self.expected_output.unwrap_or(self.max_output);
        expected.min(self.max_output)
    }

    /// Returns the expected number of events, each of which holds this many tokens.
    #[must_use]
    pub fn likely_events(&self, tokens_per_event: u32) -> u32 {
        self.likely_output() / tokens_per_event.max(1)
    }
}

/// The values that the gateway sets in a forwarded request's headers.
#[derive(Debug, Clone, Copy)]
pub struct OutgoingHead<'a> {
    /// The time that remains for the request.
    pub time_left: Millis,
    /// The backend server that must run the request.
    pub engine: &'a EngineId,
    /// The caller's organisation.
    pub organisation: Option<&'a OrganisationId>,
    /// The id of the last event that the caller received.
    pub last_event_id: Option<u64>,
}

/// The values in a response's headers that the gateway uses.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The id of the request that the response belongs to.
    pub id: Option<CompactString>,
    /// Whether the server reports that it did not run the request.
    pub is_not_run: bool,
    /// Whether the response is signed and has no content encoding, as every response that a backend
    /// server itself produces.
    pub is_authentic: bool,
    /// Whether the server reports that it drains.
    pub is_draining: bool,
    /// How long this host should send no further requests to the server.
    pub retry_after: Option<Millis>,
    /// The rate limit that the server reports for the requests of all hosts together.
    pub rate_limit: ReportedRateLimit,
    /// How many rejections in a second the server bears from all hosts together.
    pub rejection_limit: ReportedLimit<RejectionLimit>,
}

/// The rate limit in a response of a backend server.
pub type ReportedRateLimit = ReportedLimit<RequestRate>;

/// A limit in a response of a backend server, for the requests of all hosts together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ReportedLimit<V> {
    /// The response reports no limit.
    #[default]
    Unlimited,
    /// The response reports this limit.
    Limited(V),
    /// The response reports a limit that cannot be read.
    Unreadable,
}

/// The keys and key prefixes that the gateway uses in the store.
#[derive(Debug, Clone)]
pub struct StoreKeys {
    /// The key of the operator's configuration.
    pub configuration_key: CompactString,
    /// The prefix of the backend servers' keys; a server's id follows.
    pub engine_prefix: CompactString,
    /// The prefix of the rollout orders' keys; the backend's name follows.
    pub rollout_order_prefix: CompactString,
    /// The prefix of the rollout statuses' keys; the backend's name follows.
    pub rollout_status_prefix: CompactString,
    /// The prefix of the orders to evacuate an availability zone; the zone's name follows.
    pub evacuation_prefix: CompactString,
    /// The prefix of the gateway hosts' keys; the host's name follows.
    pub host_prefix: CompactString,
}

/// An operator's order to roll out a version of a backend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The backend.
    pub backend: BackendName,
    /// The version to roll out.
    pub to: VersionId,
    /// How long the rollout may take.
    pub within: Millis,
}

/// The status of a rollout, as stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The backend.
    pub backend: BackendName,
    /// The version that is rolled out.
    pub to: VersionId,
    /// The state of the rollout.
    pub state: RolloutState,
}

/// The error for a stored value that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{subject}: {problem}")]
pub struct DecodeError {
    /// The kind of the value.
    pub subject: CompactString,
    /// The problem, including the name of the field.
    pub problem: CompactString,
}

/// An item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: CompactString,
    /// The value.
    pub value: Bytes,
    /// The store's revision at the item's last change.
    pub revision: StoreRevision,
}

/// A change in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An item was written.
    Put(Item),
    /// An item was removed.
    Removed {
        /// The item's key.
        key: CompactString,
        /// The store's revision at the item's removal.
        revision: StoreRevision,
    },
}

impl Change {
    /// Returns the store's revision at the change.
    #[must_use]
    pub const fn revision(&self) -> StoreRevision {
        match self {
            Self::Put(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// One page of a listing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The items, in the order of their keys.
    pub items: Vec<Item>,
    /// Whether more items follow.
    pub has_more: bool,
    /// The store's revision at the listing.
    pub revision: StoreRevision,
}

/// A lease in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The era in which the store granted the lease; a restored store gives out ids again.
    pub era: StoreEra,
    /// The lease's id in this era.
    pub id: u64,
}

/// Why a call to the store failed.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum StoreError {
    /// The store did not execute the call.
    #[display("the store did not execute the call: {_0}")]
    NotApplied(#[error(not(source))] CompactString),
    /// No response was received; the store may have executed the call, or may still execute it.
    #[display("the store did not respond: {_0}")]
    Unknown(#[error(not(source))] CompactString),
    /// The store no longer has the changes that a watch requested.
    #[display("the store no longer has the requested history")]
    HistoryGone,
    /// The store was restored from a copy since the state that the call relies on.
    #[display("the store was restored from a copy")]
    Restored,
    /// The condition of a write does not hold.
    #[display("the condition of the write does not hold")]
    Conflict,
    /// The lease has ended.
    #[display("the lease has ended")]
    NoSuchLease,
    /// The response cannot be decoded.
    #[display("the store's response cannot be decoded: {_0}")]
    Unreadable(#[error(not(source))] CompactString),
}

/// The condition of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutCondition {
    /// None.
    Always,
    /// The item does not exist.
    IsMissing,
    /// The item has this revision.
    HasRevision(StoreRevision),
}

/// A client of the deployment's store.
pub trait Store: Send + 'static {
    /// Lists the items whose keys begin with `prefix` and follow the key `after`.
    fn list(&mut self, prefix: &str, after: &str) -> impl Future<Output = Result<Page, StoreError>> + Send;

    /// Waits up to `wait` for changes after a revision.
    ///
    /// Returns the changes and the revision from which to continue. Fails with [`StoreError::Restored`] if
    /// the store is no longer in the revision's era.
    fn watch(
        &mut self,
        prefix: &str,
        after: StoreRevision,
        wait: Millis,
    ) -> impl Future<Output = Result<(Vec<Change>, StoreRevision), StoreError>> + Send;

    /// Writes an item under a condition.
    ///
    /// Returns the new revision.
    fn put(
        &mut self,
        key: &str,
        value: &[u8],
        condition: PutCondition,
        lease: Option<Lease>,
    ) -> impl Future<Output = Result<StoreRevision, StoreError>> + Send;

    /// Acquires a lease.
    fn grant_lease(&mut self, ttl: Millis) -> impl Future<Output = Result<Lease, StoreError>> + Send;

    /// Renews a lease; fails with [`StoreError::NoSuchLease`] if it was granted in an earlier era.
    fn renew_lease(&mut self, lease: Lease) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Revokes a lease, which removes the items attached to it.
    ///
    /// The lease must be of the store's era: an earlier one may have the id of another host's lease.
    fn revoke_lease(&mut self, lease: Lease) -> impl Future<Output = Result<(), StoreError>> + Send;
}
