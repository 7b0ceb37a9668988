//! What backend servers report about themselves in the headers of their responses.

use carawayseam_dispatch::draining_servers::DrainingServer;
use carawayseam_types::EngineId;
use hyper::StatusCode;

use super::exchange::Exchange;
use crate::platform::{ReportedRateLimit, ResponseHead};
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
