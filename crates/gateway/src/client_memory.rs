//! Bounds what the process holds for clients outside the operator's control, and closes those that stop half-way.
//!
//! Memory for connections, request heads, small bodies and unread responses is charged where the bytes are held. Large
//! bodies have a part of their own ([`BodyMemory`](crate::body_memory::BodyMemory)), so that a body that waits for room
//! delays no small request. When either part is used up, the connection that is furthest behind is closed.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use carawayseam_types::{Bytes as Size, Millis};
use rustix::process::{Resource, getrlimit};
use tokio::sync::Notify;

use crate::log_limit::LogLimit;
use crate::metrics::Metrics;
use crate::shared::lock;

/// The share of the process's memory for connections, heads, small bodies and unread responses.
const CLIENT_SHARE: f64 = 0.25;
/// The memory of a connection: its task, its sockets and one read. Measured: 8 KiB without a read.
pub const CONNECTION_BYTES: usize = 16 * 1_024;
/// A client that sends or reads at this rate does not fall behind.
const MIN_BYTES_PER_S: u64 = 16 * 1_024;
/// A client is closed only if it is behind by this time, since links may pause.
const MIN_LAG: Millis = Millis::from_secs(1);
/// At least this many and this part of the connections are closed at a time, so that a scan of all of them is rare.
const MIN_BATCH: usize = 4;
const BATCH_DIVISOR: usize = 16;
/// The part of the descriptors for connections of callers: each may need another one to a server, and the store, peers and
/// the readiness port need some.
const DESCRIPTOR_DIVISOR: usize = 3;
/// The number of descriptors if the system states no limit.
const DEFAULT_DESCRIPTORS: usize = 1_024;
/// The interval of log lines about closed clients.
const LOG_INTERVAL: Millis = Millis::from_secs(5);

/// Why a client's connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closed {
    /// It stopped half-way through a request or a response.
    HalfWay,
    /// It had no request.
    Idle,
    /// Nothing could be closed for it.
    NoRoom,
    /// Others used the admin address more recently.
    AdminLimit,
}

impl Closed {
    const fn label(self) -> &'static str {
        match self {
            Self::HalfWay => "half-way",
            Self::Idle => "idle",
            Self::NoRoom => "no-room",
            Self::AdminLimit => "admin-limit",
        }
    }
}

/// What is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scarce {
    /// Connections, or the memory that all of them take.
    Connections,
    /// The room for large bodies.
    BodyRoom,
}

/// The budget of all clients of the process.
#[derive(Debug)]
pub struct ClientMemory {
    limit: usize,
    max_connections: usize,
    descriptors: usize,
    held: AtomicUsize,
    clients: Mutex<HashMap<u64, Arc<ClientState>>>,
    next_id: AtomicU64,
    log: LogLimit,
}

impl ClientMemory {
    /// Creates the budget of a process that may use this much memory.
    pub(crate) fn new(process_memory: Size, max_connections: Option<usize>) -> Self {
        let descriptors = getrlimit(Resource::Nofile).current;
        let descriptors = descriptors.map_or(DEFAULT_DESCRIPTORS, |limit| limit as usize);
        let limit = (process_memory.0 as f64 * CLIENT_SHARE) as usize;
        Self::with_limits(
            limit,
            max_connections.unwrap_or(descriptors / DESCRIPTOR_DIVISOR),
            descriptors,
        )
    }

    /// Creates a budget without limits.
    pub(crate) fn unlimited() -> Self {
        Self::with_limits(usize::MAX, usize::MAX, usize::MAX)
    }

    /// Creates a budget of this many bytes and connections, in a process that may open this many descriptors.
    #[must_use]
    pub fn with_limits(limit: usize, max_connections: usize, descriptors: usize) -> Self {
        Self {
            limit,
            max_connections,
            descriptors,
            held: AtomicUsize::new(0),
            clients: Mutex::default(),
            next_id: AtomicU64::new(0),
            log: LogLimit::new(LOG_INTERVAL),
        }
    }

    /// Returns how many descriptors the process may have open.
    pub(crate) const fn descriptors(&self) -> usize {
        self.descriptors
    }

