//! The evidence that hosts collect about the old and the new version.

use carawayseam_types::{
    BackendName, EnvironmentId, HostId, Incarnation, Millis, RolloutId, RouteName, VersionId,
};
use serde::{Deserialize, Serialize};

use crate::Cause;
use crate::latency::{add_buckets, bucket_of, bucket_of_micros, buckets_since, increment_bucket};

/// The outcome of one attempt, as evidence for or against its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Served {
    /// The response was complete.
    Whole,
    /// The version responded with a failure, or its backend server closed the connection.
    Failed,
    /// The response began but did not complete.
    Unfinished,
    /// The attempt ended for a cause unrelated to the version: poison content,
    /// a lost engine, a disconnected caller or load shedding.
    Excused,
}

/// The end of one attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The route.
    pub route: RouteName,
    /// The version that served.
    pub version: VersionId,
    /// The outcome.
    pub served: Served,
    /// The time to the first token, or to the response of a plain service.
    pub first: Option<Millis>,
    /// The mean gap between tokens, in microseconds; `None` for plain services.
    pub gap_micros: Option<u32>,
}

/// Counts of one version on one route; they never decrease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionCounts {
    /// Attempts dispatched.
    pub dispatched: u64,
    /// Complete responses.
    pub whole: u64,
    /// Failed attempts.
    pub failed: u64,
    /// Responses that began but did not complete.
    pub unfinished: u64,
    /// Attempts that ended for a cause unrelated to the version.
    pub excused: u64,
    /// Dispatches that ended before they were overdue.
    pub prompt: u64,
    /// Dispatches that were in flight for longer than nearly all of the old version's.
    pub overdue: u64,
    /// First-token times by bucket, without trailing empty buckets.
    pub first: Vec<u32>,
    /// Token gaps by bucket, without trailing empty buckets.
    pub gaps: Vec<u32>,
}

/// The counts of the old and the new version on one route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// The route.
    pub route: RouteName,
    /// The old version's counts.
    pub old: VersionCounts,
    /// The new version's counts.
    pub new: VersionCounts,
}

/// One host's counts of one rollout since the start of the host's incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The environment.
    pub environment: EnvironmentId,
    /// The rollout.
    pub move_id: RolloutId,
    /// The model or plain service.
    pub backend: BackendName,
    /// The host.
    pub host: HostId,
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// Increases with each report; older reports are dropped.
    pub seq: u64,
    /// The routes.
    pub routes: Vec<RouteEvidence>,
    /// Whether the host has stopped the new version.
    pub stopped: bool,
    /// The finding that made the host stop it, its own or another host's.
    pub finding: Option<Finding>,
}

/// The way in which a version is worse than its predecessor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// It fails more often.
    Failures,
    /// It leaves more responses incomplete.
    Unfinished,
    /// It is slower, or does not respond at all.
    Slow,
}

/// Clear evidence against a version, in a form that any codec can carry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Finding {
    /// The way in which the version is worse.
    pub fault: Fault,
    /// The route on which it is worse.
    pub route: RouteName,
    /// The host that detected it.
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
    /// Returns the finding behind a cause, or `None` if the cause is not evidence.
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
    /// Returns the number of attempts that count for or against the version.
    #[must_use]
    pub const fn judged(&self) -> u64 {
        self.whole
            .saturating_add(self.failed)
            .saturating_add(self.unfinished)
    }

    /// Returns the number of attempts in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u64 {
        self.dispatched
            .saturating_sub(self.judged())
            .saturating_sub(self.excused)
    }

    /// Counts the end of one attempt.
    pub(crate) fn record(&mut self, observation: &Observation) {
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
            increment_bucket(&mut self.first, bucket_of(first));
        }
        if let Some(gap) = observation.gap_micros {
            increment_bucket(&mut self.gaps, bucket_of_micros(u64::from(gap)));
        }
    }

    /// Returns the increase of the counts since `earlier`.
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

    /// Adds `more` to these counts.
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
    /// Returns zero counts for a route.
    pub(crate) fn none(route: RouteName) -> Self {
        Self {
            route,
            old: VersionCounts::default(),
            new: VersionCounts::default(),
        }
    }
}
