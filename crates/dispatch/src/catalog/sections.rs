//! The sections of a configuration, as compared between two versions.

use std::collections::HashMap;

use carawayseam_types::{Entry, Section, Sections};
use compact_str::{CompactString, format_compact};

use super::{Backend, Configuration, Organisation, RequestLimits, Route, RouteKind, Target, TokenQuota};

impl Sections for Configuration {
    fn sections(&self) -> Vec<Section> {
        let section = |name, entries| Section {
            name,
            is_ordered: false,
            entries: number_duplicates(entries),
        };
        let organisations = self.organisations.iter().flatten();
        let access = Entry::new(&"requests").with("need_keys", &self.organisations.is_some());
        vec![
            section("routes", self.routes.iter().map(route).collect()),
            section("backends", self.backends.iter().map(backend).collect()),
            section("organisations", organisations.map(organisation).collect()),
            section("access", vec![access]),
            section("limits", vec![limits(self.limits)]),
        ]
    }
}

/// Appends numbers to repeated names, which a configuration may contain, so that each entry has its counterpart.
fn number_duplicates(mut entries: Vec<Entry>) -> Vec<Entry> {
    let mut seen: HashMap<CompactString, usize> = HashMap::new();
    for entry in &mut entries {
        let count = seen.entry(entry.name.clone()).or_default();
        *count += 1;
        if *count > 1 {
            entry.name = format_compact!("{}#{count}", entry.name);
        }
    }
    entries
}

// The patterns name every field, so that a new field cannot be left out of the comparison.

fn route(route: &Route) -> Entry {
    let Route {
        name,
        host,
        path_prefix,
        kind,
        timeout,
        latency_objective,
        max_event_gap,
        tier,
        targets,
        max_attempts,
        public,
    } = route;
    let (kind, resumable) = match kind {
        RouteKind::Idempotent => ("idempotent", false),
        RouteKind::NonIdempotent => ("non-idempotent", false),
        RouteKind::Stream { resumable } => ("stream", *resumable),
    };
    let total: f64 = targets.iter().map(|target| f64::from(target.weight)).sum();
    let share = |weight: u32| f64::from(weight) * 100.0 / total.max(1.0);
    let shares = targets
        .iter()
        .map(|Target { backend, weight }| format!("{backend} {:.1}%", share(*weight)));
    let shares = shares.collect::<Vec<_>>().join(", ");
    Entry::new(name)
        .with("host", host)
        .with("path_prefix", path_prefix)
        .with("kind", &kind)
        .with("resumable", &resumable)
        .with("timeout", timeout)
        .with("latency_objective", &or_none(*latency_objective))
        .with("max_event_gap", &or_none(*max_event_gap))
        .with("tier", &tier.0)
        .with_shown("targets", &format!("{targets:?}"), &format!("[{shares}]"))
        .with("max_attempts", max_attempts)
        .with("public", public)
}

fn backend(backend: &Backend) -> Entry {
    let Backend {
        name,
        tokens_per_event,
        warm_up,
    } = backend;
    Entry::new(name)
        .with("tokens_per_event", tokens_per_event)
        .with("warm_up_duration", &or_none(warm_up.map(|limit| limit.duration)))
        .with("warm_up_rate", &or_none(warm_up.map(|limit| limit.rate)))
}

fn organisation(organisation: &Organisation) -> Entry {
    let Organisation {
        name,
        keys,
        tier,
        quota,
    } = organisation;
    let mut sorted = keys.clone();
    sorted.sort();
    // Keys are secrets, so only their number is shown.
    let count = format!("{} keys", keys.len());
    let (per_second, burst, default_cost) = match quota {
        Some(TokenQuota {
            per_second,
            burst,
            default_cost,
        }) => (Some(per_second), Some(burst), Some(default_cost)),
        None => (None, None, None),
    };
    Entry::new(name)
        .with_shown("keys", &format!("{sorted:?}"), &count)
        .with("tier", &or_none(tier.map(|tier| tier.0)))
        .with("per_second", &or_none(per_second))
        .with("burst", &or_none(burst))
        .with("default_cost", &or_none(default_cost))
}

fn limits(limits: RequestLimits) -> Entry {
    let RequestLimits {
        max_head,
        max_body,
        idle_timeout,
    } = limits;
    Entry::new(&"limits")
        .with("max_head", &max_head)
        .with("max_body", &max_body)
        .with("idle_timeout", &idle_timeout)
}

fn or_none<T: std::fmt::Display>(value: Option<T>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| value.to_string())
}
