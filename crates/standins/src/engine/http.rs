//! The engine's calls over HTTP.

use std::convert::Infallible;
use std::sync::Arc;

use axum::extract::{ConnectInfo, Query, State};
use axum::http::StatusCode;
use axum::response::sse::{Event, Sse};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use carawayseam_external::engine::{
    CACHE_EVENTS_PATH, CANCEL_PATH, CacheEvents, CancelRequest, EngineState, GENERATE_PATH, GenerateRequest,
    KV_EXPORT_PATH, KvExport, KvExportRequest, LOAD_PATH, LoadReport, ORDER_PATH, Order, STATE_PATH,
};
use carawayseam_types::VersionId;
use futures_util::{Stream, stream};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::{self, UnboundedReceiver};

use super::batch::Stats;
use super::loadout::Obeyed;
use super::process::Engine;
use super::sequence::{Emission, Sequence};
use crate::connection::{Connection, ConnectionHandle};
use crate::faults::{BadKind, Occasion, STATS_PATH};
use crate::switch::lock;

type Shared = State<Arc<Engine>>;

#[derive(Debug, Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

/// Says which version is loaded instead of the one asked for.
#[derive(Debug, Serialize)]
struct NotLoaded {
    loaded: Option<VersionId>,
}

pub(super) fn routes(engine: Arc<Engine>) -> Router {
    Router::new()
        .route(GENERATE_PATH, post(generate))
        .route(CANCEL_PATH, post(cancel))
        .route(LOAD_PATH, get(load))
        .route(CACHE_EVENTS_PATH, get(cache_events))
        .route(ORDER_PATH, post(order))
        .route(STATE_PATH, get(state))
        .route(KV_EXPORT_PATH, post(kv_export))
        .route(STATS_PATH, get(stats))
        .with_state(engine)
}

async fn generate(
    State(engine): Shared,
    ConnectInfo(ConnectionHandle(connection)): ConnectInfo<ConnectionHandle>,
    Json(req): Json<GenerateRequest>,
) -> Response {
    let loaded = lock(&engine.loadouts).loaded().cloned();
    let serves = loaded
        .as_ref()
        .is_some_and(|l| l.model == req.model && l.version == req.version);
    if !serves {
        let loaded = loaded.map(|loadout| loadout.version);
        return (StatusCode::CONFLICT, Json(NotLoaded { loaded })).into_response();
    }
    let bad = misbehaviour(&engine, &req);
    if bad == Some(BadKind::Fail) {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    let rx = enqueue(&engine, req, bad);
    Sse::new(events(rx, connection)).into_response()
}

fn misbehaviour(engine: &Engine, req: &GenerateRequest) -> Option<BadKind> {
    let bad = engine.switch.faults().bad_version?;
    let (running, seen) = lock(&engine.batch).counts();
    bad.strikes(&Occasion {
        version: &req.version,
        seen: seen + 1,
        running: running + 1,
        text: &req.prompt,
    })
}

fn enqueue(engine: &Engine, req: GenerateRequest, bad: Option<BadKind>) -> UnboundedReceiver<Emission> {
    let (tx, rx) = mpsc::unbounded_channel();
    let faults = engine.switch.faults();
    let mut sequence = Sequence::new(req, bad, tx);
    if let Some(tokens) = faults.cut_after_tokens {
        sequence.cut_after(tokens);
    }
    if faults.crossed_frames {
        sequence.cross_frames();
    }
    lock(&engine.batch).push(sequence);
    engine.arrived.notify_one();
    rx
}

/// Turns emissions into events; a cut closes the connection.
fn events(
    rx: UnboundedReceiver<Emission>,
    connection: Arc<Connection>,
) -> impl Stream<Item = Result<Event, Infallible>> {
    stream::unfold((rx, connection), |(mut rx, connection)| async {
        let event = match rx.recv().await? {
            Emission::Frame(frame) => Event::default().json_data(&frame).unwrap_or_default(),
            Emission::Cut => {
                connection.cut();
                Event::default()
            }
        };
        Some((Ok(event), (rx, connection)))
    })
}

async fn cancel(State(engine): Shared, Json(cancel): Json<CancelRequest>) {
    lock(&engine.batch).cancel(&cancel.attempt);
}

async fn load(State(engine): Shared) -> Result<Json<LoadReport>, StatusCode> {
    let shown = engine.shown_load();
    shown.map(Json).ok_or(StatusCode::SERVICE_UNAVAILABLE)
}

async fn cache_events(State(engine): Shared, Query(after): Query<After>) -> Json<CacheEvents> {
    Json(lock(&engine.batch).cache_events(engine.clock.now(), after.after))
}

async fn order(State(engine): Shared, Json(order): Json<Order>) -> Response {
    let obeyed = lock(&engine.loadouts).obey(&order);
    match obeyed {
        Obeyed::Fenced => return StatusCode::CONFLICT.into_response(),
        Obeyed::Already => {}
        Obeyed::Load(load) => {
            tokio::spawn(Arc::clone(&engine).load(load, order.wanted));
        }
    }
    state(State(engine)).await.into_response()
}

async fn state(State(engine): Shared) -> Json<EngineState> {
    Json(lock(&engine.loadouts).state(engine.cfg.name.clone()))
}

async fn kv_export(
    State(engine): Shared,
    Json(wanted): Json<KvExportRequest>,
) -> Result<Json<KvExport>, StatusCode> {
    let export = lock(&engine.batch).export(&wanted.attempt);
    export.map(Json).ok_or(StatusCode::NOT_FOUND)
}

async fn stats(State(engine): Shared) -> Json<Stats> {
    Json(lock(&engine.batch).stats())
}
