//! The part of a move that stands with the control lease.

use std::collections::BTreeMap;

use carawayseam_config::OnNoEvidence;
use carawayseam_types::{HostId, Millis, Permille, Revision, RouteName};

use crate::judge::Judge;
use crate::ledger::Ledger;
use crate::schedule::{due, earliest, next_share, shortest_dwell};
use crate::{
    AnyRollout, Canary, Cause, Evidence, Growing, Phase, RecordError, Rollout, RolloutRecord, RouteEvidence,
    Whole,
};

/// An input of the driver.
#[derive(Debug, Clone)]
pub enum DriverEvent {
    /// A host's counts.
    Evidence(Evidence),
    /// Whether the engines of the new version are loaded and read back.
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
    /// An operator takes the move back.
    TakeBack,
    /// The document in force no longer declares the move.
    Superseded,
    /// A record that was written or read; an older revision is ignored.
    Record(RolloutRecord),
    /// Time passed.
    Tick,
}

/// An output of the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DriverAction {
    /// Write this record by compare-and-swap over the one before; its answer comes back as `Record`.
    Write(Box<RolloutRecord>),
    /// All live hosts follow the finished move, so the old version's engines may be released.
    ReleaseOld,
}

/// How long an answer to a write is waited for before it is written again.
const WRITE_AGAIN_AFTER: Millis = Millis::from_secs(2);
/// Without a report of any host for longer, the share does not grow.
const HOSTS_SILENT_AFTER: Millis = Millis::from_secs(6);
/// A score from which on the share does not grow until it has fallen.
const DOUBT_SCORE: f64 = 5.0;
/// Answers on each busy route that let the share grow before its time.
const STEP_ANSWERS: u64 = 10;
/// Answers on each busy route without which a move ends by the document's rule.
const ENOUGH_ANSWERS: u64 = 12;
/// The share of all dispatches from which on a route is busy.
const BUSY_SHARE: f64 = 0.02;

/// Drives one move.
#[derive(Debug)]
pub struct Driver {
    record: RolloutRecord,
    ledger: Ledger,
    judge: Judge,
    ready: bool,
    hosts: Vec<HostId>,
    confirmed: BTreeMap<HostId, Revision>,
    withdrawal: Option<Cause>,
    written: Option<Written>,
    step_answers: BTreeMap<RouteName, u64>,
    latest: Millis,
    heard_at: Option<Millis>,
    heard_since: Millis,
    silent_for: Millis,
    released: bool,
    replaced: bool,
}

/// A write whose answer has not come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Written {
    revision: Revision,
    phase: Phase,
    share: Permille,
    at: Millis,
}

impl Driver {
    /// Takes up a move where its record stands.
    #[must_use]
    pub fn new(record: RolloutRecord) -> Self {
        let mut judge = Judge::default();
        judge.follow(record.share);
        Self {
            record,
            ledger: Ledger::default(),
            judge,
            ready: false,
            hosts: Vec::new(),
            confirmed: BTreeMap::new(),
            withdrawal: None,
            written: None,
            step_answers: BTreeMap::new(),
            latest: Millis::ZERO,
            heard_at: None,
            heard_since: Millis::ZERO,
            silent_for: Millis::ZERO,
            released: false,
            replaced: false,
        }
    }

