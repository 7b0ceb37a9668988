//! Counts and percentiles of a load, as a table or JSON.

use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::time::Duration;

use carawayseam_types::{Millis, Tier, TierName};
use hdrhistogram::Histogram;
use serde::Serialize;

use super::caller::Served;
use super::check::Ending;
use super::workload::Ask;

/// The longest latency that is told apart, in microseconds.
const LONGEST_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Collects ends while a load runs.
#[derive(Debug, Default)]
pub struct Tally {
    tiers: BTreeMap<Tier, TierTally>,
    not_run: HashSet<String>,
    wrong: Vec<String>,
}

#[derive(Debug)]
struct TierTally {
    name: TierName,
    sent: u64,
    in_time: u64,
    late: u64,
    tokens_in_time: u64,
    endings: BTreeMap<Ending, u64>,
    first: Histogram<u64>,
    whole: Histogram<u64>,
}

impl TierTally {
    fn new(name: TierName) -> Self {
        Self {
            name,
            sent: 0,
            in_time: 0,
            late: 0,
            tokens_in_time: 0,
            endings: BTreeMap::new(),
            first: histogram(),
            whole: histogram(),
        }
    }

    fn add(&mut self, served: &Served) {
        self.sent += 1;
        *self.endings.entry(served.ending).or_insert(0) += 1;
        if let Some(first) = served.first {
            record(&mut self.first, first);
        }
        let in_time = served.whole <= served.shot.deadline.to_duration();
        match served.ending {
            Ending::Whole if in_time => {
                self.in_time += 1;
                self.tokens_in_time += u64::from(served.tokens);
            }
            Ending::Whole => self.late += 1,
            _ => return,
        }
        record(&mut self.whole, served.whole);
    }

    fn count(&self, ending: Ending) -> u64 {
        self.endings.get(&ending).copied().unwrap_or(0)
    }

    fn row(&self, duration: Millis) -> TierRow {
        let seconds = duration.as_secs_f64();
        TierRow {
            tier: self.name.clone(),
            sent: self.sent,
            whole_in_time: self.in_time,
            late: self.late,
            not_run: self.count(Ending::NotRun),
            unknown: self.count(Ending::Unknown),
            no_end: self.count(Ending::NoEnd),
            wrong: self.count(Ending::Wrong),
            goodput_requests: self.in_time as f64 / seconds,
            goodput_tokens: self.tokens_in_time as f64 / seconds,
            first_ms: Percentiles::of(&self.first),
            whole_ms: Percentiles::of(&self.whole),
        }
    }
}

pub(super) fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_MICROS, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

pub(super) fn record(histogram: &mut Histogram<u64>, span: Duration) {
    histogram.saturating_record(span.as_micros() as u64);
}

impl Tally {
    /// Counts one request.
    pub fn add(&mut self, served: &Served) {
        let shot = &served.shot;
        let name = shot.tier_name.clone();
        self.tiers
            .entry(shot.tier)
            .or_insert_with(|| TierTally::new(name))
            .add(served);
        let key = format!("{}/{}", shot.organisation, shot.request_id);
        match (&shot.ask, served.ending) {
            (Ask::Call { .. }, Ending::NotRun) => {
                self.not_run.insert(key);
            }
            (_, Ending::Wrong) => self.wrong.push(key),
            _ => {}
        }
    }

    /// Makes the report; `runs` are the services' counts of all runs.
    #[must_use]
    pub fn report(
        &self,
        duration: Millis,
        seed: u64,
        prefill: Prefill,
        runs: &BTreeMap<String, u32>,
    ) -> Report {
        Report {
            seed,
            duration,
            tiers: self.tiers.values().map(|tier| tier.row(duration)).collect(),
            prefill,
            double_runs: runs.values().filter(|runs| **runs > 1).count() as u64,
            false_not_run: self.not_run.iter().filter(|key| runs.contains_key(*key)).count() as u64,
            wrong: self.wrong.clone(),
        }
    }
}

/// What a load came to.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// How long requests were sent, in milliseconds.
    pub duration: Millis,
    /// One row for each tier, highest first.
    pub tiers: Vec<TierRow>,
    /// What the engines prefilled.
    pub prefill: Prefill,
    /// Request ids that plain services ran more than once.
    pub double_runs: u64,
    /// Requests refused as not run that a plain service ran.
    pub false_not_run: u64,
    /// Requests whose answers were wrong, by organisation and id.
    pub wrong: Vec<String>,
}

impl Report {
    /// Whether nothing happened that must never happen.
    #[must_use]
    pub const fn is_sound(&self) -> bool {
        self.double_runs == 0 && self.false_not_run == 0 && self.wrong.is_empty()
    }
}

/// One tier's row.
#[derive(Debug, Clone, Serialize)]
pub struct TierRow {
    /// The tier.
    pub tier: TierName,
    /// Requests sent.
    pub sent: u64,
    /// Whole answers before their deadlines.
    pub whole_in_time: u64,
    /// Whole answers after their deadlines.
    pub late: u64,
    /// Refusals.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Answers that broke off, or hosts that could not be reached.
    pub no_end: u64,
    /// Answers that were not whole or not the request's own.
    pub wrong: u64,
    /// Whole answers in time, a second.
    pub goodput_requests: f64,
    /// Their tokens, a second.
    pub goodput_tokens: f64,
    /// Times to the first token or plain answer.
    pub first_ms: Percentiles,
    /// Times to the whole answer.
    pub whole_ms: Percentiles,
}

/// Percentiles in milliseconds.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Percentiles {
    /// Half are faster.
    pub p50: f64,
    /// 95 in 100 are faster.
    pub p95: f64,
    /// 99 in 100 are faster.
    pub p99: f64,
}

impl Percentiles {
    pub(super) fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
        Self {
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}

/// Prompt tokens that engines prefilled during a load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Prefill {
    /// All of them.
    pub tokens: f64,
    /// Those for requests that did not end whole.
    pub wasted: f64,
    /// Tokens that caches saved.
    pub saved: f64,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<14}{:>7}{:>8}{:>6}{:>8}{:>8}{:>7}{:>6}{:>9}{:>10}{:>10}{:>10}{:>10}{:>10}",
            "tier",
            "sent",
            "in time",
            "late",
            "not run",
            "unknown",
            "no end",
            "wrong",
            "whole/s",
            "tokens/s",
            "first p50",
            "first p99",
            "whole p50",
            "whole p99",
        )?;
        for row in &self.tiers {
            writeln!(
                f,
                "{:<14}{:>7}{:>8}{:>6}{:>8}{:>8}{:>7}{:>6}{:>9.1}{:>10.1}{:>8.1}ms{:>8.1}ms{:>8.1}ms{:>8.1}ms",
                row.tier.as_str(),
                row.sent,
                row.whole_in_time,
                row.late,
                row.not_run,
                row.unknown,
                row.no_end,
                row.wrong,
                row.goodput_requests,
                row.goodput_tokens,
                row.first_ms.p50,
                row.first_ms.p99,
                row.whole_ms.p50,
                row.whole_ms.p99,
            )?;
        }
        let Prefill {
            tokens,
            wasted,
            saved,
        } = self.prefill;
        writeln!(
            f,
            "prefill: {tokens:.0} tokens, {wasted:.0} wasted, {saved:.0} saved by caches"
        )?;
        writeln!(
            f,
            "double runs: {}, false not-run: {}",
            self.double_runs, self.false_not_run
        )?;
        write!(f, "seed {}, {} of sending", self.seed, self.duration)
    }
}
