//! Logs and counts the decisions on requests and the ends of requests.

use std::fmt::Display;
use std::sync::atomic::Ordering;

use carawayseam_types::{EngineId, HostId, Millis, OrganisationId, RequestRate};
use compact_str::{CompactString, ToCompactString};
use hyper::StatusCode;

use crate::http_client::ConnectionEnd;
use crate::relay::RelayError;
use crate::shared::{Assignment, Shared};
use crate::stopping::StopPlan;
use crate::traffic::{Exchange, Failure, Refusal};

/// Interval between two log lines about requests that exceed their organisations' shares.
pub(crate) const SHARE_LOG_INTERVAL: Millis = Millis::from_secs(1);

/// Records that a waiting request gave way to one of an organisation with less recent work.
pub(crate) fn record_over_share(exchange: &Exchange) {
    let shared = &exchange.shared;
    shared.metrics.count("fair_shares", "refused");
    if let Some(requests) = shared.share_log.record(shared.now()) {
        log::debug!(
            request = exchange.head.id.as_deref(),
            organisation = exchange.organisation_name().map(OrganisationId::as_str),
            backend:% = exchange.backend,
            tier = exchange.tier().0,
            requests = requests;
            "over the organisation's share"
        );
    }
}

/// Records that a request was assigned to a backend server.
///
/// `limit` is the server's rate limit, if it reports one.
pub(crate) fn record_assignment(exchange: &Exchange, assignment: &Assignment, limit: Option<RequestRate>) {
    if limit.is_some() {
        exchange
            .shared
            .metrics
            .count("requests_to_limited_engines", "sent");
    }
    log::debug!(
        request = exchange.head.id.as_deref(),
        engine:% = assignment.engine,
        limit_per_s = limit.map(RequestRate::per_second),
        version:% = assignment.version,
        expected_ms = assignment.expected_first_event.0,
        waited_ms = exchange.shared.now().since(exchange.arrived).0;
        "assigned"
    );
}

/// Records that a request exceeds its organisation's quota.
pub(crate) fn record_over_quota(exchange: &Exchange, tokens: f64, wait: Millis) {
    let organisation = exchange.organisation_name();
    let peers = &exchange.shared.peers;
    let owner = organisation.and_then(|organisation| peers.owner(organisation.as_str()));
    log::info!(
        request = exchange.head.id.as_deref(),
        organisation = organisation.map(OrganisationId::as_str),
        tokens = tokens,
        keeper = owner.as_ref().map(HostId::as_str),
        wait_ms = wait.0;
        "over quota"
    );
}

/// Records an attempt that produced no response to forward.
pub(crate) fn record_attempt_failure(exchange: &Exchange, engine: &EngineId, failure: Failure) {
    let shared = &exchange.shared;
    shared.metrics.count("attempts", "failed");
    log::info!(
        request = exchange.head.id.as_deref(),
        route:% = exchange.route_match.route.name,
        engine:% = engine,
        outcome:% = failure,
        attempts = exchange.attempts,
        took_ms = shared.now().since(exchange.assigned_at).0,
        time_left_ms = exchange.time_left().0;
        "attempt failed"
    );
}

/// Records that a request goes to a backend server through a peer, or why it does not.
pub(crate) fn record_relay(
    exchange: &Exchange,
    engine: &EngineId,
    peer: &HostId,
    failure: Option<&RelayError>,
) {
    let metrics = &exchange.shared.metrics;
    let request = exchange.head.id.as_deref();
    if let Some(e) = failure {
        metrics.count("requests_through_peers", "failed");
        log::info!(request = request, engine:% = engine, peer:% = peer, reason:% = e; "no connection through a peer");
        return;
    }
    metrics.count("requests_through_peers", "sent");
    log::info!(
        request = request, engine:% = engine, peer:% = peer, reason = "this host does not reach the backend server";
        "request sent through a peer"
    );
}

