//! The idle time of a caller's connection.

use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};

use bytes::Bytes;
use carawayseam_types::Millis;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::sleep;

use super::response::{BodyError, ResponseBody};
use crate::client_memory::{Charge, ClientMemory, ClientState};
use crate::shared::{Shared, lock};
use crate::stopping::Phase;

/// The lower bound of the interval at which a connection's idle time is checked.
const MIN_CHECK_INTERVAL: Millis = Millis(50);
/// How long a planned shutdown waits for a request on a new connection, or after the first bytes of its head.
const EXPECTED_REQUEST_TIME: Millis = Millis(1_000);

/// The memory of a head in relation to its size: the buffer of the HTTP library grows by doubling.
const HEAD_FACTOR: usize = 2;

/// Counts a connection as used until it is dropped.
#[derive(Debug)]
struct UsedConnection(Arc<Shared>);

impl UsedConnection {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.used_connections.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(shared))
    }
}

impl Drop for UsedConnection {
    fn drop(&mut self) {
        self.0.used_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The requests of one connection.
#[derive(Debug)]
pub(super) struct Activity {
    state: Mutex<State>,
    client: Arc<ClientState>,
}

#[derive(Debug)]
struct State {
    /// The memory of heads that are not complete or whose requests are open.
    heads: Charge,
    open_requests: u32,
    /// Present once a request was read.
    used: Option<UsedConnection>,
    /// When the connection was accepted, its last response ended, or the next head began.
    idle_since: Millis,
    is_head_begun: bool,
}

impl Activity {
    pub(super) fn new(now: Millis, client: &Arc<ClientState>, memory: &Arc<ClientMemory>) -> Self {
        let state = State {
            heads: Charge::none(memory),
            open_requests: 0,
            used: None,
            idle_since: now,
            is_head_begun: false,
        };
        Self {
            state: Mutex::new(state),
            client: Arc::clone(client),
        }
    }

    pub(super) const fn client(&self) -> &Arc<ClientState> {
        &self.client
    }

    /// Returns whether a request was ever read from the connection.
    pub(super) fn has_requests(&self) -> bool {
        lock(&self.state).used.is_some()
    }

    /// Returns the time for which no request has been open, or `None` if one is.
    fn idle_time(&self, now: Millis) -> Option<Millis> {
        let state = lock(&self.state);
        (state.open_requests == 0).then(|| now.since(state.idle_since))
    }

    /// Records that bytes of the caller arrived; a head that begins has the whole idle timeout.
    ///
    /// Returns false if there is no memory for the bytes of a head.
    pub(super) fn record_bytes(&self, now: Millis, bytes: usize) -> bool {
        self.client.record_progress(now, bytes);
        let mut state = lock(&self.state);
        if state.open_requests > 0 {
            return true;
        }
        if !state.is_head_begun {
            state.is_head_begun = true;
            state.idle_since = now;
            self.client.set_request(now, true);
        }
        let heads = state.heads.bytes() + bytes * HEAD_FACTOR;
        state.heads.try_resize(heads)
    }

    /// Returns whether a request is likely to arrive: the connection is new, or the head of a request has begun.
    fn is_request_expected(&self, now: Millis) -> bool {
        let state = lock(&self.state);
        state.open_requests == 0
            && (state.used.is_none() || state.is_head_begun)
            && now.since(state.idle_since) < EXPECTED_REQUEST_TIME
    }

    /// Waits until a planned shutdown may close the connection after its open request, if there is one.
    pub(super) async fn closing(&self, shared: &Shared) {
        shared.reached(Phase::ClosingIdle).await;
        while self.is_request_expected(shared.now()) {
            sleep(MIN_CHECK_INTERVAL.to_duration()).await;
        }
    }

    /// Waits until the connection has been idle for the idle timeout of the newest configuration.
    pub(super) async fn idle_timeout(&self, shared: &Shared) {
        loop {
            let limit = shared.limits().idle_timeout;
            let left = match self.idle_time(shared.now()) {
                Some(idle) if idle >= limit => return,
                Some(idle) => limit - idle,
                None => limit,
            };
            sleep(left.max(MIN_CHECK_INTERVAL).to_duration()).await;
        }
    }
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
pub(super) struct OpenOnConnection {
    activity: Arc<Activity>,
    shared: Arc<Shared>,
}

impl OpenOnConnection {
    pub(super) fn new(activity: &Arc<Activity>, shared: &Arc<Shared>) -> Self {
        let mut state = lock(&activity.state);
        activity.client.set_request(shared.now(), true);
        state.open_requests += 1;
        state.is_head_begun = false;
        state.used.get_or_insert_with(|| UsedConnection::new(shared));
        drop(state);
        Self {
            activity: Arc::clone(activity),
            shared: Arc::clone(shared),
        }
    }

    /// Counts the request as open until the body of its response has been passed on.
    pub(super) fn until_end_of(self, response: Response<ResponseBody>) -> Response<ResponseBody> {
        response.map(|body| TrackedBody { body, _open: self }.boxed_unsync())
    }
}

impl Drop for OpenOnConnection {
    fn drop(&mut self) {
        let mut state = lock(&self.activity.state);
        state.open_requests -= 1;
        state.idle_since = self.shared.now();
        if state.open_requests == 0 {
            state.heads.try_resize(0);
            self.activity.client.set_request(state.idle_since, false);
        }
    }
}

/// A response body that keeps its request open.
struct TrackedBody {
    body: ResponseBody,
    _open: OpenOnConnection,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
