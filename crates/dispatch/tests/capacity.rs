//! Learned paces and capacities of servers that differ in speed, with a few hosts on a manual clock.

mod support;

use std::collections::{BTreeMap, HashMap};

use carawayseam_dispatch::capacity::PaceEstimate;
use carawayseam_dispatch::{Action, AttemptEnd, CallerTime, Dispatcher, Job, Ticket};
use carawayseam_types::{HostId, Millis};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::{BOUNDS, dispatcher, engine, job, started};

const SLOTS: u32 = 8;
const STEP_MS: u64 = 5;
const EVENT_MS: f64 = 25.0;
const EVENTS: u32 = 40;
const FIRST_EVENT_MS: f64 = 20.0;
const EVENTS_PER_SAMPLE: u32 = 8;
/// A slow server completes responses of 2.5 times the expected length within it.
const TIME_LIMIT_MS: u64 = 8_000;

/// A server as it is in truth.
#[derive(Debug, Clone, Copy)]
struct Server {
    /// The time that it takes, relative to others.
    slowness: f64,
    /// The concurrency from which requests share one speed.
    knee: u32,
}

impl Server {
    fn event_ms(self, running: usize) -> f64 {
        EVENT_MS * self.slowness * (running as f64 / f64::from(self.knee)).max(1.0)
    }

    /// Returns the largest number of requests that it completes in a second.
    fn rate(self) -> f64 {
        let request_ms = (EVENT_MS * f64::from(EVENTS) + FIRST_EVENT_MS) * self.slowness;
        f64::from(self.knee) * 1_000.0 / request_ms
    }
}

#[derive(Debug)]
struct Attempt {
    server: usize,
    deadline: u64,
    progress: f64,
    sampled: u32,
    sampled_at: u64,
}

#[derive(Debug)]
struct Sim {
    now: u64,
    servers: Vec<Server>,
    hosts: Vec<Dispatcher>,
    attempts: BTreeMap<(usize, Ticket), Attempt>,
    deadlines: HashMap<(usize, Ticket), u64>,
    rng: StdRng,
    arrivals: f64,
    submitted: u32,
    in_time: u32,
    /// Time and server of each start.
    starts: Vec<(u64, usize)>,
    /// Time and server of each completed response.
    completed: Vec<(u64, usize)>,
}

impl Sim {
    fn new(servers: Vec<Server>, host_count: usize, learns: bool) -> Self {
        let entries: Vec<_> = (0..servers.len())
            .map(|ix| engine(&format!("s-{ix}"), SLOTS))
            .collect();
        let new_host = |ix: usize| {
            let zone = "zone-a".parse().expect("a valid name");
            let mut host = Dispatcher::new(zone, BOUNDS, ix as u64);
            host.set_host_count(host_count as u32);
            if !learns {
                host.disable_capacity_learning();
            }
            host.set_engines(Millis(0), entries.clone());
            host
        };
        Self {
            now: 0,
            servers,
            hosts: (0..host_count).map(new_host).collect(),
            attempts: BTreeMap::new(),
            deadlines: HashMap::new(),
            rng: StdRng::seed_from_u64(3),
            arrivals: 0.0,
            submitted: 0,
            in_time: 0,
            starts: Vec::new(),
            completed: Vec::new(),
        }
    }

    /// Runs for a time with a load relative to what the servers complete.
    fn run(&mut self, millis: u64, load: f64) {
        let rate: f64 = self.servers.iter().map(|server| server.rate()).sum();
        let end = self.now + millis;
        while self.now < end {
            self.now += STEP_MS;
            self.advance_servers();
            self.arrivals += rate * load * STEP_MS as f64 / 1_000.0;
            while self.arrivals >= 1.0 {
                self.arrivals -= 1.0;
                self.submit();
            }
            if self.now.is_multiple_of(50) {
                self.exchange();
            }
        }
    }

    fn submit(&mut self) {
        let host = self.rng.random_range(0..self.hosts.len());
        let deadline = self.now + TIME_LIMIT_MS;
        let job = Job {
            caller: CallerTime::until(Millis(deadline)),
            expected_events: EVENTS,
            prompt: 0,
            ..job(self.now, 0)
        };
        self.submitted += 1;
        let (ticket, actions) = self.hosts[host].submit(Millis(self.now), job);
        self.deadlines.insert((host, ticket), deadline);
        self.apply(host, &actions);
    }

