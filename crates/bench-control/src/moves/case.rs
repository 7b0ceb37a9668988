//! The moves that are tried: versions, troubles beside them, and outages.

use carawayseam_config::OnNoEvidence;
use carawayseam_types::Millis;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;

use super::firm::{Firm, ben_slama, khao_rang, khao_rang_low, within};

/// In which way the new version is bad.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Fault {
    /// It fails this part of its requests.
    Fails(f64),
    /// It leaves this part of its answers unfinished.
    Unfinished(f64),
    /// It is slower by this factor.
    Slow(f64),
    /// It answers nothing, so callers time out.
    Hangs,
}

/// When a fault shows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum When {
    /// From the first request on.
    AtOnce,
    /// From this time after promotion on.
    Later(Millis),
    /// Only while the version gets more than this part of the usual traffic.
    UnderLoad(f64),
}

/// Trouble that is not the new version's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Trouble {
    None,
    /// Requests that crash each server that runs them, and come again.
    Poison,
    /// Servers of either version are lost now and then.
    EngineLoss,
    /// Both versions fail more often for a while.
    SharedFailures,
    /// Traffic trebles now and then.
    Bursts,
}

/// An outage, with times after promotion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outage {
    None,
    /// The store answers nothing.
    Store(Millis, Millis),
    /// One host hears nothing from hosts or store.
    HostCut(Millis, Millis),
    /// Writes take effect, but half of their answers are lost.
    LostAnswers,
    /// The control lease's holder is replaced again and again.
    NewHolders,
}

/// What has to become of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Expected {
    Finished,
    TakenBack,
}

/// One move that is tried.
#[derive(Debug, Clone)]
pub(super) struct Case {
    pub scenario: &'static str,
    pub expected: Expected,
    /// Whether the baselines are tried, too.
    pub compared: bool,
    pub firm: Firm,
    pub fault: Option<Fault>,
    pub when: When,
    /// The route on which the fault shows; all if none.
    pub route: Option<usize>,
    pub trouble: Trouble,
    pub outage: Outage,
    pub seed: u64,
}

/// A kind of moves, of which several seeds are tried at each firm.
struct Kind {
    scenario: &'static str,
    seeds: u64,
    compared: bool,
    make: fn(&mut Case, &mut Xoshiro256PlusPlus),
}

const fn kind(scenario: &'static str, seeds: u64, make: fn(&mut Case, &mut Xoshiro256PlusPlus)) -> Kind {
    Kind {
        scenario,
        seeds,
        compared: true,
        make,
    }
}

const fn outage(scenario: &'static str, make: fn(&mut Case, &mut Xoshiro256PlusPlus)) -> Kind {
    Kind {
        scenario,
        seeds: 3,
        compared: false,
        make,
    }
}

const KINDS: [Kind; 26] = [
    kind("good/plain", 6, |_, _| {}),
    kind("good/poison requests", 6, |case, _| {
        case.trouble = Trouble::Poison;
    }),
    kind("good/engine loss", 6, |case, _| {
        case.trouble = Trouble::EngineLoss;
    }),
    kind("good/shared failures", 6, |case, _| {
        case.trouble = Trouble::SharedFailures;
    }),
    kind("good/bursts", 6, |case, _| case.trouble = Trouble::Bursts),
    kind("bad/fails at once", 6, |case, rng| case.fault = Some(fails(rng))),
    kind("bad/fails later", 6, |case, rng| {
        case.fault = Some(fails(rng));
        case.when = later(case, rng);
    }),
    kind("bad/slow at once", 6, |case, rng| case.fault = Some(slow(rng))),
    kind("bad/slow later", 6, |case, rng| {
        case.fault = Some(slow(rng));
        case.when = later(case, rng);
    }),
    kind("bad/fails under load", 6, |case, rng| {
        case.fault = Some(fails(rng));
        case.when = under_load(rng);
    }),
    kind("bad/slow under load", 6, |case, rng| {
        case.fault = Some(slow(rng));
        case.when = under_load(rng);
    }),
    kind("bad/fails on one route", 6, |case, rng| {
        case.fault = Some(fails(rng));
        case.route = Some(case.seed as usize % case.firm.routes.len());
    }),
    kind("bad/slow on one route", 6, |case, rng| {
        case.fault = Some(slow(rng));
        case.route = Some(case.seed as usize % case.firm.routes.len());
    }),
    kind("bad/unfinished answers", 6, |case, rng| {
        case.fault = Some(Fault::Unfinished(rng.random_range(0.3..1.0)));
    }),
    kind("bad/answers nothing", 6, |case, _| {
        case.fault = Some(Fault::Hangs);
    }),
    kind("bad/hangs later", 6, |case, rng| {
        case.fault = Some(Fault::Hangs);
        case.when = later(case, rng);
    }),
    outage("store outage/good", |case, rng| {
        case.outage = store_outage(case, rng);
    }),
    outage("store outage/bad later", |case, rng| {
        case.outage = store_outage(case, rng);
        case.fault = Some(fails(rng));
        case.when = later(case, rng);
    }),
    outage("host cut/good", |case, rng| case.outage = host_cut(case, rng)),
    outage("host cut/bad later", |case, rng| {
        case.outage = host_cut(case, rng);
        case.fault = Some(fails(rng));
        case.when = later(case, rng);
    }),
    outage("lost answers/good", |case, _| case.outage = Outage::LostAnswers),
    outage("lost answers/bad", |case, rng| {
        case.outage = Outage::LostAnswers;
        case.fault = Some(fails(rng));
    }),
    outage("new holders/good", |case, _| case.outage = Outage::NewHolders),
    outage("new holders/bad", |case, rng| {
        case.outage = Outage::NewHolders;
        case.fault = Some(slow(rng));
    }),
    outage("deadline in outage/good", |case, _| {
        case.outage = past_deadline(case);
    }),
    outage("deadline in outage/bad", |case, rng| {
        case.outage = past_deadline(case);
        case.fault = Some(fails(rng));
    }),
];

