//! The servers of one backend, and the requests that wait for one of them.

use carawayseam_types::{EngineId, Millis, Tier, ZoneId};
use rand::RngExt;
use rand::rngs::StdRng;

use crate::dispatcher::{Job, Ticket};
use crate::engine::Engine;
use crate::speed::Pace;

/// What a server in another availability zone must be better by, in milliseconds.
const OTHER_ZONE_MS: f64 = 25.0;
/// What a server counts that fails each request, in milliseconds.
const FAILING_MS: f64 = 3_000.0;
/// What a server counts that the request was sent to before, in milliseconds.
const TRIED_MS: f64 = 100_000.0;
/// The part of a request's whole time on a server that counts: a slot it holds is not another's.
const OCCUPANCY_PART: f64 = 0.03;
/// Estimates are multiplied by this before they are compared with an objective.
const CAUTION: f64 = 1.25;
/// What a missed objective counts beside the time by which it is missed, in milliseconds.
const LATE_MS: f64 = 150.0;
/// What a server counts that would hardly finish in time, in milliseconds.
const UNFINISHED_MS: f64 = 1_000.0;
/// Prompt tokens that a server reads between two tokens of other requests.
const READ_AT_ONCE: f64 = 2_048.0;
/// What each request counts whose events would come too far apart, in milliseconds.
const PAUSED_MS: f64 = 40.0;
/// Servers this much worse than the best are as good, in milliseconds.
const AS_GOOD_MS: f64 = 4.0;
/// Requests sent to a server beyond those that it runs at once.
const QUEUED_AT_ENGINE: u32 = 0;

#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) job: Job,
}

/// The order of work: what can still be in time, by tier, the most pressing first.
type Rank = (bool, Tier, Millis, Ticket);

#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) engines: Vec<Engine>,
    pub(crate) waiting: Vec<Waiting>,
    pub(crate) usual: Pace,
    /// Requests of each tier that wait at peers.
    pub(crate) peers_waiting: Vec<(Tier, u32)>,
}

impl Pool {
    pub(crate) fn new() -> Self {
        Self {
            engines: Vec::new(),
            waiting: Vec::new(),
            usual: Pace::ASSUMED,
            peers_waiting: Vec::new(),
        }
    }

    pub(crate) fn engine_mut(&mut self, id: &EngineId) -> Option<&mut Engine> {
        self.engines.iter_mut().find(|engine| engine.entry.id == *id)
    }

    /// Takes the next request that can start, with its server's place.
    pub(crate) fn next(&mut self, now: Millis, zone: &ZoneId, rng: &mut StdRng) -> Option<(Waiting, usize)> {
        let best = self.best_wait();
        let mut order: Vec<(Rank, usize)> = self
            .waiting
            .iter()
            .enumerate()
            .map(|(ix, waiting)| (self.rank(now, waiting, best), ix))
            .collect();
        order.sort_unstable();
        let free = self.free(now);
        for ((_, tier, _, _), ix) in order {
            if free <= self.waiting_above(tier) {
                return None;
            }
            let job = &self.waiting[ix].job;
            if let Some(engine) = self.choose(now, job, zone, rng) {
                return Some((self.waiting.swap_remove(ix), engine));
            }
        }
        None
    }

    /// The shortest time to a first event that any server offers, without its load.
    fn best_wait(&self) -> Pace {
        let mut best = self.usual;
        for engine in &self.engines {
            let pace = engine.speed.pace(Millis::ZERO, &self.usual);
            best.token_ms = best.token_ms.min(pace.token_ms);
            best.base_ms = best.base_ms.min(pace.base_ms);
        }
        best
    }

    fn rank(&self, now: Millis, waiting: &Waiting, best: Pace) -> Rank {
        let job = &waiting.job;
        let needed = best.first_event_ms(f64::from(job.prompt));
        let is_late = now + Millis(needed as u64) > job.objective;
        (is_late, job.tier, job.objective, waiting.ticket)
    }

