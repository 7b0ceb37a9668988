//! Gossip rounds of large fleets: their cost, the age of loads, and how updates spread.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod support;

use std::collections::{BTreeMap, BTreeSet};

use carawayseam_dispatch::draining_servers::DrainingServer;
use carawayseam_dispatch::gossip::{
    Budget, EarlierBuilds, PACKET_OVERHEAD_BYTES, ROUND_INTERVAL, Rounds, Status, Statuses, Target,
};
use carawayseam_dispatch::group::SlotOwners;
use carawayseam_dispatch::load::WaitingCount;
use carawayseam_dispatch::{Dispatcher, EngineEntry};
use carawayseam_types::{EngineId, EngineKey, HostId, Incarnation, Millis, Tier, ZoneId};
use carawayseam_wire::{GossipRound, MAX_DATAGRAM_BYTES, MeasuredLoad, PeerMessage, encode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::{BOUNDS, engine, id};

const ZONES: usize = 3;
const SERVERS: usize = 63;
/// The largest number of loads in a round.
const MAX_LOADS: usize = 32;
const MAX_DRAINING: usize = 16;
const START: u64 = 100_000;
/// The size of a report of crashes that fills a datagram, and how many a host has for a round in a burst.
const REPORT_BYTES: usize = 1_300;
const REPORTS_IN_BURST: usize = 6;

fn host(number: usize) -> HostId {
    format!("front-{number}").parse().expect("a valid name")
}

fn zone(number: usize) -> ZoneId {
    format!("zone-{}", number % ZONES).parse().expect("a valid name")
}

fn server(number: usize) -> EngineEntry {
    EngineEntry {
        zone: zone(number),
        ..engine(&format!("s-{number}"), 9)
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Traffic {
    datagrams: u64,
    bytes: u64,
}

struct Host {
    dispatcher: Dispatcher,
    rounds: Rounds,
    budget: Budget,
    is_up: bool,
    sent: Traffic,
    received: Traffic,
}

/// Hosts that exchange rounds on a manual clock.
struct Fleet {
    now: u64,
    hosts: Vec<Host>,
    rng: StdRng,
    loss_percent: u32,
    reports: usize,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let hosts = (0..count).map(|number| {
            let mut dispatcher = Dispatcher::new(zone(number), BOUNDS, number as u64);
            dispatcher.set_engines(Millis(START), (0..SERVERS).map(server).collect());
            Host {
                dispatcher,
                rounds: Rounds::default(),
                budget: Budget::full(Millis(START)),
                is_up: true,
                sent: Traffic::default(),
                received: Traffic::default(),
            }
        });
        Self {
            now: START,
            hosts: hosts.collect(),
            rng: StdRng::seed_from_u64(5),
            loss_percent: 0,
            reports: 0,
        }
    }

    fn targets(&self) -> Vec<Target> {
        let up = (0..self.hosts.len()).filter(|number| self.hosts[*number].is_up);
        up.map(|number| Target {
            host: host(number),
            zone: Some(zone(number)),
        })
        .collect()
    }

    fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += ROUND_INTERVAL.0;
            self.round();
        }
    }

    fn round(&mut self) {
        let now = Millis(self.now);
        let all = self.targets();
        let zones: BTreeMap<HostId, ZoneId> = all
            .iter()
            .filter_map(|target| Some((target.host.clone(), target.zone.clone()?)))
            .collect();
        let owners = SlotOwners::by_zone(zones.keys().cloned().collect(), &zones);
        let servers = (0..SERVERS).map(server);
        let owner_of: BTreeMap<EngineId, HostId> = servers
            .filter_map(|server| {
                let owner = owners.owner(server.id.as_str(), Some(&server.zone))?.clone();
                Some((server.id, owner))
            })
            .collect();
        let numbers: BTreeMap<HostId, usize> = (0..self.hosts.len())
            .map(|number| (host(number), number))
            .collect();
        for number in 0..self.hosts.len() {
            if !self.hosts[number].is_up {
                continue;
            }
            let me = host(number);
            let peers: Vec<Target> = all.iter().filter(|target| target.host != me).cloned().collect();
            let from = &mut self.hosts[number];
            from.dispatcher.tick(now);
            from.dispatcher
                .set_owned_slots(|engine, _| owner_of.get(engine) == Some(&me));
            for target in from.rounds.next(&zone(number), &peers, &mut self.rng) {
                let to_zone = target.zone.expect("a zone");
                let sender = &mut self.hosts[number];
                let loads = sender.dispatcher.measurements_for(now, &me, &to_zone, MAX_LOADS);
                let draining = sender.dispatcher.forwarded_draining_servers(now, MAX_DRAINING);
                let message = PeerMessage::GossipRound(GossipRound {
                    host: me.clone(),
                    incarnation: Incarnation(1_790_000_000_000),
                    seq: self.now,
                    serves_keys: true,
                    configuration: None,
                    waiting: Vec::new(),
                    draining_servers: draining
                        .iter()
                        .map(|server| (server.engine.clone(), server.started))
                        .collect(),
                    loads: loads
                        .iter()
                        .map(|load| MeasuredLoad {
                            engine: load.engine,
                            owner: load.owner.0,
                            version: load.version,
                            age: load.age,
                            running: load.load.running,
                            pending_prompt_tokens: load.load.prompt_ahead,
                        })
                        .collect(),
                });
                let round_bytes = encode(&message).expect("a message").len();
                assert!(
                    round_bytes <= MAX_DATAGRAM_BYTES,
                    "{round_bytes} bytes in a round"
                );
                let sizes =
                    std::iter::once(round_bytes).chain(std::iter::repeat_n(REPORT_BYTES, self.reports));
                let to = numbers[&target.host];
                for (ix, bytes) in sizes.enumerate() {
                    if !self.hosts[number].budget.try_spend(now, 1, bytes) {
                        break;
                    }
                    let bytes = (bytes + PACKET_OVERHEAD_BYTES) as u64;
                    let add = |traffic: &mut Traffic| {
                        traffic.datagrams += 1;
                        traffic.bytes += bytes;
                    };
                    add(&mut self.hosts[number].sent);
                    if self.rng.random_range(0..100) < self.loss_percent {
                        continue;
                    }
                    let receiver = &mut self.hosts[to];
                    add(&mut receiver.received);
                    if ix == 0 {
                        receiver.dispatcher.record_measurements(now, &loads);
                        for server in &draining {
                            receiver.dispatcher.mark_draining(now, server.clone(), false);
                        }
                    }
                }
            }
        }
    }

    /// Returns the largest and the mean traffic of a host in a second, sent and received, during `span` ms.
    fn rates(&mut self, span: u64) -> [[f64; 2]; 4] {
        for host in &mut self.hosts {
            (host.sent, host.received) = Default::default();
        }
        self.run(span);
        let up: Vec<&Host> = self.hosts.iter().filter(|host| host.is_up).collect();
        let rates = |count: fn(&Host) -> u64| {
            let largest = up.iter().map(|host| count(host)).max().unwrap_or(0);
            let sum: u64 = up.iter().map(|host| count(host)).sum();
            let per_second = |count: f64| count * 1_000.0 / span as f64;
            [
                per_second(largest as f64),
                per_second(sum as f64 / up.len() as f64),
            ]
        };
        [
            rates(|host| host.sent.datagrams),
            rates(|host| host.sent.bytes),
            rates(|host| host.received.datagrams),
            rates(|host| host.received.bytes),
        ]
    }
}