    /// Takes one event at the time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: DriverEvent, actions: &mut Vec<DriverAction>) {
        // A clock that steps back must not reopen what a deadline closed.
        self.latest = self.latest.max(now);
        match event {
            DriverEvent::Evidence(report) => self.take_evidence(&report),
            DriverEvent::EnginesReady(ready) => self.ready = ready,
            DriverEvent::Hosts(hosts) => self.hosts = hosts,
            DriverEvent::Confirmed { host, revision } => self.confirm(host, revision),
            DriverEvent::TakeBack => self.withdraw(Cause::Operator),
            DriverEvent::Superseded => self.withdraw(Cause::Superseded),
            DriverEvent::Record(record) => self.take_record(record),
            DriverEvent::Tick => {}
        }
        match self.record.phase {
            _ if self.replaced => {}
            Phase::Finished => self.release(actions),
            Phase::RolledBack => {}
            _ => self.advance(actions),
        }
    }

    /// The record as the driver knows it.
    #[must_use]
    pub const fn record(&self) -> &RolloutRecord {
        &self.record
    }

    fn withdraw(&mut self, cause: Cause) {
        self.withdrawal.get_or_insert(cause);
    }

    fn confirm(&mut self, host: HostId, revision: Revision) {
        let known = self.confirmed.entry(host).or_default();
        *known = revision.max(*known);
    }

    fn take_record(&mut self, record: RolloutRecord) {
        if record.revision <= self.record.revision || record.check_after(&self.record).is_err() {
            return;
        }
        self.replaced = !record.is_same_rollout(&self.record);
        self.judge.follow(record.share);
        self.step_answers = self.answers();
        self.silent_for = Millis::ZERO;
        self.written = None;
        self.record = record;
    }

    fn take_evidence(&mut self, report: &Evidence) {
        if report.move_id != self.record.spec.name || report.environment != self.record.environment {
            return;
        }
        self.note_heard();
        self.judge.take(&self.ledger.take(self.latest, report));
        let seen = report.finding.clone().map(Cause::from);
        // A host that stopped without evidence was told to by somebody.
        let told = report.stopped.then_some(Cause::Operator);
        let clear = self.judge.clear().map(|clear| clear.seen_at(&report.host).into());
        if let Some(cause) = seen.or(told).or(clear) {
            self.withdraw(cause);
        }
    }

    /// Notes that hosts are heard, and for how long they were not.
    fn note_heard(&mut self) {
        match self.heard_at {
            None => self.heard_since = self.latest,
            Some(at) if self.latest.since(at) > HOSTS_SILENT_AFTER => {
                self.heard_since = self.latest;
                self.silent_for += self.latest.since(at);
            }
            Some(_) => {}
        }
        self.heard_at = Some(self.latest);
    }

    fn release(&mut self, actions: &mut Vec<DriverAction>) {
        let follows = |host: &HostId| {
            let known = self.confirmed.get(host);
            known.is_some_and(|revision| *revision >= self.record.revision)
        };
        if !self.released && !self.hosts.is_empty() && self.hosts.iter().all(follows) {
            self.released = true;
            actions.push(DriverAction::ReleaseOld);
        }
    }

    fn advance(&mut self, actions: &mut Vec<DriverAction>) {
        let Some(next) = self.next_record() else { return };
        let write = Written {
            revision: next.revision,
            phase: next.phase,
            share: next.share,
            at: self.latest,
        };
        if self.written.is_some_and(|written| written.covers(write)) {
            return;
        }
        self.written = Some(write);
        actions.push(DriverAction::Write(Box::new(next)));
    }

    fn next_record(&self) -> Option<RolloutRecord> {
        let mv = AnyRollout::try_from(self.record.clone()).ok()?;
        let now = self.latest;
        if let Some(cause) = self.withdrawal_now() {
            return mv.roll_back(cause, now).map(Rollout::into_record);
        }
        if !self.hears_hosts() {
            return None;
        }
        let cause = self.step_cause()?;
        let next = match mv {
            AnyRollout::Preparing(mv) if self.ready => Ok(mv.begin(now).into_record()),
            AnyRollout::Canary(mv) => grow_first(mv, cause, now),
            AnyRollout::Growing(mv) => grow(mv, cause, now),
            // A host that is not heard may have stopped the new version.
            AnyRollout::Whole(mv) if self.has_evidence_from_all_hosts() => self.settle(mv, now),
            AnyRollout::Preparing(_)
            | AnyRollout::Whole(_)
            | AnyRollout::Finished(_)
            | AnyRollout::RolledBack(_) => {
                return None;
            }
        };
        next.ok()
    }

    /// Why the move is taken back now, if it is.
    fn withdrawal_now(&self) -> Option<Cause> {
        let too_late = self.latest >= self.record.finish_by();
        let deadline = too_late.then_some(Cause::Deadline);
        self.withdrawal.clone().or(deadline)
    }

    /// Why the next step may be taken now; none if it may not.
    fn step_cause(&self) -> Option<Cause> {
        if self.record.phase == Phase::Preparing {
            return Some(Cause::EnginesReady);
        }
        // Time in which no host was heard is not part of a step.
        let from = self.record.since + self.silent_for;
        let doubt = self.judge.suspicion().map_or(0.0, |suspicion| suspicion.score);
        match self.latest {
            _ if doubt >= DOUBT_SCORE => None,
            now if now < self.heard_since + shortest_dwell(&self.record) => None,
            now if now < earliest(&self.record, from) => None,
            _ if self.is_step_good() => Some(Cause::EvidenceGood),
            now if now >= due(&self.record, from) => Some(Cause::NoEvidence),
            _ => None,
        }
    }

    /// Ends a move whose new version has all traffic.
    fn settle(&self, mv: Rollout<Whole>, now: Millis) -> Result<RolloutRecord, RecordError> {
        match self.record.spec.on_no_evidence {
            _ if self.has_enough() => mv.finish(Cause::EvidenceGood, now).map(Rollout::into_record),
            OnNoEvidence::Finish => mv.finish(Cause::NoEvidence, now).map(Rollout::into_record),
            OnNoEvidence::TakeBack => Ok(mv.roll_back(Cause::NoEvidence, now).into_record()),
        }
    }

    fn hears_hosts(&self) -> bool {
        self.heard_at
            .is_some_and(|at| self.latest.since(at) <= HOSTS_SILENT_AFTER)
    }

    fn has_evidence_from_all_hosts(&self) -> bool {
        let heard = |host: &HostId| {
            let at = self.ledger.heard_at(host);
            at.is_some_and(|at| self.latest.since(at) <= HOSTS_SILENT_AFTER)
        };
        self.hosts.iter().all(heard)
    }

    fn is_step_good(&self) -> bool {
        let answers_before = |route: &RouteName| self.step_answers.get(route).copied().unwrap_or(0);
        self.is_true_of_busy_routes(|counts| {
            counts.new.judged() >= answers_before(&counts.route) + STEP_ANSWERS
        })
    }

    fn has_enough(&self) -> bool {
        self.is_true_of_busy_routes(|counts| counts.new.judged() >= ENOUGH_ANSWERS)
    }

    /// Whether it holds for each busy route, of which there is at least one.
    fn is_true_of_busy_routes(&self, holds: impl Fn(&RouteEvidence) -> bool) -> bool {
        let dispatched = |counts: &RouteEvidence| counts.old.dispatched + counts.new.dispatched;
        let all: u64 = self.ledger.routes().map(dispatched).sum();
        let least = (all as f64 * BUSY_SHARE).max(1.0);
        let mut busy = self
            .ledger
            .routes()
            .filter(|counts| dispatched(counts) as f64 >= least)
            .peekable();
        busy.peek().is_some() && busy.all(holds)
    }

    fn answers(&self) -> BTreeMap<RouteName, u64> {
        let routes = self.ledger.routes();
        routes
            .map(|counts| (counts.route.clone(), counts.new.judged()))
            .collect()
    }
}

impl Written {
    /// Whether this write, whose answer may still come, is the same as `next`.
    fn covers(self, next: Self) -> bool {
        let same = (self.revision, self.phase, self.share) == (next.revision, next.phase, next.share);
        same && next.at.since(self.at) < WRITE_AGAIN_AFTER
    }
}

fn grow_first(mv: Rollout<Canary>, cause: Cause, now: Millis) -> Result<RolloutRecord, RecordError> {
    let share = next_share(mv.record().share);
    mv.grow(share, cause, now).map(Rollout::into_record)
}

fn grow(mv: Rollout<Growing>, cause: Cause, now: Millis) -> Result<RolloutRecord, RecordError> {
    match next_share(mv.record().share) {
        Permille::WHOLE => Ok(mv.complete(cause, now).into_record()),
        share => mv.grow(share, cause, now).map(Rollout::into_record),
    }
}
