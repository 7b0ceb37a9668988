//! Load on several hosts while some servers of a backend report rate limits.

mod support;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use carawayseam_dispatch::group::Group;
use carawayseam_dispatch::server_limits::ServerLimits;
use carawayseam_dispatch::{Action, AttemptEnd, Dispatcher, Job, Ticket};
use carawayseam_types::{EngineId, EngineKey, HostId, Millis, RequestRate};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::{dispatcher, id, job, started};

const HOSTS: usize = 5;
const SERVERS: u32 = 9;
const SLOTS: u32 = 11;
const STEP_MS: u64 = 5;
const HEARTBEAT_MS: u64 = 100;
/// Time between the heartbeats of two hosts.
const HEARTBEAT_OFFSET_MS: u64 = 20;
const TIME_MS: u64 = 20_000;
/// Requests of all hosts in a second.
const DEMAND: f64 = 88.0;
const SERVICE_MS: std::ops::Range<u64> = 100..1_100;

fn host(ix: usize) -> HostId {
    format!("front-{ix}").parse().expect("a valid name")
}

fn server(ix: u32) -> String {
    format!("s-{ix}")
}

/// The end of a request: its time, host, ticket and server.
type End = Reverse<(u64, usize, Ticket, EngineId)>;

struct Fleet {
    hosts: Vec<Dispatcher>,
    limits: Vec<ServerLimits>,
    ends: BinaryHeap<End>,
    jobs: HashMap<(usize, Ticket), Job>,
    rng: StdRng,
    limited: HashMap<EngineId, RequestRate>,
    served: usize,
    sent_to_limited: usize,
}

impl Fleet {
    /// Creates hosts with `servers` servers, the first `limited` of which report a limit.
    fn new(servers: u32, limited: u32, limit: RequestRate) -> Self {
        let group = Group {
            known: HOSTS as u32,
            live: HOSTS as u32,
            reachable: (0..HOSTS).map(host).collect(),
        };
        let new_limits = |ix| {
            let mut limits = ServerLimits::new(host(ix));
            limits.set_group(Millis(0), group.clone());
            limits
        };
        let names: Vec<String> = (0..servers).map(server).collect();
        let engines: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), SLOTS)).collect();
        let new_dispatcher = |_| {
            let mut dispatcher = dispatcher(&engines);
            dispatcher.set_host_count(HOSTS as u32);
            dispatcher
        };
        Self {
            hosts: (0..HOSTS).map(new_dispatcher).collect(),
            limits: (0..HOSTS).map(new_limits).collect(),
            ends: BinaryHeap::new(),
            jobs: HashMap::new(),
            rng: StdRng::seed_from_u64(7),
            limited: (0..limited).map(|ix| (id(&server(ix)), limit)).collect(),
            served: 0,
            sent_to_limited: 0,
        }
    }

    fn run(mut self) -> Self {
        let mut due = 0.0;
        for now in (STEP_MS..=TIME_MS).step_by(STEP_MS as usize) {
            while self.ends.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
                self.end_next(now);
            }
            due += DEMAND * STEP_MS as f64 / 1_000.0;
            while due >= 1.0 {
                due -= 1.0;
                self.submit(now);
            }
            for ix in 0..HOSTS {
                if now % HEARTBEAT_MS == (ix as u64 * HEARTBEAT_OFFSET_MS) % HEARTBEAT_MS {
                    self.announce(now, ix);
                }
                let actions = self.hosts[ix].tick(Millis(now));
                self.apply(now, ix, &actions);
            }
        }
        self
    }

    fn end_next(&mut self, now: u64) {
        let Some(Reverse((_, ix, ticket, engine))) = self.ends.pop() else {
            return;
        };
        self.served += 1;
        let owner = self.slot_owner(&engine);
        if owner != ix {
            let key = EngineKey::from(&engine);
            let actions = self.hosts[owner].release_slot(Millis(now), &host(ix), key);
            self.apply(now, owner, &actions);
        }
        let actions = self.hosts[ix].record_end(Millis(now), ticket, AttemptEnd::Complete);
        self.apply(now, ix, &actions);
    }

    fn submit(&mut self, now: u64) {
        let ix = self.rng.random_range(0..HOSTS);
        let new = job(now, self.rng.random_range(0..3));
        let (ticket, actions) = self.hosts[ix].submit(Millis(now), new.clone());
        self.jobs.insert((ix, ticket), new);
        self.apply(now, ix, &actions);
    }

    /// Sends a host's load to the others.
    fn announce(&mut self, now: u64, ix: usize) {
        let load = self.hosts[ix].own_load();
        for peer in (0..HOSTS).filter(|peer| *peer != ix) {
            let actions = self.hosts[peer].record_peer_load(Millis(now), &host(ix), load.clone());
            self.apply(now, peer, &actions);
        }
    }

    fn slot_owner(&self, engine: &EngineId) -> usize {
        let owner = self.limits[0].remote_owner(engine).cloned();
        (0..HOSTS).find(|ix| owner == Some(host(*ix))).unwrap_or(0)
    }

    fn apply(&mut self, now: u64, ix: usize, actions: &[Action]) {
        for (ticket, name) in started(actions) {
            self.start(now, ix, ticket, id(name));
        }
    }

    fn start(&mut self, now: u64, ix: usize, ticket: Ticket, engine: EngineId) {
        let owner = self.slot_owner(&engine);
        let limit = self.limited.get(&engine).copied();
        let permit = limit.map(|limit| self.limits[owner].take_permit(Millis(now), &engine, limit));
        if let (Some(limit), Some(Err(wait))) = (limit, permit) {
            let wait = wait.expect("the host owns the permits");
            self.hosts[ix].defer_server(Millis(now), &engine, limit, wait);
            return self.retry(now, ix, ticket, AttemptEnd::RateLimited);
        }
        let key = EngineKey::from(&engine);
        if owner != ix && self.hosts[owner].grant_slot(Millis(now), &host(ix), key) == Some(false) {
            self.limits[owner].refund_permit(&engine);
            return self.retry(now, ix, ticket, AttemptEnd::NoSlot);
        }
        self.sent_to_limited += usize::from(self.limited.contains_key(&engine));
        let end = now + self.rng.random_range(SERVICE_MS);
        self.ends.push(Reverse((end, ix, ticket, engine)));
    }

    fn retry(&mut self, now: u64, ix: usize, ticket: Ticket, end: AttemptEnd) {
        let actions = self.hosts[ix].record_end(Millis(now), ticket, end);
        self.apply(now, ix, &actions);
        let job = self.jobs[&(ix, ticket)].clone();
        let (ticket, actions) = self.hosts[ix].submit_unsent(Millis(now), job.clone());
        self.jobs.insert((ix, ticket), job);
        self.apply(now, ix, &actions);
    }
}