/// Guards against traffic that grows with the fleet or with its failures: what 129 hosts sent to each other filled all
/// links after 14 of them returned.
macro_rules! costs {
    ($($name:ident: $hosts:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut fleet = Fleet::new($hosts);
                fleet.run(1_000);
                let alive = fleet.rates(4_000);
                fleet.reports = REPORTS_IN_BURST;
                let burst = fleet.rates(4_000);
                for number in (0..$hosts).filter(|number| number / ZONES % 2 == 0) {
                    fleet.hosts[number].is_up = false;
                }
                let half_lost = fleet.rates(4_000);
                println!("{} hosts: alive {alive:.0?}, crashes {burst:.0?}, half lost {half_lost:.0?}", $hosts);
                for [sent, sent_bytes, received, received_bytes] in [alive, burst, half_lost] {
                    // A burst of the budget adds an eighth over 4 s.
                    assert!(sent[0] <= 67.5 && sent_bytes[0] <= 22_500.0, "{sent:?} {sent_bytes:?}");
                    assert!(received[1] <= 67.5 && received_bytes[1] <= 22_500.0, "{received:?} {received_bytes:?}");
                    // Which hosts a round goes to is random.
                    assert!(received[0] <= 135.0 && received_bytes[0] <= 45_000.0, "{received:?} {received_bytes:?}");
                }
            }
        )*
    };
}

