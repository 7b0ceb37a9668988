//! The actor that owns the control state.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use carawayseam_membership::{Event as MembershipEvent, Membership};
use carawayseam_node::HostProcess;
use carawayseam_rollout::{GateEvent, Pick};
use carawayseam_scheduler::{AttemptFailure, EngineReport, EngineStanding, Event, Origin};
use carawayseam_types::{
    AttemptId, EngineId, EnvironmentId, Millis, NotRunReason, Refusal, RequestSeq, Tokens,
};
use carawayseam_wire::{Peer, PeerRole};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::sync::watch;

use super::environment::Environment;
use super::handle::{ControlHandle, Documents};
use super::messages::{AttemptNews, EngineReading, Note, Question, Signal, StateDump, Submission};

const TICK: Millis = Millis(40);
const RETRY_AFTER_NO_DOCUMENT: Millis = Millis::from_secs(1);

/// Work that one message brings about, in order.
#[derive(Debug)]
pub(super) enum Step {
    Scheduler(usize, Event),
    Gate(usize, GateEvent),
    Membership(MembershipEvent),
    Confirm(usize),
}

/// The control state of the process.
#[derive(Debug, Actor)]
pub(crate) struct ControlState {
    pub(super) process: HostProcess,
    pub(super) membership: Membership,
    pub(super) environments: Vec<Environment>,
    pub(super) documents: watch::Sender<Documents>,
    /// Set once several peers have told their newest; it stays set.
    caught_up: Arc<AtomicBool>,
    pub(super) peers: Vec<Peer>,
    /// How the host list last showed each backend server.
    pub(super) listed: HashMap<EngineId, EngineStanding>,
    /// Until when a peer's word that a backend server leaves goes before the own list.
    pub(super) heard_leaving: HashMap<EngineId, Millis>,
    // Kept between messages, so that handling one allocates nothing.
    pub(super) steps: VecDeque<Step>,
    pub(super) me: Option<ActorRef<Self>>,
}

/// Starts the control state on the current runtime.
pub(crate) fn start(process: &HostProcess) -> ControlHandle {
    let names = &process.settings.environments;
    let documents = names.iter().map(|name| (name.clone(), None)).collect();
    let (tx, rx) = watch::channel(documents);
    let caught_up = Arc::new(AtomicBool::new(false));
    let state = ControlState {
        membership: process.membership(PeerRole::Entry),
        environments: names
            .iter()
            .map(|name| Environment::new(name.clone(), process))
            .collect(),
        documents: tx,
        caught_up: Arc::clone(&caught_up),
        peers: Vec::new(),
        listed: HashMap::new(),
        heard_leaving: HashMap::new(),
        steps: VecDeque::new(),
        me: None,
        process: process.clone(),
    };
    let actor = ControlState::spawn_with_mailbox(state, mailbox::unbounded());
    let handle = ControlHandle::new(actor, rx, caught_up);
    let fed = handle.clone();
    process.spawn_event_sources(TICK, move |note| fed.tell(note), || Note::Tick, Note::Peer);
    handle
}

impl Message<Note> for ControlState {
    type Reply = ();

    async fn handle(&mut self, msg: Note, ctx: &mut Context<Self, ()>) {
        if self.me.is_none() {
            self.me = Some(ctx.actor_ref().clone());
        }
        let now = self.process.clock.now();
        self.take(now, msg);
        self.work(now);
    }
}

impl Message<Question> for ControlState {
    type Reply = ();

    async fn handle(&mut self, msg: Question, _ctx: &mut Context<Self, ()>) {
        // A receiver that is gone no longer wants its answer.
        match msg {
            Question::Dump(tx) => drop(tx.send(self.dump())),
            Question::Peer(question) => question.answer(&self.membership),
            Question::EnginesToRead(tx) => drop(tx.send(self.engines_to_read())),
        }
    }
}

impl ControlState {
    fn take(&mut self, now: Millis, note: Note) {
        match note {
            Note::Submit(submission) => self.submit(now, *submission),
            Note::CallerGone(environment, request) => {
                self.push_scheduler(&environment, Event::CallerGone(request));
                self.close_request(&environment, request);
            }
            Note::Attempt(environment, attempt, news) => self.attempt(&environment, attempt, &news),
            Note::Observed(environment, request, observation) => {
                let Some(index) = self.index_of(&environment) else {
                    return;
                };
                let events = self.environments[index].observe(request, observation);
                self.steps
                    .extend(events.into_iter().map(|event| Step::Gate(index, event)));
            }
            Note::Peer(news) => {
                let event = self.process.membership_event(news);
                self.steps.extend(event.map(Step::Membership));
            }
            Note::HostList(list) => self.host_list(now, list),
            Note::EngineLoad(environment, load) => {
                let report = EngineReport {
                    engine: load.engine,
                    reported_at: Millis(load.reported_at),
                    running: load.running,
                    waiting: load.waiting,
                    waiting_prompt: Tokens(load.waiting_prompt_tokens),
                };
                self.push_scheduler(&environment, Event::Load(report));
            }
            Note::CacheEvents(environment, engine, events) => {
                self.cache_events(&environment, &engine, &events);
            }
            Note::Drain => self.push_all(&Event::Drain),
            Note::Leave => self.steps.push_back(Step::Membership(MembershipEvent::Leave)),
            Note::Tick => self.tick(),
        }
    }

