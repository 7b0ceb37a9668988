//! Takes requests from the queue of a backend whose servers differ, by the rules of [`crate::capacity`].

use rand::rngs::StdRng;

use super::{
    Candidate, Pool, Rank, SchedulingContext, TRIED_PENALTY_MS, WARM_UP_PENALTY_MS, Waiting, saturating_sum,
};
use crate::capacity::{Offer, Place, Queue, choose, wants_probe};
use crate::job::Job;

impl Pool {
    /// Removes and returns the next request that can start, and the index of its server.
    pub(super) fn take_next_learned(
        &mut self,
        cx: &SchedulingContext<'_>,
        candidates: &[Candidate],
        order: &[(Rank, usize)],
        rng: &mut StdRng,
    ) -> Option<(Waiting, usize)> {
        let soft_capacities = candidates.iter().filter_map(|candidate| candidate.place);
        let mut queue = Queue {
            peers_waiting: saturating_sum(cx.peers_waiting.iter().map(|(_, count)| *count)),
            soft_capacity: saturating_sum(soft_capacities.map(|place| place.soft_capacity)),
            ahead: 0,
            waiting_tier: None,
        };
        let free = saturating_sum(candidates.iter().map(|candidate| candidate.free));
        for ((tier, latest_start, _), ix) in order {
            if free <= cx.peers_waiting_above(*tier) {
                return None;
            }
            let job = &self.waiting[*ix].job;
            let typical_ms = self.typical_ms(candidates, job);
            let may_exceed = queue.may_exceed(cx.now, *tier, *latest_start, typical_ms);
            let offers = self.offers(cx, job, candidates, typical_ms);
            if let Some(chosen) = choose(
                &offers,
                may_exceed,
                self.capacity.probes.is_due(),
                typical_ms,
                rng,
            ) {
                if chosen.is_probe {
                    self.capacity.probes.record_probe();
                } else {
                    self.capacity.probes.record_request();
                }
                return Some((self.waiting.swap_remove(*ix), chosen.server));
            }
            queue.pass(*tier, !offers.is_empty());
        }
        None
    }

    /// Returns the duration of a request of this many events, without reading its prompt, on a typical idle server.
    fn typical_ms(&self, candidates: &[Candidate], job: &Job) -> f64 {
        let event_ms = candidates.iter().find_map(|candidate| candidate.place);
        let event_ms = event_ms.map_or(self.baseline.event, |place| place.typical_event_ms);
        f64::from(job.expected_events).mul_add(event_ms, self.baseline.base)
    }

    /// Returns the servers with a free slot that may run the request; only those that suit it if any does.
    fn offers(
        &self,
        cx: &SchedulingContext<'_>,
        job: &Job,
        candidates: &[Candidate],
        typical_ms: f64,
    ) -> Vec<Offer> {
        let now = cx.now;
        let fitting = candidates
            .iter()
            .filter(|candidate| self.may_run(now, candidate, job));
        let any_suits = fitting.clone().any(|candidate| candidate.suits(now, job));
        let time_left = job.caller.time_left(now);
        let finishes = |place: &Place, is_alone: bool| {
            place.total_ms(job.prompt, job.expected_events, is_alone) <= time_left.0 as f64
        };
        // A request that is late everywhere is tried, since its length is only expected.
        let any_finishes = fitting
            .clone()
            .filter_map(|candidate| candidate.place)
            .any(|place| finishes(&place, true));
        let offers = fitting
            .filter(|candidate| candidate.free > 0)
            .filter_map(|candidate| {
                let engine = &self.engines[candidate.ix];
                let place = candidate.place?;
                let is_tried = job.tried.contains(&engine.entry.id);
                let own_tokens = f64::from(job.prompt.saturating_sub(engine.cached_tokens(&job.parts)));
                let tokens = candidate.tokens_ahead + own_tokens;
                let is_idle =
                    engine.running == 0 && !engine.is_cold && !is_tried && engine.failure_share(now) <= 0.0;
                let sampled_at = engine.capacity.sampled_at();
                let mut score = place.score(tokens, job.expected_events, candidate.used, typical_ms);
                // A server that warms up, of another zone or behind a relay, comes after all that handle one more request well here.
                let warm_up_ms = if engine.is_cold { WARM_UP_PENALTY_MS } else { 0.0 };
                let penalty_ms = candidate.zone_penalty_ms + candidate.relay_penalty_ms + warm_up_ms;
                score += penalty_ms * (typical_ms / super::OTHER_ZONE_PENALTY_MS).max(1.0);
                score += candidate.failure_penalty_ms + candidate.loss_check_penalty_ms;
                if is_tried {
                    score += TRIED_PENALTY_MS;
                }
                Some(Offer {
                    server: candidate.ix,
                    score,
                    is_within_soft_capacity: candidate.used < f64::from(place.soft_capacity),
                    suits: (!any_suits || candidate.suits(now, job))
                        && (!any_finishes || finishes(&place, false)),
                    wants_probe: is_idle
                        && wants_probe(now, &place, sampled_at, tokens, job.expected_events, time_left),
                })
            });
        offers.collect()
    }
}
