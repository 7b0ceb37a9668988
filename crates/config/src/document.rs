//! The checked document.

use std::net::SocketAddr;

use carawayseam_types::{
    BackendName, Bytes, Digest, EngineId, EnvironmentId, Millis, OrganisationId, Permille, RolloutId,
    RouteName, Tier, TierName, Tokens, VersionId, ZoneId,
};
use serde::{Deserialize, Serialize};

/// The checked document of one environment; every name that it uses is declared in it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The environment's name.
    pub environment: EnvironmentId,
    /// The digest of the YAML text.
    pub digest: Digest,
    /// The availability zones.
    pub zones: Vec<ZoneId>,
    /// The tiers, highest first; a tier's rank is its index.
    pub tiers: Vec<TierName>,
    /// The organisations.
    pub organisations: Vec<OrganisationSpec>,
    /// The models and plain services.
    pub backends: Vec<Backend>,
    /// The backend servers.
    pub engines: Vec<EngineSpec>,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The rollouts of other versions.
    pub moves: Vec<RolloutSpec>,
    /// Limits that apply to the whole environment.
    pub limits: Limits,
}

impl Document {
    /// Returns the organisation with this name.
    #[must_use]
    pub fn organisation(&self, name: &OrganisationId) -> Option<&OrganisationSpec> {
        self.organisations.iter().find(|org| org.name == *name)
    }

    /// Returns the route with this name.
    #[must_use]
    pub fn route(&self, name: &RouteName) -> Option<&RouteSpec> {
        self.routes.iter().find(|route| route.name == *name)
    }

    /// Returns the backend with this name.
    #[must_use]
    pub fn backend(&self, name: &BackendName) -> Option<&Backend> {
        self.backends.iter().find(|backend| backend.name == *name)
    }

    /// Returns the engine with this name.
    #[must_use]
    pub fn engine(&self, name: &EngineId) -> Option<&EngineSpec> {
        self.engines.iter().find(|engine| engine.name == *name)
    }

    /// Returns the rank of the tier with this name.
    #[must_use]
    pub fn tier(&self, name: &TierName) -> Option<Tier> {
        self.tiers
            .iter()
            .position(|tier| tier == name)
            .map(|rank| Tier(rank as u8))
    }
}

/// An organisation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationSpec {
    /// The name.
    pub name: OrganisationId,
    /// The organisation's weight within a tier, relative to the other organisations; at least 1.
    pub share: u32,
    /// The tiers that the organisation's callers may request; the first is the default.
    pub tiers: Vec<Tier>,
}

/// The kind of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendKind {
    /// Model engines, which generate tokens.
    Model,
    /// Servers of a plain service, which respond to calls.
    Service,
}

/// A model or plain service, with its versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The name.
    pub name: BackendName,
    /// The kind.
    pub kind: BackendKind,
    /// The version that serves while no rollout is in progress.
    pub version: VersionId,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// The name.
    pub name: EngineId,
    /// The model or service that the server belongs to.
    pub backend: BackendName,
    /// The version that the server is to run.
    pub version: VersionId,
    /// The server's availability zone.
    pub zone: ZoneId,
    /// The address that the server listens on.
    pub address: SocketAddr,
    /// Whether the server rejects orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// The maximum number of concurrent requests; an upper bound of the adaptive limit.
    pub max_concurrency: u32,
}

/// A route that callers can request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// The name.
    pub name: RouteName,
    /// The backend that serves the route.
    pub backend: BackendName,
    /// The operation of a plain service; the route's name by default.
    pub operation: String,
    /// Whether a call may run more than once.
    pub idempotent: bool,
    /// The maximum length of a response in tokens; 0 for plain services.
    pub max_output: Tokens,
    /// The maximum deadline that a caller may request.
    pub max_deadline: Millis,
}

/// The outcome of a rollout whose version got too little traffic to be judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnNoEvidence {
    /// The rollout is finished, unless there is evidence against the version.
    Finish,
    /// The rollout is rolled back.
    #[serde(rename = "take-back")]
    RollBack,
}

/// A rollout of a backend's traffic from one version to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "MoveSpec")]
pub struct RolloutSpec {
    /// The name.
    pub name: RolloutId,
    /// The model or service.
    pub backend: BackendName,
    /// The version that serves now.
    pub from: VersionId,
    /// The version to roll out.
    pub to: VersionId,
    /// The maximum duration of the rollout, from its promotion.
    pub within: Millis,
    /// The canary share of traffic that the new version gets first.
    pub first_share: Permille,
    /// The outcome without enough evidence.
    pub on_no_evidence: OnNoEvidence,
}

/// Limits that apply to the whole environment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a request body.
    pub max_body: Bytes,
    /// The maximum number of retries, relative to first attempts.
    pub retry_budget: Permille,
    /// The maximum share of a backend's engines that may be ejected at once.
    pub max_ejected: Permille,
    /// The timeout of the first token, after which the attempt counts as unresponsive.
    pub first_token_timeout: Millis,
    /// The timeout between tokens, after which the attempt counts as unresponsive.
    pub token_gap_timeout: Millis,
    /// How long the claim of a call is kept that must not be repeated.
    pub claim_ttl: Millis,
}