/// All moves, in a fixed order.
pub(super) fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for kind in &KINDS {
        for firm in [ben_slama(), khao_rang(), khao_rang_low()] {
            cases.extend((0..kind.seeds).map(|number| case(kind, &firm, number)));
        }
    }
    cases.extend(few_requests());
    cases
}

fn case(kind: &Kind, firm: &Firm, number: u64) -> Case {
    let mut case = plain(kind.scenario, firm.clone(), number);
    case.compared = kind.compared;
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(case.seed);
    (kind.make)(&mut case, &mut rng);
    case.expected = match case.outage {
        // No move can be finished while nobody can write that it is.
        Outage::Store(_, to) if to > within(&case.firm) => Expected::TakenBack,
        _ if case.fault.is_some() => Expected::TakenBack,
        _ => Expected::Finished,
    };
    case
}

fn plain(scenario: &'static str, firm: Firm, number: u64) -> Case {
    let name = scenario.bytes().chain(firm.name.bytes());
    let seed = name.fold(number + 1, |seed, byte| {
        seed.wrapping_mul(31).wrapping_add(u64::from(byte))
    });
    Case {
        scenario,
        expected: Expected::Finished,
        compared: false,
        firm,
        fault: None,
        when: When::AtOnce,
        route: None,
        trouble: Trouble::None,
        outage: Outage::None,
        seed,
    }
}

/// Moves with too little traffic to judge, under both rules of the document.
fn few_requests() -> Vec<Case> {
    let firm = khao_rang().with_rate("khao-rang-closed", 0.005);
    let mut finish = firm.clone();
    finish.document.moves[0].on_no_evidence = OnNoEvidence::Finish;
    let finished = (0..3).map(|number| plain("few requests/rule finish", finish.clone(), number));
    let taken_back = (0..3).map(|number| Case {
        expected: Expected::TakenBack,
        ..plain("few requests/rule take-back", firm.clone(), number)
    });
    finished.chain(taken_back).collect()
}

fn fails(rng: &mut Xoshiro256PlusPlus) -> Fault {
    Fault::Fails(rng.random_range(0.3..1.0))
}

fn slow(rng: &mut Xoshiro256PlusPlus) -> Fault {
    Fault::Slow(rng.random_range(3.0..8.0))
}

fn later(case: &Case, rng: &mut Xoshiro256PlusPlus) -> When {
    When::Later(part(case, rng.random_range(0.05..0.45)))
}

fn under_load(rng: &mut Xoshiro256PlusPlus) -> When {
    When::UnderLoad(rng.random_range(0.2..0.6))
}

fn store_outage(case: &Case, rng: &mut Xoshiro256PlusPlus) -> Outage {
    let from = rng.random_range(0.05..0.4);
    Outage::Store(part(case, from), part(case, from + 0.15))
}

fn host_cut(case: &Case, rng: &mut Xoshiro256PlusPlus) -> Outage {
    let from = rng.random_range(0.05..0.4);
    Outage::HostCut(part(case, from), part(case, from + 0.3))
}

fn past_deadline(case: &Case) -> Outage {
    Outage::Store(part(case, 0.4), part(case, 1.05))
}

fn part(case: &Case, part: f64) -> Millis {
    Millis((within(&case.firm).0 as f64 * part) as u64)
}
