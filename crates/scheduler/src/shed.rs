//! Makes room for higher tiers, and gives refused requests their final answer.

use std::collections::BTreeSet;

use carawayseam_types::{AttemptId, Millis, NotRunReason, Refusal, RequestSeq, Tier, UnknownReason};
use rand::RngExt;

use crate::dispatch::Fit;
use crate::index::{EngineIx, PoolIx};
use crate::job::{AnyJob, Core, Job, Running};
use crate::pool::{PoolKey, RemoteLoad};
use crate::scheduler::Scheduler;
use crate::{Action, AttemptFailure};

/// Running attempts compared when one has to make room.
const VICTIMS: usize = 16;
/// Engines compared in each pool of another host.
const LENDERS: usize = 8;
/// Requests sent to another host's engines between two of its announcements.
const MAX_BORROWED: u32 = 16;
/// A request that had to make room more often is given up; its prefill would be wasted again.
const MAX_PREEMPTED: u32 = 1;
/// The least and the longest time after which a refused caller may come back.
const COME_BACK_MS: (f64, f64) = (1_000.0, 30_000.0);
/// Clients are spread over this part of the time to come back, to both sides.
const SPREAD: f64 = 0.5;
/// Another host answers at once when this one stops.
const STOPPING_COME_BACK_MS: f64 = 200.0;

/// When a request may go to the engines of another host's pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Borrow {
    /// The request cannot be forwarded, and has no engines here.
    Any,
    /// Only where lower work is kept.
    BeforeLower,
}

impl Scheduler {
    /// A queued request can hardly wait longer: lower work has to make room for it soon.
    pub(crate) fn on_urgent(&mut self, seq: RequestSeq, actions: &mut Vec<Action>) {
        let Some(AnyJob::Queued(job)) = self.jobs.get(&seq) else {
            return;
        };
        let pool = job.state.pool;
        self.pump(pool, actions);
        let Some(AnyJob::Queued(job)) = self.jobs.get(&seq) else {
            return;
        };
        let tier = job.core.request.tier;
        let could_run = self.could_run(&job.core, pool);
        if self.make_room(seq, actions) || self.borrow(seq, Borrow::BeforeLower, actions) {
            return;
        }
        if could_run {
            // Peers need a moment to hear that lower work has to go.
            self.clear_below(pool, tier, actions);
        }
    }

    /// Whether some engine of the pool would end the request in time, if it were given room.
    fn could_run(&self, core: &Core, pool: PoolIx) -> bool {
        let engines = self.fleet.pool(pool).engines.iter().take(LENDERS);
        let up = engines.filter(|ix| self.fleet.engine(**ix).slots() > 0);
        up.copied()
            .any(|ix| self.score_busy(core, ix, pool, Fit::Possible).is_some())
    }

    /// A queued request would miss its deadline if it waited longer.
    pub(crate) fn on_too_late(&mut self, seq: RequestSeq, actions: &mut Vec<Action>) {
        if matches!(self.jobs.get(&seq), Some(AnyJob::Queued(_))) {
            self.rescue(seq, actions);
        }
    }

    /// Starts a queued request at the cost of lower work, or refuses it and what ranks below it.
    pub(crate) fn rescue(&mut self, seq: RequestSeq, actions: &mut Vec<Action>) {
        if self.make_room(seq, actions) || self.borrow(seq, Borrow::BeforeLower, actions) {
            return;
        }
        let Some(job) = self.take_queued(seq) else {
            return;
        };
        let pool = job.state.pool;
        if self.could_run(&job.core, pool) {
            self.clear_below(pool, job.core.request.tier, actions);
            self.refuse(&job.core, NotRunReason::Shed, actions);
        } else {
            self.refuse(&job.core, NotRunReason::DeadlineUnreachable, actions);
        }
    }

    /// A tier has to be refused here, or nearly so: nothing below it is kept.
    pub(crate) fn clear_below(&mut self, pool: PoolIx, tier: Tier, actions: &mut Vec<Action>) {
        let now = self.now;
        self.fleet.pool_mut(pool).note_refused(now, tier);
        self.evict_everywhere(pool, tier, actions);
    }

    /// Gives up what ranks below a tier in all zones, as far as this host keeps it.
    pub(crate) fn evict_everywhere(&mut self, pool: PoolIx, tier: Tier, actions: &mut Vec<Action>) {
        let key = self.fleet.pool(pool).key.clone();
        for pool in self.fleet.group(&key.backend, &key.version).to_vec() {
            self.evict_below(pool, tier, actions);
        }
        self.evict_held(&key, tier, actions);
    }

