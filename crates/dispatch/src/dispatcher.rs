//! Request queues of all backends, and the assignment of each request to a backend server.

mod availability;
mod brittle;
mod capacity;
mod fair_shares;
mod measured_loads;
mod peers;
mod reach;
mod relay;

use std::collections::{BTreeSet, HashMap};

use carawayseam_types::{BackendName, EngineId, EngineKey, HostId, Millis, ZoneId};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::brittle_servers::BrittleServers;
use crate::caller_time::Work;
use crate::capacity::{BackendCapacity, Sample};
use crate::draining_servers::DrainingServers;
use crate::engine::{AttemptEnd, Engine, EngineEntry, PromptPart};
use crate::evacuation::EvacuatedZones;
use crate::fair_shares::{CountedWork, ShareWeights};
use crate::job::{Action, Job, Ticket};
use crate::peer_loads::PeerLoads;
use crate::pool::{Pool, SchedulingContext, Waiting};
use crate::reach::{PROBE_INTERVAL, ReachRounds};
use crate::retries::{RetryBounds, RetryBudget};
use crate::rotation::Rotation;
use crate::speed::Pace;
use measured_loads::{HeldConfirmations, RefusedClaims};

pub use measured_loads::{ClaimedSlot, HeldLoad};
pub use relay::RelayTarget;

/// An attempt that was sent to a backend server and has not ended.
#[derive(Debug)]
struct Running {
    backend: BackendName,
    engine: EngineId,
    /// Peer through which the request was sent; `None` if it was sent directly.
    via: Option<HostId>,
    started: Millis,
    /// Prompt tokens that the server reads before the first event, including those of this request.
    tokens_ahead: f64,
    /// Prompt tokens of this request that the server has not cached.
    own_tokens: f64,
    is_first_event_due: bool,
    /// Requests that ran on the server at the last sample of the time between events.
    concurrency: u32,
    /// Whether the response was lost, and its cause is being checked.
    is_loss_checked: bool,
    parts: Vec<PromptPart>,
    /// What the request counts for its organisation; `None` if shares were not enforced at its start.
    counted_work: Option<CountedWork>,
}

/// Queues the requests of one host and assigns them to backend servers.
#[derive(Debug)]
pub struct Dispatcher {
    zone: ZoneId,
    now: Millis,
    rng: StdRng,
    next_ticket: u64,
    pools: HashMap<BackendName, Pool>,
    budgets: HashMap<BackendName, RetryBudget>,
    bounds: RetryBounds,
    host_count: u32,
    running: HashMap<Ticket, Running>,
    waiting_backends: HashMap<Ticket, BackendName>,
    peers: PeerLoads,
    draining_servers: DrainingServers,
    evacuated: EvacuatedZones,
    brittle_servers: BrittleServers,
    last_dispatch_at: Millis,
    reach_rounds: ReachRounds,
    refused_claims: RefusedClaims,
    /// The servers whose slots this host owns, if hosts claim slots from their owners.
    owned_slots: BTreeSet<EngineKey>,
    held_confirmations: HeldConfirmations,
    learns_capacity: bool,
    sample_messages: HeldConfirmations,
    forwarded_paces: Rotation,
    told_measurements: Rotation,
    share_weights: ShareWeights,
}

impl Dispatcher {
    /// Creates a dispatcher without any servers.
    #[must_use]
    pub fn new(zone: ZoneId, bounds: RetryBounds, seed: u64) -> Self {
        Self {
            zone,
            now: Millis::ZERO,
            rng: StdRng::seed_from_u64(seed),
            next_ticket: 1,
            pools: HashMap::new(),
            budgets: HashMap::new(),
            bounds,
            host_count: 1,
            running: HashMap::new(),
            waiting_backends: HashMap::new(),
            peers: PeerLoads::default(),
            draining_servers: DrainingServers::default(),
            evacuated: EvacuatedZones::default(),
            brittle_servers: BrittleServers::default(),
            last_dispatch_at: Millis::ZERO,
            reach_rounds: ReachRounds::default(),
            refused_claims: RefusedClaims::default(),
            owned_slots: BTreeSet::new(),
            held_confirmations: HeldConfirmations::default(),
            learns_capacity: true,
            sample_messages: HeldConfirmations::default(),
            forwarded_paces: Rotation::new(),
            told_measurements: Rotation::new(),
            share_weights: ShareWeights::default(),
        }
    }

