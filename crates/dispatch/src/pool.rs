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
        let mut score = pace.first_event_ms(ahead + f64::from(own));
        // Each running request slows all others a little; spread them where nothing else decides.
        score += f64::from(engine.used(now)) / f64::from(capacity(engine).max(1)) * pace.base_ms;
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

/// The requests that a server is given at once by all hosts.
fn capacity(engine: &Engine) -> u32 {
    engine.entry.slots + QUEUED_AT_ENGINE
}
