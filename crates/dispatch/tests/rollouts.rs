//! Moves of traffic to another version.

use carawayseam_dispatch::rollouts::{
    Decision, Evidence, Order, RolloutState, RolloutUpdate, Rollouts, VersionRule,
};
use carawayseam_types::{BackendName, HostId, Millis, VersionId};

const WITHIN: u64 = 12_000;
/// A draw that falls into the small first share.
const FIRST: f64 = 0.0;
/// A draw that does not.
const REST: f64 = 0.5;

fn backend() -> BackendName {
    "guides".parse().expect("a valid name")
}

fn version(name: &str) -> VersionId {
    name.parse().expect("a valid name")
}

fn order() -> Order {
    Order {
        revision: 10,
        to: version("v2"),
        within: Millis(WITHIN),
    }
}

fn ordered() -> Rollouts {
    let mut rollouts = Rollouts::default();
    rollouts.apply_order(Millis(0), backend(), order());
    rollouts
}

fn observe(rollouts: &mut Rollouts, name: &str, good: u32, bad: u32) {
    for number in 0..good + bad {
        rollouts.record_response(&backend(), &version(name), number < bad);
    }
}

fn decided(rollouts: &mut Rollouts, now: u64) -> Option<RolloutState> {
    let decisions = rollouts.due_decisions(Millis(now), 0);
    decisions.first().map(|decision: &Decision| decision.state)
}

macro_rules! ends {
    ($name:ident: new $new:expr, old $old:expr, at $at:expr => $state:expr) => {
        #[test]
        fn $name() {
            let mut rollouts = ordered();
            rollouts.apply_state(&backend(), &version("v2"), RolloutState::Running, 11);
            let (good, bad) = $new;
            observe(&mut rollouts, "v2", good, bad);
            let (good, bad) = $old;
            observe(&mut rollouts, "v1", good, bad);
            assert_eq!(decided(&mut rollouts, $at), $state);
        }
    };
}

ends!(a_good_version_is_finished_before_the_deadline: new (40, 0), old (900, 5), at 11_600 => Some(RolloutState::Complete));
ends!(a_good_version_is_not_finished_early: new (40, 0), old (900, 5), at 11_000 => None);
ends!(a_failing_version_is_taken_back_at_once: new (4, 4), old (90, 1), at 2_000 => Some(RolloutState::RolledBack));
ends!(a_few_failures_are_chance: new (30, 3), old (90, 1), at 2_000 => None);
ends!(a_version_as_bad_as_the_old_is_not_blamed: new (20, 8), old (600, 200), at 2_000 => None);
ends!(too_few_answers_are_no_proof: new (5, 0), old (900, 5), at 11_600 => Some(RolloutState::RolledBack));

#[test]
fn an_order_is_answered_first_with_running() {
    let mut rollouts = ordered();
    assert_eq!(decided(&mut rollouts, 10), Some(RolloutState::Running));
    rollouts.apply_state(&backend(), &version("v2"), RolloutState::Running, 11);
    assert_eq!(decided(&mut rollouts, 20), None);
}

#[test]
fn another_host_writes_only_if_the_first_does_not() {
    let mut rollouts = ordered();
    assert!(rollouts.due_decisions(Millis(10), 2).is_empty());
    assert!(rollouts.due_decisions(Millis(200), 2).is_empty());
    assert_eq!(rollouts.due_decisions(Millis(260), 2).len(), 1);
}

#[test]
fn a_decision_replaces_only_the_state_that_is_known() {
    let mut rollouts = ordered();
    rollouts.apply_state(&backend(), &version("v2"), RolloutState::Running, 11);
    observe(&mut rollouts, "v2", 0, 5);
    assert_eq!(rollouts.due_decisions(Millis(100), 0)[0].expected, 11);
}

#[test]
fn the_new_version_gets_a_small_share_first() {
    let rollouts = ordered();
    let rule = |draw| rollouts.version_rule(Millis(1_000), &backend(), true, draw);
    assert_eq!(rule(FIRST), VersionRule::Only(version("v2")));
    assert_eq!(rule(REST), VersionRule::Not(version("v2")));
}

