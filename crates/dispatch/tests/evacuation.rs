//! Orders to evacuate an availability zone.

mod support;

use std::collections::BTreeSet;

use carawayseam_dispatch::dispatcher::RelayTarget;
use carawayseam_dispatch::draining_servers::DrainingServer;
use carawayseam_dispatch::evacuation::Evacuation;
use carawayseam_dispatch::{Action, Dispatcher, EngineEntry};
use carawayseam_types::{Millis, ZoneId};
use support::{dispatcher, engine, id, job, started};

fn zone(name: &str) -> ZoneId {
    name.parse().expect("a valid name")
}

fn in_zone(name: &str, zone_name: &str) -> EngineEntry {
    EngineEntry {
        zone: zone(zone_name),
        ..engine(name, 4)
    }
}

/// Returns a dispatcher in `zone-a` with a server in each of two zones.
fn two_zones() -> Dispatcher {
    let mut dispatcher = dispatcher(&[]);
    dispatcher.set_engines(Millis(0), vec![in_zone("a", "zone-a"), in_zone("b", "zone-b")]);
    dispatcher
}

fn order(dispatcher: &mut Dispatcher, now: u64, change: Evacuation) -> Vec<Action> {
    let (is_change, actions) = dispatcher.apply_evacuation(Millis(now), change);
    assert!(is_change);
    actions
}

/// Submits requests; returns the servers on which they start at once.
fn submit(dispatcher: &mut Dispatcher, now: u64, count: usize) -> BTreeSet<String> {
    let mut servers = BTreeSet::new();
    for _ in 0..count {
        let (_, actions) = dispatcher.submit(Millis(now), job(now, 0));
        servers.extend(started(&actions).into_iter().map(|(_, name)| name.to_owned()));
    }
    servers
}

fn only(name: &str) -> BTreeSet<String> {
    BTreeSet::from([name.to_owned()])
}

/// Guards against requests, relays and questions about reach for servers of an evacuated zone.
#[test]
fn an_evacuated_zone_gets_nothing_until_the_order_is_lifted() {
    let mut dispatcher = two_zones();
    let actions = order(&mut dispatcher, 1, Evacuation::Ordered(zone("zone-a")));
    assert!(actions.is_empty());
    assert_eq!(submit(&mut dispatcher, 2, 6), only("b"));
    assert_eq!(dispatcher.relay_target(&id("a")), RelayTarget::Draining);
    let lifted = order(&mut dispatcher, 3, Evacuation::Lifted(zone("zone-a")));
    assert_eq!(started(&lifted).len(), 2, "the requests that waited start");
    assert!(matches!(
        dispatcher.relay_target(&id("a")),
        RelayTarget::Address(_)
    ));
}

/// Guards against probes of lost servers in an evacuated zone, and against lost servers that are never probed again.
#[test]
fn lost_servers_of_an_evacuated_zone_are_probed_only_after_the_order() {
    let mut dispatcher = two_zones();
    dispatcher.mark_silent(Millis(1), &id("a"), None);
    order(&mut dispatcher, 2, Evacuation::Ordered(zone("zone-a")));
    for now in (100..5_000).step_by(100) {
        assert!(dispatcher.due_probes(Millis(now)).is_empty());
    }
    order(&mut dispatcher, 5_000, Evacuation::Lifted(zone("zone-a")));
    let mut probes = (5_000..10_000).step_by(100);
    assert!(probes.any(|now| !dispatcher.due_probes(Millis(now)).is_empty()));
}

/// Guards against a list of servers, e.g. after a restart of one or of the store, that forgets the order.
#[test]
fn an_order_holds_for_servers_that_are_listed_later() {
    let mut dispatcher = two_zones();
    order(&mut dispatcher, 1, Evacuation::Ordered(zone("zone-a")));
    let restarted = EngineEntry {
        started: Some(2),
        ..in_zone("a", "zone-a")
    };
    let listed = vec![restarted, in_zone("a-2", "zone-a"), in_zone("b", "zone-b")];
    dispatcher.set_engines(Millis(2), listed);
    assert_eq!(submit(&mut dispatcher, 3, 6), only("b"));
}

/// Guards against a host whose listing of the store differs from the changes that it received.
#[test]
fn a_listing_replaces_all_orders() {
    let mut dispatcher = two_zones();
    order(&mut dispatcher, 1, Evacuation::Ordered(zone("zone-a")));
    let listed = Evacuation::Listed([zone("zone-b")].into());
    order(&mut dispatcher, 2, listed.clone());
    assert!(
        !dispatcher.apply_evacuation(Millis(3), listed).0,
        "nothing changed"
    );
    assert_eq!(
        dispatcher.evacuated_zones().collect::<Vec<_>>(),
        [&zone("zone-b")]
    );
    assert_eq!(submit(&mut dispatcher, 4, 4), only("a"));
    order(&mut dispatcher, 5, Evacuation::Listed(BTreeSet::new()));
    assert_eq!(submit(&mut dispatcher, 6, 2), only("b"));
}

/// Guards against the end of an order that reopens a server which drains.
#[test]
fn a_server_that_drains_stays_closed_after_the_order() {
    let mut dispatcher = two_zones();
    order(&mut dispatcher, 1, Evacuation::Ordered(zone("zone-a")));
    let draining = DrainingServer {
        engine: id("a"),
        started: Some(1),
    };
    dispatcher.mark_draining(Millis(2), draining, true);
    order(&mut dispatcher, 3, Evacuation::Lifted(zone("zone-a")));
    assert_eq!(submit(&mut dispatcher, 4, 6), only("b"));
}

/// Guards against callers that are sent back to servers which take nothing, or held beyond their time.
#[test]
fn requests_wait_or_are_refused_if_all_zones_are_evacuated() {
    let mut dispatcher = two_zones();
    let zones = [zone("zone-a"), zone("zone-b")];
    order(&mut dispatcher, 1, Evacuation::Listed(zones.into()));
    assert_eq!(submit(&mut dispatcher, 2, 3), BTreeSet::new());
    let waiting = dispatcher.request_counts().0;
    assert_eq!(waiting, 3, "their callers have time left");
    let actions = order(&mut dispatcher, 500, Evacuation::Lifted(zone("zone-b")));
    assert_eq!(
        started(&actions).len(),
        waiting,
        "requests that waited start when an order ends"
    );
}
