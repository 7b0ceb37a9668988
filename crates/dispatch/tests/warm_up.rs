//! Servers that warm up, and the requests that all hosts together send to them.

mod support;

use std::collections::BTreeMap;
use std::ops::Range;

use carawayseam_dispatch::EngineEntry;
use carawayseam_dispatch::group::Group;
use carawayseam_dispatch::server_limits::ServerLimits;
use carawayseam_dispatch::warm_up::{Refusal, ServerWarmUp, WarmUpLimit};
use carawayseam_types::{BackendName, EngineId, HostId, Millis, RequestRate};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::SeedableRng;
use rand::rngs::StdRng;
use support::{dispatcher, engine, id, job, started};

const HOSTS: usize = 28;
/// Hosts of each of the four zones.
const ZONE_HOSTS: usize = 7;
const SERVERS: usize = 38;
const STEP_MS: u64 = 10;
/// When the servers lose power, when they start again, and when a run ends.
const DOWN: Range<u64> = 1_000..3_000;
const END_MS: u64 = 9_000;
/// Time between an entry's write and its arrival at the last host.
const ENTRY_DELAY_MS: u64 = 500;
/// Time between the gossip rounds of a host, each to two others.
const ROUND_MS: u64 = 100;
/// Time between a host's probes of a server that it does not reach.
const PROBE_MS: u64 = 250;
/// Longest time between a permit and the request's arrival at the server.
const ARRIVAL_MS: u64 = 40;
const REACHABILITY_DELAY_MS: u64 = 400;
const LIVENESS_DELAY_MS: u64 = 1_000;
/// Time for which a host does not use a server after the permit owner did not respond.
const PAUSE_MS: u64 = 100;
/// Probability in a step that a host sends a request to a server that it believes to be warm; all hosts together
/// send 140 a second.
const WARM_REQUEST_SHARE: f64 = 0.05;
const COLD_PER_S: u32 = 12;
const COLD: Millis = Millis::from_secs(20);
const MAX_IN_A_SECOND: usize = COLD_PER_S as usize * 3 / 2 + 5;

fn backend() -> BackendName {
    engine("s-0", 1).backend
}

fn host(ix: usize) -> HostId {
    format!("front-{ix}").parse().expect("a valid name")
}

const fn limit() -> WarmUpLimit {
    WarmUpLimit {
        duration: COLD,
        rate: RequestRate {
            per_1000_s: COLD_PER_S * 1_000,
        },
    }
}

fn entry(name: &str, started: u64, warms_up_for: Millis) -> EngineEntry {
    EngineEntry {
        started: Some(started),
        warms_up_for,
        ..engine(name, 6)
    }
}

fn limits(ix: usize) -> ServerLimits {
    let mut limits = ServerLimits::new(host(ix));
    limits.set_warm_up_limits([(backend(), limit())].into_iter());
    limits
}

/// Returns the limits of a host that knows one warm server.
fn one_server() -> (ServerLimits, EngineId) {
    let mut limits = limits(0);
    limits.update_servers(Millis(0), &[entry("a", 1, Millis::ZERO)]);
    (limits, id("a"))
}

/// What goes wrong while the servers warm up.
#[derive(Debug, Clone, Default)]
struct Faults {
    /// Hosts with an index below this one are partitioned from the others, during this time.
    cut: (usize, Range<u64>),
    /// A host that stands still, and when.
    frozen: Option<(usize, Range<u64>)>,
    /// Whether the hosts with an odd index have no requests until the servers are back.
    are_half_idle: bool,
}

/// Hosts under full load and the servers of a zone that come back at once.
struct Fleet {
    hosts: Vec<ServerLimits>,
    engines: Vec<EngineId>,
    faults: Faults,
    rng: StdRng,
    /// Time before which a host does not use a server, by host and server.
    deferred_until: Vec<Vec<u64>>,
    /// Whether a host lost its connection to a server, by host and server.
    is_unreachable: Vec<Vec<bool>>,
    /// When the new entries of all servers arrive at each host; `None` once they have.
    entries_at: Vec<Option<u64>>,
    /// The requests that arrived at each server, by time.
    arrivals: Vec<BTreeMap<u64, usize>>,
}

