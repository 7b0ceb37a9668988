//! The state of one rollout at one entry host.

use std::collections::BTreeMap;

use carawayseam_config::Document;
use carawayseam_types::{HostId, Incarnation, Millis, Permille, RouteName, VersionId};

use crate::exposure::{RouteView, fraction, within_counts};
use crate::judge::Judge;
use crate::ledger::Ledger;
use crate::outstanding::Outstanding;
use crate::{
    Cause, Evidence, Finding, Observation, Phase, Pick, RolloutRecord, RouteEvidence, Served, VersionCounts,
};

/// From this score on, a host reduces the new version's traffic for `CAUTION_DURATION`.
const MIN_CAUTION_SCORE: f64 = 3.5;
/// From this score on, it does so regardless of `CAUTION_PERIOD`.
const MIN_SEVERE_SCORE: f64 = 8.0;
/// The largest fraction of traffic that the new version gets during that time.
const MAX_CAUTIOUS_FRACTION: f64 = 0.25;
const CAUTION_DURATION: Millis = Millis::from_secs(10);
/// The shortest time between the starts of two reductions.
///
/// More frequent reductions could hide a fault that occurs only under load for long.
const CAUTION_PERIOD: Millis = Millis::from_secs(60);

/// The version that serves at this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Serving {
    /// The old version alone, with the cause.
    Old(Cause),
    /// The new version alone, because the rollout is finished.
    New(Cause),
    /// Both versions, split by the rollout's share.
    Split,
}

/// One of the two versions of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Old,
    New,
}

/// A rollout's record and this host's evidence about it.
#[derive(Debug)]
pub(crate) struct RolloutState {
    record: RolloutRecord,
    own: BTreeMap<RouteName, OwnRoute>,
    ledger: Ledger,
    judge: Judge,
    stopped: Option<Cause>,
    expired: bool,
    cautious_until: Millis,
    next_caution_at: Millis,
}

#[derive(Debug)]
struct OwnRoute {
    counts: RouteEvidence,
    old: Outstanding,
    new: Outstanding,
}

impl OwnRoute {
    fn new(route: &RouteName) -> Self {
        Self {
            counts: RouteEvidence::none(route.clone()),
            old: Outstanding::default(),
            new: Outstanding::default(),
        }
    }

    const fn side(&mut self, side: Side) -> (&mut VersionCounts, &mut Outstanding) {
        match side {
            Side::Old => (&mut self.counts.old, &mut self.old),
            Side::New => (&mut self.counts.new, &mut self.new),
        }
    }
}

impl RolloutState {
    pub(crate) fn new(record: RolloutRecord) -> Self {
        let mut state = Self {
            record,
            own: BTreeMap::new(),
            ledger: Ledger::default(),
            judge: Judge::default(),
            stopped: None,
            expired: false,
            cautious_until: Millis::ZERO,
            next_caution_at: Millis::ZERO,
        };
        state.judge.set_share(state.record.share);
        state
    }

    pub(crate) const fn record(&self) -> &RolloutRecord {
        &self.record
    }

    pub(crate) const fn stopped(&self) -> Option<&Cause> {
        self.stopped.as_ref()
    }

    pub(crate) const fn judge(&self) -> &Judge {
        &self.judge
    }

    pub(crate) fn totals(&self) -> Vec<RouteEvidence> {
        self.ledger.routes().cloned().collect()
    }

    /// Replaces the record by a later one of the same rollout.
    pub(crate) fn update_record(&mut self, record: RolloutRecord) {
        self.judge.set_share(record.share);
        self.record = record;
    }

    /// Stops the new version at this host; returns false if it was stopped already.
    pub(crate) fn stop(&mut self, cause: Cause) -> bool {
        let first = self.stopped.is_none();
        self.stopped.get_or_insert(cause);
        first
    }