    fn apply(&mut self, host: usize, actions: &[Action]) {
        for (ticket, engine) in started(actions) {
            let number = engine.strip_prefix("s-").expect("a server's name");
            let server = number.parse().expect("a server's number");
            self.starts.push((self.now, server));
            let attempt = Attempt {
                server,
                deadline: self.deadlines[&(host, ticket)],
                progress: -FIRST_EVENT_MS / EVENT_MS,
                sampled: 0,
                sampled_at: 0,
            };
            self.attempts.insert((host, ticket), attempt);
        }
    }

    fn advance_servers(&mut self) {
        let mut running = vec![0; self.servers.len()];
        for attempt in self.attempts.values() {
            running[attempt.server] += 1;
        }
        let mut ended = Vec::new();
        for ((host, ticket), attempt) in &mut self.attempts {
            let event_ms = self.servers[attempt.server].event_ms(running[attempt.server]);
            let noise = self.rng.random_range(0.8..1.2);
            let before = attempt.progress;
            attempt.progress += STEP_MS as f64 / event_ms * noise;
            let dispatcher = &mut self.hosts[*host];
            if before < 0.0 && attempt.progress >= 0.0 {
                dispatcher.record_first_event(Millis(self.now), *ticket);
                attempt.sampled_at = self.now;
            }
            let events = attempt.progress.max(0.0) as u32;
            if events >= attempt.sampled + EVENTS_PER_SAMPLE {
                let mean = (self.now - attempt.sampled_at) as f64 / f64::from(events - attempt.sampled);
                dispatcher.record_events(Millis(self.now), *ticket, mean);
                (attempt.sampled, attempt.sampled_at) = (events, self.now);
            }
            if events >= EVENTS {
                ended.push((*host, *ticket, AttemptEnd::Complete));
            } else if self.now > attempt.deadline {
                ended.push((*host, *ticket, AttemptEnd::Cancelled));
            }
        }
        for (host, ticket, end) in ended {
            let attempt = self.attempts.remove(&(host, ticket)).expect("it ran");
            if end == AttemptEnd::Complete {
                self.completed.push((self.now, attempt.server));
                self.in_time += u32::from(self.now <= attempt.deadline);
            }
            let actions = self.hosts[host].record_end(Millis(self.now), ticket, end);
            self.apply(host, &actions);
        }
    }

    /// Announces the hosts' loads to each other and advances their clocks.
    fn exchange(&mut self) {
        let loads: Vec<_> = self.hosts.iter().map(Dispatcher::own_load).collect();
        for host in 0..self.hosts.len() {
            for (from, load) in loads.iter().enumerate().filter(|(from, _)| *from != host) {
                let name: HostId = format!("h-{from}").parse().expect("a valid name");
                let actions = self.hosts[host].record_peer_load(Millis(self.now), &name, load.clone());
                self.apply(host, &actions);
            }
            let actions = self.hosts[host].tick(Millis(self.now));
            self.apply(host, &actions);
        }
    }

    fn served_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.submitted - self.attempts.len() as u32)
    }

    /// Returns the number of starts on a server in a span of time, and on all servers.
    fn started(&self, server: usize, from: u64, until: u64) -> (usize, usize) {
        let within = || self.starts.iter().filter(|(at, _)| (from..until).contains(at));
        (within().filter(|(_, ix)| *ix == server).count(), within().count())
    }

    /// Returns the load of the busiest server since a time, by its speed and relative to the mean.
    fn busiest(&self, from: u64) -> f64 {
        let since = || self.completed.iter().filter(|(at, _)| *at >= from);
        let loads = self.servers.iter().enumerate().map(|(ix, server)| {
            let count = since().filter(|(_, on)| *on == ix).count();
            count as f64 / server.rate()
        });
        let mean = since().count() as f64 / self.servers.iter().map(|server| server.rate()).sum::<f64>();
        loads.fold(0.0, f64::max) / mean
    }

    fn estimates(&self, host: usize) -> BTreeMap<String, PaceEstimate> {
        let estimates = self.hosts[host].pace_estimates(Millis(self.now)).into_iter();
        estimates
            .map(|(id, estimate)| (id.to_string(), estimate))
            .collect()
    }
}

/// Servers of which a third each is fast, typical and slow; every other one has a knee at half of its slots.
fn mixed() -> Vec<Server> {
    let slowness = [0.55, 1.0, 2.8, 0.55, 1.0, 2.8, 0.55, 1.0, 2.8, 0.55, 1.0, 2.8];
    let servers = slowness.into_iter().enumerate();
    let server = |(ix, slowness): (usize, f64)| Server {
        slowness,
        knee: if ix % 2 == 0 { SLOTS } else { SLOTS / 2 },
    };
    servers.map(server).collect()
}