/// Records that the connection to a backend server was lost while `part` of its response was outstanding.
pub(crate) fn record_lost_connection(
    exchange: &Exchange,
    engine: &EngineId,
    part: &'static str,
    e: &(dyn std::error::Error + 'static),
) {
    let end = ConnectionEnd::from_error(e);
    let metrics = &exchange.shared.metrics;
    metrics.count("lost_server_connections", end.label());
    log::info!(
        request = exchange.head.id.as_deref(),
        engine:% = engine,
        connection:% = end,
        part = part,
        took_ms = exchange.shared.now().since(exchange.assigned_at).0,
        error:% = e;
        "connection to a backend server lost"
    );
}

/// Records why a server's response does not continue a stream; the attempt has failed.
pub(crate) fn record_not_continued(exchange: &Exchange, engine: &EngineId, reason: &dyn Display) {
    exchange.shared.metrics.count("attempts", "not-continued");
    log::info!(
        request = exchange.head.id.as_deref(), engine:% = engine, reason:% = reason;
        "a backend server's response does not continue the stream"
    );
}

/// Records a response that was forwarded and is not a stream.
pub(crate) fn record_response(exchange: &Exchange, assignment: &Assignment, status: StatusCode) {
    exchange.is_logged.store(true, Ordering::Relaxed);
    let shared = &exchange.shared;
    let took = shared.now().since(exchange.arrived);
    shared.metrics.count("requests", "answered");
    shared.metrics.record_time("plain_answer", exchange.tier(), took);
    log::info!(
        request = exchange.head.id.as_deref(),
        route:% = exchange.route_match.route.name,
        engine:% = assignment.engine,
        status = status.as_u16(),
        attempts = exchange.attempts,
        took_ms = took.0,
        configuration_age_ms = shared.configuration_age().map(|age| age.0);
        "answered"
    );
}

/// The outcome of a stream.
#[derive(Debug)]
pub(crate) struct StreamSummary {
    pub(crate) outcome: &'static str,
    pub(crate) events: u32,
    pub(crate) first_event_at: Option<Millis>,
    pub(crate) longest_gap: Millis,
    pub(crate) resumed: u32,
}

/// Records the end of a stream, either at a server or because no server could continue it.
pub(crate) fn record_stream(exchange: &Exchange, assignment: Option<&Assignment>, summary: &StreamSummary) {
    exchange.is_logged.store(true, Ordering::Relaxed);
    let shared = &exchange.shared;
    let prompt = exchange.head.prompt.as_ref();
    shared.metrics.count("requests", summary.outcome);
    log::info!(
        request = exchange.head.id.as_deref(),
        route:% = exchange.route_match.route.name,
        tier = exchange.tier().0,
        engine = assignment.map(|assignment| assignment.engine.as_str()),
        outcome = summary.outcome,
        events = summary.events,
        queued_ms = exchange.assigned_at.since(exchange.arrived).0,
        first_event_ms = summary.first_event_at.map(|at| at.since(exchange.arrived).0),
        longest_pause_ms = summary.longest_gap.0,
        took_ms = shared.now().since(exchange.arrived).0,
        attempts = exchange.attempts,
        resumed = summary.resumed,
        prompt_tokens = prompt.map(|prompt| prompt.tokens),
        likely_output = exchange.expected_output(),
        configuration_age_ms = shared.configuration_age().map(|age| age.0);
        "streamed"
    );
}

/// Records that a caller closed its connection before its response was complete.
pub(crate) fn record_disconnect(exchange: &Exchange) {
    let shared = &exchange.shared;
    shared.metrics.count("requests", "caller-left");
    log::info!(
        request = exchange.head.id.as_deref(),
        route:% = exchange.route_match.route.name,
        tier = exchange.tier().0,
        engine = exchange.tried_engines.last().map(EngineId::as_str),
        attempts = exchange.attempts,
        events = exchange.events,
        queued_ms = exchange.assigned_at.since(exchange.arrived).0,
        likely_output = exchange.expected_output(),
        prompt_tokens = exchange.head.prompt.as_ref().map(|prompt| prompt.tokens),
        took_ms = shared.now().since(exchange.arrived).0;
        "caller left"
    );
}

/// Records a request that the gateway refused before it had resolved its route and organisation.
pub(crate) fn record_early_refusal(shared: &Shared, request: Option<&str>, refusal: Refusal) {
    shared.metrics.count("refusals", refusal.reason.label());
    log::info!(
        request = request,
        reason = refusal.reason.label(),
        status = refusal.reason.status().as_u16(),
        retry_after_ms = refusal.retry_after.map(|after| after.0),
        configuration_age_ms = shared.configuration_age().map(|age| age.0);
        "refused"
    );
}

/// Records a request that the gateway refused.
pub(crate) fn record_refusal(exchange: &Exchange, refusal: Refusal) {
    exchange.is_logged.store(true, Ordering::Relaxed);
    let shared = &exchange.shared;
    shared.metrics.count("refusals", refusal.reason.label());
    log::info!(
        request = exchange.head.id.as_deref(),
        route:% = exchange.route_match.route.name,
        organisation = exchange.organisation_name().map(OrganisationId::as_str),
        tier = exchange.tier().0,
        engine = exchange.tried_engines.last().map(EngineId::as_str),
        reason = refusal.reason.label(),
        status = refusal.reason.status().as_u16(),
        retry_after_ms = refusal.retry_after.map(|after| after.0),
        attempts = exchange.attempts,
        waited_ms = shared.now().since(exchange.arrived).0,
        prompt_tokens = exchange.head.prompt.as_ref().map(|prompt| prompt.tokens),
        configuration_age_ms = shared.configuration_age().map(|age| age.0);
        "refused"
    );
}

/// How a request ended because of a planned shutdown; the labels of a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopOutcome {
    /// It was not admitted.
    Refused,
    /// It got a final response before the end of the process.
    AnsweredAtEnd,
    /// Its stream was broken off at the end of the process.
    BrokenOff,
}

impl StopOutcome {
    const COUNTER: &str = "planned_stop";

    const fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::AnsweredAtEnd => "answered-at-end",
            Self::BrokenOff => "broken-off",
        }
    }

    /// Counts a request that ended so.
    pub(crate) fn count(self, shared: &Shared) {
        shared.metrics.count(Self::COUNTER, self.label());
    }

    fn total(self, shared: &Shared) -> u64 {
        shared.metrics.value(Self::COUNTER, self.label())
    }
}

/// Records the end of a planned shutdown.
pub(crate) fn record_stop(shared: &Shared, plan: StopPlan) {
    log::info!(
        open_requests = shared.open_requests.load(Ordering::Relaxed),
        refused = StopOutcome::Refused.total(shared),
        answered_at_end = StopOutcome::AnsweredAtEnd.total(shared),
        streams_broken_off = StopOutcome::BrokenOff.total(shared),
        took_ms = shared.now().since(plan.started_at).0;
        "stopped"
    );
}

/// Returns ids separated by commas, for one key of a log line.
pub(crate) fn join(ids: impl IntoIterator<Item = impl ToCompactString>) -> CompactString {
    let ids: Vec<CompactString> = ids.into_iter().map(|id| id.to_compact_string()).collect();
    ids.join(",").into()
}
