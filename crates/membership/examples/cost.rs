//! Measures the time of `Membership::handle` per event and the memory of a membership at a given
//! number of processes.
//!
//! `cargo run --release -p carawayseam-membership --example cost -- 840`
//!
//! The results depend on the machine, so CI checks no limit on them.

use std::fs;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use carawayseam_membership::{Action, Event, Membership, MembershipConfig};
use carawayseam_types::{Incarnation, Millis, Revision};
use carawayseam_wire::{Body, Datagram, GossipUpdate, Head, Peer, PeerRole, Record, RecordKey, encode};

const ZONES: usize = 7;
const RECORDS: usize = 100;
const ROUNDS: u64 = 20_000;
const TICK: Millis = Millis(50);
const PAGE_BYTES: usize = 4_096;
/// Number of memberships whose memory is measured together.
const MEASURED_MEMBERSHIPS: usize = 20;

fn main() {
    let wanted = std::env::args().nth(1).and_then(|text| text.parse().ok());
    let processes = wanted.unwrap_or(840);
    let peers: Vec<Peer> = (0..processes)
        .map(|index| Membership::new(config(index)).dump().me)
        .collect();
    measure_memory(&peers);
    let mut membership = membership_with_peers(&peers);
    time_ticks(&mut membership, &peers);
    time_datagrams(&mut membership, &peers);
}

fn config(index: usize) -> MembershipConfig {
    let role = if index.is_multiple_of(2) {
        PeerRole::Entry
    } else {
        PeerRole::Control
    };
    let [.., high, low] = (index as u32).to_be_bytes();
    MembershipConfig::new(
        format!("entry-host-{}", index / 2).parse().expect("valid name"),
        role,
        format!("zone-{}", index / 2 % ZONES).parse().expect("valid name"),
        SocketAddr::from(([10, 20, high, low], 7400)),
        Incarnation(1),
    )
}

fn membership_with_peers(peers: &[Peer]) -> Membership {
    let mut membership = Membership::new(config(0).known(peers.to_vec()));
    for environment in 0..RECORDS {
        let record = record(environment, Revision(1));
        membership.handle(Millis(0), Event::Record(record), &mut Vec::new());
    }
    membership
}

fn record(environment: usize, revision: Revision) -> Record {
    let name = format!("environment-{environment}");
    let key = RecordKey::Configuration(name.parse().expect("valid name"));
    Record::new(key, revision, format!("revision {revision} ").repeat(400))
}

fn measure_memory(peers: &[Peer]) {
    let before = resident_bytes();
    let memberships: Vec<Membership> = (0..MEASURED_MEMBERSHIPS)
        .map(|_| membership_with_peers(peers))
        .collect();
    let grown = resident_bytes().saturating_sub(before);
    println!(
        "memory of one membership with {} peers and {RECORDS} records: {:.2} MB",
        peers.len(),
        grown as f64 / MEASURED_MEMBERSHIPS as f64 / 1e6
    );
    drop(memberships);
}

/// Returns the resident memory of this process as reported by the kernel.
fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Measures `Event::Tick`. Every probe is answered, so that all peers stay alive.
fn time_ticks(membership: &mut Membership, peers: &[Peer]) {
    let mut took = Duration::ZERO;
    for round in 0..ROUNDS {
        let now = Millis(round * TICK.0);
        let mut actions = Vec::new();
        let start = Instant::now();
        membership.handle(now, Event::Tick, &mut actions);
        took += start.elapsed();
        for ack in actions.iter().filter_map(|action| ack(action, peers)) {
            membership.handle(now, ack, &mut Vec::new());
        }
    }
    report("tick every 50 ms, including probes and rotation", took);
}

fn ack(action: &Action, peers: &[Peer]) -> Option<Event> {
    let Action::Send { to, datagram } = action else {
        return None;
    };
    let Body::Probe { seq } = datagram.body else {
        return None;
    };
    let from = peers.iter().find(|peer| peer.address == *to)?.clone();
    let (body, updates) = (Body::Ack { seq }, Vec::new());
    Some(Event::Datagram {
        from: *to,
        datagram: Datagram { from, body, updates },
    })
}

fn time_datagrams(membership: &mut Membership, peers: &[Peer]) {
    let now = Millis(ROUNDS * TICK.0);
    let head = |round: u64| -> Head { record(round as usize % RECORDS, Revision(1)).head };
    let mut datagrams = Vec::new();
    for round in 0..ROUNDS {
        let from = peers[1 + round as usize % (peers.len() - 1)].clone();
        let updates =
            (0..4).map(|offset| GossipUpdate::Peer(peers[(round as usize + offset) % peers.len()].clone()));
        let updates = updates.chain([GossipUpdate::Head(head(round))]).collect();
        let body = Body::Probe { seq: round };
        datagrams.push(Datagram { from, body, updates });
    }
    let mut actions = Vec::new();
    let start = Instant::now();
    for datagram in datagrams {
        let from = datagram.from.address;
        membership.handle(now, Event::Datagram { from, datagram }, &mut actions);
        for action in actions.drain(..) {
            if let Action::Send { datagram, .. } = action {
                std::hint::black_box(encode(&datagram).map_or(0, |buf| buf.len()));
            }
        }
    }
    report("probe handled, ack encoded", start.elapsed());
}

fn report(label: &str, took: Duration) {
    println!("{label}: {:.2} us", took.as_secs_f64() * 1e6 / ROUNDS as f64);
}
