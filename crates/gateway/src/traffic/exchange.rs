//! One request of a caller, from its head to its answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use carawayseam_dispatch::catalog::{LookupError, Place, Target};
use carawayseam_dispatch::moves::VersionRule;
use carawayseam_dispatch::{AttemptEnd, Catalog, Job, Ticket};
use carawayseam_types::{BackendName, Digest, EngineId, Millis, OrganisationId, Tier};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, EXPECT, HOST, HeaderMap};
use hyper::{Method, Request, Response, Uri};
use rand::RngExt;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::answer::{AnswerBody, Reason, Refusal, whole};
use super::attempt::{self, Answered, Failure, Slot, idle_limit, remove_hop_headers};
use super::stream;
use crate::http_client::Connection;
use crate::journal;
use crate::platform::RequestHead;
use crate::shared::{Assignment, Decision, Phase, Shared, lock};
use crate::sockets;

/// A refused attempt is worth another try after this time.
const RETRY_AFTER_REJECTED: Millis = Millis(300);
/// The part of a request's time after which it is refused if it still waits.
const WAIT_PART: f64 = 0.45;
/// The part of a request's objective for which it may wait for its organisation's quota.
const QUOTA_PATIENCE: f64 = 0.6;
/// Objectives after which a stream is refused if it still waits: callers do not wait much longer.
const WAIT_OBJECTIVES: f64 = 1.5;
/// A plain answer that may be asked for twice is given up after this many objectives.
const SILENT_OBJECTIVES: f64 = 2.5;
/// A stream's first event is given up after this many times the expected time, and some more.
const SILENT_EXPECTED: u64 = 3;
const SILENT_EXTRA: Millis = Millis(800);
/// A request that crashes servers is not worth another try soon.
const RETRY_AFTER_POISON: Millis = Millis(5_000);
/// A server that accepts no connection for so long after it lost an answer crashed.
const CRASH_CHECK_LIMIT: Millis = Millis(250);
/// Bytes of a content beside its body, roughly.
const CONTENT_HEAD_BYTES: usize = 256;
/// Connections that may fail for one request.
const MOST_UNSENT: u32 = 4;
/// An unknown route or key is believed only if the configuration was confirmed within this time.
const SURE_WITHIN: Millis = Millis(1_800);
/// The largest plain answer that is read whole before it is passed on.
const MOST_ANSWER_BYTES: usize = 8 * 1_024 * 1_024;

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
    quota_taken: f64,
    /// Events passed on so far.
    pub(crate) events: u32,
    _open: OpenRequest,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.concluded.load(Ordering::Relaxed) {
            journal::caller_left(self);
        }
        if let Some(organisation) = self.organisation_name().filter(|_| !self.ran) {
            let mut desk = lock(&self.shared.desk);
            desk.quotas.give_back(organisation, self.quota_taken);
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

/// What became of a server's plain answer.
enum Plain {
    Pass(Response<AnswerBody>),
    Again(Queued),
    Failed(Failure),
}

/// Counts a request while its answer is not complete.
#[derive(Debug)]
struct OpenRequest(Arc<Shared>);

impl OpenRequest {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.open_requests.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(shared))
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Answers one request.
pub(crate) async fn run(shared: &Arc<Shared>, req: Request<Incoming>) -> Response<AnswerBody> {
    let id = shared.headers.read_request(req.headers()).id;
    match begin(shared, req).await {
        Ok(exchange) => exchange.serve().await,
        Err(refusal) => {
            journal::turned_away(shared, id.as_deref(), refusal);
            refusal.response()
        }
    }
}

/// Reads a request and finds its place in the configuration.
async fn begin(shared: &Arc<Shared>, req: Request<Incoming>) -> Result<Exchange, Refusal> {
    let arrived = shared.now();
    let open = OpenRequest::new(shared);
    let head = shared.headers.read_request(req.headers());
    let catalog = shared
        .catalog()
        .ok_or_else(|| Refusal::later(Reason::NoConfiguration, shared.time_to_come_back()))?;
    let place = find_place(shared, &catalog, &req, &head)?;
    if place.organisation.is_some() && !shared.may_use_keys() {
        return Err(stale(shared));
    }
    if place.route.kind.is_stream() && shared.phase() >= Phase::Ending {
        return Err(Refusal::later(Reason::Stopping, RETRY_AFTER_REJECTED));
    }
    let backend = pick_target(&place.route.targets)
        .ok_or_else(|| Refusal::later(Reason::Unreachable, RETRY_AFTER_REJECTED))?;
    let limit = head.time_limit.unwrap_or(Millis::MAX).min(place.route.timeout);
    let (parts, body) = req.into_parts();
    let most = catalog.limits.max_body.0 as usize;
    let reading = timeout(limit.to_duration(), Limited::new(body, most).collect());
    let body = match reading.await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.is::<LengthLimitError>() => return Err(Refusal::new(Reason::BodyTooLarge)),
        Ok(Err(_)) | Err(_) => return Err(Refusal::new(Reason::BodyBroken)),
    };
    let mut request_headers = parts.headers;
    remove_hop_headers(&mut request_headers);
    request_headers.remove(EXPECT);
    // The HTTP library says the length of the body that it sends.
    request_headers.remove(CONTENT_LENGTH);
    Ok(Exchange {
        shared: Arc::clone(shared),
        head,
        method: parts.method,
        uri: origin_form(&parts.uri),
        request_headers,
        body,
        place,
        tokens_per_event: catalog
            .backend(&backend)
            .map_or(1, |backend| backend.tokens_per_event),
        versions: lock(&shared.moves).rule(
            shared.now(),
            &backend,
            shared.may_use_keys(),
            rand::rng().random(),
        ),
        backend,
        arrived,
        deadline: arrived + limit,
        attempts: 0,
        unsent: 0,
        assigned_at: arrived,
        ran: false,
        tried: Vec::new(),
        concluded: AtomicBool::new(false),
        quota_taken: 0.0,
        events: 0,
        _open: open,
    })
}