costs! {
    cost_of_30_hosts: 30;
    cost_of_129_hosts: 129;
    cost_of_300_hosts: 300;
    cost_of_1000_hosts: 1_000;
}

/// Guards against loads that are too old to choose a server by, in a zone of 43 hosts.
#[test]
fn loads_of_the_own_zone_are_young() {
    let mut fleet = Fleet::new(129);
    fleet.run(3_000);
    let (mut ages, mut missing) = (Vec::new(), 0);
    for _ in 0..20 {
        fleet.run(100);
        for (number, host_state) in fleet.hosts.iter_mut().enumerate() {
            let loads = host_state.dispatcher.measurements_for(
                Millis(fleet.now),
                &host(number),
                &zone(number),
                1_000,
            );
            missing += SERVERS / ZONES - loads.len();
            ages.extend(loads.iter().map(|load| load.age.0));
        }
    }
    ages.sort_unstable();
    let young = ages.partition_point(|age| *age < 600);
    println!(
        "median {} ms, {young} of {} under 600 ms, {missing} missing",
        ages[ages.len() / 2],
        ages.len()
    );
    assert!(young * 100 >= (ages.len() + missing) * 95);
}

/// Guards against a report that does not reach some host: at 10% loss a server that drains is known to all within 2 s.
#[test]
fn an_update_reaches_all_hosts_although_datagrams_are_lost() {
    let mut fleet = Fleet::new(129);
    fleet.loss_percent = 10;
    fleet.run(1_000);
    let server = DrainingServer {
        engine: id("s-0"),
        started: Some(1),
    };
    assert!(
        fleet.hosts[7]
            .dispatcher
            .mark_draining(Millis(fleet.now), server.clone(), true)
    );
    fleet.run(2_000);
    let now = Millis(fleet.now);
    let unaware = fleet.hosts.iter_mut().filter_map(|host| {
        host.dispatcher
            .mark_draining(now, server.clone(), false)
            .then_some(())
    });
    assert_eq!(unaware.count(), 0);
}

/// Guards against loads of a lost owner that stay for ever, and a server whose load nobody tells any more.
#[test]
fn the_next_owner_tells_the_load_of_a_server() {
    let mut fleet = Fleet::new(129);
    fleet.run(2_000);
    let key = EngineKey::from(&id("s-0"));
    let owner_in = |fleet: &Fleet| {
        let targets = fleet.targets();
        let zones: BTreeMap<HostId, ZoneId> = targets
            .into_iter()
            .filter_map(|target| Some((target.host, target.zone?)))
            .collect();
        let owners = SlotOwners::by_zone(zones.keys().cloned().collect(), &zones);
        owners.owner("s-0", Some(&zone(0))).cloned().expect("an owner")
    };
    let lost = owner_in(&fleet);
    for number in 0..129 {
        fleet.hosts[number].is_up &= host(number) != lost;
    }
    let next = owner_in(&fleet);
    assert_ne!(next, lost);
    fleet.run(2_000);
    let next_key = carawayseam_dispatch::server_loads::OwnerKey::from(&next);
    for number in (0..129).step_by(ZONES) {
        if !fleet.hosts[number].is_up {
            continue;
        }
        let loads = fleet.hosts[number].dispatcher.measurements_for(
            Millis(fleet.now),
            &host(number),
            &zone(0),
            1_000,
        );
        let known = loads.iter().find(|load| load.engine == key).expect("a load");
        assert_eq!(known.owner, next_key, "at host {number}");
    }
}

fn status(incarnation: u64, seq: u64, count: u32) -> Status {
    let waiting = WaitingCount {
        backend: "guides".parse().expect("a valid name"),
        tier: Tier(0),
        count,
    };
    Status {
        incarnation: Incarnation(incarnation),
        seq,
        serves_keys: true,
        waiting: vec![waiting],
    }
}

