//! A request comes in: is it taken, forwarded or refused, and by which pool?

use carawayseam_types::{HostId, Millis, NotRunReason, RequestSeq};

use crate::index::{EngineIx, OrgIx, PoolIx, RouteIx};
use crate::job::{AnyJob, Core, Job, Queued};
use crate::poison::Trust;
use crate::queue::Ticket;
use crate::scheduler::Scheduler;
use crate::shed::Borrow;
use crate::timers::Due;
use crate::{Action, Origin, Request};

/// What another zone's pool must be better by before a request goes there, in milliseconds.
const OTHER_ZONE_PENALTY_MS: f64 = 150.0;
/// What a pool of another owner counts for a request that must not be forwarded, in milliseconds.
const OTHER_OWNER_MS: f64 = 1e9;
/// What a pool counts that has no engine for a request, in milliseconds.
const NO_ENGINE_MS: f64 = 1e12;
/// What a pool counts whose engines are all paused, in milliseconds.
const ALL_PAUSED_MS: f64 = 1_000.0;
/// Engines may slow down by this factor after a request was begun.
const SLOWDOWN_MARGIN: f64 = 1.15;
/// The part of a request's time that caution may keep for its service.
const AMPLE_PART: f64 = 0.85;
/// The part of a wait that counts where lower work could make room.
const ROOM_PART: f64 = 1.0;
/// The most requests that wait before one pool.
const MAX_QUEUED: usize = 4_096;
/// A queued request becomes urgent this part of its service time before its last moment.
const URGENT_PART: f64 = 0.1;
/// The least time between urgent and too late, in milliseconds.
const MIN_URGENT_MS: f64 = 400.0;

/// Where a request goes.
enum Place {
    Here(PoolIx),
    There(PoolIx, HostId),
    Nowhere,
}

impl Scheduler {
    pub(crate) fn arrive(&mut self, mut request: Request, actions: &mut Vec<Action>) {
        if self.jobs.contains_key(&request.seq) {
            return;
        }
        self.serve_by_current_version(&mut request);
        let core = self.core(request);
        let from_caller = core.request.origin == Origin::Caller;
        match self.poison.trust(core.request.content) {
            Trust::Blocked => return self.refuse(&core, NotRunReason::Poison, actions),
            Trust::Suspect if from_caller && !core.is_service() => {
                if let Some(keeper) = self.live_keeper(&core) {
                    return forward(&core, keeper, actions);
                }
            }
            _ => {}
        }
        if self.draining && from_caller && core.is_service() {
            return self.refuse(&core, NotRunReason::Stopping, actions);
        }
        self.place(core, actions);
    }

    /// Finds a pool for a request and queues it there, forwards it or refuses it.
    pub(crate) fn place(&mut self, core: Box<Core>, actions: &mut Vec<Action>) {
        if core.request.deadline <= self.now {
            return self.refuse(&core, NotRunReason::DeadlineUnreachable, actions);
        }
        match self.choose_place(&core) {
            Place::Here(_) if self.draining && is_new_call(&core) => {
                self.refuse(&core, NotRunReason::Stopping, actions);
            }
            Place::Here(pool) => self.admit(core, pool, actions),
            Place::There(..) if self.is_shed(&core) => {
                self.refuse(&core, NotRunReason::Shed, actions);
            }
            Place::There(pool, host) => {
                self.count_forward(pool, &host);
                forward(&core, host, actions);
            }
            Place::Nowhere => self.refuse(&core, NotRunReason::NoEngine, actions),
        }
    }

    /// Moves the queued requests of a pool that this host lost, or that lost its engines.
    pub(crate) fn replace_queued(&mut self, pool: PoolIx, actions: &mut Vec<Action>) {
        for seq in self.fleet.pool(pool).queue.all() {
            if let Some(job) = self.take_queued(seq) {
                self.place(job.core, actions);
            }
        }
    }

    /// Removes a request from its queue.
    pub(crate) fn take_queued(&mut self, seq: RequestSeq) -> Option<Job<Queued>> {
        match self.jobs.remove(&seq)? {
            AnyJob::Queued(job) => {
                let pool = self.fleet.pool_mut(job.state.pool);
                pool.queue.remove(&job.state.ticket);
                Some(job)
            }
            other => {
                self.jobs.insert(seq, other);
                None
            }
        }
    }

