//! Load announcements of hundreds of hosts for thousands of servers.

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
/// Number of servers that one host uses at a time.
const SERVERS_PER_HOST: usize = 9;
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

/// The stored entries grow with the servers in use per host, not with hosts times servers.
#[test]
fn only_announced_peer_loads_are_stored() {
    let entries = (0..SERVERS).map(|number| engine(&format!("s-{number}"), 8));
    let mut local = Dispatcher::new("zone-a".parse().expect("a valid name"), support::BOUNDS, 7);
    local.set_engines(Millis(0), entries.collect());
    for round in 0..3 {
        for number in 0..HOSTS {
            let in_use = (0..SERVERS_PER_HOST)
                .map(|ix| (format!("s-{}", (number * 31 + ix * 7 + round) % SERVERS), 1));
            local.record_peer_load(Millis(100 * round as u64), &host(number), load(in_use));
        }
    }
    assert_eq!(local.peer_load_count(), HOSTS * SERVERS_PER_HOST);
    local.tick(Millis(10_000));
    assert_eq!(local.peer_load_count(), 0, "loads of unresponsive hosts expire");
}

/// An action of a peer, or the passing of time.
#[derive(Debug, Clone)]
enum Event {
    Announce(usize, Vec<u32>),
    Grant(usize, usize),
    Release(usize, usize),
    Advance(u64),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let (hosts, servers) = (0..4_usize, 0..3_usize);
    let event = prop_oneof![
        (hosts.clone(), prop::collection::vec(0..3_u32, 3))
            .prop_map(|(host, loads)| Event::Announce(host, loads)),
        (hosts.clone(), servers.clone()).prop_map(|(host, server)| Event::Grant(host, server)),
        (hosts, servers).prop_map(|(host, server)| Event::Release(host, server)),
        (1..900_u64).prop_map(Event::Advance),
    ];
    prop::collection::vec(event, 1..60)
}

/// Load of a peer, recounted from its announcements, grants and releases.
#[derive(Debug, Clone, Default)]
struct ExpectedLoad {
    at: u64,
    running: [u32; 3],
    granted: [u32; 3],
}

#[test]
fn peer_load_sums_match_a_recount() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let outcome = TestRunner::new_with_rng(config, rng).run(&events(), |events| {
        check_sums(&events);
        Ok(())
    });
    outcome.expect("the sums match the recount");
}

fn check_sums(events: &[Event]) {
    let names = ["a", "b", "c"];
    let mut local = dispatcher(&[("a", 5), ("b", 5), ("c", 5)]);
    let mut expected = vec![ExpectedLoad::default(); 4];
    let mut now = 10_000;
    for event in events {
        match event {
            Event::Announce(number, loads) => {
                let servers = names.iter().zip(loads).filter(|(_, running)| **running > 0);
                let servers = servers.map(|(name, running)| ((*name).to_owned(), *running));
                local.record_peer_load(Millis(now), &host(*number), load(servers));
                expected[*number] = ExpectedLoad {
                    at: now,
                    running: [loads[0], loads[1], loads[2]],
                    granted: [0; 3],
                };
            }
            Event::Grant(number, server) => {
                let key = EngineKey::from(&id(names[*server]));
                if local.grant_slot(Millis(now), &host(*number), key) == Some(true) {
                    expected[*number].at = now;
                    expected[*number].granted[*server] += 1;
                }
            }
            Event::Release(number, server) => {
                let key = EngineKey::from(&id(names[*server]));
                local.release_slot(Millis(now), &host(*number), key);
                let ExpectedLoad { running, granted, .. } = &mut expected[*number];
                let count = if granted[*server] > 0 { granted } else { running };
                count[*server] = count[*server].saturating_sub(1);
            }
            Event::Advance(span) => {
                now += span;
                local.tick(Millis(now));
                for peer in &mut expected {
                    if now - peer.at > 1_500 {
                        *peer = ExpectedLoad::default();
                    }
                }
            }
        }
        for dump in local.dump(Millis(now)) {
            let ix = names.iter().position(|name| *name == dump.engine.as_str());
            let ix = ix.expect("the dump lists only known servers");
            let used: u32 = expected
                .iter()
                .map(|peer| peer.running[ix] + peer.granted[ix])
                .sum();
            assert_eq!(dump.used, used, "at {} after {event:?}", names[ix]);
        }
    }
}

#[test]
fn requests_waiting_at_an_unresponsive_peer_stop_counting() {
    let mut local = dispatcher(&[("a", 1)]);
    let waiting = WaitingCount {
        backend: "guides".parse().expect("a valid name"),
        tier: Tier(0),
        count: 3,
    };
    let load = HostLoad {
        engines: Vec::new(),
        waiting: vec![waiting],
    };
    local.record_peer_load(Millis(1), &host(1), load);
    let (ticket, actions) = local.submit(Millis(2), support::job(2, 2));
    assert!(actions.is_empty(), "the slot is reserved for the higher tier");
    let actions = local.tick(Millis(800));
    assert_eq!(support::started(&actions), [(ticket, "a")]);
}
