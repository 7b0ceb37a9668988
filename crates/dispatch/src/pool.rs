//! The servers of one backend and the requests waiting for them.

mod reach;

use std::collections::BTreeMap;

use carawayseam_types::{EngineId, Millis, RequestRate, Tier, ZoneId};
use rand::RngExt;
use rand::rngs::StdRng;

use crate::brittle_servers::BrittleServers;
use crate::engine::Engine;
use crate::job::{Job, Ticket};
use crate::peer_loads::PeerLoads;
use crate::speed::Pace;
use reach::BackendReach;

/// Score penalty of a server in another availability zone.
const OTHER_ZONE_PENALTY_MS: f64 = 25.0;
/// Score penalty of a server that is reached through a peer, so that directly reached servers of all zones
/// come first.
const RELAY_PENALTY_MS: f64 = 40.0;
/// Score penalty of a server that fails every request; it grows with the square of the failure share.
const FAILURE_PENALTY_MS: f64 = 3_000.0;
/// Score penalty of a server that may have crashed.
const LOSS_CHECK_PENALTY_MS: f64 = 3_000.0;
/// Score penalty of a server that the request was already sent to.
const TRIED_PENALTY_MS: f64 = 100_000.0;
/// Weight of a request's total time on a server in the score, because no other request can use its slot
/// meanwhile.
const OCCUPANCY_WEIGHT: f64 = 0.01;
/// Factor by which a time estimate is raised before it is compared with an objective.
const ESTIMATE_SAFETY_FACTOR: f64 = 1.25;
/// Score penalty of a missed objective, in addition to the time by which it is missed.
const LATE_PENALTY_MS: f64 = 150.0;
/// Fraction of its expected duration by which a request is ranked behind others of its tier: a slot that
/// serves two short requests serves more callers than one that serves a long request.
const LENGTH_WEIGHT: f64 = 0.4;
/// Fraction of all slots that is reserved for requests that can still meet their objective.
const RESERVED_SLOT_RATIO: f64 = 0.12;
/// Time constant of the exponential average of request starts.
const START_RATE_WINDOW_MS: f64 = 1_000.0;
/// Minimum number of starts assumed in one `START_RATE_WINDOW_MS`.
const MIN_STARTS: f64 = 4.0;
/// Factor by which a response may exceed its expected length.
const LENGTH_SAFETY_FACTOR: f64 = 2.5;
/// Prompt tokens that a server reads between generating two tokens of other requests.
const PREFILL_CHUNK_TOKENS: f64 = 2_048.0;
/// Servers whose score is within this distance of the best are chosen from at random.
const SCORE_TOLERANCE_MS: f64 = 4.0;
/// Plain requests sent to a server per slot. They end before the load that peers announce for them
/// arrives, and waiting at the server is shorter than waiting for the next announcement.
const PLAIN_REQUESTS_PER_SLOT: u32 = 2;
/// Upper bound of the delay after which refused callers return, counted from the time when a server reopens.
const MAX_RETURN_DELAY: Millis = Millis(3_000);

#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) job: Job,
}

/// The time, the zone of this host and the load of its peers, as input to a scheduling decision.
pub(crate) struct SchedulingContext<'a> {
    pub(crate) now: Millis,
    pub(crate) zone: &'a ZoneId,
    pub(crate) peers: &'a PeerLoads,
    pub(crate) brittle_servers: &'a BrittleServers,
    /// Number of requests waiting at peers, by tier.
    pub(crate) peers_waiting: Vec<(Tier, u32)>,
}

impl SchedulingContext<'_> {
    /// Returns the number of requests of higher tiers that wait at peers.
    fn peers_waiting_above(&self, tier: Tier) -> u32 {
        let above = self
            .peers_waiting
            .iter()
            .filter(|(other, _)| other.outranks(tier));
        saturating_sum(above.map(|(_, count)| *count))
    }
}

/// Sort key of waiting requests: those that can still meet their objective first, then by tier, then by
/// objective plus weighted length.
type Rank = (bool, Tier, Millis, Ticket);

#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) engines: Vec<Engine>,
    pub(crate) waiting: Vec<Waiting>,
    pub(crate) baseline: Pace,
    /// Start rate of the requests of each tier.
    starts: BTreeMap<Tier, StartRate>,
    /// When the next refused caller should retry, if rate limits leave no room.
    next_return: Millis,
    reach: BackendReach,
}

/// Exponentially decaying rate at which requests of a tier start.
#[derive(Debug, Default)]
struct StartRate {
    weight: f64,
    at: Millis,
}

