//! What attempts report; events of attempts that are over are ignored.

use carawayseam_types::{AttemptId, EngineId, Millis, NotRunReason, RequestSeq, Tokens};

use crate::engine::Length;
use crate::job::{AnyJob, Job, Running};
use crate::scheduler::Scheduler;
use crate::timers::Due;
use crate::{Action, AttemptFailure};

/// Decode speed is sampled over at least this time.
const SAMPLE_TIME: Millis = Millis(500);
/// Shorter samples say too little about the concurrency limit.
const LIMIT_SAMPLE_TIME: Millis = Millis(300);

impl Scheduler {
    pub(crate) fn first_token(&mut self, attempt: AttemptId, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(job) = self.running_mut(attempt) else {
            return;
        };
        if job.state.first_token.is_some() {
            return;
        }
        job.state.first_token = Some(now);
        job.state.last_token = now;
        job.state.sampled = (now, job.core.request.delivered);
        let (ix, pool) = (job.state.engine, job.state.pool);
        let (uncached, ahead) = (job.state.uncached, job.state.prefill_ahead);
        let elapsed = now.since(job.state.started);
        if uncached > 0.0 {
            self.fleet.learn_prefill(ix, now, ahead, elapsed);
        }
        let engine = self.fleet.engine_mut(ix);
        engine.prefill_ahead = (engine.prefill_ahead - uncached).max(0.0);
        self.pump(pool, actions);
    }

    pub(crate) fn progress(&mut self, attempt: AttemptId, produced: Tokens, actions: &mut Vec<Action>) {
        self.first_token(attempt, actions);
        let now = self.now;
        let Some(job) = self.running_mut(attempt) else {
            return;
        };
        job.state.last_token = now;
        let delivered = &mut job.core.request.delivered;
        *delivered = produced.max(*delivered);
        let (since, from) = job.state.sampled;
        let elapsed = now.since(since);
        if elapsed >= SAMPLE_TIME && produced > from {
            job.state.sampled = (now, produced);
            let engine = job.state.engine;
            self.sample_decode(engine, f64::from(produced.0 - from.0), elapsed);
        }
    }

    pub(crate) fn finished(&mut self, attempt: AttemptId, produced: Tokens, actions: &mut Vec<Action>) {
        let Some(job) = self.end_attempt(attempt) else {
            return;
        };
        let (core, run) = (&job.core, &job.state);
        let (since, from) = run.sampled;
        if core.is_service() {
            self.sample_decode(run.engine, 1.0, self.now.since(run.started));
        } else {
            let tokens = f64::from(produced.0.saturating_sub(from.0));
            let elapsed = self.now.since(since);
            if run.first_token.is_some() && tokens > 0.0 && elapsed > Millis::ZERO {
                self.sample_decode(run.engine, tokens, elapsed);
            }
            self.lengths
                .learn(core.route, core.request.prompt_tokens, produced);
        }
        self.poison.clear(core.request.content);
        let engine = self.fleet.engine_mut(run.engine);
        let running = engine.running.len() as u32 + 1;
        engine.limit.on_success(running);
        engine.outlier.on_success();
        self.fleet.refresh(run.engine);
        let pool = self.fleet.pool_mut(run.pool);
        pool.answers = pool.answers.saturating_add(1);
        self.pump(run.pool, actions);
    }

