//! When waiting requests are expected to start, and which of them would start too late for their callers.

use carawayseam_types::{Millis, RequestRate, Tier};

use super::{Pool, SchedulingContext, Waiting, capacity, rank, saturating_sum};
use crate::caller_time::{CallerTime, Work};
use crate::engine::Engine;
use crate::fair_shares::{Candidate, VictimSelection};
use crate::job::{Job, Ticket};
use crate::reach::PROBE_INTERVAL;

/// A waiting request that cannot start in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Unservable {
    pub(crate) ticket: Ticket,
    /// When a place for the request is expected.
    pub(crate) retry_at: Millis,
    /// Whether it gave way to a request of an organisation with less work.
    pub(crate) is_over_share: bool,
}

/// A refused request, as long as no place is promised to its caller.
#[derive(Debug)]
struct Refused {
    ix: usize,
    place: Place,
    is_over_share: bool,
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
    ///
    /// Returns false if a slot is free for it, so that it delays no other request.
    fn advance(&mut self, tier: Tier, work: Work) -> bool {
        if self.free > 0 {
            self.free -= 1;
            return false;
        }
        self.ahead_ms += self.delay_ms(tier, work.total);
        self.ahead += 1;
        true
    }

    /// Undoes `advance` for a request that delays others, which gives way.
    fn remove(&mut self, tier: Tier, work: Millis) {
        self.ahead_ms = (self.ahead_ms - self.delay_ms(tier, work)).max(0.0);
        self.ahead = self.ahead.saturating_sub(1);
    }

    /// Undoes `remove`.
    fn restore(&mut self, tier: Tier, work: Millis) {
        self.ahead_ms += self.delay_ms(tier, work);
        self.ahead += 1;
    }

    /// Returns for how long a request and those of its tier that peers start meanwhile hold a slot.
    fn delay_ms(&self, tier: Tier, work: Millis) -> f64 {
        let count = |counts: &[(Tier, u32)]| {
            let found = counts.iter().find(|(other, _)| *other == tier);
            found.map_or(0.0, |(_, count)| f64::from(*count))
        };
        let peers_share = count(self.peers_waiting) / count(&self.own_waiting).max(1.0);
        work.0 as f64 * (1.0 + peers_share)
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

/// A request whose turn may come too late.
struct Late {
    candidate: Candidate,
    tier: Tier,
    work: Work,
    latest_start: Millis,
}

impl Late {
    /// Takes out the requests that give way to this one: none if it is not late, or would be late even so.
    fn select_victims(&self, turns: &mut Turns<'_>, selection: &mut VictimSelection<'_>) -> Vec<Candidate> {
        let mut victims = Vec::new();
        while self.is_late(turns) {
            let Some(victim) = selection.take_above(&self.candidate) else {
                break;
            };
            turns.remove(self.tier, victim.work);
            victims.push(victim);
        }
        // The last victim may have been large enough without the earlier ones; those with the least work ahead of them
        // stay first.
        let is_in_vain = self.is_late(turns);
        let mut needed = Vec::new();
        for victim in victims.into_iter().rev() {
            turns.restore(self.tier, victim.work);
            if is_in_vain || !self.is_late(turns) {
                selection.put_back(victim);
            } else {
                turns.remove(self.tier, victim.work);
                needed.push(victim);
            }
        }
        needed
    }

    fn is_late(&self, turns: &mut Turns<'_>) -> bool {
        turns.next(self.tier, self.work) > self.latest_start
    }
}

impl Pool {
    /// Removes and returns the requests that cannot start early enough to be answered within their callers' time.
    ///
    /// Those of the lowest tier are removed first. Within a tier, a request that is late by its turn takes the turns of
    /// requests of organisations with more work, if shares are enforced.
    pub(crate) fn take_unservable(&mut self, cx: &SchedulingContext<'_>) -> Vec<Unservable> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let baseline = self.baseline;
        self.waiting.sort_by_cached_key(|waiting| rank(waiting, baseline));
        let mut turns = self.turns(cx);
        let refused = self.select_refused(cx, &mut turns);
        if refused.is_empty() {
            return Vec::new();
        }
        let mut keeps_turn = vec![true; self.waiting.len()];
        let mut unservable = Vec::new();
        for Refused {
            ix,
            place,
            is_over_share,
        } in refused
        {
            keeps_turn[ix] = false;
            let Waiting { ticket, job } = &self.waiting[ix];
            let (ticket, caller) = (*ticket, job.caller);
            unservable.push(Unservable {
                ticket,
                retry_at: self.promise(cx.now, place, caller),
                is_over_share,
            });
        }
        let mut keeps_turn = keeps_turn.into_iter();
        self.waiting.retain(|_| keeps_turn.next().unwrap_or(true));
        unservable
    }

    /// Selects the requests to refuse among all that wait, in their order.
    fn select_refused(&self, cx: &SchedulingContext<'_>, turns: &mut Turns<'_>) -> Vec<Refused> {
        let waiting = &self.waiting;
        let weights = Some(cx.share_weights).filter(|weights| weights.is_enabled());
        let mut selection =
            weights.map(|weights| VictimSelection::new(cx.now, weights, &self.recent_work, waiting.len()));
        let mut refused = Vec::new();
        let mut tier = None;
        for (ix, Waiting { job, .. }) in waiting.iter().enumerate() {
            let work = job.work(self.baseline);
            let latest_start = job.caller.latest_start(work);
            if tier.replace(job.tier) != Some(job.tier)
                && let Some(selection) = &mut selection
            {
                selection.enter_tier();
            }
            let mut victims = Vec::new();
            let mut candidate = None;
            if let Some(selection) = &mut selection {
                let late = Late {
                    candidate: selection.candidate(ix, job.organisation.as_ref(), work.total),
                    tier: job.tier,
                    work,
                    latest_start,
                };
                victims = late.select_victims(turns, selection);
                candidate = Some(late.candidate);
            }
            let turn = turns.next(job.tier, work);
            if turn > latest_start {
                refused.push(Refused {
                    ix,
                    place: turns.place(turn, work),
                    is_over_share: false,
                });
                continue;
            }
            let delays_others = turns.advance(job.tier, work);
            if let (Some(selection), Some(candidate)) = (&mut selection, candidate) {
                selection.keep(candidate, delays_others);
            }
            for victim in victims {
                let work = waiting[victim.ix].job.work(self.baseline);
                let turn = turns.next(job.tier, work);
                refused.push(Refused {
                    ix: victim.ix,
                    place: turns.place(turn, work),
                    is_over_share: true,
                });
            }
        }
        refused
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
