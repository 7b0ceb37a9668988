//! What a run is counted by.

use std::collections::BTreeMap;

use carawayseam_types::{Millis, Tier};
use serde::Serialize;

use crate::workload::Call;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ending {
    /// It has no answer yet.
    Open,
    /// Its whole answer came before its deadline.
    Good,
    /// It was refused, and its caller gave up.
    Refused,
    /// It began, and was given up by the system.
    Abandoned,
    /// Its deadline passed.
    Late,
}

/// How an attempt that spent prefill ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptEnd {
    /// With its whole answer.
    Finished,
    /// With its engine.
    Crashed,
    /// Its policy cancelled it.
    Cancelled,
    /// No token came within a time limit.
    Silent,
    /// Its deadline passed.
    Overdue,
}

/// One call's fate.
#[derive(Debug, Clone)]
pub struct Fate {
    /// How it ended.
    pub ending: Ending,
    /// Refusals that it met.
    pub refusals: u32,
    /// Prefill tokens of its attempts that ended.
    pub prefill: Vec<(AttemptEnd, f64)>,
    /// Dispatches to an engine that may have run it.
    pub dispatches: u32,
}

impl Fate {
    /// A call that is not yet sent.
    pub const OPEN: Self = Self {
        ending: Ending::Open,
        refusals: 0,
        prefill: Vec::new(),
        dispatches: 0,
    };

    /// Prefill tokens of all its attempts.
    #[must_use]
    pub fn prefill_spent(&self) -> f64 {
        self.prefill.iter().map(|(_, tokens)| tokens).sum()
    }

    /// Prefill that was spent in vain, by how its attempt ended. Of a call that
    /// ended well, the costliest attempt is the one that was needed.
    #[must_use]
    pub fn prefill_wasted(&self) -> Vec<(AttemptEnd, f64)> {
        let mut wasted = self.prefill.clone();
        let costliest = |a: &usize, b: &usize| wasted[*a].1.total_cmp(&wasted[*b].1);
        let needed = (0..wasted.len()).max_by(costliest);
        if let Some(at) = needed.filter(|_| self.ending == Ending::Good) {
            wasted.remove(at);
        }
        wasted
    }
}

/// Counts of good calls.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Share {
    /// Calls that ended well.
    pub good: f64,
    /// All calls.
    pub offered: f64,
}

impl Share {
    /// Adds a call of that weight.
    pub fn add(&mut self, fate: &Fate, weight: f64) {
        self.offered += weight;
        if fate.ending == Ending::Good {
            self.good += weight;
        }
    }

    /// Adds another run's.
    pub fn join(&mut self, other: Self) {
        self.good += other.good;
        self.offered += other.offered;
    }

    /// The share in percent; whole when nothing was offered.
    #[must_use]
    pub fn percent(self) -> f64 {
        if self.offered > 0.0 {
            100.0 * self.good / self.offered
        } else {
            100.0
        }
    }
}

/// Messages between entry hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Load announcements sent.
    pub announcements: u64,
    /// Requests handed to an owner.
    pub forwards: u64,
    /// Bytes of both.
    pub bytes: u64,
}

/// The outcome of one run.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Each call with its fate.
    pub calls: Vec<(Call, Fate)>,
    /// Refusals of higher tiers while lower work was kept that could make room, by tier.
    pub order_violations: BTreeMap<Tier, u32>,
    /// The first such refusals, for a finding.
    pub violation_notes: Vec<String>,
    /// Engine crashes under poison.
    pub crashes: u32,
    /// Unrepeatable calls that were dispatched more than once.
    pub double_runs: u32,
    /// Answers whose parts do not join.
    pub broken_answers: u32,
    /// Messages between entry hosts.
    pub traffic: Traffic,
    /// When the run ended.
    pub ended: Millis,
}

impl Outcome {
    /// Counts the calls that `counts`, each weighted by `weight`.
    pub fn share(&self, counts: impl Fn(&Call) -> bool, weight: impl Fn(&Call) -> f64) -> Share {
        let mut share = Share::default();
        for (call, fate) in self.calls.iter().filter(|(call, _)| counts(call)) {
            share.add(fate, weight(call));
        }
        share
    }

    /// Prefill of the calls that `counts`.
    pub fn prefill(&self, counts: impl Fn(&Call) -> bool) -> Prefill {
        let mut prefill = Prefill::default();
        for (_, fate) in self.calls.iter().filter(|(call, _)| counts(call)) {
            prefill.spent += fate.prefill_spent();
            for (end, tokens) in fate.prefill_wasted() {
                *prefill.wasted.entry(end).or_default() += tokens;
            }
        }
        prefill
    }

    /// Refusals of the calls that `counts`.
    pub fn refusals(&self, counts: impl Fn(&Call) -> bool) -> u32 {
        let counted = self.calls.iter().filter(|(call, _)| counts(call));
        counted.map(|(_, fate)| fate.refusals).sum()
    }
}

/// Prefill tokens.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Prefill {
    /// All of them.
    pub spent: f64,
    /// Those that were wasted, by how the attempt ended.
    pub wasted: BTreeMap<AttemptEnd, f64>,
}

impl Prefill {
    /// Adds another run's.
    pub fn add(&mut self, other: &Self) {
        self.spent += other.spent;
        for (end, tokens) in &other.wasted {
            *self.wasted.entry(*end).or_default() += tokens;
        }
    }

    /// The wasted part in percent, by how the attempt ended.
    #[must_use]
    pub fn wasted_percent(&self) -> BTreeMap<AttemptEnd, f64> {
        let percent = |tokens: &f64| 100.0 * tokens / self.spent.max(1.0);
        let parts = self.wasted.iter().map(|(end, tokens)| (*end, percent(tokens)));
        parts.collect()
    }
}
