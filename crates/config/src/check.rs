//! The rules of a document.

use std::collections::HashSet;
use std::fmt::Display;

use carawayseam_types::{BackendName, Digest, Millis, Tier, Tokens, VersionId};
use compact_str::{CompactString, ToCompactString, format_compact};

use crate::raw::{RawDocument, RawMove, RawOrganisation, RawRoute};
use crate::{
    Backend, BackendKind, Document, DocumentError, DocumentProblem, EngineSpec, Limits, OrganisationSpec,
    RolloutSpec, RouteSpec,
};

const MAX_TIERS: usize = 16;
const MIN_MOVE_TIME: Millis = Millis::from_secs(10);

/// A rule's verdict: the field's path and its problem.
type Broken = (CompactString, DocumentProblem);

impl Document {
    /// Reads and checks a document.
    ///
    /// # Errors
    ///
    /// Gives the first problem with its line and field, in the order of the file.
    pub fn from_yaml(file: &str, text: &str) -> Result<Self, DocumentError> {
        let raw: RawDocument = serde_saphyr::from_str(text).map_err(|e| shape_error(file, &e))?;
        check(raw, Digest::of(text.as_bytes())).map_err(|(field, problem)| DocumentError {
            file: file.into(),
            line: line_of(text, &field),
            field,
            problem,
        })
    }
}

fn shape_error(file: &str, error: &serde_saphyr::Error) -> DocumentError {
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

/// Finds the line of a field's path, by its list and the place of its entry in it.
fn line_of(text: &str, field: &str) -> u64 {
    let (list, rest) = field.split_once('[').unwrap_or((field, ""));
    let place: usize = rest
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
    let Some(&entry) = entries.get(place) else {
        return start as u64 + 1;
    };
    let end = entries.get(place + 1).copied().unwrap_or(lines.len());
    let named = |line: &&str| {
        line.trim_start_matches([' ', '-', '{'])
            .starts_with(&format!("{leaf}:"))
    };
    let offset = lines[entry..end].iter().position(named).unwrap_or(0);
    (entry + offset) as u64 + 1
}

fn check(raw: RawDocument, digest: Digest) -> Result<Document, Broken> {
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
    let moves = check_moves(&raw.moves, &backends, &engines)?;
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

fn check_lists(raw: &RawDocument) -> Result<(), Broken> {
    distinct("zones", &raw.zones, |zone| zone)?;
    distinct("tiers", &raw.tiers, |tier| tier)?;
    distinct("organisations", &raw.organisations, |org| &org.name)?;
    distinct("backends", &raw.backends, |backend| &backend.name)?;
    distinct("engines", &raw.engines, |engine| &engine.name)?;
    distinct("routes", &raw.routes, |route| &route.name)?;
    if !raw.moves.is_empty() {
        distinct("moves", &raw.moves, |mv| &mv.name)?;
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
) -> Result<(), Broken> {
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

fn check_organisations(raw: &RawDocument) -> Result<Vec<OrganisationSpec>, Broken> {
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
) -> Result<OrganisationSpec, Broken> {
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
    let tiers: Result<Vec<Tier>, Broken> = org.tiers.iter().map(rank).collect();
    Ok(OrganisationSpec {
        name: org.name.clone(),
        share: org.share,
        tiers: tiers?,
    })
}

fn check_engines(raw: &RawDocument, backends: &[Backend]) -> Result<Vec<EngineSpec>, Broken> {
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

fn check_routes(raw: &[RawRoute], backends: &[Backend]) -> Result<Vec<RouteSpec>, Broken> {
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

fn check_moves(
    raw: &[RawMove],
    backends: &[Backend],
    engines: &[EngineSpec],
) -> Result<Vec<RolloutSpec>, Broken> {
    let mut moves: Vec<RolloutSpec> = Vec::with_capacity(raw.len());
    for (at, mv) in raw.iter().enumerate() {
        let field = |leaf: &str| format_compact!("moves[{at}].{leaf}");
        require_backend(backends, &mv.backend, || field("backend"))?;
        require_engine(engines, &mv.backend, &mv.from, || field("from"))?;
        require_engine(engines, &mv.backend, &mv.to, || field("to"))?;
        match mv {
            mv if moves.iter().any(|other| other.backend == mv.backend) => {
                let backend = mv.backend.to_compact_string();
                return Err((field("backend"), DocumentProblem::SecondMove { backend }));
            }
            mv if mv.from == mv.to => {
                return Err(out_of_range(field("to"), "another version than `from`", &mv.to));
            }
            mv if mv.within < MIN_MOVE_TIME => {
                return Err(out_of_range(field("within"), "at least 10s", &mv.within));
            }
            mv if !(1..=500).contains(&mv.first_share.get()) => {
                return Err(out_of_range(
                    field("first_share"),
                    "1 to 500 thousandths",
                    &mv.first_share,
                ));
            }
            _ => {}
        }
        moves.push(RolloutSpec {
            name: mv.name.clone(),
            backend: mv.backend.clone(),
            from: mv.from.clone(),
            to: mv.to.clone(),
            within: mv.within,
            first_share: mv.first_share,
            on_no_evidence: mv.on_no_evidence,
        });
    }
    Ok(moves)
}

fn require_backend<'a>(
    backends: &'a [Backend],
    name: &BackendName,
    field: impl Fn() -> CompactString,
) -> Result<&'a Backend, Broken> {
    let found = backends.iter().find(|backend| backend.name == *name);
    found.ok_or_else(|| (field(), undeclared(name, "backends")))
}

fn require_engine(
    engines: &[EngineSpec],
    backend: &BackendName,
    version: &VersionId,
    field: impl Fn() -> CompactString,
) -> Result<(), Broken> {
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

fn out_of_range(field: CompactString, expected: &'static str, found: &impl Display) -> Broken {
    let found = found.to_compact_string();
    (field, DocumentProblem::OutOfRange { expected, found })
}