/// Guards against a scheduler that overloads slow servers, or fills servers beyond the load that they handle well.
#[test]
fn servers_of_differing_speed_are_loaded_by_their_speed() {
    for (load, min_share) in [(0.7, 0.99), (1.0, 0.9), (1.5, 0.55)] {
        let run = |learns| {
            let mut sim = Sim::new(mixed(), 3, learns);
            sim.run(40_000, load);
            sim
        };
        let (with, without) = (run(true), run(false));
        let busiest = with.busiest(10_000);
        println!(
            "load {load}: in time {:.3}, without learning {:.3}; busiest {busiest:.2}, without {:.2}",
            with.served_share(),
            without.served_share(),
            without.busiest(10_000),
        );
        assert!(with.served_share() >= min_share, "load {load}");
        assert!(
            with.served_share() >= without.served_share() - 0.005,
            "load {load}"
        );
        assert!(busiest <= 1.2, "load {load}: {busiest}");
    }
}

/// Guards against a server that keeps its load after it slowed down, and one that is never used again.
#[test]
fn a_change_of_pace_is_followed() {
    let mut sim = Sim::new(mixed(), 3, true);
    sim.run(20_000, 0.7);
    let (before, _) = sim.started(4, 18_000, 20_000);
    sim.servers[4].slowness *= 5.0;
    sim.run(10_000, 0.7);
    let (after, _) = sim.started(4, 22_000, 24_000);
    let (slow, all) = sim.started(4, 24_000, 30_000);
    sim.servers[4].slowness /= 5.0;
    sim.run(12_000, 0.7);
    let (recovered, _) = sim.started(4, 40_000, 42_000);
    println!("starts in 2 s: {before}, slow {after}, recovered {recovered}; {slow} of {all} while slow");
    assert!(after * 2 <= before, "{after} of {before}");
    assert!(slow * 20 <= all, "{slow} of {all}");
    assert!(recovered * 10 >= before * 7, "{recovered} of {before}");
}

/// Guards against placement that differs from that without learning though all servers are alike.
#[test]
fn alike_servers_are_chosen_as_without_learning() {
    for knee in [SLOTS, SLOTS / 2] {
        for (host_count, load) in [(1, 0.7), (4, 1.0), (16, 1.5)] {
            let alike = vec![Server { slowness: 1.0, knee }; 9];
            let run = |learns| {
                let mut sim = Sim::new(alike.clone(), host_count, learns);
                sim.run(20_000, load);
                sim.starts
            };
            assert!(
                run(true) == run(false),
                "knee {knee}, {host_count} hosts, load {load}"
            );
        }
    }
}

/// Guards against samples that no server can have caused, which would otherwise move the estimates.
#[test]
fn false_samples_change_nothing() {
    let mut sim = Sim::new(mixed(), 1, true);
    sim.run(10_000, 0.7);
    let before = sim.estimates(0);
    assert!(!before.is_empty());
    let tickets: Vec<Ticket> = sim.attempts.keys().map(|(_, ticket)| *ticket).collect();
    for sample in [0.0, -1.0, 1e300, f64::NAN, f64::INFINITY, f64::MIN_POSITIVE] {
        for ticket in &tickets {
            sim.hosts[0].record_events(Millis(sim.now), *ticket, sample);
        }
    }
    assert_eq!(sim.estimates(0), before);
}

/// Guards against a restarted server that is still taken for a slow one.
#[test]
fn a_restart_resets_what_was_learned() {
    let mut sim = Sim::new(mixed(), 1, true);
    sim.run(10_000, 0.7);
    let known = sim.estimates(0);
    let restarted = |ix: usize| {
        let mut entry = engine(&format!("s-{ix}"), SLOTS);
        entry.started = if ix == 2 { Some(2) } else { entry.started };
        entry
    };
    sim.hosts[0].set_engines(Millis(sim.now), (0..sim.servers.len()).map(restarted).collect());
    let left = sim.estimates(0);
    assert!(known.contains_key("s-2") && !left.contains_key("s-2"));
    assert_eq!(left.len(), known.len() - 1);
}

/// Guards against learning on servers with one slot, which have no concurrency to learn.
#[test]
fn servers_with_one_slot_are_left_as_they_are() {
    let mut host = dispatcher(&[("a", 1)]);
    let (ticket, _) = host.submit(Millis(5), job(5, 0));
    for at in 0..100 {
        host.record_events(Millis(10 + at), ticket, 25.0);
    }
    assert!(host.pace_estimates(Millis(200)).is_empty());
}
