//! A request's life here: queued or held, running, queued again, and gone.
//!
//! Each state is a type, and each step consumes the state before it, so a
//! request that runs cannot be started a second time.

use carawayseam_config::BackendKind;
use carawayseam_types::{AttemptId, Millis, Tokens};

use crate::engine::Length;
use crate::index::{EngineIx, OrgIx, PoolIx, RouteIx};
use crate::length::Prediction;
use crate::queue::Ticket;
use crate::speed::Work;
use crate::{AttemptFailure, Request};

/// What stays the same from state to state.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) request: Request,
    pub(crate) org: OrgIx,
    /// The organisation's part of all shares.
    pub(crate) part: f64,
    pub(crate) route: RouteIx,
    pub(crate) kind: BackendKind,
    pub(crate) prediction: Prediction,
    /// Attempts so far.
    pub(crate) tries: u32,
    /// Whether an attempt may have reached an engine; "not run" is false from then on.
    pub(crate) maybe_sent: bool,
    /// The last attempt, whose prefilled state may be exported.
    pub(crate) previous: Option<(EngineIx, AttemptId)>,
    /// The engine to avoid, because the last attempt failed there.
    pub(crate) avoid: Option<EngineIx>,
    pub(crate) failure: Option<AttemptFailure>,
    /// How often it was cancelled to make room.
    pub(crate) preempted: u32,
    /// The caller left; the attempt only runs on because it must not be cut.
    pub(crate) caller_gone: bool,
    /// Runs on an engine without another suspect, so that a crash has one suspect.
    pub(crate) isolate: bool,
}

impl Core {
    /// The work that half of such requests stay below.
    pub(crate) fn median_work(&self) -> Work {
        self.work(self.prediction.median)
    }

    /// The work that three of five such requests stay below.
    pub(crate) fn likely_work(&self) -> Work {
        self.work(self.prediction.likely)
    }

    /// The work that few such requests stay below; a request that has no time for it is hopeless.
    pub(crate) fn least_work(&self) -> Work {
        self.work(self.prediction.least)
    }

    /// The work that most such requests stay below.
    pub(crate) fn most_work(&self) -> Work {
        self.work(self.prediction.most)
    }

    /// The mean work of such requests.
    pub(crate) fn mean_work(&self) -> Work {
        self.work(self.prediction.mean)
    }

    /// Prompt tokens to read, with the part of the answer that a resumed stream reads again.
    pub(crate) fn prompt(&self) -> Tokens {
        Tokens(
            self.request
                .prompt_tokens
                .0
                .saturating_add(self.request.delivered.0),
        )
    }

    fn work(&self, output: f64) -> Work {
        if self.is_service() {
            return Work::of_call();
        }
        Work::of_model(self.prompt(), output - f64::from(self.request.delivered.0))
    }

    pub(crate) fn is_service(&self) -> bool {
        self.kind == BackendKind::Service
    }

    /// Whether another dispatch may follow what happened so far.
    pub(crate) const fn may_repeat(&self) -> bool {
        self.request.idempotent || !self.maybe_sent
    }
}

/// Waits in a pool's queue.
#[derive(Debug)]
pub(crate) struct Queued {
    pub(crate) pool: PoolIx,
    pub(crate) ticket: Ticket,
}

/// Is held back for a while, so that news of crashes spreads first.
#[derive(Debug)]
pub(crate) struct Held;

/// Runs on an engine.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) attempt: AttemptId,
    pub(crate) engine: EngineIx,
    pub(crate) pool: PoolIx,
    pub(crate) started: Millis,
    pub(crate) length: Length,
    /// When the first token came.
    pub(crate) first_token: Option<Millis>,
    pub(crate) last_token: Millis,
    /// Prompt tokens that this attempt has to read.
    pub(crate) uncached: f64,
    /// Prompt tokens that the engine had to read up to this attempt's first token.
    pub(crate) prefill_ahead: f64,
    /// When the decode speed was last sampled, and the length then.
    pub(crate) sampled: (Millis, Tokens),
}

/// A request in the state `S`.
#[derive(Debug)]
pub(crate) struct Job<S> {
    pub(crate) core: Box<Core>,
    pub(crate) state: S,
}

impl Job<Queued> {
    pub(crate) fn start(self, state: Running) -> Job<Running> {
        let mut core = self.core;
        core.tries += 1;
        Job { core, state }
    }
}

/// A request in any state.
#[derive(Debug)]
pub(crate) enum AnyJob {
    Queued(Job<Queued>),
    Held(Job<Held>),
    Running(Job<Running>),
}

impl AnyJob {
    pub(crate) const fn core(&self) -> &Core {
        match self {
            Self::Queued(job) => &job.core,
            Self::Held(job) => &job.core,
            Self::Running(job) => &job.core,
        }
    }
}
