//! The servers of one backend and the requests waiting for them.

mod learned;
mod queue;
mod reach;

use carawayseam_types::{BackendName, EngineId, Millis, Tier, ZoneId};
use rand::RngExt;
use rand::rngs::StdRng;

use crate::brittle_servers::BrittleServers;
use crate::capacity::{BackendCapacity, Place};
use crate::engine::{AttemptEnd, Engine};
use crate::fair_shares::{CountedWork, RecentWork, ShareWeights};
use crate::job::{Job, Ticket};
use crate::peer_loads::PeerLoads;
use crate::speed::Pace;
use reach::BackendReach;

/// Score penalty of a server in another availability zone.
const OTHER_ZONE_PENALTY_MS: f64 = 25.0;
/// Score penalty of a server that is reached through a peer, so that directly reached servers of all zones
/// come first.
const RELAY_PENALTY_MS: f64 = 40.0;
/// Score penalty of a server that warms up. Its requests need permits, and a refused one costs the request a message
/// to the owner; a server of another zone that is warm comes first.
const WARM_UP_PENALTY_MS: f64 = 50.0;
/// Score penalty of a server that fails every request; it grows with the square of the failure share.
const FAILURE_PENALTY_MS: f64 = 3_000.0;
/// Score penalty of a server that may have crashed.
const LOSS_CHECK_PENALTY_MS: f64 = 3_000.0;
/// Score penalty of a server that the request was already sent to.
const TRIED_PENALTY_MS: f64 = 100_000.0;
/// Weight of a request's total time on a server in the score, because no other request can use its slot
/// meanwhile.
const OCCUPANCY_WEIGHT: f64 = 0.01;
/// Factor by which a response may exceed its expected length.
const LENGTH_SAFETY_FACTOR: f64 = 2.5;
/// Prompt tokens that a server reads between generating two tokens of other requests.
const PREFILL_CHUNK_TOKENS: f64 = 2_048.0;
/// Servers whose score is within this distance of the best are chosen from at random.
const SCORE_TOLERANCE_MS: f64 = 4.0;
/// Plain requests sent to a server per slot. They end before the load that peers announce for them
/// arrives, and waiting at the server is shorter than waiting for the next announcement.
const PLAIN_REQUESTS_PER_SLOT: u32 = 2;
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
    pub(crate) share_weights: &'a ShareWeights,
    /// Number of hosts that share the servers.
    pub(crate) host_count: u32,
    /// Number of requests waiting at peers, by tier.
    pub(crate) peers_waiting: Vec<(Tier, u32)>,
}

impl<'a> SchedulingContext<'a> {
    pub(crate) fn new(
        now: Millis,
        zone: &'a ZoneId,
        peers: &'a PeerLoads,
        brittle_servers: &'a BrittleServers,
        share_weights: &'a ShareWeights,
        host_count: u32,
        backend: &BackendName,
    ) -> Self {
        Self {
            now,
            zone,
            peers,
            brittle_servers,
            share_weights,
            host_count,
            peers_waiting: peers.waiting_for(now, backend),
        }
    }

    /// Returns the number of requests of higher tiers that wait at peers.
    fn peers_waiting_above(&self, tier: Tier) -> u32 {
        // The owners of slots give higher tiers precedence.
        if !self.peers.measured.is_empty() {
            return 0;
        }
        let above = self
            .peers_waiting
            .iter()
            .filter(|(other, _)| other.outranks(tier));
        saturating_sum(above.map(|(_, count)| *count))
    }
}

/// Sort key of waiting requests: by tier, then by the latest time at which they can start.
type Rank = (Tier, Millis, Ticket);

#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) engines: Vec<Engine>,
    pub(crate) waiting: Vec<Waiting>,
    pub(crate) baseline: Pace,
    pub(crate) capacity: BackendCapacity,
    pub(crate) recent_work: RecentWork,
    /// When a place is expected for the next caller that is refused.
    next_return: Millis,
    reach: BackendReach,
}

impl Pool {
    pub(crate) fn new() -> Self {
        Self {
            engines: Vec::new(),
            waiting: Vec::new(),
            baseline: Pace::ASSUMED,
            capacity: BackendCapacity::default(),
            recent_work: RecentWork::default(),
            next_return: Millis::ZERO,
            reach: BackendReach::default(),
        }
    }

    pub(crate) fn engine_mut(&mut self, id: &EngineId) -> Option<&mut Engine> {
        self.engines.iter_mut().find(|engine| engine.entry.id == *id)
    }

