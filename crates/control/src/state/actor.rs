//! The actor that owns the control state.

use std::collections::VecDeque;

use carawayseam_lease::{LeaseEvent, PlanEvent};
use carawayseam_membership::{Event as MembershipEvent, Membership, WatchEvent};
use carawayseam_node::HostProcess;
use carawayseam_rollout::DriverEvent;
use carawayseam_types::{BackendName, EnvironmentId, Millis};
use carawayseam_wire::{Peer, PeerRole};
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use kameo::message::{Context, Message};
use tokio::time::sleep;

use super::environment::Environment;
use super::handle::ControlHandle;
use super::messages::{Note, Question, StateDump};
use crate::calls::Outside;

const TICK: Millis = Millis(50);
/// How often what changes rarely is looked at.
const REVIEW_PERIOD: Millis = Millis(250);
const HOST_LIST_PERIOD: Millis = Millis(2_000);

/// Work that one message brings about, in order.
#[derive(Debug)]
pub(super) enum Step {
    Membership(MembershipEvent),
    Lease(usize, LeaseEvent),
    Plan(usize, PlanEvent),
    Drive(usize, BackendName, DriverEvent),
    Guard(usize, WatchEvent),
}

/// The control state of the process.
#[derive(Debug, Actor)]
pub(crate) struct ControlState {
    pub(super) process: HostProcess,
    pub(super) outside: Outside,
    pub(super) membership: Membership,
    pub(super) environments: Vec<Environment>,
    pub(super) peers: Vec<Peer>,
    pub(super) steps: VecDeque<Step>,
    next_review: Millis,
    pub(super) me: Option<ControlHandle>,
}

/// Starts the control state on the current runtime.
pub(crate) fn start(process: &HostProcess, outside: &Outside) -> ControlHandle {
    let names = process.settings.environments.iter();
    let state = ControlState {
        membership: process.membership(PeerRole::Control),
        environments: names
            .map(|name| Environment::new(name.clone(), process))
            .collect(),
        peers: Vec::new(),
        steps: VecDeque::new(),
        next_review: Millis::ZERO,
        me: None,
        process: process.clone(),
        outside: outside.clone(),
    };
    let actor = ControlState::spawn_with_mailbox(state, mailbox::unbounded());
    let handle = ControlHandle::new(actor);
    let fed = handle.clone();
    process.spawn_event_sources(TICK, move |note| fed.tell(note), || Note::Tick, Note::Peer);
    tokio::spawn(read_hosts(outside.clone(), handle.clone()));
    handle
}

async fn read_hosts(outside: Outside, control: ControlHandle) {
    loop {
        match outside.hosts.read().await {
            Ok(list) => {
                if !control.tell(Note::HostList(list)) {
                    return;
                }
            }
            Err(e) => log::debug!("the host list was not read: {e}"),
        }
        sleep(HOST_LIST_PERIOD.to_duration()).await;
    }
}

impl Message<Note> for ControlState {
    type Reply = ();

    async fn handle(&mut self, msg: Note, ctx: &mut Context<Self, ()>) {
        if self.me.is_none() {
            let actor: ActorRef<Self> = ctx.actor_ref().clone();
            self.me = Some(ControlHandle::new(actor));
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
        }
    }
}

impl ControlState {
    fn take(&mut self, now: Millis, note: Note) {
        match note {
            Note::Peer(news) => {
                let event = self.process.membership_event(news);
                self.steps.extend(event.map(Step::Membership));
            }
            Note::HostList(list) => self.push_membership(MembershipEvent::HostList(list)),
            Note::Watched(environment, range) => self.watched(&environment, &range),
            Note::Compared(environment, revision) => {
                self.push(&environment, |index| {
                    Step::Guard(index, WatchEvent::Compared { revision })
                });
            }
            Note::Lease(environment, call, answer) => {
                self.push(&environment, |index| {
                    Step::Lease(
                        index,
                        LeaseEvent::Response {
                            call,
                            response: answer,
                        },
                    )
                });
            }
            Note::Plan(environment, event) => self.push(&environment, |index| Step::Plan(index, event)),
            Note::RolloutWritten(environment, backend, outcome) => {
                self.move_written(&environment, &backend, outcome);
            }
            Note::Leave => self.leave(),
            Note::Tick => self.tick(now),
        }
    }

    fn leave(&mut self) {
        for index in 0..self.environments.len() {
            self.steps.push_back(Step::Lease(index, LeaseEvent::Resign));
        }
        self.push_membership(MembershipEvent::Leave);
    }

    fn tick(&mut self, now: Millis) {
        self.push_membership(MembershipEvent::Tick);
        if now >= self.next_review {
            self.next_review = now + REVIEW_PERIOD;
            self.review(now);
        }
        for index in 0..self.environments.len() {
            self.say_held(now, index);
            if self.environments[index].stands {
                self.steps.push_back(Step::Lease(index, LeaseEvent::Tick));
            }
            self.steps.push_back(Step::Plan(index, PlanEvent::Tick));
            if self.environments[index].watch.is_some() {
                self.steps.push_back(Step::Guard(index, WatchEvent::Tick));
            }
            for backend in self.environments[index].drivers.keys() {
                self.steps
                    .push_back(Step::Drive(index, backend.clone(), DriverEvent::Tick));
            }
        }
    }

    /// Looks at what changes rarely: who watches, who stands, which moves are to begin.
    fn review(&mut self, now: Millis) {
        for index in 0..self.environments.len() {
            self.watch_as_needed(index);
            self.environments[index].stands = self.may_stand(now, index);
            self.begin_moves(now, index);
        }
    }

    fn dump(&self) -> StateDump {
        let now = self.process.clock.now();
        let environments = self.environments.iter().map(|env| env.dump(now)).collect();
        self.process.dump("control", &self.membership, environments)
    }

    pub(super) fn index_of(&self, environment: &EnvironmentId) -> Option<usize> {
        self.environments.iter().position(|env| env.name == *environment)
    }

    pub(super) fn push(&mut self, environment: &EnvironmentId, step: impl FnOnce(usize) -> Step) {
        if let Some(index) = self.index_of(environment) {
            self.steps.push_back(step(index));
        }
    }

    pub(super) fn push_membership(&mut self, event: MembershipEvent) {
        self.steps.push_back(Step::Membership(event));
    }
}
