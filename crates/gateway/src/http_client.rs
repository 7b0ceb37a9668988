//! An HTTP/1.1 client connection that carries one request at a time and never retries by itself.

use std::io;
use std::iter::successors;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use carawayseam_types::Millis;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::TRANSFER_ENCODING;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout};

use crate::body_memory::{BodyBuf, BodyMemory};
use crate::read_limit::{ReadBudget, ReadLimited};
use crate::resettable_stream::{ResetFlag, ResettableStream};
use crate::sockets;

/// The size limit for the head of a response; a longer head fails the request.
const MAX_HEAD_BYTES: usize = 64 * 1_024;
/// The read limit until a response's head is complete, including interim responses.
const MAX_BYTES_BEFORE_BODY: usize = 256 * 1_024;
/// The size limit for a response that is read completely by [`HttpClient::call`].
const MAX_CALL_RESPONSE_BYTES: usize = 12 * 1_024 * 1_024;

/// A connection to a server. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    control: Arc<Control>,
}

/// What is set for a connection while the HTTP library has its stream.
#[derive(Debug, Default)]
struct Control {
    read_budget: ReadBudget,
    resets: ResetFlag,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why a request received no response.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum SendError {
    /// No byte of the request was sent.
    #[display("the request was not sent: {_0}")]
    NotSent(hyper::Error),
    /// The server may have read the request.
    #[display("the connection broke: {_0}")]
    MaybeSent(hyper::Error),
}

/// How a connection ended on which a response was outstanding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display("{}", self.label())]
pub enum ConnectionEnd {
    /// The other side closed it.
    Closed,
    /// The other side reset it.
    Reset,
    /// This host's kernel broke it, because the other side acknowledged nothing.
    Unacknowledged,
    /// It carried bytes that are no response.
    Malformed,
}

impl ConnectionEnd {
    /// Returns the label in metrics.
    #[must_use]
    pub const fn label(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::Reset => "reset",
            Self::Unacknowledged => "unacknowledged",
            Self::Malformed => "malformed",
        }
    }

    /// Returns how the connection ended that failed with this error.
    #[must_use]
    pub fn from_error(e: &(dyn std::error::Error + 'static)) -> Self {
        let mut causes = successors(Some(e), |cause| cause.source());
        let io_error = causes.find_map(|cause| cause.downcast_ref::<io::Error>());
        match io_error.map(io::Error::kind) {
            Some(io::ErrorKind::TimedOut) => Self::Unacknowledged,
            Some(io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe) => Self::Reset,
            Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) => Self::Malformed,
            None if e.downcast_ref().is_some_and(hyper::Error::is_parse) => Self::Malformed,
            _ => Self::Closed,
        }
    }
}

impl Connection {
    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// The operating system's error, or [`io::ErrorKind::TimedOut`] after `connect_timeout`.
    pub async fn open(
        address: SocketAddr,
        connect_timeout: Millis,
        unacked_timeout: Millis,
    ) -> io::Result<Self> {
        Self::over(sockets::connect(address, connect_timeout, unacked_timeout).await?).await
    }

    /// Uses an established connection to a server.
    ///
    /// # Errors
    ///
    /// The operating system's error if the connection broke.
    pub async fn over(stream: TcpStream) -> io::Result<Self> {
        let address = stream.peer_addr()?;
        let control = Arc::new(Control::default());
        let stream = ResettableStream {
            stream,
            resets: control.resets.clone(),
        };
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(ReadLimited::new(
                stream,
                control.read_budget.clone(),
            )))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // An open request fails with its own error; otherwise the connection was idle.
            if let Err(e) = connection.await {
                log::trace!("connection to {address} ended: {e}");
            }
        });
        Ok(Self {
            sender,
            driver,
            control,
        })
    }

    /// Returns whether another request can be sent: the last response ended cleanly and no further
    /// bytes followed it.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sets whether the connection is reset when it is dropped, which discards bytes that were not delivered yet.
    pub(crate) fn set_reset_on_close(&self, resets: bool) {
        self.control.resets.set(resets);
    }

    /// Limits the number of bytes that are read from the connection from now on.
    pub(crate) fn set_read_limit(&self, bytes: usize) {
        self.control.read_budget.set(bytes);
    }

    /// Sends a request and waits for the response's head.
    ///
    /// Afterwards the read limit for the body is that of [`HttpClient::call`].
    ///
    /// # Errors
    ///
    /// [`SendError`] shows whether the server may have read the request.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        self.set_read_limit(MAX_BYTES_BEFORE_BODY);
        let sent = self.sender.try_send_request(req).await;
        self.set_read_limit(MAX_CALL_RESPONSE_BYTES);
        sent.map_err(|mut e| {
            let was_not_sent = e.take_message().is_some();
            let error = e.into_error();
            if was_not_sent {
                SendError::NotSent(error)
            } else {
                SendError::MaybeSent(error)
            }
        })
    }
}

