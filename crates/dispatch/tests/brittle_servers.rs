//! Backend servers that crash when they have to reject too many requests of all hosts together.

mod support;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use carawayseam_dispatch::brittle_servers::{BRITTLE_REJECTION_PAUSE, BrittleServers};
use carawayseam_dispatch::load::HostLoad;
use carawayseam_dispatch::server_limits::ServerLimit;
use carawayseam_dispatch::{Action, AttemptEnd, Dispatcher, Job, Ticket};
use carawayseam_types::{EngineId, EngineKey, HostId, Millis, RejectionLimit};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::{dispatcher, id, job, started};

const SERVERS: usize = 4;
const SLOTS: u32 = 6;
/// Requests that wait at a server at first, and from `SHRINKS_AT_MS` on, when it may crash.
const ROOM: usize = 12;
const SHRUNK_ROOM: usize = 0;
/// When the servers begin to say that they are brittle.
const SAYS_FROM_MS: u64 = 1_000;
const SHRINKS_AT_MS: u64 = 4_000;
const TIME_MS: u64 = 9_000;
const TICK_MS: u64 = 5;
const HEARTBEAT_MS: u64 = 100;
/// One-way time of a message between hosts, or between a host and a server.
const DELAY_MS: u64 = 1;
const SERVICE_MS: std::ops::Range<u64> = 30..150;
/// Requests of all hosts in a second, half more than the servers can run.
const DEMAND: f64 = 400.0;
const LIMIT: RejectionLimit = RejectionLimit { per_second: 4 };
/// Share of the servers' capacity that must be in use while they are brittle.
const MIN_USED_SHARE: f64 = 0.5;

fn host(ix: usize) -> HostId {
    format!("front-{ix}").parse().expect("a valid name")
}

fn server(ix: usize) -> String {
    format!("s-{ix}")
}

/// A request as a server sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Sent {
    host: usize,
    ticket: Ticket,
    server: usize,
    at: u64,
}

/// What happens at a time.
#[derive(Debug)]
enum Event {
    Arrival(Sent),
    RunEnd(Sent),
    Answer(Sent, AttemptEnd),
    Load(usize, HostLoad, Vec<ServerLimit<RejectionLimit>>),
    Rejection(usize, EngineId),
}

#[derive(Debug, Default)]
struct Server {
    running: u32,
    waiting: VecDeque<Sent>,
    /// When the server rejected a request, from the time when it may crash.
    rejections: Vec<u64>,
    served_when_shrunk: usize,
}

impl Server {
    /// Returns the maximum number of rejections in a second.
    fn peak(&self) -> usize {
        let in_second = |from: &u64| {
            let in_second = self
                .rejections
                .iter()
                .filter(|at| (*from..from + 1_000).contains(*at));
            in_second.count()
        };
        self.rejections.iter().map(in_second).max().unwrap_or_default()
    }
}

struct Fleet {
    hosts: Vec<Dispatcher>,
    servers: Vec<Server>,
    /// Whether the servers say that they are brittle.
    says: bool,
    /// Requests that a server runs at once from `SHRINKS_AT_MS` on.
    runs: u32,
    /// The share of the messages between hosts that is lost.
    loss: f64,
    /// The times and numbers of the coming events.
    due: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<Event>>,
    jobs: HashMap<(usize, Ticket), Job>,
    rng: StdRng,
}

