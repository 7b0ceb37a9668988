//! One request of a caller, from its head to its answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use carawayseam_dispatch::catalog::Place;
use carawayseam_dispatch::moves::VersionRule;
use carawayseam_dispatch::{AttemptEnd, Job, Ticket};
use carawayseam_types::{BackendName, EngineId, Millis, OrganisationId, Tier};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, Uri};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::answer::{AnswerBody, Reason, Refusal};
use super::arrival::{self, OpenRequest, stale};
use super::attempt::{self, Answered, Failure, Slot};
use super::plain::Plain;
use super::quota::TakenTokens;
use super::slots;
use super::stream;
use crate::http_client::Connection;
use crate::platform::RequestHead;
use crate::request_log;
use crate::shared::{Assignment, Decision, Shared, lock};

/// A refused attempt is worth another try after this time.
pub(super) const RETRY_AFTER_REJECTED: Millis = Millis(300);
/// The part of a request's time after which it is refused if it still waits.
const WAIT_PART: f64 = 0.45;
/// Objectives after which a stream is refused if it still waits: callers do not wait much longer.
const WAIT_OBJECTIVES: f64 = 1.5;
/// A plain answer that may be asked for twice is given up after this many objectives.
const SILENT_OBJECTIVES: f64 = 2.5;
/// A stream's first event is given up after this many times the expected time, and some more.
const SILENT_EXPECTED: u64 = 3;
const SILENT_EXTRA: Millis = Millis(800);
/// Connections that may fail for one request.
const MOST_UNSENT: u32 = 4;

/// One request of a caller.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) shared: Arc<Shared>,
    pub(crate) head: RequestHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) request_headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) place: Place,
    pub(crate) backend: BackendName,
    pub(crate) tokens_per_event: u32,
    /// Which versions may run it.
    pub(crate) versions: VersionRule,
    pub(crate) arrived: Millis,
    pub(crate) deadline: Millis,
    pub(crate) attempts: u32,
    pub(crate) unsent: u32,
    /// When it was last given a server.
    pub(crate) assigned_at: Millis,
    /// Whether an attempt may have run it.
    pub(crate) ran: bool,
    pub(crate) tried: Vec<EngineId>,
    /// Whether a log line says how it ended.
    pub(crate) concluded: AtomicBool,
    /// Tokens taken from the organisation's quota.
    pub(super) quota_taken: Option<TakenTokens>,
    /// Events passed on so far.
    pub(crate) events: u32,
    /// Counts the request while its answer is not complete.
    pub(super) _open: OpenRequest,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.concluded.load(Ordering::Relaxed) {
            request_log::caller_disconnected(self);
        }
        let unused = self.quota_taken.take().filter(|_| !self.ran);
        if let (Some(taken), Some(organisation)) = (unused, self.organisation_name()) {
            taken.give_back(&self.shared, organisation);
        }
    }
}

/// A request's place in the queue, and where it hears what was decided.
pub(crate) type Queued = (Ticket, oneshot::Receiver<Decision>);

/// How a request is answered.
enum Served {
    Plain(Response<AnswerBody>),
    Stream(Box<Answered>),
}

/// Answers one request.
pub(crate) async fn run(shared: &Arc<Shared>, req: Request<Incoming>) -> Response<AnswerBody> {
    let head = shared.headers.read_request(req.headers());
    let id = head.id.clone();
    match arrival::receive(shared, req, head).await {
        Ok(exchange) => exchange.serve().await,
        Err(refusal) => {
            request_log::refused_early(shared, id.as_deref(), refusal);
            refusal.response()
        }
    }
}

impl Exchange {
    pub(crate) fn time_left(&self) -> Millis {
        self.deadline.since(self.shared.now())
    }

    pub(crate) fn is_keyed(&self) -> bool {
        self.place.organisation.is_some()
    }

    pub(crate) fn organisation_name(&self) -> Option<&OrganisationId> {
        self.place.organisation.as_ref().map(|org| &org.name)
    }

    pub(crate) fn tier(&self) -> Tier {
        self.place.tier()
    }

    pub(crate) fn reuse(&self, assignment: &Assignment) -> Option<Connection> {
        let now = self.shared.now();
        self.shared
            .connections
            .take(now, &assignment.engine, assignment.address)
    }

