//! Parts of a valid document that have no effect or contradict another part.

use carawayseam_types::{BackendName, Millis, Permille, TierName, Tokens, VersionId};
use compact_str::{CompactString, format_compact};
use serde::Serialize;

use crate::{BackendKind, Document};

/// The reason of a warning.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, derive_more::Display)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum DocumentWarning {
    /// No request reaches an engine, because neither its backend nor a move has its version.
    #[display("no request is sent to this engine: neither `{backend}` nor a move has version `{version}`")]
    UnusedVersion {
        /// The engine's backend.
        backend: BackendName,
        /// The engine's version.
        version: VersionId,
    },
    /// No route refers to a backend.
    #[display("no route refers to `{backend}`")]
    UnusedBackend {
        /// The backend.
        backend: BackendName,
    },
    /// No organisation may request a tier.
    #[display("no organisation may request tier `{tier}`")]
    UnusedTier {
        /// The tier.
        tier: TierName,
    },
    /// A field has no effect on backends of this kind.
    #[display("has no effect, because `{backend}` is a {}", kind_name(*backend_kind))]
    NoEffect {
        /// The backend.
        backend: BackendName,
        /// The backend's kind.
        backend_kind: BackendKind,
    },
    /// The retry budget is never refilled.
    #[display("a budget of 0 is never refilled: once its initial retries are used, no host may retry")]
    NoRetries,
    /// The share of engines that may be ejected is less than one engine for each backend.
    #[display(
        "{max_ejected} of {engines} engines, the most that a backend has, is less than one engine, so none is ejected"
    )]
    NoEjection {
        /// The configured share.
        max_ejected: Permille,
        /// The number of engines of the largest backend.
        engines: usize,
    },
    /// A deadline is shorter than a timeout, which therefore never expires.
    #[display(
        "the longest deadline {max_deadline} is shorter than `limits.{limit}` {timeout}, which never expires"
    )]
    DeadlineBelowTimeout {
        /// The route's maximum deadline.
        max_deadline: Millis,
        /// The name of the timeout.
        limit: &'static str,
        /// The timeout.
        timeout: Millis,
    },
    /// A claim may expire while its call still runs.
    #[display(
        "a claim expires after {claim_ttl}, when a call of `{route}` may still run: its deadline may be {max_deadline}"
    )]
    ClaimBelowDeadline {
        /// The configured time.
        claim_ttl: Millis,
        /// The route.
        route: CompactString,
        /// The route's maximum deadline.
        max_deadline: Millis,
    },
    /// A rollout's steps are shorter than the time between two reports of a host.
    #[display(
        "{steps} steps within {within} take {step_time} each; a host with little traffic reports every {report_interval}"
    )]
    ShortRollout {
        /// The time that the rollout may take.
        within: Millis,
        /// The number of steps.
        steps: u64,
        /// The planned time of a step.
        step_time: Millis,
        /// The time between two reports.
        report_interval: Millis,
    },
}

const fn kind_name(kind: BackendKind) -> &'static str {
    match kind {
        BackendKind::Model => "model",
        BackendKind::Service => "plain service",
    }
}

/// A warning with its field's path.
type FieldWarning = (CompactString, DocumentWarning);

/// Returns the warnings about a document, in the order of its sections.
pub(crate) fn warnings(document: &Document) -> Vec<FieldWarning> {
    let mut found = Vec::new();
    add_unused_names(document, &mut found);
    add_unused_versions(document, &mut found);
    add_routes(document, &mut found);
    add_limits(document, &mut found);
    found
}

fn add_unused_names(document: &Document, found: &mut Vec<FieldWarning>) {
    for (at, tier) in document.tiers.iter().enumerate() {
        let is_allowed = document
            .organisations
            .iter()
            .any(|org| org.tiers.iter().any(|allowed| usize::from(allowed.0) == at));
        if !is_allowed {
            let tier = tier.clone();
            found.push((
                format_compact!("tiers[{at}]"),
                DocumentWarning::UnusedTier { tier },
            ));
        }
    }
    for (at, backend) in document.backends.iter().enumerate() {
        if !document.routes.iter().any(|route| route.backend == backend.name) {
            let backend = backend.name.clone();
            let field = format_compact!("backends[{at}].name");
            found.push((field, DocumentWarning::UnusedBackend { backend }));
        }
    }
}