    /// Applies the deadline and counts overdue dispatches.
    ///
    /// The rollout stays expired even if the clock steps back.
    pub(crate) fn advance_time(&mut self, now: Millis) {
        self.expired |= now >= self.record.deadline;
        self.count_overdue(now);
    }

    /// Reduces the new version's traffic for a while when its score is high.
    ///
    /// The old version then serves at the same time, which separates a faulty
    /// version from a problem that affects both, and few requests are at risk.
    fn update_caution(&mut self, now: Millis) {
        let score = self.judge.max_score();
        let is_first = now >= self.next_caution_at && score >= MIN_CAUTION_SCORE;
        if is_first || score >= MIN_SEVERE_SCORE {
            self.cautious_until = now + CAUTION_DURATION;
            self.next_caution_at = now + CAUTION_PERIOD;
        }
    }

    /// Returns the version that serves.
    pub(crate) fn serving(&self) -> Serving {
        match self.record.phase {
            Phase::Finished => Serving::New(self.record.cause.clone()),
            Phase::RolledBack => Serving::Old(self.record.cause.clone()),
            _ => match &self.stopped {
                Some(cause) => Serving::Old(cause.clone()),
                None if self.expired => Serving::Old(Cause::Deadline),
                None => Serving::Split,
            },
        }
    }

    /// Picks a version by the rollout's share and counts the dispatch.
    pub(crate) fn pick(&mut self, now: Millis, pick: &Pick<'_>, document: &Document, draw: f64) -> VersionId {
        let side = if draw < self.fraction(now, pick, document) && self.is_within_counts(now, pick.route) {
            Side::New
        } else {
            Side::Old
        };
        self.count_dispatch(now, pick.route, side);
        self.version(side)
    }

    /// Picks the old version and counts the dispatch.
    pub(crate) fn dispatch_old(&mut self, now: Millis, route: &RouteName) -> VersionId {
        self.count_dispatch(now, route, Side::Old);
        self.version(Side::Old)
    }

    /// Counts a further dispatch of a request whose version was picked before.
    pub(crate) fn dispatch(&mut self, now: Millis, route: &RouteName, version: &VersionId) {
        if let Some(side) = self.side_of(version) {
            self.count_dispatch(now, route, side);
        }
    }

    fn side_of(&self, version: &VersionId) -> Option<Side> {
        match version {
            version if *version == self.record.spec.from => Some(Side::Old),
            version if *version == self.record.spec.to => Some(Side::New),
            _ => None,
        }
    }

    /// Records the end of an attempt.
    pub(crate) fn observe(&mut self, now: Millis, observation: &Observation) {
        let Some(side) = self.side_of(&observation.version) else {
            return;
        };
        let response_time = match observation.gap_micros {
            None => observation.first,
            Some(_) => None,
        };
        let excused = observation.served == Served::Excused;
        let mut gained = VersionCounts::default();
        gained.record(observation);
        let own = self.own_route(&observation.route);
        let (counts, outstanding) = own.side(side);
        if outstanding.end(now, response_time, excused) {
            gained.prompt = 1;
        }
        counts.add(&gained);
        self.count(&observation.route, side, gained);
        self.update_caution(now);
    }

    /// Records the counts that another host reported.
    pub(crate) fn handle_evidence(&mut self, now: Millis, report: &Evidence) {
        self.judge.add_gained(&self.ledger.merge(now, report));
        self.update_caution(now);
    }

    /// Returns clear evidence against the new version, unless it is already stopped.
    pub(crate) fn new_finding(&mut self, host: &HostId) -> Option<Cause> {
        if self.stopped.is_some() || self.record.phase.is_final() {
            return None;
        }
        let clear = self.judge.clear_suspicion()?;
        Some(clear.into_finding(host).into())
    }

    /// Returns this host's counts as a report.
    pub(crate) fn report(&self, host: &HostId, incarnation: Incarnation, seq: u64) -> Evidence {
        Evidence {
            environment: self.record.environment.clone(),
            move_id: self.record.spec.name.clone(),
            backend: self.record.spec.backend.clone(),
            host: host.clone(),
            incarnation,
            seq,
            routes: self.own.values().map(|own| own.counts.clone()).collect(),
            stopped: self.stopped.is_some(),
            finding: self.stopped.as_ref().and_then(Finding::of),
        }
    }

