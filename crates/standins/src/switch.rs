//! The fault switches of one stand-in, and the layer that applies them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use axum::Json;
use axum::body::Body;
use axum::extract::{ConnectInfo, Request, State};
use axum::http::{StatusCode, header};
use axum::middleware::Next;
use axum::response::{IntoResponse, Response};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::Notify;

use crate::connection::{Connection, ConnectionHandle};
use crate::faults::{FAULTS_PATH, Faults, STATS_PATH};

/// The largest request that a stand-in reads, in bytes.
pub(crate) const MAX_REQUEST_BYTES: usize = 16 * 1_024 * 1_024;
/// Connections that closed are forgotten when the list has grown by this many.
const SWEEP_EVERY: usize = 256;

/// Locks a mutex whose data stays sound when a holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The faults in force, and the connections that they act on.
#[derive(Debug)]
pub struct FaultSwitch {
    faults: Mutex<Faults>,
    connections: Mutex<Vec<Weak<Connection>>>,
    refuse: Notify,
    rng: Mutex<SmallRng>,
}

impl FaultSwitch {
    /// Switches with no fault on; `seed` draws which requests fail.
    #[must_use]
    pub fn new(seed: u64) -> Arc<Self> {
        Arc::new(Self {
            faults: Mutex::default(),
            connections: Mutex::default(),
            refuse: Notify::new(),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
        })
    }

    /// The faults in force.
    #[must_use]
    pub fn faults(&self) -> Faults {
        lock(&self.faults).clone()
    }

    /// Replaces the faults, and applies those that act once.
    pub fn set(&self, faults: Faults) {
        let (silence, refuse) = (faults.silence_open, faults.refuse_ms > 0);
        *lock(&self.faults) = faults;
        if silence {
            self.each_connection(Connection::silence);
        }
        if refuse {
            self.each_connection(Connection::cut);
            self.refuse.notify_one();
        }
    }

    /// Whether connections are closed before anything is read from them.
    pub(crate) fn closes_unread(&self) -> bool {
        lock(&self.faults).close_before_reading
    }

    /// Changes the faults in place.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut Faults) -> T) -> T {
        change(&mut lock(&self.faults))
    }

    /// Draws whether something of this probability happens.
    pub(crate) fn happens(&self, probability: f64) -> bool {
        probability > 0.0 && lock(&self.rng).random_bool(probability.min(1.0))
    }

    /// Registers a new connection.
    pub(crate) fn connect(&self) -> Arc<Connection> {
        let connection = Arc::new(Connection::default());
        let mut connections = lock(&self.connections);
        if connections.len().is_multiple_of(SWEEP_EVERY) {
            connections.retain(|known| known.strong_count() > 0);
        }
        connections.push(Arc::downgrade(&connection));
        connection
    }

    /// Waits until connections are to be refused, and tells for how long.
    pub(crate) async fn refused(&self) -> Duration {
        self.refuse.notified().await;
        Duration::from_millis(self.faults().refuse_ms)
    }

    fn each_connection(&self, act: impl Fn(&Connection)) {
        let connections = lock(&self.connections);
        let open = connections.iter().filter_map(Weak::upgrade);
        open.filter(|connection| !connection.is_exempt())
            .for_each(|connection| act(&connection));
    }
}

/// `GET /faults`.
pub(crate) async fn show(State(switch): State<Arc<FaultSwitch>>) -> Json<Faults> {
    Json(switch.faults())
}

/// `POST /faults`.
pub(crate) async fn replace(
    State(switch): State<Arc<FaultSwitch>>,
    Json(faults): Json<Faults>,
) -> Json<Faults> {
    log::info!(faults:serde = faults; "faults set");
    switch.set(faults);
    Json(switch.faults())
}

/// Applies the faults that every stand-in has.
pub(crate) async fn inject(
    State(switch): State<Arc<FaultSwitch>>,
    ConnectInfo(ConnectionHandle(connection)): ConnectInfo<ConnectionHandle>,
    req: Request,
    next: Next,
) -> Response {
    if [FAULTS_PATH, STATS_PATH].contains(&req.uri().path()) {
        return next.run(req).await;
    }
    let faults = switch.faults();
    if faults
        .only_path
        .as_ref()
        .is_some_and(|path| !req.uri().path().starts_with(path.as_str()))
    {
        return next.run(req).await;
    }
    if faults.slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    match faults {
        faults if faults.silent => std::future::pending().await,
        faults if faults.close_after_reading => {
            drain(req.into_body()).await;
            connection.cut();
            StatusCode::BAD_GATEWAY.into_response()
        }
        faults if faults.down => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Faults {
            redirect_to: Some(location),
            ..
        } => (StatusCode::TEMPORARY_REDIRECT, [(header::LOCATION, location)]).into_response(),
        faults if switch.happens(faults.error_rate) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        faults => {
            let answer = next.run(req).await;
            if faults.close_after_running {
                connection.cut();
            }
            answer
        }
    }
}

async fn drain(body: Body) {
    if let Err(e) = axum::body::to_bytes(body, MAX_REQUEST_BYTES).await {
        log::debug!("a request was not read whole: {e}");
    }
}