    pub(crate) fn failed(
        &mut self,
        attempt: AttemptId,
        failure: AttemptFailure,
        produced: Tokens,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut job) = self.end_attempt(attempt) else {
            return;
        };
        let delivered = &mut job.core.request.delivered;
        *delivered = produced.max(*delivered);
        let pool = job.state.pool;
        self.blame(&mut job, failure, actions);
        self.after_failure(job, failure, actions);
        self.pump(pool, actions);
    }

    /// A caller that left frees its place; a call that must not be cut runs on.
    pub(crate) fn caller_gone(&mut self, seq: RequestSeq, actions: &mut Vec<Action>) {
        match self.jobs.get_mut(&seq) {
            Some(AnyJob::Running(job)) if !job.core.request.idempotent => {
                job.core.caller_gone = true;
            }
            Some(AnyJob::Running(job)) => {
                let (attempt, pool) = (job.state.attempt, job.state.pool);
                self.cancel_attempt(attempt, actions);
                self.pump(pool, actions);
            }
            Some(AnyJob::Queued(_)) => {
                if let Some(job) = self.take_queued(seq) {
                    self.refuse(&job.core, NotRunReason::CallerGone, actions);
                }
            }
            Some(AnyJob::Held(_)) => {
                if let Some(core) = self.take_held(seq) {
                    self.refuse(&core, NotRunReason::CallerGone, actions);
                }
            }
            None => {}
        }
    }

    /// Finds silent attempts and those past their deadline.
    pub(crate) fn on_attempt_due(&mut self, attempt: AttemptId, actions: &mut Vec<Action>) {
        let Some(job) = self.running_mut(attempt) else {
            return;
        };
        let (deadline, produced) = (job.core.request.deadline, job.core.request.delivered);
        let silent_at = self.silent_at(attempt);
        let failure = match self.now {
            now if now >= deadline => AttemptFailure::DeadlinePassed,
            now if now >= silent_at => AttemptFailure::Silent,
            _ => return self.timers.set(deadline.min(silent_at), Due::Attempt(attempt)),
        };
        if let Some(engine) = self.running_engine(attempt) {
            actions.push(Action::Cancel { attempt, engine });
        }
        self.failed(attempt, failure, produced, actions);
    }

    /// Ends an attempt at its engine and gives the request back.
    pub(crate) fn cancel_attempt(
        &mut self,
        attempt: AttemptId,
        actions: &mut Vec<Action>,
    ) -> Option<Job<Running>> {
        let engine = self.running_engine(attempt)?;
        actions.push(Action::Cancel { attempt, engine });
        self.end_attempt(attempt)
    }

    /// Takes an attempt out of all records.
    fn end_attempt(&mut self, attempt: AttemptId) -> Option<Job<Running>> {
        let seq = self.attempts.remove(&attempt)?;
        let Some(AnyJob::Running(mut job)) = self.jobs.remove(&seq) else {
            return None;
        };
        let run = &job.state;
        let engine = self.fleet.engine_mut(run.engine);
        engine.suspects -= u32::from(job.core.isolate);
        engine.long_running -= u32::from(run.length == Length::Long);
        if run.first_token.is_none() {
            engine.prefill_ahead = (engine.prefill_ahead - run.uncached).max(0.0);
        }
        engine.on_end(self.now, attempt, run.started);
        self.fleet.refresh(run.engine);
        let running = &mut self.fleet.pool_mut(run.pool).running;
        if let Some(attempts) = running.get_mut(&job.core.request.tier) {
            attempts.remove(&attempt);
        }
        self.poison.set_running(job.core.request.content, false);
        job.core.previous = Some((run.engine, attempt));
        Some(job)
    }

    pub(crate) fn running_mut(&mut self, attempt: AttemptId) -> Option<&mut Job<Running>> {
        let seq = self.attempts.get(&attempt)?;
        match self.jobs.get_mut(seq) {
            Some(AnyJob::Running(job)) => Some(job),
            _ => None,
        }
    }

    pub(crate) fn running(&self, attempt: AttemptId) -> Option<&Job<Running>> {
        match self.jobs.get(self.attempts.get(&attempt)?) {
            Some(AnyJob::Running(job)) => Some(job),
            _ => None,
        }
    }

    fn running_engine(&self, attempt: AttemptId) -> Option<EngineId> {
        let job = self.running(attempt)?;
        Some(self.fleet.engine(job.state.engine).name.clone())
    }

    /// When an attempt counts as silent, if nothing more comes.
    fn silent_at(&self, attempt: AttemptId) -> Millis {
        let Some(job) = self.running(attempt) else {
            return Millis::MAX;
        };
        let limits = self.document.as_ref().map(|document| document.limits);
        match (job.state.first_token, limits) {
            (Some(_), Some(limits)) if job.core.request.idempotent => {
                job.state.last_token + limits.token_gap_timeout
            }
            (Some(_), _) => Millis::MAX,
            (None, _) => job.state.started + self.first_token_timeout(&job.core),
        }
    }

    fn sample_decode(&mut self, engine: crate::index::EngineIx, tokens: f64, elapsed: Millis) {
        self.fleet.learn_decode(engine, self.now, tokens, elapsed);
        if elapsed < LIMIT_SAMPLE_TIME {
            return;
        }
        let now = self.now;
        let engine = self.fleet.engine_mut(engine);
        let running = engine.used();
        engine.limit.on_gap(now, running, elapsed.0 as f64 / tokens);
    }
}
