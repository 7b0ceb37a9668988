//! One host's part in the lease of one environment.

use carawayseam_external::kv::{Entry, GrantRequest, PutRequest};
use carawayseam_types::{Clock, Millis, Nonce};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use crate::config::{CALL_TIMEOUT, CLOCK_BACK_ALLOWED, HolderEntry, LOOK_JITTER, LOOK_PERIOD, LeaseConfig};
use crate::state::{Candidate, Follower, Grant, Holder, LapseCause, Lapsed, State};
use crate::{
    CallId, LeaseAction, LeaseDump, LeaseEvent, OrderPermit, PermitDenied, StoreCall, StoreResponse,
};

/// One host's part in the lease of one environment.
#[derive(Debug)]
pub struct Lease {
    config: LeaseConfig,
    state: State,
    rng: Xoshiro256PlusPlus,
    last_call: u64,
    pending: Option<(CallId, Millis)>,
    newest: Millis,
    holder: Option<HolderEntry>,
}

impl Lease {
    /// Makes a follower that looks for a holder at its first tick.
    #[must_use]
    pub fn new(config: LeaseConfig) -> Self {
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(config.seed),
            config,
            state: State::Follower(Follower {
                look_at: Millis::ZERO,
            }),
            last_call: 0,
            pending: None,
            newest: Millis::ZERO,
            holder: None,
        }
    }

    /// Takes one event at the time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: LeaseEvent, actions: &mut Vec<LeaseAction>) {
        if let Some(cause) = self.lapse_at(now) {
            self.lapse(cause, actions);
        }
        self.follow_clock(now);
        match event {
            LeaseEvent::Response {
                call,
                response: answer,
            } => self.take_answer(now, call, answer, actions),
            LeaseEvent::HolderGone => self.holder_gone(now),
            LeaseEvent::Resign => self.resign(actions),
            LeaseEvent::Tick => self.tick(now, actions),
        }
    }

    /// Reads the clock and gives the right to send one order, if the lease still runs.
    ///
    /// # Errors
    ///
    /// [`PermitDenied`] when this host does not hold the lease, or not any more.
    pub fn permit(&mut self, clock: &Clock) -> Result<OrderPermit, PermitDenied> {
        let now = clock.now();
        let cause = self.lapse_at(now);
        // A reading that goes back stays visible to the next event.
        self.newest = self.newest.max(now);
        match (&self.state, cause) {
            (State::Holder(_), Some(cause)) => Err(PermitDenied::Lapsed(cause)),
            (State::Lapsed(lapsed), _) => Err(PermitDenied::Lapsed(lapsed.cause)),
            (State::Holder(holder), None) => Ok(OrderPermit {
                token: holder.grant.token,
                remaining: holder.grant.valid_until - now,
            }),
            (State::Follower(_) | State::Candidate(_), _) => Err(PermitDenied::NotHolder),
        }
    }

    /// The state, for the state dump.
    #[must_use]
    pub fn dump(&self, now: Millis) -> LeaseDump {
        let grant = match &self.state {
            State::Holder(holder) => Some(holder.grant),
            _ => None,
        };
        LeaseDump {
            key: self.config.key(),
            state: self.state.name(),
            holder: self.holder.clone(),
            token: grant.map(|grant| grant.token),
            remaining: grant.map(|grant| grant.valid_until - now),
        }
    }

    /// Whether a clock that reads `now` has ended the lease.
    fn lapse_at(&self, now: Millis) -> Option<LapseCause> {
        let grant = match &self.state {
            State::Holder(holder) => holder.grant,
            State::Candidate(Candidate {
                grant: Some(grant), ..
            }) => *grant,
            State::Candidate(_) | State::Follower(_) | State::Lapsed(_) => return None,
        };
        match () {
            () if self.stepped_back(now) => Some(LapseCause::ClockBack),
            () if now >= grant.valid_until => Some(LapseCause::Expired),
            () => None,
        }
    }

    fn stepped_back(&self, now: Millis) -> bool {
        now + CLOCK_BACK_ALLOWED < self.newest
    }

    /// Drops the call under way if the clock went back, since its age cannot be told.
    fn follow_clock(&mut self, now: Millis) {
        if self.stepped_back(now) {
            self.newest = now;
            self.follow_later(now);
        }
        self.newest = self.newest.max(now);
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<LeaseAction>) {
        match self.pending {
            Some((call, sent_at)) if now.since(sent_at) >= CALL_TIMEOUT => {
                self.take_answer(now, call, StoreResponse::NoResponse, actions);
            }
            Some(_) => {}
            None => self.start_call(now, actions),
        }
    }

    fn start_call(&mut self, now: Millis, actions: &mut Vec<LeaseAction>) {
        let request = match &self.state {
            State::Follower(follower) if now >= follower.look_at => self.look(),
            State::Holder(holder) if holder.is_doubted => self.look(),
            State::Holder(holder) if now >= holder.renew_at => StoreCall::Renew(holder.grant.request()),
            State::Lapsed(_) => {
                self.follow_later(now);
                return;
            }
            State::Follower(_) | State::Holder(_) | State::Candidate(_) => return,
        };
        self.call(now, request, actions);
    }

    fn take_answer(
        &mut self,
        now: Millis,
        call: CallId,
        answer: StoreResponse,
        actions: &mut Vec<LeaseAction>,
    ) {
        let Some((_, sent_at)) = self.pending.take_if(|(pending, _)| *pending == call) else {
            return;
        };
        match std::mem::replace(&mut self.state, State::Follower(Follower { look_at: now })) {
            State::Follower(follower) => self.follower_answer(now, follower, answer, actions),
            State::Candidate(candidate) => self.candidate_answer(now, sent_at, candidate, answer, actions),
            State::Holder(holder) => self.holder_answer(now, sent_at, holder, answer, actions),
            State::Lapsed(lapsed) => self.state = State::Lapsed(lapsed),
        }
    }

    fn follower_answer(
        &mut self,
        now: Millis,
        follower: Follower,
        answer: StoreResponse,
        actions: &mut Vec<LeaseAction>,
    ) {
        match answer {
            StoreResponse::Entry(None) => {
                self.holder = None;
                let nonce = Nonce(self.rng.random());
                self.state = State::Candidate(follower.stand(nonce));
                let ttl_ms = self.config.ttl.0;
                self.call(now, StoreCall::Grant(GrantRequest { ttl_ms }), actions);
            }
            StoreResponse::Entry(Some(entry)) => {
                self.holder = HolderEntry::from_json(&entry.value);
                self.follow_later(now);
            }
            _ => self.follow_later(now),
        }
    }

    fn candidate_answer(
        &mut self,
        now: Millis,
        sent_at: Millis,
        mut candidate: Candidate,
        answer: StoreResponse,
        actions: &mut Vec<LeaseAction>,
    ) {
        match (candidate.grant, answer) {
            (None, StoreResponse::Granted(lease)) => {
                let grant = Grant::new(lease, sent_at, self.config.safe_ttl());
                candidate.grant = Some(grant);
                self.create(now, candidate, grant, actions);
            }
            (Some(grant), StoreResponse::Written(_)) => self.win(now, candidate, grant, actions),
            (Some(grant), StoreResponse::Conflict(conflict)) => {
                self.settle(now, candidate, grant, conflict.current, actions);
            }
            (Some(grant), StoreResponse::Entry(None)) => self.create(now, candidate, grant, actions),
            (Some(grant), StoreResponse::Entry(entry)) => self.settle(now, candidate, grant, entry, actions),
            // The write may have taken effect; its nonce tells.
            (Some(_), StoreResponse::NoResponse) => {
                self.state = State::Candidate(candidate);
                let request = self.look();
                self.call(now, request, actions);
            }
            (grant, _) => self.give_up(now, candidate, grant, actions),
        }
    }

    fn holder_answer(
        &mut self,
        now: Millis,
        sent_at: Millis,
        mut holder: Holder,
        answer: StoreResponse,
        actions: &mut Vec<LeaseAction>,
    ) {
        match answer {
            StoreResponse::Renewed(lease) => {
                let grant = Grant::new(lease, sent_at, self.config.safe_ttl());
                holder.renewed(grant, now, self.config.ttl);
                self.state = State::Holder(holder);
            }
            StoreResponse::LeaseGone => {
                self.state = State::Holder(holder);
                self.lapse(LapseCause::Gone, actions);
            }
            StoreResponse::Entry(entry) => self.check_entry(holder, entry.as_ref(), actions),
            // Unanswered renewals are tried again until the lease runs out.
            _ => self.state = State::Holder(holder),
        }
    }

    /// Goes on holding only while the entry is its own.
    fn check_entry(&mut self, mut holder: Holder, entry: Option<&Entry>, actions: &mut Vec<LeaseAction>) {
        let found = entry.and_then(|entry| HolderEntry::from_json(&entry.value));
        let is_own = found.is_some() && found == self.holder;
        holder.is_doubted = false;
        self.state = State::Holder(holder);
        if !is_own {
            self.holder = found;
            self.lapse(LapseCause::Gone, actions);
        }
    }

    fn create(&mut self, now: Millis, candidate: Candidate, grant: Grant, actions: &mut Vec<LeaseAction>) {
        let mut put = PutRequest::create(self.config.key(), self.entry(candidate.nonce).to_json());
        put.lease = Some(grant.token.0);
        self.state = State::Candidate(candidate);
        self.call(now, StoreCall::Put(put), actions);
    }

    /// Wins if the entry read back is this candidate's own.
    fn settle(
        &mut self,
        now: Millis,
        candidate: Candidate,
        grant: Grant,
        entry: Option<Entry>,
        actions: &mut Vec<LeaseAction>,
    ) {
        let holder = entry.and_then(|entry| HolderEntry::from_json(&entry.value));
        if holder == Some(self.entry(candidate.nonce)) {
            self.win(now, candidate, grant, actions);
            return;
        }
        self.holder = holder;
        self.give_up(now, candidate, Some(grant), actions);
    }

    fn win(&mut self, now: Millis, candidate: Candidate, grant: Grant, actions: &mut Vec<LeaseAction>) {
        self.holder = Some(self.entry(candidate.nonce));
        self.state = State::Holder(candidate.win(grant, now, self.config.ttl));
        let token = grant.token;
        actions.push(LeaseAction::Acquired { token });
    }

    fn give_up(
        &mut self,
        now: Millis,
        candidate: Candidate,
        grant: Option<Grant>,
        actions: &mut Vec<LeaseAction>,
    ) {
        let look_at = self.next_look(now);
        self.state = State::Follower(candidate.lose(look_at));
        self.revoke(grant, actions);
    }

    fn lapse(&mut self, cause: LapseCause, actions: &mut Vec<LeaseAction>) {
        let look_at = self.newest;
        match std::mem::replace(&mut self.state, State::Follower(Follower { look_at })) {
            State::Holder(holder) => {
                let grant = holder.grant;
                let Lapsed { token, cause } = holder.lapse(cause);
                self.state = State::Lapsed(Lapsed { token, cause });
                actions.push(LeaseAction::Lost { token, cause });
                self.revoke(Some(grant), actions);
            }
            State::Candidate(candidate) => self.revoke(candidate.grant, actions),
            other => self.state = other,
        }
        self.pending = None;
    }

    fn resign(&mut self, actions: &mut Vec<LeaseAction>) {
        self.lapse(LapseCause::Resigned, actions);
        // Never looks again: the process is about to stop.
        self.state = State::Follower(Follower { look_at: Millis::MAX });
    }

    /// Followers look soon; a holder makes sure that a late word is not about its own entry.
    fn holder_gone(&mut self, now: Millis) {
        let soon = now + Millis(self.rng.random_range(0..LOOK_JITTER.0));
        match &mut self.state {
            State::Follower(follower) if follower.look_at < Millis::MAX => {
                follower.look_at = follower.look_at.min(soon);
            }
            State::Holder(holder) => holder.is_doubted = true,
            State::Follower(_) | State::Candidate(_) | State::Lapsed(_) => {}
        }
    }

    fn follow_later(&mut self, now: Millis) {
        self.pending = None;
        let look_at = self.next_look(now);
        let state = std::mem::replace(&mut self.state, State::Follower(Follower { look_at }));
        self.state = match state {
            State::Lapsed(lapsed) => State::Follower(lapsed.follow(look_at)),
            State::Candidate(candidate) => State::Follower(candidate.lose(look_at)),
            State::Follower(_) => State::Follower(Follower { look_at }),
            holder @ State::Holder(_) => holder,
        };
    }

    fn next_look(&mut self, now: Millis) -> Millis {
        now + LOOK_PERIOD + Millis(self.rng.random_range(0..LOOK_JITTER.0))
    }

    fn look(&self) -> StoreCall {
        StoreCall::Get {
            key: self.config.key(),
        }
    }

    fn entry(&self, nonce: Nonce) -> HolderEntry {
        HolderEntry {
            host: self.config.host.clone(),
            nonce,
        }
    }

    /// Frees the environment sooner than the lease's end would.
    fn revoke(&mut self, grant: Option<Grant>, actions: &mut Vec<LeaseAction>) {
        if let Some(grant) = grant {
            let call = self.next_call();
            let request = StoreCall::Revoke(grant.request());
            actions.push(LeaseAction::Call { call, request });
        }
    }

    fn call(&mut self, now: Millis, request: StoreCall, actions: &mut Vec<LeaseAction>) {
        let call = self.next_call();
        self.pending = Some((call, now));
        actions.push(LeaseAction::Call { call, request });
    }

    const fn next_call(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }
}
