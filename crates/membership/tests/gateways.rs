//! The membership of gateway hosts: a listed set of peers, its cost, and its verdicts under failures.

mod network;

use std::collections::BTreeSet;

use carawayseam_membership::{Event, Membership, MembershipConfig, SendLimit, Timing};
use carawayseam_types::{HostId, Incarnation, Millis};
use carawayseam_wire::{Body, Datagram, GossipUpdate, Peer, PeerRole, PeerState};
use network::{Faults, Network, Node, Traffic, address};

/// The timing of the gateways.
const TIMING: Timing = Timing {
    probe_period: Millis(200),
    direct_timeout: Millis(150),
    probe_timeout: Millis(400),
    suspicion_timeout: Millis(600),
};
/// What a gateway sends at most.
const SEND_LIMIT: SendLimit = SendLimit {
    datagrams_per_second: 11,
    bytes_per_second: 3_600,
    burst: Millis(500),
};
const ZONES: usize = 3;
const START: u64 = 1_000;
const MAX_DATAGRAMS_PER_SECOND: f64 = 12.0;
const MAX_BYTES_PER_SECOND: f64 = 4_000.0;

fn peer(index: usize, incarnation: u64) -> Peer {
    Peer {
        host: format!("front-{index}").parse().expect("a valid name"),
        role: PeerRole::Gateway,
        zone: format!("zone-{}", index % ZONES).parse().expect("a valid name"),
        address: address(index),
        incarnation: Incarnation(incarnation),
        state: PeerState::Alive,
    }
}

fn node(index: usize, incarnation: u64) -> Node {
    let Peer {
        host,
        role,
        zone,
        address,
        incarnation,
        ..
    } = peer(index, incarnation);
    let config = MembershipConfig::new(host, role, zone, address, incarnation)
        .timing(TIMING)
        .max_broadcast_peers(0)
        .without_joins()
        .send_limit(SEND_LIMIT)
        .seed(incarnation.0 + index as u64);
    Node::with(Membership::new(config), address)
}

fn listed(count: usize) -> Vec<Peer> {
    (0..count).map(|index| peer(index, START)).collect()
}

/// Returns a fleet whose hosts are all listed and have run for a while.
fn fleet(count: usize, seed: u64) -> Network {
    let mut network = Network::new(0, ZONES, seed);
    network.nodes = (0..count).map(|index| node(index, START)).collect();
    for index in 0..count {
        network.inject(index, Event::Listed(listed(count)));
    }
    network.run(3_000);
    network
}

/// Returns a host's reachable peers, as the gateway derives them.
fn alive(network: &Network, by: usize) -> Vec<usize> {
    let membership = &network.nodes[by].membership;
    if membership.is_isolated() {
        return Vec::new();
    }
    let indices = (0..network.nodes.len()).filter(|index| {
        let address = network.nodes[*index].address;
        membership.alive().any(|peer| peer.address == address)
    });
    indices.collect()
}

/// Returns the hosts that another host, which is up, counts as dead.
fn dead_hosts(network: &Network) -> BTreeSet<HostId> {
    let up = network.nodes.iter().filter(|node| node.up);
    let peers = up.flat_map(|node| node.membership.dump().peers);
    let dead = peers.filter(|peer| peer.state == PeerState::Dead);
    dead.map(|peer| peer.host).collect()
}

fn is_dead_anywhere(network: &Network, of: usize) -> bool {
    dead_hosts(network).contains(&peer(of, START).host)
}

/// Returns whether all hosts that are up count all others that are up as alive, and no more.
fn all_agree(network: &Network) -> bool {
    let up = network.nodes.iter().filter(|node| node.up).count();
    let mut nodes = network.nodes.iter().filter(|node| node.up);
    nodes.all(|node| !node.membership.is_isolated() && node.membership.alive().count() + 1 == up)
}

/// Returns the mean traffic of a host in one second, the largest of all hosts, during `span` ms.
fn largest_rates(network: &mut Network, span: u64) -> [(f64, f64); 2] {
    for node in &mut network.nodes {
        (node.sent, node.received) = (Traffic::default(), Traffic::default());
    }
    network.run(span);
    let rate = |count: u64| count as f64 * 1_000.0 / span as f64;
    let mut largest = [(0.0_f64, 0.0_f64); 2];
    for node in network.nodes.iter().filter(|node| node.up) {
        for (largest, traffic) in largest.iter_mut().zip([node.sent, node.received]) {
            largest.0 = largest.0.max(rate(traffic.datagrams));
            largest.1 = largest.1.max(rate(traffic.bytes));
        }
    }
    largest
}

