//! A simulated fleet on a manual clock: hosts, their callers and backend servers, without network.

use std::collections::{BTreeMap, HashMap};

use carawayseam_dispatch::reach::ReachQuery;
use carawayseam_dispatch::{Action, AttemptEnd, Dispatcher, EngineEntry, Job, Ticket};
use carawayseam_types::{BackendName, EngineId, EngineKey, HostId, Millis, ZoneId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::partitions::{host, zone};
use crate::support::{BOUNDS, engine, job};

pub(crate) const BACKENDS: usize = 2;
pub(crate) const CUT_MS: u64 = 2_000;
pub(crate) const HEAL_MS: u64 = 9_000;
pub(crate) const END_MS: u64 = 13_000;

const ZONES: usize = 3;
const SLOTS: u32 = 8;
const TICK_MS: u64 = 50;
/// Interval between two requests to one backend at one host.
const REQUEST_MS: u64 = 50;
/// Time until a message arrives at a peer.
const MESSAGE_MS: u64 = 3;
/// Time until a connection is established.
const CONNECT_MS: u64 = 2;
const FIRST_EVENT_MS: u64 = 30;
const RESPONSE_MS: u64 = 60;
/// Number of times that a request is queued again of which nothing was sent.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// What becomes of the connections of cut hosts.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Form {
    Silent,
    Reset,
}

impl Form {
    /// Returns the time after which an attempt to connect fails.
    const fn connect_failure_ms(self) -> u64 {
        match self {
            Self::Silent => 250,
            Self::Reset => 1,
        }
    }

    /// Returns the time after which a request that was sent before the cut ends.
    const fn response_failure_ms(self) -> u64 {
        match self {
            Self::Silent => 500,
            Self::Reset => 1,
        }
    }
}

/// The hosts that are cut.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Cut {
    Some,
    Most,
    Zone,
    AllButOne,
}

impl Cut {
    const fn includes(self, host: usize) -> bool {
        match self {
            Self::Some => host % 4 == 1,
            Self::Most => !host.is_multiple_of(4),
            Self::Zone => host.is_multiple_of(ZONES),
            Self::AllButOne => host != 1,
        }
    }
}

#[derive(Debug)]
enum Event {
    Tick(usize),
    Request(usize, usize),
    Probe(usize, EngineId),
    ResponseBegin(usize, Ticket),
    Response(usize, Ticket),
    End(usize, Ticket, AttemptEnd),
    ConnectionFailed(usize, EngineId),
    Query {
        from: usize,
        to: usize,
        engines: Vec<EngineKey>,
    },
    Answer {
        from: usize,
        to: usize,
        engines: Vec<EngineKey>,
    },
}

#[derive(Debug)]
struct Attempt {
    job: Job,
    submitted: u64,
    unsent: u32,
    engine: Option<EngineId>,
    via: Option<usize>,
}

#[derive(Debug)]
struct Host {
    dispatcher: Dispatcher,
    attempts: HashMap<Ticket, Attempt>,
    /// Submission times of the requests that were served.
    served: Vec<u64>,
    /// Times of the requests that this host sent through a peer.
    relayed: Vec<u64>,
    /// Number of requests that this host carried for peers.
    carried: u32,
    /// Number of queries sent and answers received, by second.
    messages: BTreeMap<u64, u32>,
}

#[derive(Debug)]
pub(crate) struct Fleet {
    now: u64,
    hosts: Vec<Host>,
    names: Vec<(HostId, ZoneId)>,
    backend_of: HashMap<EngineId, usize>,
    cut: Cut,
    form: Form,
    backends_cut: usize,
    events: BTreeMap<(u64, u64), Event>,
    event_count: u64,
    rng: StdRng,
}

