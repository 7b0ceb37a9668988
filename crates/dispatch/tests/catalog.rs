//! Tests of the look-up of routes, organisations and keys.

use carawayseam_dispatch::catalog::{
    Catalog, Configuration, LookupError, Organisation, Route, RouteKind, RouteMatch, Target,
};
use carawayseam_types::{Millis, Revision, Tier};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "Rails.example".into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: Millis::from_secs(2),
        latency_objective: None,
        max_event_gap: None,
        tier: Tier(2),
        targets: vec![Target {
            backend: "stock".parse().expect("a valid name"),
            weight: 1,
        }],
        max_attempts: 2,
        public: false,
    }
}

fn catalog() -> Catalog {
    let mut open_route = route("open", "/open/");
    open_route.public = true;
    Catalog::new(Configuration {
        revision: Revision(7),
        routes: vec![
            route("short", "/stock/"),
            route("long", "/stock/rails/"),
            open_route,
        ],
        organisations: Some(vec![Organisation {
            name: "dealer".parse().expect("a valid name"),
            keys: vec!["key-1".into(), "key-2".into()],
            tier: Some(Tier(1)),
            quota: None,
        }]),
        ..Configuration::default()
    })
}

fn route_match(host: &str, path: &str, key: Option<&str>) -> Result<RouteMatch, LookupError> {
    catalog().route_match(host, path, key)
}

macro_rules! finds_route {
    ($name:ident: $host:expr, $path:expr, $key:expr => $route:expr) => {
        #[test]
        fn $name() {
            let found = route_match($host, $path, $key).map(|route_match| route_match.route.name.clone());
            assert_eq!(found, $route);
        }
    };
}

finds_route!(the_longest_prefix_wins: "rails.example", "/stock/rails/7", Some("key-1") => Ok("long".into()));
finds_route!(a_shorter_prefix_matches_other_paths: "rails.example", "/stock/glass", Some("key-2") => Ok("short".into()));
finds_route!(the_host_name_is_compared_without_case_and_port: "RAILS.example:80", "/stock/1", Some("key-1") => Ok("short".into()));
finds_route!(a_prefix_matches_only_whole_path_segments: "rails.example", "/stockroom/", Some("key-1") => Err(LookupError::NoRoute));
finds_route!(another_host_has_no_route: "doors.example", "/stock/1", Some("key-1") => Err(LookupError::NoRoute));
finds_route!(an_unknown_key_is_rejected: "rails.example", "/stock/1", Some("key-9") => Err(LookupError::UnknownKey));
finds_route!(a_missing_key_is_rejected: "rails.example", "/stock/1", None => Err(LookupError::UnknownKey));
finds_route!(a_public_route_needs_no_key: "rails.example", "/open/1", None => Ok("open".into()));

#[test]
fn a_public_route_has_no_organisation() {
    let route_match = route_match("rails.example", "/open/1", Some("key-1")).expect("the route is there");
    assert!(route_match.organisation.is_none());
}

#[test]
fn the_organisations_tier_precedes_the_routes_tier() {
    let with_organisation =
        route_match("rails.example", "/stock/1", Some("key-1")).expect("the route is there");
    let open_route = route_match("rails.example", "/open/1", None).expect("the route is there");
    assert!(with_organisation.tier().outranks(open_route.tier()));
}

#[test]
fn without_organisations_no_key_is_needed() {
    let catalog = Catalog::new(Configuration {
        routes: vec![route("short", "/stock/")],
        ..Configuration::default()
    });
    let route_match = catalog.route_match("rails.example", "/stock/1", None);
    assert_eq!(
        route_match.map(|route_match| route_match.organisation.is_none()),
        Ok(true)
    );
}