    fn serve_by_current_version(&self, request: &mut Request) {
        let key = (request.backend.clone(), request.version.clone());
        if let Some(to) = self.withdrawn.get(&key).filter(|_| request.delivered.0 == 0) {
            request.version = to.clone();
        }
    }

    fn core(&mut self, request: Request) -> Box<Core> {
        let org = OrgIx::from(self.organisations.intern(&request.organisation));
        let route = RouteIx(self.routes.intern(&request.route) as u32);
        let prediction = self
            .lengths
            .predict(route, request.prompt_tokens, request.max_output);
        Box::new(Core {
            org,
            part: self.part(org),
            route,
            kind: self.fleet.kind(&request.backend),
            prediction,
            tries: 0,
            maybe_sent: request.delivered.0 > 0,
            previous: None,
            avoid: None,
            failure: None,
            preempted: 0,
            caller_gone: false,
            isolate: self.poison.trust(request.content) == Trust::Suspect,
            request,
        })
    }

    /// An organisation's part of all shares.
    fn part(&self, org: OrgIx) -> f64 {
        let share = self.shares.get(org.get()).copied().unwrap_or(1);
        let total = self.total_share.max(share);
        f64::from(share) / f64::from(total)
    }

    fn live_keeper(&self, core: &Core) -> Option<HostId> {
        let keeper = self.poison.keeper(core.request.content, &self.config.host)?;
        self.peers.is_live(keeper).then(|| keeper.clone())
    }

    fn choose_place(&self, core: &Core) -> Place {
        let group = self.fleet.group(&core.request.backend, &core.request.version);
        let live = group.iter().filter(|ix| self.fleet.pool(**ix).live > 0);
        // A request from a peer is served here, and so is one that must run alone. One that was
        // dispatched stays too, since another host could not tell that it may have run.
        let stays = core.request.origin != Origin::Caller || core.isolate || core.maybe_sent;
        let score = |ix: &&PoolIx| self.place_score(core, **ix, stays);
        let best = live.min_by(|a, b| score(a).total_cmp(&score(b)));
        let Some(&pool) = best else {
            return Place::Nowhere;
        };
        match &self.fleet.pool(pool).owner {
            Some(host) if !stays => Place::There(pool, host.clone()),
            _ => Place::Here(pool),
        }
    }

    /// The expected wait in a pool, in milliseconds; the own zone comes first.
    fn place_score(&self, core: &Core, ix: PoolIx, stays: bool) -> f64 {
        let pool = self.fleet.pool(ix);
        let near = pool.key.zone == self.config.zone;
        let penalty = if near { 0.0 } else { OTHER_ZONE_PENALTY_MS };
        let cost = pool.speeds.millis_for(core.mean_work());
        let tier = core.request.tier;
        let wait = match (&pool.owner, pool.owner_load(self.now)) {
            // Worst is a pool that has only the engine on which the request just failed.
            _ if stays && !self.has_other_engine(core, ix) => NO_ENGINE_MS,
            // Pools of other owners come late for a request that has to stay.
            (Some(_), _) if stays => OTHER_OWNER_MS,
            // Paused engines come back at some time, but hardly at once.
            (None, _) if pool.slots == 0 => ALL_PAUSED_MS,
            (None, _) => pool.wait_ms(self.now, &self.ticket(core, ix), core.part),
            (Some(_), Some(remote)) if remote.forwarded < remote.load.free_slots => 0.0,
            (Some(_), Some(remote)) => {
                let forwarded = f64::from(remote.forwarded) * cost / pool.capacity.max(1.0);
                let wait = remote.wait_ms(tier) + forwarded;
                // Lower work there could make room before the wait is over.
                let room = if remote.keeps_below(tier) { ROOM_PART } else { 1.0 };
                wait * room + OTHER_ZONE_PENALTY_MS
            }
            (Some(_), None) => 0.0,
        };
        wait + penalty
    }

    /// Whether a pool has an engine in service beside the one to avoid.
    fn has_other_engine(&self, core: &Core, ix: PoolIx) -> bool {
        let in_service =
            |engine: &EngineIx| Some(*engine) != core.avoid && self.fleet.engine(*engine).slots() > 0;
        self.fleet.pool(ix).engines.iter().any(in_service)
    }

