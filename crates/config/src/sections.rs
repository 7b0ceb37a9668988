//! The sections of a document, as compared between two versions.

use carawayseam_types::{Entry, Section, Sections};

use crate::{
    Backend, BackendKind, Document, EngineSpec, Limits, OnNoEvidence, OrganisationSpec, RolloutSpec,
    RouteSpec,
};

impl Sections for Document {
    fn sections(&self) -> Vec<Section> {
        let section = |name, entries| Section {
            name,
            // A tier's rank is its position.
            is_ordered: name == "tiers",
            entries,
        };
        let organisations = self.organisations.iter();
        vec![
            section("zones", self.zones.iter().map(Entry::new).collect()),
            section("tiers", self.tiers.iter().map(Entry::new).collect()),
            section(
                "organisations",
                organisations.map(|org| organisation(self, org)).collect(),
            ),
            section("backends", self.backends.iter().map(backend).collect()),
            section("engines", self.engines.iter().map(engine).collect()),
            section("routes", self.routes.iter().map(route).collect()),
            section("moves", self.moves.iter().map(rollout).collect()),
            section("limits", vec![limits(&self.limits)]),
        ]
    }
}

// The patterns name every field, so that a new field cannot be left out of the comparison.

fn organisation(document: &Document, org: &OrganisationSpec) -> Entry {
    let OrganisationSpec { name, share, tiers } = org;
    let names = tiers
        .iter()
        .filter_map(|tier| document.tiers.get(usize::from(tier.0)));
    let names: Vec<&str> = names.map(AsRef::as_ref).collect();
    Entry::new(name)
        .with("share", share)
        .with("tiers", &format!("[{}]", names.join(", ")))
}

fn backend(backend: &Backend) -> Entry {
    let Backend { name, kind, version } = backend;
    let kind = match kind {
        BackendKind::Model => "model",
        BackendKind::Service => "service",
    };
    Entry::new(name).with("kind", &kind).with("version", version)
}

fn engine(engine: &EngineSpec) -> Entry {
    let EngineSpec {
        name,
        backend,
        version,
        zone,
        address,
        checks_fencing,
        max_concurrency,
    } = engine;
    Entry::new(name)
        .with("backend", backend)
        .with("version", version)
        .with("zone", zone)
        .with("address", address)
        .with("checks_fencing", checks_fencing)
        .with("max_concurrency", max_concurrency)
}

fn route(route: &RouteSpec) -> Entry {
    let RouteSpec {
        name,
        backend,
        operation,
        idempotent,
        max_output,
        max_deadline,
    } = route;
    Entry::new(name)
        .with("backend", backend)
        .with("operation", operation)
        .with("idempotent", idempotent)
        .with("max_output", max_output)
        .with("max_deadline", max_deadline)
}

fn rollout(rollout: &RolloutSpec) -> Entry {
    let RolloutSpec {
        name,
        backend,
        from,
        to,
        within,
        first_share,
        on_no_evidence,
    } = rollout;
    let on_no_evidence = match on_no_evidence {
        OnNoEvidence::Finish => "finish",
        OnNoEvidence::RollBack => "take-back",
    };
    Entry::new(name)
        .with("backend", backend)
        .with("from", from)
        .with("to", to)
        .with("within", within)
        .with("first_share", first_share)
        .with("on_no_evidence", &on_no_evidence)
}

fn limits(limits: &Limits) -> Entry {
    let Limits {
        max_body,
        retry_budget,
        max_ejected,
        first_token_timeout,
        token_gap_timeout,
        claim_ttl,
    } = limits;
    Entry::new(&"limits")
        .with("max_body", max_body)
        .with("retry_budget", retry_budget)
        .with("max_ejected", max_ejected)
        .with("first_token_timeout", first_token_timeout)
        .with("token_gap_timeout", token_gap_timeout)
        .with("claim_ttl", claim_ttl)
}
