//! The project's own policy: a gate at each host, one driver, and messages with delay.

use std::collections::BTreeMap;
use std::sync::Arc;

use carawayseam_rollout::{
    Driver, DriverAction, DriverEvent, Gate, GateAction, GateEvent, Observation, Phase, Pick, Preparing,
    Rollout, RolloutRecord,
};
use carawayseam_types::{Digest, HostId, Incarnation, Millis, Revision};
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;

use super::case::{Case, Expected, Outage};
use super::policy::{End, Outcome, Policy};
use super::world::START;

const TICK_EVERY: Millis = Millis(200);
/// How often the holder gives a sign of life and hosts read the store.
const CONTACT_EVERY: Millis = Millis(500);
const SPREAD_EVERY: Millis = Millis::from_secs(1);
const NEW_HOLDER_EVERY: Millis = Millis::from_secs(97);
/// How long a holder works on without the store.
const LEASE_TTL: Millis = Millis::from_secs(10);
/// Delays of messages between hosts, in milliseconds.
const MESSAGE_MS: std::ops::Range<u64> = 5..400;
/// Delays of the store, in milliseconds.
const STORE_MS: std::ops::Range<u64> = 2..30;
const ENGINES_READY_SECS: std::ops::Range<u64> = 5..40;
const LOST_ANSWERS: f64 = 0.5;

#[derive(Debug, Clone)]
enum Mail {
    Tick,
    Beat,
    Spread,
    NewHolder,
    Gate(usize, Box<GateEvent>),
    Driver(Box<DriverEvent>),
    Store(Box<RolloutRecord>),
}

/// Gates, driver, store and what is under way between them.
pub(super) struct Project<'a> {
    case: &'a Case,
    hosts: Vec<HostId>,
    gates: Vec<Gate>,
    driver: Driver,
    stored: RolloutRecord,
    ready_at: Millis,
    mail: BTreeMap<(Millis, u64), Mail>,
    posted: u64,
    rng: Xoshiro256PlusPlus,
    stopped: Vec<bool>,
    shown_at: Option<Millis>,
    followed_at: Option<Millis>,
}

impl<'a> Project<'a> {
    pub(super) fn new(case: &'a Case) -> Self {
        let document = Arc::new(case.firm.document.clone());
        let promoted = Rollout::<Preparing>::promote(
            document.environment.clone(),
            document.moves[0].clone(),
            Revision(1),
            None,
            START,
        );
        let stored = promoted.expect("the example's move is valid").into_record();
        let hosts: Vec<HostId> = (0..case.firm.hosts).map(host_id).collect();
        let gates = hosts.iter().map(|host| Gate::new(host.clone(), Incarnation(1)));
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(!case.seed);
        let ready_at = START + Millis::from_secs(rng.random_range(ENGINES_READY_SECS));
        let mut project = Self {
            case,
            gates: gates.collect(),
            hosts,
            driver: Driver::new(stored.clone()),
            stored,
            ready_at,
            mail: BTreeMap::new(),
            posted: 0,
            rng,
            stopped: vec![false; case.firm.hosts],
            shown_at: None,
            followed_at: None,
        };
        for host in 0..project.gates.len() {
            project.tell_gate(START, host, GateEvent::Configure(Arc::clone(&document)));
        }
        for mail in [Mail::Tick, Mail::Beat, Mail::Spread] {
            project.post(START, mail);
        }
        if case.outage == Outage::NewHolders {
            project.post(START + NEW_HOLDER_EVERY, Mail::NewHolder);
        }
        project
    }

    fn post(&mut self, at: Millis, mail: Mail) {
        self.posted += 1;
        self.mail.insert((at, self.posted), mail);
    }

    fn post_gate(&mut self, at: Millis, host: usize, event: GateEvent) {
        self.post(at, Mail::Gate(host, Box::new(event)));
    }

    fn post_driver(&mut self, at: Millis, event: DriverEvent) {
        self.post(at, Mail::Driver(Box::new(event)));
    }