fn find_place(
    shared: &Shared,
    catalog: &Catalog,
    req: &Request<Incoming>,
    head: &RequestHead,
) -> Result<Place, Refusal> {
    let host = req.headers().get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| req.uri().host()).unwrap_or_default();
    catalog
        .place(host, req.uri().path(), head.key.as_deref())
        .map_err(|e| {
            let is_sure = shared.configuration_age().is_some_and(|age| age <= SURE_WITHIN);
            match e {
                _ if !is_sure => stale(shared),
                LookupError::NoRoute => Refusal::new(Reason::NoRoute),
                LookupError::UnknownKey => Refusal::new(Reason::UnknownKey),
            }
        })
}

/// Refuses for want of a fresh configuration.
fn stale(shared: &Shared) -> Refusal {
    let retry_after = shared.time_to_come_back();
    Refusal::later(Reason::StaleConfiguration, retry_after)
}

/// Draws a backend by the targets' weights.
fn pick_target(targets: &[Target]) -> Option<BackendName> {
    let total: u32 = targets.iter().map(|target| target.weight).sum();
    if total == 0 {
        return targets.first().map(|target| target.backend.clone());
    }
    let mut drawn = rand::rng().random_range(0..total);
    let target = targets.iter().find(|target| {
        let hit = drawn < target.weight;
        drawn = drawn.saturating_sub(target.weight);
        hit
    });
    target.map(|target| target.backend.clone())
}

