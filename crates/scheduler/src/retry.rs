//! After a failure: who is to blame, and may the request run again?

use carawayseam_types::{Millis, NotRunReason, RequestSeq};

use crate::index::EngineIx;
use crate::job::{AnyJob, Core, Held, Job, Running};
use crate::outlier::PROBE_PAUSE;
use crate::poison::{Crash, Trust};
use crate::scheduler::Scheduler;
use crate::timers::Due;
use crate::{Action, AttemptFailure, Notice};

/// Engines whose connections break within this time of each other were lost to a common cause.
const COMMON_CAUSE: Millis = Millis::from_secs(1);
/// After a crash an engine gets nothing new for this time; it may be restarting.
const CRASH_PAUSE: Millis = Millis(250);
/// After a refusal an engine gets nothing new for this time.
const REFUSED_PAUSE: Millis = Millis(100);
/// A suspect content is held for this time, so that peers hear of it before it runs again.
const SUSPECT_HOLD: Millis = Millis(500);
/// Attempts that never reached an engine cost little, but end at some time.
const MAX_TRIES: u32 = 16;

impl Scheduler {
    /// Counts a failure against the engine or the content.
    pub(crate) fn blame(
        &mut self,
        job: &mut Job<Running>,
        failure: AttemptFailure,
        actions: &mut Vec<Action>,
    ) {
        let ix = job.state.engine;
        let now = self.now;
        let engine = self.fleet.engine_mut(ix);
        let eject = match failure {
            AttemptFailure::NotSent => engine.outlier.on_not_sent(),
            AttemptFailure::EngineRefused => {
                engine.limit.cut(now);
                self.pause(ix, REFUSED_PAUSE);
                false
            }
            AttemptFailure::ConnectionLost => self.on_connection_lost(&mut job.core, ix, actions),
            AttemptFailure::Silent => {
                engine.limit.cut(now);
                engine.outlier.on_failure(now)
            }
            AttemptFailure::EngineFailed => engine.outlier.on_failure(now),
            AttemptFailure::DeadlinePassed => false,
        };
        if eject {
            self.eject(ix, failure, actions);
        }
        self.fleet.refresh(ix);
    }

    /// Decides whether a request whose attempt failed runs again.
    pub(crate) fn after_failure(
        &mut self,
        job: Job<Running>,
        failure: AttemptFailure,
        actions: &mut Vec<Action>,
    ) {
        let mut core = job.core;
        let certainly_not_run = matches!(failure, AttemptFailure::NotSent | AttemptFailure::EngineRefused);
        core.maybe_sent |= !certainly_not_run;
        core.failure = Some(failure);
        core.avoid = Some(job.state.engine);
        if core.caller_gone {
            return;
        }
        let tier = core.request.tier;
        let blocked = self.poison.trust(core.request.content) == Trust::Blocked;
        match failure {
            _ if blocked => self.refuse(&core, NotRunReason::Poison, actions),
            _ if !core.may_repeat() || failure == AttemptFailure::DeadlinePassed => {
                self.refuse(&core, NotRunReason::DeadlineUnreachable, actions);
            }
            _ if core.tries >= MAX_TRIES => self.refuse(&core, NotRunReason::NoEngine, actions),
            _ if certainly_not_run => self.run_again(core, actions),
            _ if !self.budget.take(tier) => self.refuse(&core, NotRunReason::RetryBudget, actions),
            _ if core.isolate && self.peers.count() > 1 => self.hold(core, actions),
            _ => self.run_again(core, actions),
        }
    }

    /// Queues a request again, on the version that serves now.
    pub(crate) fn run_again(&mut self, mut core: Box<Core>, actions: &mut Vec<Action>) {
        if self.follow_withdrawal(&mut core) {
            self.place(core, actions);
        } else {
            self.refuse(&core, NotRunReason::NoEngine, actions);
        }
    }

    /// Puts a request on the version that serves now; false if it has another one's tokens.
    fn follow_withdrawal(&self, core: &mut Core) -> bool {
        let key = (core.request.backend.clone(), core.request.version.clone());
        let Some(to) = self.withdrawn.get(&key) else {
            return true;
        };
        core.request.version = to.clone();
        core.previous = None;
        core.request.delivered.0 == 0
    }

    /// Puts the held requests on the version that serves now, or gives them up.
    pub(crate) fn hold_again(&mut self, actions: &mut Vec<Action>) {
        let held: Vec<RequestSeq> = self.held.iter().copied().collect();
        for seq in held {
            let Some(mut core) = self.take_held(seq) else {
                continue;
            };
            if self.follow_withdrawal(&mut core) {
                self.keep_held(core);
            } else {
                self.refuse(&core, NotRunReason::NoEngine, actions);
            }
        }
    }

    pub(crate) fn on_release(&mut self, seq: RequestSeq, actions: &mut Vec<Action>) {
        let Some(mut core) = self.take_held(seq) else {
            return;
        };
        if self.poison.trust(core.request.content) == Trust::Blocked {
            return self.refuse(&core, NotRunReason::Poison, actions);
        }
        // Other engines broke at the same time, so the request is hardly the cause.
        core.isolate &= !self.is_common_cause(None);
        self.run_again(core, actions);
    }

