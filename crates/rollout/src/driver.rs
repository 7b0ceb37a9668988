//! Advances a rollout on the holder of the control lease.

use std::collections::BTreeMap;

use carawayseam_config::OnNoEvidence;
use carawayseam_types::{HostId, Millis, Permille, Revision, RouteName};

use crate::judge::Judge;
use crate::ledger::Ledger;
use crate::schedule::{earliest_step_at, min_dwell, next_share, step_due_at};
use crate::{
    AnyRollout, Canary, Cause, Evidence, Growing, Phase, RecordError, Rollout, RolloutRecord, RouteEvidence,
    Whole,
};

/// An input of the driver.
#[derive(Debug, Clone)]
pub enum DriverEvent {
    /// A host's counts.
    Evidence(Evidence),
    /// Whether the engines of the new version are loaded and confirmed.
    EnginesReady(bool),
    /// The live entry hosts.
    Hosts(Vec<HostId>),
    /// A host confirmed that it has a record of at least this revision.
    Confirmed {
        /// The host.
        host: HostId,
        /// The revision.
        revision: Revision,
    },
    /// An operator rolls the rollout back.
    TakeBack,
    /// The document in force no longer declares the rollout.
    Superseded,
    /// A record that was written or read; older revisions are ignored.
    Record(RolloutRecord),
    /// Time passed.
    Tick,
}

/// An output of the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DriverAction {
    /// Replace the previous record by compare-and-swap; the result returns as [`DriverEvent::Record`].
    Write(Box<RolloutRecord>),
    /// All live hosts have confirmed the finished rollout; release the old version's engines.
    ReleaseOld,
}

/// How long to wait for the result of a write before repeating it.
const WRITE_RETRY_TIMEOUT: Millis = Millis::from_secs(2);
/// The share does not increase if no host has reported for longer than this.
const REPORT_TIMEOUT: Millis = Millis::from_secs(6);
/// The share does not increase while the suspicion score is at or above this.
const HOLD_SCORE: f64 = 5.0;
/// Responses on each busy route in this step that permit the next step before it is due.
const MIN_STEP_RESPONSES: u64 = 10;
/// With fewer responses on a busy route, the document's rule decides how the rollout ends.
const MIN_FINISH_RESPONSES: u64 = 12;
/// A route with at least this fraction of all dispatches is busy.
const BUSY_ROUTE_FRACTION: f64 = 0.02;

/// Drives one rollout.
#[derive(Debug)]
pub struct Driver {
    record: RolloutRecord,
    ledger: Ledger,
    judge: Judge,
    engines_ready: bool,
    hosts: Vec<HostId>,
    confirmed: BTreeMap<HostId, Revision>,
    rollback_cause: Option<Cause>,
    pending_write: Option<PendingWrite>,
    responses_before_step: BTreeMap<RouteName, u64>,
    latest_time: Millis,
    last_report_at: Option<Millis>,
    reporting_since: Millis,
    time_without_reports: Millis,
    released: bool,
    replaced: bool,
}

/// A write whose result is outstanding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct PendingWrite {
    revision: Revision,
    phase: Phase,
    share: Permille,
    at: Millis,
}

impl Driver {
    /// Creates a driver that continues from `record`.
    #[must_use]
    pub fn new(record: RolloutRecord) -> Self {
        let mut judge = Judge::default();
        judge.set_share(record.share);
        Self {
            record,
            ledger: Ledger::default(),
            judge,
            engines_ready: false,
            hosts: Vec::new(),
            confirmed: BTreeMap::new(),
            rollback_cause: None,
            pending_write: None,
            responses_before_step: BTreeMap::new(),
            latest_time: Millis::ZERO,
            last_report_at: None,
            reporting_since: Millis::ZERO,
            time_without_reports: Millis::ZERO,
            released: false,
            replaced: false,
        }
    }