/// The path and query alone, as they are sent to a server.
fn origin_form(uri: &Uri) -> Uri {
    let Some(path) = uri.path_and_query() else {
        return uri.clone();
    };
    Uri::from(path.clone())
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
                journal::refused(&self, refusal);
                refusal.response()
            }
        }
    }

    async fn try_serve(&mut self) -> Result<Served, Refusal> {
        self.refuse_poison()?;
        self.take_quota().await?;
        let job = self.job(self.wait_limit());
        let mut queued = lock(&self.shared.desk).submit(self.shared.now(), job);
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

    /// What the request is recognised by when it comes again under another id.
    fn content(&self) -> Digest {
        let mut buf = Vec::with_capacity(self.body.len() + CONTENT_HEAD_BYTES);
        buf.extend_from_slice(self.uri.to_string().as_bytes());
        if let Some(organisation) = self.organisation_name() {
            buf.extend_from_slice(organisation.as_str().as_bytes());
        }
        for part in self.head.prompt.iter().flat_map(|prompt| &prompt.parts) {
            buf.extend_from_slice(&part.id.to_le_bytes());
        }
        buf.extend_from_slice(&self.body);
        Digest::of(&buf)
    }

    fn refuse_poison(&self) -> Result<(), Refusal> {
        let suspects = lock(&self.shared.suspects);
        if suspects.is_empty() || !suspects.is_blocked(self.shared.now(), self.content()) {
            return Ok(());
        }
        Err(Refusal::later(Reason::Poison, RETRY_AFTER_POISON))
    }

    /// Looks whether the server that lost the answer is gone: then it crashed under this request.
    pub(crate) fn check_for_crash(&self, assignment: &Assignment) {
        let shared = Arc::clone(&self.shared);
        let (engine, address) = (assignment.engine.clone(), assignment.address);
        let content = self.content();
        let id = self.head.id.clone();
        tokio::spawn(async move {
            if sockets::connect(address, CRASH_CHECK_LIMIT, CRASH_CHECK_LIMIT)
                .await
                .is_ok()
            {
                return;
            }
            let now = shared.now();
            let crashes = lock(&shared.suspects).crashed(now, content, &engine);
            log::info!(request = id.as_deref(), engine:% = engine, content:% = content, crashes = crashes; "backend server crashed under a request");
        });
    }

    /// Takes the request's tokens from its organisation's quota, and waits a little for them.
    async fn take_quota(&mut self) -> Result<(), Refusal> {
        let Some((organisation, quota)) = self
            .place
            .organisation
            .as_ref()
            .and_then(|org| Some((org, org.quota?)))
        else {
            return Ok(());
        };
        let tokens = match &self.head.prompt {
            Some(prompt) => f64::from(prompt.tokens) + f64::from(prompt.max_output),
            None => f64::from(quota.plain.0),
        };
        let now = self.shared.now();
        let patience = Millis((self.place.route.objective.0 as f64 * QUOTA_PATIENCE) as u64);
        let taken = lock(&self.shared.desk)
            .quotas
            .take(now, &organisation.name, quota, tokens, patience);
        let wait = taken.map_err(|wait| Refusal::later(Reason::OverQuota, wait))?;
        self.quota_taken = tokens;
        if wait > Millis::ZERO {
            sleep(wait.to_duration()).await;
        }
        Ok(())
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
            events: self.likely_output() / self.tokens_per_event,
            tokens_per_event: self.tokens_per_event,
            prompt: prompt.map_or(0, |prompt| prompt.tokens),
            parts: prompt.map(|prompt| prompt.parts.clone()).unwrap_or_default(),
            tried: self.tried.clone(),
        }
    }

    /// The likely length of the answer, in tokens.
    pub(crate) fn likely_output(&self) -> u32 {
        let prompt = self.head.prompt.as_ref();
        prompt.map_or(0, |prompt| {
            let likely = prompt.likely_output.unwrap_or(prompt.max_output);
            likely.min(prompt.max_output)
        })
    }

    /// Waits for a server and sends the request there.
    pub(crate) async fn attempt(
        &mut self,
        queued: Queued,
        last_event: Option<u64>,
    ) -> Result<Result<Answered, Failure>, Refusal> {
        let (ticket, rx) = queued;
        let mut slot = Slot::new(Arc::clone(&self.shared), ticket);
        let assignment = match timeout(self.time_left().to_duration(), rx).await {
            Ok(Ok(Decision::Start(assignment))) => assignment,
            Ok(Ok(Decision::Refuse { retry_after })) => {
                return Err(self.refuse_waiting(retry_after));
            }
            Ok(Err(_)) | Err(_) => return Err(self.refuse_waiting(RETRY_AFTER_REJECTED)),
        };
        self.assigned_at = self.shared.now();
        slot.assign(&self.backend, &assignment);
        journal::assigned(self, &assignment);
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
            journal::attempt_failed(self, &engine, *failure);
        }
        if matches!(sent, Err(Failure::MaybeRun(AttemptEnd::Lost))) {
            self.check_for_crash(&target);
        }
        self.ran |= matches!(&sent, Ok(_) | Err(Failure::MaybeRun(_) | Failure::TimeOver));
        self.tried.push(engine);
        Ok(sent)
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
                Ok(lock(&self.shared.desk).submit_unsent(now, job))
            }
            Failure::MaybeRun(_) if !self.place.route.kind.may_repeat() => Err(refusal),
            _ => self.send_once_more().ok_or(refusal),
        }
    }

    /// Queues the request for another server, if its route and the retry budget allow one.
    fn send_once_more(&self) -> Option<Queued> {
        if self.attempts >= self.place.route.max_attempts {
            return None;
        }
        let job = self.job(self.deadline);
        let queued = lock(&self.shared.desk).submit_again(self.shared.now(), job);
        let label = if queued.is_some() { "sent" } else { "over-budget" };
        self.shared.metrics.count("repeats", label);
        queued
    }

    /// Reads a plain answer whole and passes it on.
    async fn plain_answer(&mut self, answered: Answered) -> Plain {
        let Answered {
            response,
            connection,
            mut slot,
            assignment,
        } = answered;
        let (mut parts, body) = response.into_parts();
        let limit = idle_limit(&parts.headers);
        remove_hop_headers(&mut parts.headers);
        let reading = Limited::new(body, MOST_ANSWER_BYTES).collect();
        let body = match timeout(self.time_left().to_duration(), reading).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) => {
                log::debug!(engine:% = assignment.engine; "the answer broke off: {e}");
                slot.end(AttemptEnd::Lost);
                return Plain::Failed(Failure::MaybeRun(AttemptEnd::Lost));
            }
            Err(_) => {
                slot.end(AttemptEnd::Silent);
                return Plain::Failed(Failure::TimeOver);
            }
        };
        let is_failure = parts.status.is_server_error();
        if is_failure {
            slot.end(AttemptEnd::Failed);
        } else {
            slot.first_event();
            slot.end(AttemptEnd::Complete);
        }
        self.keep(&assignment, connection, limit);
        let again = (is_failure && self.place.route.kind.may_repeat()).then(|| self.send_once_more());
        if let Some(queued) = again.flatten() {
            return Plain::Again(queued);
        }
        journal::answered(self, &assignment, parts.status);
        Plain::Pass(Response::from_parts(parts, whole(body)))
    }
}
