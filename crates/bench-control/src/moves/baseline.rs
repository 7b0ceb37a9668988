//! What others do: a timer alone, and a canary judge with fixed thresholds.

use carawayseam_rollout::Served;
use carawayseam_types::{Digest, Millis};

use super::case::{Case, Expected};
use super::firm::within;
use super::policy::{End, Outcome, Policy};
use super::world::START;

/// The shares of the new version, one after the other.
const SHARES: [f64; 7] = [0.01, 0.03, 0.09, 0.27, 0.5, 1.0, 1.0];
/// The part of the time allowed in which the shares are gone through.
const PLANNED_PART: f64 = 0.5;
/// How often the canary judge looks.
const LOOK_EVERY: Millis = Millis::from_secs(30);
/// Fewer answers are not judged, but kept for the next look.
const MIN_ANSWERS: u64 = 20;
/// The part of failed or unfinished answers that condemns a canary.
const MAX_BROKEN: f64 = 0.05;
/// A mean time to the first token that condemns a canary, as a factor of the usual one.
const MAX_SLOWER: f64 = 2.0;

/// Whether the new version is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Judging {
    Never,
    FixedThreshold,
}

/// Answers of the new version since the last look.
#[derive(Debug, Clone, Copy, Default)]
struct Seen {
    answers: u64,
    broken: u64,
    first_factor: f64,
}

/// Shares by a timer, with or without a canary judge.
pub(super) struct Baseline<'a> {
    case: &'a Case,
    judging: Judging,
    seen: Seen,
    looked_at: Millis,
    taken_back_at: Option<Millis>,
    finished_at: Option<Millis>,
}

impl<'a> Baseline<'a> {
    pub(super) const fn new(case: &'a Case, judging: Judging) -> Self {
        Self {
            case,
            judging,
            seen: Seen {
                answers: 0,
                broken: 0,
                first_factor: 0.0,
            },
            looked_at: START,
            taken_back_at: None,
            finished_at: None,
        }
    }

    fn share(&self, now: Millis) -> f64 {
        let planned = within(&self.case.firm).0 as f64 * PLANNED_PART;
        let step = now.since(START).0 as f64 / planned * SHARES.len() as f64;
        SHARES.get(step as usize).copied().unwrap_or(1.0)
    }

    fn is_condemned(&self) -> bool {
        let answers = self.seen.answers as f64;
        let broken = self.seen.broken as f64 / answers;
        let whole = (self.seen.answers - self.seen.broken).max(1) as f64;
        let slower = self.seen.first_factor / whole;
        self.seen.answers >= MIN_ANSWERS && (broken > MAX_BROKEN || slower > MAX_SLOWER)
    }
}

impl Policy for Baseline<'_> {
    fn advance(&mut self, now: Millis) {
        let planned = Millis((within(&self.case.firm).0 as f64 * PLANNED_PART) as u64);
        if self.taken_back_at.is_none() && now >= START + planned {
            self.finished_at.get_or_insert(now);
        }
        if self.finished_at.is_some() || now < self.looked_at + LOOK_EVERY {
            return;
        }
        self.looked_at = now;
        if self.judging == Judging::FixedThreshold && self.is_condemned() {
            self.taken_back_at.get_or_insert(now);
        }
        if self.seen.answers >= MIN_ANSWERS {
            self.seen = Seen::default();
        }
    }

    fn pick(&mut self, now: Millis, _host: usize, _route: usize, content: Digest) -> bool {
        let draw = (content.0 as u64 >> 11) as f64 / (1_u64 << 53) as f64;
        self.taken_back_at.is_none() && draw < self.share(now)
    }

    fn ended(&mut self, _now: Millis, end: &End) {
        if !end.new || end.served == Served::Excused {
            return;
        }
        self.seen.answers += 1;
        match (end.served, end.first) {
            (Served::Whole, Some(first)) => {
                let usual = self.case.firm.routes[end.route].first_ms;
                self.seen.first_factor += first.0 as f64 / usual;
            }
            (Served::Whole, None) => {}
            _ => self.seen.broken += 1,
        }
    }

    fn shown_at(&self) -> Option<Millis> {
        self.taken_back_at
    }

    fn is_finished_at(&self, _host: usize) -> bool {
        self.finished_at.is_some()
    }

    fn outcome(&self) -> Option<Outcome> {
        let finished = self.finished_at.map(|at| (Expected::Finished, at));
        let taken_back = self.taken_back_at.map(|at| (Expected::TakenBack, at));
        let outcome = finished.or(taken_back);
        outcome.map(|(became, at)| Outcome { became, at })
    }
}
