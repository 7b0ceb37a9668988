//! Tests of blocking requests that crash backend servers.

use carawayseam_dispatch::poison::PoisonTracker;
use carawayseam_types::{Digest, EngineId, HostId, Millis};

const CONTENT: Digest = Digest(7);

fn engine(number: u32) -> EngineId {
    format!("i-{number}").parse().expect("a valid name")
}

fn host(name: &str) -> HostId {
    name.parse().expect("a valid name")
}

#[test]
fn three_crashes_block_a_content() {
    let mut tracker = PoisonTracker::default();
    for number in 1..=3 {
        assert!(!tracker.is_blocked(Millis(5_000), CONTENT));
        assert_eq!(
            tracker.record_crash(Millis(5_000), CONTENT, &engine(number)),
            number
        );
    }
    assert!(tracker.is_blocked(Millis(5_000), CONTENT));
    assert!(!tracker.is_blocked(Millis(5_000), Digest(8)));
}

#[test]
fn connections_that_break_together_are_one_crash() {
    let mut tracker = PoisonTracker::default();
    for now in [5_000, 5_100, 5_200, 5_300] {
        assert_eq!(tracker.record_crash(Millis(now), CONTENT, &engine(1)), 1);
    }
    assert_eq!(
        tracker.record_crash(Millis(9_000), CONTENT, &engine(1)),
        2,
        "a later crash counts"
    );
}

#[test]
fn crashes_at_other_hosts_count() {
    let mut tracker = PoisonTracker::default();
    tracker.record_crash(Millis(5_000), CONTENT, &engine(1));
    tracker.record_peer_crashes(Millis(5_100), &host("a"), CONTENT, 1);
    tracker.record_peer_crashes(Millis(5_200), &host("a"), CONTENT, 1);
    assert!(
        !tracker.is_blocked(Millis(5_300), CONTENT),
        "a repeated report counts once"
    );
    tracker.record_peer_crashes(Millis(5_400), &host("b"), CONTENT, 1);
    assert!(tracker.is_blocked(Millis(5_500), CONTENT));
}

#[test]
fn a_complete_response_clears_earlier_crashes() {
    let mut tracker = PoisonTracker::default();
    tracker.record_crash(Millis(5_000), CONTENT, &engine(1));
    tracker.record_peer_crashes(Millis(5_100), &host("a"), CONTENT, 1);
    tracker.clear(CONTENT);
    tracker.record_crash(Millis(7_000), CONTENT, &engine(1));
    tracker.record_peer_crashes(Millis(7_100), &host("a"), CONTENT, 2);
    assert!(
        !tracker.is_blocked(Millis(7_200), CONTENT),
        "only two crashes since the response"
    );
    tracker.record_crash(Millis(9_000), CONTENT, &engine(2));
    assert!(tracker.is_blocked(Millis(9_100), CONTENT));
}

#[test]
fn cleared_crashes_are_not_reported_to_peers() {
    let mut tracker = PoisonTracker::default();
    tracker.record_crash(Millis(5_000), CONTENT, &engine(1));
    assert_eq!(tracker.gossip_updates(Millis(5_100)), [(CONTENT, 1)]);
    tracker.clear(CONTENT);
    assert_eq!(tracker.gossip_updates(Millis(5_200)), []);
}

#[test]
fn a_content_is_evicted_after_a_minute() {
    let mut tracker = PoisonTracker::default();
    for number in 1..=3 {
        tracker.record_crash(Millis(5_000), CONTENT, &engine(number));
    }
    assert!(tracker.is_blocked(Millis(65_000), CONTENT));
    assert!(!tracker.is_blocked(Millis(65_001), CONTENT));
}

#[test]
fn only_crashes_observed_by_this_host_are_reported_to_peers() {
    let mut tracker = PoisonTracker::default();
    tracker.record_peer_crashes(Millis(5_000), &host("a"), Digest(1), 2);
    tracker.record_crash(Millis(5_000), CONTENT, &engine(1));
    assert_eq!(tracker.gossip_updates(Millis(5_001)), [(CONTENT, 1)]);
}
