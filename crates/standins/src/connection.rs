//! Connections that can be cut or go silent, and the listener that makes them.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use axum::extract::connect_info::Connected;
use axum::serve::{IncomingStream, Listener};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};

use crate::faults::{FAULTS_PATH, STATS_PATH};
use crate::switch::FaultSwitch;

const OPEN: u8 = 0;
const CUT: u8 = 1;
const SILENT: u8 = 2;
/// Enough of a request to tell its path.
const PEEK_BYTES: usize = 16;
const ACCEPT_RETRY: Duration = Duration::from_millis(20);

/// The state of one connection, shared with the handlers of its requests.
#[derive(Debug, Default)]
pub(crate) struct Connection {
    state: AtomicU8,
    exempt: AtomicBool,
}

impl Connection {
    /// Closes the connection at its next write.
    pub(crate) fn cut(&self) {
        self.state.store(CUT, Ordering::SeqCst);
    }

    /// Stops all traffic on the connection for good, without closing it.
    pub(crate) fn silence(&self) {
        self.state.store(SILENT, Ordering::SeqCst);
    }

    /// Whether it carried a request to the switches, which no fault touches.
    pub(crate) fn is_exempt(&self) -> bool {
        self.exempt.load(Ordering::SeqCst)
    }

    fn state(&self) -> u8 {
        self.state.load(Ordering::SeqCst)
    }
}

/// A connection's state as handlers receive it.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionHandle(pub(crate) Arc<Connection>);

impl Connected<IncomingStream<'_, FaultyListener>> for ConnectionHandle {
    fn connect_info(stream: IncomingStream<'_, FaultyListener>) -> Self {
        Self(Arc::clone(&stream.io().connection))
    }
}

/// A TCP stream that obeys its [`Connection`].
#[derive(Debug)]
pub(crate) struct FaultyStream {
    stream: TcpStream,
    connection: Arc<Connection>,
    switch: Arc<FaultSwitch>,
}

impl FaultyStream {
    /// Fails when requests are to be closed unread; requests to the switches pass.
    fn poll_unread(&self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.connection.is_exempt() || !self.switch.closes_unread() {
            return Poll::Ready(Ok(()));
        }
        let mut buf = [0; PEEK_BYTES];
        let mut buf = ReadBuf::new(&mut buf);
        ready!(self.stream.poll_peek(cx, &mut buf))?;
        if is_exempt(buf.filled()) {
            self.connection.exempt.store(true, Ordering::SeqCst);
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
    }
}

fn is_exempt(head: &[u8]) -> bool {
    let path = head.split(|b| *b == b' ').nth(1).unwrap_or_default();
    [FAULTS_PATH, STATS_PATH]
        .iter()
        .any(|exempt| path.starts_with(exempt.as_bytes()))
}

impl AsyncRead for FaultyStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        match this.connection.state() {
            OPEN => {
                ready!(this.poll_unread(cx))?;
                let before = buf.filled().len();
                ready!(Pin::new(&mut this.stream).poll_read(cx, buf))?;
                if is_exempt(&buf.filled()[before..]) {
                    this.connection.exempt.store(true, Ordering::SeqCst);
                }
                Poll::Ready(Ok(()))
            }
            SILENT => Poll::Pending,
            _ => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
        }
    }
}

impl AsyncWrite for FaultyStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        match this.connection.state() {
            OPEN => Pin::new(&mut this.stream).poll_write(cx, buf),
            SILENT => Poll::Pending,
            _ => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        match this.connection.state() {
            SILENT => Poll::Pending,
            _ => Pin::new(&mut this.stream).poll_shutdown(cx),
        }
    }
}

/// Listens, and closes its socket for a while when told to refuse connections.
#[derive(Debug)]
pub(crate) struct FaultyListener {
    listener: Option<TcpListener>,
    address: SocketAddr,
    switch: Arc<FaultSwitch>,
}

impl FaultyListener {
    pub(crate) fn new(listener: TcpListener, address: SocketAddr, switch: Arc<FaultSwitch>) -> Self {
        Self {
            listener: Some(listener),
            address,
            switch,
        }
    }

    fn wrap(&self, stream: TcpStream) -> FaultyStream {
        // Without it, small frames wait for the peer's acknowledgement.
        if let Err(e) = stream.set_nodelay(true) {
            log::warn!("cannot switch off Nagle's algorithm: {e}");
        }
        let connection = self.switch.connect();
        FaultyStream {
            stream,
            connection,
            switch: Arc::clone(&self.switch),
        }
    }

    async fn refuse(&mut self, span: Duration) {
        self.listener = None;
        tokio::time::sleep(span).await;
    }

    /// Accepts one connection; none when the socket is closed or refused meanwhile.
    async fn try_accept(&mut self) -> Option<(TcpStream, SocketAddr)> {
        let Some(listener) = &self.listener else {
            self.listener = TcpListener::bind(self.address).await.ok();
            return None;
        };
        tokio::select! {
            accepted = listener.accept() => accepted.ok(),
            span = self.switch.refused() => {
                self.refuse(span).await;
                None
            }
        }
    }
}

impl Listener for FaultyListener {
    type Io = FaultyStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (FaultyStream, SocketAddr) {
        loop {
            if let Some((stream, peer)) = self.try_accept().await {
                return (self.wrap(stream), peer);
            }
            if self.listener.is_none() {
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.address)
    }
}