impl Fleet {
    fn new(servers: usize, faults: Faults, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let names: Vec<String> = (0..servers).map(|ix| format!("s-{ix}")).collect();
        let entries: Vec<_> = names.iter().map(|name| entry(name, 1, Millis::ZERO)).collect();
        let hosts = (0..HOSTS).map(|ix| {
            let mut host = limits(ix);
            host.update_servers(Millis(0), &entries);
            host
        });
        let entries_at = (0..HOSTS).map(|ix| {
            // A host that stood still asks the store, or a peer, for what it missed.
            let frozen = faults.frozen.as_ref().filter(|(frozen, _)| *frozen == ix);
            let asks_at = frozen.map_or(0, |(_, time)| time.end);
            let at = DOWN.end.max(asks_at) + rng.random_range(0..=ENTRY_DELAY_MS);
            Some(at)
        });
        let entries_at = entries_at.collect();
        Self {
            hosts: hosts.collect(),
            engines: names.iter().map(|name| id(name)).collect(),
            faults,
            deferred_until: vec![vec![0; servers]; HOSTS],
            is_unreachable: vec![vec![false; servers]; HOSTS],
            entries_at,
            rng,
            arrivals: vec![BTreeMap::new(); servers],
        }
    }

    fn is_frozen(&self, now: u64, ix: usize) -> bool {
        let frozen = self.faults.frozen.as_ref();
        frozen.is_some_and(|(host, time)| *host == ix && time.contains(&now))
    }

    fn connected(&self, now: u64, a: usize, b: usize) -> bool {
        let (size, time) = &self.faults.cut;
        let is_cut = time.contains(&now) && (a < *size) != (b < *size);
        !is_cut && !self.is_frozen(now, a) && !self.is_frozen(now, b)
    }

    fn known_group(&self, now: u64, ix: usize) -> Group {
        let heard = |delay: u64| {
            let seen_at = now.saturating_sub(delay);
            (0..HOSTS).filter(move |peer| *peer == ix || self.connected(seen_at, ix, *peer))
        };
        Group {
            known: HOSTS as u32,
            live: heard(LIVENESS_DELAY_MS).count() as u32,
            reachable: heard(REACHABILITY_DELAY_MS).map(host).collect(),
        }
    }

    fn run(mut self) -> Self {
        for now in (STEP_MS..END_MS).step_by(STEP_MS as usize) {
            for ix in 0..HOSTS {
                if self.is_frozen(now, ix) {
                    continue;
                }
                let group = self.known_group(now, ix);
                self.hosts[ix].set_group(Millis(now), group);
                self.receive_entries(now, ix);
                if (now + ix as u64 * STEP_MS).is_multiple_of(ROUND_MS) {
                    self.gossip(now, ix);
                }
                let is_idle = self.faults.are_half_idle && ix % 2 == 1 && now < DOWN.end;
                for server in 0..self.engines.len() {
                    if !is_idle {
                        self.use_server(now, ix, server);
                    }
                }
            }
        }
        self
    }

    fn receive_entries(&mut self, now: u64, ix: usize) {
        if self.entries_at[ix].take_if(|at| *at <= now).is_none() {
            return;
        }
        let left = Millis(COLD.0 - (now - DOWN.end));
        let engines = self.engines.iter();
        let entries: Vec<_> = engines.map(|engine| entry(engine.as_str(), 2, left)).collect();
        self.hosts[ix].update_servers(Millis(now), &entries);
    }

    fn gossip(&mut self, now: u64, ix: usize) {
        for _ in 0..2 {
            let peer = self.rng.random_range(0..HOSTS);
            let updates = self.hosts[ix].warm_up_updates(Millis(now), false);
            if peer != ix && self.connected(now, ix, peer) {
                for update in updates {
                    self.hosts[peer].record_peer_warm_up(Millis(now), &update);
                }
            }
        }
    }

    /// Sends as many requests to a server as a host may.
    fn use_server(&mut self, now: u64, ix: usize, server: usize) {
        while self.deferred_until[ix][server] <= now {
            let engine = self.engines[server].clone();
            match self.hosts[ix].limit_at(Millis(now), &engine) {
                Some(limit) => match self.take_permit(now, ix, &engine, limit) {
                    Ok(()) => self.send(now, ix, server),
                    Err(wait) => self.deferred_until[ix][server] = now + wait.max(1),
                },
                None if self.rng.random_bool(WARM_REQUEST_SHARE) => self.send(now, ix, server),
                None => return,
            }
        }
    }

