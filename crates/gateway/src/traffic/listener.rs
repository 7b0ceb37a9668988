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
use super::exchange;
use super::idle::{Activity, OpenOnConnection};
use super::response::{Reason, Refusal, ResponseBody};
use crate::request_log;
use crate::shared::Shared;
use crate::sockets;
use crate::stopping::Phase;

/// The pause after a failed accept, such as with too many open files.
pub(crate) const ACCEPT_PAUSE: Millis = Millis(20);
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
                tokio::spawn(serve_connection(Arc::clone(&shared), stream));
            }
            Err(e) => {
                log::error!(error:% = e; "accepting a caller's connection failed");
                tokio::time::sleep(ACCEPT_PAUSE.to_duration()).await;
            }
        }
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream) {
    if let Err(e) = sockets::detect_dead_peer(&stream, CALLER_ACK_TIMEOUT) {
        log::debug!("a caller's connection cannot be set up: {e}");
        return;
    }
    let activity = Arc::new(Activity::new(shared.now()));
    let resets = ResetOnClose::default();
    let socket = CallerSocket::new(stream, resets.clone(), Arc::clone(&activity), Arc::clone(&shared));
    let (handling, handled) = (Arc::clone(&shared), Arc::clone(&activity));
    let service =
        service_fn(move |req| handle(Arc::clone(&handling), Arc::clone(&handled), resets.clone(), req));
    let max_head = shared.limits().max_head.0 as usize;
    let mut builder = http1::Builder::new();
    builder
        .max_headers(MAX_HEADER_FIELDS)
        .max_buf_size(max_head.max(MIN_BUFFER_BYTES));
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(socket), service));
    let ended = tokio::select! {
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
                return;
            }
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        log::debug!("a caller's connection failed: {e}");
    }
}

async fn handle(
    shared: Arc<Shared>,
    activity: Arc<Activity>,
    resets: ResetOnClose,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let open = OpenOnConnection::new(&activity, &shared);
    let version = req.version();
    // After a panic the connection would close without a response.
    let serving = AssertUnwindSafe(exchange::run(&shared, &activity, req)).catch_unwind();
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

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str))
        .unwrap_or("unknown")
}