    pub(crate) fn keep(&self, assignment: &Assignment, connection: Connection, limit: Option<Millis>) {
        let now = self.shared.now();
        let Assignment { engine, address, .. } = assignment;
        self.shared
            .connections
            .put(now, engine, *address, connection, limit);
    }

    async fn serve(mut self) -> Response<AnswerBody> {
        match self.try_serve().await {
            Ok(Served::Plain(response)) => response,
            Ok(Served::Stream(answered)) => stream::respond(self, *answered),
            Err(refusal) => {
                request_log::refused(&self, refusal);
                refusal.response()
            }
        }
    }

    async fn try_serve(&mut self) -> Result<Served, Refusal> {
        self.refuse_poison()?;
        self.take_quota().await?;
        let job = self.job(self.wait_limit());
        let mut queued = lock(&self.shared.dispatch).submit(self.shared.now(), job);
        loop {
            let last_event = self.head.last_event;
            queued = match self.attempt(queued, last_event).await? {
                Ok(answered) if self.is_stream(&answered) => return Ok(Served::Stream(Box::new(answered))),
                Ok(answered) => match self.plain_answer(answered).await {
                    Plain::Pass(response) => return Ok(Served::Plain(response)),
                    Plain::Again(queued) => queued,
                    Plain::Failed(failure) => self.queue_again(failure)?,
                },
                Err(failure) => self.queue_again(failure)?,
            };
        }
    }

    fn is_stream(&self, answered: &Answered) -> bool {
        self.place.route.kind.is_stream() && answered.response.status().is_success()
    }

    /// When the request is refused if it still waits.
    fn wait_limit(&self) -> Millis {
        let whole = self.deadline.since(self.arrived).0 as f64;
        let objective = self.place.route.objective.0 as f64;
        let most = if self.place.route.kind.is_stream() {
            objective * WAIT_OBJECTIVES
        } else {
            whole
        };
        self.arrived + Millis(most.min(whole * WAIT_PART) as u64)
    }

    pub(crate) fn job(&self, give_up: Millis) -> Job {
        let prompt = self.head.prompt.as_ref();
        Job {
            backend: self.backend.clone(),
            version: self.versions.clone(),
            tier: self.tier(),
            objective: self.arrived + self.place.route.objective,
            give_up,
            deadline: self.deadline,
            gap_objective: self.place.route.gap_objective,
            events: self.expected_output() / self.tokens_per_event,
            tokens_per_event: self.tokens_per_event,
            prompt: prompt.map_or(0, |prompt| prompt.tokens),
            parts: prompt.map(|prompt| prompt.parts.clone()).unwrap_or_default(),
            tried: self.tried.clone(),
        }
    }

    /// The likely length of the answer, in tokens.
    pub(crate) fn expected_output(&self) -> u32 {
        let prompt = self.head.prompt.as_ref();
        prompt.map_or(0, |prompt| {
            let likely = prompt.expected_output.unwrap_or(prompt.max_output);
            likely.min(prompt.max_output)
        })
    }

    /// Waits for a server and sends the request there.
    pub(crate) async fn attempt(
        &mut self,
        queued: Queued,
        last_event: Option<u64>,
    ) -> Result<Result<Answered, Failure>, Refusal> {
        let (mut slot, assignment) = self.find_slot(queued).await?;
        self.assigned_at = self.shared.now();
        slot.assign(&self.backend, &assignment);
        request_log::assigned(self, &assignment);
        let silence = self.silence(&assignment);
        let engine = assignment.engine.clone();
        let target = assignment.clone();
        let sent = attempt::send(self, slot, assignment, last_event, silence).await;
        match &sent {
            Err(Failure::NotRun(AttemptEnd::Unreachable | AttemptEnd::Cancelled) | Failure::Stale) => {
                self.unsent += 1;
            }
            _ => self.attempts += 1,
        }
        if let Err(failure) = &sent {
            request_log::attempt_failed(self, &engine, *failure);
        }
        if matches!(sent, Err(Failure::MaybeRun(AttemptEnd::Lost))) {
            self.check_for_crash(&target);
        }
        self.ran |= matches!(&sent, Ok(_) | Err(Failure::MaybeRun(_) | Failure::TimeOver));
        self.tried.push(engine);
        Ok(sent)
    }

