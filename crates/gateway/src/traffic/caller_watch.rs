//! Notices that a caller has closed its connection.
//!
//! The HTTP library learns of it only when it reads the end of the caller's bytes. It stops reading while it holds bytes
//! that follow the open request, such as those of a pipelined one, so it would work on for a caller that is gone. The
//! operating system reports the end of a connection also while bytes before it are unread.

use std::sync::Arc;

use carawayseam_types::{Clock, Millis};
use futures_util::FutureExt;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::client_memory::ClientState;
use crate::sockets::END_ONLY;

/// The connection of a caller, and the number of its requests that may be sent to servers.
#[derive(Debug)]
pub(super) struct CallerWatch {
    stream: Arc<TcpStream>,
    requests: watch::Sender<usize>,
    client: Arc<ClientState>,
    clock: Clock,
}

impl CallerWatch {
    pub(super) fn new(stream: Arc<TcpStream>, client: Arc<ClientState>, clock: Clock) -> Self {
        Self {
            client,
            clock,
            stream,
            requests: watch::Sender::new(0),
        }
    }

    /// Returns the connection's part in the budget of all clients.
    pub(super) fn client(&self) -> Arc<ClientState> {
        Arc::clone(&self.client)
    }

    /// Returns when the caller has closed the connection, or it is broken.
    pub(super) async fn closed(&self) {
        if let Err(e) = self.stream.ready(END_ONLY).await {
            log::debug!("a caller's connection cannot be watched: {e}");
            std::future::pending::<()>().await;
        }
    }

    /// Returns when the caller has closed the connection, or it is broken, and a request of it is open.
    ///
    /// Without an open request the HTTP library ends the connection, after a refusal that it still sends.
    pub(super) async fn closed_with_request(&self) {
        self.closed().await;
        let mut requests = self.requests.subscribe();
        // It fails only without a sender, which `self` holds.
        let _has_request = requests.wait_for(|requests| *requests > 0).await;
    }
}

/// Counts a request of a caller as open until it is dropped.
#[derive(Debug)]
pub(crate) struct WatchedRequest {
    watch: Arc<CallerWatch>,
    since: Millis,
}

impl WatchedRequest {
    pub(super) fn new(watch: &Arc<CallerWatch>) -> Self {
        watch.client.begin_wait();
        watch.requests.send_modify(|requests| *requests += 1);
        Self {
            watch: Arc::clone(watch),
            since: watch.clock.now(),
        }
    }

    /// Returns the connection's part in the budget of all clients.
    pub(super) fn client(&self) -> Arc<ClientState> {
        self.watch.client()
    }

    /// Returns whether the caller has closed the connection, or it is broken.
    pub(super) fn is_caller_gone(&self) -> bool {
        let ready = self.watch.stream.ready(END_ONLY).now_or_never();
        // An error says that the connection cannot be watched.
        matches!(ready, Some(Ok(_)))
    }
}

impl Drop for WatchedRequest {
    fn drop(&mut self) {
        self.watch.requests.send_modify(|requests| *requests -= 1);
        self.watch.client.end_wait(self.watch.clock.now(), self.since);
    }
}
