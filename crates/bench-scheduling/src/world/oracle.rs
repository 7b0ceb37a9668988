//! Sees all hosts and engines at once, and finds refusals out of tier order.
//!
//! A refusal under load is out of order when work of a lower tier for the
//! same version is kept, waiting at a host or at an engine that is up, and
//! either the refused request would still be in time in that work's place,
//! or that work was dispatched while the refused request waited, which had
//! time enough when it came.

use std::collections::BTreeMap;

use carawayseam_types::{Millis, NotRunReason, Tier};

use super::World;

/// A refusal that is to be checked.
#[derive(Debug, Clone, Copy)]
pub(super) struct Refused {
    pub(super) ask: usize,
    pub(super) reason: NotRunReason,
}

/// Room for the request's slower start beside others, as a factor of its time.
const FIT_MARGIN: f64 = 1.25;
/// Violations that are described in full.
const NOTES_KEPT: usize = 5;

/// Refusals out of order.
#[derive(Debug, Default)]
pub(super) struct OrderCounts {
    pub(super) by_tier: BTreeMap<Tier, u32>,
    pub(super) notes: Vec<String>,
}

impl World {
    pub(super) fn check_order(&mut self, refused: Refused) {
        let under_load = matches!(
            refused.reason,
            NotRunReason::Shed
                | NotRunReason::DeadlineUnreachable
                | NotRunReason::NoEngine
                | NotRunReason::RetryBudget
        );
        if !under_load {
            return;
        }
        if let Some(kept) = self.lower_work_in_its_place(refused.ask) {
            self.note_violation(refused, kept);
        }
    }

    /// The lower work that is kept in place of this ask, if any.
    fn lower_work_in_its_place(&self, refused: usize) -> Option<usize> {
        let class = self.setup.calls[self.asks[refused].call].class;
        let backend = &self.setup.firm.document.routes[class.route].backend;
        let lower = self.open_asks.iter().copied().filter(|other| {
            let kept = self.setup.calls[self.asks[*other].call].class;
            let same = self.setup.firm.document.routes[kept.route].backend == *backend;
            same && self.asks[*other].reached && class.tier.outranks(kept.tier)
        });
        let mut engines: BTreeMap<usize, usize> = BTreeMap::new();
        engines.extend(self.attempts.values().map(|a| (a.ask, a.engine)));
        let mut lower = lower.peekable();
        lower.peek()?;
        lower.find(|kept| match engines.get(kept) {
            Some(engine) if !self.engines[*engine].is_up() => false,
            Some(engine) => self.took_its_turn(refused, *kept) || self.fits(refused, *engine),
            None => self.fits_anywhere(refused),
        })
    }

    /// Whether lower work was dispatched while a request waited that had time enough at first.
    fn took_its_turn(&self, refused: usize, kept: usize) -> bool {
        let ask = &self.asks[refused];
        let is_later = self.asks[kept].last_dispatch.is_some_and(|at| at > ask.arrived);
        let had = ask.deadline.since(ask.arrived);
        is_later && self.any_engine(refused, |engine| self.time_at(refused, engine) <= had)
    }

    fn fits(&self, refused: usize, engine: usize) -> bool {
        let time = self.time_at(refused, engine);
        time.0 as f64 * FIT_MARGIN <= self.asks[refused].deadline.since(self.now).0 as f64
    }

    fn fits_anywhere(&self, refused: usize) -> bool {
        self.any_engine(refused, |engine| self.fits(refused, engine))
    }

    /// The time that the rest of an ask would take at an engine.
    fn time_at(&self, ask: usize, engine: usize) -> Millis {
        let ask = &self.asks[ask];
        let call = &self.setup.calls[ask.call];
        let prompt = f64::from(call.prompt.0 + ask.delivered.0);
        let output = f64::from(call.output.0 - ask.delivered.0.min(call.output.0));
        self.engines[engine].time_to_serve(prompt, output)
    }

    /// Whether something holds for an engine that is up and serves the ask's backend.
    fn any_engine(&self, ask: usize, holds: impl Fn(usize) -> bool) -> bool {
        let class = self.setup.calls[self.asks[ask].call].class;
        let document = &self.setup.firm.document;
        let backend = &document.routes[class.route].backend;
        let engines = document.engines.iter().enumerate();
        let serving = engines.filter(|(at, spec)| spec.backend == *backend && self.engines[*at].is_up());
        serving.map(|(at, _)| at).any(holds)
    }

    fn note_violation(&mut self, refused: Refused, kept: usize) {
        let tier = |ask: usize| self.setup.calls[self.asks[ask].call].class.tier;
        let rank = tier(refused.ask);
        if self.order.notes.len() < NOTES_KEPT {
            let lower = &self.asks[kept];
            let attempt = self.attempts.values().find(|attempt| attempt.ask == kept);
            let place = match attempt {
                Some(attempt) => {
                    let engine = &self.setup.firm.document.engines[attempt.engine].name;
                    format!("at {engine} since {} ms", attempt.sent.0)
                }
                None => "waiting at its host".to_owned(),
            };
            let reason = refused.reason;
            let refused = &self.asks[refused.ask];
            self.order.notes.push(format!(
                "at {} ms {} refused a request of {rank} that came at {} ms (\"{reason}\"), while {} kept one of {} ({place})",
                self.now.0,
                self.setup.firm.members[refused.host].host,
                refused.arrived.0,
                self.setup.firm.members[lower.host].host,
                tier(kept),
            ));
        }
        *self.order.by_tier.entry(rank).or_default() += 1;
    }
}