    /// Gives up every waiting request with a content that is now blocked.
    pub(crate) fn refuse_blocked(&mut self, content: carawayseam_types::Digest, actions: &mut Vec<Action>) {
        let waits = |job: &AnyJob| !matches!(job, AnyJob::Running(_));
        let same = |job: &AnyJob| job.core().request.content == content;
        let found = self.jobs.iter().filter(|(_, job)| waits(job) && same(job));
        let mut waiting: Vec<RequestSeq> = found.map(|(seq, _)| *seq).collect();
        waiting.sort_unstable();
        for seq in waiting {
            let core = match self.take_queued(seq) {
                Some(job) => job.core,
                None => match self.take_held(seq) {
                    Some(core) => core,
                    None => continue,
                },
            };
            self.refuse(&core, NotRunReason::Poison, actions);
        }
    }

    pub(crate) fn on_engine_due(&mut self, ix: EngineIx, actions: &mut Vec<Action>) {
        let now = self.now;
        let engine = self.fleet.engine_mut(ix);
        engine.expire_report(now);
        if engine.outlier.is_paused() && engine.outlier.paused_until <= now {
            let was_ejected = engine.outlier.readmit(now);
            if was_ejected {
                engine.limit.slow_start();
                let engine = engine.name.clone();
                actions.push(Action::Note(Notice::Readmitted { engine }));
                let count = &mut self.fleet.backend_count(ix).ejected;
                *count = count.saturating_sub(1);
            }
        }
        self.fleet.refresh(ix);
        let pool = self.fleet.engine(ix).pool;
        self.pump(pool, actions);
    }

    fn hold(&mut self, mut core: Box<Core>, actions: &mut Vec<Action>) {
        if !self.follow_withdrawal(&mut core) {
            return self.refuse(&core, NotRunReason::NoEngine, actions);
        }
        let release_at = self.now + SUSPECT_HOLD;
        self.timers.set(release_at, Due::Release(core.request.seq));
        self.keep_held(core);
    }

    fn keep_held(&mut self, core: Box<Core>) {
        let seq = core.request.seq;
        self.held.insert(seq);
        self.jobs.insert(seq, AnyJob::Held(Job { core, state: Held }));
    }

    /// Takes back a request that is held.
    pub(crate) fn take_held(&mut self, seq: RequestSeq) -> Option<Box<Core>> {
        if !self.held.remove(&seq) {
            return None;
        }
        match self.jobs.remove(&seq)? {
            AnyJob::Held(job) => Some(job.core),
            _ => None,
        }
    }

    /// Counts a broken connection; true if the engine should be ejected.
    fn on_connection_lost(&mut self, core: &mut Core, ix: EngineIx, actions: &mut Vec<Action>) -> bool {
        self.affinity.clear(ix);
        self.crashed.push_back((self.now, ix));
        let common = self.is_common_cause(Some(ix));
        let was_suspect = self.is_suspect(core);
        self.pause(ix, CRASH_PAUSE);
        if common && !was_suspect {
            return self.fleet.engine_mut(ix).outlier.on_failure(self.now);
        }
        core.isolate = true;
        let content = core.request.content;
        let engine = self.fleet.engine(ix).name.clone();
        let crash = Crash {
            content,
            engine: engine.clone(),
            ix,
            at: self.now,
        };
        if let Some(crashes) = self.poison.count(&crash, &self.config.host) {
            actions.push(Action::AnnouncePoison {
                content,
                engine,
                crashes,
            });
        }
        if self.poison.trust(content) != Trust::Blocked {
            return self.fleet.engine_mut(ix).outlier.on_failure(self.now);
        }
        let crashes = self.poison.crashes(content);
        actions.push(Action::Note(Notice::PoisonBlocked { content, crashes }));
        for blamed in self.poison.engines(content) {
            self.fleet.engine_mut(blamed).outlier.forgive();
        }
        self.refuse_blocked(content, actions);
        false
    }

    /// Whether connections to another engine broke at about this time.
    fn is_common_cause(&mut self, but: Option<EngineIx>) -> bool {
        while let Some((at, _)) = self.crashed.front()
            && self.now.since(*at) > COMMON_CAUSE
        {
            self.crashed.pop_front();
        }
        let first = but.or_else(|| self.crashed.front().map(|(_, ix)| *ix));
        self.crashed.iter().any(|(_, ix)| Some(*ix) != first)
    }

    fn pause(&mut self, ix: EngineIx, pause: Millis) {
        let until = self.now + pause;
        self.fleet.engine_mut(ix).outlier.pause(until);
        self.timers.set(until, Due::Engine(ix));
    }

    /// Pauses an engine that keeps failing; under the ceiling that is an ejection.
    fn eject(&mut self, ix: EngineIx, failure: AttemptFailure, actions: &mut Vec<Action>) {
        if self.fleet.engine(ix).outlier.ejected {
            return;
        }
        let max = self
            .document
            .as_ref()
            .map_or(0.0, |document| document.limits.max_ejected.as_fraction());
        let count = self.fleet.backend_count(ix);
        let may_eject = f64::from(count.ejected + 1) <= f64::from(count.declared) * max;
        if !may_eject {
            self.fleet.engine_mut(ix).limit.slow_start();
            return self.pause(ix, PROBE_PAUSE);
        }
        count.ejected += 1;
        let now = self.now;
        let outlier = &mut self.fleet.engine_mut(ix).outlier;
        let pause = outlier.next_pause();
        outlier.eject(now, pause);
        self.timers.set(now + pause, Due::Engine(ix));
        let engine = self.fleet.engine(ix).name.clone();
        actions.push(Action::Note(Notice::Ejected {
            engine,
            pause,
            failure,
        }));
    }
}
