//! What hosts see of the old and the new version.

use carawayseam_types::{
    BackendName, EnvironmentId, HostId, Incarnation, Millis, RolloutId, RouteName, VersionId,
};
use serde::{Deserialize, Serialize};

use crate::Cause;
use crate::latency::{add_buckets, bucket_of, bucket_of_micros, buckets_since, count_in};

/// What became of one attempt, as far as it speaks for or against its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Served {
    /// The whole answer came.
    Whole,
    /// The version answered with a failure, or its server broke the connection.
    Failed,
    /// The answer began and did not end.
    Unfinished,
    /// The attempt ended for a cause that says nothing of the version:
    /// poison content, an engine lost, a caller gone, shedding.
    Excused,
}

/// One attempt's end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The route.
    pub route: RouteName,
    /// The version that served.
    pub version: VersionId,
    /// What became of it.
    pub served: Served,
    /// The time to the first token, or to the answer of a plain service.
    pub first: Option<Millis>,
    /// The mean gap between tokens, in microseconds; none for plain services.
    pub gap_micros: Option<u32>,
}

/// Counts of one version on one route; they only grow.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Attempts dispatched.
    pub dispatched: u64,
    /// Whole answers.
    pub whole: u64,
    /// Failures.
    pub failed: u64,
    /// Answers begun and not ended.
    pub unfinished: u64,
    /// Ends that say nothing of the version.
    pub excused: u64,
    /// Dispatches that ended before they were overdue.
    pub prompt: u64,
    /// Dispatches that were out for longer than nearly all of the old version's.
    pub overdue: u64,
    /// First-token times by bucket, empty buckets at the end left out.
    pub first: Vec<u32>,
    /// Token gaps by bucket, empty buckets at the end left out.
    pub gaps: Vec<u32>,
}

/// Old and new version beside each other on one route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// The route.
    pub route: RouteName,
    /// The old version's counts.
    pub old: VersionCounts,
    /// The new version's counts.
    pub new: VersionCounts,
}

/// One host's counts of one move, over the host's whole incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The environment.
    pub environment: EnvironmentId,
    /// The move.
    pub move_id: RolloutId,
    /// The model or plain service.
    pub backend: BackendName,
    /// The host.
    pub host: HostId,
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// Grows with each report; an older one is dropped.
    pub seq: u64,
    /// The routes.
    pub routes: Vec<RouteEvidence>,
    /// Whether the host has stopped the new version.
    pub stopped: bool,
    /// What made the host stop it, seen by itself or by another.
    pub finding: Option<Finding>,
}

/// In which way a version is worse than the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// It fails more often.
    Failures,
    /// It leaves more answers unfinished.
    Unfinished,
    /// It is slower, or does not answer at all.
    Slow,
}

/// Clear evidence against a version, in a form that any codec can carry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Finding {
    /// In which way the version is worse.
    pub fault: Fault,
    /// On which route.
    pub route: RouteName,
    /// The host that saw it.
    pub host: HostId,
}

impl From<Finding> for Cause {
    fn from(finding: Finding) -> Self {
        let Finding { fault, route, host } = finding;
        match fault {
            Fault::Failures => Self::MoreFailures { route, host },
            Fault::Unfinished => Self::Unfinished { route, host },
            Fault::Slow => Self::Slower { route, host },
        }
    }
}

impl Finding {
    /// What a cause says was found; none for causes that are no evidence.
    pub(crate) fn of(cause: &Cause) -> Option<Self> {
        let (fault, route, host) = match cause {
            Cause::MoreFailures { route, host } => (Fault::Failures, route, host),
            Cause::Unfinished { route, host } => (Fault::Unfinished, route, host),
            Cause::Slower { route, host } => (Fault::Slow, route, host),
            _ => return None,
        };
        Some(Self {
            fault,
            route: route.clone(),
            host: host.clone(),
        })
    }
}

impl VersionCounts {
    /// Attempts that ended in a way that speaks for or against the version.
    #[must_use]
    pub const fn judged(&self) -> u64 {
        self.whole
            .saturating_add(self.failed)
            .saturating_add(self.unfinished)
    }

    /// Attempts that have not come back.
    #[must_use]
    pub const fn in_flight(&self) -> u64 {
        self.dispatched
            .saturating_sub(self.judged())
            .saturating_sub(self.excused)
    }

    /// Counts one attempt's end.
    pub(crate) fn note(&mut self, observation: &Observation) {
        match observation.served {
            Served::Whole => self.whole += 1,
            Served::Failed => self.failed += 1,
            Served::Unfinished => self.unfinished += 1,
            Served::Excused => {
                self.excused += 1;
                return;
            }
        }
        if let Some(first) = observation.first {
            count_in(&mut self.first, bucket_of(first));
        }
        if let Some(gap) = observation.gap_micros {
            count_in(&mut self.gaps, bucket_of_micros(u64::from(gap)));
        }
    }

    /// What was counted since `earlier`.
    pub(crate) fn since(&self, earlier: &Self) -> Self {
        Self {
            dispatched: self.dispatched.saturating_sub(earlier.dispatched),
            whole: self.whole.saturating_sub(earlier.whole),
            failed: self.failed.saturating_sub(earlier.failed),
            unfinished: self.unfinished.saturating_sub(earlier.unfinished),
            excused: self.excused.saturating_sub(earlier.excused),
            prompt: self.prompt.saturating_sub(earlier.prompt),
            overdue: self.overdue.saturating_sub(earlier.overdue),
            first: buckets_since(&self.first, &earlier.first),
            gaps: buckets_since(&self.gaps, &earlier.gaps),
        }
    }

    /// Adds other counts to these.
    pub(crate) fn add(&mut self, more: &Self) {
        self.dispatched = self.dispatched.saturating_add(more.dispatched);
        self.whole = self.whole.saturating_add(more.whole);
        self.failed = self.failed.saturating_add(more.failed);
        self.unfinished = self.unfinished.saturating_add(more.unfinished);
        self.excused = self.excused.saturating_add(more.excused);
        self.prompt = self.prompt.saturating_add(more.prompt);
        self.overdue = self.overdue.saturating_add(more.overdue);
        add_buckets(&mut self.first, &more.first);
        add_buckets(&mut self.gaps, &more.gaps);
    }
}

impl RouteEvidence {
    /// No counts yet.
    pub(crate) fn none(route: RouteName) -> Self {
        Self {
            route,
            old: VersionCounts::default(),
            new: VersionCounts::default(),
        }
    }
}
