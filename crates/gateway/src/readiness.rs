//! Serves readiness checks of the balancer, metrics, and the state dump for operators.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use carawayseam_types::Millis;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

use crate::client_memory::{CONNECTION_BYTES, Closed};
use crate::shared::{Shared, lock};
use crate::stopping::Phase;

const METRICS_PATH: &str = "/metrics";
const DUMP_PATH: &str = "/dump";

/// The size of the buffers of a connection, the least that the HTTP library takes; a longer request head is refused.
const BUFFER_BYTES: usize = 8 * 1_024;
/// The time from a connection or the last response to the complete head of the next request.
const HEAD_TIME: Millis = Millis::from_secs(30);
/// The maximum number of header fields in a request.
const MAX_HEADER_FIELDS: usize = 64;

/// An open connection.
struct AdminConnection {
    task: AbortHandle,
    /// When the connection was accepted, or its last request was read.
    used_at: Arc<AtomicU64>,
}

/// Serves readiness, metrics and the state dump on a listener until the process ends.
///
/// A connection beyond the limit replaces the one that was unused for longest, so that checks of the balancer are still
/// served while other clients keep connections open.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let mut connections: Vec<AdminConnection> = Vec::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.retain(|connection| !connection.task.is_finished());
                if connections.len() >= shared.settings.max_admin_connections {
                    close_least_recent(&shared, &mut connections);
                }
                let used_at = Arc::new(AtomicU64::new(shared.now().0));
                let serving = serve_connection(Arc::clone(&shared), stream, Arc::clone(&used_at));
                let task = tokio::spawn(serving).abort_handle();
                connections.push(AdminConnection { task, used_at });
            }
            Err(e) => {
                log::error!(error:% = e; "accepting on the admin address failed");
                tokio::time::sleep(crate::traffic::ACCEPT_PAUSE.to_duration()).await;
            }
        }
    }
}

fn close_least_recent(shared: &Shared, connections: &mut Vec<AdminConnection>) {
    let used_at = |connection: &AdminConnection| connection.used_at.load(Ordering::Relaxed);
    let ages = connections.iter().enumerate();
    if let Some((ix, _)) = ages.min_by_key(|(_, connection)| used_at(connection)) {
        connections.swap_remove(ix).task.abort();
        let memory = &shared.client_memory;
        memory.record_closed(&shared.metrics, shared.now(), Closed::AdminLimit);
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream, used_at: Arc<AtomicU64>) {
    // The number of connections is bounded, so that the balancer's checks have room when callers have used theirs.
    let _charge = shared.client_memory.charge(CONNECTION_BYTES);
    let service = service_fn(|req: Request<Incoming>| {
        used_at.store(shared.now().0, Ordering::Relaxed);
        let mut reply = respond(&shared, &req);
        // No page needs a body, so none is read.
        if !req.body().is_end_stream() {
            let close = HeaderValue::from_static("close");
            reply.headers_mut().insert(CONNECTION, close);
        }
        async { Ok::<_, Infallible>(reply) }
    });
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME.to_duration())
        .max_headers(MAX_HEADER_FIELDS)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(e) = served {
        log::debug!("a connection to the admin address broke: {e}");
    }
}

fn check_readiness(shared: &Shared) -> (StatusCode, String) {
    if shared.update_readiness() {
        (StatusCode::OK, "ready".to_owned())
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready".to_owned())
    }
}

fn respond(shared: &Shared, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, text) = match req.uri().path() {
        path if path == shared.settings.ready_path => check_readiness(shared),
        METRICS_PATH => (StatusCode::OK, shared.metrics.render()),
        DUMP_PATH => dump(shared),
        _ => (StatusCode::NOT_FOUND, "no such page".to_owned()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

/// The state dump of the process.
#[derive(Debug, Serialize)]
struct Dump {
    host: String,
    phase: &'static str,
    ready: bool,
    configuration: Option<u64>,
    configuration_age_ms: Option<u64>,
    requests_waiting: usize,
    requests_running: usize,
    idle_connections: usize,
    client_memory_bytes: usize,
    evacuated_zones: Vec<String>,
    engines: Vec<carawayseam_dispatch::load::EngineDump>,
    fair_shares: Vec<carawayseam_dispatch::fair_shares::ShareDump>,
}

fn dump(shared: &Shared) -> (StatusCode, String) {
    let now = shared.now();
    let (waiting, running, evacuated_zones, engines, fair_shares) = {
        let dispatch = lock(&shared.dispatch);
        let (waiting, running) = dispatch.dispatcher.request_counts();
        let evacuated = dispatch.dispatcher.evacuated_zones();
        let evacuated = evacuated.map(ToString::to_string).collect();
        let engines = dispatch.dispatcher.dump(now);
        let fair_shares = dispatch.dispatcher.share_dump(now);
        (waiting, running, evacuated, engines, fair_shares)
    };
    let dump = Dump {
        host: shared.settings.host.to_string(),
        phase: match shared.phase() {
            Phase::Serving => "serving",
            Phase::Draining => "leaving",
            Phase::RefusingStreams => "ending",
            Phase::ClosingIdle => "closing",
            Phase::NotAccepting => "deaf",
            Phase::Answering => "answering",
            Phase::BreakingOff => "breaking-off",
        },
        ready: shared.is_ready(),
        configuration: shared.catalog().map(|catalog| catalog.revision.0),
        configuration_age_ms: shared.configuration_age().map(|age| age.0),
        requests_waiting: waiting,
        requests_running: running,
        idle_connections: shared.connections.idle_count(),
        client_memory_bytes: shared.client_memory.held(),
        evacuated_zones,
        engines,
        fair_shares,
    };
    match serde_json::to_string_pretty(&dump) {
        Ok(text) => (StatusCode::OK, text),
        Err(e) => {
            log::error!(error:% = e; "the state dump was not written");
            (StatusCode::INTERNAL_SERVER_ERROR, e.to_string())
        }
    }
}
