//! What backend servers report about themselves in the headers of their responses.

use carawayseam_dispatch::draining_servers::DrainingServer;
use carawayseam_types::{EngineId, RejectionLimit};
use carawayseam_wire::PeerMessage;
use hyper::StatusCode;

use super::exchange::Exchange;
use crate::platform::{ReportedLimit, ReportedRateLimit, ResponseHead};
use crate::shared::{Assignment, lock};

/// Applies the server state that a response reports in its headers.
pub(super) fn record_server_state(
    exchange: &Exchange,
    assignment: &Assignment,
    status: StatusCode,
    head: &ResponseHead,
) {
    let shared = &exchange.shared;
    let now = shared.now();
    let engine = &assignment.engine;
    if head.is_draining {
        let server = DrainingServer {
            engine: engine.clone(),
            started: assignment.started,
        };
        if lock(&shared.dispatch).dispatcher.mark_draining(now, server, true) {
            log::info!(engine:% = engine; "backend server reports that it is draining");
        }
    }
    let retry_after = head
        .retry_after
        .filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
    if let Some(span) = retry_after {
        log::info!(engine:% = engine, span_ms = span.0; "backend server rejects requests for the given time");
        shared.metrics.count("engine_closed", "retry-after");
        lock(&shared.dispatch).dispatcher.close_server(now, engine, span);
    }
    record_rate_limit(exchange, engine, head.rate_limit);
    record_rejection_limit(exchange, engine, head.rejection_limit);
    if head.is_not_run {
        record_rejection(exchange, engine);
    }
}

/// Records that a server reports that it is brittle, or that it does not.
fn record_rejection_limit(exchange: &Exchange, engine: &EngineId, reported: ReportedLimit<RejectionLimit>) {
    let shared = &exchange.shared;
    let limit = match reported {
        ReportedLimit::Unlimited => None,
        ReportedLimit::Limited(limit) => Some(limit),
        ReportedLimit::Unreadable => {
            shared.metrics.count("brittle_engines", "unreadable");
            log::warn!(engine:% = engine; "the rejection limit of a backend server cannot be read; ignored");
            return;
        }
    };
    let now = shared.now();
    let dispatcher = &mut lock(&shared.dispatch).dispatcher;
    match limit {
        _ if !dispatcher.record_rejection_limit(now, engine, exchange.assigned_at, limit) => {}
        Some(limit) => {
            shared.metrics.count("brittle_engines", "reported");
            log::info!(engine:% = engine, rejections_per_s = limit.per_second; "backend server bears few rejections");
        }
        None => {
            shared.metrics.count("brittle_engines", "ended");
            log::info!(engine:% = engine; "backend server bears rejections again");
        }
    }
}

/// Records that a server rejected the request, and tells the other hosts if it is brittle.
fn record_rejection(exchange: &Exchange, engine: &EngineId) {
    let shared = &exchange.shared;
    let is_brittle = lock(&shared.dispatch)
        .dispatcher
        .record_own_rejection(shared.now(), engine);
    if !is_brittle {
        return;
    }
    shared.metrics.count("brittle_rejections", "own");
    log::info!(request = exchange.head.id.as_deref(), engine:% = engine; "a brittle backend server rejected a request");
    let engine = engine.clone();
    shared
        .peers
        .send_to_all(&PeerMessage::BrittleRejection { engine });
}

/// Records the rate limit that a response reports, or that it reports none.
fn record_rate_limit(exchange: &Exchange, engine: &EngineId, reported: ReportedRateLimit) {
    let shared = &exchange.shared;
    let limit = match reported {
        ReportedRateLimit::Unlimited => None,
        ReportedRateLimit::Limited(limit) => Some(limit),
        ReportedRateLimit::Unreadable => {
            shared.metrics.count("engine_limits", "unreadable");
            log::warn!(engine:% = engine; "the rate limit of a backend server cannot be read; ignored");
            return;
        }
    };
    let now = shared.now();
    let mut dispatch = lock(&shared.dispatch);
    let was_limited = dispatch.server_limits.get(engine).is_some();
    let is_change = dispatch.record_rate_limit(now, engine, exchange.assigned_at, limit);
    drop(dispatch);
    match limit {
        _ if !is_change => {}
        // A server may adjust its limit with every response.
        Some(limit) if was_limited => {
            log::debug!(engine:% = engine, limit_per_s = limit.per_second(); "backend server changed its rate limit");
        }
        Some(limit) => {
            shared.metrics.count("engine_limits", "reported");
            log::info!(engine:% = engine, limit_per_s = limit.per_second(); "backend server limits its request rate");
        }
        None => {
            shared.metrics.count("engine_limits", "ended");
            log::info!(engine:% = engine; "backend server no longer limits its request rate");
        }
    }
}