/// Guards against a cost that grows with the fleet: at 129 hosts, heartbeats to all and lists of hosts that are not heard
/// filled all links.
macro_rules! costs {
    ($($name:ident: $hosts:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut network = fleet($hosts, 3);
                let alive = largest_rates(&mut network, 8_000);
                for index in (0..$hosts).step_by(2) {
                    network.nodes[index].up = false;
                }
                let half_lost = largest_rates(&mut network, 8_000);
                println!("{} hosts: alive {alive:?}, half lost {half_lost:?}", $hosts);
                for (datagrams, bytes) in alive.into_iter().chain(half_lost) {
                    assert!(datagrams <= MAX_DATAGRAMS_PER_SECOND, "{datagrams} datagrams a second");
                    assert!(bytes <= MAX_BYTES_PER_SECOND, "{bytes} bytes a second");
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

/// Guards against a fleet that loses sight of sound hosts after 14 of 129 lost power and returned.
#[test]
fn no_live_host_is_declared_dead_when_others_lose_power_and_return() {
    const LOST: usize = 14;
    let mut network = fleet(129, 5);
    for index in 0..LOST {
        network.nodes[index].up = false;
    }
    let lost: BTreeSet<HostId> = (0..LOST).map(|index| peer(index, START).host).collect();
    for _ in 0..15 {
        network.run(200);
        assert!(dead_hosts(&network).is_subset(&lost));
    }
    for index in 0..LOST {
        network.nodes[index] = node(index, START + 1);
        network.inject(index, Event::Listed(listed(129)));
    }
    let span = network.run_until(15_000, all_agree);
    println!("all agree {span} ms after the return");
    assert!(dead_hosts(&network).is_subset(&lost));
}

/// Guards against requests to owners that are lost, which time out.
macro_rules! losses {
    ($($name:ident: $hosts:expr, $lost:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut network = fleet($hosts, 7);
                for index in 0..$lost {
                    network.nodes[index].up = false;
                }
                let span = network.run_until(4_000, |network| {
                    ($lost..$hosts).all(|by| alive(network, by).iter().all(|of| *of >= $lost))
                });
                println!("{} of {} hosts lost: out of reach after {span} ms", $lost, $hosts);
            }
        )*
    };
}

losses! {
    one_of_30_hosts_is_lost: 30, 1;
    one_of_129_hosts_is_lost: 129, 1;
    fourteen_of_129_hosts_are_lost: 129, 14;
    one_of_300_hosts_is_lost: 300, 1;
}

/// Guards against a host with a full link that declares sound hosts dead, and spreads it.
macro_rules! lossy_hosts {
    ($($name:ident: $seed:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut network = fleet(129, $seed);
                network.nodes[0].loss_percent = 67;
                for _ in 0..100 {
                    network.run(200);
                    let mut dead = dead_hosts(&network);
                    dead.remove(&peer(0, START).host);
                    assert!(dead.is_empty(), "{dead:?} at {}", network.now);
                }
            }
        )*
    };
}

lossy_hosts! {
    a_host_that_loses_most_datagrams_declares_no_sound_host_dead: 9;
    a_host_that_loses_most_datagrams_declares_no_sound_host_dead_again: 10;
    a_host_that_loses_most_datagrams_declares_no_sound_host_dead_in_a_third_run: 31;
}

/// Guards against two halves of a fleet that keep each other dead after the partition between them ends.
#[test]
fn a_zone_is_partitioned_and_taken_back() {
    let mut network = fleet(129, 11);
    for (index, node) in network.nodes.iter_mut().enumerate() {
        node.side = u8::from(index % ZONES == 0);
    }
    let is_split = |network: &Network| {
        (0..129).all(|by| {
            alive(network, by)
                .iter()
                .all(|of| (of % ZONES == 0) == (by % ZONES == 0))
        })
    };
    let span = network.run_until(4_000, is_split);
    network.run(6_000);
    for node in &mut network.nodes {
        node.side = 0;
    }
    let healed = network.run_until(15_000, all_agree);
    println!("split after {span} ms, healed after {healed} ms");
}

/// Guards against a host that is cut off alone: it must not count peers that it cannot reach, nor forget them or tell the
/// others, once it is back, that they are dead.
#[test]
fn an_isolated_host_keeps_its_peers() {
    let mut network = fleet(129, 13);
    network.nodes[0].side = 1;
    network.run(1_500);
    assert!(alive(&network, 0).is_empty());
    network.run(10_000);
    assert!(alive(&network, 0).is_empty());
    assert_eq!(network.nodes[0].membership.live().len(), 128, "they are kept");
    network.nodes[0].side = 0;
    for _ in 0..25 {
        network.run(200);
        let mut dead = dead_hosts(&network);
        dead.remove(&peer(0, START).host);
        assert!(dead.is_empty(), "{dead:?}");
    }
    assert!(all_agree(&network));
}

/// Guards against a host that nobody takes back, because its time of day stepped back while it was down.
#[test]
fn a_host_that_restarts_with_an_earlier_time_is_taken_back() {
    let mut network = fleet(30, 15);
    network.nodes[4].up = false;
    network.run(6_000);
    assert!(is_dead_anywhere(&network, 4));
    network.nodes[4] = node(4, START - 900);
    network.nodes[4].address = address(44);
    let mut list = listed(30);
    list[4].incarnation = Incarnation(START - 900);
    list[4].address = address(44);
    let Peer { host, role, zone, .. } = peer(4, START);
    let config = MembershipConfig::new(host, role, zone, address(44), Incarnation(START - 900))
        .timing(TIMING)
        .max_broadcast_peers(0)
        .without_joins()
        .send_limit(SEND_LIMIT);
    network.nodes[4].membership = Membership::new(config);
    for index in 0..30 {
        network.inject(index, Event::Listed(list.clone()));
    }
    network.run_until(15_000, all_agree);
}

/// Guards against a list that is lost with the store: hosts keep each other without it, under losses of datagrams.
#[test]
fn hosts_keep_each_other_without_a_new_list() {
    let mut network = fleet(30, 17);
    network.faults = Faults {
        loss_percent: 5,
        duplicate_percent: 10,
        jitter_ms: 30,
    };
    network.run(60_000);
    network.faults = Faults::default();
    network.run_until(5_000, all_agree);
}

fn datagram(from: Peer, updates: Vec<GossipUpdate>) -> Event {
    Event::Datagram {
        from: from.address,
        datagram: Datagram {
            from,
            body: Body::Gossip,
            updates,
        },
    }
}

/// Names the datagrams that change nothing in what a host of 30 knows of the others.
macro_rules! changes_nothing {
    ($($name:ident: $event:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut network = fleet(30, 19);
                let before = network.nodes[0].membership.dump().peers;
                network.inject(0, $event);
                assert_eq!(network.nodes[0].membership.dump().peers, before);
            }
        )*
    };
}

changes_nothing! {
    // Guards against a member that no list names.
    gossip_about_a_host_that_was_never_listed: datagram(peer(1, START), vec![GossipUpdate::Peer(peer(99, START))]);
    a_datagram_of_a_host_that_was_never_listed: datagram(peer(99, START), vec![]);
    // Guards against verdicts of a host that no list names.
    a_verdict_of_a_host_that_was_never_listed: datagram(peer(99, START), vec![GossipUpdate::Peer(Peer {
        state: PeerState::Dead, ..peer(2, START)
    })]);
    // Guards against a replayed verdict on an earlier process.
    a_verdict_on_an_earlier_process: datagram(peer(1, START), vec![GossipUpdate::Peer(Peer {
        state: PeerState::Dead, ..peer(2, START - 1)
    })]);
    a_datagram_of_an_earlier_process: datagram(peer(1, START - 1), vec![]);
}

/// Guards against an incarnation that cannot be refuted, since no higher one exists.
#[test]
fn a_suspicion_with_the_highest_incarnation_overflows_nothing() {
    let mut network = fleet(30, 21);
    let suspect = Peer {
        state: PeerState::Suspect,
        ..peer(0, u64::MAX)
    };
    network.inject(0, datagram(peer(1, START), vec![GossipUpdate::Peer(suspect)]));
    network.run(1_000);
    assert_eq!(network.nodes[0].membership.alive().count(), 29);
}

/// Guards against a member that stays for ever after its host was removed from the list.
#[test]
fn a_host_that_is_no_longer_listed_is_forgotten_once_it_is_dead() {
    let mut network = fleet(30, 23);
    for index in 0..29 {
        network.inject(index, Event::Listed(listed(29)));
    }
    assert_eq!(
        network.peer_state(0, 29),
        Some(PeerState::Alive),
        "it still answers"
    );
    network.nodes[29].up = false;
    network.run(6_000);
    for index in 0..29 {
        network.inject(index, Event::Listed(listed(29)));
        assert_eq!(network.peer_state(index, 29), None);
    }
}

/// Guards against a fleet in trouble that sends more: a host without any answer probes no more than one with answers.
#[test]
fn an_isolated_host_sends_no_more_than_others() {
    let mut network = fleet(129, 25);
    network.nodes[0].side = 1;
    network.nodes[0].sent = Traffic::default();
    network.run(10_000);
    let Traffic { datagrams, bytes } = network.nodes[0].sent;
    println!("isolated: {datagrams} datagrams, {bytes} bytes in 10 s");
    assert!(
        datagrams <= 120 && bytes <= 40_000,
        "{datagrams} datagrams, {bytes} bytes in 10 s"
    );
}
