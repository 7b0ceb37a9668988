//! Checks a parsed document against the rules.

use std::collections::HashSet;
use std::fmt::Display;

use carawayseam_types::{BackendName, Digest, Millis, Tier, Tokens, VersionId};
use compact_str::{CompactString, ToCompactString, format_compact};

use crate::raw::{RawDocument, RawOrganisation, RawRollout, RawRoute};
use crate::{
    Backend, BackendKind, Document, DocumentError, DocumentProblem, EngineSpec, Limits, OrganisationSpec,
    RolloutSpec, RouteSpec,
};

const MAX_TIERS: usize = 16;
const MIN_ROLLOUT_TIME: Millis = Millis::from_secs(10);

/// A violated rule: the field's path and its problem.
type Violation = (CompactString, DocumentProblem);

impl Document {
    /// Parses and checks a document.
    ///
    /// # Errors
    ///
    /// Returns the first problem in the order of the checks, with its line and field.
    pub fn from_yaml(file: &str, text: &str) -> Result<Self, DocumentError> {
        let raw: RawDocument = serde_saphyr::from_str(text).map_err(|e| parse_error(file, &e))?;
        check(raw, Digest::of(text.as_bytes())).map_err(|(field, problem)| DocumentError {
            file: file.into(),
            line: line_of(text, &field),
            field,
            problem,
        })
    }
}

fn parse_error(file: &str, error: &serde_saphyr::Error) -> DocumentError {
    let message = error.to_string();
    let line = error.location().map_or(0, |at| at.line());
    let first = message.lines().next().unwrap_or_default().to_owned();
    DocumentError {
        file: file.into(),
        line,
        field: "document".into(),
        problem: DocumentProblem::Shape { message: first },
    }
}

/// Returns the line of a field, found by the field's list and the index of its entry; 0 if it is not found.
fn line_of(text: &str, field: &str) -> u64 {
    let (list, rest) = field.split_once('[').unwrap_or((field, ""));
    let index: usize = rest
        .split_once(']')
        .and_then(|(n, _)| n.parse().ok())
        .unwrap_or(0);
    let leaf = field.rsplit_once('.').map_or("", |(_, leaf)| leaf);
    let lines: Vec<&str> = text.lines().collect();
    let Some(start) = lines
        .iter()
        .position(|line| line.starts_with(&format!("{list}:")))
    else {
        return 0;
    };
    if rest.is_empty() {
        return start as u64 + 1;
    }
    let below = lines.iter().enumerate().skip(start + 1);
    let entries: Vec<usize> = below
        .take_while(|(_, line)| line.starts_with([' ', '-', '#']) || line.is_empty())
        .filter(|(_, line)| line.trim_start().starts_with("- "))
        .map(|(at, _)| at)
        .collect();
    let Some(&entry) = entries.get(index) else {
        return start as u64 + 1;
    };
    let end = entries.get(index + 1).copied().unwrap_or(lines.len());
    let named = |line: &&str| {
        line.trim_start_matches([' ', '-', '{'])
            .starts_with(&format!("{leaf}:"))
    };
    let offset = lines[entry..end].iter().position(named).unwrap_or(0);
    (entry + offset) as u64 + 1
}

fn check(raw: RawDocument, digest: Digest) -> Result<Document, Violation> {
    check_lists(&raw)?;
    let organisations = check_organisations(&raw)?;
    let backends = raw.backends.iter().map(|b| Backend {
        name: b.name.clone(),
        kind: b.kind,
        version: b.version.clone(),
    });
    let backends: Vec<Backend> = backends.collect();
    let engines = check_engines(&raw, &backends)?;
    let routes = check_routes(&raw.routes, &backends)?;
    let moves = check_rollouts(&raw.moves, &backends, &engines)?;
    for (at, backend) in backends.iter().enumerate() {
        require_engine(&engines, &backend.name, &backend.version, || {
            format_compact!("backends[{at}].version")
        })?;
    }
    Ok(Document {
        environment: raw.environment,
        digest,
        zones: raw.zones,
        tiers: raw.tiers,
        organisations,
        backends,
        engines,
        routes,
        moves,
        limits: Limits {
            max_body: raw.limits.max_body,
            retry_budget: raw.limits.retry_budget,
            max_ejected: raw.limits.max_ejected,
            first_token_timeout: raw.limits.first_token_timeout,
            token_gap_timeout: raw.limits.token_gap_timeout,
            claim_ttl: raw.limits.claim_ttl,
        },
    })
}

