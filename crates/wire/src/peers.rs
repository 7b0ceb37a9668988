//! Datagrams between gateway hosts.

use carawayseam_types::{
    BackendName, EngineId, EngineKey, HostId, Incarnation, Millis, OrganisationId, RejectionLimit,
    RequestRate, StoreEra, StoreRevision,
};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::{Datagram, GossipRound, Heartbeat, HeldSlots, ServerPaces, ServerSamples, SlotClaim, SlotLoad};

/// A datagram between gateway hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A heartbeat.
    Heartbeat(Heartbeat),
    /// Requests tokens from the owner of an organisation's quota account.
    QuotaRequest(QuotaRequest),
    /// Requests a slot of a backend server from the owner of its slots.
    SlotRequest {
        /// The requesting host.
        host: HostId,
        /// The id of the request, which the response repeats.
        request_id: u64,
        /// The server.
        engine: EngineKey,
    },
    /// Requests the changes of the store after a revision.
    ChangesRequest {
        /// The requesting host.
        host: HostId,
        /// The id of the request, which the response repeats.
        request_id: u64,
        /// The revision.
        after: StoreRevision,
    },
    /// Requests a chunk of an item that is too large for a datagram.
    ItemChunkRequest {
        /// The requesting host.
        host: HostId,
        /// The id of the request, which the response repeats.
        request_id: u64,
        /// The item's key.
        key: CompactString,
        /// The revision of its change.
        revision: StoreRevision,
        /// The offset of the chunk in bytes.
        offset: u32,
    },
    /// Responds to a request.
    Response {
        /// The id of the request.
        request_id: u64,
        /// The result of the request.
        response: PeerResponse,
    },
    /// Releases a slot.
    SlotReturn {
        /// The host that held the slot.
        host: HostId,
        /// The server.
        engine: EngineKey,
    },
    /// Returns unused tokens.
    QuotaReturn {
        /// The organisation that owns the tokens.
        organisation: OrganisationId,
        /// The number of tokens.
        tokens: u32,
    },
    /// Announces rate limits that backend servers reported.
    ServerLimits {
        /// The announcing host.
        host: HostId,
        /// The limits.
        limits: Vec<ServerLimitUpdate>,
    },
    /// Requests a permit to send one request to a backend server with a rate limit from the owner of the
    /// server's permits.
    PermitRequest {
        /// The requesting host.
        host: HostId,
        /// The id of the request, which the response repeats.
        request_id: u64,
        /// The server.
        engine: EngineId,
        /// The limit that the requesting host knows.
        limit: RequestRate,
    },
    /// Returns an unused permit.
    PermitReturn {
        /// The server.
        engine: EngineId,
    },
    /// Announces how many responses were slow during rollouts.
    RolloutPace {
        /// The announcing host.
        host: HostId,
        /// The counts of each rollout.
        counts: Vec<PaceCounts>,
    },
    /// Requests a page of all items of the store that a host knows.
    ItemsRequest {
        /// The requesting host.
        host: HostId,
        /// The id of the request, which the response repeats.
        request_id: u64,
        /// The key after which the page begins; empty for the first page.
        after: CompactString,
    },
    /// Announces parts of prompts that were in crashes of backend servers, and answers on them.
    PromptParts {
        /// The crashes.
        crashes: Vec<PartCrash>,
        /// The answers.
        answers: Vec<PartAnswer>,
    },
    /// Asks which backend servers a host reaches directly, so that it can relay connections to them.
    ReachRequest {
        /// The requesting host.
        host: HostId,
        /// The id of the request, which the response repeats.
        request_id: u64,
        /// The servers that the requesting host does not reach.
        engines: Vec<EngineKey>,
    },
    /// Announces how many rejections in a second brittle backend servers bear.
    BrittleServers {
        /// The announcing host.
        host: HostId,
        /// The limits.
        limits: Vec<ServerLimitUpdate<RejectionLimit>>,
    },
    /// Announces that a brittle backend server rejected a request.
    BrittleRejection {
        /// The server.
        engine: EngineId,
    },
    /// Announces the responses of both versions on each route during a rollout.
    RolloutRoutes(RolloutRoutes),
    /// Announces crashes of backend servers under contents of requests.
    ContentCrashes(Vec<ContentCrash>),
    /// Tells hosts that the sender does not hear them, in case that they hear the sender.
    UnheardHosts {
        /// The sender.
        host: HostId,
        /// The hosts that it does not hear.
        unheard: Vec<HostId>,
    },
    /// A datagram of the membership protocol.
    Membership(Datagram),
    /// A round of gossip.
    GossipRound(GossipRound),
    /// Requests a slot of a backend server for a request of a tier.
    SlotClaim(SlotClaim),
    /// Confirms which slots a host holds.
    HeldSlots(HeldSlots),
    /// Requests reports that were announced before the sender started.
    ReportsRequest {
        /// The requesting host.
        host: HostId,
    },
    /// Announces backend servers that may have restarted and bear few requests while they warm up.
    WarmUps {
        /// The announcing host.
        host: HostId,
        /// The servers.
        servers: Vec<ServerWarmUpUpdate>,
    },
    /// Samples of the paces of backend servers, for the owner of their slots.
    ServerSamples(ServerSamples),
    /// Estimates of the paces of backend servers by the owners of their slots.
    ServerPaces(ServerPaces),
}

