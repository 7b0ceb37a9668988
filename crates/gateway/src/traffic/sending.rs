//! Sends a request to servers, and counts the attempts.

use carawayseam_dispatch::rollouts::ResponseSource;

use super::attempt::{self, AttemptError, Failure, ServerResponse};
use super::exchange::{Exchange, Placement, QueuedRequest};
use super::moves::MovedRequest;
use super::response::Refusal;
use super::resumption::Continuation;
use super::silence::Patience;
use crate::request_log;
use crate::shared::Assignment;

impl Exchange {
    /// Waits for a server and sends the request to it.
    pub(super) async fn attempt(
        &mut self,
        queued: QueuedRequest,
        continuation: &Continuation,
    ) -> Result<Result<ServerResponse, Failure>, Refusal> {
        let placement = self.acquire_slot(queued, None).await?;
        let sent = self.send_to(placement, continuation).await;
        Ok(self.follow_moves(sent, continuation).await)
    }

    /// Waits for the response of the server that the request moved to.
    pub(super) async fn finish_move(
        &mut self,
        moved: MovedRequest,
        continuation: &Continuation,
    ) -> Result<ServerResponse, Failure> {
        let received = self.receive(moved, continuation).await;
        self.follow_moves(received, continuation).await
    }

    async fn follow_moves(
        &mut self,
        mut received: Result<ServerResponse, AttemptError>,
        continuation: &Continuation,
    ) -> Result<ServerResponse, Failure> {
        loop {
            received = match received {
                Ok(server_response) => return Ok(server_response),
                Err(AttemptError::Failed(failure)) => return Err(failure),
                Err(AttemptError::Moved(_, moved)) => self.receive(*moved, continuation).await,
            };
        }
    }

    async fn receive(
        &mut self,
        moved: MovedRequest,
        continuation: &Continuation,
    ) -> Result<ServerResponse, AttemptError> {
        self.assigned_at = moved.assigned_at();
        let sent = match moved {
            MovedRequest::Answered(server_response) => return Ok(server_response),
            MovedRequest::Sent(sent) => sent,
        };
        let patience = self.patience(&sent.assignment);
        let engine = sent.assignment.engine.clone();
        let received = attempt::receive(self, sent, continuation, patience).await;
        if let Err(e) = &received {
            self.uncount_unsent(e.failure());
            request_log::record_attempt_failure(self, &engine, e.failure());
        }
        received
    }

    async fn send_to(
        &mut self,
        placement: Placement,
        continuation: &Continuation,
    ) -> Result<ServerResponse, AttemptError> {
        let engine = placement.assignment.engine.clone();
        // The caller may leave while the request is being sent, so it counts as sent until the outcome is known.
        let may_have_run = std::mem::replace(&mut self.may_have_run, true);
        let placement = self.begin_attempt(placement);
        let earlier_attempts = self.attempts;
        let patience = self.patience(&placement.assignment);
        let sent = attempt::send(self, placement, continuation, patience).await;
        let has_moved = self.attempts > earlier_attempts;
        let failure = sent.as_ref().err().map(AttemptError::failure);
        if let Some(failure) = failure {
            self.uncount_unsent(failure);
            request_log::record_attempt_failure(self, &engine, failure);
        }
        self.may_have_run = may_have_run
            || has_moved
            || matches!(
                failure,
                None | Some(Failure::MaybeRun(_) | Failure::DeadlineExceeded)
            );
        sent
    }

    /// Records that the request is sent to the server of a placement.
    pub(super) fn begin_attempt(&mut self, mut placement: Placement) -> Placement {
        let Placement { slot, assignment } = &mut placement;
        self.assigned_at = self.shared.now();
        let source = ResponseSource {
            backend: self.backend.clone(),
            route: self.judged_route(),
            version: assignment.version.clone(),
            engine: assignment.engine.clone(),
        };
        slot.assign(source, assignment);
        request_log::record_assignment(self, assignment, slot.rate_limit());
        self.attempts += 1;
        self.tried_engines.push(assignment.engine.clone());
        placement
    }

    /// Counts an attempt as unsent if no byte of it was sent.
    pub(super) fn uncount_unsent(&mut self, failure: Failure) {
        if failure.is_unsent() {
            self.attempts -= 1;
            self.unsent_attempts += 1;
        }
    }

    /// Returns how long the server may be silent before its response.
    fn patience(&self, assignment: &Assignment) -> Patience {
        let may_move = self.has_attempt() && self.route_match.route.kind.is_retryable();
        Patience::new(self.silence_limit(assignment.expected_first_event), may_move)
    }

    /// Returns whether the request may be sent to another server.
    pub(super) fn has_attempt(&self) -> bool {
        self.attempts < self.route_match.route.max_attempts
    }
}
