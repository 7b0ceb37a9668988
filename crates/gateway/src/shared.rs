//! What the control thread and the traffic threads share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicUsize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use carawayseam_dispatch::freshness::{Freshness, Reach};
use carawayseam_dispatch::history::History;
use carawayseam_dispatch::moves::Moves;
use carawayseam_dispatch::poison::Suspects;
use carawayseam_dispatch::quota::Quotas;
use carawayseam_dispatch::{Action, AttemptEnd, Catalog, Dispatcher, Job, Ticket};
use carawayseam_types::{Clock, EngineId, Millis, VersionId};
use tokio::sync::{oneshot, watch};

use crate::metrics::Metrics;
use crate::peer_link::PeerLink;
use crate::platform::{Change, Headers};
use crate::settings::Settings;
use crate::traffic::IdleConnections;

/// The balancer sends callers elsewhere after it was told twice, a second apart.
const BALANCER_NOTICE: Millis = Millis(2_200);
/// When to come back where another host can serve the request now.
const COME_BACK_AT_ONCE: Millis = Millis(20);
/// When to come back where no host may use keys.
const COME_BACK_AFTER_OUTAGE: Millis = Millis(1_000);

/// Locks, also after a panic of another holder: the state is a plain value.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Serving.
    Serving,
    /// Not ready; still serving, and asking callers to go elsewhere.
    Draining,
    /// Streams, which may take longer than is left, are refused.
    RefusingStreams,
    /// Idle connections are closed.
    ClosingIdle,
    /// No connection is accepted any more.
    NotAccepting,
}

/// Where a request may be sent.
#[derive(Debug, Clone)]
pub(crate) struct Assignment {
    pub(crate) engine: EngineId,
    pub(crate) address: SocketAddr,
    pub(crate) version: VersionId,
    /// When the server started, if it is known.
    pub(crate) started: Option<u64>,
    pub(crate) expected: Millis,
}

/// What became of a request that waited.
#[derive(Debug)]
pub(crate) enum Decision {
    Start(Assignment),
    Refuse { retry_after: Millis },
}

/// The dispatcher with the requests that wait for its word.
#[derive(Debug)]
pub(crate) struct DispatchState {
    pub(crate) dispatcher: Dispatcher,
    pub(crate) quotas: Quotas,
    waiters: HashMap<Ticket, oneshot::Sender<Decision>>,
}

impl DispatchState {
    pub(crate) fn new(dispatcher: Dispatcher, quotas: Quotas) -> Self {
        Self {
            dispatcher,
            quotas,
            waiters: HashMap::new(),
        }
    }

    /// Queues a new request.
    pub(crate) fn submit(&mut self, now: Millis, job: Job) -> (Ticket, oneshot::Receiver<Decision>) {
        let (ticket, actions) = self.dispatcher.submit(now, job);
        (ticket, self.wait(now, ticket, actions))
    }

    /// Queues a request again, if the retry budget allows it.
    pub(crate) fn submit_retry(
        &mut self,
        now: Millis,
        job: Job,
    ) -> Option<(Ticket, oneshot::Receiver<Decision>)> {
        let (ticket, actions) = self.dispatcher.submit_again(now, job)?;
        Some((ticket, self.wait(now, ticket, actions)))
    }

    /// Queues a request again of which no byte left.
    pub(crate) fn submit_unsent(&mut self, now: Millis, job: Job) -> (Ticket, oneshot::Receiver<Decision>) {
        let (ticket, actions) = self.dispatcher.submit_unsent(now, job);
        (ticket, self.wait(now, ticket, actions))
    }

    fn wait(&mut self, now: Millis, ticket: Ticket, actions: Vec<Action>) -> oneshot::Receiver<Decision> {
        let (tx, rx) = oneshot::channel();
        self.waiters.insert(ticket, tx);
        self.apply(now, actions);
        rx
    }

    /// A request left its server.
    pub(crate) fn end_attempt(&mut self, now: Millis, ticket: Ticket, end: AttemptEnd) {
        let actions = self.dispatcher.ended(now, ticket, end);
        self.apply(now, actions);
    }