/// Share of the requests that limits allow, and of the demand, that has to be served.
const MIN_SERVED_SHARE: f64 = 0.9;

macro_rules! serves {
    ($name:ident: $limited:expr, $limit:expr) => {
        #[test]
        fn $name() {
            let limit = $limit;
            let without_limited = Fleet::new(SERVERS - $limited, 0, limit).run().served as f64;
            let fleet = Fleet::new(SERVERS, $limited, limit).run();
            let seconds = TIME_MS as f64 / 1_000.0;
            let allowed = limit.per_second() * seconds * f64::from($limited);
            // The account of a server starts empty, and its first permit is due after one interval.
            let possible = without_limited + allowed - f64::from($limited);
            let possible = possible.min(DEMAND * seconds);
            assert!(
                fleet.served as f64 >= possible * MIN_SERVED_SHARE,
                "{} requests were served, {possible:.0} were possible",
                fleet.served
            );
            assert!(
                fleet.sent_to_limited as f64 <= allowed * 1.05 + 5.0,
                "limited servers got {} requests, their limits allow {allowed:.0}",
                fleet.sent_to_limited
            );
        }
    };
}

const LIMIT: RequestRate = RequestRate { per_1000_s: 2_800 };

// Guards against hosts that leave a part of the limits unused, or servers without limits idle.
serves!(servers_without_limits_take_the_load_of_a_few_with_limits: 3, LIMIT);
serves!(a_majority_of_limited_servers_gets_what_the_limits_allow: 6, LIMIT);
serves!(a_backend_of_limited_servers_gets_what_the_limits_allow: 9, LIMIT);
serves!(small_limits_are_used: 9, RequestRate { per_1000_s: 400 });
