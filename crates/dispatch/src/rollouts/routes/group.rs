//! Groups of responses that are judged together, and the evidence of each.

use carawayseam_rollout::{Fault, RouteJudge, VersionCounts};
use compact_str::CompactString;

use super::counts::{JudgedRoute, RouteCounts, RouteReport};
use crate::catalog::RouteKind;
use crate::pace::{PaceCounts, PaceEvidence, PaceReport};

/// Suspicion of failures from which the new version may not get all traffic.
const MAX_COMPLETION_SUSPICION: f64 = 3.5;

/// Responses that are judged together.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Group {
    All,
    Kind(RouteKind),
    Route(JudgedRoute),
}

/// Where and in which way the new version is worse.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display)]
pub enum RouteFinding {
    /// It fails more often on a route.
    #[display("more failures on route {_0}")]
    RouteFailures(CompactString),
    /// It is slower on a route.
    #[display("slower on route {_0}")]
    RouteSlow(CompactString),
    /// It fails more often on all routes, or all of one kind.
    #[display("more failures on several routes")]
    Failures,
    /// It is slower on all routes, or all of one kind.
    #[display("slower on several routes")]
    Slow,
    /// A peer found it.
    #[display("found by a peer")]
    Peer,
}

impl RouteFinding {
    pub(super) fn new(group: Group, fault: Fault) -> Self {
        match (group, fault) {
            (Group::Route(route), Fault::Slow) => Self::RouteSlow(route.name),
            (Group::Route(route), Fault::Failures | Fault::Unfinished) => Self::RouteFailures(route.name),
            (Group::All | Group::Kind(_), Fault::Slow) => Self::Slow,
            (Group::All | Group::Kind(_), Fault::Failures | Fault::Unfinished) => Self::Failures,
        }
    }
}

/// Counts of the old version, of which each response has a weight from 0 to 1.
///
/// The new version's share differs between routes. In a group of several routes, the old version's responses are
/// weighted by it, so that both versions are compared on the same mix of routes.
#[derive(Debug, Default)]
struct WeightedCounts {
    added: [f64; 6],
    taken: RouteCounts,
}

impl WeightedCounts {
    /// Adds counts, and returns by how much the weighted counts have grown, in whole responses.
    fn add(&mut self, counts: RouteCounts, weight: f64) -> RouteCounts {
        let RouteCounts {
            all,
            failed,
            bad,
            pace,
        } = counts;
        let fields = [all, failed, bad, pace.all, pace.slow, pace.very_slow];
        for (sum, count) in self.added.iter_mut().zip(fields) {
            *sum += weight * f64::from(count);
        }
        let [all, failed, bad, timed, slow, very_slow] = self.added.map(|sum| sum as u32);
        let pace = PaceCounts {
            all: timed,
            slow,
            very_slow,
        };
        let whole = RouteCounts {
            all,
            failed,
            bad,
            pace,
        };
        let gained = whole.since(self.taken);
        self.taken = whole;
        gained
    }
}

/// The evidence of one group.
#[derive(Debug, Default)]
pub(super) struct GroupEvidence {
    failures: RouteJudge,
    pace: PaceEvidence,
    old: WeightedCounts,
}

impl GroupEvidence {
    /// Adds responses of the old version from before the rollout.
    pub(super) fn add_to_baseline(&mut self, old: RouteCounts) {
        self.failures.add_to_baseline(&old.for_judge());
    }

    /// Adds responses, of which each of the old version has this weight.
    pub(super) fn add(&mut self, gained: RouteReport, old_weight: f64) {
        let gained = RouteReport {
            old: self.old.add(gained.old, old_weight),
            ..gained
        };
        let none = VersionCounts::default();
        // A report may contain all that a peer has counted so far, of which the old version's responses are
        // the baseline of the new one's.
        self.failures.add_counts(&gained.old.for_judge(), &none);
        self.failures.add_counts(&none, &gained.new.for_judge());
        let report = PaceReport {
            new: gained.new.pace,
            old: gained.old.pace,
        };
        self.pace.add(report, PaceReport::default());
    }

    /// Returns in which way the new version is clearly worse.
    pub(super) fn clear_fault(&self) -> Option<Fault> {
        let slowness = self.pace.shows_regression().then_some(Fault::Slow);
        self.failures.clear_fault().or(slowness)
    }

    /// Returns the share of bad responses of the old version, on the mix of routes that the new version has.
    pub(super) fn old_bad_share(&self) -> f64 {
        let old = self.old.taken;
        f64::from(old.bad) / f64::from(old.all.max(1))
    }

    pub(super) fn allows_completion(&self) -> bool {
        self.failures.suspicion() < MAX_COMPLETION_SUSPICION && self.pace.allows_completion()
    }
}
