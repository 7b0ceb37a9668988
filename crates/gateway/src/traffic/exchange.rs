//! The handling of one caller's request, from its head to the response.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use carawayseam_dispatch::catalog::RouteMatch;
use carawayseam_dispatch::rollouts::JudgedRoute;
use carawayseam_dispatch::{AttemptEnd, Job, Ticket};
use carawayseam_types::{BackendName, EngineId, Millis, OrganisationId, Tier};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode, Uri};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::arrival::{self, refuse_stale};
use super::attempt::{Failure, ServerResponse};
use super::caller_watch::{CallerWatch, WatchedRequest};
use super::idle::Activity;
use super::plain::PlainResponse;
use super::quota::ReservedTokens;
use super::rate_limits::{self, RateLimited};
use super::reservation::Slot;
use super::response::{Reason, Refusal, ResponseBody};
use super::resumption::Continuation;
use super::slots::{self, Claim};
use super::stop_refusals;
use super::stream;
use super::versions;
use crate::http_client::Connection;
use crate::platform::{Prompt, RequestHead};
use crate::request_log;
use crate::shared::{Assignment, Decision, OpenRequest, Shared, lock};
use crate::stopping::Phase;

/// The maximum number of failed connections for one request.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// A caller's request and the state of its handling.
#[derive(Debug)]
pub(crate) struct Exchange {
    pub(crate) shared: Arc<Shared>,
    pub(crate) head: RequestHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) request_headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route_match: RouteMatch,
    pub(crate) backend: BackendName,
    pub(crate) tokens_per_event: u32,
    /// Decides, from 0 to 1, whether the request is in the canary share of a rollout.
    pub(super) version_draw: f64,
    pub(crate) arrived: Millis,
    /// When the caller was last sent an event; the arrival of the request before the first one.
    pub(crate) last_event_at: Millis,
    pub(crate) deadline: Millis,
    pub(crate) attempts: u32,
    pub(crate) unsent_attempts: u32,
    /// The time when the request was last assigned to a server.
    pub(crate) assigned_at: Millis,
    /// Whether an attempt may have run the request.
    pub(crate) may_have_run: bool,
    /// Whether the request tries a blocked part of its prompt.
    pub(super) is_part_trial: bool,
    pub(crate) tried_engines: Vec<EngineId>,
    /// Whether the outcome of the request has been logged.
    pub(crate) is_logged: AtomicBool,
    /// The tokens reserved from the organisation's quota.
    pub(super) reserved_tokens: Option<ReservedTokens>,
    /// The number of events forwarded so far.
    pub(crate) events: u32,
    /// Whether the caller is still there.
    pub(super) caller: WatchedRequest,
    /// Counts the request as open until its response is complete.
    pub(super) _open: OpenRequest,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.is_logged.load(Ordering::Relaxed) {
            request_log::record_disconnect(self);
        }
        let unused = self.reserved_tokens.take().filter(|_| !self.may_have_run);
        if let (Some(reserved), Some(organisation)) = (unused, self.organisation_name()) {
            reserved.release(&self.shared, organisation);
        }
    }
}

/// A server that a request is assigned to, and its slot there.
#[derive(Debug)]
pub(super) struct Placement {
    pub(super) slot: Slot,
    pub(super) assignment: Assignment,
}

/// A request that waits for the dispatcher's decision; dropping it withdraws it.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    slot: Slot,
    decision: oneshot::Receiver<Decision>,
}

impl QueuedRequest {
    pub(super) fn new(shared: &Arc<Shared>, ticket: Ticket, decision: oneshot::Receiver<Decision>) -> Self {
        Self {
            slot: Slot::new(Arc::clone(shared), ticket),
            decision,
        }
    }
}

/// The response to a request that was served.
enum Outcome {
    PlainResponse(Response<ResponseBody>),
    Stream(Box<ServerResponse>),
}