    fn version(&self, side: Side) -> VersionId {
        match side {
            Side::Old => self.record.spec.from.clone(),
            Side::New => self.record.spec.to.clone(),
        }
    }

    fn own_route(&mut self, route: &RouteName) -> &mut OwnRoute {
        self.own
            .entry(route.clone())
            .or_insert_with(|| OwnRoute::new(route))
    }

    fn is_cautious(&self, now: Millis) -> bool {
        // If the clock stepped back, the remaining time can exceed `CAUTION_DURATION`.
        now < self.cautious_until && self.cautious_until.since(now) <= CAUTION_DURATION
    }

    fn fraction(&self, now: Millis, pick: &Pick<'_>, document: &Document) -> f64 {
        if self.record.share == Permille::NONE {
            return 0.0;
        }
        let most = if self.is_cautious(now) {
            MAX_CAUTIOUS_FRACTION
        } else {
            1.0
        };
        let view = RouteView {
            idempotent: pick.idempotent,
            has_idempotent_routes: idempotent_routes(document, pick).next().is_some(),
            idempotent_responses: idempotent_routes(document, pick)
                .filter_map(|route| self.ledger.route(route))
                .map(|counts| counts.new.judged())
                .sum(),
        };
        fraction(&self.record, view).min(most)
    }

    fn is_within_counts(&self, now: Millis, route: &RouteName) -> bool {
        let none = VersionCounts::default();
        let total = self.ledger.route(route).map_or(&none, |counts| &counts.new);
        let own = self.own.get(route).map_or(0, |own| own.counts.new.in_flight());
        let in_flight = own.saturating_add(self.ledger.in_flight(now, route));
        within_counts(self.record.phase, total, in_flight)
    }

    fn count_dispatch(&mut self, now: Millis, route: &RouteName, side: Side) {
        let own = self.own_route(route);
        let (counts, outstanding) = own.side(side);
        counts.dispatched += 1;
        outstanding.dispatch(now);
        let gained = VersionCounts {
            dispatched: 1,
            ..VersionCounts::default()
        };
        self.ledger.add_counts(&counts_for_side(route, side, gained));
    }

    fn count_overdue(&mut self, now: Millis) {
        let mut overdue = Vec::new();
        for (route, own) in &mut self.own {
            let Some(after) = own.old.baseline().overdue_after() else {
                continue;
            };
            for side in [Side::Old, Side::New] {
                let (counts, outstanding) = own.side(side);
                let count = outstanding.count_overdue(now, after);
                counts.overdue += count;
                if count > 0 {
                    overdue.push((route.clone(), side, count));
                }
            }
        }
        for (route, side, count) in overdue {
            let gained = VersionCounts {
                overdue: count,
                ..VersionCounts::default()
            };
            self.count(&route, side, gained);
        }
    }

    fn count(&mut self, route: &RouteName, side: Side, gained: VersionCounts) {
        let gained = counts_for_side(route, side, gained);
        self.ledger.add_counts(&gained);
        self.judge.add(&gained);
    }
}

fn counts_for_side(route: &RouteName, side: Side, gained: VersionCounts) -> RouteEvidence {
    let mut counts = RouteEvidence::none(route.clone());
    match side {
        Side::Old => counts.old = gained,
        Side::New => counts.new = gained,
    }
    counts
}

fn idempotent_routes<'a>(document: &'a Document, pick: &'a Pick<'_>) -> impl Iterator<Item = &'a RouteName> {
    let same_backend = document
        .routes
        .iter()
        .filter(|route| route.backend == *pick.backend);
    same_backend
        .filter(|route| route.idempotent)
        .map(|route| &route.name)
}
