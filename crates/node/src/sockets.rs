//! The sockets of a process for communication with its peers.

use std::net::SocketAddr;
use std::sync::Arc;

use carawayseam_wire::{Datagram, MAX_DATAGRAM_BYTES, WireError, decode_datagram, encode};
use tokio::net::{TcpListener, UdpSocket};

/// The maximum number of ports tried to find one that is free for both UDP and TCP.
const MAX_PORTS: u32 = 16;

/// A UDP socket and a TCP listener on the same port.
#[derive(Debug)]
pub struct Sockets {
    /// The socket for heartbeats and gossip updates.
    pub datagrams: Arc<UdpSocket>,
    /// The listener for records and forwarded requests.
    pub streams: TcpListener,
    /// The address to which both are bound.
    pub address: SocketAddr,
}

/// The error of binding the sockets.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("cannot listen for peers on {address}")]
pub struct BindError {
    address: SocketAddr,
    #[error(source)]
    cause: std::io::Error,
}

impl Sockets {
    /// Binds both sockets; for port 0 the kernel selects a port.
    ///
    /// # Errors
    ///
    /// Returns [`BindError`] if no port is free for both.
    pub async fn bind(address: SocketAddr) -> Result<Self, BindError> {
        let mut attempts = 0;
        loop {
            attempts += 1;
            match Self::bind_once(address).await {
                Ok(sockets) => return Ok(sockets),
                // The port selected for TCP may be in use for UDP.
                Err(_) if address.port() == 0 && attempts < MAX_PORTS => {}
                Err(cause) => return Err(BindError { address, cause }),
            }
        }
    }

    async fn bind_once(address: SocketAddr) -> std::io::Result<Self> {
        let streams = TcpListener::bind(address).await?;
        let address = streams.local_addr()?;
        let datagrams = Arc::new(UdpSocket::bind(address).await?);
        Ok(Self {
            datagrams,
            streams,
            address,
        })
    }
}

/// Sends a datagram without blocking; errors are only logged, since datagrams may be lost anyway.
pub fn send(socket: &UdpSocket, to: SocketAddr, datagram: &Datagram) {
    match encode(datagram) {
        Ok(buf) => {
            if let Err(e) = socket.try_send_to(&buf, to) {
                log::debug!("datagram to {to} was not sent: {e}");
            }
        }
        Err(e) => log::error!("datagram to {to} could not be encoded: {e}"),
    }
}

/// Receives datagrams forever and passes each to `handle`.
pub async fn receive(socket: &UdpSocket, mut handle: impl FnMut(SocketAddr, Result<Datagram, WireError>)) {
    // One byte more than the limit, so that a datagram that is too long is detected.
    let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => handle(from, decode_datagram(&buf[..len])),
            // An unreachable peer is reported as an error of the next receive.
            Err(e) => log::debug!("receiving a datagram failed: {e}"),
        }
    }
}