impl StartRate {
    fn record(&mut self, now: Millis) {
        self.weight = self.weight(now) + 1.0;
        self.at = now;
    }

    fn weight(&self, now: Millis) -> f64 {
        self.weight * (-(now.since(self.at).0 as f64) / START_RATE_WINDOW_MS).exp()
    }

    /// Returns the average time between two starts.
    fn interval_ms(&self, now: Millis) -> f64 {
        START_RATE_WINDOW_MS / self.weight(now).max(MIN_STARTS)
    }
}

impl Pool {
    pub(crate) fn new() -> Self {
        Self {
            engines: Vec::new(),
            waiting: Vec::new(),
            baseline: Pace::ASSUMED,
            starts: BTreeMap::new(),
            next_return: Millis::ZERO,
            reach: BackendReach::default(),
        }
    }

    /// Returns the expected wait of the last request of a tier, based on the recent start rate.
    pub(crate) fn expected_wait(&self, now: Millis, tier: Tier) -> Millis {
        let in_time = |waiting: &&Waiting| waiting.job.tier == tier && now < waiting.job.objective;
        let requests_ahead = self.waiting.iter().filter(in_time).count().saturating_sub(1);
        let interval_ms = self
            .starts
            .get(&tier)
            .map_or(START_RATE_WINDOW_MS, |rate| rate.interval_ms(now));
        Millis((requests_ahead as f64 * interval_ms) as u64)
    }

    /// Records that a request of a tier started.
    pub(crate) fn record_start(&mut self, now: Millis, tier: Tier) {
        self.starts.entry(tier).or_default().record(now);
    }

    /// Removes the last recorded start of a tier, because the request did not get a slot.
    pub(crate) fn discard_start(&mut self, tier: Tier) {
        if let Some(rate) = self.starts.get_mut(&tier) {
            rate.weight = (rate.weight - 1.0).max(0.0);
        }
    }

    /// Returns when the first server reopens, or `None` unless all working servers are closed to this host.
    pub(crate) fn reopens_at(&self, now: Millis) -> Option<Millis> {
        let working = self.engines.iter().filter(|engine| engine.can_work(now));
        let closed = working.map(|engine| engine.closed_until(now));
        // A single open server turns the result into `None`.
        let closed: Option<Vec<Millis>> = closed.collect();
        closed?.into_iter().min()
    }

    /// Returns this host's share of the interval between two requests that the servers' rate limits admit.
    ///
    /// Returns `None` if a server that can work has no limit.
    pub(crate) fn limited_start_interval(&self, now: Millis, host_count: u32) -> Option<Millis> {
        let working = self.engines.iter().filter(|engine| engine.can_work(now));
        let limits: Option<Vec<RequestRate>> = working.map(Engine::limit).collect();
        let per_second: f64 = limits?.into_iter().map(RequestRate::per_second).sum();
        let interval_ms = f64::from(host_count.max(1)) * 1_000.0 / per_second;
        Some(Millis(interval_ms as u64).min(MAX_RETURN_DELAY))
    }

    /// Returns when the next refused caller should retry, `interval` after the one before.
    pub(crate) fn schedule_return(&mut self, reopens_at: Millis, interval: Millis) -> Millis {
        let at = self.next_return.clamp(reopens_at, reopens_at + MAX_RETURN_DELAY);
        self.next_return = at + interval;
        at
    }

    /// Removes and returns the requests that cannot wait until their turn.
    ///
    /// The first one waits until `reopens_at`, and each further one for `interval` more. Without an interval,
    /// all of them start at `reopens_at`.
    pub(crate) fn take_unservable(
        &mut self,
        now: Millis,
        reopens_at: Millis,
        interval: Option<Millis>,
    ) -> Vec<Waiting> {
        let baseline = self.baseline;
        self.waiting
            .sort_by_cached_key(|waiting| rank(now, waiting, baseline));
        let mut turn = reopens_at;
        let is_unservable = |waiting: &mut Waiting| {
            let is_unservable = waiting.job.waits_until() <= turn;
            if !is_unservable {
                turn += interval.unwrap_or_default();
            }
            is_unservable
        };
        self.waiting.extract_if(.., is_unservable).collect()
    }

    pub(crate) fn engine_mut(&mut self, id: &EngineId) -> Option<&mut Engine> {
        self.engines.iter_mut().find(|engine| engine.entry.id == *id)
    }

