//! Turns what became of each move into rows.

use carawayseam_types::Millis;

use super::PolicyName;
use super::case::{Case, Expected, Outage};
use super::firm::within;
use super::policy::Tally;
use super::world::START;
use crate::report::{Bound, Row};

const MAX_EXPOSED_PERCENT: f64 = 1.0;
const MAX_AFTER_SHOWN_SECS: f64 = 3.0;
const ALL_PERCENT: f64 = 100.0;
/// How soon after an outage the outcome has to be followed by all hosts.
const AFTER_OUTAGE: Millis = Millis::from_secs(10);

/// What became of one move under one policy.
#[derive(Debug, Clone, Copy)]
pub(super) struct Tried {
    pub number: usize,
    pub policy: PolicyName,
    pub tally: Tally,
}

/// The moves of one scenario under one policy.
struct Group<'a> {
    scenario: &'a str,
    policy: PolicyName,
    moves: Vec<(&'a Case, Tally)>,
}

/// The rows of all scenarios.
pub(super) fn rows(cases: &[Case], tried: &[Tried]) -> Vec<Row> {
    let mut scenarios: Vec<&str> = cases.iter().map(|case| case.scenario).collect();
    scenarios.dedup();
    let mut rows = Vec::new();
    for scenario in scenarios {
        for policy in [
            PolicyName::Project,
            PolicyName::FixedThreshold,
            PolicyName::TimerOnly,
        ] {
            let moves = tried.iter().filter(|tried| tried.policy == policy);
            let moves = moves.map(|tried| (&cases[tried.number], tried.tally));
            let group = Group {
                scenario,
                policy,
                moves: moves.filter(|(case, _)| case.scenario == scenario).collect(),
            };
            rows.extend(group.rows());
        }
    }
    rows
}

impl Group<'_> {
    fn rows(&self) -> Vec<Row> {
        let Some((first, _)) = self.moves.first() else {
            return Vec::new();
        };
        let count = self.moves.len() as f64;
        let mut rows = vec![self.row("moves", count, "", Bound::Unbounded)];
        match first.expected {
            Expected::Finished => {
                rows.push(self.row(
                    "finished in time",
                    self.percent_as_expected(),
                    "%",
                    Bound::AtLeast(ALL_PERCENT),
                ));
                rows.push(self.row(
                    "slowest, of the time allowed",
                    self.slowest(),
                    "%",
                    Bound::Unbounded,
                ));
            }
            Expected::TakenBack => {
                rows.push(self.row(
                    "taken back in time",
                    self.percent_as_expected(),
                    "%",
                    Bound::AtLeast(ALL_PERCENT),
                ));
            }
        }
        if self.moves.iter().any(|(case, _)| case.fault.is_some()) {
            let exposed = Bound::AtMost(MAX_EXPOSED_PERCENT);
            rows.push(self.row("most exposed, of the window", self.most_exposed(), "%", exposed));
            let unrepeatable = self.moves.iter().map(|(_, tally)| tally.exposed_unrepeatable);
            let most = unrepeatable.max().unwrap_or_default() as f64;
            rows.push(self.row("most exposed, unrepeatable", most, "requests", Bound::Unbounded));
            let late = Bound::AtMost(MAX_AFTER_SHOWN_SECS);
            rows.push(self.row("latest after evidence", self.latest_after_shown(), "s", late));
        }
        let after_deadline: u64 = self.moves.iter().map(|(_, tally)| tally.after_deadline).sum();
        rows.push(self.row(
            "after the deadline",
            after_deadline as f64,
            "requests",
            Bound::AtMost(0.0),
        ));
        rows
    }

    fn row(&self, figure: &'static str, value: f64, unit: &'static str, bound: Bound) -> Row {
        let judged = self.policy == PolicyName::Project;
        Row {
            scenario: format!("moves/{}", self.scenario),
            policy: self.policy.name(),
            figure,
            value,
            unit,
            bound: if judged { bound } else { Bound::Unbounded },
        }
    }

    fn percent_as_expected(&self) -> f64 {
        let as_expected = self
            .moves
            .iter()
            .filter(|(case, tally)| is_as_expected(case, tally));
        as_expected.count() as f64 * ALL_PERCENT / self.moves.len() as f64
    }

    fn slowest(&self) -> f64 {
        let parts = self.moves.iter().filter_map(|(case, tally)| {
            let outcome = tally.outcome?;
            let part = outcome.at.since(START).0 as f64 / within(&case.firm).0 as f64;
            Some(part * ALL_PERCENT)
        });
        parts.fold(0.0, f64::max)
    }

    fn most_exposed(&self) -> f64 {
        let parts = self
            .moves
            .iter()
            .map(|(case, tally)| tally.exposed as f64 * ALL_PERCENT / case.firm.window());
        parts.fold(0.0, f64::max)
    }

    fn latest_after_shown(&self) -> f64 {
        let latest = self.moves.iter().map(|(_, tally)| tally.latest_after_shown);
        latest.max().unwrap_or(Millis::ZERO).as_secs_f64()
    }
}

fn is_as_expected(case: &Case, tally: &Tally) -> bool {
    let deadline = START + within(&case.firm);
    // A record that nobody can write is written after the outage; hosts need none to follow the deadline.
    let last = match case.outage {
        Outage::Store(_, to) => deadline.max(START + to + AFTER_OUTAGE),
        _ => deadline,
    };
    let outcome = tally.outcome;
    outcome.is_some_and(|outcome| outcome.became == case.expected && outcome.at <= last)
}