    fn take_permit(&mut self, now: u64, ix: usize, engine: &EngineId, limit: RequestRate) -> Result<(), u64> {
        let owner = self.hosts[ix].remote_owner(engine).cloned();
        let owner = (0..HOSTS).find(|other| owner.as_ref() == Some(&host(*other)));
        let owner = owner.unwrap_or(ix);
        if owner != ix && !self.connected(now, ix, owner) {
            return Err(PAUSE_MS);
        }
        let taken = self.hosts[owner].take_permit(Millis(now), engine, limit);
        taken.map_err(|wait| wait.map_or(PAUSE_MS, |wait| wait.0))
    }

    fn send(&mut self, now: u64, ix: usize, server: usize) {
        let engine = self.engines[server].clone();
        if DOWN.contains(&now) {
            self.hosts[ix].record_refusal(Millis(now), &engine, &backend(), Refusal::Closed);
            self.is_unreachable[ix][server] = true;
            self.deferred_until[ix][server] = now + PROBE_MS;
            return;
        }
        if std::mem::take(&mut self.is_unreachable[ix][server]) {
            self.hosts[ix].record_connection(Millis(now), &engine);
        }
        let arrives_at = now + self.rng.random_range(0..ARRIVAL_MS);
        *self.arrivals[server].entry(arrives_at).or_default() += 1;
    }

    /// Returns the most requests that a server got in any second after its start.
    fn peak(&self) -> usize {
        let peak = |arrivals: &BTreeMap<u64, usize>| {
            let starts = arrivals.range(DOWN.end..).map(|(at, _)| *at);
            let in_second = |from: u64| arrivals.range(from..from + 1_000).map(|(_, count)| count).sum();
            starts.map(in_second).max().unwrap_or_default()
        };
        self.arrivals.iter().map(peak).max().unwrap_or_default()
    }

    /// Returns the requests that a server got in a time, in the mean of all servers.
    fn mean_in(&self, time: Range<u64>) -> f64 {
        let counts = self
            .arrivals
            .iter()
            .flat_map(|arrivals| arrivals.range(time.clone()));
        let sum: usize = counts.map(|(_, count)| count).sum();
        sum as f64 / self.engines.len() as f64
    }
}

