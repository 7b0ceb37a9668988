//! Callers' HTTP.

use std::convert::Infallible;
use std::sync::Arc;

use axum::body::Bytes;
use axum::extract::{DefaultBodyLimit, Path, State};
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::sse::{Event, KeepAlive, Sse};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use carawayseam_types::{Bytes as Size, EnvironmentId, NotRunReason, Refusal, RouteName};
use futures_util::{Stream, stream};
use serde::Deserialize;
use serde_json::{Value, json};

use super::answers::{Answers, Part, Parts, channel};
use super::job::{Job, RawRequest, Work};
use super::refusal::{ErrorBody, InvalidRequest, not_run_status};
use super::{OpenGuard, Traffic, model, service};

/// No body is read past this size, whatever a document allows.
const LARGEST_BODY_BYTES: usize = 1_024 * 1_024;
const MILLIS_PER_SECOND: u64 = 1_000;

/// `POST /v1/{environment}/{route}`.
pub(crate) fn routes(traffic: Arc<Traffic>) -> Router {
    Router::new()
        .route("/v1/{environment}/{route}", post(serve))
        .layer(DefaultBodyLimit::max(LARGEST_BODY_BYTES))
        .with_state(traffic)
}

async fn serve(
    State(traffic): State<Arc<Traffic>>,
    Path((environment, route)): Path<(String, String)>,
    body: Bytes,
) -> Response {
    let open = traffic.stopping.open();
    let checked = if traffic.stopping.is_refusing() {
        Err(Rejected::Stopping)
    } else {
        check(&traffic, &environment, &route, &body)
    };
    match checked {
        Ok((job, streams)) => start(traffic, job, streams, open).await,
        Err(rejected) => reject(&rejected, &body),
    }
}

/// Answers a request that is not looked up in the store.
///
/// This host did not run it. Of a request that the caller sent before, an
/// earlier attempt may have run, so that one is not said to be not run.
fn reject(rejected: &Rejected, body: &Bytes) -> Response {
    let come_back = |reason| Refusal {
        reason,
        retry_after: Some(super::model::COME_BACK),
    };
    let (status, answer) = match rejected {
        Rejected::Invalid(e) => (e.status(), ErrorBody::invalid(e)),
        Rejected::NotReady => refusal_body(&come_back(NotRunReason::NoEngine)),
        Rejected::Stopping => refusal_body(&come_back(NotRunReason::Stopping)),
    };
    let is_repeat = serde_json::from_slice::<RepeatMark>(body).is_ok_and(|mark| mark.repeat);
    error(status, if is_repeat { answer.doubted() } else { answer })
}

/// The one field that is read of a request that is refused unread.
#[derive(Deserialize)]
struct RepeatMark {
    #[serde(default)]
    repeat: bool,
}

enum Rejected {
    Invalid(InvalidRequest),
    NotReady,
    Stopping,
}

impl From<InvalidRequest> for Rejected {
    fn from(error: InvalidRequest) -> Self {
        Self::Invalid(error)
    }
}

fn check(traffic: &Traffic, environment: &str, route: &str, body: &Bytes) -> Result<(Job, bool), Rejected> {
    let (Ok(environment), Ok(route)) = (environment.parse::<EnvironmentId>(), route.parse::<RouteName>())
    else {
        return Err(InvalidRequest::BadName.into());
    };
    if !traffic.control.serves(&environment) {
        return Err(InvalidRequest::UnknownEnvironment(environment).into());
    }
    let document = traffic.control.document(&environment).ok_or(Rejected::NotReady)?;
    let Size(limit) = document.limits.max_body;
    if body.len() as u64 > limit {
        return Err(InvalidRequest::TooLarge(document.limits.max_body).into());
    }
    let raw: RawRequest = match serde_json::from_slice(body) {
        Ok(raw) => raw,
        Err(e) => return Err(InvalidRequest::Malformed(e.to_string()).into()),
    };
    let streams = raw.stream;
    let seq = traffic.numbers.next_request();
    let job = Job::check(seq, traffic.clock.now(), &document, &route, raw)?;
    Ok((job, streams))
}

