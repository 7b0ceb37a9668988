//! Requests as the dispatcher handles them, and the actions it decides on.

use std::net::SocketAddr;

use carawayseam_types::{BackendName, EngineId, HostId, Millis, OrganisationId, Tier, VersionId};

use crate::caller_time::{CallerTime, Work};
use crate::engine::PromptPart;
use crate::rollouts::VersionRule;
use crate::speed::Pace;

/// Identifies a request while it waits or runs on this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct Ticket(pub u64);

/// The properties of a request that determine where and when it runs.
#[derive(Debug, Clone)]
pub struct Job {
    /// Backend that serves the request.
    pub backend: BackendName,
    /// Organisation of the caller; `None` on public routes and in a configuration without organisations.
    pub organisation: Option<OrganisationId>,
    /// Versions that may serve the request during a rollout.
    pub version: VersionRule,
    /// Tier of the request; higher tiers are served first.
    pub tier: Tier,
    /// When the caller leaves.
    pub caller: CallerTime,
    /// Time without an event after which the callers of such streams leave; `None` for plain responses.
    pub max_event_gap: Option<Millis>,
    /// Expected number of events; 0 for plain responses.
    pub expected_events: u32,
    /// Number of tokens per event.
    pub tokens_per_event: u32,
    /// Length of the prompt in tokens; 0 for plain services.
    pub prompt: u32,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Servers to which the request was already sent.
    pub tried: Vec<EngineId>,
    /// The server that still has the request and must not get it again.
    pub excluded: Option<EngineId>,
}

impl Job {
    /// Returns the expected duration on a server that has this pace and nothing else to read.
    pub(crate) fn work(&self, pace: Pace) -> Work {
        pace.work(self.prompt, self.expected_events)
    }

    /// Returns the latest time at which the request can start and still be answered within its caller's time.
    pub(crate) fn latest_start(&self, pace: Pace) -> Millis {
        self.caller.latest_start(self.work(pace))
    }
}

/// An action that the host has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the request to a server.
    Start {
        /// Request to send.
        ticket: Ticket,
        /// Server that runs the request.
        engine: EngineId,
        /// Address of the server.
        address: SocketAddr,
        /// Peer through which the request is sent; `None` if it is sent directly.
        via: Option<HostId>,
        /// Version of the server.
        version: VersionId,
        /// Start time of the server, if known.
        started: Option<u64>,
        /// Expected time to the first event or the plain response.
        expected: Millis,
        /// Expected time to the first event on a typical server of the backend, in milliseconds.
        typical_first_event_ms: f64,
        /// Expected time between two events on a typical server of the backend, in milliseconds.
        typical_event_ms: f64,
    },
    /// Respond to the caller that the request did not run.
    Refuse {
        /// Request to refuse.
        ticket: Ticket,
        /// Delay after which the caller should retry.
        retry_after: Millis,
        /// Whether it gave way to a request of an organisation with less recent work.
        is_over_share: bool,
    },
}
