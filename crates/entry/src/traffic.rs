//! Callers' connections and attempts on engines, on the traffic threads.

pub(crate) mod answers;
mod attempt;
pub(crate) mod callers;
mod forward;
mod job;
mod model;
mod observe;
pub(crate) mod peers;
mod refusal;
mod service;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use carawayseam_claims::HostIncarnation;
use carawayseam_clients::{ClaimClient, EngineClient, ServiceClient};
use carawayseam_external::engine::AttemptRef;
use carawayseam_node::{Metrics, Settings};
use carawayseam_types::{AttemptId, Clock, Nonce, RequestSeq};

use crate::state::ControlHandle;

/// What every request's task needs.
#[derive(Debug)]
pub(crate) struct Traffic {
    pub(crate) settings: Arc<Settings>,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) owner: HostIncarnation,
    pub(crate) control: ControlHandle,
    pub(crate) engines: EngineClient,
    pub(crate) services: ServiceClient,
    pub(crate) claims: ClaimClient,
    pub(crate) stopping: Stopping,
    pub(crate) numbers: Numbers,
}

impl Traffic {
    /// Names an attempt over all hosts and their lives.
    pub(crate) fn attempt_ref(&self, attempt: AttemptId) -> AttemptRef {
        AttemptRef {
            host: self.owner.host.clone(),
            incarnation: self.owner.incarnation.0,
            attempt,
        }
    }
}

/// Numbers that are unique for the process's life.
#[derive(Debug, Default)]
pub(crate) struct Numbers {
    requests: AtomicU64,
    nonces: AtomicU64,
}

impl Numbers {
    pub(crate) fn next_request(&self) -> RequestSeq {
        RequestSeq(self.requests.fetch_add(1, Ordering::Relaxed) + 1)
    }

    /// A nonce is told from another host's by the claim's owner, so counting is enough.
    pub(crate) fn next_nonce(&self) -> Nonce {
        Nonce(self.nonces.fetch_add(1, Ordering::Relaxed) + 1)
    }
}

/// How far a planned stop has come, and what it waits for.
#[derive(Debug, Default, Clone)]
pub(crate) struct Stopping(Arc<StoppingState>);

#[derive(Debug, Default)]
struct StoppingState {
    readiness_fails: AtomicBool,
    refuses_new: AtomicBool,
    open: AtomicUsize,
}

/// Counts one open request for as long as it is kept.
#[derive(Debug)]
pub(crate) struct OpenGuard(Arc<StoppingState>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Stopping {
    pub(crate) fn fail_readiness(&self) {
        self.0.readiness_fails.store(true, Ordering::SeqCst);
    }

    pub(crate) fn refuse_new(&self) {
        self.0.refuses_new.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_ready_failing(&self) -> bool {
        self.0.readiness_fails.load(Ordering::SeqCst)
    }

    pub(crate) fn is_refusing(&self) -> bool {
        self.0.refuses_new.load(Ordering::SeqCst)
    }

    pub(crate) fn open_requests(&self) -> usize {
        self.0.open.load(Ordering::SeqCst)
    }

    /// Counts a request as open until the guard is dropped.
    pub(crate) fn open(&self) -> OpenGuard {
        self.0.open.fetch_add(1, Ordering::SeqCst);
        OpenGuard(Arc::clone(&self.0))
    }
}
