//! Counts of all hosts, merged so that repeated and outdated reports have no effect.

use std::collections::BTreeMap;

use carawayseam_types::{HostId, Incarnation, Millis, RouteName};

use crate::{Evidence, RouteEvidence};

/// Age of a host's last report beyond which the host is assumed to have no requests in flight.
const HOST_IDLE_TIMEOUT: Millis = Millis::from_secs(15);

/// Longest time between two reports of a host for which the added counts are treated as
/// concurrent with those of other hosts.
const MAX_REPORT_GAP: Millis = Millis::from_secs(10);

/// Counts of all hosts for one rollout.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ledger {
    hosts: BTreeMap<HostId, HostCounts>,
    totals: BTreeMap<RouteName, RouteEvidence>,
}

/// Counts that a report adds to earlier reports.
#[derive(Debug, Clone)]
pub(crate) enum Gained {
    /// Counts since the host's last report, which is recent.
    Recent(Vec<RouteEvidence>),
    /// Counts since a last report more than `MAX_REPORT_GAP` ago, or from the host's first report.
    Delayed(Vec<RouteEvidence>),
}

#[derive(Debug, Clone)]
struct HostCounts {
    incarnation: Incarnation,
    seq: u64,
    received_at: Millis,
    routes: BTreeMap<RouteName, RouteEvidence>,
}

impl Ledger {
    /// Merges a report and returns the counts it adds; none if the report is repeated or outdated.
    pub(crate) fn merge(&mut self, now: Millis, report: &Evidence) -> Gained {
        let known = self.hosts.get(&report.host);
        let is_overdue = known.is_none_or(|host| now.since(host.received_at) > MAX_REPORT_GAP);
        let host = self
            .hosts
            .entry(report.host.clone())
            .or_insert_with(|| HostCounts::new(report.incarnation));
        if (report.incarnation, report.seq) <= (host.incarnation, host.seq) {
            return Gained::Recent(Vec::new());
        }
        if report.incarnation > host.incarnation {
            *host = HostCounts::new(report.incarnation);
        }
        host.seq = report.seq;
        host.received_at = now;
        let gained: Vec<RouteEvidence> = report
            .routes
            .iter()
            .map(|route| host.merge_route(route))
            .collect();
        for route in &gained {
            self.add_counts(route);
        }
        if is_overdue {
            Gained::Delayed(gained)
        } else {
            Gained::Recent(gained)
        }
    }

    /// Adds counts to the totals; called directly for this host's own counts.
    pub(crate) fn add_counts(&mut self, gained: &RouteEvidence) {
        let total = self
            .totals
            .entry(gained.route.clone())
            .or_insert_with(|| RouteEvidence::none(gained.route.clone()));
        total.old.add(&gained.old);
        total.new.add(&gained.new);
    }

    /// Returns the time at which a host's last report was received.
    pub(crate) fn received_at(&self, host: &HostId) -> Option<Millis> {
        self.hosts.get(host).map(|host| host.received_at)
    }

    /// Returns the counts of all hosts for each route.
    pub(crate) fn routes(&self) -> impl Iterator<Item = &RouteEvidence> {
        self.totals.values()
    }

    /// Returns the counts of all hosts for one route.
    pub(crate) fn route(&self, route: &RouteName) -> Option<&RouteEvidence> {
        self.totals.get(route)
    }

    /// Returns the number of requests that other live hosts have in flight to the new version.
    pub(crate) fn in_flight(&self, now: Millis, route: &RouteName) -> u64 {
        let live = self
            .hosts
            .values()
            .filter(|host| now.since(host.received_at) <= HOST_IDLE_TIMEOUT);
        live.filter_map(|host| host.routes.get(route))
            .map(|counts| counts.new.in_flight())
            .sum()
    }
}

impl HostCounts {
    const fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            seq: 0,
            received_at: Millis::ZERO,
            routes: BTreeMap::new(),
        }
    }

    fn merge_route(&mut self, reported: &RouteEvidence) -> RouteEvidence {
        let known = self
            .routes
            .entry(reported.route.clone())
            .or_insert_with(|| RouteEvidence::none(reported.route.clone()));
        let gained = RouteEvidence {
            route: reported.route.clone(),
            old: reported.old.since(&known.old),
            new: reported.new.since(&known.new),
        };
        known.old.add(&gained.old);
        known.new.add(&gained.new);
        gained
    }
}
