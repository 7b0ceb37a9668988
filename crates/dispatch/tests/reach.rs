//! Backend servers that a host does not reach, or reaches through peers only.

#[path = "support/fleet.rs"]
mod fleet;
#[path = "support/partitions.rs"]
mod partitions;
mod support;

use carawayseam_dispatch::reach::ReachQuery;
use carawayseam_dispatch::{AttemptEnd, Dispatcher, EngineEntry};
use carawayseam_types::{HostId, Millis, ZoneId};
use fleet::{BACKENDS, CUT_MS, Cut, END_MS, Fleet, Form, HEAL_MS};
use partitions::{Sent, host, key, keys, lose_all, sent, zone};
use support::{BOUNDS, dispatcher, engine, id, job, started};

/// Interval between two rounds in which peers are asked, and between two probes of a server.
const ROUND_MS: u64 = 350;
/// Time after the cut from which callers of cut hosts are served nearly as well as others.
const SETTLED_MS: u64 = CUT_MS + 3_000;
/// Time after the end of the cut from which requests are sent directly.
const DIRECT_AGAIN_MS: u64 = HEAL_MS + 1_000;
/// Share of the requests at the best host that a cut host serves at least.
const MIN_SERVED_SHARE: f64 = 2.0 / 3.0;
/// Factor by which the requests that a peer carries may exceed the mean of the peers that are not cut.
const MAX_CARRIED_RATIO: f64 = 3.0;
/// Limit of queries and answers of one cut host in a second while it searches for relays.
const MAX_MESSAGES: u32 = 120;
/// Limit of queries and answers of one cut host in a second once it has found relays.
const MAX_SETTLED_MESSAGES: u32 = 24;

#[test]
fn a_waiting_request_starts_through_a_peer_that_reaches_the_server() {
    let mut local = dispatcher(&[("a", 4)]);
    lose_all(&mut local, 1, 1);
    let (ticket, actions) = local.submit(Millis(2), job(2, 0));
    assert!(actions.is_empty(), "nobody is known to reach the server");
    let actions = local.record_relays(Millis(5), &host("h-2"), &zone("zone-a"), &keys(&["a", "other"]));
    assert_eq!(sent(&actions, ticket), Sent::Through(host("h-2")));
    let (direct, _) = local.submit(Millis(1_005), job(1_005, 0));
    assert!(
        local.tick(Millis(1_006)).is_empty(),
        "the confirmation has expired"
    );
    let actions = local.mark_reachable(Millis(1_010), &id("a"));
    assert_eq!(sent(&actions, direct), Sent::Directly);
}

#[test]
fn a_server_that_is_reached_directly_goes_before_one_reached_through_a_peer() {
    let mut local = dispatcher(&[("a", 40), ("b", 40)]);
    let (ticket, actions) = local.submit(Millis(1), job(1, 0));
    let lost = started(&actions)[0].1.to_owned();
    local.record_end(Millis(2), ticket, AttemptEnd::Unreachable);
    local.mark_reachable(Millis(3), &id(if lost == "a" { "b" } else { "a" }));
    let actions = local.record_relays(Millis(3), &host("h-2"), &zone("zone-a"), &keys(&[&lost]));
    assert!(actions.is_empty());
    for now in 4..24 {
        let (ticket, actions) = local.submit(Millis(now), job(now, 0));
        assert_eq!(sent(&actions, ticket), Sent::Directly);
        local.record_end(Millis(now), ticket, AttemptEnd::Complete);
    }
}

/// Returns the relays that 60 requests were sent through, of a host in zone-a to a server in zone-b.
fn relays_used(confirmed: &[(&str, &str)]) -> Vec<String> {
    let mut local = Dispatcher::new(zone("zone-a"), BOUNDS, 7);
    let entry = EngineEntry {
        zone: zone("zone-b"),
        ..engine("a", 100)
    };
    local.set_engines(Millis(0), vec![entry]);
    lose_all(&mut local, 1, 1);
    for (name, relay_zone) in confirmed {
        local.record_relays(Millis(2), &host(name), &zone(relay_zone), &keys(&["a"]));
    }
    let mut used = Vec::new();
    for now in 3..63 {
        let (ticket, actions) = local.submit(Millis(now), job(now, 0));
        if let Sent::Through(relay) = sent(&actions, ticket) {
            used.push(relay.as_str().to_owned());
        }
        local.record_end(Millis(now), ticket, AttemptEnd::Complete);
    }
    assert_eq!(used.len(), 60, "each request was sent through a peer");
    used.sort_unstable();
    used.dedup();
    used
}