    fn evict_held(&mut self, key: &PoolKey, tier: Tier, actions: &mut Vec<Action>) {
        let is_lower = |seq: &&RequestSeq| {
            let request = self.jobs.get(seq).map(|job| &job.core().request);
            request.is_some_and(|request| {
                let same = request.backend == key.backend && request.version == key.version;
                same && tier.outranks(request.tier)
            })
        };
        let lower: Vec<RequestSeq> = self.held.iter().filter(is_lower).copied().collect();
        for seq in lower {
            if let Some(core) = self.take_held(seq) {
                self.refuse(&core, NotRunReason::Shed, actions);
            }
        }
    }

    /// Gives up what waits or runs below a tier, but for calls that must not be cut.
    fn evict_below(&mut self, pool: PoolIx, tier: Tier, actions: &mut Vec<Action>) {
        for lower in self.fleet.pool(pool).queue.below(tier) {
            if let Some(job) = self.take_queued(lower) {
                self.refuse(&job.core, NotRunReason::Shed, actions);
            }
        }
        let running = self.fleet.pool(pool).running.iter();
        let lower = running.filter(|(other, _)| tier.outranks(**other));
        let attempts: Vec<AttemptId> = lower.flat_map(|(_, attempts)| attempts.iter().copied()).collect();
        for attempt in attempts {
            let may_end = self
                .running(attempt)
                .is_some_and(|job| job.core.request.idempotent);
            let ended = may_end.then(|| self.cancel_attempt(attempt, actions)).flatten();
            if let Some(mut job) = ended {
                job.core.maybe_sent = true;
                self.refuse(&job.core, NotRunReason::Shed, actions);
            }
        }
    }

    /// Sends a queued request to an engine of another host's pool.
    ///
    /// Such an engine is over-admitted for a moment; its owner sees that in the reports.
    pub(crate) fn borrow(&mut self, seq: RequestSeq, when: Borrow, actions: &mut Vec<Action>) -> bool {
        let Some((lender, engine)) = self.choose_lender(seq, when) else {
            return false;
        };
        let lender = self.fleet.pool_mut(lender);
        let owner = lender.owner.clone();
        if let Some(remote) = owner.and_then(|owner| lender.remote.get_mut(&owner)) {
            remote.borrowed += 1;
        }
        self.dispatch(seq, engine, actions);
        true
    }

    fn choose_lender(&self, seq: RequestSeq, when: Borrow) -> Option<(PoolIx, EngineIx)> {
        let Some(AnyJob::Queued(job)) = self.jobs.get(&seq) else {
            return None;
        };
        let core = &job.core;
        let group = self.fleet.group(&core.request.backend, &core.request.version);
        let lenders = group
            .iter()
            .copied()
            .filter(|ix| self.may_borrow(core, *ix, when));
        let engines = lenders.flat_map(|ix| {
            let engines = &self.fleet.pool(ix).engines;
            let skip = seq.0 as usize % engines.len().max(1);
            let sampled = engines.iter().cycle().skip(skip).take(engines.len().min(LENDERS));
            sampled.map(move |engine| (ix, *engine))
        });
        let usable = engines.filter(|(_, engine)| {
            let engine = self.fleet.engine(*engine);
            engine.slots() > 0 && engine.used() < engine.limit.max()
        });
        let scored = usable.filter_map(|(ix, engine)| {
            let score = self.score_busy(core, engine, ix, Fit::Possible)?;
            Some((score, ix, engine))
        });
        let best = scored.min_by(|(a, ..), (b, ..)| a.total_cmp(b));
        best.map(|(_, ix, engine)| (ix, engine))
    }

    fn may_borrow(&self, core: &Core, ix: PoolIx, when: Borrow) -> bool {
        let pool = self.fleet.pool(ix);
        let tier = core.request.tier;
        let lower = |remote: &RemoteLoad| remote.keeps_below(tier) && remote.borrowed < MAX_BORROWED;
        match when {
            _ if pool.owner.is_none() || pool.live == 0 => false,
            Borrow::Any => true,
            Borrow::BeforeLower => pool.owner_load(self.now).is_some_and(lower),
        }
    }

    /// Cancels running lower work and starts the request in its place.
    fn make_room(&mut self, seq: RequestSeq, actions: &mut Vec<Action>) -> bool {
        let Some(AnyJob::Queued(job)) = self.jobs.get(&seq) else {
            return false;
        };
        let core = &job.core;
        let group = self.fleet.group(&core.request.backend, &core.request.version);
        let mut victims = group.iter().filter_map(|pool| self.choose_victim(core, *pool));
        let Some((attempt, engine)) = victims.next() else {
            return false;
        };
        let victim = self.cancel_attempt(attempt, actions);
        self.dispatch(seq, engine, actions);
        if let Some(mut victim) = victim {
            victim.core.maybe_sent = true;
            victim.core.preempted += 1;
            self.resume_preempted(victim.core, actions);
        }
        true
    }