impl Fleet {
    /// Creates a fleet of which hosts are cut from the first `backends_cut` backends.
    pub(crate) fn new(hosts: usize, servers: usize, cut: Cut, form: Form, backends_cut: usize) -> Self {
        let seed = hosts as u64;
        let zone_of = |number: usize| zone(&format!("zone-{}", number % ZONES));
        let entries: Vec<EngineEntry> = (0..BACKENDS * servers)
            .map(|number| EngineEntry {
                backend: backend(number % BACKENDS),
                zone: zone_of(number / BACKENDS),
                ..engine(&format!("s-{number}"), SLOTS)
            })
            .collect();
        let names = (0..hosts).map(|number| (host(&format!("h-{number}")), zone_of(number)));
        let names: Vec<(HostId, ZoneId)> = names.collect();
        let ids = entries.iter().enumerate();
        let mut fleet = Self {
            now: 0,
            hosts: Vec::new(),
            backend_of: ids.map(|(ix, entry)| (entry.id.clone(), ix % BACKENDS)).collect(),
            cut,
            form,
            backends_cut,
            events: BTreeMap::new(),
            event_count: 0,
            rng: StdRng::seed_from_u64(seed),
            names,
        };
        for number in 0..hosts {
            let mut dispatcher = Dispatcher::new(zone_of(number), BOUNDS, seed + number as u64);
            dispatcher.set_engines(Millis(0), entries.clone());
            fleet.hosts.push(Host {
                dispatcher,
                attempts: HashMap::new(),
                served: Vec::new(),
                relayed: Vec::new(),
                carried: 0,
                messages: BTreeMap::new(),
            });
            let offset = fleet.rng.random_range(0..TICK_MS);
            fleet.schedule(offset, Event::Tick(number));
            for ix in 0..BACKENDS {
                let offset = fleet.rng.random_range(0..REQUEST_MS);
                fleet.schedule(offset, Event::Request(number, ix));
            }
        }
        fleet
    }

