//! Reads a request and looks up its route and organisation in the configuration.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use bytes::Bytes;
use carawayseam_dispatch::Catalog;
use carawayseam_dispatch::catalog::{LookupError, RouteMatch, Target};
use carawayseam_types::{BackendName, Millis};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, EXPECT, HOST};
use hyper::http::request::Parts;
use hyper::{Request, Uri};
use rand::RngExt;
use tokio::time::{Instant, timeout};

use super::attempt::remove_hop_headers;
use super::caller_watch::{CallerWatch, WatchedRequest};
use super::exchange::Exchange;
use super::idle::{Activity, OpenOnConnection};
use super::response::{Reason, Refusal};
use super::waiting::{caller_time, instant_after};
use super::{stop_refusals, unread_body};
use crate::body_memory::{BodyBuf, BodyMemory, BodyReadError};
use crate::platform::RequestHead;
use crate::shared::{OpenRequest, Shared, lock};
use crate::stopping::Phase;

/// A request with an unknown route or key is rejected as such only if the configuration was confirmed
/// within this time; otherwise it is refused because the configuration is stale.
const MAX_LOOKUP_AGE: Millis = Millis(1_800);

/// The retry delay for a request whose body has no room; the bodies that hold it are read within seconds.
const RETRY_AFTER_NO_MEMORY: Millis = Millis(2_000);

/// Reads a request and looks up its route and organisation in the configuration.
pub(super) async fn read_request(
    shared: &Arc<Shared>,
    activity: &Arc<Activity>,
    caller: &Arc<CallerWatch>,
    req: Request<Incoming>,
    head: RequestHead,
) -> Result<Exchange, Refusal> {
    let arrived = shared.now();
    let open = OpenRequest::new(shared);
    let (parts, mut body) = req.into_parts();
    let admitted = match admit(shared, &parts, &head, arrived) {
        Ok(admitted) => read_admitted(shared, caller, &mut body, &admitted, arrived)
            .await
            .map(|body| (admitted, body)),
        Err(refusal) => Err(refusal),
    };
    let (admitted, body) = match admitted {
        Ok(admitted) => admitted,
        Err(refusal) => {
            // A caller that expects an interim response sends no body after a refusal.
            let is_read = if parts.headers.contains_key(EXPECT) {
                body.is_end_stream()
            } else {
                let on_connection = OpenOnConnection::new(activity, shared);
                unread_body::discard(body, shared.limits(), open, on_connection)
            };
            return Err(Refusal {
                leaves_body: !is_read,
                ..refusal
            });
        }
    };
    let Admitted {
        catalog,
        route_match,
        backend,
        limit,
        ..
    } = admitted;
    let mut request_headers = parts.headers;
    remove_hop_headers(&mut request_headers);
    request_headers.remove(EXPECT);
    // The HTTP library sets the length of the body that it sends.
    request_headers.remove(CONTENT_LENGTH);
    Ok(Exchange {
        shared: Arc::clone(shared),
        head,
        method: parts.method,
        uri: origin_form(&parts.uri),
        request_headers,
        body,
        route_match,
        tokens_per_event: tokens_per_event(&catalog, &backend),
        version_draw: rand::rng().random(),
        backend,
        arrived,
        last_event_at: arrived,
        deadline: arrived + limit,
        attempts: 0,
        unsent_attempts: 0,
        assigned_at: arrived,
        may_have_run: false,
        is_part_trial: false,
        tried_engines: Vec::new(),
        is_logged: AtomicBool::new(false),
        reserved_tokens: None,
        events: 0,
        caller: WatchedRequest::new(caller),
        _open: open,
    })
}

/// What the configuration says of a request whose body is read.
struct Admitted {
    catalog: Arc<Catalog>,
    route_match: RouteMatch,
    backend: BackendName,
    /// The time limit of the request.
    limit: Millis,
    /// Until when the body may wait for room in this host's memory: afterwards the request could not be answered in time.
    room_by: Instant,
}

/// Decides by a request's head whether its body is read.
fn admit(shared: &Shared, parts: &Parts, head: &RequestHead, arrived: Millis) -> Result<Admitted, Refusal> {
    let catalog = shared
        .catalog()
        .ok_or_else(|| Refusal::with_retry_after(Reason::NoConfiguration, shared.retry_delay()))?;
    if head_bytes(parts) > catalog.limits.max_head.0 {
        return Err(Refusal::new(Reason::HeadTooLarge));
    }
    let route_match = look_up(shared, &catalog, parts, head)?;
    if route_match.organisation.is_some() && !shared.may_use_keys() {
        return Err(refuse_stale(shared));
    }
    let limit = head
        .time_limit
        .unwrap_or(Millis::MAX)
        .min(route_match.route.timeout);
    stop_refusals::check_admission(shared, &route_match, arrived, limit)?;
    let backend = pick_target(&route_match.route.targets)
        .ok_or_else(|| Refusal::with_retry_after(Reason::Unreachable, shared.retry_delay()))?;
    let caller = caller_time(&route_match.route, arrived + limit, arrived);
    let per_event = tokens_per_event(&catalog, &backend);
    let prompt = head.prompt.as_ref();
    let events = prompt.map_or(0, |prompt| prompt.likely_events(per_event));
    let prompt = prompt.map_or(0, |prompt| prompt.tokens);
    let work = lock(&shared.dispatch)
        .dispatcher
        .expected_work(&backend, prompt, events);
    let room_wait = caller.latest_start(work).since(arrived);
    Ok(Admitted {
        catalog,
        route_match,
        backend,
        limit,
        room_by: instant_after(room_wait),
    })
}