fn add_unused_versions(document: &Document, found: &mut Vec<FieldWarning>) {
    for (at, engine) in document.engines.iter().enumerate() {
        let backend = document.backend(&engine.backend);
        let is_current = backend.is_some_and(|backend| backend.version == engine.version);
        let is_moved = document.moves.iter().any(|rollout| {
            rollout.backend == engine.backend && [&rollout.from, &rollout.to].contains(&&engine.version)
        });
        if !is_current && !is_moved {
            let warning = DocumentWarning::UnusedVersion {
                backend: engine.backend.clone(),
                version: engine.version.clone(),
            };
            found.push((format_compact!("engines[{at}].version"), warning));
        }
        if engine.checks_fencing && backend.is_some_and(|backend| backend.kind == BackendKind::Service) {
            let field = format_compact!("engines[{at}].checks_fencing");
            found.push((field, no_effect(&engine.backend, BackendKind::Service)));
        }
    }
}

fn add_routes(document: &Document, found: &mut Vec<FieldWarning>) {
    let limits = &document.limits;
    let timeouts = [
        ("first_token_timeout", limits.first_token_timeout),
        ("token_gap_timeout", limits.token_gap_timeout),
    ];
    for (at, route) in document.routes.iter().enumerate() {
        let field = |leaf: &str| format_compact!("routes[{at}].{leaf}");
        match document.backend(&route.backend).map(|backend| backend.kind) {
            Some(BackendKind::Model) => {
                if route.operation != route.name.as_str() {
                    found.push((field("operation"), no_effect(&route.backend, BackendKind::Model)));
                }
                for (limit, timeout) in timeouts {
                    if route.max_deadline < timeout {
                        let warning = DocumentWarning::DeadlineBelowTimeout {
                            max_deadline: route.max_deadline,
                            limit,
                            timeout,
                        };
                        found.push((field("max_deadline"), warning));
                    }
                }
            }
            Some(BackendKind::Service) if route.max_output > Tokens(0) => {
                found.push((
                    field("max_output"),
                    no_effect(&route.backend, BackendKind::Service),
                ));
            }
            _ => {}
        }
    }
}

fn add_limits(document: &Document, found: &mut Vec<FieldWarning>) {
    let limits = &document.limits;
    if limits.retry_budget == Permille::NONE {
        found.push(("limits.retry_budget".into(), DocumentWarning::NoRetries));
    }
    let engines_of = |backend: &BackendName| {
        let engines = document.engines.iter();
        engines.filter(|engine| engine.backend == *backend).count()
    };
    let engines = document
        .backends
        .iter()
        .map(|backend| engines_of(&backend.name))
        .max()
        .unwrap_or(0);
    if limits.max_ejected.as_fraction() * (engines as f64) < 1.0 {
        let warning = DocumentWarning::NoEjection {
            max_ejected: limits.max_ejected,
            engines,
        };
        found.push(("limits.max_ejected".into(), warning));
    }
    let non_idempotent = document.routes.iter().filter(|route| !route.idempotent);
    if let Some(route) = non_idempotent.max_by_key(|route| route.max_deadline)
        && limits.claim_ttl <= route.max_deadline
    {
        let warning = DocumentWarning::ClaimBelowDeadline {
            claim_ttl: limits.claim_ttl,
            route: route.name.as_str().into(),
            max_deadline: route.max_deadline,
        };
        found.push(("limits.claim_ttl".into(), warning));
    }
}

fn no_effect(backend: &BackendName, backend_kind: BackendKind) -> DocumentWarning {
    DocumentWarning::NoEffect {
        backend: backend.clone(),
        backend_kind,
    }
}
