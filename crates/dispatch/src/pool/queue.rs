//! When waiting requests are expected to start, and which of them would start too late for their callers.

use carawayseam_types::{Millis, RequestRate, Tier};

use super::{Pool, SchedulingContext, Waiting, capacity, rank, saturating_sum};
use crate::caller_time::{CallerTime, Work};
use crate::engine::Engine;
use crate::job::{Job, Ticket};
use crate::reach::PROBE_INTERVAL;

/// A waiting request that cannot start in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Unservable {
    pub(crate) ticket: Ticket,
    /// When a place for the request is expected.
    pub(crate) retry_at: Millis,
}

/// A place for a refused request.
#[derive(Debug, Clone, Copy)]
struct Place {
    at: Millis,
    /// Time until this host has the next place.
    interval: Millis,
}

/// The expected starts of waiting requests, in their order.
struct Turns<'a> {
    now: Millis,
    /// When the first request starts that finds no free slot; `None` if no server is reached.
    opens_at: Option<Millis>,
    /// Slots that are free now, for the first requests.
    free: u32,
    /// Slots of the servers that these requests wait for.
    slots: u32,
    /// Hosts that share the slots; at least 1.
    host_count: u32,
    /// Shortest interval between two starts that the servers' rate limits admit.
    limit_interval: Millis,
    /// Time for which the requests ahead hold a slot, in milliseconds.
    ahead_ms: f64,
    /// Requests ahead that start at `limit_interval`.
    ahead: u64,
    peers_waiting: &'a [(Tier, u32)],
    /// Number of own waiting requests by tier, the highest tier first.
    own_waiting: Vec<(Tier, u32)>,
    tier: Option<Tier>,
}

impl Turns<'_> {
    /// Returns when the next request is expected to start.
    fn next(&mut self, tier: Tier, work: Work) -> Millis {
        if self.tier != Some(tier) {
            self.enter(tier, work);
        }
        let Some(opens_at) = self.opens_at.filter(|_| self.free == 0) else {
            return self.now;
        };
        let wait_ms = self.ahead_ms / f64::from(self.slots.max(1));
        let limited = self.limit_interval.times(self.ahead);
        opens_at + limited.max(Millis(wait_ms as u64))
    }

    /// Counts the requests of higher tiers that wait at peers only.
    fn enter(&mut self, tier: Tier, work: Work) {
        let earlier = self.tier.replace(tier);
        let is_ahead = |other: Tier| {
            let is_counted = earlier.is_some_and(|earlier| other == earlier || other.outranks(earlier));
            other.outranks(tier) && !is_counted
        };
        let ahead = self.peers_waiting.iter().filter(|(other, _)| is_ahead(*other));
        let ahead = saturating_sum(ahead.map(|(_, count)| *count));
        self.ahead_ms += f64::from(ahead) * work.total.0 as f64;
    }

    /// Counts a request that keeps its turn, and those of its tier that peers start meanwhile.
    fn advance(&mut self, tier: Tier, work: Work) {
        if self.free > 0 {
            self.free -= 1;
            return;
        }
        let count = |counts: &[(Tier, u32)]| {
            let found = counts.iter().find(|(other, _)| *other == tier);
            found.map_or(0.0, |(_, count)| f64::from(*count))
        };
        let peers_share = count(self.peers_waiting) / count(&self.own_waiting).max(1.0);
        self.ahead_ms += work.total.0 as f64 * (1.0 + peers_share);
        self.ahead += 1;
    }

    /// Returns the place of a request whose turn would come at `turn`.
    fn place(&self, turn: Millis, work: Work) -> Place {
        let shared = work.total.times(u64::from(self.host_count));
        let slot_interval = Millis(shared.0 / u64::from(self.slots.max(1)));
        Place {
            at: self.opens_at.map_or(self.now + PROBE_INTERVAL, |_| turn),
            interval: slot_interval.max(self.limit_interval),
        }
    }
}