    /// Removes and returns the next request that can start, and the index of its server.
    pub(crate) fn take_next(
        &mut self,
        cx: &SchedulingContext<'_>,
        rng: &mut StdRng,
    ) -> Option<(Waiting, usize)> {
        if self.waiting.is_empty() {
            return None;
        }
        let now = cx.now;
        let candidates = self.candidates(cx);
        let free = saturating_sum(candidates.iter().map(|candidate| candidate.free));
        if free == 0 {
            return None;
        }
        let best = best_pace(&candidates, self.baseline);
        let mut order: Vec<(Rank, usize)> = self
            .waiting
            .iter()
            .enumerate()
            .map(|(ix, waiting)| (rank(now, waiting, best), ix))
            .collect();
        order.sort_unstable();
        let reserved_slots = reserved_slots(&candidates);
        for ((is_late, tier, _, _), ix) in order {
            let reserved = if is_late { reserved_slots } else { 0 };
            if free <= cx.peers_waiting_above(tier).saturating_add(reserved) {
                return None;
            }
            if let Some(engine) = self.choose(now, &self.waiting[ix].job, &candidates, rng) {
                return Some((self.waiting.swap_remove(ix), engine));
            }
        }
        None
    }

    /// Returns the servers that accept requests, with or without a free slot.
    fn candidates(&self, cx: &SchedulingContext<'_>) -> Vec<Candidate> {
        let now = cx.now;
        let has_only_plain_jobs = self.has_only_plain_jobs();
        let engines = self.engines.iter().enumerate();
        engines
            .filter(|(_, engine)| engine.takes_work(now))
            .map(|(ix, engine)| {
                let peers = cx.peers.load_on(engine.key);
                let used = engine.running.saturating_add(peers.running);
                // A brittle server must not have to reject what it has no room to queue.
                let is_brittle = cx.brittle_servers.get(&engine.entry.id).is_some();
                let per_slot = if has_only_plain_jobs && !is_brittle {
                    PLAIN_REQUESTS_PER_SLOT
                } else {
                    1
                };
                let capacity = engine.entry.slots.saturating_mul(per_slot);
                Candidate {
                    ix,
                    pace: engine.speed.pace(now, &self.baseline),
                    tokens_ahead: engine.prompt_ahead + f64::from(peers.prompt_ahead),
                    used: f64::from(used),
                    capacity,
                    free: capacity.saturating_sub(used),
                    loss_check_penalty_ms: if engine.may_have_crashed() {
                        LOSS_CHECK_PENALTY_MS
                    } else {
                        0.0
                    },
                    failure_penalty_ms: engine.failure_share(now).powi(2) * FAILURE_PENALTY_MS,
                    zone_penalty_ms: if engine.entry.zone == *cx.zone {
                        0.0
                    } else {
                        OTHER_ZONE_PENALTY_MS
                    },
                    relay_penalty_ms: if engine.reach.is_direct() {
                        0.0
                    } else {
                        RELAY_PENALTY_MS
                    },
                }
            })
            .collect()
    }

    /// Returns whether no waiting request has a prompt.
    fn has_only_plain_jobs(&self) -> bool {
        self.waiting.iter().all(|waiting| waiting.job.prompt == 0)
    }

    /// Returns the best server with a free slot, or `None` if waiting for another server is better.
    fn choose(&self, now: Millis, job: &Job, candidates: &[Candidate], rng: &mut StdRng) -> Option<usize> {
        let may_run = |candidate: &&Candidate| {
            let entry = &self.engines[candidate.ix].entry;
            let may_finish = job.excluded.is_none() || candidate.finishes_in_time(now, job);
            job.version.allows(&entry.version) && job.excluded.as_ref() != Some(&entry.id) && may_finish
        };
        let fitting = candidates.iter().filter(may_run);
        let any_suits = fitting.clone().any(|candidate| candidate.suits(now, job));
        let scored: Vec<(f64, usize)> = fitting
            .filter(|candidate| candidate.free > 0)
            .filter(|candidate| !any_suits || candidate.suits(now, job))
            .map(|candidate| (self.score(now, job, candidate), candidate.ix))
            .collect();
        let best = scored.iter().map(|(score, _)| *score).min_by(f64::total_cmp)?;
        // A total order keeps the best server among the tied ones even if no score is a number.
        let tied = scored
            .iter()
            .filter(|(score, _)| score.total_cmp(&(best + SCORE_TOLERANCE_MS)).is_le());
        let count = tied.clone().count();
        if count == 0 {
            return None;
        }
        let pick = rng.random_range(0..count);
        tied.skip(pick).map(|(_, ix)| *ix).next()
    }