async fn start(traffic: Arc<Traffic>, job: Job, streams: bool, open: OpenGuard) -> Response {
    let (answers, parts) = channel();
    let is_model = matches!(job.work, Work::Model { .. });
    tokio::spawn(run(traffic, job, answers, open));
    if streams && is_model {
        return Sse::new(events(parts))
            .keep_alive(KeepAlive::default())
            .into_response();
    }
    whole(parts).await
}

/// Serves one request to its end.
///
/// The task outlives the caller's connection where it must: the answer of a
/// call that may not be repeated is recorded even if nobody waits for it.
async fn run(traffic: Arc<Traffic>, job: Job, answers: Answers, open: OpenGuard) {
    let started = traffic.clock.now();
    match &job.work {
        Work::Model { .. } => model::serve(&traffic, &job, &answers).await,
        Work::Call { .. } => service::serve(&traffic, &job, &answers).await,
        Work::UnrepeatableCall { .. } => service::serve_unrepeatable(&traffic, &job, &answers).await,
    }
    traffic
        .metrics
        .time("request", traffic.clock.now().since(started));
    drop(open);
}

fn events(parts: Parts) -> impl Stream<Item = Result<Event, Infallible>> {
    stream::unfold(Some(parts), |parts| async move {
        let mut parts = parts?;
        loop {
            let part = parts.recv().await?;
            if let Some((event, is_last)) = event_of(part) {
                return Some((Ok(event), (!is_last).then_some(parts)));
            }
        }
    })
}

fn event_of(part: Part) -> Option<(Event, bool)> {
    let named = |name: &str, data: Value| Event::default().event(name).data(data.to_string());
    let failed = |body: &ErrorBody| named("error", json!(body));
    match part {
        Part::Waiting | Part::Started(_) | Part::Observed(_) | Part::Result { .. } => None,
        Part::Tokens { offset, count, text } => Some((
            named("tokens", json!({"offset": offset, "count": count, "text": text})),
            false,
        )),
        Part::End { tokens } => Some((named("end", json!({"tokens": tokens})), true)),
        Part::NotRun(refusal) => Some((failed(&ErrorBody::not_run(&refusal)), true)),
        Part::Unknown { reason, retry_after } => {
            Some((failed(&ErrorBody::unknown(reason, retry_after)), true))
        }
    }
}

/// Collects a whole answer; a part of one is never given as an answer.
async fn whole(mut parts: Parts) -> Response {
    let mut text = String::new();
    let mut version = None;
    while let Some(part) = parts.recv().await {
        match part {
            Part::Waiting | Part::Observed(_) => {}
            Part::Started(started) => version = Some(started),
            Part::Tokens { text: more, .. } => text.push_str(&more),
            Part::End { tokens } => {
                let body = json!({"outcome": "ran", "version": version, "text": text, "tokens": tokens});
                return Json(body).into_response();
            }
            Part::Result { version, result } => {
                return Json(json!({"outcome": "ran", "version": version, "result": result})).into_response();
            }
            Part::NotRun(refusal) => return refuse(&refusal),
            Part::Unknown { reason, retry_after } => {
                return error(StatusCode::BAD_GATEWAY, ErrorBody::unknown(reason, retry_after));
            }
        }
    }
    // The task ended without a final part, which is a bug; the caller must not take it for an answer.
    StatusCode::INTERNAL_SERVER_ERROR.into_response()
}

fn refuse(refusal: &Refusal) -> Response {
    let (status, body) = refusal_body(refusal);
    error(status, body)
}

fn refusal_body(refusal: &Refusal) -> (StatusCode, ErrorBody) {
    (not_run_status(refusal.reason), ErrorBody::not_run(refusal))
}

fn error(status: StatusCode, body: ErrorBody) -> Response {
    let mut headers = HeaderMap::new();
    if let Some(ms) = body.retry_after_ms() {
        headers.insert(
            header::RETRY_AFTER,
            HeaderValue::from(ms.div_ceil(MILLIS_PER_SECOND)),
        );
    }
    (status, headers, Json(body)).into_response()
}
