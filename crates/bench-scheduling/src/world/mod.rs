//! The event loop: callers, entry hosts and engines on one manual clock.

mod callers;
mod engines;
mod hosts;
mod oracle;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use carawayseam_scheduler::{Action, Event};
use carawayseam_types::{Digest, EngineId, Millis, Tokens};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::engine::{Engine, Job, JobKey};
use crate::firm::Firm;
use crate::policy::{Policy, PolicyName};
use crate::queue::TimedQueue;
use crate::tally::{AttemptEnd, Fate, Outcome, Traffic};
use crate::workload::Call;

/// One step of the engines.
const ENGINE_STEP: Millis = Millis(10);
/// Time between two ticks of a scheduler.
const HOST_TICK: Millis = Millis(20);
/// Time between two looks at the answers' progress.
const PROGRESS_PERIOD: Millis = Millis(100);
/// Time between two load reports of an engine.
const REPORT_PERIOD: Millis = Millis(500);
/// Prompt tokens that an engine's prefix cache holds.
const CACHE_TOKENS: Tokens = Tokens(12_000);
/// How long a run goes on after its last call at the most.
const DRAIN: Millis = Millis::from_secs(200);

/// Something that goes wrong at an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The engine dies for good.
    Lose(usize),
    /// The engine's speed changes to that part of the whole.
    Slow(usize, f64),
}

/// A fault and its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TimedFault {
    /// When it strikes.
    pub at: Millis,
    /// What goes wrong.
    pub fault: Fault,
}

/// What a run is made of.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The firm.
    pub firm: Arc<Firm>,
    /// The policy on all hosts.
    pub policy: PolicyName,
    /// Seeds the policy, the balancer and the cache events.
    pub seed: u64,
    /// The calls, in the order they are sent.
    pub calls: Vec<Call>,
    /// What goes wrong, and when.
    pub faults: Vec<TimedFault>,
    /// When the callers stop.
    pub until: Millis,
}

#[derive(Debug)]
enum Happening {
    CallerAsks {
        call: usize,
        host: usize,
    },
    AskReaches(usize),
    AskDeadline(usize),
    ToHost {
        host: usize,
        event: Box<Event>,
    },
    AttemptNews {
        key: JobKey,
        news: AttemptNews,
    },
    EngineReceives {
        engine: usize,
        job: Box<Job>,
        import: Option<(usize, JobKey)>,
    },
    EngineCancels {
        engine: usize,
        key: JobKey,
        end: AttemptEnd,
    },
    EngineRestarts(usize),
    EngineStep,
    Progress,
    Reports,
    HostTick,
    Fault(Fault),
}

/// What an entry process hears of an attempt.
#[derive(Debug, Clone, Copy)]
enum AttemptNews {
    First,
    Progress(Tokens),
    Finished(Tokens),
    Failed(carawayseam_scheduler::AttemptFailure),
}

/// A call at one host: its caller's ask, or a forwarded one.
#[derive(Debug)]
struct Ask {
    call: usize,
    host: usize,
    from_peer: Option<usize>,
    arrived: Millis,
    deadline: Millis,
    delivered: Tokens,
    last_dispatch: Option<Millis>,
    /// Whether it is no longer on its way between two hosts.
    reached: bool,
    open: bool,
}

#[derive(Debug)]
struct Attempt {
    ask: usize,
    engine: usize,
    sent: Millis,
    last_news: Millis,
    began: bool,
}

/// The bench's whole state.
#[derive(Debug)]
pub struct World {
    setup: Setup,
    now: Millis,
    queue: TimedQueue<Happening>,
    hosts: Vec<Box<dyn Policy>>,
    engines: Vec<Engine>,
    engine_places: BTreeMap<EngineId, usize>,
    fates: Vec<Fate>,
    tries: Vec<u64>,
    asks: Vec<Ask>,
    open_asks: BTreeSet<usize>,
    attempts: BTreeMap<JobKey, Attempt>,
    /// The call of each attempt, also after the attempt ended.
    owners: BTreeMap<JobKey, usize>,
    rng: StdRng,
    actions: Vec<Action>,
    order: oracle::OrderCounts,
    crashes: u32,
    broken_answers: u32,
    traffic: Traffic,
}

impl World {
    /// Builds hosts and engines and tells the hosts of each other.
    #[must_use]
    pub fn new(setup: Setup) -> Self {
        let members = setup.firm.members.iter().enumerate();
        let build = |(at, member)| setup.policy.build(member, setup.seed + at as u64);
        let hosts = members.map(build).collect();
        Self::with_hosts(setup, hosts)
    }

