//! The callers' side of the world: asking, deadlines, asking again.

use carawayseam_scheduler::{AttemptFailure, Event, Origin, Request};
use carawayseam_types::{Millis, RequestSeq};

use super::{Ask, Happening, World};
use crate::engine::JobKey;
use crate::tally::{AttemptEnd, Ending};
use crate::workload::RetryHabit;

/// How soon a caller that ignores the time to come back asks again.
const IMPATIENT_WAIT: Millis = Millis(200);
/// How soon the caller of a poison request asks again.
const ENDLESS_WAIT: Millis = Millis(500);

impl World {
    pub(super) fn caller_asks(&mut self, call: usize, host: usize) {
        let spec = &self.setup.calls[call];
        let deadline = match spec.habit {
            RetryHabit::Endless => self.now + spec.deadline.since(spec.at),
            _ => spec.deadline,
        };
        self.open_ask(call, host, None, deadline, Millis::ZERO);
    }

    pub(super) fn open_ask(
        &mut self,
        call: usize,
        host: usize,
        from_peer: Option<usize>,
        deadline: Millis,
        after: Millis,
    ) {
        let ask = self.asks.len();
        self.asks.push(Ask {
            call,
            host,
            from_peer,
            arrived: self.now,
            deadline,
            delivered: carawayseam_types::Tokens(0),
            last_dispatch: None,
            reached: false,
            open: true,
        });
        self.open_asks.insert(ask);
        self.queue.push(self.now + after, Happening::AskReaches(ask));
        self.queue.push(deadline, Happening::AskDeadline(ask));
    }

    pub(super) fn ask_reaches(&mut self, ask: usize) {
        if self.asks[ask].open {
            self.asks[ask].reached = true;
            let request = self.request(ask);
            self.handle(self.asks[ask].host, Event::Arrive(request));
        }
    }

    pub(super) fn request(&self, at: usize) -> Request {
        let ask = &self.asks[at];
        let call = &self.setup.calls[ask.call];
        let firm = &self.setup.firm;
        let route = &firm.document.routes[call.class.route];
        let backend = firm.document.backend(&route.backend);
        let version = backend.map_or(&firm.document.backends[0].version, |b| &b.version);
        let origin = match ask.from_peer {
            Some(peer) => Origin::Peer(firm.members[peer].host.clone()),
            None => Origin::Caller,
        };
        Request {
            seq: RequestSeq(at as u64),
            origin,
            organisation: firm.document.organisations[call.class.organisation].name.clone(),
            tier: call.class.tier,
            route: route.name.clone(),
            backend: route.backend.clone(),
            version: version.clone(),
            content: call.content,
            prefix: call.prefix,
            prefix_tokens: call.prefix_tokens,
            prompt_tokens: call.prompt,
            max_output: route.max_output,
            delivered: ask.delivered,
            deadline: ask.deadline,
            idempotent: route.idempotent,
        }
    }

    /// The entry process stops what runs at its deadline; the caller of the rest goes away.
    pub(super) fn ask_deadline(&mut self, ask: usize) {
        if !self.asks[ask].open {
            return;
        }
        for key in self.attempts_of(ask) {
            self.stop_attempt(key, AttemptEnd::Overdue);
            self.fail_attempt(key, AttemptFailure::DeadlinePassed);
        }
        if self.asks[ask].open {
            let gone = Event::CallerGone(RequestSeq(ask as u64));
            self.handle(self.asks[ask].host, gone);
            self.answer(ask, Ending::Late, None);
        }
    }

    fn attempts_of(&self, ask: usize) -> Vec<JobKey> {
        let of_ask = self.attempts.iter().filter(|(_, attempt)| attempt.ask == ask);
        of_ask.map(|(key, _)| *key).collect()
    }

    pub(super) fn close(&mut self, ask: usize) {
        self.asks[ask].open = false;
        self.open_asks.remove(&ask);
    }

    /// The caller gets its final answer, and may ask again.
    pub(super) fn answer(&mut self, ask: usize, ending: Ending, retry_after: Option<Millis>) {
        if !self.asks[ask].open {
            return;
        }
        self.close(ask);
        let late = self.now > self.asks[ask].deadline
            || (self.now == self.asks[ask].deadline && ending != Ending::Good);
        let call = self.asks[ask].call;
        self.fates[call].refusals += u32::from(ending == Ending::Refused);
        let ending = if late { Ending::Late } else { ending };
        match self.asks_again_after(call, ending, retry_after) {
            Some(wait) => self.ask_again(call, wait),
            None => self.fates[call].ending = ending,
        }
    }

    fn asks_again_after(&self, call: usize, ending: Ending, retry_after: Option<Millis>) -> Option<Millis> {
        let spec = &self.setup.calls[call];
        let idempotent = self.setup.firm.document.routes[spec.class.route].idempotent;
        let may = match ending {
            Ending::Refused => true,
            Ending::Abandoned => idempotent,
            Ending::Good | Ending::Late | Ending::Open => false,
        };
        let honours = spec.content.0 & 1 == 0;
        let wait = match spec.habit {
            RetryHabit::Endless => return (self.now < self.setup.until).then_some(ENDLESS_WAIT),
            RetryHabit::GivesUp => None,
            RetryHabit::AsksAgain if !may => None,
            RetryHabit::AsksAgain if honours => retry_after,
            RetryHabit::AsksAgain => Some(IMPATIENT_WAIT),
        };
        wait.filter(|wait| self.now + *wait < spec.deadline)
    }

    fn ask_again(&mut self, call: usize, wait: Millis) {
        let host = match self.setup.calls[call].habit {
            RetryHabit::Endless => {
                self.tries[call] += 1;
                (self.tries[call] % self.hosts.len() as u64) as usize
            }
            _ => self.balance(call),
        };
        self.queue
            .push(self.now + wait, Happening::CallerAsks { call, host });
    }
}