macro_rules! keeps_bound {
    ($(#[$doc:meta])* $name:ident: $faults:expr) => {
        $(#[$doc])*
        #[test]
        fn $name() {
            let fleet = Fleet::new(SERVERS, $faults, 7).run();
            let peak = fleet.peak();
            assert!(peak <= MAX_IN_A_SECOND, "{peak} requests in a second, at most {MAX_IN_A_SECOND} are allowed");
            // From the second after the start on; the accounts start empty.
            let per_s = fleet.mean_in(DOWN.end + 1_000..END_MS) / ((END_MS - DOWN.end - 1_000) as f64 / 1_000.0);
            assert!(per_s >= f64::from(COLD_PER_S) * 0.6, "only {per_s} requests a second are sent");
        }
    };
}

keeps_bound!(
    /// Guards against hosts that each send what a cold server bears, or that leave its limit unused.
    a_zone_that_comes_back_at_once_gets_what_it_bears: Faults::default()
);
keeps_bound!(
    /// Guards against hosts that take a restarted server for warm because they had no request for it meanwhile.
    hosts_without_requests_during_the_outage_know_of_the_restart: Faults {
        are_half_idle: true,
        ..Faults::default()
    }
);
keeps_bound!(
    /// Guards against zones that each use the whole limit while they are partitioned.
    a_partition_during_the_warm_up_keeps_the_bound: Faults {
        cut: (ZONE_HOSTS, 3_500..6_000),
        ..Faults::default()
    }
);
keeps_bound!(
    /// Guards against a new owner of a server's permits that begins with a full account.
    the_loss_of_an_owner_keeps_the_bound: Faults {
        frozen: Some((0, 3_300..5_500)),
        ..Faults::default()
    }
);

/// Guards against a zone that gets no permits for cold servers because it is a small part of the fleet.
#[test]
fn a_partitioned_zone_still_uses_cold_servers() {
    let (mut limits, engine) = one_server();
    limits.update_servers(Millis(0), &[entry("a", 2, COLD)]);
    let group = Group {
        known: HOSTS as u32,
        live: ZONE_HOSTS as u32,
        reachable: vec![host(0)],
    };
    let reachable = (0..ZONE_HOSTS).map(host).collect();
    limits.set_group(Millis(0), Group { reachable, ..group });
    let owner = limits.remote_owner(&engine).cloned().unwrap_or_else(|| host(0));
    let mut owner = ServerLimits::new(owner);
    owner.set_warm_up_limits([(backend(), limit())].into_iter());
    owner.update_servers(Millis(0), &[entry("a", 2, COLD)]);
    owner.set_group(
        Millis(0),
        Group {
            known: HOSTS as u32,
            live: ZONE_HOSTS as u32,
            reachable: (0..ZONE_HOSTS).map(host).collect(),
        },
    );
    let ticks = (0..4_000).step_by(STEP_MS as usize);
    let granted = ticks.filter(|now| owner.take_permit(Millis(*now), &engine, limit().rate).is_ok());
    let granted = granted.count();
    assert!(
        (9..=13).contains(&granted),
        "{granted} permits in 4 s, the zone's share is 12"
    );
}

/// Guards against faults at other times than those of the tests above.
#[test]
fn no_fault_exceeds_the_bound() {
    let config = Config {
        cases: 64,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let span = || (0..END_MS, 0..4_000_u64);
    let cases = (0..HOSTS, span(), 0..HOSTS, span(), any::<bool>(), any::<u64>());
    let outcome = runner.run(&cases, |(size, cut, frozen, freeze, are_half_idle, seed)| {
        let faults = Faults {
            cut: (size, cut.0..cut.0 + cut.1),
            frozen: Some((frozen, freeze.0..freeze.0 + freeze.1)),
            are_half_idle,
        };
        let peak = Fleet::new(3, faults, seed).run().peak();
        prop_assert!(peak <= MAX_IN_A_SECOND, "{peak} requests in a second");
        Ok(())
    });
    outcome.expect("no second has more requests than the bound");
}

/// Guards against a fleet that is throttled although no server has restarted.
#[test]
fn a_start_of_the_fleet_and_a_copied_list_do_not_limit_warm_servers() {
    let (limits, engine) = one_server();
    assert_eq!(limits.limit_at(Millis(0), &engine), None);
    let mut limits = self::limits(1);
    limits.update_servers(
        Millis(5_000),
        &[entry("a", 1, Millis::ZERO), entry("b", 1, Millis(3_000))],
    );
    assert_eq!(limits.limit_at(Millis(5_000), &engine), None);
    assert_eq!(limits.limit_at(Millis(5_000), &id("b")), Some(limit().rate));
    assert_eq!(limits.limit_at(Millis(8_000), &id("b")), None);
}

/// Guards against entries that arrive before the configuration, and against a new one that ends warm-ups.
#[test]
fn configurations_keep_what_is_known_of_servers() {
    let mut limits = ServerLimits::new(host(0));
    limits.update_servers(
        Millis(0),
        &[entry("a", 1, Millis(8_000)), entry("b", 1, Millis::ZERO)],
    );
    assert_eq!(limits.limit_at(Millis(0), &id("a")), None);
    limits.set_warm_up_limits([(backend(), limit())].into_iter());
    assert_eq!(limits.limit_at(Millis(7_999), &id("a")), Some(limit().rate));
    assert_eq!(limits.limit_at(Millis(8_000), &id("a")), None);
    limits.record_refusal(Millis(0), &id("b"), &backend(), Refusal::Closed);
    let rate = RequestRate { per_1000_s: 5_000 };
    let changed = WarmUpLimit { rate, ..limit() };
    limits.set_warm_up_limits([(backend(), changed)].into_iter());
    assert_eq!(limits.limit_at(Millis(9_000), &id("b")), Some(rate));
    limits.set_warm_up_limits(std::iter::empty());
    assert_eq!(limits.limit_at(Millis(9_000), &id("b")), None);
    assert!(limits.take_warmed_up(Millis(9_000)).contains(&id("b")));
}

/// Guards against a server that counts as warm because its outage took longer than its warm-up.
#[test]
fn a_server_is_cold_from_its_first_connection_after_an_outage_of_any_length() {
    let (mut limits, engine) = one_server();
    limits.record_refusal(Millis(1_000), &engine, &backend(), Refusal::Unanswered);
    assert_eq!(limits.limit_at(Millis(99_000), &engine), Some(limit().rate));
    assert!(limits.record_connection(Millis(99_000), &engine));
    assert!(!limits.record_connection(Millis(99_500), &engine));
    assert_eq!(limits.limit_at(Millis(118_999), &engine), Some(limit().rate));
    assert_eq!(limits.limit_at(Millis(119_000), &engine), None);
    assert_eq!(limits.take_warmed_up(Millis(119_000)), [engine]);
}

/// Guards against hosts that tell all others to throttle servers which only they do not reach.
#[test]
fn a_host_that_gets_no_answer_tells_no_peer() {
    let (mut limits, engine) = one_server();
    limits.record_refusal(Millis(0), &engine, &backend(), Refusal::Unanswered);
    limits.record_connection(Millis(100), &engine);
    assert_eq!(limits.warm_up_updates(Millis(100), true), []);
    limits.record_refusal(Millis(200), &engine, &backend(), Refusal::Closed);
    assert_eq!(limits.warm_up_updates(Millis(300), false).len(), 1);
}

/// Guards against announcements that hosts repeat to each other without end, or that are older than the entry.
#[test]
fn an_announced_restart_counts_once_and_not_after_a_later_entry() {
    let (mut limits, engine) = one_server();
    let update = ServerWarmUp {
        engine: engine.clone(),
        started: Some(1),
        remaining: Millis::from_secs(9_999),
    };
    assert!(limits.record_peer_warm_up(Millis(0), &update));
    assert!(!limits.record_peer_warm_up(Millis(400), &update));
    assert_eq!(
        limits.limit_at(Millis(20_000), &engine),
        None,
        "no longer than the limit says"
    );
    assert_eq!(limits.warm_up_updates(Millis(3_000), false).len(), 1);
    assert_eq!(limits.warm_up_updates(Millis(3_001), false), []);
    limits.update_servers(Millis(21_000), &[entry("a", 2, Millis::ZERO)]);
    assert!(!limits.record_peer_warm_up(Millis(21_000), &update));
    let unknown = ServerWarmUp {
        engine: id("x"),
        ..update
    };
    assert!(!limits.record_peer_warm_up(Millis(21_000), &unknown));
}

/// Guards against a copy of the store that ends a warm-up by an entry of an earlier start.
#[test]
fn an_entry_of_an_earlier_start_does_not_end_a_warm_up() {
    let (mut limits, engine) = one_server();
    limits.update_servers(Millis(0), &[entry("a", 2, COLD)]);
    limits.update_servers(Millis(100), &[entry("a", 1, Millis::ZERO)]);
    assert_eq!(limits.limit_at(Millis(100), &engine), Some(limit().rate));
    limits.update_servers(Millis(200), &[entry("a", 2, Millis::ZERO)]);
    assert_eq!(limits.limit_at(Millis(200), &engine), None);
    assert_eq!(
        limits.take_warmed_up(Millis(200)),
        [engine],
        "the server is reopened at once"
    );
}

/// Guards against an owner that grants the burst of a warm server because the entry has reached only others.
#[test]
fn an_owner_that_does_not_know_of_the_restart_grants_no_burst() {
    let (mut limits, engine) = one_server();
    let _ = limits.take_permit(Millis(0), &engine, limit().rate);
    let granted = (0..50).filter(|_| limits.take_permit(Millis(60_000), &engine, limit().rate).is_ok());
    assert_eq!(granted.count(), 3, "a quarter of a second's worth");
}

/// Guards against requests that are sent to a cold server, and wait for its permits, while a warm one is free.
#[test]
fn requests_prefer_warm_servers() {
    let mut dispatcher = dispatcher(&[("a", 8), ("b", 8)]);
    dispatcher.mark_cold(|engine| *engine == id("a"));
    for now in 1..=8 {
        let (_, actions) = dispatcher.submit(Millis(now), job(now, 0));
        let servers: Vec<&str> = started(&actions).into_iter().map(|(_, name)| name).collect();
        assert_eq!(servers, ["b"]);
    }
    let (_, actions) = dispatcher.submit(Millis(9), job(9, 0));
    assert_eq!(
        started(&actions).len(),
        1,
        "the cold server takes what the warm one has no slot for"
    );
}