/// Returns the number of tokens in one event of a backend's streams; 1 if it is not configured.
fn tokens_per_event(catalog: &Catalog, backend: &BackendName) -> u32 {
    catalog
        .backend(backend)
        .map_or(1, |backend| backend.tokens_per_event)
}

/// Returns the size of a request head without optional white space.
fn head_bytes(parts: &Parts) -> u64 {
    const REQUEST_LINE_BYTES: usize = "  HTTP/1.1\r\n".len();
    const FIELD_BYTES: usize = ": \r\n".len();
    let target = parts.uri.path_and_query().map_or("*", |path| path.as_str());
    let fields = parts.headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_BYTES);
    let bytes = parts.method.as_str().len() + target.len() + REQUEST_LINE_BYTES + fields.sum::<usize>();
    bytes as u64
}

/// Reads the body of an admitted request, at most until the final responses of a planned shutdown.
async fn read_admitted(
    shared: &Shared,
    caller: &CallerWatch,
    body: &mut Incoming,
    admitted: &Admitted,
    arrived: Millis,
) -> Result<Bytes, Refusal> {
    let body = tokio::select! {
        biased;
        body = read_body(&shared.body_memory, BodyBuf::of(caller.client()), body, admitted) => body?,
        // A body that waits for room is not read, so that its end would be noticed only after the wait.
        () = caller.closed() => return Err(Refusal::new(Reason::BodyIncomplete)),
        () = shared.reached(Phase::Answering) => return Err(stop_refusals::final_refusal(shared, false)),
    };
    // The shutdown may have begun while the body arrived.
    stop_refusals::check_admission(shared, &admitted.route_match, arrived, admitted.limit)?;
    Ok(body)
}

/// Reads the body of an admitted request within its time limit, and at most up to the configured size.
async fn read_body(
    memory: &BodyMemory,
    mut buf: BodyBuf,
    body: &mut Incoming,
    admitted: &Admitted,
) -> Result<Bytes, Refusal> {
    let max_bytes = usize::try_from(admitted.catalog.limits.max_body.0).unwrap_or(usize::MAX);
    let reading = buf.read_to_end(memory, body, max_bytes, admitted.room_by);
    match timeout(admitted.limit.to_duration(), reading).await {
        Ok(Ok(())) => Ok(buf.freeze()),
        Ok(Err(BodyReadError::Overlong)) => Err(Refusal::new(Reason::BodyTooLarge)),
        Ok(Err(BodyReadError::NoRoom)) => {
            Err(Refusal::with_retry_after(Reason::NoMemory, RETRY_AFTER_NO_MEMORY))
        }
        Ok(Err(BodyReadError::Lost(_))) | Err(_) => Err(Refusal::new(Reason::BodyIncomplete)),
    }
}

fn look_up(
    shared: &Shared,
    catalog: &Catalog,
    parts: &Parts,
    head: &RequestHead,
) -> Result<RouteMatch, Refusal> {
    let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    catalog
        .route_match(host, parts.uri.path(), head.key.as_deref())
        .map_err(|e| {
            let is_recent = shared
                .configuration_age()
                .is_some_and(|age| age <= MAX_LOOKUP_AGE);
            match e {
                _ if !is_recent => refuse_stale(shared),
                LookupError::NoRoute => Refusal::new(Reason::NoRoute),
                LookupError::UnknownKey => Refusal::new(Reason::UnknownKey),
            }
        })
}

/// Returns the refusal of a request because the configuration was not confirmed recently.
pub(super) fn refuse_stale(shared: &Shared) -> Refusal {
    let retry_after = shared.retry_delay();
    Refusal::with_retry_after(Reason::StaleConfiguration, retry_after)
}

/// Selects a backend at random by the targets' weights.
fn pick_target(targets: &[Target]) -> Option<BackendName> {
    let total: u64 = targets.iter().map(|target| u64::from(target.weight)).sum();
    if total == 0 {
        return targets.first().map(|target| target.backend.clone());
    }
    let mut drawn = rand::rng().random_range(0..total);
    let target = targets.iter().find(|target| {
        let weight = u64::from(target.weight);
        let hit = drawn < weight;
        drawn = drawn.saturating_sub(weight);
        hit
    });
    target.map(|target| target.backend.clone())
}

/// Returns the path and query of a URI, which is the form sent to a server.
fn origin_form(uri: &Uri) -> Uri {
    let Some(path) = uri.path_and_query() else {
        return uri.clone();
    };
    Uri::from(path.clone())
}
