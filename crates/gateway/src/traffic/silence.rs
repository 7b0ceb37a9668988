//! Looks for another server while the one that has a request is silent.
//!
//! A silent server may be sound and continue, so a request leaves it only when the retry budget allows it and
//! another server has a slot for it.

use std::pin::pin;

use carawayseam_dispatch::Job;
use carawayseam_types::{EngineId, Millis};
use tokio::time::timeout;

use super::attempt::TIMER_SLACK;
use super::exchange::{Exchange, Placement, QueuedRequest};
use crate::shared::lock;

/// The pause before another server is looked for again.
const SEARCH_INTERVAL: Millis = Millis(300);

/// The result of waiting for a server that may be silent.
pub(super) enum Awaited<T> {
    /// The server sent something.
    Ready(T),
    /// The server was silent, and another server has a slot for the request.
    Superseded(Placement),
    /// The deadline has passed.
    DeadlineExceeded,
}

/// What ended the search for another server.
enum Search<T> {
    /// The silent server sent something first.
    Ready(T),
    Found(Placement),
    /// No other server can take the request now.
    NotFound,
}

impl Exchange {
    /// Waits for `event` from the server that has the request, at most until the deadline.
    ///
    /// After `patience` without it another server is looked for, and again at intervals.
    pub(super) async fn await_server<T>(
        &self,
        engine: &EngineId,
        patience: Option<Millis>,
        event: impl Future<Output = T>,
    ) -> Awaited<T> {
        let mut event = pin!(event);
        let mut patience = patience;
        loop {
            let time_left = self.time_left();
            let wait = patience.map_or(time_left, |patience| patience.min(time_left));
            match timeout(wait.to_duration(), event.as_mut()).await {
                Ok(value) => return Awaited::Ready(value),
                Err(_) if self.time_left() <= TIMER_SLACK => return Awaited::DeadlineExceeded,
                Err(_) => {}
            }
            match self.search_elsewhere(engine, event.as_mut()).await {
                Search::Ready(value) => return Awaited::Ready(value),
                Search::Found(placement) => return Awaited::Superseded(placement),
                Search::NotFound => patience = patience.map(|_| SEARCH_INTERVAL),
            }
        }
    }

    /// Queues the request for a server other than `engine` until one has a slot or `engine` sends something.
    async fn search_elsewhere<T>(&self, engine: &EngineId, event: impl Future<Output = T>) -> Search<T> {
        let Some(queued) = self.queue_elsewhere(engine) else {
            return Search::NotFound;
        };
        let found = tokio::select! {
            biased;
            value = event => Search::Ready(value),
            placement = self.acquire_slot(queued, Some(engine)) => match placement {
                Ok(placement) => Search::Found(placement),
                Err(refusal) => {
                    log::debug!(request = self.head.id.as_deref(), reason:% = refusal.reason; "no other server for a silent one");
                    Search::NotFound
                }
            },
        };
        if !matches!(found, Search::Found(_)) {
            lock(&self.shared.dispatch).dispatcher.refund_retry(&self.backend);
        }
        found
    }

    /// Lets the silent server get no further requests, and queues the request for another server if the retry
    /// budget allows it.
    fn queue_elsewhere(&self, engine: &EngineId) -> Option<QueuedRequest> {
        let job = self.job_elsewhere(engine);
        let now = self.shared.now();
        let mut dispatch = lock(&self.shared.dispatch);
        dispatch.dispatcher.mark_silent(now, engine);
        dispatch.submit_retry(now, job)
    }

    /// Returns the job of a request that `engine` still has.
    pub(super) fn job_elsewhere(&self, engine: &EngineId) -> Job {
        let mut job = self.job(self.deadline);
        job.tried.push(engine.clone());
        job.excluded = Some(engine.clone());
        job
    }
}