    /// Takes back the work counted for a request that the server did not complete, as far as it did not use it.
    pub(crate) fn give_back_work(
        &mut self,
        now: Millis,
        end: AttemptEnd,
        started: Millis,
        counted: Option<&CountedWork>,
    ) {
        let Some(counted) = counted.filter(|_| end != AttemptEnd::Complete) else {
            return;
        };
        let used = if end.may_have_run() {
            now.since(started)
        } else {
            Millis::ZERO
        };
        self.recent_work.give_back(now, counted, used);
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
        let waiting = self.waiting.iter().enumerate();
        let ranks = waiting.map(|(ix, waiting)| (rank(waiting, self.baseline), ix));
        let mut order: Vec<(Rank, usize)> = ranks.collect();
        order.sort_unstable();
        if candidates.iter().any(|candidate| candidate.place.is_some()) {
            return self.take_next_learned(cx, &candidates, &order, rng);
        }
        for ((tier, _, _), ix) in order {
            if free <= cx.peers_waiting_above(tier) {
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
        let learned = self
            .engines
            .iter()
            .map(|engine| (&engine.capacity, engine.entry.slots));
        let placement = self.capacity.placement(now, learned);
        let engines = self.engines.iter().enumerate();
        engines
            .filter(|(_, engine)| engine.takes_work(now))
            .map(|(ix, engine)| {
                let peers = cx.peers.load_on(now, engine.key, engine.own_load());
                let used = engine.running.saturating_add(peers.running);
                let capacity = if cx.peers.measured.is_full(now, engine.key) {
                    0
                } else {
                    capacity(cx, engine, has_only_plain_jobs)
                };
                let place = placement.as_ref().map(|placement| {
                    placement.place(&engine.capacity, engine.entry.slots, used, &self.baseline)
                });
                Candidate {
                    ix,
                    place,
                    pace: place.map_or_else(|| engine.speed.pace(now, &self.baseline), |place| place.pace),
                    tokens_ahead: engine.prompt_ahead + f64::from(peers.prompt_ahead),
                    used: f64::from(used),
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
        let fitting = candidates
            .iter()
            .filter(|candidate| self.may_run(now, candidate, job));
        let any_suits = fitting.clone().any(|candidate| candidate.suits(now, job));
        let scored: Vec<(f64, usize)> = fitting
            .filter(|candidate| candidate.free > 0)
            .filter(|candidate| !any_suits || candidate.suits(now, job))
            .map(|candidate| (self.score(job, candidate), candidate.ix))
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

    /// Returns whether a server may run a request; one that another server still has must finish in time.
    fn may_run(&self, now: Millis, candidate: &Candidate, job: &Job) -> bool {
        let entry = &self.engines[candidate.ix].entry;
        let may_finish = job.excluded.is_none() || candidate.finishes_in_time(now, job);
        job.version.allows(&entry.version) && job.excluded.as_ref() != Some(&entry.id) && may_finish
    }

    /// Returns the expected time to the first event on a server plus all penalties; lower is better.
    fn score(&self, job: &Job, candidate: &Candidate) -> f64 {
        let engine = &self.engines[candidate.ix];
        let pace = candidate.pace;
        let own_tokens = f64::from(job.prompt.saturating_sub(engine.cached_tokens(&job.parts)));
        let first_event_ms = pace.first_event_ms(candidate.tokens_ahead + own_tokens);
        let total_ms = f64::from(job.expected_events).mul_add(pace.event, first_event_ms);
        let mut score = total_ms.mul_add(OCCUPANCY_WEIGHT, first_event_ms);
        // Each running request slows the others slightly, so otherwise equal servers share the load.
        score += candidate.used / f64::from(engine.entry.slots.max(1)) * pace.base;
        score += candidate.zone_penalty_ms + candidate.relay_penalty_ms;
        if engine.is_cold {
            score += WARM_UP_PENALTY_MS;
        }
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
    /// What is expected of one more request by learned pace, if the servers differ.
    place: Option<Place>,
    pace: Pace,
    /// Prompt tokens of requests sent to it whose first event is outstanding.
    tokens_ahead: f64,
    used: f64,
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

    /// Returns whether reading the prompt would delay the events of other requests so long that their callers leave.
    fn pauses_others(&self, job: &Job) -> bool {
        let Some(max_event_gap) = job.max_event_gap else {
            return false;
        };
        let prompt = f64::from(job.prompt);
        let read_between_events = PREFILL_CHUNK_TOKENS * f64::from(job.tokens_per_event);
        let read = (self.tokens_ahead + prompt).min(read_between_events);
        let pause_ms = read.mul_add(self.pace.token, self.pace.event);
        self.used > 0.0 && prompt > PREFILL_CHUNK_TOKENS && pause_ms > max_event_gap.0 as f64
    }

    /// Returns whether the complete response is expected before the deadline.
    fn finishes_in_time(&self, now: Millis, job: &Job) -> bool {
        let events = f64::from(job.expected_events) * LENGTH_SAFETY_FACTOR;
        let prompt = f64::from(job.prompt);
        let total_ms = events.mul_add(self.pace.event, self.pace.first_event_ms(prompt));
        total_ms <= job.caller.time_left(now).0 as f64
    }
}

/// Returns the sum of counts, some of which come from other hosts or from entries of servers.
pub(crate) fn saturating_sum(counts: impl Iterator<Item = u32>) -> u32 {
    counts.fold(0, u32::saturating_add)
}

/// Returns the number of requests of all hosts that a server is sent at a time.
fn capacity(cx: &SchedulingContext<'_>, engine: &Engine, has_only_plain_jobs: bool) -> u32 {
    // A brittle server must not have to reject what it has no room to queue.
    let is_brittle = cx.brittle_servers.get(&engine.entry.id).is_some();
    let per_slot = if has_only_plain_jobs && !is_brittle {
        PLAIN_REQUESTS_PER_SLOT
    } else {
        1
    };
    engine.entry.slots.saturating_mul(per_slot)
}

fn rank(waiting: &Waiting, pace: Pace) -> Rank {
    let job = &waiting.job;
    (job.tier, job.latest_start(pace), waiting.ticket)
}
