//! The checked document.

use std::net::SocketAddr;

use carawayseam_types::{
    BackendName, Bytes, Digest, EngineId, EnvironmentId, Millis, OrganisationId, Permille, RolloutId,
    RouteName, Tier, TierName, Tokens, VersionId, ZoneId,
};
use serde::{Deserialize, Serialize};

/// One environment, checked: every name it uses is declared in it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// The environment's name.
    pub environment: EnvironmentId,
    /// The digest of the YAML text it was read from.
    pub digest: Digest,
    /// The availability zones.
    pub zones: Vec<ZoneId>,
    /// The tiers, highest first; a tier's rank is its place here.
    pub tiers: Vec<TierName>,
    /// The organisations.
    pub organisations: Vec<OrganisationSpec>,
    /// The models and plain services.
    pub backends: Vec<Backend>,
    /// The backend servers.
    pub engines: Vec<EngineSpec>,
    /// The routes.
    pub routes: Vec<RouteSpec>,
    /// The moves between versions.
    pub moves: Vec<RolloutSpec>,
    /// Limits for the whole environment.
    pub limits: Limits,
}

impl Document {
    /// The organisation of that name.
    #[must_use]
    pub fn organisation(&self, name: &OrganisationId) -> Option<&OrganisationSpec> {
        self.organisations.iter().find(|org| org.name == *name)
    }

    /// The route of that name.
    #[must_use]
    pub fn route(&self, name: &RouteName) -> Option<&RouteSpec> {
        self.routes.iter().find(|route| route.name == *name)
    }

    /// The backend of that name.
    #[must_use]
    pub fn backend(&self, name: &BackendName) -> Option<&Backend> {
        self.backends.iter().find(|backend| backend.name == *name)
    }

    /// The engine of that name.
    #[must_use]
    pub fn engine(&self, name: &EngineId) -> Option<&EngineSpec> {
        self.engines.iter().find(|engine| engine.name == *name)
    }

    /// The rank of a tier's name.
    #[must_use]
    pub fn tier(&self, name: &TierName) -> Option<Tier> {
        self.tiers
            .iter()
            .position(|tier| tier == name)
            .map(|rank| Tier(rank as u8))
    }
}

/// An organisation and its share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrganisationSpec {
    /// Its name.
    pub name: OrganisationId,
    /// Its weight beside the other organisations in a tier; at least 1.
    pub share: u32,
    /// The tiers its callers may name; the first is the default.
    pub tiers: Vec<Tier>,
}

/// Whether a backend generates tokens or answers plain calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendKind {
    /// Model engines.
    Model,
    /// Servers of a plain service.
    Service,
}

/// A model or plain service, with its versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Its name.
    pub name: BackendName,
    /// What it is.
    pub kind: BackendKind,
    /// The version that serves when no move is under way.
    pub version: VersionId,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Its name.
    pub name: EngineId,
    /// The model or service it serves.
    pub backend: BackendName,
    /// The version it is to run.
    pub version: VersionId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it refuses orders with an old fencing token.
    pub checks_fencing: bool,
    /// The most requests it may run at once; the adaptive limit stays below.
    pub max_concurrency: u32,
}

/// A route that callers name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteSpec {
    /// Its name.
    pub name: RouteName,
    /// Where it leads.
    pub backend: BackendName,
    /// The operation asked of a plain service; the route's name if not given.
    pub operation: String,
    /// Whether a call may run twice without harm.
    pub idempotent: bool,
    /// The longest answer, in tokens; 0 for plain services.
    pub max_output: Tokens,
    /// The longest deadline that a caller may ask for.
    pub max_deadline: Millis,
}

/// What becomes of a move whose version saw too little traffic to be judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OnNoEvidence {
    /// Finish, if nothing spoke against the version.
    Finish,
    /// Take it back.
    TakeBack,
}

/// A move of a backend's traffic from one version to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "MoveSpec")]
pub struct RolloutSpec {
    /// Its name.
    pub name: RolloutId,
    /// The model or service.
    pub backend: BackendName,
    /// The version that serves now.
    pub from: VersionId,
    /// The version to move to.
    pub to: VersionId,
    /// How long the move may take from its promotion on.
    pub within: Millis,
    /// The first share of traffic that the new version gets.
    pub first_share: Permille,
    /// What becomes of it without enough evidence.
    pub on_no_evidence: OnNoEvidence,
}

/// Limits for the whole environment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest request body.
    pub max_body: Bytes,
    /// Retries allowed as a share of first attempts.
    pub retry_budget: Permille,
    /// The most engines of a backend that may be ejected at once.
    pub max_ejected: Permille,
    /// The longest wait for a first token before the attempt counts as silent.
    pub first_token_timeout: Millis,
    /// The longest gap between tokens before the attempt counts as silent.
    pub token_gap_timeout: Millis,
    /// How long a claim on an unrepeatable call is kept.
    pub claim_ttl: Millis,
}
