//! Tests of the findings on a configuration, and of the differences between two.

use carawayseam_dispatch::catalog::{
    Backend, Configuration, Organisation, Route, RouteKind, Target, TokenQuota,
};
use carawayseam_types::{Difference, Millis, Revision, Tier, Tokens};

fn target(backend: &str, weight: u32) -> Target {
    Target {
        backend: backend.parse().expect("a valid name"),
        weight,
    }
}

fn route(name: &str) -> Route {
    Route {
        name: name.into(),
        host: "firm.example".into(),
        path_prefix: format!("/{name}/").into(),
        kind: RouteKind::Idempotent,
        timeout: Millis::from_secs(2),
        latency_objective: Some(Millis(200)),
        max_event_gap: None,
        tier: Tier(1),
        targets: vec![target("stock", 1)],
        max_attempts: 2,
        public: false,
    }
}

fn organisation(name: &str, keys: &[&str]) -> Organisation {
    Organisation {
        name: name.parse().expect("a valid name"),
        keys: keys.iter().map(|key| (*key).into()).collect(),
        tier: None,
        quota: None,
    }
}

fn quota(per_second: f64, default_cost: u32) -> TokenQuota {
    TokenQuota {
        per_second,
        burst: 100.0,
        default_cost: Tokens(default_cost),
    }
}

fn backend(name: &str) -> Backend {
    Backend {
        name: name.parse().expect("a valid name"),
        tokens_per_event: 1,
        warm_up: None,
    }
}

/// A configuration without findings.
fn clean() -> Configuration {
    Configuration {
        revision: Revision(7),
        routes: vec![route("order"), route("query")],
        backends: vec![backend("stock")],
        organisations: Some(vec![organisation("dealer", &["secret-1", "secret-2"])]),
        ..Configuration::default()
    }
}

/// Returns the findings, each on a line of its own.
fn findings(configuration: &Configuration, in_force: Option<&Configuration>) -> String {
    let findings = configuration.findings("c.json", in_force);
    let lines = findings
        .iter()
        .map(|finding| format!("{} {finding}", finding.severity));
    lines.collect::<Vec<_>>().join("\n")
}

/// Guards against findings on a configuration in which everything is used.
#[test]
fn a_configuration_without_faults_has_no_findings() {
    assert_eq!(findings(&clean(), None), "");
    assert_eq!(
        findings(&clean(), Some(&clean())),
        "",
        "the one in force may be sent again"
    );
}

/// Guards against a kind of finding that is lost, has a wrong severity or place, or shows a key.
#[test]
fn each_kind_of_finding_is_found() {
    let mut configuration = clean();
    let mut with_port = route("with-port");
    with_port.host = "firm.example:8080".into();
    let mut hidden = route("hidden");
    hidden.host = "FIRM.example".into();
    hidden.path_prefix = "/order/".into();
    let mut half_prefix = route("half-prefix");
    half_prefix.path_prefix = "/stock".into();
    let mut no_backend = route("no-backend");
    no_backend.targets = Vec::new();
    let mut no_time = route("no-time");
    no_time.timeout = Millis::ZERO;
    let mut too_short = route("too-short");
    too_short.timeout = Millis(150);
    too_short.tier = Tier(16);
    let mut split = route("split");
    split.targets = vec![target("stock", 1), target("glass", 2), target("rails", 0)];
    let mut zero_split = route("zero-split");
    zero_split.targets = vec![target("stock", 0), target("rails", 0)];
    configuration
        .routes
        .extend([with_port, hidden, half_prefix, no_backend, no_time, too_short]);
    configuration.routes.extend([split, zero_split, route("query")]);
    configuration
        .backends
        .extend([backend("rails"), backend("unused"), backend("stock")]);
    let mut metered = organisation("metered", &["secret-2", "secret-3", "secret-3"]);
    metered.quota = Some(quota(5.0, 11));
    metered.tier = Some(Tier(20));
    let mut low = organisation("low", &["secret-4"]);
    low.quota = Some(quota(50.0, 101));
    let organisations = configuration.organisations.get_or_insert_default();
    organisations.extend([
        metered,
        low,
        organisation("keyless", &[]),
        organisation("low", &["secret-5"]),
    ]);
    let found = findings(&configuration, None);
    assert!(!found.contains("secret"), "keys are not shown");
    insta::assert_snapshot!(found);
}

/// Guards against organisations that have no effect, or routes that nobody may use, without a warning.
#[test]
fn keys_and_routes_must_fit_each_other() {
    let mut all_public = clean();
    for route in &mut all_public.routes {
        route.public = true;
    }
    insta::assert_snapshot!(findings(&all_public, None), @"warning c.json: organisations: warning: organisations have no effect, because all routes are public");
    let mut closed = clean();
    closed.organisations = Some(Vec::new());
    closed.routes.truncate(1);
    insta::assert_snapshot!(findings(&closed, None), @"warning c.json: routes[0].public: warning: nobody can use route `order`, because it needs a key and no organisation has one");
}

/// Guards against a configuration that is sent and that no host applies.
#[test]
fn a_change_without_a_newer_revision_is_an_error() {
    let mut changed = clean();
    changed.routes[0].timeout = Millis::from_secs(3);
    insta::assert_snapshot!(findings(&changed, Some(&clean())), @"error c.json: revision: hosts ignore this configuration, because revision 7 is in force");
    changed.revision = Revision(8);
    assert_eq!(findings(&changed, Some(&clean())), "");
}

/// Guards against a changed field that the difference misses, and against a difference that shows keys.
#[test]
fn a_difference_names_the_changed_fields() {
    let mut changed = clean();
    changed.routes[0].targets = vec![target("stock", 3_000), target("rails", 1_000)];
    changed.routes[0].kind = RouteKind::Stream { resumable: true };
    changed.routes[1] = route("search");
    changed.backends.push(backend("rails"));
    changed.limits.idle_timeout = Millis::from_secs(30);
    if let Some(organisations) = &mut changed.organisations {
        organisations[0].keys[1] = "secret-9".into();
        organisations[0].quota = Some(quota(50.0, 1));
    }
    let difference = Difference::between(&clean(), &changed).to_string();
    assert!(!difference.contains("secret"), "keys are not shown");
    insta::assert_snapshot!(difference.replace("; ", "\n"));
    let mut without_keys = clean();
    without_keys.organisations = None;
    let difference = Difference::between(&clean(), &without_keys);
    insta::assert_snapshot!(difference, @"organisations: removed dealer; access: changed requests (need_keys true -> false)");
}
