//! The policies that the bench compares.
//!
//! The baselines are what a simple proxy does: it picks an engine at once,
//! leaves queueing to the engine, retries a failed attempt twice, passes over
//! an engine that refused its connection for a while, and never sheds.

use std::collections::BTreeMap;
use std::fmt;

use carawayseam_config::Document;
use carawayseam_scheduler::{
    Action, AttemptFailure, Coordination, EngineStanding, Event, Member, Request, Scheduler, SchedulerConfig,
};
use carawayseam_types::{
    AttemptId, BackendName, EngineId, Millis, NotRunReason, ParseError, Refusal, RequestSeq, Tokens,
    UnknownReason, VersionId,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Retries of one request by a simple proxy.
const PROXY_RETRIES: u32 = 2;
/// How long a simple proxy passes over an engine that refused its connection.
const PROXY_EJECTION: Millis = Millis::from_secs(5);
/// What a simple proxy tells a caller it has no engine for.
const PROXY_RETRY_AFTER: Millis = Millis::from_secs(1);

/// One entry host's decisions.
pub trait Policy: fmt::Debug {
    /// Takes an event and appends what is to be done.
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>);
}

impl Policy for Scheduler {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        Self::handle(self, now, event, actions);
    }
}

/// Which policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum PolicyName {
    /// The project's scheduler: each pool of engines has one owning host.
    #[display("product")]
    Product,
    /// The project's scheduler: each host routes alone and heeds what its peers announce.
    #[display("announced")]
    Announced,
    /// An engine drawn at random.
    #[display("random")]
    Random,
    /// Engines in turn.
    #[display("round-robin")]
    RoundRobin,
    /// The engine with the least load in its last report.
    #[display("least-load")]
    LeastLoad,
}

impl PolicyName {
    /// All policies.
    pub const ALL: [Self; 5] = [
        Self::Product,
        Self::Announced,
        Self::Random,
        Self::RoundRobin,
        Self::LeastLoad,
    ];

    /// Whether it is the project's own.
    #[must_use]
    pub const fn is_product(self) -> bool {
        matches!(self, Self::Product | Self::Announced)
    }

    /// Makes the policy of one host.
    #[must_use]
    pub fn build(self, member: &Member, seed: u64) -> Box<dyn Policy> {
        let pick = match self {
            Self::Product => return scheduler(member, seed, Coordination::Owners),
            Self::Announced => return scheduler(member, seed, Coordination::Announced),
            Self::Random => Pick::Random,
            Self::RoundRobin => Pick::RoundRobin,
            Self::LeastLoad => Pick::LeastLoad,
        };
        Box::new(SimpleProxy::new(pick, seed))
    }
}

fn scheduler(member: &Member, seed: u64, coordination: Coordination) -> Box<dyn Policy> {
    let config = SchedulerConfig::new(member.host.clone(), member.zone.clone());
    Box::new(Scheduler::new(config.seed(seed).coordination(coordination)))
}

impl std::str::FromStr for PolicyName {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let found = Self::ALL.into_iter().find(|name| name.to_string() == text);
        found.ok_or_else(|| ParseError::new(text, "policy", "a name that the table shows, such as product"))
    }
}

#[derive(Debug, Clone, Copy)]
enum Pick {
    Random,
    RoundRobin,
    LeastLoad,
}

#[derive(Debug)]
struct EngineView {
    name: EngineId,
    backend: BackendName,
    version: VersionId,
    reported: u32,
    gone: bool,
    ejected_until: Millis,
}

#[derive(Debug)]
struct Trial {
    request: Request,
    retries: u32,
    engine: EngineId,
}

/// A baseline.
#[derive(Debug)]
struct SimpleProxy {
    pick: Pick,
    rng: StdRng,
    turn: usize,
    engines: Vec<EngineView>,
    trials: BTreeMap<AttemptId, Trial>,
    next_attempt: AttemptId,
}

impl SimpleProxy {
    fn new(pick: Pick, seed: u64) -> Self {
        Self {
            pick,
            rng: StdRng::seed_from_u64(seed),
            turn: 0,
            engines: Vec::new(),
            trials: BTreeMap::new(),
            next_attempt: AttemptId(1),
        }
    }

    fn configure(&mut self, document: &Document) {
        let view = |spec: &carawayseam_config::EngineSpec| EngineView {
            name: spec.name.clone(),
            backend: spec.backend.clone(),
            version: spec.version.clone(),
            reported: 0,
            gone: false,
            ejected_until: Millis::ZERO,
        };
        self.engines = document.engines.iter().map(view).collect();
    }