    fn resume_preempted(&mut self, core: Box<Core>, actions: &mut Vec<Action>) {
        if core.preempted > MAX_PREEMPTED {
            self.refuse(&core, NotRunReason::Shed, actions);
        } else {
            self.run_again(core, actions);
        }
    }

    /// The running attempt of the lowest tier whose end wastes least.
    fn choose_victim(&self, core: &Core, pool: PoolIx) -> Option<(AttemptId, EngineIx)> {
        let tiers = self.fleet.pool(pool).running.iter().rev();
        let lower = tiers.take_while(|(tier, _)| core.request.tier.outranks(**tier));
        let pick = |attempts: &BTreeSet<AttemptId>| {
            let newest = attempts.iter().rev().filter_map(|attempt| self.running(*attempt));
            let fits = |job: &&Job<Running>| {
                let engine = job.state.engine;
                let is_up = self.fleet.engine(engine).slots() > 0;
                job.core.request.idempotent
                    && is_up
                    && self.score_busy(core, engine, pool, Fit::Possible).is_some()
            };
            let least = newest
                .filter(fits)
                .take(VICTIMS)
                .min_by(|a, b| waste(a).total_cmp(&waste(b)));
            least.map(|job| (job.state.attempt, job.state.engine))
        };
        lower.map(|(_, attempts)| attempts).find_map(pick)
    }

    /// Whether a higher tier had to be refused lately, here or by a peer.
    pub(crate) fn is_shed(&self, core: &Core) -> bool {
        let now = self.now;
        let group = self.fleet.group(&core.request.backend, &core.request.version);
        let mut refused = group.iter().flat_map(|ix| {
            let pool = self.fleet.pool(*ix);
            let peers = pool.fresh_loads(now).map(|remote| remote.load.refused);
            peers.chain([pool.refused_tier(now)])
        });
        refused.any(|tier| tier.is_some_and(|tier| tier.outranks(core.request.tier)))
    }

    /// Gives a request its final answer: not run if that is certain, else given up.
    pub(crate) fn refuse(&mut self, core: &Core, reason: NotRunReason, actions: &mut Vec<Action>) {
        let retry_after = self.come_back(core, reason);
        let request = core.request.seq;
        actions.push(if core.maybe_sent {
            let reason = unknown_reason(core, reason);
            Action::Abandon {
                request,
                reason,
                retry_after,
            }
        } else {
            let refusal = Refusal { reason, retry_after };
            Action::Refuse { request, refusal }
        });
    }

    /// When the caller may come back, spread so that callers do not return together.
    fn come_back(&mut self, core: &Core, reason: NotRunReason) -> Option<Millis> {
        let base = match reason {
            NotRunReason::Poison | NotRunReason::CallerGone => return None,
            NotRunReason::Stopping => STOPPING_COME_BACK_MS,
            _ => self.expected_wait(core).clamp(COME_BACK_MS.0, COME_BACK_MS.1),
        };
        let factor = self.rng.random_range(1.0 - SPREAD..1.0 + SPREAD);
        Some(Millis((base * factor) as u64))
    }

    fn expected_wait(&self, core: &Core) -> f64 {
        let group = self.fleet.group(&core.request.backend, &core.request.version);
        let pools = group.iter().map(|ix| (*ix, self.fleet.pool(*ix)));
        let owned = pools.filter(|(_, pool)| pool.capacity > 0.0 && pool.owner.is_none());
        let waits = owned.map(|(ix, pool)| pool.wait_ms(self.now, &self.ticket(core, ix), core.part));
        waits.reduce(f64::min).unwrap_or(COME_BACK_MS.0)
    }
}

/// Tokens that an attempt computed and that its end may lose.
fn waste(job: &Job<Running>) -> f64 {
    job.state.uncached + f64::from(job.core.request.delivered.0)
}

fn unknown_reason(core: &Core, reason: NotRunReason) -> UnknownReason {
    match core.failure {
        _ if core.request.delivered.0 > 0 => UnknownReason::StreamCut,
        Some(AttemptFailure::EngineFailed) => UnknownReason::EngineFailed,
        Some(AttemptFailure::Silent | AttemptFailure::DeadlinePassed) => UnknownReason::TimedOut,
        Some(AttemptFailure::ConnectionLost) => UnknownReason::ConnectionLost,
        _ if reason == NotRunReason::DeadlineUnreachable => UnknownReason::TimedOut,
        _ => UnknownReason::StreamCut,
    }
}
