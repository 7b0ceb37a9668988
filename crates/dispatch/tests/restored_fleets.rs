//! The spread of the store's changes over fleets of hosts while the store is restored from copies.
//!
//! In each availability zone two hosts watch the store, and the others poll these, as the gateway does.

use std::collections::BTreeMap;

use carawayseam_dispatch::history::{ChangesAfter, History};
use carawayseam_types::{StoreEra, StoreRevision};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const STEP_MS: u64 = 20;
const WATCH_MS: u64 = 500;
const POLL_MS: u64 = 300;
const TIME_MS: u64 = 30_000;
/// Time within which a change is in force on all hosts that run.
const IN_FORCE_MS: u64 = 2_000;
/// Interval between the writes of servers' entries, which raise the revision.
const NOISE_MS: u64 = 100;
const FOLLOWERS_PER_ZONE: usize = 2;
const CHANGES_BYTES: usize = 1_000;

/// The operator's configuration, or another item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    Configuration(u64),
    Other,
}

#[derive(Debug, Clone)]
struct Store {
    era: StoreEra,
    number: u64,
    /// The first revision whose changes are known.
    begin: u64,
    configuration: (u64, u64),
    changes: Vec<(u64, Change)>,
}

impl Store {
    fn revision(&self) -> StoreRevision {
        StoreRevision::new(self.era, self.number)
    }

    fn write(&mut self, change: Change) {
        self.number += 1;
        self.changes.push((self.number, change));
        if let Change::Configuration(version) = change {
            self.configuration = (self.number, version);
        }
    }

    fn restore(&mut self, copy: &Self) {
        let era = self.era.0 + 1;
        *self = Self {
            era: StoreEra(era),
            begin: copy.number,
            changes: Vec::new(),
            ..copy.clone()
        };
    }

    /// Returns the changes after a revision, as a watch does.
    fn watch(&self, after: StoreRevision) -> Option<Vec<(u64, Change)>> {
        let is_kept = after.era == self.era && (self.begin..=self.number).contains(&after.number);
        let later = self.changes.iter().filter(|(at, _)| *at > after.number);
        is_kept.then(|| later.copied().collect())
    }
}

struct Host {
    zone: usize,
    is_follower: bool,
    /// Time until which the host neither sends nor receives.
    away_until: u64,
    offset: u64,
    version: u64,
    history: History<Change>,
}

impl Host {
    fn list(&mut self, store: &Store) {
        self.version = self.version.max(store.configuration.1);
        self.history = History::since(store.revision());
    }

    fn apply(&mut self, revision: StoreRevision, change: Change) {
        if let Change::Configuration(version) = change {
            self.version = self.version.max(version);
        }
        self.history.push(revision, change);
    }

    fn watch(&mut self, store: &Store) {
        let Some(changes) = store.watch(self.history.end()) else {
            return self.list(store);
        };
        for (number, change) in changes {
            self.apply(StoreRevision::new(store.era, number), change);
        }
        self.history.advance(store.revision());
    }
}

/// A fleet, and the versions that were written, each with its time.
struct Fleet {
    store: Store,
    hosts: Vec<Host>,
    written: BTreeMap<u64, u64>,
    rng: StdRng,
}

impl Fleet {
    fn new(hosts: usize, zones: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let store = Store {
            era: StoreEra(1),
            number: 100,
            begin: 100,
            configuration: (100, 1),
            changes: Vec::new(),
        };
        let hosts = (0..hosts).map(|ix| Host {
            zone: ix % zones,
            is_follower: ix / zones < FOLLOWERS_PER_ZONE,
            away_until: 0,
            offset: rng.random_range(0..POLL_MS / STEP_MS) * STEP_MS,
            version: 0,
            history: History::unknown(),
        });
        let mut hosts: Vec<Host> = hosts.collect();
        for host in &mut hosts {
            host.list(&store);
        }
        Self {
            store,
            hosts,
            written: BTreeMap::new(),
            rng,
        }
    }

    fn configure(&mut self, now: u64) {
        let version = self.store.configuration.1.max(self.written.len() as u64 + 1) + 1;
        self.store.write(Change::Configuration(version));
        self.written.insert(version, now);
    }

    /// Restores the store from a copy; the operator writes the latest configuration again.
    fn restore(&mut self, now: u64, copy: &Store) {
        self.store.restore(copy);
        if let Some((&version, at)) = self.written.iter_mut().next_back() {
            self.store.write(Change::Configuration(version));
            *at = now;
        }
    }