    /// Builds the engines beside hosts that are given, one for each member.
    #[must_use]
    pub fn with_hosts(setup: Setup, hosts: Vec<Box<dyn Policy>>) -> Self {
        let firm = Arc::clone(&setup.firm);
        let specs = firm.document.engines.iter().enumerate();
        let engines = specs.map(|(at, spec)| Engine::new(firm.speed(at), spec.max_concurrency, CACHE_TOKENS));
        let names = firm.document.engines.iter().map(|spec| spec.name.clone());
        let mut world = Self {
            now: Millis::ZERO,
            queue: TimedQueue::new(),
            hosts,
            engines: engines.collect(),
            engine_places: names.zip(0..).collect(),
            fates: vec![Fate::OPEN; setup.calls.len()],
            tries: vec![0; setup.calls.len()],
            asks: Vec::new(),
            open_asks: BTreeSet::new(),
            attempts: BTreeMap::new(),
            owners: BTreeMap::new(),
            rng: StdRng::seed_from_u64(setup.seed),
            actions: Vec::new(),
            order: oracle::OrderCounts::default(),
            crashes: 0,
            broken_answers: 0,
            traffic: Traffic::default(),
            setup,
        };
        world.schedule_start();
        world
    }

    fn schedule_start(&mut self) {
        let document = Arc::clone(&self.setup.firm.document);
        let members = self.setup.firm.members.clone();
        for host in 0..self.hosts.len() {
            self.tell(Millis::ZERO, host, Event::Configure(Arc::clone(&document)));
            self.tell(Millis::ZERO, host, Event::Members(members.clone()));
        }
        let periodic = [
            Happening::EngineStep,
            Happening::Progress,
            Happening::Reports,
            Happening::HostTick,
        ];
        for happening in periodic {
            self.queue.push(Millis(1), happening);
        }
        for timed in &self.setup.faults {
            self.queue.push(timed.at, Happening::Fault(timed.fault));
        }
        for call in 0..self.setup.calls.len() {
            let host = self.balance(call);
            let at = self.setup.calls[call].at;
            self.queue.push(at, Happening::CallerAsks { call, host });
        }
    }

    /// Runs to the end and counts.
    #[must_use]
    pub fn run(mut self) -> Outcome {
        while let Some((at, happening)) = self.queue.pop() {
            self.now = at;
            self.happen(happening);
            if self.is_over() {
                break;
            }
        }
        self.outcome()
    }

    fn is_over(&self) -> bool {
        let overdue = self.now > self.setup.until + DRAIN;
        overdue || (self.now > self.setup.until && self.open_asks.is_empty() && self.attempts.is_empty())
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::CallerAsks { call, host } => self.caller_asks(call, host),
            Happening::AskReaches(ask) => self.ask_reaches(ask),
            Happening::AskDeadline(ask) => self.ask_deadline(ask),
            Happening::ToHost { host, event } => self.handle(host, *event),
            Happening::AttemptNews { key, news } => self.attempt_news(key, news),
            Happening::EngineReceives { engine, job, import } => self.engine_receives(engine, *job, import),
            Happening::EngineCancels { engine, key, end } => self.engine_cancels(engine, key, end),
            Happening::EngineRestarts(engine) => self.engine_restarts(engine),
            Happening::EngineStep => self.step_engines(),
            Happening::Progress => self.tell_progress(),
            Happening::Reports => self.report_loads(),
            Happening::HostTick => self.tick_hosts(),
            Happening::Fault(fault) => self.fault(fault),
        }
    }

    /// Sends an event to a host after a while.
    fn tell(&mut self, after: Millis, host: usize, event: Event) {
        let event = Box::new(event);
        self.queue
            .push(self.now + after, Happening::ToHost { host, event });
    }

    fn tell_all(&mut self, after: Millis, event: &Event) {
        for host in 0..self.hosts.len() {
            self.tell(after, host, event.clone());
        }
    }

    /// The host that the platform's balancer gives to a call's next try; the same for each policy.
    fn balance(&mut self, call: usize) -> usize {
        let key = format!("{}/{call}/{}", self.setup.seed, self.tries[call]);
        self.tries[call] += 1;
        let draw = Digest::of(key.as_bytes()).0 as u64;
        (draw % self.hosts.len() as u64) as usize
    }

    fn outcome(self) -> Outcome {
        let unrepeatable = |call: &Call| {
            let route = &self.setup.firm.document.routes[call.class.route];
            !route.idempotent
        };
        let calls: Vec<(Call, Fate)> = self.setup.calls.iter().cloned().zip(self.fates).collect();
        let double = calls
            .iter()
            .filter(|(call, fate)| unrepeatable(call) && fate.dispatches > 1);
        Outcome {
            double_runs: double.count() as u32,
            calls,
            order_violations: self.order.by_tier,
            violation_notes: self.order.notes,
            crashes: self.crashes,
            broken_answers: self.broken_answers,
            traffic: self.traffic,
            ended: self.now,
        }
    }
}
