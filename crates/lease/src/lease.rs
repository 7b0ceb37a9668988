//! The state machine with which one host competes for, holds and loses the lease of one
//! environment.

use carawayseam_external::kv::{Entry, GrantRequest, PutRequest};
use carawayseam_types::{Clock, Millis, Nonce};
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};

use crate::config::{
    CALL_TIMEOUT, HolderEntry, LeaseConfig, MAX_CLOCK_STEP_BACK, MIN_READ_INTERVAL, READ_JITTER,
};
use crate::state::{Candidate, Follower, Grant, Holder, LapseCause, Lapsed, State};
use crate::{
    CallId, LeaseAction, LeaseDump, LeaseEvent, OrderPermit, PermitDenied, StoreCall, StoreResponse,
};

/// The state machine with which one host competes for the lease of one environment.
#[derive(Debug)]
pub struct Lease {
    config: LeaseConfig,
    state: State,
    rng: Xoshiro256PlusPlus,
    last_call: u64,
    pending: Option<(CallId, Millis)>,
    latest: Millis,
    holder: Option<HolderEntry>,
}

impl Lease {
    /// Creates a follower that reads the holder's entry on its first tick.
    #[must_use]
    pub fn new(config: LeaseConfig) -> Self {
        Self {
            rng: Xoshiro256PlusPlus::seed_from_u64(config.seed),
            config,
            state: State::Follower(Follower {
                read_at: Millis::ZERO,
            }),
            last_call: 0,
            pending: None,
            latest: Millis::ZERO,
            holder: None,
        }
    }