macro_rules! relay_choice {
    ($($name:ident: $confirmed:expr => $used:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(relays_used(&$confirmed), $used);
        }
    )*};
}

relay_choice! {
    peers_of_the_own_zone_come_first:
        [("c-1", "zone-c"), ("b-1", "zone-b"), ("a-1", "zone-a"), ("a-2", "zone-a")] => ["a-1", "a-2"];
    peers_of_the_servers_zone_come_second:
        [("c-1", "zone-c"), ("b-1", "zone-b"), ("b-2", "zone-b")] => ["b-1", "b-2"];
    other_peers_come_last:
        [("c-1", "zone-c"), ("d-1", "zone-d")] => ["c-1", "d-1"];
}

#[test]
fn a_relay_that_failed_is_not_used_until_it_confirms_again() {
    let mut local = dispatcher(&[("a", 4)]);
    lose_all(&mut local, 1, 1);
    local.record_relays(Millis(2), &host("h-2"), &zone("zone-a"), &keys(&["a"]));
    local.drop_relay(Millis(3), &id("a"), &host("h-2"));
    let (ticket, actions) = local.submit(Millis(4), job(4, 0));
    assert!(actions.is_empty());
    let actions = local.record_relays(Millis(5), &host("h-2"), &zone("zone-a"), &keys(&["a"]));
    assert_eq!(sent(&actions, ticket), Sent::Through(host("h-2")));
}

#[test]
fn peers_are_asked_only_about_lost_servers_and_once_a_round() {
    let mut local = dispatcher(&[("a", 4), ("b", 4)]);
    assert_eq!(local.reach_queries(Millis(1)), None);
    let (ticket, actions) = local.submit(Millis(1), job(1, 0));
    let lost = key(started(&actions)[0].1);
    local.record_end(Millis(2), ticket, AttemptEnd::Unreachable);
    let query = local.reach_queries(Millis(3)).expect("a server is lost");
    assert_eq!(query.engines, [lost]);
    assert_eq!(local.reach_queries(Millis(2 + ROUND_MS)), None);
    assert!(local.reach_queries(Millis(3 + ROUND_MS)).is_some());
    for name in ["a", "b"] {
        local.mark_reachable(Millis(4 + ROUND_MS), &id(name));
    }
    assert_eq!(local.reach_queries(Millis(5_000)), None);
}

/// Each host would otherwise ask all others about a crashed server for as long as it is listed.
#[test]
fn peers_are_asked_less_often_about_a_server_that_nobody_reaches() {
    let mut local = dispatcher(&[("a", 4), ("b", 4)]);
    let (ticket, actions) = local.submit(Millis(1), job(1, 0));
    let lost = started(&actions)[0].1.to_owned();
    local.record_end(Millis(1), ticket, AttemptEnd::Unreachable);
    let asked = |local: &mut Dispatcher, rounds: std::ops::Range<u64>| {
        // A host ticks several times in a round.
        let ticks = (rounds.start * ROUND_MS..rounds.end * ROUND_MS).step_by(50);
        ticks
            .filter(|now| local.reach_queries(Millis(*now)).is_some())
            .count()
    };
    assert_eq!(asked(&mut local, 1..9), 8);
    assert_eq!(asked(&mut local, 9..41), 4);
    let now = 41 * ROUND_MS;
    local.record_relays(Millis(now), &host("h-2"), &zone("zone-a"), &keys(&[&lost]));
    assert_eq!(asked(&mut local, 41..49), 8, "a peer reaches it again");
}

