//! The weight store, which answers 429 over its rate.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::{get, post};
use axum::{Json, Router};
use bpaf::Bpaf;
use carawayseam_external::weights::{FETCH_PATH, FetchRequest};
use carawayseam_types::{Clock, Millis};
use serde::{Deserialize, Serialize};

use crate::StandinError;
use crate::bucket::Bucket;
use crate::faults::STATS_PATH;
use crate::server::{Running, run, start};
use crate::switch::{FaultSwitch, lock};

/// Settings of a weight store.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, generate(options))]
pub struct Config {
    /// Where to listen; port 0 lets the kernel choose
    #[bpaf(argument("ADDRESS"))]
    pub listen: SocketAddr,
    /// Fetches let through a second
    #[bpaf(argument("N"), fallback(2.0), display_fallback)]
    pub rate: f64,
    /// The time one fetch takes, such as 300ms
    #[bpaf(argument("SPAN"), fallback(Millis(100)), display_fallback)]
    pub fetch_time: Millis,
}

/// What a weight store has done since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Fetches answered whole.
    pub fetched: u64,
    /// Fetches refused over the rate.
    pub refused: u64,
}

/// Runs the process.
#[must_use]
pub fn main() -> ExitCode {
    run("weights", serve(options().run()))
}

/// Starts a weight store.
///
/// # Errors
///
/// When the address cannot be listened on.
pub async fn serve(cfg: Config) -> Result<Running, StandinError> {
    let clock = Clock::system();
    let store = Arc::new(Weights {
        bucket: Mutex::new(Bucket::new(cfg.rate, clock.now())),
        clock,
        fetch_time: cfg.fetch_time,
        fetched: AtomicU64::new(0),
        refused: AtomicU64::new(0),
    });
    let routes = Router::new()
        .route(FETCH_PATH, post(fetch))
        .route(STATS_PATH, get(stats))
        .with_state(store);
    start(cfg.listen, FaultSwitch::new(0), routes).await
}

#[derive(Debug)]
struct Weights {
    bucket: Mutex<Bucket>,
    clock: Clock,
    fetch_time: Millis,
    fetched: AtomicU64,
    refused: AtomicU64,
}

async fn fetch(State(store): State<Arc<Weights>>, Json(wanted): Json<FetchRequest>) -> StatusCode {
    if !lock(&store.bucket).take(store.clock.now()) {
        store.refused.fetch_add(1, Ordering::Relaxed);
        return StatusCode::TOO_MANY_REQUESTS;
    }
    tokio::time::sleep(store.fetch_time.to_duration()).await;
    store.fetched.fetch_add(1, Ordering::Relaxed);
    log::info!(model:% = wanted.model, version:% = wanted.version; "weights fetched");
    StatusCode::OK
}

async fn stats(State(store): State<Arc<Weights>>) -> Json<Stats> {
    Json(Stats {
        fetched: store.fetched.load(Ordering::Relaxed),
        refused: store.refused.load(Ordering::Relaxed),
    })
}
