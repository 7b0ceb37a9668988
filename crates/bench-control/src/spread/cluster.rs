//! Many processes, the network between them and the store, on a manual clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use carawayseam_membership::{Action, Event, WatchAction, WatchEvent};
use carawayseam_types::{Millis, Revision};
use carawayseam_wire::{Body, Datagram, Peer, Record, RecordKey, StreamReply, StreamRequest, encode};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use super::process::{Process, Watching, address, index_of};
use super::store::{Store, WATCH_WAIT};

/// The time between two ticks of a process.
const TICK: Millis = Millis(50);
/// What IP and UDP add to a datagram, in bytes.
const UDP_OVERHEAD_BYTES: usize = 28;
/// What a short stream costs beside its messages: opening, closing and confirming, in bytes.
const STREAM_OVERHEAD_BYTES: usize = 400;
/// Peers that a process hears before it counts as caught up.
const TELLERS: usize = 3;
/// The time that a call to the store takes.
const STORE_DELAY: Millis = Millis(5);

/// What the network does to datagrams.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Faults {
    pub(super) loss_percent: u32,
    pub(super) duplicate_percent: u32,
    pub(super) jitter_ms: u64,
}

/// Bytes sent and received by one process.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Traffic {
    pub(super) datagrams: u64,
    pub(super) datagram_bytes: u64,
    pub(super) stream_bytes: u64,
}

#[derive(Debug)]
enum Delivery {
    Event {
        from: Option<usize>,
        to: usize,
        life: u64,
        event: Event,
    },
    Pull {
        by: usize,
        from: SocketAddr,
        key: RecordKey,
    },
    Compared {
        to: usize,
        life: u64,
        revision: u64,
    },
}

/// The processes of a number of nodes, an entry and a control process each.
#[derive(Debug)]
pub(super) struct Cluster {
    pub(super) processes: Vec<Process>,
    pub(super) traffic: Vec<Traffic>,
    pub(super) store: Store,
    pub(super) faults: Faults,
    pub(super) now: Millis,
    /// Zones of different sides do not hear each other.
    pub(super) sides: Vec<u8>,
    pub(super) rng: Xoshiro256PlusPlus,
    /// Whether to look for older revisions after a restart.
    pub(super) tracks_served: bool,
    watching: Watching,
    zones: usize,
    deliveries: BTreeMap<(Millis, u64), Delivery>,
    count: u64,
}

impl Cluster {
    pub(super) fn new(nodes: usize, zones: usize, watching: Watching, seed: u64) -> Self {
        let count = 2 * nodes;
        Self {
            processes: (0..count).map(|index| Process::new(index, zones)).collect(),
            traffic: vec![Traffic::default(); count],
            store: Store::default(),
            faults: Faults {
                jitter_ms: 2,
                ..Faults::default()
            },
            now: Millis(1_000_000),
            sides: vec![0; zones],
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            tracks_served: false,
            watching,
            zones,
            deliveries: BTreeMap::new(),
            count: 0,
        }
    }

    pub(super) fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `done`, and gives the time that took, at most `limit`.
    pub(super) fn run_until(&mut self, limit: Millis, done: impl Fn(&Self) -> bool) -> Millis {
        let start = self.now;
        while !done(self) && self.now.since(start) < limit {
            self.step();
        }
        self.now.since(start)
    }

    /// Lets all processes know each other and all documents, as those do that have run for long.
    pub(super) fn introduce(&mut self) {
        let peers = self.processes.iter().map(|process| process.membership.dump().me);
        let peers: Vec<Peer> = peers.collect();
        let records = self.store.changed(0);
        for index in 0..self.processes.len() {
            let process = &mut self.processes[index];
            process.introduce(self.now, self.zones, &peers, &records);
            process.choose_watch(self.now, self.watching);
            for from in peers
                .iter()
                .filter(|peer| peer.address != address(index))
                .take(TELLERS)
            {
                self.tell(index, from);
            }
        }
        let revision = self.store.revision;
        let watches = self
            .processes
            .iter_mut()
            .filter_map(|process| process.watch.as_mut());
        watches.for_each(|watch| watch.after = revision);
    }

