//! The evidence on each route during a rollout.
//!
//! A version may fail or be slow on one route or for one kind of request only. Its responses are therefore
//! judged by route, by kind and all together, so that no group's failures are diluted by the others.

mod counts;
mod group;
mod history;

use std::collections::{BTreeMap, HashMap};

use carawayseam_types::{EngineId, Millis};

use crate::pace::PaceRating;
use crate::rotation::Rotation;
use group::{Group, GroupEvidence};

pub(crate) use counts::MAX_ROUTES;
pub use counts::{
    JudgedRoute, ProcessId, ResponseOutcome, ResponseSource, RouteCounts, RouteReport, RouteUpdate,
};
pub use group::RouteFinding;
pub(super) use history::RouteHistory;

/// Lost responses of one server within this time of each other count as one failure: a crash loses them all.
const SAME_LOSS_WINDOW: Millis = Millis(1_000);
/// Routes whose counts are in one announcement of a process.
const MAX_ANNOUNCED_ROUTES: usize = 16;
/// Processes that have ended whose counts are in one announcement.
const MAX_ENDED_PROCESSES: usize = 2;
/// Share of a route's requests that the new version gets at most.
const MAX_CANARY_SHARE: f64 = 0.3;
/// Bounds of the new version's share of a route, as multiples of its mean share.
const MIN_RELATIVE_SHARE: f64 = 0.5;
const MAX_RELATIVE_SHARE: f64 = 10.0;
/// Responses of all routes from which the shares of the routes differ.
const MIN_SHARE_RESPONSES: u64 = 40;

/// The counts of one process.
type RouteReports = Vec<(JudgedRoute, RouteReport)>;

/// The evidence of all hosts during one rollout.
#[derive(Debug, Default)]
pub(super) struct RouteEvidence {
    local: BTreeMap<JudgedRoute, RouteReport>,
    /// The last report of each process of each peer; a host that restarts counts anew.
    peers: BTreeMap<ProcessId, BTreeMap<JudgedRoute, RouteReport>>,
    /// The responses of each route, of both versions at all hosts, and those of this host from before the rollout.
    mix: BTreeMap<JudgedRoute, u64>,
    /// The responses of both versions at all hosts.
    responses: u64,
    groups: BTreeMap<Group, GroupEvidence>,
    /// When each server's last response was lost.
    losses: HashMap<EngineId, Millis>,
    announced: Rotation,
    announced_ended: Rotation,
    finding: Option<RouteFinding>,
}

impl RouteEvidence {
    /// Starts with the old version's responses from before the rollout.
    pub(super) fn new(history: Option<&RouteHistory>) -> Self {
        let mut evidence = Self::default();
        for (route, counts) in history.into_iter().flat_map(RouteHistory::iter) {
            evidence.mix.insert(route.clone(), u64::from(counts.all));
            let group = evidence.groups.entry(Group::Route(route.clone())).or_default();
            group.add_to_baseline(counts);
        }
        evidence
    }

    /// Records a response at this host.
    pub(super) fn record_response(
        &mut self,
        now: Millis,
        source: &ResponseSource,
        outcome: ResponseOutcome,
        is_new: bool,
    ) {
        if outcome == ResponseOutcome::Lost && self.is_same_loss(now, &source.engine) {
            return;
        }
        self.record_local(&source.route, RouteCounts::response(outcome), is_new);
    }

    /// Records how slow a response at this host was.
    pub(super) fn record_pace(&mut self, source: &ResponseSource, rating: PaceRating, is_new: bool) {
        let mut counts = RouteCounts::default();
        counts.pace.record(rating);
        self.record_local(&source.route, counts, is_new);
    }

    /// Records the counts of a peer's process.
    pub(super) fn record_peer(&mut self, update: &RouteUpdate) {
        if update.is_worse {
            self.finding.get_or_insert(RouteFinding::Peer);
        }
        for (route, report) in &update.routes {
            let peer = self.peers.entry(update.process.clone()).or_default();
            let earlier = peer.get(route).copied().unwrap_or_default();
            if report.is_earlier_than(earlier) {
                continue;
            }
            peer.insert(route.clone(), *report);
            self.add(route, report.since(earlier));
        }
    }

    /// Returns this process's counts; routes that do not fit one announcement are in later ones.
    pub(super) fn local(&mut self) -> RouteReports {
        let reports = reports(&self.local);
        self.announced.take(&reports, MAX_ANNOUNCED_ROUTES)
    }