    fn engine(&mut self, name: &EngineId) -> Option<&mut EngineView> {
        self.engines.iter_mut().find(|engine| engine.name == *name)
    }

    fn choose(&mut self, now: Millis, request: &Request) -> Option<usize> {
        let fits = |e: &EngineView| e.backend == request.backend && e.version == request.version && !e.gone;
        let known: Vec<usize> = (0..self.engines.len())
            .filter(|at| fits(&self.engines[*at]))
            .collect();
        let healthy = known.iter().copied();
        let mut open: Vec<usize> = healthy
            .filter(|at| self.engines[*at].ejected_until <= now)
            .collect();
        if matches!(self.pick, Pick::LeastLoad) {
            let least = open.iter().map(|at| self.engines[*at].reported).min();
            open.retain(|at| Some(self.engines[*at].reported) == least);
        }
        if open.is_empty() {
            return None;
        }
        let place = match self.pick {
            Pick::RoundRobin => self.turn,
            Pick::Random | Pick::LeastLoad => self.rng.random_range(0..open.len()),
        };
        self.turn += 1;
        Some(open[place % open.len()])
    }

    fn dispatch(&mut self, now: Millis, request: Request, retries: u32, actions: &mut Vec<Action>) {
        let Some(at) = self.choose(now, &request) else {
            actions.push(refuse(request.seq));
            return;
        };
        let attempt = self.next_attempt;
        self.next_attempt = attempt.next();
        let engine = self.engines[at].name.clone();
        actions.push(Action::Dispatch {
            attempt,
            request: request.seq,
            engine: engine.clone(),
            version: request.version.clone(),
            resume_offset: Tokens(0),
            import_from: None,
        });
        let trial = Trial {
            request,
            retries,
            engine,
        };
        self.trials.insert(attempt, trial);
    }

    fn fail(&mut self, now: Millis, attempt: AttemptId, failure: AttemptFailure, actions: &mut Vec<Action>) {
        let Some(trial) = self.trials.remove(&attempt) else {
            return;
        };
        let sent = failure != AttemptFailure::NotSent;
        if let Some(engine) = self.engine(&trial.engine).filter(|_| !sent) {
            engine.ejected_until = now + PROXY_EJECTION;
        }
        let repeatable = trial.request.idempotent || !sent;
        match failure {
            AttemptFailure::DeadlinePassed => actions.push(abandon(trial.request.seq)),
            _ if repeatable && trial.retries < PROXY_RETRIES => {
                self.dispatch(now, trial.request, trial.retries + 1, actions);
            }
            _ if sent => actions.push(abandon(trial.request.seq)),
            _ => actions.push(refuse(trial.request.seq)),
        }
    }

    fn cancel(&mut self, request: RequestSeq, actions: &mut Vec<Action>) {
        let mut trials = self.trials.iter();
        let found = trials.find(|(_, trial)| trial.request.seq == request);
        if let Some(attempt) = found.map(|(attempt, _)| *attempt)
            && let Some(trial) = self.trials.remove(&attempt)
        {
            let engine = trial.engine;
            actions.push(Action::Cancel { attempt, engine });
        }
    }
}

impl Policy for SimpleProxy {
    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Configure(document) => self.configure(&document),
            Event::Arrive(request) => self.dispatch(now, request, 0, actions),
            Event::CallerGone(request) => self.cancel(request, actions),
            Event::Finished { attempt, .. } => {
                self.trials.remove(&attempt);
            }
            Event::Failed { attempt, failure, .. } => self.fail(now, attempt, failure, actions),
            Event::Load(report) => {
                if let Some(engine) = self.engine(&report.engine) {
                    engine.reported = report.running + report.waiting;
                }
            }
            Event::EngineStanding { engine, standing } => {
                if let Some(engine) = self.engine(&engine) {
                    engine.gone = standing != EngineStanding::Live;
                }
            }
            _ => {}
        }
    }
}

fn abandon(request: RequestSeq) -> Action {
    Action::Abandon {
        request,
        reason: UnknownReason::ConnectionLost,
        retry_after: Some(PROXY_RETRY_AFTER),
    }
}

fn refuse(request: RequestSeq) -> Action {
    let refusal = Refusal {
        reason: NotRunReason::NoEngine,
        retry_after: Some(PROXY_RETRY_AFTER),
    };
    Action::Refuse { request, refusal }
}
