//! What operators and the platform ask.

use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use axum::{Json, Router};

use crate::state::{ControlHandle, StateDump};

/// `GET /live`, `/ready` and `/dump`.
pub(crate) fn routes(control: ControlHandle) -> Router {
    Router::new()
        .route("/live", get(|| async { StatusCode::OK }))
        .route("/ready", get(|| async { StatusCode::OK }))
        .route("/dump", get(dump))
        .with_state(control)
}

async fn dump(State(control): State<ControlHandle>) -> Result<Json<StateDump>, StatusCode> {
    match control.dump().await {
        Some(dump) => Ok(Json(dump)),
        None => Err(StatusCode::SERVICE_UNAVAILABLE),
    }
}
