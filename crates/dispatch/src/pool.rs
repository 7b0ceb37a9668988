//! The servers of one backend, and the requests that wait for one of them.

use std::collections::BTreeMap;

use carawayseam_types::{EngineId, Millis, Tier, ZoneId};
use rand::RngExt;
use rand::rngs::StdRng;

use crate::engine::Engine;
use crate::job::{Job, Ticket};
use crate::peer_loads::PeerLoads;
use crate::speed::Pace;

/// What a server in another availability zone must be better by, in milliseconds.
const OTHER_ZONE_MS: f64 = 25.0;
/// What a server counts that fails each request, in milliseconds.
const FAILING_MS: f64 = 3_000.0;
/// What a server counts that the request was sent to before, in milliseconds.
const TRIED_MS: f64 = 100_000.0;
/// The part of a request's whole time on a server that counts: a slot it holds is not another's.
const OCCUPANCY_PART: f64 = 0.01;
/// Estimates are multiplied by this before they are compared with an objective.
const CAUTION: f64 = 1.25;
/// What a missed objective counts beside the time by which it is missed, in milliseconds.
const LATE_MS: f64 = 150.0;
/// The part of its likely length by which a request yields to others of its tier: a slot that
/// serves two short ones serves more callers than one that serves a long one.
const LENGTH_PART: f64 = 0.4;
/// The part of all slots that requests leave free which are late already.
const KEPT_FROM_LATE: f64 = 0.12;
/// The time over which starts are averaged, in milliseconds.
const START_SPAN_MS: f64 = 1_000.0;
/// Starts in that time that are assumed at least.
const LEAST_STARTS: f64 = 4.0;
/// An answer may be this much longer than is likely.
const LONGER_THAN_LIKELY: f64 = 2.5;
/// Prompt tokens that a server reads between two tokens of other requests.
const READ_AT_ONCE: f64 = 2_048.0;
/// Servers this much worse than the best are as good, in milliseconds.
const AS_GOOD_MS: f64 = 4.0;
/// Plain requests sent to a server for each that it runs at once: what peers announce of them is over
/// before it is heard, and one that waits at the server waits less than for the next announcement.
const PLAIN_PER_SLOT: u32 = 2;

#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) job: Job,
}

/// What a host knows beside its own requests.
pub(crate) struct View<'a> {
    pub(crate) now: Millis,
    pub(crate) zone: &'a ZoneId,
    pub(crate) peers: &'a PeerLoads,
    /// Requests of each tier that wait at peers.
    pub(crate) peers_waiting: Vec<(Tier, u32)>,
}

impl View<'_> {
    /// Requests of higher tiers that wait at peers.
    fn waiting_above(&self, tier: Tier) -> u32 {
        let above = self
            .peers_waiting
            .iter()
            .filter(|(other, _)| other.outranks(tier));
        above.map(|(_, count)| *count).sum()
    }
}

/// The order of work: what can still be in time, by tier, the most pressing first.
type Rank = (bool, Tier, Millis, Ticket);

#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) engines: Vec<Engine>,
    pub(crate) waiting: Vec<Waiting>,
    pub(crate) usual: Pace,
    /// How often requests of each tier start here.
    starts: BTreeMap<Tier, StartRate>,
}

/// How often requests of a tier start, averaged over the last while.
#[derive(Debug, Default)]
struct StartRate {
    weight: f64,
    at: Millis,
}

impl StartRate {
    fn count(&mut self, now: Millis) {
        self.weight = self.weight(now) + 1.0;
        self.at = now;
    }

    fn weight(&self, now: Millis) -> f64 {
        self.weight * (-(now.since(self.at).0 as f64) / START_SPAN_MS).exp()
    }

    /// The time between two starts, in milliseconds.
    fn gap_ms(&self, now: Millis) -> f64 {
        START_SPAN_MS / self.weight(now).max(LEAST_STARTS)
    }
}

impl Pool {
    pub(crate) fn new() -> Self {
        Self {
            engines: Vec::new(),
            waiting: Vec::new(),
            usual: Pace::ASSUMED,
            starts: BTreeMap::new(),
        }
    }

    /// The time that the last request of a tier has to wait, by what started lately.
    pub(crate) fn expected_wait(&self, now: Millis, tier: Tier) -> Millis {
        let in_time = |waiting: &&Waiting| waiting.job.tier == tier && now < waiting.job.objective;
        let ahead = self.waiting.iter().filter(in_time).count().saturating_sub(1);
        let gap_ms = self
            .starts
            .get(&tier)
            .map_or(START_SPAN_MS, |rate| rate.gap_ms(now));
        Millis((ahead as f64 * gap_ms) as u64)
    }