    /// Returns the bytes that are held for clients.
    #[must_use]
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Counts a connection; returns `None` if there are too many or no memory is left for it.
    #[must_use]
    pub fn admit(self: &Arc<Self>, now: Millis) -> Option<Client> {
        let is_full = lock(&self.clients).len() >= self.max_connections;
        let charge = if is_full {
            None
        } else {
            self.try_charge(CONNECTION_BYTES)
        };
        let Some(charge) = charge else {
            self.close_stalled(now, Scarce::Connections);
            return None;
        };
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let state = Arc::new(ClientState::new(now));
        lock(&self.clients).insert(id, Arc::clone(&state));
        Some(Client {
            id,
            state,
            memory: Arc::clone(self),
            _connection: charge,
        })
    }

    /// Counts bytes as held; returns `None` if they exceed the budget.
    #[must_use]
    pub fn try_charge(self: &Arc<Self>, bytes: usize) -> Option<Charge> {
        let mut charge = Charge::none(self);
        charge.try_resize(bytes).then_some(charge)
    }

    /// Counts bytes as held, also beyond the budget.
    pub(crate) fn charge(self: &Arc<Self>, bytes: usize) -> Charge {
        self.held.fetch_add(bytes, Ordering::Relaxed);
        Charge {
            memory: Arc::clone(self),
            bytes,
        }
    }

    /// Closes the connections that are furthest behind, unless some that were closed before are still ending.
    ///
    /// Those that stopped half-way go before those without a request. A connection is spared while the gateway or a server
    /// works on its request.
    pub fn close_stalled(&self, now: Millis, scarce: Scarce) {
        let clients = lock(&self.clients);
        if clients.values().any(|client| client.closing_reason().is_some()) {
            return;
        }
        let mut stalled: Vec<_> = clients
            .values()
            .filter(|client| scarce == Scarce::Connections || client.body_room.load(Ordering::Relaxed) > 0)
            .filter_map(|client| Some((client.closed_as()?, client.lag(now), client)))
            .filter(|(_, lag, _)| *lag >= MIN_LAG)
            .collect();
        stalled.sort_unstable_by_key(|(closed, lag, _)| (*closed == Closed::Idle, std::cmp::Reverse(lag.0)));
        for (closed, _, client) in stalled.iter().take(MIN_BATCH + clients.len() / BATCH_DIVISOR) {
            client.close(*closed);
        }
    }

    /// Counts a closed connection, and logs at most one line in [`LOG_INTERVAL`].
    pub(crate) fn record_closed(&self, metrics: &Metrics, now: Millis, closed: Closed) {
        metrics.count("closed_clients", closed.label());
        let Some(connections) = self.log.record(now) else {
            return;
        };
        log::warn!(connections = connections, last = closed.label(), held_bytes = self.held(); "clients closed for want of room");
    }
}

/// Bytes that are counted as held until this is dropped.
#[derive(Debug)]
pub struct Charge {
    memory: Arc<ClientMemory>,
    bytes: usize,
}

impl Charge {
    pub(crate) fn none(memory: &Arc<ClientMemory>) -> Self {
        Self {
            memory: Arc::clone(memory),
            bytes: 0,
        }
    }