    /// Returns the expected time to the first event on a server plus all penalties; lower is better.
    fn score(&self, now: Millis, job: &Job, candidate: &Candidate) -> f64 {
        let engine = &self.engines[candidate.ix];
        let pace = candidate.pace;
        let own_tokens = f64::from(job.prompt.saturating_sub(engine.cached_tokens(&job.parts)));
        let first_event_ms = pace.first_event_ms(candidate.tokens_ahead + own_tokens);
        let total_ms = f64::from(job.expected_events).mul_add(pace.event, first_event_ms);
        let mut score = total_ms.mul_add(OCCUPANCY_WEIGHT, first_event_ms);
        let lateness_ms = first_event_ms * ESTIMATE_SAFETY_FACTOR - job.objective.since(now).0 as f64;
        if lateness_ms > 0.0 {
            score += lateness_ms + LATE_PENALTY_MS;
        }
        // Each running request slows the others slightly, so otherwise equal servers share the load.
        score += candidate.used / f64::from(engine.entry.slots.max(1)) * pace.base;
        score += candidate.zone_penalty_ms + candidate.relay_penalty_ms;
        score += candidate.failure_penalty_ms + candidate.loss_check_penalty_ms;
        if job.tried.contains(&engine.entry.id) {
            score += TRIED_PENALTY_MS;
        }
        score
    }
}

/// A server that accepts requests, with its current load.
struct Candidate {
    ix: usize,
    pace: Pace,
    /// Prompt tokens of requests sent to it whose first event is outstanding.
    tokens_ahead: f64,
    used: f64,
    /// Maximum number of concurrent requests from all hosts.
    capacity: u32,
    free: u32,
    loss_check_penalty_ms: f64,
    failure_penalty_ms: f64,
    zone_penalty_ms: f64,
    relay_penalty_ms: f64,
}

impl Candidate {
    /// Returns whether the request finishes in time here and does not delay the events of others.
    fn suits(&self, now: Millis, job: &Job) -> bool {
        self.finishes_in_time(now, job) && !self.pauses_others(job)
    }

    /// Returns whether reading the prompt would delay the events of other requests beyond the objective.
    fn pauses_others(&self, job: &Job) -> bool {
        let Some(objective) = job.gap_objective else {
            return false;
        };
        let prompt = f64::from(job.prompt);
        let read_between_events = PREFILL_CHUNK_TOKENS * f64::from(job.tokens_per_event);
        let read = (self.tokens_ahead + prompt).min(read_between_events);
        let pause_ms = read.mul_add(self.pace.token, self.pace.event);
        self.used > 0.0 && prompt > PREFILL_CHUNK_TOKENS && pause_ms > objective.0 as f64
    }

    /// Returns whether the complete response is expected before the deadline.
    fn finishes_in_time(&self, now: Millis, job: &Job) -> bool {
        let events = f64::from(job.expected_events) * LENGTH_SAFETY_FACTOR;
        let prompt = f64::from(job.prompt);
        let total_ms = events.mul_add(self.pace.event, self.pace.first_event_ms(prompt));
        total_ms <= job.deadline.since(now).0 as f64
    }
}

/// Returns the sum of counts, some of which come from other hosts or from entries of servers.
pub(crate) fn saturating_sum(counts: impl Iterator<Item = u32>) -> u32 {
    counts.fold(0, u32::saturating_add)
}

/// Returns the number of slots that late requests must leave to those that can meet their objective.
fn reserved_slots(candidates: &[Candidate]) -> u32 {
    let slots = saturating_sum(candidates.iter().map(|candidate| candidate.capacity));
    (f64::from(slots) * RESERVED_SLOT_RATIO) as u32
}

/// Returns the best pace of all servers, regardless of their load.
fn best_pace(candidates: &[Candidate], baseline: Pace) -> Pace {
    let mut best = baseline;
    for Candidate { pace, .. } in candidates {
        best.token = best.token.min(pace.token);
        best.base = best.base.min(pace.base);
    }
    best
}

fn rank(now: Millis, waiting: &Waiting, best: Pace) -> Rank {
    let job = &waiting.job;
    let needed_ms = best.first_event_ms(f64::from(job.prompt));
    let is_late = now + Millis(needed_ms as u64) > job.objective;
    let length = Millis((f64::from(job.expected_events) * best.event * LENGTH_WEIGHT) as u64);
    (is_late, job.tier, job.objective + length, waiting.ticket)
}