    /// A caller left, whether its request waits or has just been given a server.
    pub(crate) fn cancel(&mut self, now: Millis, ticket: Ticket) {
        self.waiters.remove(&ticket);
        self.dispatcher.withdraw(ticket);
        self.end_attempt(now, ticket, AttemptEnd::Cancelled);
    }

    /// Tells the requests concerned what was decided.
    pub(crate) fn apply(&mut self, now: Millis, actions: Vec<Action>) {
        for action in actions {
            let (ticket, decision) = match action {
                Action::Start {
                    ticket,
                    engine,
                    address,
                    version,
                    started,
                    expected,
                } => {
                    let assignment = Assignment {
                        engine,
                        address,
                        version,
                        started,
                        expected,
                    };
                    (ticket, Decision::Start(assignment))
                }
                Action::Refuse { ticket, retry_after } => (ticket, Decision::Refuse { retry_after }),
            };
            let waiter = self.waiters.remove(&ticket);
            let told = waiter.is_some_and(|tx| tx.send(decision).is_ok());
            if !told {
                self.end_attempt(now, ticket, AttemptEnd::Cancelled);
            }
        }
    }
}

/// What this host can tell its peers of the store.
#[derive(Debug)]
pub(crate) struct StoreHistory {
    pub(crate) changes: History<Change>,
    /// Until when missing entries of backend servers may come back after an outage of the store.
    pub(crate) keep_until: Option<Millis>,
}

impl Default for StoreHistory {
    fn default() -> Self {
        Self {
            changes: History::since(u64::MAX),
            keep_until: None,
        }
    }
}

/// What the control thread and the traffic threads share.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    /// Counts suspension of the host, and never jumps.
    pub(crate) clock: Clock,
    pub(crate) headers: Box<dyn Headers>,
    pub(crate) catalog: watch::Sender<Option<Arc<Catalog>>>,
    pub(crate) freshness: Mutex<Freshness>,
    pub(crate) dispatch: Mutex<DispatchState>,
    pub(crate) rollouts: Mutex<Moves>,
    pub(crate) suspects: Mutex<Suspects>,
    pub(crate) connections: IdleConnections,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) metrics: Metrics,
    /// Datagrams to other hosts.
    pub(crate) peers: PeerLink,
    /// What this host reaches.
    pub(crate) reach: Mutex<Reach>,
    /// Hosts that follow the store themselves, in all availability zones.
    pub(crate) store_followers: AtomicU32,
    /// What peers may ask of the store.
    pub(crate) store_history: Mutex<StoreHistory>,
    /// When the balancer was first told to send callers elsewhere; none while it is not.
    pub(crate) unready_since: Mutex<Option<Millis>>,
    /// Requests whose answers are not complete.
    pub(crate) open_requests: AtomicUsize,
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shared")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl Shared {
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    pub(crate) fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.borrow().clone()
    }

    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// When a caller that cannot be served here should come back: once the balancer sends it elsewhere.
    pub(crate) fn retry_delay(&self) -> Millis {
        let reach = *lock(&self.reach);
        let unready = lock(&self.unready_since).map_or(Millis::ZERO, |since| self.now().since(since));
        match reach {
            Reach {
                others_serve: true, ..
            } => COME_BACK_AT_ONCE,
            reach if reach.is_cut_off() => (BALANCER_NOTICE - unready).max(COME_BACK_AT_ONCE),
            _ => COME_BACK_AFTER_OUTAGE,
        }
    }

    /// The age of what is known of the configuration, if it is known at all.
    pub(crate) fn configuration_age(&self) -> Option<Millis> {
        lock(&self.freshness).age(self.now())
    }

    /// Whether requests with keys may be passed on now.
    pub(crate) fn may_use_keys(&self) -> bool {
        lock(&self.freshness).is_fresh(self.now())
    }

    /// Whether callers should be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving
            && self.catalog.borrow().is_some()
            && self.may_use_keys()
            && !lock(&self.reach).is_cut_off()
    }

    /// Whether callers should be sent here, noting since when they should not.
    pub(crate) fn update_readiness(&self) -> bool {
        let is_ready = self.is_ready();
        let mut since = lock(&self.unready_since);
        *since = if is_ready {
            None
        } else {
            since.or(Some(self.now()))
        };
        is_ready
    }
}
