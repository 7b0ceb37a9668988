//! Callers and engines of one move, on a manual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use carawayseam_rollout::Served;
use carawayseam_types::{Digest, Millis};
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;

use super::case::{Case, Fault, Outage, Trouble, When};
use super::firm::{content, within};
use super::policy::{End, Policy, Tally};

/// When every move is promoted.
pub(super) const START: Millis = Millis::from_secs(1_000_000);
/// How long the world goes on after the last thing that can happen to a move.
const AFTERMATH: Millis = Millis::from_secs(30);
/// How long the world goes on after all hosts follow the outcome.
const TAIL: Millis = Millis::from_secs(5);
/// The part of requests that every version fails.
const USUAL_FAILURES: f64 = 0.005;
const SHARED_FAILURES: f64 = 0.15;
const BURST_FACTOR: f64 = 3.0;
/// How much slower a version is at the usual traffic than at none.
const LOAD_SLOWDOWN: f64 = 0.5;
/// The time over which a version's load is averaged.
const LOAD_WINDOW_MS: f64 = 10_000.0;
/// The part of a version's requests that run on one server.
const ONE_SERVER: f64 = 1.0 / 3.0;
const RESEND_AFTER: Millis = Millis::from_secs(1);
/// Poison requests, or lost servers, between promotion and deadline.
const TROUBLES: u64 = 12;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Resend {
        content: Digest,
        route: usize,
        sent_before: u64,
    },
    Poison,
    ServerLost,
    End(usize),
}

/// The callers and engines of one case.
pub(super) struct World<'a> {
    case: &'a Case,
    rng: Xoshiro256PlusPlus,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    ends: Vec<End>,
    scheduled: u64,
    requests: u64,
    loads: [Load; 2],
    losses: Vec<(Millis, bool)>,
    tally: Tally,
}

/// A version's recent traffic.
#[derive(Debug, Clone, Copy, Default)]
struct Load {
    at: Millis,
    recent: f64,
}

impl Load {
    fn count(&mut self, now: Millis) {
        self.recent = self.recent_at(now) + 1.0;
        self.at = now;
    }

    fn recent_at(self, now: Millis) -> f64 {
        self.recent * (-(now.since(self.at).0 as f64) / LOAD_WINDOW_MS).exp()
    }

    fn rate_at(self, now: Millis) -> f64 {
        self.recent_at(now) * 1_000.0 / LOAD_WINDOW_MS
    }
}

impl<'a> World<'a> {
    pub(super) fn new(case: &'a Case) -> Self {
        Self {
            case,
            rng: Xoshiro256PlusPlus::seed_from_u64(case.seed),
            events: BinaryHeap::new(),
            ends: Vec::new(),
            scheduled: 0,
            requests: 0,
            loads: [Load::default(); 2],
            losses: Vec::new(),
            tally: Tally {
                outcome: None,
                exposed: 0,
                exposed_unrepeatable: 0,
                latest_after_shown: Millis::ZERO,
                after_deadline: 0,
            },
        }
    }

