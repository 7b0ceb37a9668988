//! Property test of the gate with lost, repeated, delayed and reordered events: the gate never
//! returns to an older record, and it picks the new version only while that is allowed.

mod support;

use carawayseam_rollout::{Cause, GateAction, GateEvent, Phase, RolloutRecord, Served};
use carawayseam_types::Millis;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use support::{
    Host, NEW, OLD, START, canary, document, finished, growing, preparing, report, rolled_back, whole,
};

const CASES: u32 = 300;
const STEPS: usize = 120;
const SEED: [u8; 32] = [7; 32];
/// Longest time since the last contact within which the new version may still be picked.
const CONTACT_TIMEOUT: Millis = Millis(2_500);
const ROUTES: [&str; 2] = ["balance", "renew"];

#[derive(Debug, Clone)]
enum Step {
    /// A record of the rollout, in any order and any number of times.
    Record(usize),
    /// A report of a peer, in any order and any number of times.
    Evidence {
        seq: u64,
        failed: u64,
    },
    PeerStopped,
    Contact,
    Wait(u64),
    TurnClockBack(u64),
    Pick(usize),
    Observe {
        route: usize,
        new: bool,
        served: Served,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let served = prop_oneof![
        4 => Just(Served::Whole),
        1 => Just(Served::Failed),
        1 => Just(Served::Unfinished),
        1 => Just(Served::Excused),
    ];
    prop_oneof![
        6 => (0..8_usize).prop_map(Step::Record),
        3 => (1..20_u64, 0..3_u64).prop_map(|(seq, failed)| Step::Evidence { seq, failed }),
        1 => Just(Step::PeerStopped),
        6 => Just(Step::Contact),
        8 => (1..4_000_u64).prop_map(Step::Wait),
        1 => (60_000..4_000_000_u64).prop_map(Step::Wait),
        1 => (1..4_000_000_u64).prop_map(Step::TurnClockBack),
        20 => (0..2_usize).prop_map(Step::Pick),
        8 => (0..2_usize, any::<bool>(), served)
            .prop_map(|(route, new, served)| Step::Observe { route, new, served }),
    ]
}

/// Returns the records of one rollout; the last one is finished or rolled back.
fn records(is_finished: bool) -> [RolloutRecord; 5] {
    let end = if is_finished { finished() } else { rolled_back() };
    [
        preparing().into_record(),
        canary().into_record(),
        growing(15).into_record(),
        whole().into_record(),
        end,
    ]
}

/// A gate and the state from which its invariants are checked.
struct Model {
    host: Host,
    records: [RolloutRecord; 5],
    known: Option<RolloutRecord>,
    contact: Option<Millis>,
    latest: Millis,
    is_expired: bool,
}

impl Model {
    fn new(is_finished: bool) -> Self {
        Self {
            host: Host::new("entry-a"),
            records: records(is_finished),
            known: None,
            contact: None,
            latest: START,
            is_expired: false,
        }
    }

    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Record(at) => self.record(at),
            Step::Evidence { seq, failed } => {
                let report = report("entry-b", seq, 10 * seq, failed * seq);
                self.host.send(GateEvent::Evidence(report));
            }
            Step::PeerStopped => {
                let move_id = document().moves[0].name.clone();
                let cause = Cause::Operator;
                self.host.send(GateEvent::PeerStopped { move_id, cause });
            }
            Step::Contact => {
                self.contact = Some(self.host.now);
                self.host.send(GateEvent::Contact);
            }
            Step::Wait(time) => self.set_time(self.host.now + Millis(time)),
            Step::TurnClockBack(time) => self.set_time(self.host.now - Millis(time)),
            Step::Pick(route) => return self.pick(ROUTES[route]),
            Step::Observe { route, new, served } => {
                let version = if new { NEW } else { OLD };
                self.host.observe(ROUTES[route], version, served, 40);
            }
        }
        self.check_record()
    }

    fn record(&mut self, at: usize) {
        let record = self.records[at.min(self.records.len() - 1)].clone();
        let is_newer = self
            .known
            .as_ref()
            .is_none_or(|known| known.revision < record.revision);
        if is_newer {
            self.known = Some(record.clone());
        }
        self.host.send(GateEvent::Record(record));
    }

    fn set_time(&mut self, now: Millis) {
        self.host.now = now;
        self.latest = self.latest.max(now);
        let deadline = self.known.as_ref().map(|known| known.deadline);
        // The gate knows the deadline only after it has received the record.
        self.is_expired |= deadline.is_some_and(|deadline| now >= deadline);
        self.host.send(GateEvent::Tick);
    }

    fn check_record(&self) -> Result<(), TestCaseError> {
        let moves = self.host.gate.dump().moves;
        prop_assert_eq!(moves.first(), self.known.as_ref(), "newest record must stay");
        Ok(())
    }

    fn pick(&mut self, route: &str) -> Result<(), TestCaseError> {
        let version = self.host.pick(route);
        let phase = self.known.as_ref().map_or(Phase::Preparing, |known| known.phase);
        let is_stopped = !self.host.gate.dump().stopped.is_empty();
        let now = self.host.now;
        let has_contact = self
            .contact
            .is_some_and(|at| at <= now && now - at <= CONTACT_TIMEOUT);
        let may_be_new = match phase {
            Phase::Finished => true,
            Phase::Preparing | Phase::RolledBack => false,
            Phase::Canary if route == "renew" => false,
            Phase::Canary | Phase::Growing | Phase::Whole => !is_stopped && !self.is_expired && has_contact,
        };
        prop_assert!(may_be_new || version == OLD, "picked {version} in phase {phase}");
        prop_assert!(
            phase != Phase::Finished || version == NEW,
            "picked {version} after the rollout finished"
        );
        Ok(())
    }

    /// Checks that at most one stop was announced and that report sequence numbers never decrease.
    fn check_actions(&self) -> Result<(), TestCaseError> {
        let is_stop = |action: &&GateAction| matches!(action, GateAction::Stop { .. });
        let stops = self.host.actions.iter().filter(is_stop).count();
        prop_assert!(stops <= 1, "the gate announced {stops} stops");
        let reports = self.host.actions.iter().filter_map(|action| match action {
            GateAction::Report(report) => Some(report.seq),
            _ => None,
        });
        prop_assert!(reports.is_sorted(), "report sequence numbers must not decrease");
        Ok(())
    }
}

#[test]
fn invariants_hold_for_any_event_order() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = (any::<bool>(), prop::collection::vec(step(), 1..STEPS));
    let outcome = runner.run(&steps, |(is_finished, steps)| {
        let mut model = Model::new(is_finished);
        for step in &steps {
            model.apply(step)?;
        }
        model.check_actions()
    });
    if let Err(e) = outcome {
        panic!("{e}");
    }
}