    pub(crate) fn run(&mut self) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at >= END_MS {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    pub(crate) const fn host_count(&self) -> usize {
        self.hosts.len()
    }

    pub(crate) fn served_between(&self, host: usize, from: u64, until: u64) -> u32 {
        let served = self.hosts[host].served.iter();
        served.filter(|at| (from..until).contains(at)).count() as u32
    }

    pub(crate) fn relayed_between(&self, from: u64, until: u64) -> usize {
        let relayed = self.hosts.iter().flat_map(|host| &host.relayed);
        relayed.filter(|at| (from..until).contains(at)).count()
    }

    /// Returns the numbers of requests carried by the hosts that are not cut.
    pub(crate) fn carried(&self) -> Vec<u32> {
        let hosts = self.hosts.iter().enumerate();
        let uncut = hosts.filter(|(number, _)| !self.cut.includes(*number));
        uncut.map(|(_, host)| host.carried).collect()
    }

    /// Returns the number of queries that a host sent and answers that it received in a second.
    pub(crate) fn messages(&self, host: usize, second: u64) -> u32 {
        self.hosts[host]
            .messages
            .get(&second)
            .copied()
            .unwrap_or_default()
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now + delay, self.event_count), event);
    }

    fn is_cut(&self, host: usize, engine: &EngineId) -> bool {
        let is_cut_now = (CUT_MS..HEAL_MS).contains(&self.now);
        is_cut_now && self.cut.includes(host) && self.backend_of[engine] < self.backends_cut
    }

    fn handle(&mut self, event: Event) {
        let now = Millis(self.now);
        match event {
            Event::Tick(number) => self.tick(number),
            Event::Request(number, ix) => {
                self.schedule(REQUEST_MS, Event::Request(number, ix));
                let job = Job {
                    backend: backend(ix),
                    ..job(self.now, 0)
                };
                let (ticket, actions) = self.hosts[number].dispatcher.submit(now, job.clone());
                self.track(number, ticket, job, self.now, 0);
                self.apply(number, actions);
            }
            Event::Probe(number, engine) => {
                if !self.is_cut(number, &engine) {
                    let actions = self.hosts[number].dispatcher.mark_reachable(now, &engine);
                    self.apply(number, actions);
                }
            }
            Event::ResponseBegin(number, ticket) => {
                self.hosts[number].dispatcher.record_first_event(now, ticket);
            }
            Event::Response(number, ticket) => self.respond(number, ticket),
            Event::End(number, ticket, end) => self.end(number, ticket, end),
            Event::ConnectionFailed(number, engine) => {
                self.hosts[number].dispatcher.mark_unreachable(now, &engine);
            }
            Event::Query { from, to, engines } => {
                let reached = self.hosts[to].dispatcher.reached_directly(&engines);
                if !reached.is_empty() {
                    let answer = Event::Answer {
                        from: to,
                        to: from,
                        engines: reached,
                    };
                    self.schedule(MESSAGE_MS, answer);
                }
            }
            Event::Answer { from, to, engines } => {
                self.count_message(to);
                let (name, peer_zone) = self.names[from].clone();
                let dispatcher = &mut self.hosts[to].dispatcher;
                let actions = dispatcher.record_relays(now, &name, &peer_zone, &engines);
                self.apply(to, actions);
            }
        }
    }

    fn tick(&mut self, number: usize) {
        let now = Millis(self.now);
        self.schedule(TICK_MS, Event::Tick(number));
        let dispatcher = &mut self.hosts[number].dispatcher;
        let actions = dispatcher.tick(now);
        let probes = dispatcher.due_probes(now);
        let query = dispatcher.reach_queries(now);
        self.apply(number, actions);
        for (engine, _) in probes {
            self.schedule(CONNECT_MS, Event::Probe(number, engine));
        }
        if let Some(query) = query {
            self.ask(number, &query);
        }
    }

    fn ask(&mut self, number: usize, query: &ReachQuery) {
        let (name, own_zone) = &self.names[number];
        for peer in query.select_peers(name, own_zone, &self.names) {
            let to = self.number_of(&peer);
            self.count_message(number);
            let engines = query.engines.clone();
            self.schedule(
                MESSAGE_MS,
                Event::Query {
                    from: number,
                    to,
                    engines,
                },
            );
        }
    }

    fn number_of(&self, name: &HostId) -> usize {
        let number = self.names.iter().position(|(listed, _)| listed == name);
        number.expect("the peer is listed")
    }

    fn count_message(&mut self, number: usize) {
        let second = self.now / 1_000;
        *self.hosts[number].messages.entry(second).or_default() += 1;
    }

    fn track(&mut self, number: usize, ticket: Ticket, job: Job, submitted: u64, unsent: u32) {
        let attempt = Attempt {
            job,
            submitted,
            unsent,
            engine: None,
            via: None,
        };
        self.hosts[number].attempts.insert(ticket, attempt);
    }

    fn apply(&mut self, number: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start {
                    ticket, engine, via, ..
                } => self.start(number, ticket, engine, via.as_ref()),
                Action::Refuse { ticket, .. } => {
                    self.hosts[number].attempts.remove(&ticket);
                }
            }
        }
    }

    fn start(&mut self, number: usize, ticket: Ticket, engine: EngineId, via: Option<&HostId>) {
        let via = via.map(|name| self.number_of(name));
        let reaching = via.unwrap_or(number);
        let is_cut = self.is_cut(reaching, &engine);
        let now = self.now;
        if let Some(peer) = via {
            self.hosts[number].relayed.push(now);
            self.hosts[peer].carried += u32::from(!is_cut);
        }
        if let Some(attempt) = self.hosts[number].attempts.get_mut(&ticket) {
            attempt.engine = Some(engine.clone());
            attempt.via = via;
        }
        match (is_cut, via) {
            (false, _) => {
                self.schedule(FIRST_EVENT_MS, Event::ResponseBegin(number, ticket));
                self.schedule(RESPONSE_MS, Event::Response(number, ticket));
            }
            (true, None) => {
                let end = Event::End(number, ticket, AttemptEnd::Unreachable);
                self.schedule(self.form.connect_failure_ms(), end);
            }
            (true, Some(peer)) => {
                self.schedule(
                    self.form.connect_failure_ms(),
                    Event::ConnectionFailed(peer, engine),
                );
                let end = Event::End(number, ticket, AttemptEnd::RelayFailed);
                self.schedule(self.form.connect_failure_ms() + MESSAGE_MS, end);
            }
        }
    }

    fn respond(&mut self, number: usize, ticket: Ticket) {
        let Some(attempt) = self.hosts[number].attempts.get(&ticket) else {
            return;
        };
        let reaching = attempt.via.unwrap_or(number);
        let engine = attempt.engine.clone().expect("the attempt was started");
        if self.is_cut(reaching, &engine) {
            let end = match self.form {
                Form::Silent => AttemptEnd::Unresponsive,
                Form::Reset => AttemptEnd::ConnectionLost,
            };
            let end = Event::End(number, ticket, end);
            self.schedule(self.form.response_failure_ms(), end);
        } else {
            self.end(number, ticket, AttemptEnd::Complete);
        }
    }

    fn end(&mut self, number: usize, ticket: Ticket, end: AttemptEnd) {
        let now = Millis(self.now);
        let attempt = self.hosts[number].attempts.remove(&ticket);
        let attempt = attempt.expect("the attempt was started");
        let actions = self.hosts[number].dispatcher.record_end(now, ticket, end);
        self.apply(number, actions);
        let is_unsent = matches!(end, AttemptEnd::Unreachable | AttemptEnd::RelayFailed);
        match end {
            AttemptEnd::Complete => self.hosts[number].served.push(attempt.submitted),
            _ if is_unsent && attempt.unsent < MAX_UNSENT_ATTEMPTS => {
                let job = attempt.job;
                let dispatcher = &mut self.hosts[number].dispatcher;
                let (ticket, actions) = dispatcher.submit_unsent(now, job.clone());
                self.track(number, ticket, job, attempt.submitted, attempt.unsent + 1);
                self.apply(number, actions);
            }
            _ => {}
        }
    }
}

fn backend(ix: usize) -> BackendName {
    format!("service-{ix}").parse().expect("a valid name")
}