    /// Requests that the servers could start at once.
    pub(crate) fn free(&self, now: Millis) -> u32 {
        let usable = self.engines.iter().filter(|engine| engine.takes_work(now));
        usable
            .map(|engine| capacity(engine).saturating_sub(engine.used(now)))
            .sum()
    }

    /// Requests of higher tiers that wait at peers.
    fn waiting_above(&self, tier: Tier) -> u32 {
        let above = self
            .peers_waiting
            .iter()
            .filter(|(other, _)| other.outranks(tier));
        above.map(|(_, count)| *count).sum()
    }

    fn choose(&self, now: Millis, job: &Job, zone: &ZoneId, rng: &mut StdRng) -> Option<usize> {
        let usable = |engine: &Engine| {
            let version_fits = job
                .version
                .as_ref()
                .is_none_or(|wanted| *wanted == engine.entry.version);
            version_fits && engine.takes_work(now) && engine.used(now) < capacity(engine)
        };
        let scored: Vec<(f64, usize)> = self
            .engines
            .iter()
            .enumerate()
            .filter(|(_, engine)| usable(engine))
            .map(|(ix, engine)| (self.score(now, job, zone, engine), ix))
            .collect();
        let best = scored.iter().map(|(score, _)| *score).min_by(f64::total_cmp)?;
        let as_good = scored.iter().filter(|(score, _)| *score <= best + AS_GOOD_MS);
        let count = as_good.clone().count();
        let pick = rng.random_range(0..count);
        as_good.skip(pick).map(|(_, ix)| *ix).next()
    }

    /// The expected time to the first event on a server, with what speaks against it.
    fn score(&self, now: Millis, job: &Job, zone: &ZoneId, engine: &Engine) -> f64 {
        let pace = engine.speed.pace(now, &self.usual);
        let ahead = engine.prompt_ahead + f64::from(engine.peer_load(now).prompt_ahead);
        let own = job.prompt.saturating_sub(engine.kept_tokens(&job.parts));
        let own = f64::from(own);
        let first_event_ms = pace.first_event_ms(ahead + own);
        let used = f64::from(engine.used(now));
        let whole_ms = f64::from(job.events).mul_add(pace.event_ms, first_event_ms);
        let mut score = whole_ms.mul_add(OCCUPANCY_PART, first_event_ms);
        let lateness = first_event_ms * CAUTION - job.objective.since(now).0 as f64;
        if lateness > 0.0 {
            score += lateness + LATE_MS;
        }
        if whole_ms * CAUTION > job.deadline.since(now).0 as f64 {
            score += UNFINISHED_MS;
        }
        score += used * pause_cost(job, pace, ahead, own);
        // Each running request slows all others a little; spread them where nothing else decides.
        score += used / f64::from(capacity(engine).max(1)) * pace.base_ms;
        if engine.entry.zone != *zone {
            score += OTHER_ZONE_MS;
        }
        score += engine.failure_share(now).powi(2) * FAILING_MS;
        if job.tried.contains(&engine.entry.id) {
            score += TRIED_MS;
        }
        score
    }
}

/// What a request running beside the new one loses by the reading of its prompt.
fn pause_cost(job: &Job, pace: Pace, ahead: f64, own: f64) -> f64 {
    let Some(objective) = job.gap_objective else {
        return 0.0;
    };
    let read_between_events = READ_AT_ONCE * f64::from(job.tokens_per_event);
    let pause = |tokens: f64| tokens.min(read_between_events).mul_add(pace.token_ms, pace.event_ms);
    let objective = objective.0 as f64;
    let is_long = pause(ahead + own) > objective;
    if is_long && own > READ_AT_ONCE { PAUSED_MS } else { 0.0 }
}

/// The requests that a server is given at once by all hosts.
fn capacity(engine: &Engine) -> u32 {
    engine.entry.slots + QUEUED_AT_ENGINE
}