/// A backend server that may have restarted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerWarmUpUpdate {
    /// The server.
    pub engine: EngineId,
    /// The start in the entry that the announcing host knows, which is earlier than the restart.
    pub started: Option<u64>,
    /// How much longer the server warms up.
    pub remaining: Millis,
}

/// A crash of a backend server under a content, which any host may announce that knows of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContentCrash {
    /// The digest of the content.
    pub content: u128,
    /// The host that observed the crash.
    pub host: HostId,
    /// Distinguishes the crashes that the host observed.
    pub number: u32,
    /// The time since the crash.
    pub age: Millis,
    /// Whether the content has had a complete response since.
    pub is_cleared: bool,
}

/// A process's counts of responses during one rollout, of some or all routes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRoutes {
    /// The host of the process that counted, which another host may announce after its end.
    pub host: HostId,
    /// The process that counted; its counts never decrease.
    pub incarnation: Incarnation,
    /// The backend.
    pub backend: BackendName,
    /// The revision of the rollout order in the store.
    pub revision: StoreRevision,
    /// Whether the announcing host has found that the new version is worse.
    pub is_worse: bool,
    /// The counts of each route.
    pub routes: Vec<RouteResponses>,
}

/// Counts of both versions' responses on one route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteResponses {
    /// The route's name, or its beginning; empty for several rare routes of one kind.
    pub route: CompactString,
    /// Whether the route's responses are streams.
    pub is_stream: bool,
    /// Whether a request that may have run can be sent again.
    pub is_retryable: bool,
    /// The new version.
    pub new: VersionResponses,
    /// The old versions.
    pub old: VersionResponses,
}

/// Counts of one version's responses on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionResponses {
    /// All responses.
    pub all: u32,
    /// Failures.
    pub failed: u32,
    /// Failures, and responses that came far too late.
    pub bad: u32,
    /// Responses whose time was rated.
    pub timed: u32,
    /// Slow and very slow responses.
    pub slow: u32,
    /// Very slow responses.
    pub very_slow: u32,
}

/// A crash of a backend server under a request with a part of a prompt, before its answer had begun.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrash {
    /// The id of the part.
    pub part: u64,
    /// The part's position in the prompt.
    pub depth: u8,
    /// The id of the crash.
    pub crash: u32,
    /// The time since the crash.
    pub age: Millis,
    /// The digest of the organisation's name, if the request had an organisation.
    pub organisation: Option<u32>,
    /// The weight of the crash as evidence, in hundredths.
    pub weight: u16,
}

/// An answer on a part of a prompt that was in a crash before.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartAnswer {
    /// The id of the part.
    pub part: u64,
    /// The time since the last answer began.
    pub begun: Millis,
    /// The time since the last complete answer began; `None` if none was complete.
    pub complete: Option<Millis>,
}