#[test]
fn a_good_version_gets_all_traffic_shortly_before_the_deadline() {
    let mut rollouts = ordered();
    observe(&mut rollouts, "v2", 40, 0);
    let rule = rollouts.version_rule(Millis(WITHIN - 1_000), &backend(), true, REST);
    assert_eq!(rule, VersionRule::Only(version("v2")));
}

#[test]
fn a_host_that_does_not_hear_the_store_uses_the_old_version() {
    let mut rollouts = ordered();
    observe(&mut rollouts, "v2", 40, 0);
    for now in [1_000, WITHIN - 1_000, WITHIN + 1] {
        let rule = rollouts.version_rule(Millis(now), &backend(), false, FIRST);
        assert_eq!(rule, VersionRule::Not(version("v2")));
    }
}

#[test]
fn a_finished_move_holds_also_without_the_store() {
    let mut rollouts = ordered();
    rollouts.apply_state(&backend(), &version("v2"), RolloutState::Complete, 12);
    let rule = rollouts.version_rule(Millis(WITHIN + 1), &backend(), false, REST);
    assert_eq!(rule, VersionRule::Only(version("v2")));
}

#[test]
fn the_state_of_an_earlier_order_is_not_taken_for_this_ones() {
    let mut rollouts = Rollouts::default();
    rollouts.apply_order(Millis(0), backend(), order());
    rollouts.apply_state(&backend(), &version("v2"), RolloutState::Complete, 4);
    let rule = rollouts.version_rule(Millis(10), &backend(), true, REST);
    assert_eq!(rule, VersionRule::Not(version("v2")));
}

#[test]
fn the_evidence_of_all_hosts_counts() {
    let mut rollouts = ordered();
    rollouts.apply_state(&backend(), &version("v2"), RolloutState::Running, 11);
    for name in ["a", "b", "c", "d"] {
        let host: HostId = name.parse().expect("a valid name");
        let mut counted = ordered();
        observe(&mut counted, "v2", 0, 1);
        let news: Vec<RolloutUpdate> = counted.gossip_updates(Millis(500));
        rollouts.record_peer_update(Millis(500), &host, &news[0]);
        rollouts.record_peer_update(Millis(600), &host, &news[0]);
    }
    assert_eq!(decided(&mut rollouts, 700), Some(RolloutState::RolledBack));
    let rule = rollouts.version_rule(Millis(700), &backend(), true, FIRST);
    assert_eq!(rule, VersionRule::Not(version("v2")));
}

#[test]
fn a_host_that_joined_late_learns_when_the_order_was_given() {
    let mut rollouts = Rollouts::default();
    rollouts.apply_order(Millis(50_000), backend(), order());
    let news = RolloutUpdate {
        backend: backend(),
        revision: 10,
        elapsed: Millis(11_800),
        evidence: Evidence::default(),
    };
    rollouts.record_peer_update(Millis(50_010), &"peer".parse().expect("a valid name"), &news);
    rollouts.apply_state(&backend(), &version("v2"), RolloutState::Running, 11);
    assert_eq!(decided(&mut rollouts, 50_020), Some(RolloutState::RolledBack));
}

/// The soak's seed 300: the state of the second move of a backend was never written.
#[test]
fn the_state_of_a_second_move_replaces_that_of_the_first() {
    let mut rollouts = ordered();
    rollouts.apply_state(&backend(), &version("v2"), RolloutState::Complete, 14);
    let second = Order {
        revision: 20,
        to: version("v3"),
        within: Millis(WITHIN),
    };
    rollouts.apply_order(Millis(20_000), backend(), second);
    let decisions = rollouts.due_decisions(Millis(20_100), 0);
    let first: Vec<_> = decisions
        .iter()
        .map(|decision| (decision.state, decision.expected))
        .collect();
    assert_eq!(first, [(RolloutState::Running, 14)]);
}
