//! Backends of which a host reaches no server directly.

#[path = "support/partitions.rs"]
mod partitions;
mod support;
#[path = "support/waits.rs"]
mod waits;

use carawayseam_dispatch::reach::{ReachChange, ReachKind};
use carawayseam_dispatch::{AttemptEnd, Dispatcher};
use carawayseam_types::{BackendName, EngineId, Millis};
use partitions::{Sent, host, keys, lose_all, sent, zone};
use support::{dispatcher, engine, id, job, started};
use waits::latest_start;

/// Interval between two probes of a server.
const PROBE_MS: u64 = 350;
/// Number of servers of the large backend.
const SERVERS: usize = 160;
/// Limit of connection attempts at a time to a lost backend.
const MAX_PROBES: usize = 4;

fn backend() -> BackendName {
    "guides".parse().expect("a valid name")
}

fn large() -> Dispatcher {
    let names: Vec<String> = (0..SERVERS).map(|number| format!("s-{number}")).collect();
    let entries: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), 4)).collect();
    dispatcher(&entries)
}

fn take_change(dispatcher: &mut Dispatcher) -> Option<(ReachKind, usize)> {
    let changes = dispatcher.take_reach_changes();
    assert!(changes.len() <= 1);
    let change: Option<ReachChange> = changes.into_iter().next();
    change.map(|change| {
        assert_eq!(change.backend, backend());
        (change.kind, change.servers)
    })
}

fn working(dispatcher: &Dispatcher, now: u64) -> usize {
    let dump = dispatcher.dump(Millis(now));
    dump.iter().filter(|entry| entry.takes_work).count()
}

/// Ends `count` attempts at different servers of a large backend, and returns the dispatcher.
///
/// A response arrived from another server at `responded_at`, or never.
fn after_losses(count: usize, interval: u64, responded_at: Option<u64>) -> Dispatcher {
    let mut local = large();
    if let Some(at) = responded_at {
        let (ticket, _) = local.submit(Millis(at), job(at, 0));
        local.record_first_event(Millis(at), ticket);
    }
    for number in 0..count {
        let now = 1_000 + number as u64 * interval;
        let (ticket, _) = local.submit(Millis(now), job(now, 0));
        local.record_end(Millis(now), ticket, AttemptEnd::Unreachable);
    }
    local
}

macro_rules! losses {
    ($($name:ident: $count:expr, every $interval:expr, response $responded_at:expr => $change:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(take_change(&mut after_losses($count, $interval, $responded_at)), $change);
        }
    )*};
}

losses! {
    three_lost_servers_without_any_response_lose_the_backend:
        3, every 10, response None => Some((ReachKind::Lost, SERVERS));
    three_lost_servers_long_after_a_response_lose_the_backend:
        3, every 10, response Some(500) => Some((ReachKind::Lost, SERVERS));
    two_lost_servers_do_not_lose_the_backend:
        2, every 10, response None => None;
    lost_servers_do_not_lose_a_backend_that_responds:
        30, every 10, response Some(900) => None;
    servers_lost_over_a_longer_time_do_not_lose_the_backend:
        10, every 600, response None => None;
}

#[test]
fn silence_after_the_losses_loses_the_backend() {
    let mut local = after_losses(4, 1, Some(900));
    local.tick(Millis(1_399));
    assert_eq!(take_change(&mut local), None);
    local.tick(Millis(1_400));
    assert_eq!(take_change(&mut local), Some((ReachKind::Lost, SERVERS)));
}

#[test]
fn responses_through_a_peer_do_not_hide_the_loss() {
    let mut local = after_losses(2, 1, Some(100));
    local.record_relays(Millis(1_010), &host("h-2"), &zone("zone-a"), &keys(&["s-1"]));
    lose_all(&mut local, 1_020, 1);
    assert_eq!(
        take_change(&mut local).map(|(kind, _)| kind),
        Some(ReachKind::Lost)
    );
    let relayed: Vec<String> = (0..SERVERS).map(|number| format!("s-{number}")).collect();
    let relayed: Vec<&str> = relayed.iter().map(String::as_str).collect();
    local.record_relays(Millis(1_030), &host("h-2"), &zone("zone-a"), &keys(&relayed));
    let (ticket, actions) = local.submit(Millis(1_040), job(1_040, 0));
    assert_eq!(sent(&actions, ticket), Sent::Through(host("h-2")));
    local.record_first_event(Millis(1_050), ticket);
    local.record_end(Millis(1_060), ticket, AttemptEnd::Complete);
    local.tick(Millis(1_070));
    assert_eq!(take_change(&mut local), Some((ReachKind::Relayed, SERVERS)));
}

