//! A simulated network of memberships in one thread, with faults and a clock offset per process.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use carawayseam_membership::{Action, Event, Membership, MembershipConfig, Refusal};
use carawayseam_types::{Incarnation, Millis, Revision};
use carawayseam_wire::{Item, Peer, PeerRole, PeerState, Record, RecordKey, decode_datagram, encode};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

pub const TICK: u64 = 50;

/// The faults that the network applies to datagrams.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub loss_percent: u32,
    pub duplicate_percent: u32,
    pub jitter_ms: u64,
}

/// Datagrams, and their bytes with the UDP and IP headers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    pub datagrams: u64,
    pub bytes: u64,
}

impl Traffic {
    const fn add(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += bytes as u64 + 28;
    }
}

#[derive(Debug)]
pub struct Node {
    pub membership: Membership,
    pub address: SocketAddr,
    pub up: bool,
    /// The side of a partition; nodes on different sides cannot reach each other.
    pub side: u8,
    /// Offset of the node's clock from the time of the network, in milliseconds.
    pub clock_offset: u64,
    /// The share of the node's own datagrams, in either direction, that is lost.
    pub loss_percent: u32,
    pub sent: Traffic,
    pub received: Traffic,
    pub applied: Vec<(RecordKey, Revision)>,
    pub delivered: Vec<(u64, Item)>,
    pub refused: Vec<Refusal>,
    pub peers: Vec<Peer>,
}

#[derive(Debug)]
enum Delivery {
    Datagram {
        from: usize,
        to: SocketAddr,
        buf: Vec<u8>,
    },
    Pull {
        by: usize,
        from: SocketAddr,
        key: RecordKey,
    },
    Response {
        to: usize,
        event: Event,
    },
}

#[derive(Debug)]
pub struct Network {
    pub nodes: Vec<Node>,
    pub now: u64,
    pub faults: Faults,
    pub sent_bytes: u64,
    rng: Xoshiro256PlusPlus,
    deliveries: BTreeMap<(u64, u64), Delivery>,
    count: u64,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 20, (index / 200) as u8, (index % 200) as u8 + 1], 7400))
}

pub fn config(index: usize, zones: usize, incarnation: u64) -> MembershipConfig {
    let role = if index.is_multiple_of(2) {
        PeerRole::Entry
    } else {
        PeerRole::Control
    };
    MembershipConfig::new(
        format!("host-{}", index / 2).parse().expect("valid name"),
        role,
        format!("zone-{}", (index / 2) % zones)
            .parse()
            .expect("valid name"),
        address(index),
        Incarnation(incarnation),
    )
    .seed(index as u64 + incarnation * 1_000)
    .seeds(vec![address(0), address(3)])
}

pub fn record(revision: u64) -> Record {
    record_with(revision, &format!("revision: {revision}"))
}

pub fn record_with(revision: u64, body: &str) -> Record {
    Record::new(record_key(), Revision(revision), body.to_owned())
}

pub fn record_key() -> RecordKey {
    RecordKey::Configuration("ben-slama".parse().expect("valid name"))
}

impl Network {
    pub fn new(count: usize, zones: usize, seed: u64) -> Self {
        let nodes = (0..count).map(|index| Node::new(index, zones, 1)).collect();
        Self {
            nodes,
            now: 1_000,
            faults: Faults {
                jitter_ms: 5,
                ..Faults::default()
            },
            sent_bytes: 0,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            deliveries: BTreeMap::new(),
            count: 0,
        }
    }

    /// Runs the network for `span` ms.
    pub fn run(&mut self, span: u64) {
        let end = self.now + span;
        while self.now < end {
            self.now += TICK;
            self.deliver();
            for index in 0..self.nodes.len() {
                self.inject(index, Event::Tick);
            }
        }
    }

    /// Runs until `done` and returns the elapsed time in milliseconds; panics after `limit` ms.
    pub fn run_until(&mut self, limit: u64, done: impl Fn(&Self) -> bool) -> u64 {
        let start = self.now;
        while !done(self) {
            assert!(self.now - start < limit, "not done after {limit} ms");
            self.run(TICK);
        }
        self.now - start
    }

