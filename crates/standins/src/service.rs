//! A plain service, which counts the runs of each request so that a double run shows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use bpaf::Bpaf;
use carawayseam_external::service::{
    CALL_PATH, COUNTS_PATH, Call, CallResponse, Counts, STATE_PATH, ServerState,
};
use carawayseam_types::{EngineId, Millis, VersionId, ZoneId};
use serde::{Deserialize, Serialize};

use crate::StandinError;
use crate::faults::{BadKind, Occasion, STATS_PATH};
use crate::server::{Running, run, start};
use crate::switch::{FaultSwitch, lock};

/// How many times its usual time a slow bad version takes.
const BAD_SLOWNESS: u64 = 10;

/// Settings of a plain service's server.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, generate(options))]
pub struct Config {
    /// Where to listen; port 0 lets the kernel choose
    #[bpaf(argument("ADDRESS"))]
    pub listen: SocketAddr,
    /// The server's name
    #[bpaf(argument("NAME"))]
    pub name: EngineId,
    /// The availability zone
    #[bpaf(argument("NAME"), optional)]
    pub zone: Option<ZoneId>,
    /// The version
    #[bpaf(argument("NAME"))]
    pub version: VersionId,
    /// The time one call takes, such as 5ms
    #[bpaf(argument("SPAN"), fallback(Millis(2)), display_fallback)]
    pub service_time: Millis,
}

/// What a server has done since it started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// The server.
    pub engine: EngineId,
    /// The version it runs.
    pub version: VersionId,
    /// Calls that came.
    pub calls: u64,
    /// Calls running now.
    pub running: u32,
    /// Runs beyond the first of a request id, over all ids.
    pub double_runs: u64,
}

/// Runs the process.
#[must_use]
pub fn main() -> ExitCode {
    let cfg = options().run();
    let name = cfg.name.clone();
    run(name.as_str(), serve(cfg))
}

/// Starts a plain service's server.
///
/// # Errors
///
/// When the address cannot be listened on.
pub async fn serve(cfg: Config) -> Result<Running, StandinError> {
    let switch = FaultSwitch::new(0);
    let server = Arc::new(Server {
        name: cfg.name,
        version: cfg.version,
        service_time: cfg.service_time,
        switch: Arc::clone(&switch),
        ledger: Mutex::default(),
    });
    let routes = Router::new()
        .route(CALL_PATH, post(call))
        .route(COUNTS_PATH, get(counts))
        .route(STATE_PATH, get(state))
        .route(STATS_PATH, get(stats))
        .with_state(server);
    start(cfg.listen, switch, routes).await
}

#[derive(Debug)]
struct Server {
    name: EngineId,
    version: VersionId,
    service_time: Millis,
    switch: Arc<FaultSwitch>,
    ledger: Mutex<Ledger>,
}

#[derive(Debug, Default)]
struct Ledger {
    runs: BTreeMap<String, u32>,
    calls: u64,
    running: u32,
}

impl Server {
    /// Counts the call in, and tells how the version misbehaves on it.
    fn enter(&self, operation: &str) -> Option<BadKind> {
        let mut ledger = lock(&self.ledger);
        ledger.calls += 1;
        ledger.running += 1;
        let occasion = Occasion {
            version: &self.version,
            seen: ledger.calls,
            running: ledger.running,
            text: operation,
        };
        self.switch.faults().bad_version?.strikes(&occasion)
    }
}

/// Counts a call out, also when its caller went away and its future is dropped.
struct Leaving(Arc<Server>);

impl Drop for Leaving {
    fn drop(&mut self) {
        lock(&self.0.ledger).running -= 1;
    }
}

async fn call(
    State(server): State<Arc<Server>>,
    Json(call): Json<Call>,
) -> Result<Json<CallResponse>, StatusCode> {
    let bad = server.enter(&call.operation);
    let leaving = Leaving(Arc::clone(&server));
    // A call that has come runs to its end, whether or not its caller still waits.
    let running = tokio::spawn(async move {
        let answer = perform(&leaving.0, call, bad).await;
        drop(leaving);
        answer
    });
    match running.await {
        Ok(answer) => answer.map(Json),
        Err(_) => Err(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

async fn perform(server: &Server, call: Call, bad: Option<BadKind>) -> Result<CallResponse, StatusCode> {
    let times = match bad {
        Some(BadKind::Fail) => return Err(StatusCode::INTERNAL_SERVER_ERROR),
        Some(BadKind::Slow) => BAD_SLOWNESS,
        _ => 1,
    };
    let key = format!("{}/{}", call.organisation, call.request_id);
    *lock(&server.ledger).runs.entry(key).or_insert(0) += 1;
    take_time(server.service_time.times(times)).await;
    if bad == Some(BadKind::Unfinished) {
        std::future::pending::<()>().await;
    }
    Ok(CallResponse {
        result: result(&call),
        request_id: call.request_id,
        version: server.version.clone(),
    })
}

/// Waits for `span`; the timer would round even none up to a millisecond.
async fn take_time(span: Millis) {
    if span > Millis::ZERO {
        tokio::time::sleep(span.to_duration()).await;
    }
}

fn result(call: &Call) -> serde_json::Value {
    serde_json::json!({ "operation": call.operation, "echo": call.body })
}

async fn counts(State(server): State<Arc<Server>>) -> Json<Counts> {
    let ledger = lock(&server.ledger);
    let runs = ledger.runs.iter().map(|(key, runs)| (key.clone(), *runs));
    Json(Counts { runs: runs.collect() })
}

async fn state(State(server): State<Arc<Server>>) -> Json<ServerState> {
    Json(ServerState {
        engine: server.name.clone(),
        version: server.version.clone(),
    })
}

async fn stats(State(server): State<Arc<Server>>) -> Json<Stats> {
    let ledger = lock(&server.ledger);
    let extra = ledger.runs.values().map(|runs| u64::from(runs.saturating_sub(1)));
    Json(Stats {
        engine: server.name.clone(),
        version: server.version.clone(),
        calls: ledger.calls,
        running: ledger.running,
        double_runs: extra.sum(),
    })
}
