//! Slots of a backend server, granted by the one host that owns them.

mod support;

use carawayseam_dispatch::engine::ServerLoad;
use carawayseam_dispatch::load::HostLoad;
use carawayseam_dispatch::{AttemptEnd, Dispatcher};
use carawayseam_types::{EngineKey, HostId, Millis};
use support::{dispatcher, id, job, started};

const HOSTS: usize = 33;

fn host(ix: usize) -> HostId {
    format!("front-{ix}").parse().expect("a valid name")
}

/// Between two announcements, many hosts see the last slot as free. The owner grants it to only one.
#[test]
fn one_of_many_hosts_that_see_the_same_free_slot_gets_it() {
    let key = EngineKey::from(&id("a"));
    let mut hosts: Vec<Dispatcher> = (0..HOSTS).map(|_| dispatcher(&[("a", 1)])).collect();
    let mut granted = 0;
    for ix in 1..HOSTS {
        let (ticket, actions) = hosts[ix].submit(Millis(5), job(0, 0));
        assert_eq!(started(&actions), [(ticket, "a")], "the slot appears free");
        let response = hosts[0].grant_slot(Millis(6), &host(ix), key);
        granted += u32::from(response.expect("the server is known"));
    }
    assert_eq!(granted, 1);
}

#[test]
fn a_released_slot_is_granted_again() {
    let key = EngineKey::from(&id("a"));
    let mut owner = dispatcher(&[("a", 2)]);
    let grant = |owner: &mut Dispatcher, ix| owner.grant_slot(Millis(5), &host(ix), key);
    assert_eq!(grant(&mut owner, 1), Some(true));
    assert_eq!(grant(&mut owner, 2), Some(true));
    assert_eq!(grant(&mut owner, 3), Some(false));
    owner.release_slot(Millis(6), &host(1), key);
    assert_eq!(grant(&mut owner, 3), Some(true));
}

#[test]
fn an_announcement_replaces_earlier_grants() {
    let key = EngineKey::from(&id("a"));
    let mut owner = dispatcher(&[("a", 2)]);
    assert_eq!(owner.grant_slot(Millis(5), &host(1), key), Some(true));
    let running = ServerLoad {
        running: 1,
        prompt_ahead: 0,
    };
    let load = HostLoad {
        engines: vec![(key, running)],
        waiting: Vec::new(),
    };
    owner.record_peer_load(Millis(10), &host(1), load);
    assert_eq!(owner.grant_slot(Millis(11), &host(2), key), Some(true));
    assert_eq!(owner.grant_slot(Millis(12), &host(3), key), Some(false));
    owner.record_peer_load(Millis(20), &host(1), HostLoad::default());
    assert_eq!(owner.grant_slot(Millis(21), &host(3), key), Some(true));
}

#[test]
fn a_slot_of_an_unlisted_server_is_not_granted() {
    let key = EngineKey::from(&id("b"));
    assert_eq!(dispatcher(&[("a", 2)]).grant_slot(Millis(5), &host(1), key), None);
}

#[test]
fn a_request_without_a_granted_slot_goes_to_another_server() {
    let mut dispatcher = dispatcher(&[("a", 1), ("b", 1)]);
    let (ticket, actions) = dispatcher.submit(Millis(5), job(0, 0));
    let [(_, first)] = started(&actions)[..] else {
        panic!("expected a start in a free slot, got {actions:?}");
    };
    let first = first.to_owned();
    dispatcher.record_end(Millis(7), ticket, AttemptEnd::NoSlot);
    let (retry, actions) = dispatcher.submit_unsent(Millis(7), job(0, 0));
    let [(ticket, second)] = started(&actions)[..] else {
        panic!("expected a start at the other server, got {actions:?}");
    };
    assert_eq!(ticket, retry);
    assert_ne!(second, first);
    let failures: f64 = dispatcher
        .dump(Millis(7))
        .iter()
        .map(|engine| engine.failure_share)
        .sum();
    assert!(
        failures.abs() < f64::EPSILON,
        "a missing slot does not count as a failure"
    );
}