    pub fn inject(&mut self, index: usize, event: Event) {
        let node = &mut self.nodes[index];
        if !node.up {
            return;
        }
        let mut actions = Vec::new();
        let now = Millis(self.now + node.clock_offset);
        node.membership.handle(now, event, &mut actions);
        for action in actions {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: Action) {
        let node = &mut self.nodes[index];
        match action {
            Action::Send { to, datagram } => {
                let buf = encode(&datagram).expect("datagram encodes");
                assert!(decode_datagram(&buf).is_ok(), "{} bytes in a datagram", buf.len());
                self.send(index, to, &buf);
            }
            Action::Pull { from, key } => self.schedule(1, Delivery::Pull { by: index, from, key }),
            Action::Apply(record) => node.applied.push((record.head.key, record.head.revision)),
            Action::Peers(peers) => node.peers = peers,
            Action::Deliver(item) => node.delivered.push((self.now, item)),
            Action::Refuse(refused) => node.refused.push(refused),
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, buf: &[u8]) {
        self.sent_bytes += buf.len() as u64;
        self.nodes[from].sent.add(buf.len());
        if self.rng.random_range(0..100) < self.nodes[from].loss_percent {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < self.faults.duplicate_percent);
        for _ in 0..copies {
            if self.rng.random_range(0..100) < self.faults.loss_percent {
                continue;
            }
            let delay = 1 + self.rng.random_range(0..=self.faults.jitter_ms);
            let buf = buf.to_owned();
            self.schedule(delay, Delivery::Datagram { from, to, buf });
        }
    }

    fn schedule(&mut self, delay: u64, delivery: Delivery) {
        self.count += 1;
        self.deliveries.insert((self.now + delay, self.count), delivery);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.deliveries.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Delivery::Datagram { from, to, buf } => self.deliver_datagram(from, to, &buf),
                Delivery::Pull { by, from, key } => self.deliver_pull(by, from, key),
                Delivery::Response { to, event } => self.inject(to, event),
            }
        }
    }

    fn deliver_datagram(&mut self, from: usize, to: SocketAddr, buf: &[u8]) {
        let Some(to) = self.reachable(from, to) else {
            return;
        };
        if self.rng.random_range(0..100) < self.nodes[to].loss_percent {
            return;
        }
        self.nodes[to].received.add(buf.len());
        let datagram = decode_datagram(buf).expect("datagram decodes");
        let from = self.nodes[from].address;
        self.inject(to, Event::Datagram { from, datagram });
    }

    fn deliver_pull(&mut self, by: usize, from: SocketAddr, key: RecordKey) {
        let source = self.reachable(by, from);
        let found = source.and_then(|source| self.nodes[source].membership.record(&key).cloned());
        let event = match found {
            Some(record) => Event::Record(record),
            None => Event::PullFailed { from, key },
        };
        self.schedule(2, Delivery::Response { to: by, event });
    }

    fn reachable(&self, from: usize, to: SocketAddr) -> Option<usize> {
        // Most nodes are at the address of their index; a search for each datagram is slow in large networks.
        let guess = match to.ip() {
            std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 200 + usize::from(ip.octets()[3]) - 1,
            std::net::IpAddr::V6(_) => 0,
        };
        let index = match self.nodes.get(guess) {
            Some(node) if node.address == to => guess,
            _ => self.nodes.iter().position(|node| node.address == to)?,
        };
        let node = &self.nodes[index];
        (node.up && node.side == self.nodes[from].side).then_some(index)
    }

    /// Replaces a process by a new one with the same host and role.
    pub fn restart(&mut self, index: usize, zones: usize, incarnation: u64) {
        self.nodes[index] = Node::new(index, zones, incarnation);
    }

    /// Returns the state of node `of` as known to node `by`, or none if it is not known.
    pub fn peer_state(&self, by: usize, of: usize) -> Option<PeerState> {
        let dump = self.nodes[by].membership.dump();
        let peer = dump
            .peers
            .iter()
            .find(|peer| peer.address == self.nodes[of].address);
        peer.map(|peer| peer.state)
    }

    pub fn all_know_all_peers(&self) -> bool {
        let up = self.nodes.iter().filter(|node| node.up).count();
        self.nodes
            .iter()
            .filter(|node| node.up)
            .all(|node| node.peers.len() == up)
    }

    pub fn all_have_revision(&self, revision: u64) -> bool {
        let mut up = self.nodes.iter().filter(|node| node.up);
        up.all(|node| node.revision() == Some(Revision(revision)))
    }
}

impl Node {
    fn new(index: usize, zones: usize, incarnation: u64) -> Self {
        Self::with(Membership::new(config(index, zones, incarnation)), address(index))
    }

    pub fn with(membership: Membership, address: SocketAddr) -> Self {
        Self {
            membership,
            address,
            up: true,
            side: 0,
            clock_offset: 0,
            loss_percent: 0,
            sent: Traffic::default(),
            received: Traffic::default(),
            applied: Vec::new(),
            delivered: Vec::new(),
            refused: Vec::new(),
            peers: Vec::new(),
        }
    }

    pub fn revision(&self) -> Option<Revision> {
        self.membership
            .record(&record_key())
            .map(|record| record.head.revision)
    }

    /// Returns whether each applied revision of a record was higher than the one before it.
    pub fn never_reverts(&self) -> bool {
        let mut newest = BTreeMap::new();
        let grows = |(key, revision): &(RecordKey, Revision)| {
            newest
                .insert(key.clone(), *revision)
                .is_none_or(|before| before < *revision)
        };
        self.applied.iter().all(grows)
    }

    pub fn topics(&self) -> BTreeSet<String> {
        self.delivered
            .iter()
            .map(|(_, item)| item.key.topic.to_string())
            .collect()
    }
}
