//! The scheduler of one entry host: its state, and which step each event takes.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use carawayseam_config::Document;
use carawayseam_types::{AttemptId, BackendName, Millis, OrganisationId, RequestSeq, RouteName, VersionId};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::affinity::Affinity;
use crate::budget::RetryBudget;
use crate::fleet::Fleet;
use crate::index::{EngineIx, Interner};
use crate::job::AnyJob;
use crate::length::Lengths;
use crate::peers::Peers;
use crate::poison::Poison;
use crate::timers::{Due, Timers};
use crate::{Action, Event, SchedulerConfig};

/// Decides for one entry host.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) config: SchedulerConfig,
    pub(crate) document: Option<Arc<Document>>,
    /// The latest time seen; a clock that steps back stands still here.
    pub(crate) now: Millis,
    pub(crate) rng: StdRng,
    pub(crate) fleet: Fleet,
    pub(crate) jobs: HashMap<RequestSeq, AnyJob>,
    pub(crate) attempts: HashMap<AttemptId, RequestSeq>,
    pub(crate) next_attempt: AttemptId,
    pub(crate) timers: Timers,
    pub(crate) lengths: Lengths,
    pub(crate) affinity: Affinity,
    pub(crate) poison: Poison,
    pub(crate) budget: RetryBudget,
    pub(crate) peers: Peers,
    pub(crate) withdrawn: HashMap<(BackendName, VersionId), VersionId>,
    pub(crate) organisations: Interner<OrganisationId>,
    pub(crate) shares: Vec<u32>,
    pub(crate) total_share: u32,
    pub(crate) routes: Interner<RouteName>,
    pub(crate) draining: bool,
    /// Requests that are held back.
    pub(crate) held: BTreeSet<RequestSeq>,
    /// Engines whose connections broke lately, the newest last.
    pub(crate) crashed: VecDeque<(Millis, EngineIx)>,
}

impl Scheduler {
    /// Makes a scheduler that knows no engine yet.
    #[must_use]
    pub fn new(config: SchedulerConfig) -> Self {
        Self {
            rng: StdRng::seed_from_u64(config.seed),
            peers: Peers::new(&config),
            config,
            document: None,
            now: Millis::ZERO,
            fleet: Fleet::new(),
            jobs: HashMap::new(),
            attempts: HashMap::new(),
            next_attempt: AttemptId(1),
            timers: Timers::default(),
            lengths: Lengths::default(),
            affinity: Affinity::default(),
            poison: Poison::default(),
            budget: RetryBudget::new(),
            withdrawn: HashMap::new(),
            organisations: Interner::new(),
            shares: Vec::new(),
            total_share: 1,
            routes: Interner::new(),
            draining: false,
            held: BTreeSet::new(),
            crashed: VecDeque::new(),
        }
    }

    /// Takes one event at the time `now` and appends what is to be done.
    ///
    /// Time that goes back is taken as standing still.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Configure(document) => self.configure(document, actions),
            Event::Arrive(request) => self.arrive(request, actions),
            Event::CallerGone(request) => self.caller_gone(request, actions),
            Event::FirstToken { attempt } => self.first_token(attempt, actions),
            Event::Progress { attempt, produced } => self.progress(attempt, produced, actions),
            Event::Finished { attempt, produced } => self.finished(attempt, produced, actions),
            Event::Failed {
                attempt,
                failure,
                produced,
            } => self.failed(attempt, failure, produced, actions),
            Event::Load(report) => self.load(&report, actions),
            Event::Cache {
                engine,
                prefix,
                present,
            } => self.cache(&engine, prefix, present),
            Event::CacheGap { engine } => self.cache_gap(&engine),
            Event::EngineStanding { engine, standing } => self.standing(engine, standing, actions),
            Event::Members(members) => self.members(members, actions),
            Event::PeerLoad(announcement) => self.peer_load(announcement, actions),
            Event::PoisonReported {
                content,
                engine,
                crashes,
                host,
            } => self.poison_reported(content, engine, crashes, &host, actions),
            Event::VersionWithdrawn { backend, from, to } => {
                self.version_withdrawn(backend, from, to, actions);
            }
            Event::Drain => self.drain(actions),
            Event::Tick => self.tick(actions),
        }
    }

    fn tick(&mut self, actions: &mut Vec<Action>) {
        while let Some(due) = self.timers.pop_due(self.now) {
            self.on_due(due, actions);
        }
        self.announce(actions);
    }

    fn on_due(&mut self, due: Due, actions: &mut Vec<Action>) {
        match due {
            Due::Urgent(seq) => self.on_urgent(seq, actions),
            Due::TooLate(seq) => self.on_too_late(seq, actions),
            Due::Release(seq) => self.on_release(seq, actions),
            Due::Attempt(attempt) => self.on_attempt_due(attempt, actions),
            Due::Engine(engine) => self.on_engine_due(engine, actions),
        }
    }
}