    /// Notes that a request of a tier started.
    pub(crate) fn count_start(&mut self, now: Millis, tier: Tier) {
        self.starts.entry(tier).or_default().count(now);
    }

    /// Notes that a request of a tier did not start after all.
    pub(crate) fn uncount_start(&mut self, tier: Tier) {
        if let Some(rate) = self.starts.get_mut(&tier) {
            rate.weight = (rate.weight - 1.0).max(0.0);
        }
    }

    /// When the first server opens again; none unless all that can work are closed to this host.
    pub(crate) fn reopens_at(&self, now: Millis) -> Option<Millis> {
        let working = self.engines.iter().filter(|engine| engine.can_work());
        let closed = working.map(|engine| engine.closed_until(now));
        // One that is open makes the whole `None`.
        let closed: Option<Vec<Millis>> = closed.collect();
        closed?.into_iter().min()
    }

    /// Takes the requests that need not wait if no server opens before `reopens_at`.
    pub(crate) fn take_hopeless(&mut self, reopens_at: Millis) -> Vec<Waiting> {
        let is_hopeless = |waiting: &mut Waiting| waiting.job.waits_until() <= reopens_at;
        self.waiting.extract_if(.., is_hopeless).collect()
    }

    pub(crate) fn engine_mut(&mut self, id: &EngineId) -> Option<&mut Engine> {
        self.engines.iter_mut().find(|engine| engine.entry.id == *id)
    }

    /// Takes the next request that can start, with its server's place.
    pub(crate) fn next(&mut self, view: &View<'_>, rng: &mut StdRng) -> Option<(Waiting, usize)> {
        if self.waiting.is_empty() {
            return None;
        }
        let now = view.now;
        let candidates = self.candidates(view);
        let free: u32 = candidates.iter().map(|candidate| candidate.free).sum();
        if free == 0 {
            return None;
        }
        let best = best_pace(&candidates, self.usual);
        let mut order: Vec<(Rank, usize)> = self
            .waiting
            .iter()
            .enumerate()
            .map(|(ix, waiting)| (rank(now, waiting, best), ix))
            .collect();
        order.sort_unstable();
        let kept_free = kept_free(&candidates);
        for ((is_late, tier, _, _), ix) in order {
            let kept = if is_late { kept_free } else { 0 };
            if free <= view.waiting_above(tier) + kept {
                return None;
            }
            if let Some(engine) = self.choose(now, &self.waiting[ix].job, &candidates, rng) {
                return Some((self.waiting.swap_remove(ix), engine));
            }
        }
        None
    }

    /// The servers that take work, with or without a free slot.
    fn candidates(&self, view: &View<'_>) -> Vec<Candidate> {
        let now = view.now;
        let per_slot = if self.is_plain() { PLAIN_PER_SLOT } else { 1 };
        let engines = self.engines.iter().enumerate();
        engines
            .filter(|(_, engine)| engine.takes_work(now))
            .map(|(ix, engine)| {
                let peers = view.peers.at(engine.key);
                let used = engine.running + peers.running;
                let capacity = engine.entry.slots * per_slot;
                Candidate {
                    ix,
                    pace: engine.speed.pace(now, &self.usual),
                    ahead: engine.prompt_ahead + f64::from(peers.prompt_ahead),
                    used: f64::from(used),
                    capacity,
                    free: capacity.saturating_sub(used),
                    failing_ms: engine.failure_share(now).powi(2) * FAILING_MS,
                    distance_ms: if engine.entry.zone == *view.zone {
                        0.0
                    } else {
                        OTHER_ZONE_MS
                    },
                }
            })
            .collect()
    }

    /// Whether the requests have no prompts to read.
    fn is_plain(&self) -> bool {
        self.waiting.iter().all(|waiting| waiting.job.prompt == 0)
    }

