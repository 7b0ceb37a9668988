//! An unresponsive watch is detected within the bounded rate of store calls.

use carawayseam_membership::{WatchAction, WatchEvent, WatchGuard, watchers};
use carawayseam_types::{Incarnation, Millis};
use carawayseam_wire::{Peer, PeerRole, PeerState};

const WAIT: Millis = Millis(30_000);
const COMPARE_EVERY: Millis = Millis(5_000);
const TICK: usize = 50;

/// Runs a guard for `span` ms and returns its actions with their times.
///
/// `store` is the store's revision; `response_at` returns the revision in the
/// watch's response at a time, or none if it does not respond then.
fn run(span: u64, store: u64, response_at: impl Fn(u64) -> Option<u64>) -> Vec<(u64, WatchAction)> {
    let mut guard = WatchGuard::new(WAIT, COMPARE_EVERY);
    let mut seen = Vec::new();
    for now in (0..span).step_by(TICK) {
        let mut actions = Vec::new();
        if let Some(revision) = response_at(now) {
            guard.handle(Millis(now), WatchEvent::Responded { revision }, &mut actions);
        }
        guard.handle(Millis(now), WatchEvent::Tick, &mut actions);
        for action in &actions {
            let compared = WatchEvent::Compared { revision: store };
            match action {
                WatchAction::Compare => guard.handle(Millis(now), compared, &mut Vec::new()),
                WatchAction::Reopen { .. } => {}
            }
        }
        seen.extend(actions.into_iter().map(|action| (now, action)));
    }
    seen
}

fn reopened(actions: &[(u64, WatchAction)]) -> Option<u64> {
    let reopen = |(_, action): &&(u64, WatchAction)| matches!(action, WatchAction::Reopen { .. });
    actions.iter().find(reopen).map(|(now, _)| *now)
}

#[test]
fn unresponsive_watch_is_detected_within_one_comparison() {
    let actions = run(20_000, 9, |now| (now == 0).then_some(5));
    assert!(reopened(&actions).is_some_and(|now| now <= 5_600), "{actions:?}");
}

#[test]
fn watch_that_never_responds_is_reopened() {
    let actions = run(40_000, 0, |_| None);
    assert!(reopened(&actions).is_some_and(|now| now > WAIT.0), "{actions:?}");
}

#[test]
fn healthy_watch_costs_one_call_per_comparison() {
    let actions = run(60_000, 5, |now| now.is_multiple_of(30_000).then_some(5));
    assert_eq!(reopened(&actions), None);
    assert_eq!(actions.len(), 12);
}

fn peer(host: usize, role: PeerRole) -> Peer {
    Peer {
        host: format!("host-{host}").parse().expect("valid name"),
        role,
        zone: "zone-0".parse().expect("valid name"),
        address: ([10, 0, 0, host as u8], 7400).into(),
        incarnation: Incarnation(1),
        state: PeerState::Alive,
    }
}

#[test]
fn loss_of_a_peer_reassigns_only_its_watches() {
    let roles = [PeerRole::Entry, PeerRole::Control];
    let peers: Vec<Peer> = (0..20).map(|host| peer(host, roles[host % 2])).collect();
    let all: Vec<&Peer> = peers.iter().collect();
    let lost = watchers(&all, "k", 2)[0].clone();
    let rest: Vec<&Peer> = peers.iter().filter(|peer| **peer != lost).collect();
    for key in ["a", "b", "c", "k"] {
        let before = watchers(&all, key, 2);
        let after = watchers(&rest, key, 2);
        assert!(before.iter().all(|peer| peer.role == PeerRole::Control));
        assert!(
            before
                .iter()
                .filter(|peer| ***peer != lost)
                .all(|peer| after.contains(peer))
        );
    }
}