    /// Sets the number of hosts that share the retry budget.
    pub fn set_host_count(&mut self, host_count: u32) {
        self.host_count = host_count;
        for budget in self.budgets.values_mut() {
            budget.set_host_count(host_count);
        }
    }

    /// Replaces the list of servers and returns the actions that follow from it.
    pub fn set_engines(&mut self, now: Millis, entries: Vec<EngineEntry>) -> Vec<Action> {
        self.now = self.now.max(now);
        let mut by_backend: HashMap<BackendName, Vec<EngineEntry>> = HashMap::new();
        for mut entry in entries {
            entry.is_draining |= self.draining_servers.contains(&entry.id, entry.started);
            by_backend.entry(entry.backend.clone()).or_default().push(entry);
        }
        for (backend, pool) in &mut self.pools {
            let listed = by_backend.remove(backend).unwrap_or_default();
            sync_engines(self.now, pool, listed);
        }
        for (backend, listed) in by_backend {
            let pool = self.pools.entry(backend).or_insert_with(Pool::new);
            sync_engines(self.now, pool, listed);
        }
        self.mark_evacuated();
        self.dispatch_all_waiting()
    }

    /// Enqueues a new request.
    ///
    /// It is refused at once if it cannot start early enough to be answered within its caller's time.
    pub fn submit(&mut self, now: Millis, job: Job) -> (Ticket, Vec<Action>) {
        self.budget(&job.backend).on_request();
        self.enqueue(now, job)
    }

    /// Returns the expected duration of a request on a server of a backend, for a prompt in tokens and a number of
    /// events.
    #[must_use]
    pub fn expected_work(&self, backend: &BackendName, prompt: u32, events: u32) -> Work {
        let pool = self.pools.get(backend);
        let pace = pool.map_or(Pace::ASSUMED, |pool| pool.baseline);
        pace.work(prompt, events)
    }

    /// Returns the delay after which a place is expected for a request that is refused without having waited.
    pub fn retry_delay(&mut self, now: Millis, job: &Job) -> Millis {
        self.now = self.now.max(now);
        let Some(pool) = self.pools.get_mut(&job.backend) else {
            return PROBE_INTERVAL;
        };
        let cx = SchedulingContext::new(
            self.now,
            &self.zone,
            &self.peers,
            &self.brittle_servers,
            &self.share_weights,
            self.host_count,
            &job.backend,
        );
        pool.promise_place(&cx, job).since(self.now)
    }

    /// Enqueues a retry, or returns `None` if the retry budget is used up.
    pub fn submit_retry(&mut self, now: Millis, job: Job) -> Option<(Ticket, Vec<Action>)> {
        let granted = self.budget(&job.backend).take();
        granted.then(|| self.enqueue(now, job))
    }

    /// Returns whether the retry budget of a backend has a retry left.
    pub fn has_retry(&mut self, backend: &BackendName) -> bool {
        self.budget(backend).has_retry()
    }

    /// Takes a retry for a request that was enqueued without one; returns false if none is left.
    pub fn take_retry(&mut self, backend: &BackendName) -> bool {
        self.budget(backend).take()
    }

    /// Returns a retry that was taken for a request of which no byte was sent then.
    pub fn return_retry(&mut self, backend: &BackendName) {
        self.budget(backend).give_back();
    }

    /// Enqueues a request again of which no byte was sent, so that it does not count as a retry.
    pub fn submit_unsent(&mut self, now: Millis, job: Job) -> (Ticket, Vec<Action>) {
        self.enqueue(now, job)
    }

    fn enqueue(&mut self, now: Millis, job: Job) -> (Ticket, Vec<Action>) {
        self.now = self.now.max(now);
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let backend = job.backend.clone();
        self.waiting_backends.insert(ticket, backend.clone());
        let pool = self.pools.entry(backend.clone()).or_insert_with(Pool::new);
        pool.waiting.push(Waiting { ticket, job });
        let mut actions = Vec::new();
        // Its turn may have come, even if the estimate of its work leaves no time.
        self.start_waiting(&backend, &mut actions);
        self.refuse_unservable(&backend, &mut actions);
        (ticket, actions)
    }