    fn tell(&mut self, index: usize, sender: &Peer) {
        let datagram = Datagram {
            from: sender.clone(),
            body: Body::JoinReply { heads: 0 },
            updates: Vec::new(),
        };
        let from = sender.address;
        self.give(index, Event::Datagram { from, datagram });
    }

    fn step(&mut self) {
        self.now += TICK;
        self.deliver();
        for index in 0..self.processes.len() {
            self.give(index, Event::Tick);
            self.watch(index);
            if self.tracks_served {
                self.serve(index);
            }
        }
    }

    fn serve(&mut self, index: usize) {
        let mut newest: BTreeMap<RecordKey, Revision> = BTreeMap::new();
        for process in self.processes.iter().filter(|process| process.up) {
            for (key, revision) in &process.in_force {
                let found = newest.entry(key.clone()).or_default();
                *found = (*found).max(*revision);
            }
        }
        let reaches_store = |process: &Process| process.up && process.reaches_store;
        let store_is_reachable = self.processes.iter().any(reaches_store);
        let survives = |key: &RecordKey, revision| {
            store_is_reachable || newest.get(key).is_some_and(|newest| *newest >= revision)
        };
        self.processes[index].serve(survives);
    }

    /// Lets a process of this cluster take an event.
    pub(super) fn give(&mut self, index: usize, event: Event) {
        if !self.processes[index].up {
            return;
        }
        let mut actions = Vec::new();
        self.processes[index]
            .membership
            .handle(self.now, event, &mut actions);
        for action in actions {
            self.act(index, action);
        }
    }

