//! One move as one entry host follows it.

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

/// A score from which on a host looks more closely at the new version.
const CAUTION_SCORE: f64 = 3.5;
/// A score from which on it looks more closely however often it did.
const GRAVE_SCORE: f64 = 8.0;
/// The largest part of traffic that the new version gets meanwhile.
const CAUTIOUS_FRACTION: f64 = 0.25;
const CAUTION_TIME: Millis = Millis::from_secs(10);
/// The least time from one caution to the next.
///
/// A fault that shows only under load would else never show for long.
const CAUTION_PERIOD: Millis = Millis::from_secs(60);

/// Which version serves, as far as this host decides it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Serving {
    /// The old version alone, and why.
    Old(Cause),
    /// The new version alone, because the move is finished.
    New(Cause),
    /// Both, by shares.
    Split,
}

/// A version's place in the move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Side {
    Old,
    New,
}

/// A move's record with what this host saw of it.
#[derive(Debug)]
pub(crate) struct Standing {
    record: RolloutRecord,
    own: BTreeMap<RouteName, OwnRoute>,
    ledger: Ledger,
    judge: Judge,
    stopped: Option<Cause>,
    expired: bool,
    cautious_until: Millis,
    cautious_again_at: Millis,
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

impl Standing {
    pub(crate) fn new(record: RolloutRecord) -> Self {
        let mut standing = Self {
            record,
            own: BTreeMap::new(),
            ledger: Ledger::default(),
            judge: Judge::default(),
            stopped: None,
            expired: false,
            cautious_until: Millis::ZERO,
            cautious_again_at: Millis::ZERO,
        };
        standing.judge.follow(standing.record.share);
        standing
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

    /// Takes a later record of the same move.
    pub(crate) fn follow(&mut self, record: RolloutRecord) {
        self.judge.follow(record.share);
        self.record = record;
    }

    /// Stops the new version at this host; false if it was stopped before.
    pub(crate) fn stop(&mut self, cause: Cause) -> bool {
        let first = self.stopped.is_none();
        self.stopped.get_or_insert(cause);
        first
    }

    /// Lets time pass: the deadline stays passed even if the clock steps back.
    pub(crate) fn pass_time(&mut self, now: Millis) {
        self.expired |= now >= self.record.deadline;
        self.count_overdue(now);
    }

    /// Sends the new version less for a while when something speaks against it.
    ///
    /// The old version then serves at the same time, which tells a bad
    /// version from a trouble that both share, and few requests are at risk.
    fn take_caution(&mut self, now: Millis) {
        let doubt = self.judge.doubt();
        let is_first = now >= self.cautious_again_at && doubt >= CAUTION_SCORE;
        if is_first || doubt >= GRAVE_SCORE {
            self.cautious_until = now + CAUTION_TIME;
            self.cautious_again_at = now + CAUTION_PERIOD;
        }
    }

    /// Which version serves.
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

    /// Picks by shares and counts the dispatch.
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
    pub(crate) fn pick_old(&mut self, now: Millis, route: &RouteName) -> VersionId {
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

    /// Takes an attempt's end.
    pub(crate) fn observe(&mut self, now: Millis, observation: &Observation) {
        let Some(side) = self.side_of(&observation.version) else {
            return;
        };
        let answered_after = match observation.gap_micros {
            None => observation.first,
            Some(_) => None,
        };
        let excused = observation.served == Served::Excused;
        let mut gained = VersionCounts::default();
        gained.note(observation);
        let own = self.own_route(&observation.route);
        let (counts, outstanding) = own.side(side);
        if outstanding.end(now, answered_after, excused) {
            gained.prompt = 1;
        }
        counts.add(&gained);
        self.count(&observation.route, side, gained);
        self.take_caution(now);
    }

    /// Takes another host's counts; its stop stops this host, too.
    pub(crate) fn take_evidence(&mut self, now: Millis, report: &Evidence) {
        self.judge.take(&self.ledger.take(now, report));
        self.take_caution(now);
    }

    /// What this host finds clear for the first time.
    pub(crate) fn find(&mut self, host: &HostId) -> Option<Cause> {
        if self.stopped.is_some() || self.record.phase.is_final() {
            return None;
        }
        let clear = self.judge.clear()?;
        Some(clear.seen_at(host).into())
    }

    /// This host's counts as a report.
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
        // After a clock stepped back the time left may be anything.
        now < self.cautious_until && self.cautious_until.since(now) <= CAUTION_TIME
    }

    fn fraction(&self, now: Millis, pick: &Pick<'_>, document: &Document) -> f64 {
        if self.record.share == Permille::NONE {
            return 0.0;
        }
        let most = if self.is_cautious(now) {
            CAUTIOUS_FRACTION
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
        self.ledger.count(&of_side(route, side, gained));
    }

    fn count_overdue(&mut self, now: Millis) {
        let mut overdue = Vec::new();
        for (route, own) in &mut self.own {
            let Some(after) = own.old.usual().overdue_after() else {
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
        let gained = of_side(route, side, gained);
        self.ledger.count(&gained);
        self.judge.add(&gained);
    }
}

fn of_side(route: &RouteName, side: Side, gained: VersionCounts) -> RouteEvidence {
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