    fn count_forward(&mut self, pool: PoolIx, host: &HostId) {
        let remote = self.fleet.pool_mut(pool).remote.get_mut(host);
        if let Some(remote) = remote {
            remote.forwarded += 1;
        }
    }

    /// Queues a request in a pool, unless it could not meet its deadline there.
    fn admit(&mut self, core: Box<Core>, ix: PoolIx, actions: &mut Vec<Action>) {
        if self.least_service(&core, ix) > self.time_left(&core) {
            return self.refuse(&core, NotRunReason::DeadlineUnreachable, actions);
        }
        if self.is_shed(&core) {
            return self.refuse(&core, NotRunReason::Shed, actions);
        }
        let ticket = self.ticket(&core, ix);
        let pool = self.fleet.pool(ix);
        let wait = pool.wait_ms(self.now, &ticket, core.part);
        let left = self.time_left(&core);
        let needed = wait + self.needed_ms(&core, ix);
        let is_late = needed > left && wait > 0.0;
        // A request that stays here though its engines are another host's cannot wait for a slot.
        let is_guest = pool.owner.is_some() && core.preempted == 0;
        self.enqueue(core, ix, ticket);
        self.bound_queue(ix, actions);
        if is_guest && self.borrow(ticket.seq, Borrow::Any, actions) {
            return;
        }
        if is_late {
            return self.rescue(ticket.seq, actions);
        }
        self.pump(ix, actions);
        self.set_queue_timers(ticket.seq);
    }

    /// The time that few such requests stay below, or nothing while too little is known.
    fn least_service(&self, core: &Core, ix: PoolIx) -> f64 {
        let pool = self.fleet.pool(ix);
        if pool.knows_speeds() {
            pool.speeds.millis_for(core.least_work())
        } else {
            0.0
        }
    }

    /// The time to keep for a request's service, in milliseconds.
    ///
    /// It is enough for most such requests, so that few are begun in vain,
    /// but leaves a part of the time to wait in, unless half of them need that too.
    fn needed_ms(&self, core: &Core, ix: PoolIx) -> f64 {
        let pool = self.fleet.pool(ix);
        let most = pool.speeds.millis_for(core.most_work()) * SLOWDOWN_MARGIN;
        let median = pool.speeds.millis_for(core.median_work());
        if !pool.knows_speeds() {
            return 0.0;
        }
        most.min(self.time_left(core) * AMPLE_PART).max(median)
    }

    pub(crate) fn ticket(&self, core: &Core, ix: PoolIx) -> Ticket {
        Ticket {
            tier: core.request.tier,
            org: core.org,
            deadline: core.request.deadline,
            seq: core.request.seq,
            cost: self.fleet.pool(ix).speeds.millis_for(core.mean_work()),
        }
    }

    fn enqueue(&mut self, core: Box<Core>, ix: PoolIx, ticket: Ticket) {
        self.fleet.pool_mut(ix).queue.push(&ticket);
        let state = Queued { pool: ix, ticket };
        self.jobs.insert(ticket.seq, AnyJob::Queued(Job { core, state }));
    }

    /// Gives up the least urgent request of a queue that grew too long.
    fn bound_queue(&mut self, ix: PoolIx, actions: &mut Vec<Action>) {
        let queue = &self.fleet.pool(ix).queue;
        let least = (queue.len() > MAX_QUEUED).then(|| queue.least_urgent()).flatten();
        if let Some(job) = least.and_then(|seq| self.take_queued(seq)) {
            self.refuse(&job.core, NotRunReason::Shed, actions);
        }
    }

    /// Sets the last moments of a request that still waits.
    fn set_queue_timers(&mut self, seq: RequestSeq) {
        let Some(AnyJob::Queued(job)) = self.jobs.get(&seq) else {
            return;
        };
        let service = self.needed_ms(&job.core, job.state.pool);
        let margin = (service * URGENT_PART).max(MIN_URGENT_MS);
        let too_late = job.core.request.deadline - Millis(service as u64);
        self.timers.set(too_late, Due::TooLate(seq));
        self.timers
            .set(too_late - Millis(margin as u64), Due::Urgent(seq));
    }
}

fn is_new_call(core: &Core) -> bool {
    core.tries == 0 && core.request.origin == Origin::Caller
}

fn forward(core: &Core, host: HostId, actions: &mut Vec<Action>) {
    actions.push(Action::Forward {
        request: core.request.seq,
        host,
    });
}