    fn act(&mut self, index: usize, action: Action) {
        let process = &mut self.processes[index];
        match action {
            Action::Send { to, datagram } => {
                let bytes = encode(&datagram).map_or(0, |buf| buf.len()) + UDP_OVERHEAD_BYTES;
                let from = address(index);
                self.send(index, to, bytes as u64, &Event::Datagram { from, datagram });
            }
            Action::Pull { from, key } => {
                self.schedule(Millis(1), Delivery::Pull { by: index, from, key });
            }
            Action::Apply(record) => {
                let is_accepted = self.store.accepted(&record);
                process.apply(&record, is_accepted);
            }
            Action::Peers(peers) => {
                process.peers = peers;
                process.choose_watch(self.now, self.watching);
            }
            Action::Deliver(_) | Action::Refuse(_) => {}
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: u64, event: &Event) {
        let sent = &mut self.traffic[from];
        sent.datagrams += 1;
        sent.datagram_bytes += bytes;
        let copies = 1 + u32::from(self.rng.random_range(0..100) < self.faults.duplicate_percent);
        for _ in 0..copies {
            let is_lost = self.rng.random_range(0..100) < self.faults.loss_percent;
            let target = index_of(to).filter(|to| !is_lost && *to < self.processes.len());
            let Some(to) = target else {
                continue;
            };
            let delay = Millis(1 + self.rng.random_range(0..=self.faults.jitter_ms));
            self.traffic[to].datagrams += 1;
            self.traffic[to].datagram_bytes += bytes;
            // A datagram finds whoever has the address when it arrives.
            let life = 0;
            let (from, event) = (Some(from), event.clone());
            self.schedule(
                delay,
                Delivery::Event {
                    from,
                    to,
                    life,
                    event,
                },
            );
        }
    }

    /// Delivers an answer of the store to this life of a process, some time later.
    pub(super) fn answer_later(&mut self, to: usize, delay: Millis, record: Record) {
        let life = self.processes[to].life;
        let (from, event) = (None, Event::Record(record));
        self.schedule(
            delay,
            Delivery::Event {
                from,
                to,
                life,
                event,
            },
        );
    }

    fn schedule(&mut self, delay: Millis, delivery: Delivery) {
        self.count += 1;
        self.deliveries.insert((self.now + delay, self.count), delivery);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.deliveries.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Delivery::Event {
                    from,
                    to,
                    life,
                    event,
                } => {
                    let is_late = life != 0 && life != self.processes[to].life;
                    if !is_late && from.is_none_or(|from| self.reaches(from, to)) {
                        self.give(to, event);
                    }
                }
                Delivery::Pull { by, from, key } => self.pull(by, from, key),
                Delivery::Compared { to, life, revision } => self.compared(to, life, revision),
            }
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.processes[from], &self.processes[to]);
        to.up && self.sides[from.zone] == self.sides[to.zone]
    }

    fn pull(&mut self, by: usize, from: SocketAddr, key: RecordKey) {
        let source = index_of(from).filter(|source| *source < self.processes.len());
        let source = source.filter(|source| self.reaches(by, *source));
        let found = source.and_then(|source| self.processes[source].membership.record(&key).cloned());
        if let Some(source) = source {
            let asked = encode(&StreamRequest::Pull(key.clone())).map_or(0, |buf| buf.len());
            let told = encode(&StreamReply::Record(found.clone())).map_or(0, |buf| buf.len());
            let bytes = (asked + told + STREAM_OVERHEAD_BYTES) as u64;
            // Both processes of a node share its address; what stays on the node costs the network nothing.
            let is_local = by / 2 == source / 2;
            for end in [by, source].into_iter().filter(|_| !is_local) {
                self.traffic[end].stream_bytes += bytes;
            }
        }
        let life = self.processes[by].life;
        let event = found.map_or(Event::PullFailed { from, key }, Event::Record);
        let (from, to) = (None, by);
        self.schedule(
            Millis(2),
            Delivery::Event {
                from,
                to,
                life,
                event,
            },
        );
    }

    /// Answers a watch that has something to tell or waited long enough, and guards it.
    fn watch(&mut self, index: usize) {
        let now = self.now;
        let store_revision = self.store.revision;
        let process = &mut self.processes[index];
        let life = process.life;
        let Some(watch) = process.watch.as_mut().filter(|_| process.up) else {
            return;
        };
        let is_answered = process.reaches_store && !watch.silent;
        let is_due = watch.after < store_revision || now.since(watch.opened_at) >= WATCH_WAIT;
        let mut actions = Vec::new();
        let mut told = Vec::new();
        if is_answered && is_due {
            self.store.calls.watches += 1;
            told = self.store.changed(watch.after);
            watch.after = store_revision;
            watch.opened_at = now;
            let revision = store_revision;
            watch
                .guard
                .handle(now, WatchEvent::Responded { revision }, &mut actions);
        }
        watch.guard.handle(now, WatchEvent::Tick, &mut actions);
        let reaches_store = process.reaches_store;
        for action in actions {
            match action {
                WatchAction::Compare if reaches_store => {
                    self.store.calls.reads += 1;
                    let revision = store_revision;
                    self.schedule(
                        STORE_DELAY,
                        Delivery::Compared {
                            to: index,
                            life,
                            revision,
                        },
                    );
                }
                WatchAction::Compare => {}
                WatchAction::Reopen { after } => self.reopen(index, after),
            }
        }
        for record in told {
            self.answer_later(index, STORE_DELAY, record);
        }
    }

    fn compared(&mut self, to: usize, life: u64, revision: u64) {
        let now = self.now;
        let process = &mut self.processes[to];
        let watch = process.watch.as_mut().filter(|_| process.life == life);
        if let Some(watch) = watch {
            watch
                .guard
                .handle(now, WatchEvent::Compared { revision }, &mut Vec::new());
        }
    }

    fn reopen(&mut self, index: usize, after: u64) {
        let now = self.now;
        if let Some(watch) = &mut self.processes[index].watch {
            watch.silent = false;
            watch.after = after;
            watch.opened_at = now;
        }
    }

    pub(super) fn restart(&mut self, index: usize) {
        self.processes[index].restart(self.zones);
    }

    /// Whether all processes that are up have at least this revision in force.
    pub(super) fn in_force(&self, key: &RecordKey, revision: Revision) -> bool {
        let mut up = self.processes.iter().filter(|process| process.up);
        up.all(|process| process.in_force.get(key).is_some_and(|found| *found >= revision))
    }

    pub(super) fn reversions(&self) -> u64 {
        self.processes.iter().map(|process| process.reversions).sum()
    }

    /// Steps back to an older revision after every copy of the newer one was lost during an outage of the store.
    pub(super) fn losses(&self) -> u64 {
        self.processes.iter().map(|process| process.losses).sum()
    }

    /// Records put in force that the store never accepted.
    pub(super) fn strangers(&self) -> u64 {
        self.processes.iter().map(|process| process.strangers).sum()
    }
}