impl Fleet {
    fn new(hosts: usize, says: bool, runs: u32, loss: f64) -> Self {
        let names: Vec<String> = (0..SERVERS).map(server).collect();
        let engines: Vec<(&str, u32)> = names.iter().map(|name| (name.as_str(), SLOTS)).collect();
        let new_dispatcher = |_| {
            let mut dispatcher = dispatcher(&engines);
            dispatcher.set_host_count(hosts as u32);
            dispatcher
        };
        Self {
            hosts: (0..hosts).map(new_dispatcher).collect(),
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            says,
            runs,
            loss,
            due: BinaryHeap::new(),
            events: Vec::new(),
            jobs: HashMap::new(),
            rng: StdRng::seed_from_u64(11),
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.due.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    fn run(mut self) -> Self {
        let mut demand = 0.0;
        for now in 1..=TIME_MS {
            while let Some(Reverse((at, number))) = self.due.peek().copied() {
                if at > now {
                    break;
                }
                self.due.pop();
                if let Some(event) = self.events[number].take() {
                    self.handle(now, event);
                }
            }
            demand += DEMAND / 1_000.0;
            while demand >= 1.0 {
                demand -= 1.0;
                let ix = self.rng.random_range(0..self.hosts.len());
                let mut new = job(now, self.rng.random_range(0..3));
                new.prompt = 0;
                self.submit(now, ix, new);
            }
            for ix in 0..self.hosts.len() {
                if now % HEARTBEAT_MS == (ix as u64 * 7) % HEARTBEAT_MS {
                    let load = self.hosts[ix].own_load();
                    let limits = self.hosts[ix].rejection_limit_updates(Millis(now), false);
                    self.schedule(now + DELAY_MS, Event::Load(ix, load, limits));
                }
                if now % TICK_MS == 0 {
                    let actions = self.hosts[ix].tick(Millis(now));
                    self.apply(now, ix, &actions);
                }
            }
        }
        self
    }

    fn submit(&mut self, now: u64, ix: usize, job: Job) {
        let (ticket, actions) = self.hosts[ix].submit_unsent(Millis(now), job.clone());
        self.jobs.insert((ix, ticket), job);
        self.apply(now, ix, &actions);
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_bool(self.loss)
    }

    /// Asks a server's owner for a slot; returns whether it was granted and the answer arrived.
    fn acquire_slot(&mut self, now: u64, ix: usize, owner: usize, engine: &EngineId) -> bool {
        if owner == ix {
            return self.hosts[ix].grant_own_slot(Millis(now), engine);
        }
        if self.is_lost() {
            return false;
        }
        let key = EngineKey::from(engine);
        let granted = self.hosts[owner].grant_slot(Millis(now), &host(ix), key);
        granted == Some(true) && !self.is_lost()
    }

    /// Returns the host that owns a server's slots.
    fn owner(&self, server: usize) -> usize {
        server % self.hosts.len()
    }

    fn apply(&mut self, now: u64, ix: usize, actions: &[Action]) {
        for (ticket, name) in started(actions) {
            let server = (0..SERVERS).find(|other| server(*other) == name);
            let server = server.expect("the server exists");
            let (owner, engine) = (self.owner(server), id(name));
            let needs_slot = self.hosts[ix].rejection_limit(&engine).is_some();
            if needs_slot && !self.acquire_slot(now, ix, owner, &engine) {
                self.retry(now, ix, ticket, AttemptEnd::NoSlot);
                continue;
            }
            let sent = Sent {
                host: ix,
                ticket,
                server,
                at: now,
            };
            self.schedule(now + DELAY_MS, Event::Arrival(sent));
        }
    }

    fn retry(&mut self, now: u64, ix: usize, ticket: Ticket, end: AttemptEnd) {
        let actions = self.hosts[ix].record_end(Millis(now), ticket, end);
        self.apply(now, ix, &actions);
        if let Some(job) = self
            .jobs
            .remove(&(ix, ticket))
            .filter(|job| Millis(now) < job.caller.latest_response())
        {
            self.submit(now, ix, job);
        }
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrival(sent) => self.arrive(now, sent),
            Event::RunEnd(sent) => self.end_run(now, sent),
            Event::Answer(sent, end) => self.answer(now, sent, end),
            Event::Load(from, load, limits) => {
                for ix in (0..self.hosts.len()).filter(|ix| *ix != from) {
                    if self.is_lost() {
                        continue;
                    }
                    let actions = self.hosts[ix].record_peer_load(Millis(now), &host(from), load.clone());
                    for update in limits.clone() {
                        self.hosts[ix].record_peer_rejection_limit(Millis(now), update);
                    }
                    self.apply(now, ix, &actions);
                }
            }
            Event::Rejection(from, engine) => {
                for ix in (0..self.hosts.len()).filter(|ix| *ix != from) {
                    if !self.is_lost() {
                        self.hosts[ix].record_peer_rejection(Millis(now), &engine);
                    }
                }
            }
        }
    }

    fn arrive(&mut self, now: u64, sent: Sent) {
        let (room, runs) = if now < SHRINKS_AT_MS {
            (ROOM, SLOTS)
        } else {
            (SHRUNK_ROOM, self.runs)
        };
        let server = &mut self.servers[sent.server];
        match server.running < runs {
            true => self.start_run(now, sent),
            false if server.waiting.len() < room => server.waiting.push_back(sent),
            false => {
                if now >= SHRINKS_AT_MS {
                    server.rejections.push(now);
                }
                self.schedule(now + DELAY_MS, Event::Answer(sent, AttemptEnd::Rejected));
            }
        }
    }

    fn start_run(&mut self, now: u64, sent: Sent) {
        self.servers[sent.server].running += 1;
        let end = now + self.rng.random_range(SERVICE_MS);
        self.schedule(end, Event::RunEnd(sent));
    }

    fn end_run(&mut self, now: u64, sent: Sent) {
        let server = &mut self.servers[sent.server];
        server.running -= 1;
        server.served_when_shrunk += usize::from(now >= SHRINKS_AT_MS);
        if let Some(next) = server.waiting.pop_front() {
            self.start_run(now, next);
        }
        self.schedule(now + DELAY_MS, Event::Answer(sent, AttemptEnd::Complete));
    }

    fn answer(&mut self, now: u64, sent: Sent, end: AttemptEnd) {
        let (ix, engine) = (sent.host, id(&server(sent.server)));
        let at = Millis(now);
        if self.says && now >= SAYS_FROM_MS {
            self.hosts[ix].record_rejection_limit(at, &engine, Millis(sent.at), Some(LIMIT));
        }
        let owner = self.owner(sent.server);
        if owner != ix && !self.is_lost() {
            let actions = self.hosts[owner].release_slot(at, &host(ix), EngineKey::from(&engine));
            self.apply(now, owner, &actions);
        }
        if end == AttemptEnd::Complete {
            let actions = self.hosts[ix].record_end(at, sent.ticket, end);
            self.jobs.remove(&(ix, sent.ticket));
            return self.apply(now, ix, &actions);
        }
        if self.hosts[ix].record_own_rejection(at, &engine) {
            self.schedule(now + DELAY_MS, Event::Rejection(ix, engine));
        }
        self.retry(now, ix, sent.ticket, end);
    }
}

/// Names each size of a fleet, whose demand is half more than what its brittle servers can run.
macro_rules! keeps_servers_up {
    ($($name:ident: $hosts:expr, $runs:expr, $loss:expr, $min_used_share:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let fleet = Fleet::new($hosts, true, $runs, $loss).run();
                for server in &fleet.servers {
                    assert!(
                        server.peak() < LIMIT.per_second as usize,
                        "{} rejections in a second: {:?}", server.peak(), server.rejections
                    );
                }
                let served: usize = fleet.servers.iter().map(|server| server.served_when_shrunk).sum();
                let mean_ms = (SERVICE_MS.start + SERVICE_MS.end) as f64 / 2.0;
                let slot_ms = (TIME_MS - SHRINKS_AT_MS) as f64 * f64::from($runs) * SERVERS as f64;
                let capacity = slot_ms / mean_ms;
                assert!(
                    served as f64 > capacity * $min_used_share,
                    "{served} requests were served, the servers can run {capacity:.0}"
                );
            }
        )*
    };
}

