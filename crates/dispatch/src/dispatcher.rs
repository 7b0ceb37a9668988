//! Request queues of all backends, and the assignment of each request to a backend server.

mod availability;
mod brittle;
mod peers;
mod reach;
mod relay;

use std::collections::HashMap;

use carawayseam_types::{BackendName, EngineId, HostId, Millis, Tier, ZoneId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::brittle_servers::BrittleServers;
use crate::draining_servers::DrainingServers;
use crate::engine::{AttemptEnd, Engine, EngineEntry, PromptPart};
use crate::job::{Action, Job, Ticket};
use crate::peer_loads::PeerLoads;
use crate::pool::{Pool, SchedulingContext, Waiting, saturating_sum};
use crate::reach::ReachRounds;
use crate::retries::{RetryBounds, RetryBudget};

pub use relay::RelayTarget;

/// Lower bound of the retry delay sent to a refused caller.
const MIN_RETRY_AFTER: Millis = Millis(400);
/// Upper bound of the retry delay sent to a refused caller, before jitter.
const MAX_RETRY_AFTER: Millis = Millis(2_000);

/// Upper bound of the random factor on retry delays, which keeps refused callers from retrying all at
/// once.
const MAX_RETRY_JITTER_FACTOR: f64 = 1.4;
/// A new request is refused at once if its expected wait exceeds the time to its objective by more than
/// this factor.
const MAX_WAIT_RATIO: f64 = 1.3;

/// An attempt that was sent to a backend server and has not ended.
#[derive(Debug)]
struct Running {
    backend: BackendName,
    engine: EngineId,
    /// Peer through which the request was sent; `None` if it was sent directly.
    via: Option<HostId>,
    tier: Tier,
    started: Millis,
    /// Prompt tokens that the server reads before the first event, including those of this request.
    tokens_ahead: f64,
    /// Prompt tokens of this request that the server has not cached.
    own_tokens: f64,
    is_first_event_due: bool,
    /// Whether the response was lost, and its cause is being checked.
    is_loss_checked: bool,
    parts: Vec<PromptPart>,
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
    brittle_servers: BrittleServers,
    last_dispatch_at: Millis,
    reach_rounds: ReachRounds,
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
            brittle_servers: BrittleServers::default(),
            last_dispatch_at: Millis::ZERO,
            reach_rounds: ReachRounds::default(),
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
        self.dispatch_all_waiting()
    }

    /// Enqueues a new request, or refuses it if it cannot meet its objective.
    pub fn submit(&mut self, now: Millis, job: Job) -> (Ticket, Vec<Action>) {
        self.budget(&job.backend).on_request();
        let (backend, tier, objective) = (job.backend.clone(), job.tier, job.objective);
        let (ticket, mut actions) = self.enqueue(now, job);
        if let Some(retry_after) = self.retry_delay_if_unservable(ticket, &backend, tier, objective) {
            self.withdraw(ticket);
            actions.push(Action::Refuse { ticket, retry_after });
        }
        (ticket, actions)
    }

    /// Returns the retry delay if a new request would wait too long to meet its objective.
    fn retry_delay_if_unservable(
        &mut self,
        ticket: Ticket,
        backend: &BackendName,
        tier: Tier,
        objective: Millis,
    ) -> Option<Millis> {
        if !self.waiting_backends.contains_key(&ticket) {
            return None;
        }
        let pool = self.pools.get(backend)?;
        let wait = pool.expected_wait(self.now, tier);
        let time_left = objective.since(self.now);
        let is_unservable = wait.0 as f64 > time_left.0 as f64 * MAX_WAIT_RATIO;
        let jitter_factor = self.rng.random_range(1.0..MAX_RETRY_JITTER_FACTOR);
        let delay_ms = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER).0 as f64 * jitter_factor;
        is_unservable.then_some(Millis(delay_ms as u64))
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
        self.dispatch_waiting(&backend, &mut actions);
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
            engine
                .speed
                .on_first_event(now, running.tokens_ahead, millis, &mut baseline);
            engine.record_cached_parts(now, &running.parts);
        }
        pool.baseline = baseline;
    }

    /// Records the arrival of further events, on average `mean_ms` apart.
    pub fn record_events(&mut self, now: Millis, ticket: Ticket, mean_ms: f64) {
        self.now = self.now.max(now);
        let Some(running) = self.running.get_mut(&ticket) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&running.backend) else {
            return;
        };
        if running.via.is_none() {
            pool.record_response(now);
        }
        let mut baseline = pool.baseline;
        if let Some(engine) = pool.engine_mut(&running.engine) {
            engine.speed.on_events(now, mean_ms, &mut baseline);
        }
        pool.baseline = baseline;
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
        if matches!(
            end,
            AttemptEnd::NoSlot | AttemptEnd::RateLimited | AttemptEnd::RelayFailed
        ) {
            pool.discard_start(running.tier);
        }
        if let Some(engine) = pool.engine_mut(&running.engine) {
            engine.running = engine.running.saturating_sub(1);
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

    /// Advances the clock: drops expired loads of peers, starts requests and refuses overdue ones.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        self.now = self.now.max(now);
        self.peers.expire(self.now);
        for pool in self.pools.values_mut() {
            pool.update_reach(self.now);
        }
        let mut actions = self.dispatch_all_waiting();
        self.refuse_expired(&mut actions);
        actions
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

    /// Starts the waiting requests of a backend for which a server has capacity.
    fn dispatch_waiting(&mut self, backend: &BackendName, actions: &mut Vec<Action>) {
        self.refuse_while_closed(backend, actions);
        let Some(pool) = self.pools.get_mut(backend) else {
            return;
        };
        let cx = SchedulingContext {
            now: self.now,
            zone: &self.zone,
            peers: &self.peers,
            brittle_servers: &self.brittle_servers,
            peers_waiting: self.peers.waiting_for(backend).collect(),
        };
        while let Some((waiting, ix)) = pool.take_next(&cx, &mut self.rng) {
            self.waiting_backends.remove(&waiting.ticket);
            pool.record_start(self.now, waiting.job.tier);
            let engine = &mut pool.engines[ix];
            let via = engine
                .reach
                .choose_relay(self.now, &self.zone, &engine.entry.zone, &mut self.rng);
            let peer_tokens_ahead = self.peers.load_on(engine.key).prompt_ahead;
            let job = waiting.job;
            let own_tokens = f64::from(job.prompt.saturating_sub(engine.cached_tokens(&job.parts)));
            engine.running += 1;
            engine.prompt_ahead += own_tokens;
            let tokens_ahead = engine.prompt_ahead + f64::from(peer_tokens_ahead);
            let expected = engine
                .speed
                .pace(self.now, &pool.baseline)
                .first_event_ms(tokens_ahead);
            let running = Running {
                backend: backend.clone(),
                engine: engine.entry.id.clone(),
                via: via.clone(),
                tier: job.tier,
                started: self.now,
                tokens_ahead,
                own_tokens,
                is_first_event_due: true,
                is_loss_checked: false,
                parts: job.parts,
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
    }

    /// Refuses the requests that cannot wait for their turn after the first server reopens, if all are closed
    /// to this host.
    fn refuse_while_closed(&mut self, backend: &BackendName, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(pool) = self.pools.get_mut(backend) else {
            return;
        };
        let Some(reopens_at) = pool.reopens_at(now) else {
            return;
        };
        let interval = pool.limited_start_interval(now, self.host_count);
        for Waiting { ticket, .. } in pool.take_unservable(now, reopens_at, interval) {
            self.waiting_backends.remove(&ticket);
            let jitter_factor = self.rng.random_range(1.0..MAX_RETRY_JITTER_FACTOR);
            let retry_after = match interval {
                Some(interval) => pool.schedule_return(reopens_at, interval).since(now),
                None => Millis((reopens_at.since(now).0 as f64 * jitter_factor) as u64),
            };
            actions.push(Action::Refuse { ticket, retry_after });
        }
    }

    /// Refuses the requests whose queue deadline has passed.
    fn refuse_expired(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        for pool in self.pools.values_mut() {
            let retry_after = retry_after(now, pool);
            pool.waiting.retain(|waiting| {
                let is_kept = now < waiting.job.queue_deadline;
                if !is_kept {
                    self.waiting_backends.remove(&waiting.ticket);
                    actions.push(Action::Refuse {
                        ticket: waiting.ticket,
                        retry_after,
                    });
                }
                is_kept
            });
        }
    }
}

/// Returns the time in which the queue of a pool should drain, assuming 32 events per request.
fn retry_after(now: Millis, pool: &Pool) -> Millis {
    let working = pool.engines.iter().filter(|engine| engine.can_work(now));
    let slots = saturating_sum(working.map(|engine| engine.entry.slots));
    let request_ms = pool.baseline.event * 32.0;
    let wait_ms = pool.waiting.len() as f64 * request_ms / f64::from(slots.max(1));
    Millis(wait_ms as u64).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
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
