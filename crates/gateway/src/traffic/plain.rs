//! Passes a plain answer on.

use carawayseam_dispatch::AttemptEnd;
use http_body_util::{BodyExt, Limited};
use hyper::Response;
use tokio::time::timeout;

use super::answer::{AnswerBody, whole};
use super::attempt::{Answered, Failure, idle_limit, remove_hop_headers};
use super::exchange::{Exchange, Queued};
use crate::request_log;

/// The largest plain answer that is read whole before it is passed on.
const MOST_ANSWER_BYTES: usize = 8 * 1_024 * 1_024;

/// What became of a server's plain answer.
pub(super) enum Plain {
    Pass(Response<AnswerBody>),
    Again(Queued),
    Failed(Failure),
}

impl Exchange {
    /// Reads a plain answer whole and passes it on.
    pub(super) async fn plain_answer(&mut self, answered: Answered) -> Plain {
        let Answered {
            response,
            connection,
            mut slot,
            assignment,
        } = answered;
        let (mut parts, body) = response.into_parts();
        let limit = idle_limit(&parts.headers);
        remove_hop_headers(&mut parts.headers);
        connection.set_read_limit(MOST_ANSWER_BYTES.saturating_mul(2));
        let reading = Limited::new(body, MOST_ANSWER_BYTES).collect();
        let body = match timeout(self.time_left().to_duration(), reading).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) => {
                log::debug!(engine:% = assignment.engine; "the answer broke off: {e}");
                slot.end(AttemptEnd::Lost);
                return Plain::Failed(Failure::MaybeRun(AttemptEnd::Lost));
            }
            Err(_) => {
                slot.end(AttemptEnd::Silent);
                return Plain::Failed(Failure::TimeOver);
            }
        };
        let is_failure = parts.status.is_server_error();
        if is_failure {
            slot.end(AttemptEnd::Failed);
        } else {
            slot.first_event();
            slot.end(AttemptEnd::Complete);
            self.clear_suspicion();
        }
        self.keep(&assignment, connection, limit);
        let again = (is_failure && self.place.route.kind.may_repeat()).then(|| self.send_once_more());
        if let Some(queued) = again.flatten() {
            return Plain::Again(queued);
        }
        request_log::answered(self, &assignment, parts.status);
        Plain::Pass(Response::from_parts(parts, whole(body)))
    }
}