#[test]
fn queries_rotate_through_the_lost_servers() {
    let names: Vec<String> = (0..600).map(|number| format!("s-{number}")).collect();
    let entries: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 1)).collect();
    let mut local = dispatcher(&entries);
    lose_all(&mut local, 1, 600);
    let mut asked = Vec::new();
    for round in 1..=3 {
        let query = local
            .reach_queries(Millis(round * ROUND_MS))
            .expect("servers are lost");
        assert!(query.engines.len() * 5 <= 1_300, "the query fits one datagram");
        asked.extend(query.engines);
    }
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked.len(), 600);
}

#[test]
fn a_host_confirms_only_listed_servers_that_it_reaches_directly() {
    let mut local = dispatcher(&[("a", 4), ("b", 4), ("c", 4)]);
    let mut draining = engine("c", 4);
    draining.is_draining = true;
    local.set_engines(Millis(1), vec![engine("a", 4), engine("b", 4), draining]);
    let (ticket, actions) = local.submit(Millis(1), job(1, 0));
    let lost = started(&actions)[0].1.to_owned();
    local.record_end(Millis(2), ticket, AttemptEnd::Unreachable);
    local.record_relays(Millis(3), &host("h-2"), &zone("zone-a"), &keys(&[&lost]));
    let reached = local.reached_directly(&keys(&["a", "b", "c", "unknown"]));
    let direct = if lost == "a" { "b" } else { "a" };
    assert_eq!(reached, [key(direct)]);
}

fn peers(count: usize, zones: usize) -> Vec<(HostId, ZoneId)> {
    let peers = (0..count).map(|number| {
        let peer_zone = zone(&format!("zone-{}", number % zones));
        (host(&format!("h-{number}")), peer_zone)
    });
    peers.collect()
}

fn query(round: u64, relays: Vec<HostId>) -> ReachQuery {
    ReachQuery {
        engines: keys(&["a"]),
        round,
        relays,
        is_urgent: false,
    }
}

#[test]
fn each_round_asks_two_peers_of_the_own_zone_and_two_of_others_until_all_were_asked() {
    let fleet = peers(118, 3);
    let mut asked = Vec::new();
    for round in 0..40 {
        let selected = query(round, Vec::new()).select_peers(&host("h-0"), &zone("zone-0"), &fleet);
        assert_eq!(selected.len(), 4);
        let near = selected.iter().filter(|peer| {
            let entry = fleet.iter().find(|(listed, _)| listed == *peer);
            entry.is_some_and(|(_, peer_zone)| *peer_zone == zone("zone-0"))
        });
        assert_eq!(near.count(), 2);
        asked.extend(selected);
    }
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked.len(), 117, "every peer was asked");
}

macro_rules! peer_selection {
    ($($name:ident: $peers:expr, $relays:expr => $count:expr;)*) => {$(
        #[test]
        fn $name() {
            let relays = $relays.iter().map(|name| host(name)).collect::<Vec<_>>();
            let selected = query(1, relays.clone()).select_peers(&host("h-0"), &zone("zone-0"), &$peers);
            assert_eq!(selected.len(), $count, "{selected:?}");
            assert!(relays.iter().take(2).all(|relay| selected.contains(relay)), "{selected:?}");
            assert!(!selected.contains(&host("h-0")), "{selected:?}");
        }
    )*};
}

peer_selection! {
    no_peers_leave_nobody_to_ask: peers(1, 1), [] as [&str; 0] => 0;
    peers_of_one_zone_fill_the_round: peers(30, 1), [] as [&str; 0] => 4;
    peers_of_other_zones_fill_the_round: peers(30, 30), [] as [&str; 0] => 4;
    two_peers_are_asked_once_each: peers(3, 3), [] as [&str; 0] => 2;
    known_relays_are_asked_again: peers(33, 3), ["h-5", "h-6", "h-7"] => 4;
}

fn failure_share(dispatcher: &Dispatcher, now: u64, name: &str) -> f64 {
    let dump = dispatcher.dump(Millis(now));
    let entry = dump.iter().find(|entry| entry.engine == id(name));
    entry.expect("the server is listed").failure_share
}