#[test]
fn a_small_backend_is_lost_with_all_its_servers() {
    let mut local = dispatcher(&[("a", 4), ("b", 4)]);
    lose_all(&mut local, 1, 1);
    assert_eq!(take_change(&mut local), None);
    assert!(!local.reaches_none(&backend()));
    lose_all(&mut local, 2, 1);
    assert_eq!(take_change(&mut local), Some((ReachKind::Lost, 2)));
    assert!(local.reaches_none(&backend()));
    local.record_relays(Millis(3), &host("h-2"), &zone("zone-a"), &keys(&["a"]));
    assert!(!local.reaches_none(&backend()));
    assert_eq!(take_change(&mut local), Some((ReachKind::Relayed, 1)));
    assert_eq!(take_change(&mut local), None);
    local.mark_reachable(Millis(4), &id("b"));
    assert_eq!(take_change(&mut local), Some((ReachKind::Regained, 1)));
}

#[test]
fn a_backend_without_servers_is_not_lost() {
    let mut local = dispatcher(&[]);
    local.submit(Millis(1), job(1, 0));
    local.tick(Millis(2));
    assert_eq!(take_change(&mut local), None);
    assert!(!local.reaches_none(&backend()));
}

/// Connection attempts to each of 160 lost servers in each interval would be a storm.
#[test]
fn a_lost_backend_is_probed_by_a_rotating_sample() {
    let mut local = after_losses(3, 1, None);
    let mut probed: Vec<EngineId> = Vec::new();
    let rounds = SERVERS / MAX_PROBES;
    for round in 0..rounds as u64 {
        let due = local.due_probes(Millis(1_002 + round * PROBE_MS));
        assert_eq!(due.len(), MAX_PROBES);
        assert!(local.due_probes(Millis(1_003 + round * PROBE_MS)).is_empty());
        probed.extend(due.into_iter().map(|(probed, _)| probed));
    }
    probed.sort_unstable();
    probed.dedup();
    assert_eq!(probed.len(), SERVERS, "every server was probed");
}

#[test]
fn one_successful_probe_makes_all_others_due() {
    let mut local = after_losses(3, 1, None);
    let due = local.due_probes(Millis(1_002));
    local.mark_reachable(Millis(1_010), &due[0].0);
    assert_eq!(take_change(&mut local), None, "the loss was never reported");
    let rest = local.due_probes(Millis(1_011));
    assert_eq!(rest.len(), SERVERS - 1);
    for (reached, _) in &rest {
        local.mark_reachable(Millis(1_020), reached);
    }
    assert_eq!(working(&local, 1_020), SERVERS);
    assert!(local.due_probes(Millis(5_000)).is_empty());
}

/// Servers that crashed together would otherwise delay the requests to the others until the next sample.
#[test]
fn the_sample_begins_with_servers_that_were_reached_until_then() {
    let mut local = dispatcher(&[("a", 1), ("b", 1), ("c", 1), ("d", 1), ("e", 1), ("f", 1)]);
    let mut lost = Vec::new();
    for now in 1..4 {
        let (ticket, actions) = local.submit(Millis(now), job(now, 0));
        lost.push(started(&actions)[0].1.to_owned());
        local.record_end(Millis(now), ticket, AttemptEnd::Unreachable);
    }
    let due = local.due_probes(Millis(4));
    assert_eq!(due.len(), 3);
    assert!(
        due.iter()
            .all(|(probed, _)| !lost.contains(&probed.as_str().to_owned()))
    );
}

