//! What a deployment has to translate for the gateway.

use std::net::SocketAddr;

use bytes::Bytes;
use carawayseam_dispatch::engine::Part;
use carawayseam_dispatch::moves::MoveState;
use carawayseam_dispatch::{Configuration, EngineEntry};
use carawayseam_types::{BackendName, EngineId, Millis, OrganisationId, VersionId};
use compact_str::CompactString;
use hyper::HeaderMap;

/// Translates between a deployment and the gateway.
pub trait Platform: Send + Sync + 'static {
    /// The client of the deployment's store.
    type Store: Store;

    /// Reads and writes the headers of requests.
    fn headers(&self) -> Box<dyn Headers>;

    /// Makes a client of the store at `address`.
    fn store(&self, address: SocketAddr) -> Self::Store;

    /// Where things lie in the store.
    fn keys(&self) -> StoreKeys;

    /// Decodes the operator's configuration.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] when nothing of it can be used.
    fn decode_configuration(&self, value: &[u8]) -> Result<Configuration, DecodeError>;

    /// Decodes the entry of a backend server.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] when the entry names no server that could be used.
    fn decode_engine(&self, id: &str, value: &[u8]) -> Result<EngineEntry, DecodeError>;

    /// Decodes the operator's order to move a backend to a version.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] when the order cannot be read.
    fn decode_rollout_order(&self, value: &[u8]) -> Result<RolloutOrder, DecodeError>;

    /// Encodes how a move stands.
    fn encode_rollout_status(&self, status: &RolloutStatus) -> Vec<u8>;

    /// Decodes how a move stands.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] when the status cannot be read.
    fn decode_rollout_status(&self, value: &[u8]) -> Result<RolloutStatus, DecodeError>;
}

/// Reads and writes the headers of requests and answers.
pub trait Headers: Send + Sync + 'static {
    /// Reads what the gateway needs of a request's headers.
    fn read_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Replaces in a request's headers what only the gateway may say.
    fn write_request(&self, headers: &mut HeaderMap, outgoing: &OutgoingHead<'_>);

    /// Reads what the gateway needs of an answer's headers.
    fn read_response(&self, headers: &HeaderMap) -> ResponseHead;
}

/// What the gateway needs of a request's headers.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RequestHead {
    /// The caller's id of this request.
    pub id: Option<CompactString>,
    /// How long the caller will wait.
    pub time_limit: Option<Millis>,
    /// The caller's key; none where there is no single readable one.
    pub key: Option<CompactString>,
    /// The prompt's lengths.
    pub prompt: Option<Prompt>,
    /// The last event that the caller has of an earlier answer.
    pub last_event: Option<u64>,
}

/// The lengths of a prompt and its answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The prompt, in tokens.
    pub tokens: u32,
    /// The longest answer, in tokens.
    pub max_output: u32,
    /// The caller's guess at the answer's length, in tokens.
    pub expected_output: Option<u32>,
    /// The prompt's parts in order.
    pub parts: Vec<Part>,
}

/// What the gateway says in a request's headers.
#[derive(Debug, Clone, Copy)]
pub struct OutgoingHead<'a> {
    /// The time that is left for the request.
    pub time_left: Millis,
    /// The server that must run it.
    pub engine: &'a EngineId,
    /// The caller's organisation.
    pub organisation: Option<&'a OrganisationId>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

/// What the gateway needs of an answer's headers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// The id of the request that is answered.
    pub id: Option<CompactString>,
    /// Whether the server says that it did not run the request.
    pub not_run: bool,
    /// Whether the answer is signed and not re-encoded, as each of the servers' own is.
    pub is_authentic: bool,
    /// Whether the server says that it leaves.
    pub is_draining: bool,
    /// How long the server wants nothing from this host, as it says.
    pub retry_after: Option<Millis>,
}

/// Where things lie in the store.
#[derive(Debug, Clone)]
pub struct StoreKeys {
    /// The operator's configuration.
    pub configuration_key: CompactString,
    /// What the keys of all backend servers begin with; their ids follow.
    pub engine_prefix: CompactString,
    /// What the keys of all orders to move begin with; the backends' names follow.
    pub rollout_order_prefix: CompactString,
    /// What the keys of all answers to them begin with.
    pub rollout_status_prefix: CompactString,
    /// What the keys of the system's own hosts begin with; their names follow.
    pub host_prefix: CompactString,
}

/// An operator's order to move a backend's traffic to a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The backend.
    pub backend: BackendName,
    /// The version to move to.
    pub to: VersionId,
    /// How long the move may take.
    pub within: Millis,
}

/// How a move stands, as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The backend.
    pub backend: BackendName,
    /// The version moved to.
    pub to: VersionId,
    /// How the move stands.
    pub state: MoveState,
}

/// A value that cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{subject}: {problem}")]
pub struct DecodeError {
    /// What was read.
    pub subject: CompactString,
    /// What is wrong with it, with the field's name.
    pub problem: CompactString,
}

/// An item of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its key.
    pub key: CompactString,
    /// Its value.
    pub value: Bytes,
    /// The store's revision at its last change.
    pub revision: u64,
}

/// A change in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An item was written.
    Put(Item),
    /// An item was removed.
    Removed {
        /// Its key.
        key: CompactString,
        /// The store's revision at its removal.
        revision: u64,
    },
}

impl Change {
    /// The store's revision at the change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
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
    /// The store's revision.
    pub revision: u64,
}

/// Names a lease of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub struct LeaseId(pub u64);

/// Why a call to the store did not succeed.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum StoreError {
    /// The store did nothing.
    #[display("the store did nothing: {_0}")]
    NotApplied(#[error(not(source))] CompactString),
    /// No answer came; the store may have done it, or may do it later.
    #[display("the store did not answer: {_0}")]
    Unknown(#[error(not(source))] CompactString),
    /// The history that a watch asked for is gone.
    #[display("the store no longer has this history")]
    HistoryGone,
    /// The condition of a write does not hold.
    #[display("the condition of the write does not hold")]
    Conflict,
    /// The lease has ended.
    #[display("the lease has ended")]
    NoSuchLease,
    /// The answer cannot be read.
    #[display("the store's answer cannot be read: {_0}")]
    Unreadable(#[error(not(source))] CompactString),
}

/// The deployment's store.
pub trait Store: Send + 'static {
    /// Lists the items whose keys begin with `prefix`, after the key `after`.
    fn list(&mut self, prefix: &str, after: &str) -> impl Future<Output = Result<Page, StoreError>> + Send;

    /// Waits up to `wait` for changes after a revision; gives them and the revision to go on from.
    fn watch(
        &mut self,
        prefix: &str,
        after: u64,
        wait: Millis,
    ) -> impl Future<Output = Result<(Vec<Change>, u64), StoreError>> + Send;

    /// Writes an item if it has the expected revision; 0 expects that there is none.
    ///
    /// Without an expectation it writes in any case. Gives the new revision.
    fn put(
        &mut self,
        key: &str,
        value: &[u8],
        expected: Option<u64>,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Takes out a lease.
    fn grant_lease(&mut self, ttl: Millis) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease.
    fn renew_lease(&mut self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Ends a lease, and with it the items that hang on it.
    fn revoke_lease(&mut self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;
}
