//! Drives one host of a fleet: requests come, run a while and finish.

use std::collections::{BTreeMap, VecDeque};

use carawayseam_scheduler::{
    Action, Coordination, Event, Member, Origin, PoolLoadAnnouncement, Request, Scheduler, SchedulerConfig,
};
use carawayseam_types::{AttemptId, BackendName, HostId, Millis, RequestSeq, Tokens};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::fleet::Fleet;

const SEED: u64 = 11;
const ANSWER: Tokens = Tokens(150);
/// Time between two ticks.
pub(crate) const TICK: Millis = Millis(20);

/// What a host has for its peers.
#[derive(Debug)]
pub(crate) enum ToPeers {
    Forward(HostId, Box<Request>),
    Announce(PoolLoadAnnouncement),
}

/// What a driven host did.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Counts {
    pub(crate) dispatches: u64,
    pub(crate) refusals: u64,
}

/// One host under test.
#[derive(Debug)]
pub(crate) struct Driver<'a> {
    fleet: &'a Fleet,
    host: HostId,
    scheduler: Scheduler,
    rng: StdRng,
    next_request: u64,
    waiting: BTreeMap<RequestSeq, Request>,
    running: VecDeque<(Millis, AttemptId)>,
    actions: Vec<Action>,
    pub(crate) counts: Counts,
}

impl<'a> Driver<'a> {
    /// Starts the host; it knows itself and `members`.
    pub(crate) fn start(fleet: &'a Fleet, host: usize, members: &[Member], way: Coordination) -> Self {
        let member = &fleet.members[host];
        let config = SchedulerConfig::new(member.host.clone(), member.zone.clone());
        let config = config.seed(SEED + host as u64).coordination(way);
        let mut driver = Self {
            fleet,
            host: member.host.clone(),
            scheduler: Scheduler::new(config),
            rng: StdRng::seed_from_u64(SEED + host as u64),
            next_request: 0,
            waiting: BTreeMap::new(),
            running: VecDeque::new(),
            actions: Vec::new(),
            counts: Counts::default(),
        };
        for event in fleet.start_events(members) {
            driver.handle(Millis(1), event);
        }
        driver.actions.clear();
        driver
    }

    /// Hands one event over; its actions are kept until [`Self::collect`].
    pub(crate) fn handle(&mut self, now: Millis, event: Event) {
        self.scheduler.handle(now, event, &mut self.actions);
    }

    /// Makes the next request of this host's own callers.
    pub(crate) fn next_request(&mut self, now: Millis) -> Event {
        let request = self.fleet.request(self.next_request, now, &mut self.rng);
        self.admit(request)
    }

    /// Makes a request for that model as a peer would forward it.
    pub(crate) fn next_forwarded(&mut self, now: Millis, backend: &BackendName, from: &HostId) -> Event {
        loop {
            let request = self.fleet.request(self.next_request, now, &mut self.rng);
            if request.backend == *backend {
                return self.forwarded(request, from.clone());
            }
        }
    }

    /// Makes a request that a peer forwarded.
    pub(crate) fn forwarded(&mut self, mut request: Request, from: HostId) -> Event {
        request.seq = RequestSeq(self.next_request);
        request.origin = Origin::Peer(from);
        self.admit(request)
    }

    fn admit(&mut self, request: Request) -> Event {
        self.next_request += 1;
        self.waiting.insert(request.seq, request.clone());
        Event::Arrive(request)
    }

    /// The number of attempts that run.
    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    /// The host's name.
    pub(crate) const fn host(&self) -> &HostId {
        &self.host
    }

    /// The end of the oldest attempt that was sent before `sent_before`.
    pub(crate) fn next_end(&mut self, sent_before: Millis) -> Option<[Event; 2]> {
        let (_, attempt) = self.running.pop_front_if(|(sent, _)| *sent < sent_before)?;
        let produced = ANSWER;
        Some([
            Event::FirstToken { attempt },
            Event::Finished { attempt, produced },
        ])
    }

    /// Carries out the actions since the last time; gives what is for the peers.
    pub(crate) fn collect(&mut self, now: Millis) -> Vec<ToPeers> {
        let mut out = Vec::new();
        for action in self.actions.drain(..) {
            match action {
                Action::Dispatch { attempt, request, .. } => {
                    self.counts.dispatches += 1;
                    self.waiting.remove(&request);
                    self.running.push_back((now, attempt));
                }
                Action::Cancel { attempt, .. } => self.running.retain(|(_, other)| *other != attempt),
                Action::Refuse { request, .. } => {
                    self.counts.refusals += 1;
                    self.waiting.remove(&request);
                }
                Action::Forward { request, host } => {
                    let forward = |request| ToPeers::Forward(host, Box::new(request));
                    out.extend(self.waiting.remove(&request).map(forward));
                }
                Action::AnnounceLoad(announcement) => out.push(ToPeers::Announce(announcement)),
                _ => {}
            }
        }
        out
    }
}
