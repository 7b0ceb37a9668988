//! Queues before the backends, and the choice of a backend server for each request.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use carawayseam_types::{BackendName, EngineId, EngineKey, HostId, Millis, Tier, ZoneId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::draining_servers::{DrainingServer, DrainingServers};
use crate::engine::{AttemptEnd, Engine, EngineEntry, PromptPart, ServerLoad};
use crate::job::{Action, Job, Ticket};
use crate::load::{EngineDump, HostLoad, WaitingCount};
use crate::peer_loads::PeerLoads;
use crate::pool::{Pool, View, Waiting};
use crate::retries::{RetryBounds, RetryBudget};

/// The time to come back that a refused caller is told at least.
const LEAST_RETRY_AFTER: Millis = Millis(400);
/// The time to come back that a refused caller is told at most.
const MOST_RETRY_AFTER: Millis = Millis(2_000);

/// Refused callers come back at times up to this much later, so that they do not come together.
const RETRY_SPREAD: f64 = 1.4;
/// Announcements of peers that come closer together are looked at together.
const LEAST_PUMP_INTERVAL: Millis = Millis(10);
/// A request whose expected wait is this part of the time to its objective is refused at once.
const HOPELESS_PART: f64 = 1.3;

#[derive(Debug)]
struct Running {
    backend: BackendName,
    engine: EngineId,
    tier: Tier,
    started: Millis,
    /// Tokens to read before the first event, this request's own among them.
    ahead: f64,
    /// This request's own part of them.
    own: f64,
    is_first_event_due: bool,
    parts: Vec<PromptPart>,
}

/// Decides for one host.
#[derive(Debug)]
pub struct Dispatcher {
    zone: ZoneId,
    now: Millis,
    rng: StdRng,
    next_ticket: u64,
    pools: HashMap<BackendName, Pool>,
    budgets: HashMap<BackendName, RetryBudget>,
    bounds: RetryBounds,
    hosts: u32,
    running: HashMap<Ticket, Running>,
    waiting_at: HashMap<Ticket, BackendName>,
    peers: PeerLoads,
    draining_servers: DrainingServers,
    pumped_at: Millis,
}

