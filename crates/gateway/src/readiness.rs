//! Serves readiness checks of the balancer, metrics, and the state dump for operators.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;

use crate::shared::{Shared, lock};
use crate::stopping::Phase;

const METRICS_PATH: &str = "/metrics";
const DUMP_PATH: &str = "/dump";

/// Serves readiness, metrics and the state dump on a listener until the process ends.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = Arc::clone(&shared);
                tokio::spawn(async move {
                    let service = service_fn(|req| {
                        let reply = respond(&shared, &req);
                        async { Ok::<_, Infallible>(reply) }
                    });
                    let served = hyper::server::conn::http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                    if let Err(e) = served {
                        log::debug!("a connection to the admin address broke: {e}");
                    }
                });
            }
            Err(e) => {
                log::error!(error:% = e; "accepting on the admin address failed");
                tokio::time::sleep(crate::traffic::ACCEPT_PAUSE.to_duration()).await;
            }
        }
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
