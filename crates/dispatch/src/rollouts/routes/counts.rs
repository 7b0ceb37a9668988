//! Counts of the responses on each route, as hosts record them and tell each other.

use std::collections::BTreeMap;

use carawayseam_rollout::VersionCounts;
use carawayseam_types::{BackendName, EngineId, HostId, Incarnation, StoreRevision, VersionId};
use compact_str::CompactString;

use crate::catalog::RouteKind;
use crate::pace::PaceCounts;

/// Limit of routes that are judged by themselves; the others are judged together, by kind.
pub(crate) const MAX_ROUTES: usize = 64;
/// Limit of the length of a route's name in evidence; routes with the same beginning are judged together.
const MAX_ROUTE_NAME_BYTES: usize = 64;

/// A route whose responses are judged by themselves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct JudgedRoute {
    /// The kind of its requests.
    pub kind: RouteKind,
    /// The route's name; empty for the routes beyond the limit.
    pub name: CompactString,
}

impl JudgedRoute {
    /// Creates the key of a route's evidence.
    #[must_use]
    pub fn new(name: &str, kind: RouteKind) -> Self {
        let name = &name[..name.floor_char_boundary(MAX_ROUTE_NAME_BYTES)];
        Self {
            kind,
            name: name.into(),
        }
    }

    /// Returns the key under which responses are counted beside the ones of known routes, of which there is a limit.
    pub(super) fn within_limit<V>(&self, known: &BTreeMap<Self, V>) -> Self {
        if known.contains_key(self) || known.len() < MAX_ROUTES {
            self.clone()
        } else {
            Self::new("", self.kind)
        }
    }
}

/// A process of a host.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProcessId {
    /// The host.
    pub host: HostId,
    /// The process; a host that restarts has another one.
    pub incarnation: Incarnation,
}

/// What sent a response: a version of a backend, on one of its servers, for a request of one route.
#[derive(Debug, Clone)]
pub struct ResponseSource {
    /// The backend.
    pub backend: BackendName,
    /// The request's route.
    pub route: JudgedRoute,
    /// The server's version.
    pub version: VersionId,
    /// The server.
    pub engine: EngineId,
}

/// What a response says about its version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseOutcome {
    /// It was complete and in time.
    Good,
    /// It was complete and came far too late.
    Late,
    /// The server failed the request, or did not respond.
    Failed,
    /// The connection was lost.
    Lost,
}

impl ResponseOutcome {
    const fn is_failure(self) -> bool {
        matches!(self, Self::Failed | Self::Lost)
    }
}

/// Counts of one version's responses on one route; they never decrease.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// All responses.
    pub all: u32,
    /// Failures.
    pub failed: u32,
    /// Failures, and responses that came far too late.
    pub bad: u32,
    /// How many were slow.
    pub pace: PaceCounts,
}

impl RouteCounts {
    pub(super) fn response(outcome: ResponseOutcome) -> Self {
        Self {
            all: 1,
            failed: u32::from(outcome.is_failure()),
            bad: u32::from(outcome != ResponseOutcome::Good),
            pace: PaceCounts::default(),
        }
    }

    pub(super) fn add(&mut self, other: Self) {
        self.all = self.all.saturating_add(other.all);
        self.failed = self.failed.saturating_add(other.failed);
        self.bad = self.bad.saturating_add(other.bad);
        self.pace.add(other.pace);
    }

    pub(super) const fn since(self, earlier: Self) -> Self {
        Self {
            all: self.all.saturating_sub(earlier.all),
            failed: self.failed.saturating_sub(earlier.failed),
            bad: self.bad.saturating_sub(earlier.bad),
            pace: self.pace.since(earlier.pace),
        }
    }

    /// Returns whether this is an earlier count of the same process.
    const fn is_earlier_than(self, other: Self) -> bool {
        self.all < other.all || self.pace.all < other.pace.all
    }

    pub(super) const fn halved(self) -> Self {
        Self {
            all: self.all / 2,
            failed: self.failed / 2,
            bad: self.bad / 2,
            pace: self.pace,
        }
    }

    pub(super) fn for_judge(self) -> VersionCounts {
        VersionCounts {
            whole: u64::from(self.all.saturating_sub(self.failed)),
            failed: u64::from(self.failed),
            ..VersionCounts::default()
        }
    }
}

/// Counts of both versions' responses on one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouteReport {
    /// The new version.
    pub new: RouteCounts,
    /// The old versions.
    pub old: RouteCounts,
}

impl RouteReport {
    pub(super) const fn since(self, earlier: Self) -> Self {
        Self {
            new: self.new.since(earlier.new),
            old: self.old.since(earlier.old),
        }
    }

    pub(super) fn add(&mut self, other: Self) {
        self.new.add(other.new);
        self.old.add(other.old);
    }

    /// Returns whether this is an earlier report of the same process.
    pub(super) const fn is_earlier_than(self, other: Self) -> bool {
        self.new.is_earlier_than(other.new) || self.old.is_earlier_than(other.old)
    }
}

/// A process's counts of each route during a rollout, sent by it or, after its end, by its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteUpdate {
    /// The backend.
    pub backend: BackendName,
    /// The order's revision.
    pub revision: StoreRevision,
    /// Whether the sender has found that the new version is worse.
    pub is_worse: bool,
    /// The process that counted.
    pub process: ProcessId,
    /// The process's counts of some or all routes.
    pub routes: Vec<(JudgedRoute, RouteReport)>,
}