fn waiting(statuses: &Statuses, now: u64, live: u32) -> u32 {
    let waiting = statuses.waiting_for(Millis(now), &"guides".parse().expect("a valid name"), live);
    waiting.iter().map(|(_, count)| *count).sum()
}

/// Names each round that arrives at 5,100 ms, after one of incarnation 2 with number 7 and 3 waiting requests, and whether it
/// counts. Guards against replayed and outdated rounds.
macro_rules! second_rounds {
    ($($name:ident: $first_at:expr, ($incarnation:expr, $seq:expr) => $counts:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut statuses = Statuses::default();
                assert!(statuses.record(Millis($first_at), &host(1), status(2, 7, 3)));
                assert_eq!(statuses.record(Millis(5_100), &host(1), status($incarnation, $seq, 5)), $counts);
                assert_eq!(waiting(&statuses, 5_100, 1), if $counts { 5 } else { 3 });
            }
        )*
    };
}

second_rounds! {
    the_next_round: 5_000, (2, 8) => true;
    a_round_that_arrives_again: 5_000, (2, 7) => false;
    an_earlier_round: 5_000, (2, 6) => false;
    a_round_of_the_next_process: 5_000, (3, 1) => true;
    a_round_of_an_earlier_process: 5_000, (1, u64::MAX) => false;
    a_round_of_a_process_that_started_at_an_earlier_time_after_a_pause: 2_599, (1, 1) => true;
}

/// Guards against an estimate that leaves out most of the fleet, and against sums that overflow.
#[test]
fn the_hosts_that_were_heard_stand_for_all() {
    let mut statuses = Statuses::default();
    for number in 0..10 {
        statuses.record(Millis(5_000), &host(number), status(1, 1, 2));
    }
    assert_eq!(waiting(&statuses, 5_000, 128), 256);
    assert_eq!(waiting(&statuses, 6_000, 128), 256);
    assert_eq!(
        waiting(&statuses, 6_001, 128),
        0,
        "a second later they do not count"
    );
    assert!(statuses.has_serving_peers(Millis(7_500)));
    assert!(!statuses.has_serving_peers(Millis(7_501)));
    for number in 0..10 {
        statuses.record(Millis(9_000), &host(number), status(1, u64::MAX, u32::MAX));
    }
    assert_eq!(waiting(&statuses, 9_000, u32::MAX), u32::MAX);
}

/// Guards against hosts of earlier builds that get no heartbeats, and against new ones that get them for ever.
#[test]
fn hosts_of_earlier_builds_are_those_that_send_heartbeats_only() {
    let mut builds = EarlierBuilds::default();
    let earlier =
        |builds: &EarlierBuilds, now| builds.hosts(Millis(now)).cloned().collect::<BTreeSet<HostId>>();
    builds.record_heartbeat(Millis(10_000), &host(1));
    builds.record_heartbeat(Millis(10_000), &host(2));
    builds.record_gossip(Millis(10_000), &host(2));
    assert_eq!(earlier(&builds, 11_000), BTreeSet::from([host(1)]));
    assert!(
        earlier(&builds, 11_001).is_empty(),
        "no heartbeat within a second"
    );
    builds.record_heartbeat(Millis(15_000), &host(2));
    assert!(earlier(&builds, 15_000).is_empty());
    builds.record_heartbeat(Millis(15_001), &host(2));
    assert_eq!(
        earlier(&builds, 15_001),
        BTreeSet::from([host(2)]),
        "a host that went back to an earlier build"
    );
}

/// Guards against a budget that absurd sizes or a clock that stands still or steps back overdraw.
#[test]
fn the_budget_bounds_what_is_sent_at_any_step_of_the_clock() {
    let mut budget = Budget::full(Millis(10_000));
    assert!(!budget.try_spend(Millis(10_000), 1, usize::MAX / 2_000_000));
    assert!(!budget.try_spend(Millis(10_000), usize::MAX, usize::MAX));
    let spent = (0..1_000)
        .filter(|_| budget.try_spend(Millis(10_000), 1, 0))
        .count();
    assert_eq!(spent, 30, "half a second's datagrams");
    assert!(
        !budget.try_spend(Millis(0), 1, 0),
        "an earlier time earns nothing"
    );
    let spent = (0..1_000)
        .filter(|_| budget.try_spend(Millis(u64::MAX), 1, 0))
        .count();
    assert_eq!(spent, 30);
}
