//! Heartbeats of hundreds of hosts about thousands of servers.

mod support;

use carawayseam_dispatch::Dispatcher;
use carawayseam_dispatch::engine::ServerLoad;
use carawayseam_dispatch::load::{HostLoad, WaitingCount};
use carawayseam_types::{EngineKey, HostId, Millis, Tier};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use support::{dispatcher, engine, id};

const HOSTS: usize = 420;
const SERVERS: usize = 3_300;
/// Servers that one host uses at a time.
const IN_USE: usize = 9;
const CASES: u32 = 300;

fn host(number: usize) -> HostId {
    format!("front-{number}").parse().expect("a valid name")
}

fn load(servers: impl Iterator<Item = (String, u32)>) -> HostLoad {
    let engines = servers.map(|(name, running)| {
        let load = ServerLoad {
            running,
            prompt_ahead: running * 100,
        };
        (EngineKey::from(&id(&name)), load)
    });
    HostLoad {
        engines: engines.collect(),
        waiting: Vec::new(),
    }
}

/// What is kept grows with what hosts have in use, not with hosts times servers.
#[test]
fn what_is_kept_of_peers_is_what_they_announced() {
    let entries = (0..SERVERS).map(|number| engine(&format!("s-{number}"), 8));
    let mut here = Dispatcher::new("zone-a".parse().expect("a valid name"), support::BOUNDS, 7);
    here.set_engines(Millis(0), entries.collect());
    for beat in 0..3 {
        for number in 0..HOSTS {
            let in_use = (0..IN_USE).map(|ix| (format!("s-{}", (number * 31 + ix * 7 + beat) % SERVERS), 1));
            here.record_peer_load(Millis(100 * beat as u64), &host(number), load(in_use));
        }
    }
    assert_eq!(here.peer_load_count(), HOSTS * IN_USE);
    here.tick(Millis(10_000));
    assert_eq!(here.peer_load_count(), 0, "hosts that are not heard do not count");
}

/// One thing that peers do.
#[derive(Debug, Clone)]
enum Event {
    Announce(usize, Vec<u32>),
    Grant(usize, usize),
    Return(usize, usize),
    Pass(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let (hosts, servers) = (0..4_usize, 0..3_usize);
    let event = prop_oneof![
        (hosts.clone(), prop::collection::vec(0..3_u32, 3))
            .prop_map(|(host, loads)| Event::Announce(host, loads)),
        (hosts.clone(), servers.clone()).prop_map(|(host, server)| Event::Grant(host, server)),
        (hosts, servers).prop_map(|(host, server)| Event::Return(host, server)),
        (1..900_u64).prop_map(Event::Pass),
    ];
    prop::collection::vec(event, 1..60)
}

/// What a peer has, counted anew from all that it said.
#[derive(Debug, Clone, Default)]
struct Counted {
    at: u64,
    running: [u32; 3],
    granted: [u32; 3],
}

#[test]
fn sums_are_what_a_recount_gives() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let outcome = TestRunner::new_with_rng(config, rng).run(&events(), |events| {
        check(&events);
        Ok(())
    });
    outcome.expect("the sums hold");
}

fn check(events: &[Event]) {
    let names = ["a", "b", "c"];
    let mut here = dispatcher(&[("a", 5), ("b", 5), ("c", 5)]);
    let mut counted = vec![Counted::default(); 4];
    let mut now = 10_000;
    for event in events {
        match event {
            Event::Announce(number, loads) => {
                let servers = names.iter().zip(loads).filter(|(_, running)| **running > 0);
                let servers = servers.map(|(name, running)| ((*name).to_owned(), *running));
                here.record_peer_load(Millis(now), &host(*number), load(servers));
                counted[*number] = Counted {
                    at: now,
                    running: [loads[0], loads[1], loads[2]],
                    granted: [0; 3],
                };
            }
            Event::Grant(number, server) => {
                let key = EngineKey::from(&id(names[*server]));
                if here.grant_slot(Millis(now), &host(*number), key) == Some(true) {
                    counted[*number].at = now;
                    counted[*number].granted[*server] += 1;
                }
            }
            Event::Return(number, server) => {
                let key = EngineKey::from(&id(names[*server]));
                here.release_slot(Millis(now), &host(*number), key);
                let Counted { running, granted, .. } = &mut counted[*number];
                let count = if granted[*server] > 0 { granted } else { running };
                count[*server] = count[*server].saturating_sub(1);
            }
            Event::Pass(span) => {
                now += span;
                here.tick(Millis(now));
                for peer in &mut counted {
                    if now - peer.at > 1_500 {
                        *peer = Counted::default();
                    }
                }
            }
        }
        for dump in here.dump(Millis(now)) {
            let ix = names.iter().position(|name| *name == dump.engine.as_str());
            let ix = ix.expect("it is one of the servers");
            let used: u32 = counted
                .iter()
                .map(|peer| peer.running[ix] + peer.granted[ix])
                .sum();
            assert_eq!(dump.used, used, "at {} after {event:?}", names[ix]);
        }
    }
}

#[test]
fn requests_that_wait_at_a_silent_peer_stop_counting() {
    let mut here = dispatcher(&[("a", 1)]);
    let waiting = WaitingCount {
        backend: "guides".parse().expect("a valid name"),
        tier: Tier(0),
        count: 3,
    };
    let load = HostLoad {
        engines: Vec::new(),
        waiting: vec![waiting],
    };
    here.record_peer_load(Millis(1), &host(1), load);
    let (ticket, actions) = here.submit(Millis(2), support::job(2, 2));
    assert!(actions.is_empty(), "the slot is left to the higher tier");
    let actions = here.tick(Millis(800));
    assert_eq!(support::started(&actions), [(ticket, "a")]);
}
