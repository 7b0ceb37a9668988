//! Gives queued requests to engines with free slots.

use carawayseam_types::{Millis, RequestSeq, Tier, Tokens};
use rand::RngExt;

use crate::engine::Length;
use crate::index::{EngineIx, PoolIx};
use crate::job::{AnyJob, Core, Running};
use crate::poison::Trust;
use crate::scheduler::Scheduler;
use crate::speed::Work;
use crate::timers::Due;
use crate::{Action, AttemptFailure};

/// Queued requests tried in turn when the first fits no free engine.
const LOOK_AHEAD: usize = 6;
/// Engines compared for one request: enough for a good choice, few enough for a large fleet.
const SAMPLES: usize = 8;

/// How sure an engine has to be of ending a request in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fit {
    /// Most such requests would be in time.
    Likely,
    /// A few would; for a request that would have to be refused otherwise.
    Possible,
}

impl Scheduler {
    /// Dispatches from a pool's queue while something fits.
    pub(crate) fn pump(&mut self, pool: PoolIx, actions: &mut Vec<Action>) {
        while let Some((seq, engine)) = self.next_dispatch(pool) {
            self.dispatch(seq, engine, actions);
        }
    }

    fn next_dispatch(&mut self, ix: PoolIx) -> Option<(RequestSeq, EngineIx)> {
        let pool = self.fleet.pool(ix);
        if pool.free.is_empty() || pool.queue.len() == 0 {
            return None;
        }
        let mut heads = [RequestSeq(0); LOOK_AHEAD];
        let mut count = 0;
        for (place, seq) in heads.iter_mut().zip(pool.queue.candidates(self.now)) {
            *place = seq;
            count += 1;
        }
        let mut kept = None;
        for seq in heads.into_iter().take(count) {
            if let Some(engine) = self.choose_engine(seq, ix, kept) {
                return Some((seq, engine));
            }
            kept = kept.or_else(|| self.engine_to_keep(seq, ix));
        }
        None
    }

    /// The engine on which requests that come later make no more use of room for short ones.
    ///
    /// A long request within its organisation's share would otherwise find no slot for as long as
    /// others send short ones without end.
    fn engine_to_keep(&self, seq: RequestSeq, ix: PoolIx) -> Option<EngineIx> {
        let AnyJob::Queued(job) = self.jobs.get(&seq)? else {
            return None;
        };
        let pool = self.fleet.pool(ix);
        let cost = pool.speeds.millis_for(job.core.mean_work());
        let within = pool.queue.is_within_share(self.now, job.core.org);
        if !within || pool.length(cost) == Length::Short {
            return None;
        }
        let tier = job.core.request.tier;
        let engines = pool.engines.iter().copied().take(SAMPLES);
        let held_by_short = engines.filter(|engine| self.fleet.engine(*engine).is_held_by_short(tier));
        let fill = |engine: &EngineIx| self.fleet.engine(*engine).fill();
        held_by_short.min_by(|a, b| fill(a).total_cmp(&fill(b)))
    }

    /// The engine that would end the request first, among a few free ones.
    fn choose_engine(&mut self, seq: RequestSeq, ix: PoolIx, kept: Option<EngineIx>) -> Option<EngineIx> {
        let pool = self.fleet.pool(ix);
        let AnyJob::Queued(job) = self.jobs.get(&seq)? else {
            return None;
        };
        if job.core.isolate && self.poison.is_running(job.core.request.content) {
            return None;
        }
        let free = pool.free.len();
        let start = if free > SAMPLES {
            self.rng.random_range(0..free)
        } else {
            0
        };
        let sampled = (0..free.min(SAMPLES)).map(|step| pool.free[(start + step) % free]);
        let holders = self.affinity.holders(job.core.request.prefix).iter().copied();
        let previous = job.core.previous.map(|(engine, _)| engine);
        let near = holders
            .chain(previous)
            .filter(|engine| self.fleet.engine(*engine).pool == ix);
        let all = near.chain(sampled).filter(|engine| Some(*engine) != kept);
        let scored = all.filter_map(|engine| Some((self.score(&job.core, engine, ix)?, engine)));
        scored
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
            .map(|(_, engine)| engine)
    }

    /// The time until a free engine would end the request; none if it must not have it.
    fn score(&self, core: &Core, ix: EngineIx, pool_ix: PoolIx) -> Option<f64> {
        let engine = self.fleet.engine(ix);
        let cost = self.fleet.pool(pool_ix).speeds.millis_for(core.mean_work());
        let length = self.fleet.pool(pool_ix).length(cost);
        // Room is left to higher tiers only while they have work here.
        let rank = match core.request.tier {
            tier if self.fleet.pool(pool_ix).serves_above(tier) => tier,
            _ => Tier::HIGHEST,
        };
        let is_free = engine.has_slot_for(length, rank) && !engine.is_prefill_full();
        is_free
            .then(|| self.score_busy(core, ix, pool_ix, Fit::Likely))
            .flatten()
    }