/// Ends one attempt at server `a`, sent directly or through a peer, and returns the dispatcher.
fn after_end(end: AttemptEnd, is_relayed: bool) -> Dispatcher {
    let mut local = dispatcher(&[("a", 4)]);
    if is_relayed {
        let (ticket, _) = local.submit(Millis(2), job(2, 0));
        local.record_end(Millis(2), ticket, AttemptEnd::LinkLost);
        local.record_relays(Millis(2), &host("h-2"), &zone("zone-a"), &keys(&["a"]));
    }
    let (ticket, actions) = local.submit(Millis(3), job(3, 0));
    let is_through_peer = matches!(sent(&actions, ticket), Sent::Through(_));
    assert_eq!(is_through_peer, is_relayed);
    local.record_end(Millis(4), ticket, end);
    local
}

macro_rules! attempt_ends {
    ($($name:ident: $end:ident, relayed $is_relayed:expr => failed $is_failure:expr, takes work $takes_work:expr;)*) => {$(
        #[test]
        fn $name() {
            let local = after_end(AttemptEnd::$end, $is_relayed);
            assert_eq!(failure_share(&local, 4, "a") > 0.0, $is_failure);
            assert_eq!(local.dump(Millis(4))[0].takes_work, $takes_work);
        }
    )*};
}

attempt_ends! {
    a_lost_link_is_no_failure_of_the_server: LinkLost, relayed false => failed false, takes work false;
    a_connection_that_was_not_established_counts: Unreachable, relayed false => failed true, takes work false;
    a_peer_that_could_not_connect_is_no_failure: RelayFailed, relayed true => failed false, takes work false;
    a_connection_not_established_by_a_peer_is_no_failure: Unreachable, relayed true => failed false, takes work false;
    a_relayed_response_keeps_the_relay: Complete, relayed true => failed false, takes work true;
    a_relayed_error_of_the_server_counts: Failed, relayed true => failed true, takes work true;
    a_relay_is_not_used_again_after_a_silent_attempt: Unresponsive, relayed true => failed true, takes work false;
}

#[test]
fn failures_during_a_partition_are_forgotten_when_the_server_is_reached_again() {
    let mut local = dispatcher(&[("a", 4)]);
    lose_all(&mut local, 1, 1);
    assert!(failure_share(&local, 2, "a") > 0.1);
    local.mark_reachable(Millis(3), &id("a"));
    assert!(failure_share(&local, 3, "a") <= 0.0);
}

#[test]
fn errors_of_the_server_are_kept_when_it_is_reached_again() {
    let mut local = dispatcher(&[("a", 4)]);
    let (ticket, _) = local.submit(Millis(1), job(1, 0));
    local.record_end(Millis(1), ticket, AttemptEnd::Failed);
    let before = failure_share(&local, 1, "a");
    lose_all(&mut local, 1, 1);
    local.mark_reachable(Millis(1), &id("a"));
    let after = failure_share(&local, 1, "a");
    assert!(after > before / 2.0, "{after} after {before}");
}

/// A server that accepts connections but does not respond would otherwise get requests after each probe.
#[test]
fn a_server_that_accepts_connections_but_is_silent_keeps_its_failures() {
    let mut local = dispatcher(&[("a", 4)]);
    let (ticket, _) = local.submit(Millis(1), job(1, 0));
    local.record_end(Millis(1), ticket, AttemptEnd::Unresponsive);
    assert_eq!(
        local.reach_queries(Millis(2)),
        None,
        "no connection has failed yet"
    );
    assert_eq!(local.due_probes(Millis(2)).len(), 1);
    local.mark_reachable(Millis(3), &id("a"));
    assert!(failure_share(&local, 3, "a") > 0.1);
}