fn check_lists(raw: &RawDocument) -> Result<(), Violation> {
    distinct("zones", &raw.zones, |zone| zone)?;
    distinct("tiers", &raw.tiers, |tier| tier)?;
    distinct("organisations", &raw.organisations, |org| &org.name)?;
    distinct("backends", &raw.backends, |backend| &backend.name)?;
    distinct("engines", &raw.engines, |engine| &engine.name)?;
    distinct("routes", &raw.routes, |route| &route.name)?;
    if !raw.moves.is_empty() {
        distinct("moves", &raw.moves, |rollout| &rollout.name)?;
    }
    match raw.tiers.len() {
        1..=MAX_TIERS => Ok(()),
        found => Err(out_of_range("tiers".into(), "at most 16 tiers", &found)),
    }
}

fn distinct<'a, T, N: Display + 'a>(
    list: &'static str,
    entries: &'a [T],
    name: impl Fn(&'a T) -> &'a N,
) -> Result<(), Violation> {
    if entries.is_empty() {
        return Err((list.into(), DocumentProblem::Empty));
    }
    let mut seen = HashSet::new();
    for (at, entry) in entries.iter().enumerate() {
        let name = name(entry).to_compact_string();
        if !seen.insert(name.clone()) {
            return Err((
                format_compact!("{list}[{at}].name"),
                DocumentProblem::Duplicate { name },
            ));
        }
    }
    Ok(())
}

fn check_organisations(raw: &RawDocument) -> Result<Vec<OrganisationSpec>, Violation> {
    let checked = raw
        .organisations
        .iter()
        .enumerate()
        .map(|(at, org)| check_organisation(raw, at, org));
    checked.collect()
}

fn check_organisation(
    raw: &RawDocument,
    at: usize,
    org: &RawOrganisation,
) -> Result<OrganisationSpec, Violation> {
    let field = |leaf: &str| format_compact!("organisations[{at}].{leaf}");
    match org {
        org if org.share == 0 => return Err(out_of_range(field("share"), "a share of at least 1", &0)),
        org if org.tiers.is_empty() => return Err((field("tiers"), DocumentProblem::Empty)),
        _ => {}
    }
    let rank = |name| match raw.tiers.iter().position(|tier| tier == name) {
        Some(rank) => Ok(Tier(rank as u8)),
        None => Err((field("tiers"), undeclared(name, "tiers"))),
    };
    let tiers: Result<Vec<Tier>, Violation> = org.tiers.iter().map(rank).collect();
    Ok(OrganisationSpec {
        name: org.name.clone(),
        share: org.share,
        tiers: tiers?,
    })
}

fn check_engines(raw: &RawDocument, backends: &[Backend]) -> Result<Vec<EngineSpec>, Violation> {
    let mut engines = Vec::with_capacity(raw.engines.len());
    for (at, engine) in raw.engines.iter().enumerate() {
        let field = |leaf: &str| format_compact!("engines[{at}].{leaf}");
        require_backend(backends, &engine.backend, || field("backend"))?;
        match engine {
            e if !raw.zones.contains(&e.zone) => return Err((field("zone"), undeclared(&e.zone, "zones"))),
            e if e.max_concurrency == 0 => {
                return Err(out_of_range(field("max_concurrency"), "at least 1", &0));
            }
            _ => {}
        }
        engines.push(EngineSpec {
            name: engine.name.clone(),
            backend: engine.backend.clone(),
            version: engine.version.clone(),
            zone: engine.zone.clone(),
            address: engine.address,
            checks_fencing: engine.checks_fencing,
            max_concurrency: engine.max_concurrency,
        });
    }
    Ok(engines)
}

fn check_routes(raw: &[RawRoute], backends: &[Backend]) -> Result<Vec<RouteSpec>, Violation> {
    let mut routes = Vec::with_capacity(raw.len());
    for (at, route) in raw.iter().enumerate() {
        let field = |leaf: &str| format_compact!("routes[{at}].{leaf}");
        let backend = require_backend(backends, &route.backend, || field("backend"))?;
        match (backend.kind, route) {
            (BackendKind::Model, r) if !r.idempotent => {
                let backend = r.backend.to_compact_string();
                return Err((
                    field("idempotent"),
                    DocumentProblem::UnrepeatableModel { backend },
                ));
            }
            (BackendKind::Model, r) if r.max_output == Tokens(0) => {
                return Err(out_of_range(
                    field("max_output"),
                    "at least 1 token for a model",
                    &0,
                ));
            }
            (_, r) if r.max_deadline == Millis::ZERO => {
                return Err(out_of_range(
                    field("max_deadline"),
                    "more than 0",
                    &r.max_deadline,
                ));
            }
            _ => {}
        }
        routes.push(RouteSpec {
            name: route.name.clone(),
            backend: route.backend.clone(),
            operation: route
                .operation
                .as_deref()
                .unwrap_or(route.name.as_str())
                .to_owned(),
            idempotent: route.idempotent,
            max_output: route.max_output,
            max_deadline: route.max_deadline,
        });
    }
    Ok(routes)
}

fn check_rollouts(
    raw: &[RawRollout],
    backends: &[Backend],
    engines: &[EngineSpec],
) -> Result<Vec<RolloutSpec>, Violation> {
    let mut rollouts: Vec<RolloutSpec> = Vec::with_capacity(raw.len());
    for (at, rollout) in raw.iter().enumerate() {
        let field = |leaf: &str| format_compact!("moves[{at}].{leaf}");
        require_backend(backends, &rollout.backend, || field("backend"))?;
        require_engine(engines, &rollout.backend, &rollout.from, || field("from"))?;
        require_engine(engines, &rollout.backend, &rollout.to, || field("to"))?;
        match rollout {
            rollout if rollouts.iter().any(|other| other.backend == rollout.backend) => {
                let backend = rollout.backend.to_compact_string();
                return Err((field("backend"), DocumentProblem::SecondRollout { backend }));
            }
            rollout if rollout.from == rollout.to => {
                return Err(out_of_range(
                    field("to"),
                    "another version than `from`",
                    &rollout.to,
                ));
            }
            rollout if rollout.within < MIN_ROLLOUT_TIME => {
                return Err(out_of_range(field("within"), "at least 10s", &rollout.within));
            }
            rollout if !(1..=500).contains(&rollout.first_share.get()) => {
                return Err(out_of_range(
                    field("first_share"),
                    "1 to 500 thousandths",
                    &rollout.first_share,
                ));
            }
            _ => {}
        }
        rollouts.push(RolloutSpec {
            name: rollout.name.clone(),
            backend: rollout.backend.clone(),
            from: rollout.from.clone(),
            to: rollout.to.clone(),
            within: rollout.within,
            first_share: rollout.first_share,
            on_no_evidence: rollout.on_no_evidence,
        });
    }
    Ok(rollouts)
}

fn require_backend<'a>(
    backends: &'a [Backend],
    name: &BackendName,
    field: impl Fn() -> CompactString,
) -> Result<&'a Backend, Violation> {
    let found = backends.iter().find(|backend| backend.name == *name);
    found.ok_or_else(|| (field(), undeclared(name, "backends")))
}

fn require_engine(
    engines: &[EngineSpec],
    backend: &BackendName,
    version: &VersionId,
    field: impl Fn() -> CompactString,
) -> Result<(), Violation> {
    let runs = |engine: &EngineSpec| engine.backend == *backend && engine.version == *version;
    if engines.iter().any(runs) {
        return Ok(());
    }
    let problem = DocumentProblem::NoEngineForVersion {
        backend: backend.to_compact_string(),
        version: version.to_compact_string(),
    };
    Err((field(), problem))
}

fn undeclared(name: &impl Display, declared_under: &'static str) -> DocumentProblem {
    DocumentProblem::Undeclared {
        name: name.to_compact_string(),
        declared_under,
    }
}

fn out_of_range(field: CompactString, expected: &'static str, found: &impl Display) -> Violation {
    let found = found.to_compact_string();
    (field, DocumentProblem::OutOfRange { expected, found })
}