    /// Records the arrival of the first event or of a plain response.
    pub fn record_first_event(&mut self, now: Millis, ticket: Ticket) {
        self.now = self.now.max(now);
        let Some(running) = self.running.get_mut(&ticket) else {
            return;
        };
        if !std::mem::take(&mut running.is_first_event_due) {
            return;
        }
        let millis = self.now.since(running.started).0 as f64;
        let Some(pool) = self.pools.get_mut(&running.backend) else {
            return;
        };
        if running.via.is_none() {
            pool.record_response(now);
        }
        let mut baseline = pool.baseline;
        if let Some(engine) = pool.engine_mut(&running.engine) {
            engine.prompt_ahead = (engine.prompt_ahead - running.own_tokens).max(0.0);
            let token_ms = engine
                .speed
                .on_first_event(now, running.tokens_ahead, millis, &mut baseline);
            let peers = self.peers.load_on(now, engine.key, engine.own_load());
            running.concurrency = engine.running.saturating_add(peers.running);
            if let Some(token_ms) = token_ms {
                BackendCapacity::record_token(&mut engine.capacity, token_ms);
            }
            engine.record_cached_parts(now, &running.parts);
        }
        pool.baseline = baseline;
    }

    /// Records the arrival of further events, on average `mean_ms` apart.
    pub fn record_events(&mut self, now: Millis, ticket: Ticket, mean_ms: f64) {
        self.now = self.now.max(now);
        let Some(running) = self.running.get_mut(&ticket).filter(|_| mean_ms.is_finite()) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&running.backend) else {
            return;
        };
        if running.via.is_none() {
            pool.record_response(now);
        }
        let Some(engine) = pool
            .engines
            .iter_mut()
            .find(|engine| engine.entry.id == running.engine)
        else {
            return;
        };
        engine.speed.on_events(now, mean_ms, &mut pool.baseline);
        let peers = self.peers.load_on(now, engine.key, engine.own_load());
        let concurrency = engine.running.saturating_add(peers.running);
        let earlier = std::mem::replace(&mut running.concurrency, concurrency);
        let sample = Sample {
            slots: engine.entry.slots,
            // The mean over the time in which the events arrived.
            concurrency: earlier.midpoint(concurrency),
            event_ms: mean_ms,
        };
        if self.learns_capacity {
            pool.capacity.record(now, &mut engine.capacity, sample);
        }
    }

    /// Records the end of an attempt and starts requests in the freed slot.
    pub fn record_end(&mut self, now: Millis, ticket: Ticket, end: AttemptEnd) -> Vec<Action> {
        self.now = self.now.max(now);
        let mut actions = Vec::new();
        let Some(running) = self.running.remove(&ticket) else {
            return actions;
        };
        let Some(pool) = self.pools.get_mut(&running.backend) else {
            return actions;
        };
        if let Some(engine) = pool.engine_mut(&running.engine) {
            engine.running = engine.running.saturating_sub(1);
            // A refused claim told the load without this request.
            if end != AttemptEnd::NoSlot {
                self.peers.measured.record_end(now, engine.key);
            }
            if running.is_loss_checked {
                engine.end_loss_check();
            }
            if running.is_first_event_due {
                engine.prompt_ahead = (engine.prompt_ahead - running.own_tokens).max(0.0);
            }
            let was_direct = engine.reach.is_direct();
            engine.on_end(now, end, running.via.as_ref());
            let lost = (was_direct && !engine.reach.is_direct()).then_some(engine.key);
            if let Some(key) = lost {
                pool.record_loss(now, key);
            }
        }
        pool.give_back_work(self.now, end, running.started, running.counted_work.as_ref());
        if running.via.is_none() && end.is_from_server() {
            pool.record_response(now);
        }
        self.dispatch_waiting(&running.backend, &mut actions);
        actions
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn withdraw(&mut self, ticket: Ticket) {
        let Some(backend) = self.waiting_backends.remove(&ticket) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&backend) {
            pool.waiting.retain(|waiting| waiting.ticket != ticket);
        }
    }

    /// Advances the clock: drops expired loads of peers, starts requests and refuses those that cannot start in time.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        self.now = self.now.max(now);
        self.peers.expire(self.now);
        self.refused_claims.expire(self.now);
        for pool in self.pools.values_mut() {
            pool.update_reach(self.now);
        }
        self.dispatch_all_waiting()
    }

    fn budget(&mut self, backend: &BackendName) -> &mut RetryBudget {
        let (bounds, host_count) = (self.bounds, self.host_count);
        self.budgets
            .entry(backend.clone())
            .or_insert_with(|| RetryBudget::new(bounds, host_count))
    }

    fn dispatch_all_waiting(&mut self) -> Vec<Action> {
        self.last_dispatch_at = self.now;
        let mut actions = Vec::new();
        let busy: Vec<BackendName> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.waiting.is_empty())
            .map(|(backend, _)| backend.clone())
            .collect();
        for backend in busy {
            self.dispatch_waiting(&backend, &mut actions);
        }
        actions
    }

    /// Refuses the waiting requests of a backend that cannot start in time, and starts those that can now.
    fn dispatch_waiting(&mut self, backend: &BackendName, actions: &mut Vec<Action>) {
        self.refuse_unservable(backend, actions);
        self.start_waiting(backend, actions);
    }

    /// Starts the waiting requests of a backend for which a server has capacity.
    fn start_waiting(&mut self, backend: &BackendName, actions: &mut Vec<Action>) {
        let Some(pool) = self.pools.get_mut(backend) else {
            return;
        };
        let cx = SchedulingContext::new(
            self.now,
            &self.zone,
            &self.peers,
            &self.brittle_servers,
            &self.share_weights,
            self.host_count,
            backend,
        );
        let mut started = Vec::new();
        while let Some((waiting, ix)) = pool.take_next(&cx, &mut self.rng) {
            self.waiting_backends.remove(&waiting.ticket);
            let engine = &mut pool.engines[ix];
            let via = engine
                .reach
                .choose_relay(self.now, &self.zone, &engine.entry.zone, &mut self.rng);
            let peer_tokens_ahead = self
                .peers
                .load_on(self.now, engine.key, engine.own_load())
                .prompt_ahead;
            let job = waiting.job;
            let counted_work = pool.recent_work.record_start(
                self.now,
                &self.share_weights,
                job.organisation.as_ref(),
                job.work(pool.baseline).total,
            );
            let own_tokens = f64::from(job.prompt.saturating_sub(engine.cached_tokens(&job.parts)));
            engine.running += 1;
            engine.prompt_ahead += own_tokens;
            started.push(engine.key);
            let tokens_ahead = engine.prompt_ahead + f64::from(peer_tokens_ahead);
            let expected = engine
                .speed
                .pace(self.now, &pool.baseline)
                .first_event_ms(tokens_ahead);
            let running = Running {
                backend: backend.clone(),
                engine: engine.entry.id.clone(),
                via: via.clone(),
                started: self.now,
                tokens_ahead,
                own_tokens,
                is_first_event_due: true,
                concurrency: 0,
                is_loss_checked: false,
                parts: job.parts,
                counted_work,
            };
            self.running.insert(waiting.ticket, running);
            actions.push(Action::Start {
                ticket: waiting.ticket,
                engine: engine.entry.id.clone(),
                address: engine.entry.address,
                via,
                version: engine.entry.version.clone(),
                started: engine.entry.started,
                expected: Millis(expected as u64),
                typical_first_event_ms: pool.baseline.first_event_ms(tokens_ahead),
                typical_event_ms: pool.baseline.event,
            });
        }
        for engine in started {
            self.peers.measured.record_start(self.now, engine);
        }
    }

    /// Refuses the waiting requests of a backend that cannot start early enough for their callers.
    fn refuse_unservable(&mut self, backend: &BackendName, actions: &mut Vec<Action>) {
        let Some(pool) = self.pools.get_mut(backend) else {
            return;
        };
        let cx = SchedulingContext::new(
            self.now,
            &self.zone,
            &self.peers,
            &self.brittle_servers,
            &self.share_weights,
            self.host_count,
            backend,
        );
        for unservable in pool.take_unservable(&cx) {
            self.waiting_backends.remove(&unservable.ticket);
            actions.push(Action::Refuse {
                ticket: unservable.ticket,
                retry_after: unservable.retry_at.since(self.now),
                is_over_share: unservable.is_over_share,
            });
        }
    }
}

/// Updates the servers of a pool to match the listed entries.
fn sync_engines(now: Millis, pool: &mut Pool, listed: Vec<EngineEntry>) {
    pool.engines
        .retain(|engine| listed.iter().any(|entry| entry.id == engine.entry.id));
    // A new start of a server says nothing about this host's links; if it is the only server, that may have
    // been down.
    let is_cut = pool.is_lost() && listed.len() > 1;
    for entry in listed {
        match pool.engine_mut(&entry.id) {
            Some(engine) => {
                if engine.entry.started != entry.started {
                    engine.restart(now, is_cut);
                }
                engine.entry = entry;
            }
            None => pool.engines.push(Engine::new(now, entry, is_cut)),
        }
    }
    pool.update_reach(now);
}