/// A host's counts of slow responses during one rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceCounts {
    /// The backend.
    pub backend: BackendName,
    /// The revision of the rollout order in the store.
    pub revision: StoreRevision,
    /// Responses of the new version.
    pub new_all: u32,
    /// Slow and very slow responses of the new version.
    pub new_slow: u32,
    /// Very slow responses of the new version.
    pub new_very_slow: u32,
    /// Responses of the old versions.
    pub old_all: u32,
    /// Slow and very slow responses of the old versions.
    pub old_slow: u32,
    /// Very slow responses of the old versions.
    pub old_very_slow: u32,
}

/// A limit that a backend server reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLimitUpdate<V = RequestRate> {
    /// The server.
    pub engine: EngineId,
    /// The version of the limit; a later one supersedes an earlier one.
    pub version: u64,
    /// The limit; `None` after it ended.
    pub limit: Option<V>,
}

/// A request for the tokens of one caller's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// The requesting host.
    pub host: HostId,
    /// The id of the request, which the response repeats.
    pub request_id: u64,
    /// The organisation whose quota is charged.
    pub organisation: OrganisationId,
    /// The number of tokens.
    pub tokens: u32,
    /// The maximum time that the caller's request can wait for the tokens.
    pub max_wait: Millis,
}

/// The result of a request between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The result of a [`QuotaRequest`].
    Quota(QuotaOutcome),
    /// The result of a [`PeerMessage::SlotRequest`].
    Slot(SlotOutcome),
    /// The changes of the store; `None` if the host does not have all changes after the revision.
    Changes(Option<StoreChanges>),
    /// A chunk of an item; `None` if the host no longer has the item.
    Chunk(Option<ItemChunk>),
    /// The result of a [`PeerMessage::PermitRequest`].
    Permit(PermitOutcome),
    /// A page of items; `None` if the host's state is not confirmed.
    Items(Option<ItemsPage>),
    /// The requested changes are of another era of the store than the one that the host knows.
    OtherEra(StoreEra),
    /// The requested servers that the host reaches directly.
    Reach(Vec<EngineKey>),
    /// The result of a [`SlotClaim`].
    SlotLoad(SlotLoad),
}

/// A page of the store's items, in the order of their keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemsPage {
    /// The revision up to which the host knows all changes.
    pub revision: StoreRevision,
    /// The time since the host last confirmed that the store had no later changes.
    pub age: Millis,
    /// Whether the page ends with the last item.
    pub is_last: bool,
    /// The items, each as its last change.
    pub items: Vec<StoreChange>,
}

/// A chunk of an item's value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemChunk {
    /// The length of the complete value in bytes.
    pub total: u32,
    /// The bytes of the chunk.
    pub bytes: Vec<u8>,
}

/// The changes of the store known to a host, of the era that was requested.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreChanges {
    /// The revision up to which the changes are complete.
    pub end_revision: u64,
    /// Whether the host knows no later changes.
    pub is_complete: bool,
    /// The time since the host last confirmed that the store had no later changes.
    pub age: Millis,
    /// The remaining time in which missing entries of backend servers are kept after an outage of the store.
    pub removal_grace: Millis,
    /// The changes in order.
    pub changes: Vec<StoreChange>,
}

/// One change in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreChange {
    /// The item's key.
    pub key: CompactString,
    /// The revision of the change.
    pub revision: u64,
    /// The kind of change.
    pub kind: StoreChangeKind,
}

/// The kind of change of an item in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreChangeKind {
    /// The item was written.
    Put(Vec<u8>),
    /// The item was written and is too large for a datagram.
    PutLarge,
    /// The item was removed.
    Removed,
}

/// The result of a slot request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotOutcome {
    /// The requesting host holds the slot until it returns it.
    Granted,
    /// No slot is free.
    Full,
    /// The host does not know the server, so it does not manage its slots.
    NotOwner,
}

/// The result of a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitOutcome {
    /// The requesting host may send one request.
    Granted,
    /// No permit is available; one may be after this time.
    Refused(Millis),
    /// The host does not own the server's permits.
    NotOwner,
}

/// The result of a [`QuotaRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaOutcome {
    /// The tokens are reserved and available after this time.
    Granted(Millis),
    /// The tokens are not reserved; they would be available after this time.
    Refused(Millis),
    /// The host does not own the account or does not know the organisation.
    NotOwner,
}
