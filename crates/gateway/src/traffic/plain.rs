//! Forwards a plain response.

use carawayseam_dispatch::AttemptEnd;
use hyper::Response;
use tokio::time::timeout;

use super::attempt::{Failure, ServerResponse, keep_alive_timeout, remove_hop_headers};
use super::exchange::{Exchange, QueuedRequest};
use super::response::{BodyError, ResponseBody, full_body};
use crate::body_memory::BodyReadError;
use crate::http_client::ends_with_connection;
use crate::request_log;

/// The maximum size of a plain response, which is read completely before it is forwarded.
pub(super) const MAX_RESPONSE_BYTES: usize = 8 * 1_024 * 1_024;

/// A success ended with its connection before its body began.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the connection closed right after the head")]
struct MissingBody;

/// The result of reading a server's plain response.
pub(super) enum PlainResponse {
    Pass(Response<ResponseBody>),
    Retry(QueuedRequest),
    Failed(Failure),
}

impl Exchange {
    /// Reads a plain response completely, and returns it for the caller unless it is to be retried.
    pub(super) async fn forward_plain_response(&mut self, server_response: ServerResponse) -> PlainResponse {
        let ServerResponse {
            response,
            connection,
            mut slot,
            assignment,
            mut received,
            ..
        } = server_response;
        let needs_body = response.status().is_success() && ends_with_connection(&response);
        let (mut parts, mut body) = response.into_parts();
        let keep_alive = keep_alive_timeout(&parts.headers);
        remove_hop_headers(&mut parts.headers);
        connection.set_read_limit(MAX_RESPONSE_BYTES.saturating_mul(2));
        let reading = async {
            let memory = &self.shared.body_memory;
            let rest = received.read_to_end(memory, &mut body, MAX_RESPONSE_BYTES, self.room_by());
            rest.await?;
            if needs_body && received.is_empty() {
                return Err(BodyError::from(MissingBody));
            }
            Ok(received.freeze())
        };
        let body = match timeout(self.time_left().to_duration(), reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(e)) if matches!(e.downcast_ref(), Some(BodyReadError::NoRoom)) => {
                // The server may be sound; other bodies hold the memory.
                slot.end(AttemptEnd::Cancelled);
                return PlainResponse::Failed(Failure::MaybeRun(AttemptEnd::Cancelled));
            }
            Ok(Err(e)) => {
                request_log::record_lost_connection(self, &assignment.engine, "body", &*e);
                self.close_idle_connections(&assignment);
                self.end_lost(slot, &assignment, 0);
                return PlainResponse::Failed(Failure::MaybeRun(AttemptEnd::ConnectionLost));
            }
            Err(_) => {
                slot.end(AttemptEnd::Unresponsive);
                return PlainResponse::Failed(Failure::DeadlineExceeded);
            }
        };
        let is_failure = parts.status.is_server_error();
        if is_failure {
            slot.end(AttemptEnd::Failed);
        } else {
            slot.record_first_event();
            slot.end(AttemptEnd::Complete);
            self.record_complete(None);
        }
        self.return_connection(&assignment, connection, keep_alive);
        let retry = (is_failure && self.route_match.route.kind.is_retryable()).then(|| self.queue_retry());
        if let Some(queued) = retry.flatten() {
            return PlainResponse::Retry(queued);
        }
        request_log::record_response(self, &assignment, parts.status);
        PlainResponse::Pass(Response::from_parts(parts, full_body(body)))
    }
}