    fn step(&mut self, now: u64) {
        if now.is_multiple_of(NOISE_MS) {
            self.store.write(Change::Other);
        }
        for ix in 0..self.hosts.len() {
            let host = &self.hosts[ix];
            if now < host.away_until {
                continue;
            }
            let interval = if host.is_follower { WATCH_MS } else { POLL_MS };
            if !(now + host.offset).is_multiple_of(interval) {
                continue;
            }
            if host.is_follower {
                self.hosts[ix].watch(&self.store);
            } else {
                self.poll(now, ix);
            }
        }
    }

    /// Lets a host poll the followers of its zone, and list the store if one of them knows a later era.
    fn poll(&mut self, now: u64, ix: usize) {
        let zone = self.hosts[ix].zone;
        let is_source = |host: &Host| host.zone == zone && host.is_follower && host.away_until <= now;
        let sources: Vec<usize> = (0..self.hosts.len())
            .filter(|source| is_source(&self.hosts[*source]))
            .collect();
        let Some(source) = sources.get(self.rng.random_range(0..sources.len().max(1))) else {
            return self.hosts[ix].watch(&self.store);
        };
        loop {
            let after = self.hosts[ix].history.end();
            match self.hosts[*source].history.after(after, CHANGES_BYTES, |_| 40) {
                ChangesAfter::Page(page) => {
                    for (number, change) in page.changes {
                        self.hosts[ix].apply(StoreRevision::new(after.era, number), change);
                    }
                    self.hosts[ix]
                        .history
                        .advance(StoreRevision::new(after.era, page.end));
                    if page.is_complete {
                        return;
                    }
                }
                ChangesAfter::OtherEra(era) if era < after.era => return,
                ChangesAfter::OtherEra(_) | ChangesAfter::NotKept => {
                    return self.hosts[ix].list(&self.store);
                }
            }
        }
    }

    /// Asserts that each host that runs has each version in force in time.
    fn check(&self, now: u64) {
        let due = self.written.iter().filter(|(_, at)| now >= **at + IN_FORCE_MS);
        let due = due.map(|(version, _)| *version).max().unwrap_or_default();
        let late = self.hosts.iter().enumerate();
        let late: Vec<usize> = late
            .filter(|(_, host)| now >= host.away_until + IN_FORCE_MS && host.version < due)
            .map(|(ix, _)| ix)
            .collect();
        assert!(late.is_empty(), "at {now} ms: hosts {late:?} lack version {due}");
    }

    /// Plays changes, restores and hosts that are away; `restores` are the times, with the age of the copy.
    fn play(&mut self, restores: &[(u64, u64)]) {
        let mut copies: BTreeMap<u64, Store> = BTreeMap::new();
        for now in (STEP_MS..TIME_MS).step_by(STEP_MS as usize) {
            copies.insert(now, self.store.clone());
            if now.is_multiple_of(2_500) {
                self.configure(now);
            }
            for (at, age) in restores {
                if now == *at {
                    let copy = copies[&(at - age)].clone();
                    self.restore(now, &copy);
                    self.configure(now);
                }
            }
            if now.is_multiple_of(1_000) {
                let away = self.rng.random_range(0..self.hosts.len());
                self.hosts[away].away_until = now + self.rng.random_range(0..4_000);
            }
            self.step(now);
            self.check(now);
        }
    }
}

/// Names each fleet: hosts, zones, and when the store is restored from a copy of which age.
macro_rules! fleets {
    ($($name:ident: $hosts:expr, $zones:expr, $restores:expr;)*) => {
        $(
            #[test]
            fn $name() {
                for seed in 1..=8 {
                    Fleet::new($hosts, $zones, seed).play(&$restores);
                }
            }
        )*
    };
}

fleets! {
    four_hosts: 4, 3, [(15_000, 9_000)];
    twenty_four_hosts: 24, 3, [(15_000, 9_000)];
    thirty_three_hosts: 33, 5, [(15_000, 9_000)];
    thirty_three_hosts_and_two_restores: 33, 5, [(12_000, 9_000), (16_000, 3_000)];
    thirty_three_hosts_and_a_restore_from_before_another: 33, 5, [(12_000, 1_000), (14_000, 8_000)];
    hundreds_of_hosts: 118, 5, [(15_000, 9_000), (21_000, 500)];
}
