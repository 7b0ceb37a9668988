//! Requests that crash the servers that run them.

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
    let mut suspects = PoisonTracker::default();
    for number in 1..=3 {
        assert!(!suspects.is_blocked(Millis(5_000), CONTENT));
        assert_eq!(
            suspects.record_crash(Millis(5_000), CONTENT, &engine(number)),
            number
        );
    }
    assert!(suspects.is_blocked(Millis(5_000), CONTENT));
    assert!(!suspects.is_blocked(Millis(5_000), Digest(8)));
}

#[test]
fn connections_that_break_together_are_one_crash() {
    let mut suspects = PoisonTracker::default();
    for now in [5_000, 5_100, 5_200, 5_300] {
        assert_eq!(suspects.record_crash(Millis(now), CONTENT, &engine(1)), 1);
    }
    assert_eq!(
        suspects.record_crash(Millis(9_000), CONTENT, &engine(1)),
        2,
        "a later crash counts"
    );
}

#[test]
fn crashes_at_other_hosts_count() {
    let mut suspects = PoisonTracker::default();
    suspects.record_crash(Millis(5_000), CONTENT, &engine(1));
    suspects.record_peer_crashes(Millis(5_100), &host("a"), CONTENT, 1);
    suspects.record_peer_crashes(Millis(5_200), &host("a"), CONTENT, 1);
    assert!(
        !suspects.is_blocked(Millis(5_300), CONTENT),
        "a repeated word counts once"
    );
    suspects.record_peer_crashes(Millis(5_400), &host("b"), CONTENT, 1);
    assert!(suspects.is_blocked(Millis(5_500), CONTENT));
}

#[test]
fn a_whole_answer_takes_back_the_crashes_before_it() {
    let mut suspects = PoisonTracker::default();
    suspects.record_crash(Millis(5_000), CONTENT, &engine(1));
    suspects.record_peer_crashes(Millis(5_100), &host("a"), CONTENT, 1);
    suspects.clear(CONTENT);
    suspects.record_crash(Millis(7_000), CONTENT, &engine(1));
    suspects.record_peer_crashes(Millis(7_100), &host("a"), CONTENT, 2);
    assert!(
        !suspects.is_blocked(Millis(7_200), CONTENT),
        "two crashes since the answer"
    );
    suspects.record_crash(Millis(9_000), CONTENT, &engine(2));
    assert!(suspects.is_blocked(Millis(9_100), CONTENT));
}

#[test]
fn crashes_that_were_taken_back_are_told_to_nobody() {
    let mut suspects = PoisonTracker::default();
    suspects.record_crash(Millis(5_000), CONTENT, &engine(1));
    assert_eq!(suspects.gossip_updates(Millis(5_100)), [(CONTENT, 1)]);
    suspects.clear(CONTENT);
    assert_eq!(suspects.gossip_updates(Millis(5_200)), []);
}

#[test]
fn a_content_is_forgotten_after_a_minute() {
    let mut suspects = PoisonTracker::default();
    for number in 1..=3 {
        suspects.record_crash(Millis(5_000), CONTENT, &engine(number));
    }
    assert!(suspects.is_blocked(Millis(65_000), CONTENT));
    assert!(!suspects.is_blocked(Millis(65_001), CONTENT));
}

#[test]
fn peers_are_told_what_this_host_saw_itself() {
    let mut suspects = PoisonTracker::default();
    suspects.record_peer_crashes(Millis(5_000), &host("a"), Digest(1), 2);
    suspects.record_crash(Millis(5_000), CONTENT, &engine(1));
    assert_eq!(suspects.gossip_updates(Millis(5_001)), [(CONTENT, 1)]);
}