/// Serves one request and returns the response.
pub(super) async fn run(
    shared: &Arc<Shared>,
    activity: &Arc<Activity>,
    caller: &Arc<CallerWatch>,
    req: Request<Incoming>,
) -> Response<ResponseBody> {
    let head = shared.headers.read_request(req.headers());
    let id = head.id.clone();
    match arrival::read_request(shared, activity, caller, req, head).await {
        // The state is too large for the task of the connection.
        Ok(exchange) => Box::pin(exchange.serve()).await,
        Err(refusal) => {
            request_log::record_early_refusal(shared, id.as_deref(), refusal);
            refusal.response()
        }
    }
}

impl Exchange {
    pub(crate) fn time_left(&self) -> Millis {
        self.deadline.since(self.shared.now())
    }

    pub(crate) fn is_keyed(&self) -> bool {
        self.route_match.organisation.is_some()
    }

    pub(crate) fn organisation_name(&self) -> Option<&OrganisationId> {
        self.route_match.organisation.as_ref().map(|org| &org.name)
    }

    pub(crate) fn tier(&self) -> Tier {
        self.route_match.tier()
    }

    /// Takes an idle connection to the assigned server; a connection through a peer carries one request only.
    pub(crate) fn take_idle_connection(&self, assignment: &Assignment) -> Option<Connection> {
        if assignment.via.is_some() {
            return None;
        }
        let now = self.shared.now();
        self.shared
            .connections
            .take(now, &assignment.engine, assignment.address)
    }

    pub(crate) fn return_connection(
        &self,
        assignment: &Assignment,
        connection: Connection,
        keep_alive: Option<Millis>,
    ) {
        connection.set_reset_on_close(false);
        if assignment.via.is_some() {
            return;
        }
        let now = self.shared.now();
        let Assignment { engine, address, .. } = assignment;
        self.shared
            .connections
            .put(now, engine, *address, connection, keep_alive);
    }

    /// Closes the idle connections to a server, since they may have failed with the one that did.
    pub(super) fn close_idle_connections(&self, assignment: &Assignment) {
        if assignment.via.is_none() {
            let Assignment { engine, address, .. } = assignment;
            self.shared.connections.close_all(engine, *address);
        }
    }

    async fn serve(mut self) -> Response<ResponseBody> {
        let shared = Arc::clone(&self.shared);
        let served = tokio::select! {
            // A queued request must not start on a slot that another one has just given up.
            biased;
            () = shared.reached(Phase::Answering) => None,
            served = self.try_serve() => Some(served),
        };
        match served {
            Some(Ok(Outcome::PlainResponse(response))) => response,
            Some(Ok(Outcome::Stream(server_response))) => stream::respond(self, *server_response).await,
            Some(Err(refusal)) => self.refuse(refusal),
            None => self.refuse_at_end(),
        }
    }

    fn refuse(&self, refusal: Refusal) -> Response<ResponseBody> {
        request_log::record_refusal(self, refusal);
        refusal.response()
    }

    /// Returns the final response to a request that is open shortly before the end of the process.
    pub(super) fn refuse_at_end(&self) -> Response<ResponseBody> {
        self.refuse(stop_refusals::final_refusal(&self.shared, self.may_have_run))
    }

    async fn try_serve(&mut self) -> Result<Outcome, Refusal> {
        self.reject_poison()?;
        self.admit_parts()?;
        self.reserve_quota().await?;
        let job = self.job();
        let submitted = lock(&self.shared.dispatch).submit(self.shared.now(), job);
        let mut queued = self.queued(submitted);
        let start = Continuation::start(self.head.last_event_id);
        loop {
            queued = match self.attempt(queued, &start).await? {
                Ok(server_response) if self.is_stream(server_response.response.status()) => {
                    return Ok(Outcome::Stream(Box::new(server_response)));
                }
                Ok(server_response) => match self.forward_plain_response(server_response).await {
                    PlainResponse::Pass(response) => return Ok(Outcome::PlainResponse(response)),
                    PlainResponse::Retry(queued) => queued,
                    PlainResponse::Failed(failure) => self.requeue(failure)?,
                },
                Err(failure) => self.requeue(failure)?,
            };
        }
    }