    /// Handles one event at the time `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: DriverEvent, actions: &mut Vec<DriverAction>) {
        // A clock that steps back must not reopen a rollout whose deadline has passed.
        self.latest_time = self.latest_time.max(now);
        match event {
            DriverEvent::Evidence(report) => self.handle_evidence(&report),
            DriverEvent::EnginesReady(engines_ready) => self.engines_ready = engines_ready,
            DriverEvent::Hosts(hosts) => self.hosts = hosts,
            DriverEvent::Confirmed { host, revision } => self.confirm(host, revision),
            DriverEvent::TakeBack => self.request_rollback(Cause::Operator),
            DriverEvent::Superseded => self.request_rollback(Cause::Superseded),
            DriverEvent::Record(record) => self.handle_record(record),
            DriverEvent::Tick => {}
        }
        match self.record.phase {
            _ if self.replaced => {}
            Phase::Finished => self.release(actions),
            Phase::RolledBack => {}
            _ => self.advance(actions),
        }
    }

    /// Returns the latest record known to the driver.
    #[must_use]
    pub const fn record(&self) -> &RolloutRecord {
        &self.record
    }

    fn request_rollback(&mut self, cause: Cause) {
        self.rollback_cause.get_or_insert(cause);
    }

    fn confirm(&mut self, host: HostId, revision: Revision) {
        let known = self.confirmed.entry(host).or_default();
        *known = revision.max(*known);
    }

    fn handle_record(&mut self, record: RolloutRecord) {
        if record.revision <= self.record.revision || record.check_after(&self.record).is_err() {
            return;
        }
        self.replaced = !record.is_same_rollout(&self.record);
        self.judge.set_share(record.share);
        self.responses_before_step = self.response_counts();
        self.time_without_reports = Millis::ZERO;
        self.pending_write = None;
        self.record = record;
    }

    fn handle_evidence(&mut self, report: &Evidence) {
        if report.move_id != self.record.spec.name || report.environment != self.record.environment {
            return;
        }
        self.record_report();
        self.judge
            .add_gained(&self.ledger.merge(self.latest_time, report));
        let found = report.finding.clone().map(Cause::from);
        // A host that stopped without a finding did so on request.
        let stopped_on_request = report.stopped.then_some(Cause::Operator);
        let clear = self
            .judge
            .clear_suspicion()
            .map(|clear| clear.into_finding(&report.host).into());
        if let Some(cause) = found.or(stopped_on_request).or(clear) {
            self.request_rollback(cause);
        }
    }

    /// Records that a host reported, and adds up the time without reports.
    fn record_report(&mut self) {
        match self.last_report_at {
            None => self.reporting_since = self.latest_time,
            Some(at) if self.latest_time.since(at) > REPORT_TIMEOUT => {
                self.reporting_since = self.latest_time;
                self.time_without_reports += self.latest_time.since(at);
            }
            Some(_) => {}
        }
        self.last_report_at = Some(self.latest_time);
    }

    fn release(&mut self, actions: &mut Vec<DriverAction>) {
        let has_confirmed = |host: &HostId| {
            let known = self.confirmed.get(host);
            known.is_some_and(|revision| *revision >= self.record.revision)
        };
        if !self.released && !self.hosts.is_empty() && self.hosts.iter().all(has_confirmed) {
            self.released = true;
            actions.push(DriverAction::ReleaseOld);
        }
    }

    fn advance(&mut self, actions: &mut Vec<DriverAction>) {
        let Some(next) = self.next_record() else { return };
        let write = PendingWrite {
            revision: next.revision,
            phase: next.phase,
            share: next.share,
            at: self.latest_time,
        };
        if self
            .pending_write
            .is_some_and(|pending_write| pending_write.covers(write))
        {
            return;
        }
        self.pending_write = Some(write);
        actions.push(DriverAction::Write(Box::new(next)));
    }

    fn next_record(&self) -> Option<RolloutRecord> {
        let rollout = AnyRollout::try_from(self.record.clone()).ok()?;
        let now = self.latest_time;
        if let Some(cause) = self.due_rollback_cause() {
            return rollout.roll_back(cause, now).map(Rollout::into_record);
        }
        if !self.has_recent_report() {
            return None;
        }
        let cause = self.step_cause()?;
        let next = match rollout {
            AnyRollout::Preparing(rollout) if self.engines_ready => Ok(rollout.begin(now).into_record()),
            AnyRollout::Canary(rollout) => grow_first(rollout, cause, now),
            AnyRollout::Growing(rollout) => grow(rollout, cause, now),
            // A host that does not report may have stopped the new version.
            AnyRollout::Whole(rollout) if self.has_evidence_from_all_hosts() => self.settle(rollout, now),
            AnyRollout::Preparing(_)
            | AnyRollout::Whole(_)
            | AnyRollout::Finished(_)
            | AnyRollout::RolledBack(_) => {
                return None;
            }
        };
        next.ok()
    }

    /// Returns why the rollout must be rolled back now, if it must.
    fn due_rollback_cause(&self) -> Option<Cause> {
        let too_late = self.latest_time >= self.record.finish_by();
        let deadline = too_late.then_some(Cause::Deadline);
        self.rollback_cause.clone().or(deadline)
    }

    /// Returns why the next step is permitted now, or `None` if it is not.
    fn step_cause(&self) -> Option<Cause> {
        if self.record.phase == Phase::Preparing {
            return Some(Cause::EnginesReady);
        }
        // The time without reports does not count towards a step.
        let step_began = self.record.since + self.time_without_reports;
        let suspicion_score = self.judge.suspicion().map_or(0.0, |suspicion| suspicion.score);
        match self.latest_time {
            _ if suspicion_score >= HOLD_SCORE => None,
            now if now < self.reporting_since + min_dwell(&self.record) => None,
            now if now < earliest_step_at(&self.record, step_began) => None,
            _ if self.has_step_evidence() => Some(Cause::EvidenceGood),
            now if now >= step_due_at(&self.record, step_began) => Some(Cause::NoEvidence),
            _ => None,
        }
    }

    /// Returns the final record of a rollout whose new version has all traffic.
    fn settle(&self, rollout: Rollout<Whole>, now: Millis) -> Result<RolloutRecord, RecordError> {
        match self.record.spec.on_no_evidence {
            _ if self.has_evidence() => rollout.finish(Cause::EvidenceGood, now).map(Rollout::into_record),
            OnNoEvidence::Finish => rollout.finish(Cause::NoEvidence, now).map(Rollout::into_record),
            OnNoEvidence::RollBack => Ok(rollout.roll_back(Cause::NoEvidence, now).into_record()),
        }
    }

    fn has_recent_report(&self) -> bool {
        self.last_report_at
            .is_some_and(|at| self.latest_time.since(at) <= REPORT_TIMEOUT)
    }

    fn has_evidence_from_all_hosts(&self) -> bool {
        let is_reporting = |host: &HostId| {
            let at = self.ledger.received_at(host);
            at.is_some_and(|at| self.latest_time.since(at) <= REPORT_TIMEOUT)
        };
        self.hosts.iter().all(is_reporting)
    }

    fn has_step_evidence(&self) -> bool {
        let responses_before =
            |route: &RouteName| self.responses_before_step.get(route).copied().unwrap_or(0);
        self.holds_for_busy_routes(|counts| {
            counts.new.judged() >= responses_before(&counts.route) + MIN_STEP_RESPONSES
        })
    }

    fn has_evidence(&self) -> bool {
        self.holds_for_busy_routes(|counts| counts.new.judged() >= MIN_FINISH_RESPONSES)
    }

    /// Returns whether there is a busy route and `holds` is true for every busy route.
    fn holds_for_busy_routes(&self, holds: impl Fn(&RouteEvidence) -> bool) -> bool {
        let dispatched = |counts: &RouteEvidence| counts.old.dispatched + counts.new.dispatched;
        let all: u64 = self.ledger.routes().map(dispatched).sum();
        let min_dispatched = (all as f64 * BUSY_ROUTE_FRACTION).max(1.0);
        let mut busy = self
            .ledger
            .routes()
            .filter(|counts| dispatched(counts) as f64 >= min_dispatched)
            .peekable();
        busy.peek().is_some() && busy.all(holds)
    }

    fn response_counts(&self) -> BTreeMap<RouteName, u64> {
        let routes = self.ledger.routes();
        routes
            .map(|counts| (counts.route.clone(), counts.new.judged()))
            .collect()
    }
}

impl PendingWrite {
    /// Returns whether `next` repeats this write before its retry timeout.
    fn covers(self, next: Self) -> bool {
        let same = (self.revision, self.phase, self.share) == (next.revision, next.phase, next.share);
        same && next.at.since(self.at) < WRITE_RETRY_TIMEOUT
    }
}

fn grow_first(rollout: Rollout<Canary>, cause: Cause, now: Millis) -> Result<RolloutRecord, RecordError> {
    let share = next_share(rollout.record().share);
    rollout.grow(share, cause, now).map(Rollout::into_record)
}

fn grow(rollout: Rollout<Growing>, cause: Cause, now: Millis) -> Result<RolloutRecord, RecordError> {
    match next_share(rollout.record().share) {
        Permille::WHOLE => Ok(rollout.complete(cause, now).into_record()),
        share => rollout.grow(share, cause, now).map(Rollout::into_record),
    }
}
