//! The rest of a request's body after the request was refused.
//!
//! If a connection is closed while bytes of the body arrive, it is reset, and a caller that sends its request
//! completely before it reads loses the response.

use bytes::Bytes;
use carawayseam_dispatch::catalog::RequestLimits;
use carawayseam_types::Millis;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout;

use super::idle::OpenOnConnection;
use crate::shared::OpenRequest;

/// How long the connection of a refused request stays open while its body is not complete.
const DISCARD_TIME: Millis = Millis(3_000);

/// Reads and discards the rest of a body while the refusal is sent, so that the caller can read it.
///
/// The request stays open on its connection meanwhile, so that the idle time begins after the body.
///
/// At most the size of a permitted body is read. A longer one stops the caller until the time is over. Returns whether
/// the body is known to be shorter; otherwise the caller must not use the connection again.
pub(super) fn discard(
    mut body: Incoming,
    limits: RequestLimits,
    open: OpenRequest,
    on_connection: OpenOnConnection,
) -> bool {
    if body.is_end_stream() {
        return true;
    }
    let length = body.size_hint().upper();
    let is_permitted = length.is_some_and(|length| length <= limits.max_body.0);
    tokio::spawn(async move {
        let reading = read(&mut body, limits.max_body.0);
        if timeout(DISCARD_TIME.to_duration(), reading).await.is_err() {
            log::debug!("the rest of a refused request's body was not read");
        }
        drop((open, on_connection));
    });
    is_permitted
}

/// Reads until the body ends or fails; never returns after more than `max_bytes`.
async fn read(body: &mut Incoming, max_bytes: u64) {
    let mut bytes = 0;
    while let Some(Ok(frame)) = body.frame().await {
        bytes += frame.data_ref().map_or(0, Bytes::len) as u64;
        if bytes > max_bytes {
            std::future::pending::<()>().await;
        }
    }
}