    /// The same, for an engine whose slots do not count.
    pub(crate) fn score_busy(&self, core: &Core, ix: EngineIx, pool_ix: PoolIx, fit: Fit) -> Option<f64> {
        let engine = self.fleet.engine(ix);
        let pool = self.fleet.pool(pool_ix);
        if core.isolate && engine.suspects > 0 {
            return None;
        }
        let cached = self.cached_tokens(core, ix);
        let millis_for = |mut work: Work| {
            work.prefill = (work.prefill - cached).max(0.0);
            engine.millis_for(self.now, work, &pool.speeds)
        };
        let left = self.time_left(core);
        let needed = match fit {
            // A request that came with little time is not held to what most of its kind need.
            Fit::Likely if pool.speeds.millis_for(core.most_work()) > left => core.likely_work(),
            Fit::Likely => core.most_work(),
            Fit::Possible => core.least_work(),
        };
        if pool.knows_speeds() && millis_for(needed) > left {
            return None;
        }
        let millis = millis_for(core.median_work());
        // The engine on which it failed is taken only when there is nothing better.
        let avoided = core.avoid == Some(ix) && pool.live > 1;
        Some(if avoided { millis + left } else { millis })
    }

    /// The time until the deadline, in milliseconds.
    pub(crate) fn time_left(&self, core: &Core) -> f64 {
        core.request.deadline.since(self.now).0 as f64
    }

    /// Prompt tokens that the engine probably need not read again.
    fn cached_tokens(&self, core: &Core, ix: EngineIx) -> f64 {
        let resumes_there = core.previous.is_some_and(|(engine, _)| engine == ix);
        if resumes_there && core.avoid != Some(ix) {
            return f64::from(core.prompt().0);
        }
        if self.affinity.holds(ix, core.request.prefix) {
            return f64::from(core.request.prefix_tokens.0);
        }
        0.0
    }

    /// Sends a queued request to an engine.
    pub(crate) fn dispatch(&mut self, seq: RequestSeq, ix: EngineIx, actions: &mut Vec<Action>) {
        let Some(job) = self.take_queued(seq) else {
            return;
        };
        let attempt = self.next_attempt;
        self.next_attempt = attempt.next();
        let cached = self.cached_tokens(&job.core, ix);
        let uncached = (f64::from(job.core.prompt().0) - cached).max(0.0);
        let pool_ix = job.state.pool;
        let pool = self.fleet.pool_mut(pool_ix);
        let entitled = pool.entitlement(job.core.part);
        pool.queue.charge(self.now, &job.state.ticket, entitled);
        let length = pool.length(job.state.ticket.cost);
        pool.on_dispatch(job.state.ticket.cost);
        pool.running
            .entry(job.core.request.tier)
            .or_default()
            .insert(attempt);
        let engine = self.fleet.engine_mut(ix);
        engine.running.insert(attempt);
        engine.long_running += u32::from(length == Length::Long);
        engine.prefill_ahead += uncached;
        engine.suspects += u32::from(job.core.isolate);
        let running = Running {
            attempt,
            engine: ix,
            pool: pool_ix,
            started: self.now,
            length,
            first_token: None,
            last_token: self.now,
            uncached,
            prefill_ahead: engine.prefill_ahead,
            sampled: (self.now, job.core.request.delivered),
        };
        if job.core.tries == 0 {
            self.budget.on_first_attempt();
        }
        self.fleet.refresh(ix);
        self.poison.set_running(job.core.request.content, true);
        if job.core.request.prefix_tokens > Tokens(0) {
            self.affinity.add(ix, job.core.request.prefix);
        }
        let import_from = self.import_source(&job.core, ix);
        let core = &job.core.request;
        actions.push(Action::Dispatch {
            attempt,
            request: seq,
            engine: self.fleet.engine(ix).name.clone(),
            version: core.version.clone(),
            resume_offset: core.delivered,
            import_from,
        });
        let due = core.deadline.min(self.now + self.first_token_timeout(&job.core));
        self.timers.set(due, Due::Attempt(attempt));
        self.attempts.insert(attempt, seq);
        self.jobs.insert(seq, AnyJob::Running(job.start(running)));
    }

    /// The earlier attempt whose prefilled state its engine may still export.
    fn import_source(
        &self,
        core: &Core,
        to: EngineIx,
    ) -> Option<(carawayseam_types::EngineId, carawayseam_types::AttemptId)> {
        let (from, attempt) = core.previous?;
        let engine = self.fleet.engine(from);
        let lost = matches!(
            core.failure,
            Some(AttemptFailure::ConnectionLost | AttemptFailure::NotSent)
        );
        let can_export = from != to && !lost && engine.standing != crate::EngineStanding::Gone;
        can_export.then(|| (engine.name.clone(), attempt))
    }

    /// How long a first token may take; an unrepeatable call gains nothing from an early end.
    pub(crate) fn first_token_timeout(&self, core: &Core) -> Millis {
        match &self.document {
            Some(document) if core.request.idempotent => document.limits.first_token_timeout,
            _ => Millis::MAX,
        }
    }

    pub(crate) fn is_suspect(&self, core: &Core) -> bool {
        self.poison.trust(core.request.content) != Trust::Clean
    }
}
