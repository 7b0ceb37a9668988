//! The document as parsed from YAML, before it is checked against the rules.

use std::net::SocketAddr;

use carawayseam_types::{
    BackendName, Bytes, EngineId, EnvironmentId, Millis, OrganisationId, Permille, RolloutId, RouteName,
    TierName, Tokens, VersionId, ZoneId,
};
use compact_str::CompactString;
use serde::Deserialize;
use serde_with::{DisplayFromStr, serde_as};

use crate::{Backend, BackendKind, EngineSpec, Limits, OnNoEvidence, RolloutSpec, RouteSpec};

/// A document that was parsed but not checked.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawDocument {
    pub(crate) environment: EnvironmentId,
    pub(crate) zones: Vec<ZoneId>,
    pub(crate) tiers: Vec<TierName>,
    pub(crate) organisations: Vec<RawOrganisation>,
    pub(crate) backends: Vec<RawBackend>,
    pub(crate) engines: Vec<RawEngine>,
    pub(crate) routes: Vec<RawRoute>,
    #[serde(default)]
    pub(crate) moves: Vec<RawRollout>,
    #[serde(default)]
    pub(crate) limits: RawLimits,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawOrganisation {
    pub(crate) name: OrganisationId,
    #[serde(default = "one")]
    pub(crate) share: u32,
    pub(crate) tiers: Vec<TierName>,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawBackend {
    pub(crate) name: BackendName,
    pub(crate) kind: BackendKind,
    pub(crate) version: VersionId,
}

impl RawBackend {
    pub(crate) fn into_backend(self) -> Backend {
        Backend {
            name: self.name,
            kind: self.kind,
            version: self.version,
        }
    }
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawEngine {
    pub(crate) name: EngineId,
    pub(crate) backend: BackendName,
    pub(crate) version: VersionId,
    pub(crate) zone: ZoneId,
    pub(crate) address: SocketAddr,
    #[serde(default)]
    pub(crate) checks_fencing: bool,
    #[serde(default = "default_concurrency")]
    pub(crate) max_concurrency: u32,
}

impl RawEngine {
    pub(crate) fn into_engine(self) -> EngineSpec {
        EngineSpec {
            name: self.name,
            backend: self.backend,
            version: self.version,
            zone: self.zone,
            address: self.address,
            checks_fencing: self.checks_fencing,
            max_concurrency: self.max_concurrency,
        }
    }
}

#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawRoute {
    pub(crate) name: RouteName,
    pub(crate) backend: BackendName,
    pub(crate) operation: Option<CompactString>,
    pub(crate) idempotent: bool,
    #[serde(default)]
    pub(crate) max_output: Tokens,
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "default_deadline")]
    pub(crate) max_deadline: Millis,
}

impl RawRoute {
    pub(crate) fn into_route(self) -> RouteSpec {
        let operation = self.operation.as_deref().unwrap_or(self.name.as_str());
        RouteSpec {
            operation: operation.to_owned(),
            name: self.name,
            backend: self.backend,
            idempotent: self.idempotent,
            max_output: self.max_output,
            max_deadline: self.max_deadline,
        }
    }
}

#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawRollout {
    pub(crate) name: RolloutId,
    pub(crate) backend: BackendName,
    pub(crate) from: VersionId,
    pub(crate) to: VersionId,
    #[serde_as(as = "DisplayFromStr")]
    pub(crate) within: Millis,
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "default_first_share")]
    pub(crate) first_share: Permille,
    #[serde(default = "default_no_evidence")]
    pub(crate) on_no_evidence: OnNoEvidence,
}

impl RawRollout {
    pub(crate) fn into_rollout(self) -> RolloutSpec {
        RolloutSpec {
            name: self.name,
            backend: self.backend,
            from: self.from,
            to: self.to,
            within: self.within,
            first_share: self.first_share,
            on_no_evidence: self.on_no_evidence,
        }
    }
}

#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct RawLimits {
    #[serde_as(as = "DisplayFromStr")]
    pub(crate) max_body: Bytes,
    #[serde_as(as = "DisplayFromStr")]
    pub(crate) retry_budget: Permille,
    #[serde_as(as = "DisplayFromStr")]
    pub(crate) max_ejected: Permille,
    #[serde_as(as = "DisplayFromStr")]
    pub(crate) first_token_timeout: Millis,
    #[serde_as(as = "DisplayFromStr")]
    pub(crate) token_gap_timeout: Millis,
    #[serde_as(as = "DisplayFromStr")]
    pub(crate) claim_ttl: Millis,
}

impl RawLimits {
    pub(crate) const fn into_limits(self) -> Limits {
        Limits {
            max_body: self.max_body,
            retry_budget: self.retry_budget,
            max_ejected: self.max_ejected,
            first_token_timeout: self.first_token_timeout,
            token_gap_timeout: self.token_gap_timeout,
            claim_ttl: self.claim_ttl,
        }
    }
}

const DEFAULT_MAX_BODY: Bytes = Bytes(256 * 1_024);
const DEFAULT_RETRY_BUDGET: Permille = Permille::new(100);
const DEFAULT_MAX_EJECTED: Permille = Permille::new(300);
const DEFAULT_FIRST_TOKEN_TIMEOUT: Millis = Millis::from_secs(10);
const DEFAULT_TOKEN_GAP_TIMEOUT: Millis = Millis::from_secs(3);
const DEFAULT_CLAIM_TTL: Millis = Millis::from_secs(24 * 60 * 60);
const DEFAULT_DEADLINE: Millis = Millis::from_secs(120);
const DEFAULT_CONCURRENCY: u32 = 32;
const DEFAULT_FIRST_SHARE: Permille = Permille::new(10);

impl Default for RawLimits {
    fn default() -> Self {
        Self {
            max_body: DEFAULT_MAX_BODY,
            retry_budget: DEFAULT_RETRY_BUDGET,
            max_ejected: DEFAULT_MAX_EJECTED,
            first_token_timeout: DEFAULT_FIRST_TOKEN_TIMEOUT,
            token_gap_timeout: DEFAULT_TOKEN_GAP_TIMEOUT,
            claim_ttl: DEFAULT_CLAIM_TTL,
        }
    }
}

const fn one() -> u32 {
    1
}

const fn default_concurrency() -> u32 {
    DEFAULT_CONCURRENCY
}

const fn default_deadline() -> Millis {
    DEFAULT_DEADLINE
}

const fn default_first_share() -> Permille {
    DEFAULT_FIRST_SHARE
}

const fn default_no_evidence() -> OnNoEvidence {
    OnNoEvidence::Finish
}