    /// Returns whether a response to a request that has just begun is a stream.
    pub(super) fn is_stream(&self, status: StatusCode) -> bool {
        self.route_match.route.kind.is_stream() && status.is_success()
    }

    pub(crate) fn job(&self) -> Job {
        let prompt = self.head.prompt.as_ref();
        Job {
            backend: self.backend.clone(),
            organisation: self.organisation_name().cloned(),
            version: versions::rule(
                &self.shared,
                &self.backend,
                &self.judged_route(),
                self.version_draw,
            ),
            tier: self.tier(),
            caller: self.caller_time(),
            max_event_gap: self.route_match.route.max_event_gap,
            expected_events: self.expected_events(),
            tokens_per_event: self.tokens_per_event,
            prompt: prompt.map_or(0, |prompt| prompt.tokens),
            parts: prompt.map(|prompt| prompt.parts.clone()).unwrap_or_default(),
            tried: self.tried_engines.clone(),
            excluded: None,
        }
    }

    /// Returns the route under which the response counts during a rollout.
    pub(super) fn judged_route(&self) -> JudgedRoute {
        let route = &self.route_match.route;
        JudgedRoute::new(&route.name, route.kind)
    }

    /// Returns the expected number of events that have not been forwarded yet; 0 for plain responses.
    pub(super) fn expected_events(&self) -> u32 {
        let prompt = self.head.prompt.as_ref();
        let events = prompt.map_or(0, |prompt| prompt.likely_events(self.tokens_per_event));
        events.saturating_sub(self.events)
    }

    /// Returns the expected length of the response in tokens.
    pub(crate) fn expected_output(&self) -> u32 {
        let prompt = self.head.prompt.as_ref();
        prompt.map_or(0, Prompt::likely_output)
    }

    /// Waits for a server whose slot and rate limit no other host has used up in the meantime.
    ///
    /// `excluded` is the server that still has the request.
    pub(super) async fn acquire_slot(
        &self,
        mut queued: QueuedRequest,
        excluded: Option<&EngineId>,
    ) -> Result<Placement, Refusal> {
        loop {
            let QueuedRequest { mut slot, decision } = queued;
            let decision = tokio::select! {
                biased;
                refusal = self.part_blocked() => return Err(refusal),
                decision = timeout(self.refusal_time_left().to_duration(), decision) => decision,
            };
            let assignment = match decision {
                Ok(Ok(Decision::Start(assignment))) => assignment,
                Ok(Ok(Decision::Refuse {
                    retry_after,
                    is_over_share,
                })) => {
                    if is_over_share {
                        request_log::record_over_share(self);
                    }
                    return Err(self.queue_refusal(|| retry_after));
                }
                Ok(Err(_)) | Err(_) => return Err(self.queue_refusal(|| self.retry_delay())),
            };
            match self.reserve(&mut slot, &assignment).await {
                Ok(()) => {
                    if let Err(refusal) = self.check_parts() {
                        slot.refund_permit();
                        return Err(refusal);
                    }
                    return Ok(Placement { slot, assignment });
                }
                Err(end) => slot.end(end),
            }
            let job = match excluded {
                Some(engine) => self.job_elsewhere(engine),
                None => self.job(),
            };
            let submitted = lock(&self.shared.dispatch).submit_unsent(self.shared.now(), job);
            queued = self.queued(submitted);
        }
    }

    fn queued(&self, (ticket, decision): (Ticket, oneshot::Receiver<Decision>)) -> QueuedRequest {
        QueuedRequest::new(&self.shared, ticket, decision)
    }

