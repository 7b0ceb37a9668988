//! What operators and the balancer ask.

use std::sync::Arc;

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};

use crate::state::StateDump;
use crate::traffic::Traffic;

/// `GET /live`, `/ready` and `/dump`.
pub(crate) fn routes(traffic: Arc<Traffic>) -> Router {
    Router::new()
        .route("/live", get(live))
        .route("/ready", get(ready))
        .route("/dump", get(dump))
        .with_state(traffic)
}

async fn live() -> StatusCode {
    StatusCode::OK
}

async fn ready(State(traffic): State<Arc<Traffic>>) -> StatusCode {
    match () {
        () if traffic.stopping.is_ready_failing() => StatusCode::SERVICE_UNAVAILABLE,
        () if !traffic.control.is_ready() => StatusCode::SERVICE_UNAVAILABLE,
        () => StatusCode::OK,
    }
}

async fn dump(State(traffic): State<Arc<Traffic>>) -> Result<Json<StateDump>, StatusCode> {
    match traffic.control.dump().await {
        Some(dump) => Ok(Json(dump)),
        None => Err(StatusCode::SERVICE_UNAVAILABLE),
    }
}