    pub(crate) const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes the number of bytes; returns false, and changes nothing, if more would exceed the budget.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        let held = &self.memory.held;
        if let Some(more) = bytes.checked_sub(self.bytes) {
            let before = held.fetch_add(more, Ordering::Relaxed);
            if more > 0 && before.saturating_add(more) > self.memory.limit {
                held.fetch_sub(more, Ordering::Relaxed);
                return false;
            }
        } else {
            held.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.memory.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A connection of a client; it is no longer counted once this is dropped.
#[derive(Debug)]
pub struct Client {
    id: u64,
    state: Arc<ClientState>,
    memory: Arc<ClientMemory>,
    _connection: Charge,
}

impl Client {
    /// Returns what the budget knows of the connection.
    #[must_use]
    pub const fn state(&self) -> &Arc<ClientState> {
        &self.state
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        lock(&self.memory.clients).remove(&self.id);
    }
}

/// What the budget knows of a connection.
#[derive(Debug)]
pub struct ClientState {
    /// Whether a request was ever read completely.
    is_used: AtomicBool,
    /// Whether a request has begun whose response is not complete.
    has_request: AtomicBool,
    /// The reasons for which the client waits for the gateway or a server.
    waits: AtomicUsize,
    /// Whether a response waits for the client to read.
    is_write_blocked: AtomicBool,
    /// When a client of the least rate would have sent or read as much, in milliseconds.
    due: AtomicU64,
    /// The bytes of large bodies.
    body_room: AtomicUsize,
    closing: Mutex<Option<Closed>>,
    closed: Notify,
}

impl ClientState {
    fn new(now: Millis) -> Self {
        Self {
            is_used: AtomicBool::new(false),
            has_request: AtomicBool::new(false),
            waits: AtomicUsize::new(0),
            is_write_blocked: AtomicBool::new(false),
            due: AtomicU64::new(now.0),
            body_room: AtomicUsize::new(0),
            closing: Mutex::default(),
            closed: Notify::new(),
        }
    }

    /// Records that a request begins or ends.
    pub fn set_request(&self, now: Millis, has_request: bool) {
        let before = self.has_request.swap(has_request, Ordering::Relaxed);
        if before != has_request {
            self.due.store(now.0, Ordering::Relaxed);
        }
        if !has_request {
            self.is_used.store(true, Ordering::Relaxed);
        }
    }

    /// Records bytes that the client sent or read.
    pub fn record_progress(&self, now: Millis, bytes: usize) {
        self.advance(now, Millis(bytes as u64 * 1_000 / MIN_BYTES_PER_S));
    }

    /// Records whether a response waits for the client to read.
    pub(crate) fn set_write_blocked(&self, now: Millis, is_blocked: bool) {
        let was_blocked = self.is_write_blocked.swap(is_blocked, Ordering::Relaxed);
        if is_blocked && !was_blocked {
            self.due.store(now.0, Ordering::Relaxed);
        }
    }

    /// Records that the client waits for the gateway or a server.
    pub fn begin_wait(&self) {
        self.waits.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that such a wait, which began at `since`, has ended; its time does not count as the client's.
    pub fn end_wait(&self, now: Millis, since: Millis) {
        self.waits.fetch_sub(1, Ordering::Relaxed);
        self.advance(now, now.since(since));
    }

    /// Grants the client this much time.
    fn advance(&self, now: Millis, span: Millis) {
        let due = self.due.load(Ordering::Relaxed).saturating_add(span.0);
        self.due.store(due.min(now.0), Ordering::Relaxed);
    }

    pub(crate) fn add_body_room(&self, bytes: usize) {
        self.body_room.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn remove_body_room(&self, bytes: usize) {
        self.body_room.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Returns why the connection is to be closed, if it is.
    #[must_use]
    pub fn closing_reason(&self) -> Option<Closed> {
        *lock(&self.closing)
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn closing(&self) -> Closed {
        loop {
            if let Some(closed) = self.closing_reason() {
                return closed;
            }
            self.closed.notified().await;
        }
    }

    fn close(&self, closed: Closed) {
        *lock(&self.closing) = Some(closed);
        self.closed.notify_one();
    }

    fn lag(&self, now: Millis) -> Millis {
        now.since(Millis(self.due.load(Ordering::Relaxed)))
    }

    /// Returns as what the connection may be closed; `None` while the client waits for the gateway or a server.
    fn closed_as(&self) -> Option<Closed> {
        let is_write_blocked = self.is_write_blocked.load(Ordering::Relaxed);
        if self.waits.load(Ordering::Relaxed) > 0 && !is_write_blocked {
            return None;
        }
        let is_idle = self.is_used.load(Ordering::Relaxed) && !self.has_request.load(Ordering::Relaxed);
        Some(if is_idle && !is_write_blocked {
            Closed::Idle
        } else {
            Closed::HalfWay
        })
    }
}