    /// Returns the last counts of some processes that have ended; the others are returned by later calls.
    pub(super) fn ended(
        &mut self,
        is_running: impl Fn(&ProcessId) -> bool,
    ) -> Vec<(ProcessId, RouteReports)> {
        let ended = self.peers.iter().filter(|(process, _)| !is_running(process));
        let ended: Vec<_> = ended
            .map(|(process, routes)| (process.clone(), reports(routes)))
            .collect();
        self.announced_ended.take(&ended, MAX_ENDED_PROCESSES)
    }

    /// Returns in which way the new version is or was worse.
    pub(super) const fn finding(&self) -> Option<&RouteFinding> {
        self.finding.as_ref()
    }

    /// Returns the number of responses of the new version at all hosts, also of processes that have ended.
    pub(super) fn new_responses(&self) -> u32 {
        let peers = self.peers.values().flat_map(BTreeMap::values);
        let reports = self.local.values().chain(peers);
        reports.fold(0, |sum, report| sum.saturating_add(report.new.all))
    }

    /// Returns whether the new version may get all traffic.
    pub(super) fn allows_completion(&self) -> bool {
        self.finding.is_none() && self.groups.values().all(GroupEvidence::allows_completion)
    }

    /// Returns the number of responses of both versions at all hosts.
    pub(super) const fn responses(&self) -> u64 {
        self.responses
    }

    /// Returns the share of bad responses of the old version, on the mix of routes that the new version has.
    pub(super) fn old_bad_share(&self) -> f64 {
        self.groups
            .get(&Group::All)
            .map_or(0.0, GroupEvidence::old_bad_share)
    }

    /// Returns the share of a route's requests that the new version gets, for a mean share of all requests.
    pub(super) fn canary_share(&self, route: &JudgedRoute, mean_share: f64) -> f64 {
        let route = route.within_limit(&self.mix);
        let responses = self.mix.get(&route).copied().unwrap_or(0);
        (mean_share * self.relative_share(responses)).min(MAX_CANARY_SHARE)
    }

    /// Returns the new version's share of a route with this many responses, as a multiple of its mean share.
    ///
    /// A rare route has a larger share, so that each route yields about as many responses.
    fn relative_share(&self, responses: u64) -> f64 {
        let all: u64 = self.mix.values().sum();
        if all < MIN_SHARE_RESPONSES {
            return 1.0;
        }
        let even = all as f64 / self.mix.len() as f64;
        (even / responses.max(1) as f64).clamp(MIN_RELATIVE_SHARE, MAX_RELATIVE_SHARE)
    }

    /// Returns the new version's share of a route with this many responses, as a part of its largest share of any route.
    fn share_weight(&self, responses: u64) -> f64 {
        let rarest = self.mix.values().copied().min().unwrap_or(responses);
        self.relative_share(responses) / self.relative_share(rarest)
    }

    fn is_same_loss(&mut self, now: Millis, engine: &EngineId) -> bool {
        self.losses
            .retain(|_, lost_at| now.since(*lost_at) <= SAME_LOSS_WINDOW);
        self.losses.insert(engine.clone(), now).is_some()
    }

    fn record_local(&mut self, route: &JudgedRoute, counts: RouteCounts, is_new: bool) {
        let mut gained = RouteReport::default();
        let side = if is_new { &mut gained.new } else { &mut gained.old };
        *side = counts;
        let route = route.within_limit(&self.mix);
        self.local.entry(route.clone()).or_default().add(gained);
        self.add(&route, gained);
    }

    fn add(&mut self, route: &JudgedRoute, gained: RouteReport) {
        let route = route.within_limit(&self.mix);
        let gained_responses = u64::from(gained.new.all) + u64::from(gained.old.all);
        self.responses += gained_responses;
        let of_route = self.mix.entry(route.clone()).or_default();
        *of_route += gained_responses;
        let of_route = *of_route;
        let weight = self.share_weight(of_route);
        let kind = Group::Kind(route.kind);
        // The narrowest group comes first, as the finding.
        for (group, old_weight) in [(Group::Route(route), 1.0), (kind, weight), (Group::All, weight)] {
            let evidence = self.groups.entry(group.clone()).or_default();
            evidence.add(gained, old_weight);
            if self.finding.is_none() {
                let fault = evidence.clear_fault();
                self.finding = fault.map(|fault| RouteFinding::new(group, fault));
            }
        }
    }
}

fn reports(routes: &BTreeMap<JudgedRoute, RouteReport>) -> RouteReports {
    routes
        .iter()
        .map(|(route, report)| (route.clone(), *report))
        .collect()
}