// Guards against brittle servers that crash because hosts send them more than they can take.
keeps_servers_up! {
    four_hosts_keep_brittle_servers_up: 4, SLOTS, 0.0, MIN_USED_SHARE;
    forty_hosts_keep_brittle_servers_up: 40, SLOTS, 0.0, MIN_USED_SHARE;
    four_hosts_that_lose_messages_keep_brittle_servers_up: 4, SLOTS, 0.1, MIN_USED_SHARE;
    forty_hosts_that_lose_messages_keep_brittle_servers_up: 40, SLOTS, 0.1, MIN_USED_SHARE;
    four_hosts_keep_servers_up_that_run_fewer_than_their_slots: 4, SLOTS / 2, 0.0, MIN_USED_SHARE;
    forty_hosts_keep_servers_up_that_run_fewer_than_their_slots: 40, SLOTS / 2, 0.0, MIN_USED_SHARE;
}

/// Shows that the loads above need the bound: without it all servers would crash.
#[test]
fn servers_that_do_not_say_that_they_are_brittle_reject_more() {
    for hosts in [4, 40] {
        let fleet = Fleet::new(hosts, false, SLOTS, 0.0).run();
        let peaks: Vec<usize> = fleet.servers.iter().map(Server::peak).collect();
        assert!(
            peaks.iter().all(|peak| *peak > LIMIT.per_second as usize),
            "{hosts} hosts: {peaks:?}"
        );
    }
}

fn report(dispatcher: &mut Dispatcher, now: u64, sent_at: u64, limit: Option<RejectionLimit>) -> bool {
    dispatcher.record_rejection_limit(Millis(now), &id("a"), Millis(sent_at), limit)
}

/// Submits plain requests and returns how many of them start.
fn start_plain(dispatcher: &mut Dispatcher, now: u64, count: usize) -> usize {
    let starts = (0..count).map(|_| {
        let plain = Job {
            prompt: 0,
            ..job(now, 0)
        };
        let (_, actions) = dispatcher.submit(Millis(now), plain);
        started(&actions).len()
    });
    starts.sum()
}

#[test]
fn a_brittle_server_gets_one_plain_request_per_slot() {
    let mut sound = dispatcher(&[("a", 3)]);
    assert_eq!(start_plain(&mut sound, 5, 10), 6);
    let mut brittle = dispatcher(&[("a", 3)]);
    assert!(report(&mut brittle, 4, 1, Some(LIMIT)));
    assert_eq!(start_plain(&mut brittle, 5, 10), 3);
}