    fn message_time(&mut self, now: Millis) -> Millis {
        now + Millis(self.rng.random_range(MESSAGE_MS))
    }

    fn store_time(&mut self, now: Millis) -> Millis {
        now + Millis(self.rng.random_range(STORE_MS))
    }

    fn is_store_up(&self, now: Millis) -> bool {
        match self.case.outage {
            Outage::Store(from, to) => !(START + from..START + to).contains(&now),
            _ => true,
        }
    }

    /// Whether some host holds the control lease.
    fn has_holder(&self, now: Millis) -> bool {
        match self.case.outage {
            Outage::Store(from, to) => !(START + from + LEASE_TTL..START + to).contains(&now),
            _ => true,
        }
    }

    fn is_cut(&self, now: Millis, host: usize) -> bool {
        match self.case.outage {
            Outage::HostCut(from, to) => host == 0 && (START + from..START + to).contains(&now),
            _ => false,
        }
    }

    fn deliver(&mut self, now: Millis, mail: Mail) {
        match mail {
            Mail::Tick => {
                for host in 0..self.gates.len() {
                    self.tell_gate(now, host, GateEvent::Tick);
                }
                self.tell_driver(now, DriverEvent::Tick);
                self.note_shown(now);
                self.post(now + TICK_EVERY, Mail::Tick);
            }
            Mail::Beat => self.beat(now),
            Mail::Spread => self.spread(now),
            Mail::NewHolder => {
                self.driver = Driver::new(self.stored.clone());
                self.post(now + NEW_HOLDER_EVERY, Mail::NewHolder);
            }
            Mail::Gate(host, _) if self.is_cut(now, host) => {}
            Mail::Gate(host, event) => self.tell_gate(now, host, *event),
            Mail::Driver(event) => self.tell_driver(now, *event),
            Mail::Store(record) => self.write(now, *record),
        }
    }

    fn beat(&mut self, now: Millis) {
        if self.has_holder(now) {
            for host in 0..self.gates.len() {
                let at = self.message_time(now);
                self.post_gate(at, host, GateEvent::Contact);
            }
        }
        self.post(now + CONTACT_EVERY, Mail::Beat);
    }

    /// Repeats what is known, as the spread between hosts does.
    fn spread(&mut self, now: Millis) {
        let backend = self.stored.spec.backend.clone();
        for host in 0..self.gates.len() {
            let confirmed = self.gates[host].confirmed(&backend);
            if confirmed < Some(self.stored.revision) {
                let at = self.message_time(now);
                self.post_gate(at, host, GateEvent::Record(self.stored.clone()));
            }
            if let Some(revision) = confirmed.filter(|_| !self.is_cut(now, host)) {
                let host = self.hosts[host].clone();
                let at = self.message_time(now);
                self.post_driver(at, DriverEvent::Confirmed { host, revision });
            }
        }
        let live = (0..self.hosts.len()).filter(|host| !self.is_cut(now, *host));
        let hosts = live.map(|host| self.hosts[host].clone()).collect();
        self.post_driver(now, DriverEvent::Hosts(hosts));
        self.post_driver(now, DriverEvent::EnginesReady(now >= self.ready_at));
        self.post(now + SPREAD_EVERY, Mail::Spread);
    }

    fn write(&mut self, now: Millis, record: RolloutRecord) {
        if !self.is_store_up(now) {
            return;
        }
        if record.revision == self.stored.revision.next() {
            self.stored = record;
            for host in 0..self.gates.len() {
                let at = self.message_time(now);
                self.post_gate(at, host, GateEvent::Record(self.stored.clone()));
            }
        }
        let lost = self.case.outage == Outage::LostAnswers && self.rng.random_bool(LOST_ANSWERS);
        if !lost {
            let at = self.store_time(now);
            self.post_driver(at, DriverEvent::Record(self.stored.clone()));
        }
    }

