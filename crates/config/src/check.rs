//! Checks a parsed document against the rules.

use std::collections::HashSet;
use std::fmt::Display;

use carawayseam_types::{BackendName, Digest, Millis, Tier, Tokens, VersionId};
use compact_str::{CompactString, ToCompactString, format_compact};

use crate::lines::line_of;
use crate::raw::{RawBackend, RawDocument, RawEngine, RawRollout, RawRoute};
use crate::{BackendKind, Document, DocumentError, DocumentProblem, OrganisationSpec};

const MAX_TIERS: usize = 16;
const MIN_ROLLOUT_TIME: Millis = Millis::from_secs(10);

/// A violated rule: the field's path and its problem.
type Violation = (CompactString, DocumentProblem);

/// The violated rules, in the order of the checks.
#[derive(Debug, Default)]
struct Violations(Vec<Violation>);

impl Violations {
    fn add(&mut self, field: CompactString, problem: DocumentProblem) {
        self.0.push((field, problem));
    }

    fn out_of_range(&mut self, field: CompactString, expected: &'static str, found: &impl Display) {
        let found = found.to_compact_string();
        self.add(field, DocumentProblem::OutOfRange { expected, found });
    }

    fn undeclared(&mut self, field: CompactString, name: &impl Display, declared_under: &'static str) {
        let name = name.to_compact_string();
        self.add(field, DocumentProblem::Undeclared { name, declared_under });
    }
}

