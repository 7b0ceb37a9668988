//! Test fixtures: rollout records, and a gate and a driver with helpers that send them events.
#![expect(dead_code, reason = "each test file uses its own part")]

use std::sync::{Arc, LazyLock};

use carawayseam_config::Document;
use carawayseam_rollout::{
    Canary, Cause, Driver, DriverAction, DriverEvent, Evidence, Gate, GateAction, GateEvent, Growing,
    Observation, Pick, Preparing, Rollout, RolloutRecord, RouteEvidence, Served, VersionCounts, Whole,
};
use carawayseam_types::{Digest, HostId, Incarnation, Millis, Permille, Revision};

const KHAO_RANG: &str = include_str!("../../../../examples/khao-rang.yaml");

/// Time at which the rollouts of these tests are promoted.
pub const START: Millis = Millis::from_secs(10_000);
pub const OLD: &str = "passes-1";
pub const NEW: &str = "passes-2";

static DOCUMENT: LazyLock<Document> = LazyLock::new(|| {
    let document = Document::from_yaml("khao-rang.yaml", KHAO_RANG);
    document.expect("the example is valid")
});

pub fn document() -> Document {
    DOCUMENT.clone()
}

pub fn host_id(name: &str) -> HostId {
    name.parse().expect("the name is valid")
}

pub fn preparing() -> Rollout<Preparing> {
    let document = document();
    let spec = document.moves[0].clone();
    Rollout::promote(document.environment, spec, Revision(1), None, START).expect("the rollout is valid")
}

pub fn canary() -> Rollout<Canary> {
    preparing().begin(START)
}

pub fn growing(share: u16) -> Rollout<Growing> {
    let grown = canary().grow(Permille::new(share), Cause::EvidenceGood, START);
    grown.expect("the share grows")
}

pub fn whole() -> Rollout<Whole> {
    growing(500).complete(Cause::EvidenceGood, START)
}

pub fn finished() -> RolloutRecord {
    let done = whole().finish(Cause::EvidenceGood, START);
    done.expect("the deadline has not passed").into_record()
}

pub fn rolled_back() -> RolloutRecord {
    whole().roll_back(Cause::Operator, START).into_record()
}

/// The gate of an entry host, with the current time and all actions so far.
pub struct Host {
    pub gate: Gate,
    pub now: Millis,
    pub actions: Vec<GateAction>,
    content: u64,
}

impl Host {
    pub fn new(name: &str) -> Self {
        let mut host = Self {
            gate: Gate::new(host_id(name), Incarnation(1)),
            now: START,
            actions: Vec::new(),
            content: 0,
        };
        host.send(GateEvent::Configure(Arc::new(document())));
        host
    }

    /// Creates a host that is in contact and has received a record.
    pub fn following(record: RolloutRecord) -> Self {
        let mut host = Self::new("entry-a");
        host.send(GateEvent::Contact);
        host.send(GateEvent::Record(record));
        host
    }

    pub fn send(&mut self, event: GateEvent) {
        self.gate.handle(self.now, event, &mut self.actions);
    }

    /// Advances the time while the host stays in contact.
    pub fn wait(&mut self, time: Millis) {
        self.now += time;
        self.send(GateEvent::Contact);
        self.send(GateEvent::Tick);
    }

    pub fn pick(&mut self, route: &str) -> String {
        self.content += 1;
        let (backend, name) = ("passes".parse(), route.parse());
        let pick = Pick {
            backend: &backend.expect("the name is valid"),
            route: &name.expect("the name is valid"),
            idempotent: route != "renew",
            content: Digest::of(&self.content.to_le_bytes()),
        };
        let version = self.gate.pick(self.now, &pick);
        version.expect("the backend is declared").to_string()
    }

    /// Returns how many of `count` picks chose the new version.
    pub fn count_new(&mut self, route: &str, count: usize) -> usize {
        (0..count).filter(|_| self.pick(route) == NEW).count()
    }

    pub fn observe(&mut self, route: &str, version: &str, served: Served, first: u64) {
        let observation = Observation {
            route: route.parse().expect("the name is valid"),
            version: version.parse().expect("the name is valid"),
            served,
            first: (served == Served::Whole).then_some(Millis(first)),
            gap_micros: None,
        };
        let backend = "passes".parse().expect("the name is valid");
        self.send(GateEvent::Observed { backend, observation });
    }

    /// Serves `count` requests in sequence, 100 ms apart.
    pub fn serve(&mut self, route: &str, count: usize, serve: impl Fn(&str, usize) -> (Served, u64)) {
        for number in 0..count {
            let version = self.pick(route);
            self.wait(Millis(100));
            let (served, first) = serve(&version, number);
            self.observe(route, &version, served, first);
        }
    }

    pub fn stop_cause(&self) -> Option<&Cause> {
        self.actions.iter().find_map(|action| match action {
            GateAction::Stop { cause, .. } => Some(cause),
            _ => None,
        })
    }

    pub fn last_report(&self) -> Option<&Evidence> {
        self.actions.iter().rev().find_map(|action| match action {
            GateAction::Report(report) => Some(report),
            _ => None,
        })
    }
}

/// A driver, with the current time and the actions of its last event.
pub struct Holder {
    pub driver: Driver,
    pub now: Millis,
    pub actions: Vec<DriverAction>,
    seq: u64,
}

impl Holder {
    pub fn new(record: RolloutRecord) -> Self {
        Self {
            driver: Driver::new(record),
            now: START,
            actions: Vec::new(),
            seq: 0,
        }
    }

    pub fn send(&mut self, event: DriverEvent) {
        self.actions.clear();
        self.driver.handle(self.now, event, &mut self.actions);
    }

    pub fn wait(&mut self, time: Millis) {
        self.now += time;
        self.send(DriverEvent::Tick);
    }

    /// Sends a report of one host with `responses` good responses of either version on each route.
    pub fn send_report(&mut self, responses: u64) {
        self.seq += 1;
        let report = report("entry-a", self.seq, responses, 0);
        self.send(DriverEvent::Evidence(report));
    }

    pub fn written(&self) -> Option<&RolloutRecord> {
        self.actions.iter().find_map(|action| match action {
            DriverAction::Write(record) => Some(&**record),
            DriverAction::ReleaseOld => None,
        })
    }

    /// Confirms the last write to the driver and returns the written record.
    pub fn accept(&mut self) -> RolloutRecord {
        let record = self.written().expect("a record is written").clone();
        self.send(DriverEvent::Record(record.clone()));
        record
    }
}

pub fn counts(responses: u64, failed: u64) -> VersionCounts {
    VersionCounts {
        dispatched: responses + failed,
        whole: responses,
        failed,
        ..VersionCounts::default()
    }
}

pub fn report(host: &str, seq: u64, responses: u64, new_failed: u64) -> Evidence {
    let routes = ["renew", "balance"].map(|route| RouteEvidence {
        route: route.parse().expect("the name is valid"),
        old: counts(responses, 0),
        new: counts(responses, new_failed),
    });
    Evidence {
        environment: document().environment,
        move_id: document().moves[0].name.clone(),
        backend: "passes".parse().expect("the name is valid"),
        host: host_id(host),
        incarnation: Incarnation(1),
        seq,
        routes: routes.to_vec(),
        stopped: false,
        finding: None,
    }
}