    /// Handles one event at the time `now` and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: LeaseEvent, actions: &mut Vec<LeaseAction>) {
        if let Some(cause) = self.lapse_cause(now) {
            self.lapse(cause, actions);
        }
        self.track_clock(now);
        match event {
            LeaseEvent::Response { call, response } => self.handle_response(now, call, response, actions),
            LeaseEvent::HolderGone => self.handle_holder_gone(now),
            LeaseEvent::Resign => self.resign(actions),
            LeaseEvent::Tick => self.tick(now, actions),
        }
    }

    /// Reads the clock and returns a permit for one order if the lease is still valid.
    ///
    /// # Errors
    ///
    /// Returns [`PermitDenied`] if this host does not hold the lease or the lease has lapsed.
    pub fn permit(&mut self, clock: &Clock) -> Result<OrderPermit, PermitDenied> {
        let now = clock.now();
        let cause = self.lapse_cause(now);
        // `latest` never decreases here, so the next event also detects a step back of the clock.
        self.latest = self.latest.max(now);
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

    /// Returns the state for the state dump.
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

    /// Returns why the lease has lapsed if the clock reads `now`, or `None` if it has not.
    fn lapse_cause(&self, now: Millis) -> Option<LapseCause> {
        let grant = match &self.state {
            State::Holder(holder) => holder.grant,
            State::Candidate(Candidate {
                grant: Some(grant), ..
            }) => *grant,
            State::Candidate(_) | State::Follower(_) | State::Lapsed(_) => return None,
        };
        match () {
            () if self.has_stepped_back(now) => Some(LapseCause::ClockBack),
            () if now >= grant.valid_until => Some(LapseCause::Expired),
            () => None,
        }
    }

    fn has_stepped_back(&self, now: Millis) -> bool {
        now + MAX_CLOCK_STEP_BACK < self.latest
    }

    /// Drops the pending call if the clock stepped back, because its age is then unknown.
    fn track_clock(&mut self, now: Millis) {
        if self.has_stepped_back(now) {
            self.latest = now;
            self.schedule_read(now);
        }
        self.latest = self.latest.max(now);
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<LeaseAction>) {
        match self.pending {
            Some((call, sent_at)) if now.since(sent_at) >= CALL_TIMEOUT => {
                self.handle_response(now, call, StoreResponse::NoResponse, actions);
            }
            Some(_) => {}
            None => self.send_due_call(now, actions),
        }
    }

    fn send_due_call(&mut self, now: Millis, actions: &mut Vec<LeaseAction>) {
        let request = match &self.state {
            State::Follower(follower) if now >= follower.read_at => self.read_request(),
            State::Holder(holder) if holder.needs_check => self.read_request(),
            State::Holder(holder) if now >= holder.renew_at => StoreCall::Renew(holder.grant.request()),
            State::Lapsed(_) => {
                self.schedule_read(now);
                return;
            }
            State::Follower(_) | State::Holder(_) | State::Candidate(_) => return,
        };
        self.send(now, request, actions);
    }

    fn handle_response(
        &mut self,
        now: Millis,
        call: CallId,
        response: StoreResponse,
        actions: &mut Vec<LeaseAction>,
    ) {
        let Some((_, sent_at)) = self.pending.take_if(|(pending, _)| *pending == call) else {
            return;
        };
        match std::mem::replace(&mut self.state, State::Follower(Follower { read_at: now })) {
            State::Follower(follower) => self.advance_follower(now, follower, response, actions),
            State::Candidate(candidate) => self.advance_candidate(now, sent_at, candidate, response, actions),
            State::Holder(holder) => self.advance_holder(now, sent_at, holder, response, actions),
            State::Lapsed(lapsed) => self.state = State::Lapsed(lapsed),
        }
    }

    fn advance_follower(
        &mut self,
        now: Millis,
        follower: Follower,
        response: StoreResponse,
        actions: &mut Vec<LeaseAction>,
    ) {
        match response {
            StoreResponse::Entry(None) => {
                self.holder = None;
                let nonce = Nonce(self.rng.random());
                self.state = State::Candidate(follower.into_candidate(nonce));
                let ttl_ms = self.config.ttl.0;
                self.send(now, StoreCall::Grant(GrantRequest { ttl_ms }), actions);
            }
            StoreResponse::Entry(Some(entry)) => {
                self.holder = HolderEntry::from_json(&entry.value);
                self.schedule_read(now);
            }
            _ => self.schedule_read(now),
        }
    }

    fn advance_candidate(
        &mut self,
        now: Millis,
        sent_at: Millis,
        mut candidate: Candidate,
        response: StoreResponse,
        actions: &mut Vec<LeaseAction>,
    ) {
        match (candidate.grant, response) {
            (None, StoreResponse::Granted(lease)) => {
                let grant = Grant::new(lease, sent_at, self.config.safe_ttl());
                candidate.grant = Some(grant);
                self.create_entry(now, candidate, grant, actions);
            }
            (Some(grant), StoreResponse::Written(_)) => self.become_holder(now, candidate, grant, actions),
            (Some(grant), StoreResponse::Conflict(conflict)) => {
                self.verify(now, candidate, grant, conflict.current, actions);
            }
            (Some(grant), StoreResponse::Entry(None)) => self.create_entry(now, candidate, grant, actions),
            (Some(grant), StoreResponse::Entry(entry)) => self.verify(now, candidate, grant, entry, actions),
            // The write may have taken effect; the nonce of the entry read back shows whether it did.
            (Some(_), StoreResponse::NoResponse) => {
                self.state = State::Candidate(candidate);
                let request = self.read_request();
                self.send(now, request, actions);
            }
            (grant, _) => self.abandon_candidacy(now, candidate, grant, actions),
        }
    }

    fn advance_holder(
        &mut self,
        now: Millis,
        sent_at: Millis,
        mut holder: Holder,
        response: StoreResponse,
        actions: &mut Vec<LeaseAction>,
    ) {
        match response {
            StoreResponse::Renewed(lease) => {
                let grant = Grant::new(lease, sent_at, self.config.safe_ttl());
                holder.extend(grant, now, self.config.ttl);
                self.state = State::Holder(holder);
            }
            StoreResponse::LeaseGone => {
                self.state = State::Holder(holder);
                self.lapse(LapseCause::Gone, actions);
            }
            StoreResponse::Entry(entry) => self.check_entry(holder, entry.as_ref(), actions),
            // Renewals without a response are retried until the lease expires.
            _ => self.state = State::Holder(holder),
        }
    }

    /// Keeps the lease only if the entry read is this host's own.
    fn check_entry(&mut self, mut holder: Holder, entry: Option<&Entry>, actions: &mut Vec<LeaseAction>) {
        let found = entry.and_then(|entry| HolderEntry::from_json(&entry.value));
        let is_own = found.is_some() && found == self.holder;
        holder.needs_check = false;
        self.state = State::Holder(holder);
        if !is_own {
            self.holder = found;
            self.lapse(LapseCause::Gone, actions);
        }
    }

    fn create_entry(
        &mut self,
        now: Millis,
        candidate: Candidate,
        grant: Grant,
        actions: &mut Vec<LeaseAction>,
    ) {
        let mut put = PutRequest::create(self.config.key(), self.own_entry(candidate.nonce).to_json());
        put.lease = Some(grant.token.0);
        self.state = State::Candidate(candidate);
        self.send(now, StoreCall::Put(put), actions);
    }

    /// Becomes the holder if the entry read back is this candidate's own; otherwise abandons the
    /// candidacy.
    fn verify(
        &mut self,
        now: Millis,
        candidate: Candidate,
        grant: Grant,
        entry: Option<Entry>,
        actions: &mut Vec<LeaseAction>,
    ) {
        let holder = entry.and_then(|entry| HolderEntry::from_json(&entry.value));
        if holder == Some(self.own_entry(candidate.nonce)) {
            self.become_holder(now, candidate, grant, actions);
            return;
        }
        self.holder = holder;
        self.abandon_candidacy(now, candidate, Some(grant), actions);
    }

    fn become_holder(
        &mut self,
        now: Millis,
        candidate: Candidate,
        grant: Grant,
        actions: &mut Vec<LeaseAction>,
    ) {
        self.holder = Some(self.own_entry(candidate.nonce));
        self.state = State::Holder(candidate.into_holder(grant, now, self.config.ttl));
        let token = grant.token;
        actions.push(LeaseAction::Acquired { token });
    }

    fn abandon_candidacy(
        &mut self,
        now: Millis,
        candidate: Candidate,
        grant: Option<Grant>,
        actions: &mut Vec<LeaseAction>,
    ) {
        let read_at = self.next_read_time(now);
        self.state = State::Follower(candidate.withdraw(read_at));
        self.revoke(grant, actions);
    }

    fn lapse(&mut self, cause: LapseCause, actions: &mut Vec<LeaseAction>) {
        let read_at = self.latest;
        match std::mem::replace(&mut self.state, State::Follower(Follower { read_at })) {
            State::Holder(holder) => {
                let grant = holder.grant;
                let Lapsed { token, cause } = holder.into_lapsed(cause);
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
        // Never reads the entry again, because the process is about to stop.
        self.state = State::Follower(Follower { read_at: Millis::MAX });
    }

    /// Makes a follower read the entry soon. A holder checks that its own entry still exists,
    /// because the event may be late and concern the entry of an earlier holder.
    fn handle_holder_gone(&mut self, now: Millis) {
        let soon = now + Millis(self.rng.random_range(0..READ_JITTER.0));
        match &mut self.state {
            State::Follower(follower) if follower.read_at < Millis::MAX => {
                follower.read_at = follower.read_at.min(soon);
            }
            State::Holder(holder) => holder.needs_check = true,
            State::Follower(_) | State::Candidate(_) | State::Lapsed(_) => {}
        }
    }

    fn schedule_read(&mut self, now: Millis) {
        self.pending = None;
        let read_at = self.next_read_time(now);
        let state = std::mem::replace(&mut self.state, State::Follower(Follower { read_at }));
        self.state = match state {
            State::Lapsed(lapsed) => State::Follower(lapsed.into_follower(read_at)),
            State::Candidate(candidate) => State::Follower(candidate.withdraw(read_at)),
            State::Follower(_) => State::Follower(Follower { read_at }),
            holder @ State::Holder(_) => holder,
        };
    }

    fn next_read_time(&mut self, now: Millis) -> Millis {
        now + MIN_READ_INTERVAL + Millis(self.rng.random_range(0..READ_JITTER.0))
    }

    fn read_request(&self) -> StoreCall {
        StoreCall::Get {
            key: self.config.key(),
        }
    }

    fn own_entry(&self, nonce: Nonce) -> HolderEntry {
        HolderEntry {
            host: self.config.host.clone(),
            nonce,
        }
    }

    /// Revokes the lease, so that another host can acquire it before it expires.
    fn revoke(&mut self, grant: Option<Grant>, actions: &mut Vec<LeaseAction>) {
        if let Some(grant) = grant {
            let call = self.next_call_id();
            let request = StoreCall::Revoke(grant.request());
            actions.push(LeaseAction::Call { call, request });
        }
    }

    fn send(&mut self, now: Millis, request: StoreCall, actions: &mut Vec<LeaseAction>) {
        let call = self.next_call_id();
        self.pending = Some((call, now));
        actions.push(LeaseAction::Call { call, request });
    }

    const fn next_call_id(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }
}