    /// Runs the case under a policy.
    pub(super) fn run(mut self, policy: &mut impl Policy) -> Tally {
        self.schedule(START, Event::Arrive);
        self.schedule_troubles();
        let mut horizon = self.horizon();
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now > horizon {
                break;
            }
            policy.advance(now);
            self.handle(now, event, policy);
            if self.tally.outcome.is_none() {
                self.tally.outcome = policy.outcome();
                horizon = self.tally.outcome.map_or(horizon, |_| now + TAIL);
            }
        }
        self.tally
    }

    fn horizon(&self) -> Millis {
        let within = within(&self.case.firm);
        let last = match self.case.outage {
            Outage::Store(_, to) | Outage::HostCut(_, to) => to.max(within),
            Outage::None | Outage::LostAnswers | Outage::NewHolders => within,
        };
        START + last + AFTERMATH
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at, self.scheduled, event)));
    }

    fn schedule_troubles(&mut self) {
        let event = match self.case.trouble {
            Trouble::Poison => Event::Poison,
            Trouble::EngineLoss => Event::ServerLost,
            Trouble::None | Trouble::SharedFailures | Trouble::Bursts => return,
        };
        let within = within(&self.case.firm).0;
        for _ in 0..TROUBLES {
            let at = Millis(self.rng.random_range(0..within));
            self.schedule(START + at, event);
        }
    }

    fn handle(&mut self, now: Millis, event: Event, policy: &mut impl Policy) {
        match event {
            Event::Arrive => self.arrive(now, policy),
            Event::Poison => self.arrive_poison(now, policy),
            Event::Resend {
                content,
                route,
                sent_before,
            } => self.send_poison(now, content, route, sent_before, policy),
            Event::ServerLost => {
                let new = self.rng.random_bool(0.5);
                self.losses.push((now, new));
            }
            Event::End(at) => self.end(now, at, policy),
        }
    }

    fn arrive(&mut self, now: Millis, policy: &mut impl Policy) {
        let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / self.rate(now);
        self.schedule(now + Millis((gap * 1_000.0) as u64 + 1), Event::Arrive);
        self.requests += 1;
        let content = content(self.requests);
        let route = self.draw_route();
        let (host, new) = self.dispatch(now, route, content, policy);
        self.serve(now, host, route, new);
    }

    fn rate(&self, now: Millis) -> f64 {
        let rate = self.case.firm.rate;
        match self.case.trouble {
            Trouble::Bursts if self.is_part_of_time(now, 6, 0.2) => rate * BURST_FACTOR,
            _ => rate,
        }
    }

    /// Whether now lies in the first `part` of one of `periods` equal periods.
    fn is_part_of_time(&self, now: Millis, periods: u64, part: f64) -> bool {
        let period = within(&self.case.firm).0 / periods;
        let place = (now.since(START).0 % period) as f64 / period as f64;
        place < part
    }

    fn draw_route(&mut self) -> usize {
        let mut draw: f64 = self.rng.random();
        for (at, route) in self.case.firm.routes.iter().enumerate() {
            draw -= route.weight;
            if draw < 0.0 {
                return at;
            }
        }
        0
    }

    fn dispatch(
        &mut self,
        now: Millis,
        route: usize,
        content: Digest,
        policy: &mut impl Policy,
    ) -> (usize, bool) {
        let host = self.rng.random_range(0..self.case.firm.hosts);
        let new = policy.pick(now, host, route, content);
        self.loads[usize::from(new)].count(now);
        if new {
            self.count_new(now, host, route, policy);
        }
        (host, new)
    }

    fn count_new(&mut self, now: Millis, host: usize, route: usize, policy: &impl Policy) {
        match policy.shown_at() {
            Some(shown_at) => {
                let late = now.since(shown_at);
                self.tally.latest_after_shown = self.tally.latest_after_shown.max(late);
            }
            None if self.fault(now, route, true).is_some() => {
                let is_unrepeatable = !self.case.firm.routes[route].idempotent;
                self.tally.exposed += 1;
                self.tally.exposed_unrepeatable += u64::from(is_unrepeatable);
            }
            None => {}
        }
        let deadline = START + within(&self.case.firm);
        if now >= deadline && !policy.is_finished_at(host) {
            self.tally.after_deadline += 1;
        }
    }

    /// The fault that a request meets.
    fn fault(&self, now: Millis, route: usize, new: bool) -> Option<Fault> {
        let shows = match self.case.when {
            When::AtOnce => true,
            When::Later(from) => now >= START + from,
            When::UnderLoad(part) => self.loads[1].rate_at(now) >= part * self.case.firm.rate,
        };
        let here = self.case.route.is_none_or(|only| only == route);
        self.case.fault.filter(|_| new && shows && here)
    }

    fn serve(&mut self, now: Millis, host: usize, route: usize, new: bool) {
        let fault = self.fault(now, route, new);
        let load = self.loads[usize::from(new)].rate_at(now) / self.case.firm.rate;
        let spec = &self.case.firm.routes[route];
        let slower = match fault {
            Some(Fault::Slow(factor)) => factor,
            _ => 1.0,
        } * (1.0 + LOAD_SLOWDOWN * load);
        let first = spec.first_ms * (spec.spread * normal(&mut self.rng)).exp() * slower;
        let gap = spec
            .gap_ms
            .map(|gap| gap * self.rng.random_range(0.9..1.1) * slower);
        let tokens = spec.tokens * self.rng.random_range(0.3..1.7);
        let rest = gap.map_or(0.0, |gap| gap * tokens);
        let draw: f64 = self.rng.random();
        let (served, out_for) = match fault {
            Some(Fault::Hangs) => {
                let timeout = self.case.firm.document.limits.first_token_timeout;
                self.schedule_end(now, timeout, host, route, new, Served::Failed, None, None);
                return;
            }
            Some(Fault::Fails(part)) if draw < part => (Served::Failed, first),
            Some(Fault::Unfinished(part)) if draw < part => (Served::Unfinished, first + 0.5 * rest),
            _ if draw > 1.0 - self.usual_failures(now) => (Served::Failed, first),
            _ => (Served::Whole, first + rest),
        };
        let first = (served != Served::Failed).then_some(Millis(first as u64));
        let gap = gap
            .filter(|_| served != Served::Failed)
            .map(|gap| (gap * 1_000.0) as u32);
        self.schedule_end(now, Millis(out_for as u64), host, route, new, served, first, gap);
    }

    fn usual_failures(&self, now: Millis) -> f64 {
        match self.case.trouble {
            Trouble::SharedFailures if self.is_part_of_time(now, 8, 0.2) => SHARED_FAILURES,
            _ => USUAL_FAILURES,
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "an end is put together here and nowhere else"
    )]
    fn schedule_end(
        &mut self,
        now: Millis,
        out_for: Millis,
        host: usize,
        route: usize,
        new: bool,
        served: Served,
        first: Option<Millis>,
        gap_micros: Option<u32>,
    ) {
        self.ends.push(End {
            host,
            route,
            new,
            served,
            first,
            gap_micros,
            dispatched_at: now,
        });
        self.schedule(now + out_for, Event::End(self.ends.len() - 1));
    }

    fn end(&mut self, now: Millis, at: usize, policy: &mut impl Policy) {
        let mut end = self.ends[at];
        let lost = |&(loss, new): &(Millis, bool)| new == end.new && loss > end.dispatched_at && loss <= now;
        if self.losses.iter().any(lost) && self.rng.random_bool(ONE_SERVER) {
            end.served = Served::Excused;
        }
        policy.ended(now, &end);
    }

    fn arrive_poison(&mut self, now: Millis, policy: &mut impl Policy) {
        self.requests += 1;
        let content = content(self.requests);
        let route = self.draw_route();
        self.send_poison(now, content, route, 0, policy);
    }

    /// A request that crashes its server; it comes again once, and is recognised after that.
    fn send_poison(
        &mut self,
        now: Millis,
        content: Digest,
        route: usize,
        sent_before: u64,
        policy: &mut impl Policy,
    ) {
        let (host, new) = self.dispatch(now, route, content, policy);
        let after = Millis(self.case.firm.routes[route].first_ms as u64);
        self.schedule_end(now, after, host, route, new, Served::Failed, None, None);
        self.losses.push((now + after, new));
        if sent_before == 0 {
            let again = Event::Resend {
                content,
                route,
                sent_before: 1,
            };
            self.schedule(now + after + RESEND_AFTER, again);
        }
    }
}

/// A number of the normal distribution.
fn normal(rng: &mut Xoshiro256PlusPlus) -> f64 {
    let radius = (-2.0 * rng.random_range(f64::MIN_POSITIVE..1.0).ln()).sqrt();
    let angle = std::f64::consts::TAU * rng.random::<f64>();
    radius * angle.cos()
}