/// Parses a document and returns it, or all of its problems in the order of the checks.
///
/// A text that does not parse has only its first problem.
pub(crate) fn parse(file: &str, text: &str) -> Result<Document, Vec<DocumentError>> {
    let raw: RawDocument = serde_saphyr::from_str(text).map_err(|e| vec![parse_error(file, &e)])?;
    check(raw, Digest::of(text.as_bytes())).map_err(|violations| {
        let errors = violations.into_iter().map(|(field, problem)| DocumentError {
            file: file.into(),
            line: line_of(text, &field).unwrap_or(0),
            field,
            problem,
        });
        errors.collect()
    })
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

fn check(raw: RawDocument, digest: Digest) -> Result<Document, Vec<Violation>> {
    let mut violations = Violations::default();
    check_lists(&raw, &mut violations);
    let organisations = check_organisations(&raw, &mut violations);
    check_engines(&raw, &mut violations);
    check_routes(&raw, &mut violations);
    check_rollouts(&raw, &mut violations);
    for (at, backend) in raw.backends.iter().enumerate() {
        let field = || format_compact!("backends[{at}].version");
        require_engine(&raw, &backend.name, &backend.version, field, &mut violations);
    }
    if !violations.0.is_empty() {
        return Err(violations.0);
    }
    Ok(Document {
        environment: raw.environment,
        digest,
        zones: raw.zones,
        tiers: raw.tiers,
        organisations,
        backends: raw.backends.into_iter().map(RawBackend::into_backend).collect(),
        engines: raw.engines.into_iter().map(RawEngine::into_engine).collect(),
        routes: raw.routes.into_iter().map(RawRoute::into_route).collect(),
        moves: raw.moves.into_iter().map(RawRollout::into_rollout).collect(),
        limits: raw.limits.into_limits(),
    })
}

fn check_lists(raw: &RawDocument, violations: &mut Violations) {
    distinct("zones", &raw.zones, |zone| zone, violations);
    distinct("tiers", &raw.tiers, |tier| tier, violations);
    distinct("organisations", &raw.organisations, |org| &org.name, violations);
    distinct("backends", &raw.backends, |backend| &backend.name, violations);
    distinct("engines", &raw.engines, |engine| &engine.name, violations);
    distinct("routes", &raw.routes, |route| &route.name, violations);
    if !raw.moves.is_empty() {
        distinct("moves", &raw.moves, |rollout| &rollout.name, violations);
    }
    if raw.tiers.len() > MAX_TIERS {
        violations.out_of_range("tiers".into(), "at most 16 tiers", &raw.tiers.len());
    }
}

fn distinct<'a, T, N: Display + 'a>(
    list: &'static str,
    entries: &'a [T],
    name: impl Fn(&'a T) -> &'a N,
    violations: &mut Violations,
) {
    if entries.is_empty() {
        violations.add(list.into(), DocumentProblem::Empty);
    }
    let mut seen = HashSet::new();
    for (at, entry) in entries.iter().enumerate() {
        let name = name(entry).to_compact_string();
        if !seen.insert(name.clone()) {
            let field = format_compact!("{list}[{at}].name");
            violations.add(field, DocumentProblem::Duplicate { name });
        }
    }
}

/// Returns the organisations with the ranks of their declared tiers.
fn check_organisations(raw: &RawDocument, violations: &mut Violations) -> Vec<OrganisationSpec> {
    let mut organisations = Vec::with_capacity(raw.organisations.len());
    for (at, org) in raw.organisations.iter().enumerate() {
        let field = |leaf: &str| format_compact!("organisations[{at}].{leaf}");
        if org.share == 0 {
            violations.out_of_range(field("share"), "a share of at least 1", &0);
        }
        if org.tiers.is_empty() {
            violations.add(field("tiers"), DocumentProblem::Empty);
        }
        let mut tiers = Vec::with_capacity(org.tiers.len());
        for name in &org.tiers {
            match raw.tiers.iter().position(|tier| tier == name) {
                Some(rank) => tiers.push(Tier(rank as u8)),
                None => violations.undeclared(field("tiers"), name, "tiers"),
            }
        }
        organisations.push(OrganisationSpec {
            name: org.name.clone(),
            share: org.share,
            tiers,
        });
    }
    organisations
}

fn check_engines(raw: &RawDocument, violations: &mut Violations) {
    for (at, engine) in raw.engines.iter().enumerate() {
        let field = |leaf: &str| format_compact!("engines[{at}].{leaf}");
        require_backend(raw, &engine.backend, || field("backend"), violations);
        if !raw.zones.contains(&engine.zone) {
            violations.undeclared(field("zone"), &engine.zone, "zones");
        }
        if engine.max_concurrency == 0 {
            violations.out_of_range(field("max_concurrency"), "at least 1", &0);
        }
    }
}

fn check_routes(raw: &RawDocument, violations: &mut Violations) {
    for (at, route) in raw.routes.iter().enumerate() {
        let field = |leaf: &str| format_compact!("routes[{at}].{leaf}");
        let backend = require_backend(raw, &route.backend, || field("backend"), violations);
        let is_model = backend.is_some_and(|backend| backend.kind == BackendKind::Model);
        if is_model && !route.idempotent {
            let backend = route.backend.to_compact_string();
            violations.add(
                field("idempotent"),
                DocumentProblem::UnrepeatableModel { backend },
            );
        }
        if is_model && route.max_output == Tokens(0) {
            violations.out_of_range(field("max_output"), "at least 1 token for a model", &0);
        }
        if route.max_deadline == Millis::ZERO {
            violations.out_of_range(field("max_deadline"), "more than 0", &route.max_deadline);
        }
    }
}

fn check_rollouts(raw: &RawDocument, violations: &mut Violations) {
    for (at, rollout) in raw.moves.iter().enumerate() {
        let field = |leaf: &str| format_compact!("moves[{at}].{leaf}");
        let backend = require_backend(raw, &rollout.backend, || field("backend"), violations);
        if backend.is_some() {
            for (leaf, version) in [("from", &rollout.from), ("to", &rollout.to)] {
                require_engine(raw, &rollout.backend, version, || field(leaf), violations);
            }
        }
        if raw.moves[..at]
            .iter()
            .any(|other| other.backend == rollout.backend)
        {
            let backend = rollout.backend.to_compact_string();
            violations.add(field("backend"), DocumentProblem::SecondRollout { backend });
        }
        if rollout.from == rollout.to {
            violations.out_of_range(field("to"), "another version than `from`", &rollout.to);
        }
        if rollout.within < MIN_ROLLOUT_TIME {
            violations.out_of_range(field("within"), "at least 10s", &rollout.within);
        }
        if !(1..=500).contains(&rollout.first_share.get()) {
            violations.out_of_range(field("first_share"), "1 to 500 thousandths", &rollout.first_share);
        }
    }
}

fn require_backend<'a>(
    raw: &'a RawDocument,
    name: &BackendName,
    field: impl Fn() -> CompactString,
    violations: &mut Violations,
) -> Option<&'a RawBackend> {
    let found = raw.backends.iter().find(|backend| backend.name == *name);
    if found.is_none() {
        violations.undeclared(field(), name, "backends");
    }
    found
}

fn require_engine(
    raw: &RawDocument,
    backend: &BackendName,
    version: &VersionId,
    field: impl Fn() -> CompactString,
    violations: &mut Violations,
) {
    let runs = |engine: &RawEngine| engine.backend == *backend && engine.version == *version;
    if !raw.engines.iter().any(runs) {
        let problem = DocumentProblem::NoEngineForVersion {
            backend: backend.to_compact_string(),
            version: version.to_compact_string(),
        };
        violations.add(field(), problem);
    }
}