    fn tell_driver(&mut self, now: Millis, event: DriverEvent) {
        if !self.has_holder(now) {
            return;
        }
        let mut actions = Vec::new();
        self.driver.handle(now, event, &mut actions);
        for action in actions {
            if let DriverAction::Write(record) = action {
                let at = self.store_time(now);
                self.post(at, Mail::Store(record));
            }
        }
    }

    fn tell_gate(&mut self, now: Millis, host: usize, event: GateEvent) {
        let mut actions = Vec::new();
        self.gates[host].handle(now, event, &mut actions);
        for action in actions {
            self.obey(now, host, action);
        }
    }

    fn obey(&mut self, now: Millis, host: usize, action: GateAction) {
        match action {
            GateAction::Stop { move_id, cause, .. } => {
                self.stopped[host] = true;
                self.note_shown(now);
                let event = GateEvent::PeerStopped { move_id, cause };
                self.tell_peers(now, host, &event);
            }
            GateAction::Report(report) => {
                if !self.is_cut(now, host) {
                    let at = self.message_time(now);
                    self.post_driver(at, DriverEvent::Evidence(report.clone()));
                }
                self.tell_peers(now, host, &GateEvent::Evidence(report));
            }
            GateAction::Settled { .. } => {}
        }
    }

    fn tell_peers(&mut self, now: Millis, from: usize, event: &GateEvent) {
        if self.is_cut(now, from) {
            return;
        }
        for host in (0..self.gates.len()).filter(|host| *host != from) {
            let at = self.message_time(now);
            self.post_gate(at, host, event.clone());
        }
    }

    /// Notes when evidence was clear at a host that can tell others.
    fn note_shown(&mut self, now: Millis) {
        let told = |host: &usize| self.stopped[*host] && !self.is_cut(now, *host);
        if self.shown_at.is_none() && (0..self.stopped.len()).any(|host| told(&host)) {
            self.shown_at = Some(now);
        }
    }

    fn note_followed(&mut self, now: Millis) {
        let backend = &self.stored.spec.backend;
        let follows = |gate: &Gate| gate.confirmed(backend) == Some(self.stored.revision);
        if self.followed_at.is_none() && self.stored.phase.is_final() && self.gates.iter().all(follows) {
            self.followed_at = Some(now);
        }
    }
}

impl Policy for Project<'_> {
    fn advance(&mut self, now: Millis) {
        while let Some(entry) = self.mail.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((at, _), mail) = entry.remove_entry();
            self.deliver(at, mail);
        }
        self.note_followed(now);
    }

    fn pick(&mut self, now: Millis, host: usize, route: usize, content: Digest) -> bool {
        let spec = &self.stored.spec;
        let route = &self.case.firm.routes[route];
        let pick = Pick {
            backend: &spec.backend,
            route: &route.name,
            idempotent: route.idempotent,
            content,
        };
        self.gates[host]
            .pick(now, &pick)
            .is_some_and(|version| version == spec.to)
    }

    fn ended(&mut self, now: Millis, end: &End) {
        let spec = &self.stored.spec;
        let version = if end.new { &spec.to } else { &spec.from };
        let observation = Observation {
            route: self.case.firm.routes[end.route].name.clone(),
            version: version.clone(),
            served: end.served,
            first: end.first,
            gap_micros: end.gap_micros,
        };
        let backend = spec.backend.clone();
        self.tell_gate(now, end.host, GateEvent::Observed { backend, observation });
    }

    fn shown_at(&self) -> Option<Millis> {
        self.shown_at
    }

    fn is_finished_at(&self, host: usize) -> bool {
        let moves = self.gates[host].dump().moves;
        moves.iter().any(|record| record.phase == Phase::Finished)
    }

    fn outcome(&self) -> Option<Outcome> {
        let became = match self.stored.phase {
            Phase::Finished => Expected::Finished,
            _ => Expected::TakenBack,
        };
        self.followed_at.map(|at| Outcome { became, at })
    }
}

fn host_id(number: usize) -> HostId {
    format!("entry-{number}")
        .parse()
        .expect("a numbered host name is valid")
}