/// Returns whether the body of a response ends with its connection: a part of such a body looks like the whole.
#[must_use]
pub fn ends_with_connection(response: &Response<Incoming>) -> bool {
    let encodings = response.headers().get_all(TRANSFER_ENCODING).iter().next_back();
    let is_chunked = encodings
        .and_then(|encodings| encodings.to_str().ok()?.rsplit(',').next())
        .is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"));
    let body = response.body();
    !body.is_end_stream() && body.size_hint().exact().is_none() && !is_chunked
}

/// Why a call received no complete response.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum CallError {
    /// Nothing was sent.
    #[display("not sent: {_0}")]
    NotSent(io::Error),
    /// The server may have executed the call.
    #[display("no response: {_0}")]
    NoResponse(#[error(not(source))] String),
}

/// A client of one server that reuses its connection and opens a new one when it breaks.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

/// Bounds the connection attempt of a call.
const CONNECT_TIMEOUT: Millis = Millis(700);
/// A connection breaks when sent bytes stay unacknowledged for this time.
const UNACKED_TIMEOUT: Millis = Millis(2_000);

impl HttpClient {
    /// Creates a client; the first call opens the connection.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// Returns the server's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends one request and reads the complete response.
    ///
    /// # Errors
    ///
    /// [`CallError`] shows whether the server may have executed the call.
    pub async fn call(
        &mut self,
        req: Request<Full<Bytes>>,
        time_limit: Millis,
    ) -> Result<Response<Bytes>, CallError> {
        let mut connection = match self.connection.take() {
            Some(connection) if connection.is_ready() => connection,
            _ => Connection::open(self.address, CONNECT_TIMEOUT, UNACKED_TIMEOUT)
                .await
                .map_err(CallError::NotSent)?,
        };
        let result = timeout(time_limit.to_duration(), send_and_collect(&mut connection, req)).await;
        match result {
            Ok(Ok(reply)) => {
                self.connection = Some(connection);
                Ok(reply)
            }
            Ok(Err(e)) => Err(e),
            Err(_) => Err(CallError::NoResponse(format!("no response within {time_limit}"))),
        }
    }
}

async fn send_and_collect(
    connection: &mut Connection,
    req: Request<Full<Bytes>>,
) -> Result<Response<Bytes>, CallError> {
    let response = connection.send(req).await.map_err(|e| match e {
        SendError::NotSent(e) => CallError::NotSent(io::Error::other(e)),
        SendError::MaybeSent(e) => CallError::NoResponse(e.to_string()),
    })?;
    let (parts, mut body) = response.into_parts();
    let memory = BodyMemory::with_room(MAX_CALL_RESPONSE_BYTES);
    let mut buf = BodyBuf::default();
    // The supply is this response's own.
    let room_by = Instant::now();
    match buf
        .read_to_end(&memory, &mut body, MAX_CALL_RESPONSE_BYTES, room_by)
        .await
    {
        Ok(()) => Ok(Response::from_parts(parts, buf.freeze())),
        Err(e) => Err(CallError::NoResponse(e.to_string())),
    }
}