    /// Reserves what all hosts share of the assigned server: a permit if it has a rate limit, and a slot.
    ///
    /// Returns how the attempt ends if either is not available.
    async fn reserve(&self, slot: &mut Slot, assignment: &Assignment) -> Result<(), AttemptEnd> {
        let permit = rate_limits::acquire(&self.shared, assignment).await;
        slot.set_permit(permit.map_err(|RateLimited| AttemptEnd::RateLimited)?);
        let engine = &assignment.engine;
        let is_brittle = lock(&self.shared.dispatch)
            .dispatcher
            .rejection_limit(engine)
            .is_some();
        if !is_brittle && !self.holds_slot_for_long() {
            return Ok(());
        }
        let claim = Claim {
            tier: self.tier(),
            is_brittle,
        };
        let Ok(remote_slot) = slots::acquire(&self.shared, assignment, claim).await else {
            slot.refund_permit();
            return Err(AttemptEnd::NoSlot);
        };
        slot.set_remote_slot(remote_slot);
        Ok(())
    }

    /// Returns whether the slot is held for longer than an announcement of loads takes to reach the other
    /// hosts. A plain request has finished by then, and queueing at the server takes less time than a
    /// request for a slot.
    fn holds_slot_for_long(&self) -> bool {
        self.route_match.route.kind.is_stream()
    }

    /// Returns the refusal of a queued request, which depends on whether an earlier attempt may have run it.
    fn queue_refusal(&self, retry_after: impl FnOnce() -> Millis) -> Refusal {
        let reaches_none = lock(&self.shared.dispatch).dispatcher.reaches_none(&self.backend);
        match reaches_none {
            _ if self.may_have_run => Refusal::new(Reason::ResponseLost),
            true => Refusal::with_retry_after(Reason::Unreachable, retry_after()),
            false => Refusal::with_retry_after(Reason::Busy, retry_after()),
        }
    }

    /// Queues the request again after a failed attempt, or returns the final refusal.
    pub(crate) fn requeue(&self, failure: Failure) -> Result<QueuedRequest, Refusal> {
        // A place is promised only to a caller that is refused.
        let refusal = || match failure {
            _ if self.may_have_run => Refusal::new(Reason::ResponseLost),
            Failure::NotRun(
                AttemptEnd::Unreachable | AttemptEnd::RelayFailed | AttemptEnd::LocalOverload,
            ) => Refusal::with_retry_after(Reason::Unreachable, self.retry_delay()),
            _ => Refusal::with_retry_after(Reason::Rejected, self.retry_delay()),
        };
        let now = self.shared.now();
        match failure {
            Failure::DeadlineExceeded => Err(Refusal::new(Reason::DeadlineExceeded)),
            Failure::NotRun(AttemptEnd::Cancelled) if self.may_have_run => {
                Err(Refusal::new(Reason::DeadlineExceeded))
            }
            Failure::Stale if !self.may_have_run => Err(refuse_stale(&self.shared)),
            _ if now >= self.deadline => Err(refusal()),
            // Neither a later configuration nor more time is to be expected before the deadline.
            Failure::Stale | Failure::NotRun(AttemptEnd::Cancelled) => Err(refusal()),
            Failure::NotRun(
                AttemptEnd::Unreachable | AttemptEnd::RelayFailed | AttemptEnd::LocalOverload,
            ) if self.unsent_attempts < MAX_UNSENT_ATTEMPTS => {
                let job = self.job();
                let submitted = lock(&self.shared.dispatch).submit_unsent(now, job);
                Ok(self.queued(submitted))
            }
            Failure::MaybeRun(_) if !self.route_match.route.kind.is_retryable() => Err(refusal()),
            Failure::MaybeRun(AttemptEnd::ConnectionLost) if self.has_suspected_part() => Err(refusal()),
            _ => self.queue_retry().ok_or_else(refusal),
        }
    }

    /// Queues the request for another server if its route and the retry budget allow a retry.
    pub(super) fn queue_retry(&self) -> Option<QueuedRequest> {
        if !self.has_attempt() {
            return None;
        }
        let job = self.job();
        let submitted = lock(&self.shared.dispatch).submit_retry(self.shared.now(), job);
        let label = if submitted.is_some() {
            "sent"
        } else {
            "over-budget"
        };
        self.shared.metrics.count("repeats", label);
        submitted.map(|submitted| self.queued(submitted))
    }
}