impl Dispatcher {
    /// Makes a dispatcher that knows no server yet.
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
            hosts: 1,
            running: HashMap::new(),
            waiting_at: HashMap::new(),
            peers: PeerLoads::default(),
            draining_servers: DrainingServers::default(),
            pumped_at: Millis::ZERO,
        }
    }

    /// Takes the number of hosts that share the retry budget.
    pub fn set_host_count(&mut self, hosts: u32) {
        self.hosts = hosts;
        for budget in self.budgets.values_mut() {
            budget.set_host_count(hosts);
        }
    }

    /// Takes the servers that are there now.
    pub fn set_engines(&mut self, now: Millis, entries: Vec<EngineEntry>) -> Vec<Action> {
        self.now = self.now.max(now);
        let mut by_backend: HashMap<BackendName, Vec<EngineEntry>> = HashMap::new();
        for mut entry in entries {
            entry.is_draining |= self.draining_servers.contains(&entry.id, entry.started);
            by_backend.entry(entry.backend.clone()).or_default().push(entry);
        }
        for (backend, pool) in &mut self.pools {
            let listed = by_backend.remove(backend).unwrap_or_default();
            update(pool, listed);
        }
        for (backend, listed) in by_backend {
            update(self.pools.entry(backend).or_insert_with(Pool::new), listed);
        }
        self.pump_all()
    }

    /// A server leaves, as it said itself or a peer told; true if that is news.
    pub fn mark_draining(&mut self, now: Millis, draining: DrainingServer, is_own: bool) -> bool {
        let mut engines = self.pools.values_mut().flat_map(|pool| &mut pool.engines);
        let known = engines.find(|engine| engine.entry.id == draining.engine);
        if let Some(known) = known.filter(|known| known.entry.started <= draining.started) {
            known.entry.is_draining = true;
        }
        self.draining_servers.record(now, draining, is_own)
    }

    /// The servers that peers should know to leave.
    #[must_use]
    pub fn draining_servers(&self, now: Millis, has_new_peer: bool) -> Vec<DrainingServer> {
        self.draining_servers.gossip_updates(now, has_new_peer)
    }

    /// A server wants nothing from this host for a while; what cannot wait so long is refused.
    pub fn close_server(&mut self, now: Millis, engine: &EngineId, span: Millis) {
        self.now = self.now.max(now);
        for pool in self.pools.values_mut() {
            if let Some(engine) = pool.engine_mut(engine) {
                engine.close(now + span);
            }
        }
    }

    /// Takes a new request.
    pub fn submit(&mut self, now: Millis, job: Job) -> (Ticket, Vec<Action>) {
        self.budget(&job.backend).on_request();
        let (backend, tier, objective) = (job.backend.clone(), job.tier, job.objective);
        let (ticket, mut actions) = self.enqueue(now, job);
        if let Some(retry_after) = self.hopeless(ticket, &backend, tier, objective) {
            self.withdraw(ticket);
            actions.push(Action::Refuse { ticket, retry_after });
        }
        (ticket, actions)
    }

    /// When to come back, if a new request has to wait so long that it cannot be in time.
    fn hopeless(
        &mut self,
        ticket: Ticket,
        backend: &BackendName,
        tier: Tier,
        objective: Millis,
    ) -> Option<Millis> {
        if !self.waiting_at.contains_key(&ticket) {
            return None;
        }
        let pool = self.pools.get(backend)?;
        let wait = pool.expected_wait(self.now, tier);
        let left = objective.since(self.now);
        let is_hopeless = wait.0 as f64 > left.0 as f64 * HOPELESS_PART;
        let spread = self.rng.random_range(1.0..RETRY_SPREAD);
        let after = wait.clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER).0 as f64 * spread;
        is_hopeless.then_some(Millis(after as u64))
    }

    /// Takes a request once more, if the budget allows it.
    pub fn submit_retry(&mut self, now: Millis, job: Job) -> Option<(Ticket, Vec<Action>)> {
        let granted = self.budget(&job.backend).take();
        granted.then(|| self.enqueue(now, job))
    }

    /// Takes a request once more of which no byte left, so that it counts as no repeat.
    pub fn submit_unsent(&mut self, now: Millis, job: Job) -> (Ticket, Vec<Action>) {
        self.enqueue(now, job)
    }

    fn enqueue(&mut self, now: Millis, job: Job) -> (Ticket, Vec<Action>) {
        self.now = self.now.max(now);
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let backend = job.backend.clone();
        self.waiting_at.insert(ticket, backend.clone());
        let pool = self.pools.entry(backend.clone()).or_insert_with(Pool::new);
        pool.waiting.push(Waiting { ticket, job });
        let mut actions = Vec::new();
        self.pump(&backend, &mut actions);
        (ticket, actions)
    }

    /// The first event, or a plain answer, came.
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
        let mut usual = pool.usual;
        if let Some(engine) = pool.engine_mut(&running.engine) {
            engine.prompt_ahead = (engine.prompt_ahead - running.own).max(0.0);
            engine
                .speed
                .on_first_event(now, running.ahead, millis, &mut usual);
            engine.keep_parts(now, &running.parts);
        }
        pool.usual = usual;
    }

    /// More events came, `mean_ms` apart.
    pub fn record_events(&mut self, now: Millis, ticket: Ticket, mean_ms: f64) {
        self.now = self.now.max(now);
        let Some(running) = self.running.get_mut(&ticket) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&running.backend) else {
            return;
        };
        let mut usual = pool.usual;
        if let Some(engine) = pool.engine_mut(&running.engine) {
            engine.speed.on_events(now, mean_ms, &mut usual);
        }
        pool.usual = usual;
    }

    /// A request left its server.
    pub fn record_end(&mut self, now: Millis, ticket: Ticket, end: AttemptEnd) -> Vec<Action> {
        self.now = self.now.max(now);
        let mut actions = Vec::new();
        let Some(running) = self.running.remove(&ticket) else {
            return actions;
        };
        let Some(pool) = self.pools.get_mut(&running.backend) else {
            return actions;
        };
        if end == AttemptEnd::NoSlot {
            pool.uncount_start(running.tier);
        }
        if let Some(engine) = pool.engine_mut(&running.engine) {
            engine.running = engine.running.saturating_sub(1);
            if running.is_first_event_due {
                engine.prompt_ahead = (engine.prompt_ahead - running.own).max(0.0);
            }
            engine.on_end(now, end);
        }
        self.pump(&running.backend, &mut actions);
        actions
    }

    /// A caller left while its request waited.
    pub fn withdraw(&mut self, ticket: Ticket) {
        let Some(backend) = self.waiting_at.remove(&ticket) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&backend) {
            pool.waiting.retain(|waiting| waiting.ticket != ticket);
        }
    }

    /// Servers that could not be reached and should be connected to again now.
    pub fn due_probes(&mut self, now: Millis) -> Vec<(EngineId, SocketAddr)> {
        let engines = self.pools.values_mut().flat_map(|pool| &mut pool.engines);
        engines
            .filter_map(|engine| {
                let is_due = engine.take_probe(now);
                is_due.then(|| (engine.entry.id.clone(), engine.entry.address))
            })
            .collect()
    }

    /// A server can be reached again.
    pub fn mark_reachable(&mut self, now: Millis, engine: &EngineId) -> Vec<Action> {
        self.now = self.now.max(now);
        for pool in self.pools.values_mut() {
            if let Some(engine) = pool.engine_mut(engine) {
                engine.mark_reachable();
            }
        }
        self.pump_all()
    }

    /// Time passed.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        self.now = self.now.max(now);
        self.peers.expire(self.now);
        let mut actions = self.pump_all();
        self.refuse_expired(&mut actions);
        actions
    }

    /// Takes what a peer announced.
    pub fn record_peer_load(&mut self, now: Millis, host: &HostId, load: HostLoad) -> Vec<Action> {
        self.now = self.now.max(now);
        self.peers.announce(now, host, load);
        // Many peers announce; looking after each of them at all that waits would cost more than it brings.
        if self.now.since(self.pumped_at) < LEAST_PUMP_INTERVAL {
            return Vec::new();
        }
        self.pump_all()
    }

    /// Gives a peer a slot of a server; none if the server is not known here.
    pub fn grant_slot(&mut self, now: Millis, host: &HostId, engine: EngineKey) -> Option<bool> {
        let known = self.engine_by_key(engine)?;
        let is_free = known.running + self.peers.at(engine).running < known.entry.slots;
        if is_free {
            self.peers.grant(now, host, engine);
        }
        Some(is_free)
    }

    /// A peer's request left a server.
    pub fn release_slot(&mut self, now: Millis, host: &HostId, engine: EngineKey) -> Vec<Action> {
        self.now = self.now.max(now);
        self.peers.returned(host, engine);
        self.pump_all()
    }

    fn engine_by_key(&self, key: EngineKey) -> Option<&Engine> {
        let mut engines = self.pools.values().flat_map(|pool| &pool.engines);
        engines.find(|engine| engine.key == key)
    }

    /// What the peers should know.
    #[must_use]
    pub fn own_load(&self) -> HostLoad {
        let engines = self.pools.values().flat_map(|pool| &pool.engines);
        let busy = engines.filter(|engine| engine.running > 0);
        let mut waiting: BTreeMap<(BackendName, Tier), u32> = BTreeMap::new();
        for (backend, pool) in &self.pools {
            for job in &pool.waiting {
                *waiting.entry((backend.clone(), job.job.tier)).or_default() += 1;
            }
        }
        HostLoad {
            engines: busy
                .map(|engine| {
                    let load = ServerLoad {
                        running: engine.running,
                        prompt_ahead: engine.prompt_ahead as u32,
                    };
                    (engine.key, load)
                })
                .collect(),
            waiting: waiting
                .into_iter()
                .map(|((backend, tier), count)| WaitingCount { backend, tier, count })
                .collect(),
        }
    }

    /// Loads of peers that are kept, over all peers and servers.
    #[must_use]
    pub fn peer_load_count(&self) -> usize {
        self.peers.len()
    }

    /// Requests that wait and run here.
    #[must_use]
    pub fn request_counts(&self) -> (usize, usize) {
        (self.waiting_at.len(), self.running.len())
    }

    /// What is known of each server.
    #[must_use]
    pub fn dump(&self, now: Millis) -> Vec<EngineDump> {
        let pools = self.pools.values();
        let engines = pools.flat_map(|pool| pool.engines.iter().map(move |engine| (pool, engine)));
        engines
            .map(|(pool, engine)| {
                let pace = engine.speed.pace(now, &pool.usual);
                EngineDump {
                    engine: engine.entry.id.clone(),
                    backend: engine.entry.backend.clone(),
                    version: engine.entry.version.clone(),
                    takes_work: engine.takes_work(now),
                    running: engine.running,
                    used: engine.running + self.peers.at(engine.key).running,
                    failure_share: engine.failure_share(now),
                    event_ms: pace.event,
                    thousand_tokens_ms: pace.token * 1_000.0,
                }
            })
            .collect()
    }

    fn budget(&mut self, backend: &BackendName) -> &mut RetryBudget {
        let (bounds, hosts) = (self.bounds, self.hosts);
        self.budgets
            .entry(backend.clone())
            .or_insert_with(|| RetryBudget::new(bounds, hosts))
    }

    fn pump_all(&mut self) -> Vec<Action> {
        self.pumped_at = self.now;
        let mut actions = Vec::new();
        let busy: Vec<BackendName> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.waiting.is_empty())
            .map(|(backend, _)| backend.clone())
            .collect();
        for backend in busy {
            self.pump(&backend, &mut actions);
        }
        actions
    }

    /// Starts what can start.
    fn pump(&mut self, backend: &BackendName, actions: &mut Vec<Action>) {
        self.refuse_while_closed(backend, actions);
        let Some(pool) = self.pools.get_mut(backend) else {
            return;
        };
        let view = View {
            now: self.now,
            zone: &self.zone,
            peers: &self.peers,
            peers_waiting: self.peers.waiting_for(backend).collect(),
        };
        while let Some((waiting, ix)) = pool.next(&view, &mut self.rng) {
            self.waiting_at.remove(&waiting.ticket);
            pool.count_start(self.now, waiting.job.tier);
            let engine = &mut pool.engines[ix];
            let peers_ahead = self.peers.at(engine.key).prompt_ahead;
            let job = waiting.job;
            let own = f64::from(job.prompt.saturating_sub(engine.kept_tokens(&job.parts)));
            engine.running += 1;
            engine.prompt_ahead += own;
            let ahead = engine.prompt_ahead + f64::from(peers_ahead);
            let expected = engine.speed.pace(self.now, &pool.usual).first_event_ms(ahead);
            let running = Running {
                backend: backend.clone(),
                engine: engine.entry.id.clone(),
                tier: job.tier,
                started: self.now,
                ahead,
                own,
                is_first_event_due: true,
                parts: job.parts,
            };
            self.running.insert(waiting.ticket, running);
            actions.push(Action::Start {
                ticket: waiting.ticket,
                engine: engine.entry.id.clone(),
                address: engine.entry.address,
                version: engine.entry.version.clone(),
                started: engine.entry.started,
                expected: Millis(expected as u64),
            });
        }
    }

    /// Refuses what cannot be in time, as all servers want nothing from this host for a while.
    fn refuse_while_closed(&mut self, backend: &BackendName, actions: &mut Vec<Action>) {
        let now = self.now;
        let Some(pool) = self.pools.get_mut(backend) else {
            return;
        };
        let Some(reopens_at) = pool.reopens_at(now) else {
            return;
        };
        for Waiting { ticket, .. } in pool.take_hopeless(reopens_at) {
            self.waiting_at.remove(&ticket);
            let spread = self.rng.random_range(1.0..RETRY_SPREAD);
            let retry_after = Millis((reopens_at.since(now).0 as f64 * spread) as u64);
            actions.push(Action::Refuse { ticket, retry_after });
        }
    }

    /// Refuses what waited too long.
    fn refuse_expired(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        for pool in self.pools.values_mut() {
            let retry_after = retry_after(pool);
            pool.waiting.retain(|waiting| {
                let keeps = now < waiting.job.queue_deadline;
                if !keeps {
                    self.waiting_at.remove(&waiting.ticket);
                    actions.push(Action::Refuse {
                        ticket: waiting.ticket,
                        retry_after,
                    });
                }
                keeps
            });
        }
    }
}

/// The time in which the queue of a pool should have passed.
fn retry_after(pool: &Pool) -> Millis {
    let working = pool.engines.iter().filter(|engine| engine.can_work());
    let slots: u32 = working.map(|engine| engine.entry.slots).sum();
    let request_ms = pool.usual.event * 32.0;
    let wait_ms = pool.waiting.len() as f64 * request_ms / f64::from(slots.max(1));
    Millis(wait_ms as u64).clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER)
}

/// Brings a pool's servers in line with those that are listed.
fn update(pool: &mut Pool, listed: Vec<EngineEntry>) {
    pool.engines
        .retain(|engine| listed.iter().any(|entry| entry.id == engine.entry.id));
    for entry in listed {
        match pool.engine_mut(&entry.id) {
            Some(engine) => {
                if engine.entry.started != entry.started {
                    engine.restart();
                }
                engine.entry = entry;
            }
            None => pool.engines.push(Engine::new(entry)),
        }
    }
}
