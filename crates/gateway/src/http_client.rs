//! One HTTP/1.1 connection that carries one request at a time and repeats nothing by itself.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use carawayseam_types::Millis;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::metered::{Allowance, Metered};
use crate::sockets;

/// The largest head of an answer; what is longer is no answer.
const MOST_HEAD_BYTES: usize = 64 * 1_024;
/// What may be read until an answer's head is whole, interim answers among it.
const MOST_BYTES_BEFORE_BODY: usize = 256 * 1_024;
/// The largest answer to a call that is read whole.
const MOST_CALL_BYTES: usize = 32 * 1_024 * 1_024;

/// A connection to a server. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    allowance: Allowance,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why a request got no answer.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum SendError {
    /// No byte of the request left.
    #[display("the request was not sent: {_0}")]
    NotSent(hyper::Error),
    /// The request may have been read.
    #[display("the connection broke: {_0}")]
    MaybeSent(hyper::Error),
}

impl Connection {
    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// The operating system's, or [`io::ErrorKind::TimedOut`].
    pub async fn open(address: SocketAddr, within: Millis, silence: Millis) -> io::Result<Self> {
        let stream = sockets::connect(address, within, silence).await?;
        let allowance = Allowance::default();
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MOST_HEAD_BYTES)
            .handshake(TokioIo::new(Metered::new(stream, allowance.clone())))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // What went wrong shows at the request, or the connection was idle.
            if let Err(e) = connection.await {
                log::trace!("connection to {address} ended: {e}");
            }
        });
        Ok(Self {
            sender,
            driver,
            allowance,
        })
    }

    /// Whether another request can be sent: the last answer ended cleanly and nothing came after it.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Bounds what is read of an answer from now on, in bytes.
    pub(crate) fn set_read_limit(&self, bytes: usize) {
        self.allowance.set(bytes);
    }

    /// Sends a request and waits for the answer's head; the answer's body may be as large as an answer to a call.
    ///
    /// # Errors
    ///
    /// [`SendError`] tells whether the request may have been read.
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, SendError> {
        self.set_read_limit(MOST_BYTES_BEFORE_BODY);
        let sent = self.sender.try_send_request(req).await;
        self.set_read_limit(MOST_CALL_BYTES);
        sent.map_err(|mut e| {
            let unsent = e.take_message().is_some();
            let error = e.into_error();
            if unsent {
                SendError::NotSent(error)
            } else {
                SendError::MaybeSent(error)
            }
        })
    }
}

/// Why a call got no whole answer.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum CallError {
    /// Nothing was sent.
    #[display("not sent: {_0}")]
    NotSent(io::Error),
    /// The call may have been carried out.
    #[display("no answer: {_0}")]
    NoResponse(#[error(not(source))] String),
}

/// A server that is called again and again, over one connection that is renewed when it breaks.
#[derive(Debug)]
pub struct HttpClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

const CONNECT_LIMIT: Millis = Millis(700);
const SILENCE: Millis = Millis(2_000);

impl HttpClient {
    /// Names the server; the first call connects.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connection: None,
        }
    }

    /// The server's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes one call and reads its whole answer.
    ///
    /// # Errors
    ///
    /// [`CallError`] tells whether the call may have been carried out.
    pub async fn call(
        &mut self,
        req: Request<Full<Bytes>>,
        within: Millis,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let mut connection = match self.connection.take() {
            Some(connection) if connection.is_ready() => connection,
            _ => Connection::open(self.address, CONNECT_LIMIT, SILENCE)
                .await
                .map_err(CallError::NotSent)?,
        };
        let answered = timeout(within.to_duration(), exchange(&mut connection, req)).await;
        match answered {
            Ok(Ok(answer)) => {
                self.connection = Some(connection);
                Ok(answer)
            }
            Ok(Err(e)) => Err(e),
            Err(_) => Err(CallError::NoResponse(format!("nothing within {within}"))),
        }
    }
}

async fn exchange(
    connection: &mut Connection,
    req: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), CallError> {
    let response = connection.send(req).await.map_err(|e| match e {
        SendError::NotSent(e) => CallError::NotSent(io::Error::other(e)),
        SendError::MaybeSent(e) => CallError::NoResponse(e.to_string()),
    })?;
    let status = response.status();
    match Limited::new(response.into_body(), MOST_CALL_BYTES)
        .collect()
        .await
    {
        Ok(body) => Ok((status, body.to_bytes())),
        Err(e) => Err(CallError::NoResponse(e.to_string())),
    }
}
