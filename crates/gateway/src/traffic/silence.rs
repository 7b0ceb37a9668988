//! Looks for another server while the one that has a request is silent.
//!
//! A silent server may be sound and continue, so a request moves only to a server that has a slot for it and is
//! connected to, and only if the retry budget allows it then.

use std::pin::{Pin, pin};

use carawayseam_dispatch::Job;
use carawayseam_types::{EngineId, Millis};
use tokio::time::timeout;

use super::attempt::{self, TIMER_SLACK};
use super::connecting;
use super::exchange::{Exchange, Placement, QueuedRequest};
use super::moves::MovedRequest;
use super::resumption::Continuation;
use crate::http_client::Connection;
use crate::shared::{Assignment, lock};

/// The pause before another server is looked for again.
const SEARCH_INTERVAL: Millis = Millis(300);

/// How much longer a server may be silent if its request cannot move, since only its check follows.
const FIXED_REQUEST_FACTOR: u64 = 2;

/// How long a server may be silent, and what follows.
#[derive(Debug, Clone, Copy)]
pub(super) struct Patience {
    /// The time without anything from the server.
    pub(super) limit: Millis,
    /// Whether another server may take the request over.
    pub(super) may_move: bool,
}

impl Patience {
    /// Creates the patience with a server; a request that may not move has more.
    pub(super) const fn new(limit: Millis, may_move: bool) -> Self {
        let limit = if may_move {
            limit
        } else {
            limit.times(FIXED_REQUEST_FACTOR)
        };
        Self { limit, may_move }
    }
}

/// The result of waiting for a server that may be silent.
pub(super) enum Awaited<T, E> {
    /// The server sent something, or failed.
    Ready(Result<T, E>),
    /// The request is at another server, because this one was silent, and may have failed since.
    Moved(Option<E>, Box<MovedRequest>),
    /// The deadline has passed.
    DeadlineExceeded,
}

/// What ended the search for another server.
pub(super) enum Search<T, E> {
    /// The silent server sent something first, or failed.
    Ready(Result<T, E>),
    /// The request is at another server, and the silent one may have failed since.
    Moved(Option<E>, Box<MovedRequest>),
    /// No other server can take the request now.
    NotFound,
}

impl Exchange {
    /// Waits for `event` from the server that has the request, at most until the deadline.
    ///
    /// A server that exhausts the patience is checked before it gets other requests. If the request may move, another
    /// server is looked for, and again at intervals; `continuation` is the point that it is to continue from.
    pub(super) async fn await_server<T, E>(
        &mut self,
        Assignment { engine, via, .. }: &Assignment,
        patience: Patience,
        continuation: &Continuation,
        event: impl Future<Output = Result<T, E>>,
    ) -> Awaited<T, E> {
        let mut event = pin!(event);
        let mut limit = patience.limit;
        loop {
            match timeout(limit.min(self.time_left()).to_duration(), event.as_mut()).await {
                Ok(result) => return Awaited::Ready(result),
                Err(_) if self.time_left() <= TIMER_SLACK => return Awaited::DeadlineExceeded,
                Err(_) => {}
            }
            lock(&self.shared.dispatch)
                .dispatcher
                .mark_silent(self.shared.now(), engine, via.as_ref());
            if !patience.may_move || !self.has_attempt() {
                limit = Millis::MAX;
                continue;
            }
            match self.search_elsewhere(engine, continuation, event.as_mut()).await {
                Search::Ready(result) => return Awaited::Ready(result),
                Search::Moved(failure, moved) => return Awaited::Moved(failure, moved),
                Search::NotFound => limit = SEARCH_INTERVAL,
            }
        }
    }

    /// Queues the request for a server other than `engine` until it moves to one that has a slot, or `engine` sends
    /// something.
    async fn search_elsewhere<T, E>(
        &mut self,
        engine: &EngineId,
        continuation: &Continuation,
        mut event: Pin<&mut impl Future<Output = Result<T, E>>>,
    ) -> Search<T, E> {
        let Some(queued) = self.queue_elsewhere(engine) else {
            return Search::NotFound;
        };
        let placed = tokio::select! {
            biased;
            result = event.as_mut() => return Search::Ready(result),
            placed = self.place_elsewhere(queued, engine) => placed,
        };
        match placed {
            Some((placement, connection)) => self.move_to(placement, connection, continuation, event).await,
            None => Search::NotFound,
        }
    }

    /// Queues the request for a server other than `engine` if it could be sent there now.
    fn queue_elsewhere(&self, engine: &EngineId) -> Option<QueuedRequest> {
        if self.is_keyed() && !self.shared.may_use_keys() {
            return None;
        }
        let job = self.job_elsewhere(engine);
        let mut dispatch = lock(&self.shared.dispatch);
        if !dispatch.dispatcher.has_retry(&self.backend) {
            return None;
        }
        let (ticket, decision) = dispatch.submit_unsent(self.shared.now(), job);
        drop(dispatch);
        Some(QueuedRequest::new(&self.shared, ticket, decision))
    }

    /// Waits for a slot of a server other than `engine`, connects to it, and takes a retry from the budget.
    async fn place_elsewhere(
        &self,
        queued: QueuedRequest,
        engine: &EngineId,
    ) -> Option<(Placement, Connection)> {
        let placement = self.acquire_slot(queued, Some(engine)).await;
        let Placement { mut slot, assignment } = placement
            .inspect_err(|refusal| {
                log::debug!(request = self.head.id.as_deref(), reason:% = refusal.reason; "no other server for a silent one");
            })
            .ok()?;
        let connection = match connecting::connect(self, &assignment).await {
            Ok(connection) => connection,
            Err(failure) => {
                attempt::end_failed(self, slot, &assignment, failure);
                return None;
            }
        };
        let is_granted = lock(&self.shared.dispatch).dispatcher.take_retry(&self.backend);
        if !is_granted {
            slot.refund_permit();
            return None;
        }
        self.shared.metrics.count("repeats", "moved");
        Some((Placement { slot, assignment }, connection))
    }

    /// Returns the job of a request that `engine` still has.
    pub(super) fn job_elsewhere(&self, engine: &EngineId) -> Job {
        let mut job = self.job();
        job.tried.push(engine.clone());
        job.excluded = Some(engine.clone());
        job
    }
}
