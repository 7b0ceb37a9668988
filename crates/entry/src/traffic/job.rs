//! One request, checked against the document.

use std::sync::Arc;

use carawayseam_config::{BackendKind, Document, RouteSpec};
use carawayseam_external::engine::{estimate_tokens, prefix_digest};
use carawayseam_scheduler::{Origin, Request};
use carawayseam_types::{
    BackendName, Digest, EnvironmentId, Millis, OrganisationId, RequestId, RequestSeq, RouteName, Tier,
    TierName, Tokens, VersionId,
};
use serde::Deserialize;

use super::refusal::InvalidRequest;

/// The part of a prompt by which prefix caches tell prompts apart.
const PREFIX_TOKENS: Tokens = Tokens(
    (carawayseam_external::engine::PREFIX_BYTES / carawayseam_external::engine::BYTES_PER_TOKEN) as u32,
);

/// A caller's request as it comes.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RawRequest {
    pub(crate) organisation: OrganisationId,
    pub(crate) tier: Option<TierName>,
    pub(crate) deadline_ms: Option<u64>,
    pub(crate) request_id: Option<RequestId>,
    /// Whether the caller may have sent this request id before.
    #[serde(default)]
    pub(crate) repeat: bool,
    #[serde(default)]
    pub(crate) stream: bool,
    pub(crate) prompt: Option<String>,
    #[serde(default)]
    pub(crate) body: serde_json::Value,
}

/// What a request asks for.
#[derive(Debug, Clone)]
pub(crate) enum Work {
    /// Tokens of a model.
    Model { prompt: Arc<str> },
    /// A call that may run twice without harm.
    Call {
        operation: String,
        body: serde_json::Value,
    },
    /// A call that may not be repeated.
    UnrepeatableCall {
        operation: String,
        body: serde_json::Value,
        /// Whether the caller may have sent it before.
        repeat: bool,
    },
}

/// A checked request.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) seq: RequestSeq,
    /// The caller's id, or one of this host's own; log lines name it.
    pub(crate) request_id: RequestId,
    pub(crate) origin: Origin,
    pub(crate) environment: EnvironmentId,
    pub(crate) organisation: OrganisationId,
    pub(crate) tier: Tier,
    pub(crate) route: RouteName,
    pub(crate) backend: BackendName,
    /// The version a peer picked; callers' requests get theirs from the gate.
    pub(crate) version: Option<VersionId>,
    pub(crate) max_output: Tokens,
    pub(crate) deadline: Millis,
    pub(crate) content: Digest,
    pub(crate) claim_ttl: Millis,
    pub(crate) work: Work,
}

impl Job {
    /// Checks a caller's request against the document in force.
    pub(crate) fn check(
        seq: RequestSeq,
        now: Millis,
        document: &Document,
        route: &RouteName,
        raw: RawRequest,
    ) -> Result<Self, InvalidRequest> {
        let spec = document
            .route(route)
            .ok_or_else(|| InvalidRequest::UnknownRoute(route.clone()))?;
        let tier = check_tier(document, &raw)?;
        let within = check_deadline(spec, raw.deadline_ms)?;
        let organisation = raw.organisation.clone();
        let request_id = raw.request_id.clone().unwrap_or_else(|| own_id(seq));
        let work = check_work(document, spec, raw)?;
        let content = match &work {
            Work::Model { prompt } => Digest::of(prompt.as_bytes()),
            Work::Call { operation, body, .. } | Work::UnrepeatableCall { operation, body, .. } => {
                Digest::of(format!("{operation}\n{body}").as_bytes())
            }
        };
        Ok(Self {
            seq,
            request_id,
            origin: Origin::Caller,
            environment: document.environment.clone(),
            organisation,
            tier,
            route: route.clone(),
            backend: spec.backend.clone(),
            version: None,
            max_output: spec.max_output,
            deadline: now + within,
            content,
            claim_ttl: document.limits.claim_ttl,
            work,
        })
    }

    /// The request as the scheduler sees it.
    pub(crate) fn to_request(&self, delivered: Tokens) -> Request {
        let (prefix, prefix_tokens, prompt_tokens) = match &self.work {
            Work::Model { prompt } => {
                let tokens = estimate_tokens(prompt);
                (prefix_digest(prompt), tokens.min(PREFIX_TOKENS), tokens)
            }
            Work::Call { .. } | Work::UnrepeatableCall { .. } => (Digest::default(), Tokens(0), Tokens(0)),
        };
        Request {
            seq: self.seq,
            origin: self.origin.clone(),
            organisation: self.organisation.clone(),
            tier: self.tier,
            route: self.route.clone(),
            backend: self.backend.clone(),
            version: self.version.clone().unwrap_or_else(unpicked),
            content: self.content,
            prefix,
            prefix_tokens,
            prompt_tokens,
            max_output: self.max_output,
            delivered,
            deadline: self.deadline,
            idempotent: !matches!(self.work, Work::UnrepeatableCall { .. }),
        }
    }
}

fn check_tier(document: &Document, raw: &RawRequest) -> Result<Tier, InvalidRequest> {
    let Some(organisation) = document.organisation(&raw.organisation) else {
        return Err(InvalidRequest::UnknownOrganisation(raw.organisation.clone()));
    };
    let Some(name) = &raw.tier else {
        // The document's check makes sure that each organisation has a tier.
        return Ok(organisation.tiers.first().copied().unwrap_or_default());
    };
    match document.tier(name) {
        Some(tier) if organisation.tiers.contains(&tier) => Ok(tier),
        Some(_) => Err(InvalidRequest::TierNotAllowed(name.clone())),
        None => Err(InvalidRequest::UnknownTier(name.clone())),
    }
}

fn check_deadline(spec: &RouteSpec, deadline_ms: Option<u64>) -> Result<Millis, InvalidRequest> {
    match deadline_ms {
        None => Err(InvalidRequest::NoDeadline),
        Some(0) => Err(InvalidRequest::DeadlineOutOfRange {
            longest: spec.max_deadline,
        }),
        Some(ms) if Millis(ms) > spec.max_deadline => Err(InvalidRequest::DeadlineOutOfRange {
            longest: spec.max_deadline,
        }),
        Some(ms) => Ok(Millis(ms)),
    }
}

fn check_work(document: &Document, spec: &RouteSpec, raw: RawRequest) -> Result<Work, InvalidRequest> {
    let kind = document.backend(&spec.backend).map(|backend| backend.kind);
    let operation = spec.operation.clone();
    match kind {
        Some(BackendKind::Model) => match raw.prompt {
            Some(prompt) if !prompt.is_empty() => Ok(Work::Model {
                prompt: prompt.into(),
            }),
            _ => Err(InvalidRequest::NoPrompt),
        },
        Some(BackendKind::Service) if spec.idempotent => Ok(Work::Call {
            operation,
            body: raw.body,
        }),
        Some(BackendKind::Service) if raw.request_id.is_none() => Err(InvalidRequest::NoRequestId),
        Some(BackendKind::Service) => Ok(Work::UnrepeatableCall {
            operation,
            body: raw.body,
            repeat: raw.repeat,
        }),
        None => Err(InvalidRequest::UnknownRoute(spec.name.clone())),
    }
}

/// Stands for the version until the gate has picked one.
fn unpicked() -> VersionId {
    "unpicked".parse().expect("letters make a valid name")
}

/// An id for a request that came without one; services only echo it.
pub(super) fn own_id(seq: RequestSeq) -> RequestId {
    let text = format!("own-{seq}");
    text.parse().expect("letters, a dash and digits make a valid id")
}