impl Pool {
    /// Removes and returns the requests that cannot start early enough to be answered within their callers' time.
    ///
    /// Those of the lowest tier are removed first.
    pub(crate) fn take_unservable(&mut self, cx: &SchedulingContext<'_>) -> Vec<Unservable> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let baseline = self.baseline;
        self.waiting.sort_by_cached_key(|waiting| rank(waiting, baseline));
        let mut turns = self.turns(cx);
        let mut unservable = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let Waiting { ticket, job } = &waiting;
            let work = job.work(baseline);
            let turn = turns.next(job.tier, work);
            if turn <= job.caller.latest_start(work) {
                turns.advance(job.tier, work);
                self.waiting.push(waiting);
                continue;
            }
            let place = turns.place(turn, work);
            let retry_at = self.promise(cx.now, place, job.caller);
            unservable.push(Unservable {
                ticket: *ticket,
                retry_at,
            });
        }
        unservable
    }

    /// Returns when a place is expected for a request that is refused without having waited here.
    pub(crate) fn promise_place(&mut self, cx: &SchedulingContext<'_>, job: &Job) -> Millis {
        let baseline = self.baseline;
        self.waiting.sort_by_cached_key(|waiting| rank(waiting, baseline));
        let mut turns = self.turns(cx);
        let ahead = self
            .waiting
            .iter()
            .filter(|waiting| !job.tier.outranks(waiting.job.tier));
        for Waiting { job, .. } in ahead {
            let work = job.work(baseline);
            turns.next(job.tier, work);
            turns.advance(job.tier, work);
        }
        let work = job.work(baseline);
        let turn = turns.next(job.tier, work);
        let place = turns.place(turn, work);
        self.promise(cx.now, place, job.caller)
    }

    fn turns<'a>(&self, cx: &'a SchedulingContext<'_>) -> Turns<'a> {
        let now = cx.now;
        let has_only_plain_jobs = self.has_only_plain_jobs();
        let working = || self.engines.iter().filter(|engine| engine.can_work(now));
        let is_open = |engine: &&Engine| engine.closed_until(now).is_none();
        let reopens_at = working().filter_map(|engine| engine.closed_until(now)).min();
        let has_open = working().any(|engine| is_open(&engine));
        let resumes_at = working()
            .filter(is_open)
            .map(|engine| engine.resumes_at(now))
            .min();
        let opens_at = resumes_at.or(reopens_at);
        let used = working().filter(|engine| !has_open || is_open(engine));
        let slots = saturating_sum(used.map(|engine| capacity(cx, engine, has_only_plain_jobs)));
        let free = saturating_sum(self.candidates(cx).iter().map(|candidate| candidate.free));
        let mut own_waiting: Vec<(Tier, u32)> = Vec::new();
        for Waiting { job, .. } in &self.waiting {
            match own_waiting.last_mut() {
                Some((tier, count)) if *tier == job.tier => *count += 1,
                _ => own_waiting.push((job.tier, 1)),
            }
        }
        Turns {
            now,
            opens_at,
            free,
            slots,
            host_count: cx.host_count.max(1),
            limit_interval: self.limited_start_interval(now, cx.host_count),
            ahead_ms: 0.0,
            ahead: 0,
            peers_waiting: &cx.peers_waiting,
            own_waiting,
            tier: None,
        }
    }

    /// Returns this host's share of the interval between two requests that the servers' rate limits admit, or zero if
    /// a server that can work has no limit.
    fn limited_start_interval(&self, now: Millis, host_count: u32) -> Millis {
        let working = self.engines.iter().filter(|engine| engine.can_work(now));
        let limits: Option<Vec<RequestRate>> = working.map(Engine::limit).collect();
        let Some(limits) = limits.filter(|limits| !limits.is_empty()) else {
            return Millis::ZERO;
        };
        let per_second: f64 = limits.into_iter().map(RequestRate::per_second).sum();
        Millis((f64::from(host_count.max(1)) * 1_000.0 / per_second) as u64)
    }

    /// Returns when a refused caller should retry: when a place is expected that was promised to no other caller.
    ///
    /// The place of a caller that is told a time too late for it stays free for others.
    fn promise(&mut self, now: Millis, place: Place, caller: CallerTime) -> Millis {
        let at = self.next_return.max(place.at);
        if at <= caller.latest_return(now) {
            self.next_return = at + place.interval;
        }
        at
    }
}
