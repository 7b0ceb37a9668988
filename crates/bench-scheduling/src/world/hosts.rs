//! The entry hosts' side of the world: events in, actions out.

use carawayseam_scheduler::{Action, AttemptFailure, Event};
use carawayseam_types::{EngineId, HostId, Millis, RequestSeq, Tokens};
use carawayseam_wire::encode;

use super::{Attempt, AttemptNews, HOST_TICK, Happening, World, oracle};
use crate::engine::{Job, JobKey};
use crate::tally::{AttemptEnd, Ending};

/// How long a peer's announcement is under way, with the wait for its datagram.
const PEER_LAG: Millis = Millis(50);
/// One way between two entry hosts for a forwarded request.
const FORWARD_LAG: Millis = Millis(2);

impl World {
    /// Hands an event to a host and carries out what it answers.
    pub(super) fn handle(&mut self, host: usize, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.hosts[host].handle(self.now, event, &mut actions);
        let mut refused = Vec::new();
        for action in actions.drain(..) {
            self.carry_out(host, action, &mut refused);
        }
        self.actions = actions;
        // Only now, so that an eviction in the same answer counts as done.
        for refusal in refused {
            self.check_order(refusal);
        }
    }

    pub(super) fn tick_hosts(&mut self) {
        for host in 0..self.hosts.len() {
            self.handle(host, Event::Tick);
        }
        self.queue.push(self.now + HOST_TICK, Happening::HostTick);
    }

    fn carry_out(&mut self, host: usize, action: Action, refused: &mut Vec<oracle::Refused>) {
        match action {
            Action::Dispatch {
                attempt,
                request,
                engine,
                resume_offset,
                import_from,
                ..
            } => {
                let key = JobKey { host, attempt };
                let import =
                    import_from.map(|(engine, attempt)| (self.place(&engine), JobKey { host, attempt }));
                self.dispatch(key, request, &engine, resume_offset, import);
            }
            Action::Cancel { attempt, .. } => {
                let key = JobKey { host, attempt };
                self.stop_attempt(key, AttemptEnd::Cancelled);
                self.attempts.remove(&key);
            }
            Action::Refuse { request, refusal } => {
                let ask = request.0 as usize;
                if self.asks[ask].open {
                    refused.push(oracle::Refused {
                        ask,
                        reason: refusal.reason,
                    });
                }
                self.answer(ask, Ending::Refused, refusal.retry_after);
            }
            Action::Abandon {
                request, retry_after, ..
            } => self.answer(request.0 as usize, Ending::Abandoned, retry_after),
            Action::Forward { request, host: owner } => self.forward(host, request, &owner),
            Action::AnnouncePoison {
                content,
                engine,
                crashes,
            } => {
                let from = self.setup.firm.members[host].host.clone();
                let event = Event::PoisonReported {
                    content,
                    engine,
                    crashes,
                    host: from,
                };
                self.tell_peers(host, &event);
            }
            Action::AnnounceLoad(announcement) => {
                let peers = self.hosts.len() as u64 - 1;
                let bytes = encode(&announcement).map_or(0, |buf| buf.len() as u64);
                self.traffic.announcements += peers;
                self.traffic.bytes += peers * bytes;
                self.tell_peers(host, &Event::PeerLoad(announcement));
            }
            Action::Note(_) => {}
        }
    }

    fn place(&self, engine: &EngineId) -> usize {
        self.engine_places[engine]
    }

    fn tell_peers(&mut self, from: usize, event: &Event) {
        for host in (0..self.hosts.len()).filter(|host| *host != from) {
            self.tell(PEER_LAG, host, event.clone());
        }
    }

    fn dispatch(
        &mut self,
        key: JobKey,
        request: RequestSeq,
        engine: &EngineId,
        offset: Tokens,
        import: Option<(usize, JobKey)>,
    ) {
        let ask = request.0 as usize;
        let engine = self.place(engine);
        if !self.asks[ask].open {
            return;
        }
        self.broken_answers += u32::from(offset > self.asks[ask].delivered);
        self.asks[ask].last_dispatch = Some(self.now);
        let call = self.asks[ask].call;
        self.owners.insert(key, call);
        let attempt = Attempt {
            ask,
            engine,
            sent: self.now,
            last_news: self.now,
            began: false,
        };
        self.attempts.insert(key, attempt);
        let job = Box::new(self.job(key, call, offset));
        let at = self.now + self.delay(key.host, engine);
        self.queue
            .push(at, Happening::EngineReceives { engine, job, import });
    }

    fn job(&self, key: JobKey, call: usize, offset: Tokens) -> Job {
        let call = &self.setup.calls[call];
        Job {
            key,
            prefix: call.prefix,
            prefix_tokens: call.prefix_tokens,
            prompt: call.prompt + offset,
            offset,
            output: call.output,
            poison: call.poison,
        }
    }

    fn forward(&mut self, from: usize, request: RequestSeq, owner: &HostId) {
        let ask = request.0 as usize;
        let mut members = self.setup.firm.members.iter();
        let Some(to) = members.position(|member| member.host == *owner) else {
            return;
        };
        if !self.asks[ask].open {
            return;
        }
        self.traffic.forwards += 1;
        self.traffic.bytes += encode(&self.request(ask)).map_or(0, |buf| buf.len() as u64);
        self.close(ask);
        let deadline = self.asks[ask].deadline;
        let call = self.asks[ask].call;
        self.open_ask(call, to, Some(from), deadline, FORWARD_LAG);
    }

    /// Stops an attempt at its engine; its late news is dropped.
    pub(super) fn stop_attempt(&mut self, key: JobKey, end: AttemptEnd) {
        if let Some(attempt) = self.attempts.get(&key) {
            let engine = attempt.engine;
            let at = self.now + self.delay(key.host, engine);
            self.queue.push(at, Happening::EngineCancels { engine, key, end });
        }
    }

    /// Forgets an attempt and tells its host that it failed.
    pub(super) fn fail_attempt(&mut self, key: JobKey, failure: AttemptFailure) {
        if let Some(attempt) = self.attempts.remove(&key) {
            let event = Event::Failed {
                attempt: key.attempt,
                failure,
                produced: self.asks[attempt.ask].delivered,
            };
            self.handle(key.host, event);
        }
    }

    pub(super) fn attempt_news(&mut self, key: JobKey, news: AttemptNews) {
        let now = self.now;
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        attempt.last_news = now;
        attempt.began = true;
        let ask = attempt.ask;
        let attempt = key.attempt;
        match news {
            AttemptNews::First => self.handle(key.host, Event::FirstToken { attempt }),
            AttemptNews::Progress(produced) => {
                let produced = self.deliver(ask, produced);
                self.handle(key.host, Event::Progress { attempt, produced });
            }
            AttemptNews::Finished(output) => {
                let produced = self.deliver(ask, output);
                self.attempts.remove(&key);
                self.answer(ask, Ending::Good, None);
                self.handle(key.host, Event::Finished { attempt, produced });
            }
            AttemptNews::Failed(failure) => self.fail_attempt(key, failure),
        }
    }

    /// Hands tokens to the caller; a plain service's answer has none.
    fn deliver(&mut self, ask: usize, produced: Tokens) -> Tokens {
        let call = &self.setup.calls[self.asks[ask].call];
        if call.prompt == Tokens(0) {
            return Tokens(0);
        }
        self.asks[ask].delivered = self.asks[ask].delivered.max(produced);
        self.asks[ask].delivered
    }
}