#[test]
fn a_server_that_rejected_a_request_while_brittle_is_paused() {
    let mut dispatcher = dispatcher(&[("a", 3)]);
    assert!(
        !dispatcher.record_own_rejection(Millis(3), &id("a")),
        "it is not brittle"
    );
    report(&mut dispatcher, 4, 1, Some(LIMIT));
    assert!(dispatcher.record_own_rejection(Millis(10), &id("a")));
    assert_eq!(start_plain(&mut dispatcher, 20, 1), 0);
    let reopened = 10 + BRITTLE_REJECTION_PAUSE.0;
    assert_eq!(
        start_plain(&mut dispatcher, reopened, 1),
        2,
        "the one that waited and the new one"
    );
}

#[test]
fn a_server_gets_no_request_once_half_of_its_rejections_are_known() {
    let mut owner = dispatcher(&[("a", 3)]);
    let key = EngineKey::from(&id("a"));
    report(&mut owner, 4, 1, Some(LIMIT));
    owner.record_peer_rejection(Millis(10), &id("a"));
    assert_eq!(owner.grant_slot(Millis(11), &host(1), key), Some(true));
    owner.record_peer_rejection(Millis(52), &id("a"));
    owner.release_slot(Millis(52), &host(1), key);
    assert_eq!(owner.grant_slot(Millis(53), &host(1), key), Some(false));
    assert_eq!(start_plain(&mut owner, 53, 1), 0);
    assert_eq!(owner.grant_slot(Millis(1_300), &host(1), key), Some(true));
}

#[test]
fn no_more_slots_are_granted_at_once_than_a_brittle_server_may_reject() {
    let mut owner = dispatcher(&[("a", 10)]);
    report(&mut owner, 4, 1, Some(LIMIT));
    let key = EngineKey::from(&id("a"));
    let granted = (0..9).filter(|ix| owner.grant_slot(Millis(10), &host(*ix), key) == Some(true));
    assert_eq!(granted.count(), 3);
    assert!(!owner.grant_own_slot(Millis(11), &id("a")));
    assert!(
        owner.grant_own_slot(Millis(60), &id("a")),
        "the outcomes are known"
    );
}

#[test]
fn a_rejection_shows_how_many_requests_a_server_has_room_for() {
    let mut owner = dispatcher(&[("a", 10)]);
    let tolerant = RejectionLimit { per_second: 100 };
    report(&mut owner, 4, 1, Some(tolerant));
    let key = EngineKey::from(&id("a"));
    let granted = |owner: &mut Dispatcher, now| {
        let grants = (0..10).filter(|ix| owner.grant_slot(Millis(now), &host(*ix), key) == Some(true));
        grants.count()
    };
    assert_eq!(granted(&mut owner, 10), 10);
    for ix in 0..4 {
        owner.record_peer_rejection(Millis(12), &id("a"));
        owner.release_slot(Millis(12), &host(ix), key);
    }
    assert_eq!(granted(&mut owner, 100), 0, "it has room for six");
    owner.release_slot(Millis(101), &host(9), key);
    assert_eq!(granted(&mut owner, 102), 1);
    assert_eq!(
        granted(&mut owner, 4_000),
        1,
        "it is tried with one more after a while"
    );
}

#[test]
fn a_response_without_the_limit_ends_it() {
    let mut dispatcher = dispatcher(&[("a", 3)]);
    report(&mut dispatcher, 10, 1, Some(LIMIT));
    assert!(
        !report(&mut dispatcher, 12, 5, None),
        "the request was sent before the limit was known"
    );
    assert_eq!(dispatcher.rejection_limit(&id("a")), Some(LIMIT));
    assert!(report(&mut dispatcher, 20, 12, None));
    assert_eq!(start_plain(&mut dispatcher, 21, 10), 6);
}

#[test]
fn a_server_without_tolerance_gets_requests_until_it_rejects_one() {
    let mut servers = BrittleServers::default();
    let none = RejectionLimit { per_second: 0 };
    servers.record_response(Millis(1), &id("a"), Millis(0), Some(none));
    assert!(servers.has_room(Millis(2), &id("a")));
    servers.record_rejection(Millis(3), &id("a"), 1);
    assert!(!servers.has_room(Millis(4), &id("a")));
    assert!(servers.has_room(Millis(2_000), &id("a")));
}

#[test]
fn hosts_learn_of_brittle_servers_from_peers() {
    let mut first = dispatcher(&[("a", 3)]);
    report(&mut first, 10, 1, Some(LIMIT));
    let mut second = dispatcher(&[("a", 3)]);
    for update in first.rejection_limit_updates(Millis(20), false) {
        assert!(second.record_peer_rejection_limit(Millis(21), update));
    }
    assert_eq!(second.rejection_limit(&id("a")), Some(LIMIT));
}