    /// Waits for a server with a slot that no other host has taken meanwhile.
    async fn find_slot(&self, mut queued: Queued) -> Result<(Slot, Assignment), Refusal> {
        loop {
            let (ticket, rx) = queued;
            let mut slot = Slot::new(Arc::clone(&self.shared), ticket);
            let assignment = match timeout(self.time_left().to_duration(), rx).await {
                Ok(Ok(Decision::Start(assignment))) => assignment,
                Ok(Ok(Decision::Refuse { retry_after })) => {
                    return Err(self.refuse_waiting(retry_after));
                }
                Ok(Err(_)) | Err(_) => return Err(self.refuse_waiting(RETRY_AFTER_REJECTED)),
            };
            if !self.holds_slot_for_long() {
                return Ok((slot, assignment));
            }
            if let Ok(kept) = slots::ask(&self.shared, &assignment).await {
                slot.keep(kept);
                return Ok((slot, assignment));
            }
            slot.end(AttemptEnd::Taken);
            let job = self.job(self.give_up());
            queued = lock(&self.shared.dispatch).submit_unsent(self.shared.now(), job);
        }
    }

    /// Whether the slot is held longer than an announcement of loads is on its way: a plain
    /// request has left the server before others hear of it, and waits there less than for a word.
    fn holds_slot_for_long(&self) -> bool {
        self.place.route.kind.is_stream()
    }

    /// When the request is refused if it still waits: one that was sent before waits to its deadline.
    fn give_up(&self) -> Millis {
        if self.tried.is_empty() {
            self.wait_limit()
        } else {
            self.deadline
        }
    }

    /// Refuses a request that waited, unless an earlier attempt may have run it.
    fn refuse_waiting(&self, retry_after: Millis) -> Refusal {
        if self.ran {
            Refusal::new(Reason::AnswerLost)
        } else {
            Refusal::later(Reason::Busy, retry_after)
        }
    }

    /// How long the server may stay silent before another is asked.
    fn silence(&self, assignment: &Assignment) -> Option<Millis> {
        let kind = self.place.route.kind;
        let has_next = self.attempts + 1 < self.place.route.max_attempts;
        match kind {
            _ if !has_next || !kind.may_repeat() => None,
            kind if kind.is_stream() => Some(assignment.expected.times(SILENT_EXPECTED) + SILENT_EXTRA),
            _ => Some(Millis(
                (self.place.route.objective.0 as f64 * SILENT_OBJECTIVES) as u64,
            )),
        }
    }

    /// Queues the request once more after a failed attempt, or says how it ends.
    pub(crate) fn queue_again(&self, failure: Failure) -> Result<Queued, Refusal> {
        let refusal = match failure {
            Failure::TimeOver => return Err(Refusal::new(Reason::TimeOver)),
            _ if self.ran => Refusal::new(Reason::AnswerLost),
            Failure::Stale => return Err(stale(&self.shared)),
            Failure::NotRun(AttemptEnd::Unreachable) => {
                Refusal::later(Reason::Unreachable, RETRY_AFTER_REJECTED)
            }
            _ => Refusal::later(Reason::Rejected, RETRY_AFTER_REJECTED),
        };
        let now = self.shared.now();
        match failure {
            _ if now >= self.deadline => Err(refusal),
            Failure::NotRun(AttemptEnd::Unreachable) if self.unsent < MOST_UNSENT => {
                let job = self.job(self.deadline);
                Ok(lock(&self.shared.dispatch).submit_unsent(now, job))
            }
            Failure::MaybeRun(_) if !self.place.route.kind.may_repeat() => Err(refusal),
            _ => self.send_once_more().ok_or(refusal),
        }
    }

    /// Queues the request for another server, if its route and the retry budget allow one.
    pub(super) fn send_once_more(&self) -> Option<Queued> {
        if self.attempts >= self.place.route.max_attempts {
            return None;
        }
        let job = self.job(self.deadline);
        let queued = lock(&self.shared.dispatch).submit_retry(self.shared.now(), job);
        let label = if queued.is_some() { "sent" } else { "over-budget" };
        self.shared.metrics.count("repeats", label);
        queued
    }
}