    fn tick(&mut self) {
        if self.membership.is_caught_up() {
            self.caught_up.store(true, Ordering::Relaxed);
        }
        self.steps.push_back(Step::Membership(MembershipEvent::Tick));
        for index in 0..self.environments.len() {
            self.steps.push_back(Step::Gate(index, GateEvent::Tick));
            self.steps.push_back(Step::Scheduler(index, Event::Tick));
        }
    }

    fn submit(&mut self, now: Millis, submission: Submission) {
        let Submission {
            environment,
            mut request,
            pick_version,
            signals,
        } = submission;
        let Some(index) = self.index_of(&environment) else {
            return;
        };
        // A request that comes back from a broken hand-over may get another version.
        self.close_request(&environment, request.seq);
        let env = &mut self.environments[index];
        let pick = Pick {
            backend: &request.backend,
            route: &request.route,
            idempotent: request.idempotent,
            content: request.content,
        };
        let picked = if pick_version {
            env.gate.pick(now, &pick)
        } else {
            Some(request.version.clone())
        };
        let Some(version) = picked else {
            let refusal = Refusal {
                reason: NotRunReason::NoEngine,
                retry_after: Some(RETRY_AFTER_NO_DOCUMENT),
            };
            drop(signals.send(Signal::Refused(refusal)));
            return;
        };
        request.version = version;
        env.open_request(&request, pick_version, signals);
        if request.origin == Origin::Caller {
            self.process.metrics.count("requests");
        }
        self.steps
            .push_back(Step::Scheduler(index, Event::Arrive(request)));
    }

    fn attempt(&mut self, environment: &EnvironmentId, attempt: AttemptId, news: &AttemptNews) {
        let Some(index) = self.index_of(environment) else {
            return;
        };
        if matches!(news, AttemptNews::Finished(_) | AttemptNews::Failed(..)) {
            self.environments[index].attempts.remove(&attempt);
        }
        let event = match *news {
            AttemptNews::FirstToken => Event::FirstToken { attempt },
            AttemptNews::Progress(produced) => Event::Progress { attempt, produced },
            AttemptNews::Finished(produced) => Event::Finished { attempt, produced },
            AttemptNews::Failed(failure, produced) => Event::Failed {
                attempt,
                failure,
                produced,
            },
        };
        self.steps.push_back(Step::Scheduler(index, event));
    }

    /// Fails an attempt that could not even be begun.
    pub(super) fn fail_at_once(&mut self, index: usize, attempt: AttemptId) {
        let failure = AttemptFailure::NotSent;
        self.environments[index].attempts.remove(&attempt);
        let event = Event::Failed {
            attempt,
            failure,
            produced: Tokens(0),
        };
        self.steps.push_back(Step::Scheduler(index, event));
    }

    fn engines_to_read(&self) -> Vec<EngineReading> {
        let mut readings = Vec::new();
        for env in &self.environments {
            let Some(document) = &env.document else { continue };
            let own = env.scheduler.own_engines();
            let specs = own.iter().filter_map(|engine| document.engine(engine));
            readings.extend(specs.map(|engine| EngineReading {
                environment: env.name.clone(),
                engine: engine.name.clone(),
                address: engine.address,
                after: env.cache_seen.get(&engine.name).copied().unwrap_or(0),
            }));
        }
        readings
    }

    fn dump(&self) -> StateDump {
        let environments = self.environments.iter().map(Environment::dump).collect();
        self.process.dump("entry", &self.membership, environments)
    }

    pub(super) fn index_of(&self, environment: &EnvironmentId) -> Option<usize> {
        self.environments.iter().position(|env| env.name == *environment)
    }

    fn close_request(&mut self, environment: &EnvironmentId, request: RequestSeq) {
        let Some(index) = self.index_of(environment) else {
            return;
        };
        if let Some(event) = self.environments[index].close_request(request) {
            self.steps.push_back(Step::Gate(index, event));
        }
    }

    pub(super) fn push_scheduler(&mut self, environment: &EnvironmentId, event: Event) {
        if let Some(index) = self.index_of(environment) {
            self.steps.push_back(Step::Scheduler(index, event));
        }
    }

    pub(super) fn push_all(&mut self, event: &Event) {
        for index in 0..self.environments.len() {
            self.steps.push_back(Step::Scheduler(index, event.clone()));
        }
    }
}
