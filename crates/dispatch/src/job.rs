//! A request as the dispatcher sees it, and what becomes of it.

use std::net::SocketAddr;

use carawayseam_types::{BackendName, EngineId, Millis, Tier, VersionId};

use crate::engine::PromptPart;
use crate::rollouts::VersionRule;

/// Names a request while it waits or runs on this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct Ticket(pub u64);

/// What decides where and when a request runs.
#[derive(Debug, Clone)]
pub struct Job {
    /// The backend.
    pub backend: BackendName,
    /// Which versions may run it, during a move.
    pub version: VersionRule,
    /// Its rank.
    pub tier: Tier,
    /// When its first event or its answer is wanted.
    pub objective: Millis,
    /// When it is refused if it still waits.
    pub queue_deadline: Millis,
    /// When its answer has to be complete.
    pub deadline: Millis,
    /// The longest wanted pause between events.
    pub gap_objective: Option<Millis>,
    /// The likely number of events; 0 for plain answers.
    pub expected_events: u32,
    /// Tokens in one event.
    pub tokens_per_event: u32,
    /// The prompt's length in tokens; 0 for plain services.
    pub prompt: u32,
    /// The parts of the prompt in order.
    pub parts: Vec<PromptPart>,
    /// Servers that it was sent to before.
    pub tried: Vec<EngineId>,
}

impl Job {
    /// Until when waiting for a server makes sense: a request that was sent before may have run,
    /// and is better late than lost.
    pub(crate) fn waits_until(&self) -> Millis {
        if self.tried.is_empty() {
            self.objective.min(self.queue_deadline)
        } else {
            self.queue_deadline
        }
    }
}

/// What the host is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the request to a server.
    Start {
        /// The request.
        ticket: Ticket,
        /// The server.
        engine: EngineId,
        /// Its address.
        address: SocketAddr,
        /// Its version.
        version: VersionId,
        /// When it started, if it is known.
        started: Option<u64>,
        /// The expected time to the first event, or to a plain answer.
        expected: Millis,
    },
    /// Answer that the request did not run.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// When the caller should come back.
        retry_after: Millis,
    },
}
