//! Accepts callers' connections and serves their requests.

use std::any::Any;
use std::convert::Infallible;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use carawayseam_types::Millis;
use futures_util::FutureExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::caller_socket::{CallerSocket, ResetOnClose};
use super::caller_watch::CallerWatch;
use super::exchange;
use super::idle::{Activity, OpenOnConnection};
use super::response::{Reason, Refusal, ResponseBody};
use crate::client_memory::{Client, Closed};
use crate::request_log;
use crate::shared::Shared;
use crate::sockets;
use crate::stopping::Phase;

/// The pause after a failed accept, such as with too many open files.
pub(crate) const ACCEPT_PAUSE: Millis = Millis(20);
/// The number of times that a new connection looks for room, [`ACCEPT_PAUSE`] after each other.
const ADMISSION_TRIES: u32 = 5;
/// A connection on which the caller acknowledges no data for this time is closed. A caller that does not read also
/// acknowledges none.
const CALLER_ACK_TIMEOUT: Millis = Millis::from_secs(30);
/// The maximum number of header fields in a request.
const MAX_HEADER_FIELDS: usize = 128;
/// The minimum size of the buffer for a request head, which cannot grow with the limit of a later configuration.
const MIN_BUFFER_BYTES: usize = 64 * 1_024;

/// Serves callers until the process stops accepting connections.
pub(crate) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.reached(Phase::NotAccepting) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                if let Some(client) = admit(&shared).await {
                    tokio::spawn(serve_connection(Arc::clone(&shared), stream, client));
                }
            }
            Err(e) => {
                log::error!(error:% = e; "accepting a caller's connection failed");
                tokio::time::sleep(ACCEPT_PAUSE.to_duration()).await;
            }
        }
    }
}

/// Counts a new connection, and waits a short time for room while connections that stopped half-way are closed.
async fn admit(shared: &Shared) -> Option<Client> {
    let memory = &shared.client_memory;
    for _ in 0..ADMISSION_TRIES {
        if let Some(client) = memory.admit(shared.now()) {
            return Some(client);
        }
        tokio::time::sleep(ACCEPT_PAUSE.to_duration()).await;
    }
    memory.record_closed(&shared.metrics, shared.now(), Closed::NoRoom);
    None
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream, client: Client) {
    if let Err(e) = sockets::detect_dead_peer(&stream, CALLER_ACK_TIMEOUT) {
        log::debug!("a caller's connection cannot be set up: {e}");
        return;
    }
    let memory = &shared.client_memory;
    let state = client.state();
    let activity = Arc::new(Activity::new(shared.now(), state, memory));
    let resets = ResetOnClose::default();
    let stream = Arc::new(stream);
    let caller = Arc::new(CallerWatch::new(
        Arc::clone(&stream),
        Arc::clone(state),
        shared.clock.clone(),
    ));
    let socket = CallerSocket::new(stream, resets.clone(), Arc::clone(&activity), Arc::clone(&shared));
    let handler = Handler {
        shared: Arc::clone(&shared),
        activity: Arc::clone(&activity),
        caller: Arc::clone(&caller),
        resets,
    };
    let service = service_fn(move |req| handler.clone().handle(req));
    let max_head = shared.limits().max_head.0 as usize;
    let mut builder = http1::Builder::new();
    builder
        .max_headers(MAX_HEADER_FIELDS)
        .max_buf_size(max_head.max(MIN_BUFFER_BYTES));
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(socket), service));
    let serving = async {
        tokio::select! {
            // A request that has arrived is read before its connection counts as idle.
            biased;
            ended = connection.as_mut() => ended,
            () = activity.closing(&shared) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
            () = activity.idle_timeout(&shared) => {
                // The library would go on waiting for the rest of the first request.
                if !activity.has_requests() {
                    return Ok(());
                }
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    tokio::select! {
        biased;
        ended = serving => if let Err(e) = ended {
            log::debug!("a caller's connection failed: {e}");
        },
        closed = state.closing() => {
            memory.record_closed(&shared.metrics, shared.now(), closed);
        }
        // The open request is withdrawn with its connection.
        () = caller.closed_with_request() => {
            shared.metrics.count("closed_callers", "request-open");
            log::debug!("a caller closed its connection with an open request");
        }
    }
}

/// Handles the requests of one connection.
#[derive(Clone)]
struct Handler {
    shared: Arc<Shared>,
    activity: Arc<Activity>,
    caller: Arc<CallerWatch>,
    resets: ResetOnClose,
}

impl Handler {
    async fn handle(self, req: Request<Incoming>) -> Result<Response<ResponseBody>, Infallible> {
        let Self {
            shared,
            activity,
            caller,
            resets,
        } = self;
        let open = OpenOnConnection::new(&activity, &shared);
        let version = req.version();
        // After a panic the connection would close without a response.
        let serving = AssertUnwindSafe(exchange::run(&shared, &activity, &caller, req)).catch_unwind();
        // The state of a request is too large for the connection's task.
        let answered = Box::pin(serving).await;
        let mut response = answered.unwrap_or_else(|panic| {
            log::error!(error = panic_message(&*panic); "handling a request panicked");
            let refusal = Refusal::new(Reason::Internal);
            request_log::record_early_refusal(&shared, None, refusal);
            refusal.response()
        });
        if shared.phase() != Phase::Serving {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        Ok(resets.until_end_of(version, open.until_end_of(response)))
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("unknown")
}