#[test]
fn a_silent_server_counts_as_cut_after_a_failed_probe() {
    let mut local = dispatcher(&[("a", 4)]);
    let (ticket, _) = local.submit(Millis(1), job(1, 0));
    local.record_end(Millis(1), ticket, AttemptEnd::Unresponsive);
    assert_eq!(local.due_probes(Millis(2)).len(), 1);
    assert_eq!(local.due_probes(Millis(2 + ROUND_MS)).len(), 1);
    assert!(local.reach_queries(Millis(3 + ROUND_MS)).is_some());
    local.mark_reachable(Millis(4 + ROUND_MS), &id("a"));
    assert!(failure_share(&local, 4 + ROUND_MS, "a") <= 0.0);
}

fn check_fleet(hosts: usize, servers: usize, cut: Cut) {
    for (form, backends_cut) in [
        (Form::Silent, 1),
        (Form::Silent, BACKENDS),
        (Form::Reset, BACKENDS),
    ] {
        let what = format!("{hosts} hosts, {servers} servers, {cut:?} cut from {backends_cut}, {form:?}");
        let mut fleet = Fleet::new(hosts, servers, cut, form, backends_cut);
        fleet.run();
        let served: Vec<u32> = (0..hosts)
            .map(|host| fleet.served_between(host, SETTLED_MS, HEAL_MS))
            .collect();
        let best = served.iter().copied().max().unwrap_or_default();
        let worst = served.iter().copied().min().unwrap_or_default();
        assert!(best > 0, "{what}");
        let share = f64::from(worst) / f64::from(best);
        assert!(
            share >= MIN_SERVED_SHARE,
            "{what}: the worst host served {worst} requests, the best {best}"
        );
        check_spread(&fleet, &what);
        check_messages(&fleet, &what);
        let late = fleet.relayed_between(DIRECT_AGAIN_MS, END_MS);
        assert_eq!(late, 0, "{what}: requests sent through peers after the cut");
    }
}

fn check_spread(fleet: &Fleet, what: &str) {
    let carried = fleet.carried();
    let mean = f64::from(carried.iter().sum::<u32>()) / carried.len() as f64;
    let most = f64::from(carried.into_iter().max().unwrap_or_default());
    assert!(mean > 0.0, "{what}: no request was sent through a peer");
    assert!(
        most <= mean * MAX_CARRIED_RATIO,
        "{what}: one peer carried {most} requests, the mean is {mean}"
    );
}

fn check_messages(fleet: &Fleet, what: &str) {
    for host in 0..fleet.host_count() {
        let messages = |second: u64| fleet.messages(host, second);
        let before = (0..CUT_MS / 1_000).map(messages).sum::<u32>();
        assert_eq!(before, 0, "{what}: messages while nobody is cut");
        let after = (DIRECT_AGAIN_MS / 1_000 + 1..END_MS / 1_000)
            .map(messages)
            .sum::<u32>();
        assert_eq!(after, 0, "{what}: messages after the cut");
        let most = (CUT_MS / 1_000..SETTLED_MS / 1_000).map(messages).max();
        assert!(most <= Some(MAX_MESSAGES), "{what}: {most:?} messages");
        let most = (SETTLED_MS / 1_000 + 1..HEAL_MS / 1_000).map(messages).max();
        assert!(
            most <= Some(MAX_SETTLED_MESSAGES),
            "{what}: {most:?} messages when settled"
        );
    }
}

macro_rules! partitions {
    ($($name:ident: $hosts:expr, $servers:expr, $cut:ident;)*) => {$(
        #[test]
        fn $name() {
            check_fleet($hosts, $servers, Cut::$cut);
        }
    )*};
}

partitions! {
    some_of_4_hosts: 4, 6, Some;
    most_of_4_hosts: 4, 6, Most;
    a_zone_of_4_hosts: 4, 6, Zone;
    all_but_one_of_4_hosts: 4, 6, AllButOne;
    some_of_33_hosts: 33, 24, Some;
    most_of_33_hosts: 33, 24, Most;
    a_zone_of_33_hosts: 33, 24, Zone;
    all_but_one_of_33_hosts: 33, 24, AllButOne;
    some_of_118_hosts: 118, 80, Some;
    most_of_118_hosts: 118, 80, Most;
    a_zone_of_118_hosts: 118, 80, Zone;
    all_but_one_of_118_hosts: 118, 80, AllButOne;
}