    /// The best server with a free slot; none if it is better to wait for another.
    fn choose(&self, now: Millis, job: &Job, candidates: &[Candidate], rng: &mut StdRng) -> Option<usize> {
        let version_fits = |candidate: &&Candidate| {
            let entry = &self.engines[candidate.ix].entry;
            job.version.allows(&entry.version)
        };
        let fitting = candidates.iter().filter(version_fits);
        let any_suits = fitting.clone().any(|candidate| candidate.suits(now, job));
        let scored: Vec<(f64, usize)> = fitting
            .filter(|candidate| candidate.free > 0)
            .filter(|candidate| !any_suits || candidate.suits(now, job))
            .map(|candidate| (self.score(now, job, candidate), candidate.ix))
            .collect();
        let best = scored.iter().map(|(score, _)| *score).min_by(f64::total_cmp)?;
        let as_good = scored.iter().filter(|(score, _)| *score <= best + AS_GOOD_MS);
        let count = as_good.clone().count();
        let pick = rng.random_range(0..count);
        as_good.skip(pick).map(|(_, ix)| *ix).next()
    }

    /// The expected time to the first event on a server, with what speaks against it.
    fn score(&self, now: Millis, job: &Job, candidate: &Candidate) -> f64 {
        let engine = &self.engines[candidate.ix];
        let pace = candidate.pace;
        let own = f64::from(job.prompt.saturating_sub(engine.kept_tokens(&job.parts)));
        let first_event_ms = pace.first_event_ms(candidate.ahead + own);
        let whole_ms = f64::from(job.expected_events).mul_add(pace.event, first_event_ms);
        let mut score = whole_ms.mul_add(OCCUPANCY_PART, first_event_ms);
        let lateness = first_event_ms * CAUTION - job.objective.since(now).0 as f64;
        if lateness > 0.0 {
            score += lateness + LATE_MS;
        }
        // Each running request slows all others a little; spread them where nothing else decides.
        score += candidate.used / f64::from(engine.entry.slots.max(1)) * pace.base;
        score += candidate.distance_ms + candidate.failing_ms;
        if job.tried.contains(&engine.entry.id) {
            score += TRIED_MS;
        }
        score
    }
}

/// A server that takes work, as it stands now.
struct Candidate {
    ix: usize,
    pace: Pace,
    /// Prompt tokens sent to it whose first event has not come.
    ahead: f64,
    used: f64,
    /// Requests that all hosts give it at once.
    capacity: u32,
    free: u32,
    failing_ms: f64,
    distance_ms: f64,
}

impl Candidate {
    /// Whether the request is served well here and harms no other.
    fn suits(&self, now: Millis, job: &Job) -> bool {
        self.finishes(now, job) && !self.pauses_others(job)
    }

    /// Whether reading the prompt would keep the events of others too far apart.
    fn pauses_others(&self, job: &Job) -> bool {
        let Some(objective) = job.gap_objective else {
            return false;
        };
        let prompt = f64::from(job.prompt);
        let read_between_events = READ_AT_ONCE * f64::from(job.tokens_per_event);
        let read = (self.ahead + prompt).min(read_between_events);
        let pause_ms = read.mul_add(self.pace.token, self.pace.event);
        self.used > 0.0 && prompt > READ_AT_ONCE && pause_ms > objective.0 as f64
    }

    /// Whether the whole answer is likely to come in time.
    fn finishes(&self, now: Millis, job: &Job) -> bool {
        let events = f64::from(job.expected_events) * LONGER_THAN_LIKELY;
        let prompt = f64::from(job.prompt);
        let whole_ms = events.mul_add(self.pace.event, self.pace.first_event_ms(prompt));
        whole_ms <= job.deadline.since(now).0 as f64
    }
}

/// Slots that requests which are late already must leave to those that can be in time.
fn kept_free(candidates: &[Candidate]) -> u32 {
    let slots: u32 = candidates.iter().map(|candidate| candidate.capacity).sum();
    (f64::from(slots) * KEPT_FROM_LATE) as u32
}

/// The best pace that any server offers, without its load.
fn best_pace(candidates: &[Candidate], usual: Pace) -> Pace {
    let mut best = usual;
    for Candidate { pace, .. } in candidates {
        best.token = best.token.min(pace.token);
        best.base = best.base.min(pace.base);
    }
    best
}

fn rank(now: Millis, waiting: &Waiting, best: Pace) -> Rank {
    let job = &waiting.job;
    let needed = best.first_event_ms(f64::from(job.prompt));
    let is_late = now + Millis(needed as u64) > job.objective;
    let length = Millis((f64::from(job.expected_events) * best.event * LENGTH_PART) as u64);
    (is_late, job.tier, job.objective + length, waiting.ticket)
}