#[test]
fn new_and_restarted_servers_of_a_lost_backend_are_probed_first() {
    let mut local = dispatcher(&[("a", 4), ("b", 4)]);
    lose_all(&mut local, 1, 2);
    assert_eq!(local.due_probes(Millis(2)).len(), 2);
    let mut restarted = engine("a", 4);
    restarted.started = Some(2);
    local.set_engines(Millis(3), vec![restarted, engine("b", 4), engine("c", 4)]);
    let (_, actions) = local.submit(Millis(4), job(4, 0));
    assert!(actions.is_empty());
    let due = local.due_probes(Millis(2 + PROBE_MS));
    let mut due: Vec<&str> = due.iter().map(|(probed, _)| probed.as_str()).collect();
    due.sort_unstable();
    assert_eq!(due, ["a", "b", "c"]);
}

#[test]
fn a_lost_backend_searches_relays_among_more_peers_until_one_is_known() {
    let mut local = after_losses(3, 1, None);
    let peers: Vec<_> = (0..118)
        .map(|number| {
            (
                host(&format!("h-{number}")),
                zone(&format!("zone-{}", number % 3)),
            )
        })
        .collect();
    let ask = |local: &mut Dispatcher, now| {
        let query = local.reach_queries(Millis(now)).expect("a round is due");
        let selected = query.select_peers(&host("h-0"), &zone("zone-0"), &peers);
        selected.len()
    };
    assert_eq!(ask(&mut local, 1_010), 20);
    local.record_relays(Millis(1_020), &host("h-7"), &zone("zone-1"), &keys(&["s-1"]));
    assert_eq!(ask(&mut local, 1_010 + PROBE_MS), 4);
    local.tick(Millis(2_030));
    assert_eq!(ask(&mut local, 2_030), 20, "the only relay has expired");
    local.tick(Millis(10_000));
    assert_eq!(ask(&mut local, 10_000), 4, "nobody seems to reach the servers");
}

#[test]
fn waiting_requests_of_an_unreached_backend_are_kept_while_they_can_be_answered() {
    let mut local = dispatcher(&[("a", 4)]);
    lose_all(&mut local, 1, 1);
    let waiting = job(10, 0);
    let latest_start = latest_start(&local, &waiting);
    let (ticket, actions) = local.submit(Millis(10), waiting);
    assert!(actions.is_empty());
    assert!(local.tick(latest_start).is_empty());
    assert_eq!(local.tick(latest_start + Millis(1)).len(), 1);
    assert!(local.reaches_none(&backend()));
    local.withdraw(ticket);
}

#[test]
fn a_failed_connection_for_a_peer_is_not_confirmed_again() {
    let mut local = dispatcher(&[("a", 4), ("b", 4)]);
    local.mark_unreachable(Millis(1), &id("a"));
    assert_eq!(local.reached_directly(&keys(&["a", "b"])), keys(&["b"]));
}

/// A server that is silent is otherwise taken for one that is cut off, because another one has crashed.
#[test]
fn a_crashed_server_does_not_excuse_silent_ones() {
    let mut local = dispatcher(&[("a", 1), ("b", 1), ("c", 1), ("d", 1), ("e", 1)]);
    lose_all(&mut local, 1, 1);
    let mut silent = Vec::new();
    for now in 2_000..2_003 {
        let (ticket, actions) = local.submit(Millis(now), job(now, 0));
        silent.push(started(&actions)[0].1.to_owned());
        local.record_end(Millis(now), ticket, AttemptEnd::Unresponsive);
    }
    assert_eq!(take_change(&mut local), Some((ReachKind::Lost, 5)));
    let query = local
        .reach_queries(Millis(2_004))
        .expect("the crashed server is lost");
    assert_eq!(query.engines.len(), 1);
    for (probed, _) in local.due_probes(Millis(2_005)) {
        local.mark_reachable(Millis(2_006), &probed);
    }
    for (probed, _) in local.due_probes(Millis(2_007)) {
        local.mark_reachable(Millis(2_008), &probed);
    }
    for entry in local.dump(Millis(2_009)) {
        let is_silent = silent.contains(&entry.engine.as_str().to_owned());
        assert_eq!(entry.failure_share > 0.1, is_silent, "{}", entry.engine);
    }
}
