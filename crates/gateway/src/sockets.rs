//! TCP sockets that detect an unresponsive peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use carawayseam_types::Millis;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The idle time before the first keep-alive probe, and the interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of unanswered probes after which the kernel breaks the connection.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// A connection to a backend server that acknowledges nothing for this time is closed.
pub const SERVER_SILENCE_LIMIT: Millis = Millis(1_200);

/// Connects, and lets the kernel break the connection when the peer becomes unresponsive.
///
/// # Errors
///
/// The operating system's error, or [`io::ErrorKind::TimedOut`] after `connect_timeout`.
pub async fn connect(
    address: SocketAddr,
    connect_timeout: Millis,
    unacked_timeout: Millis,
) -> io::Result<TcpStream> {
    match timeout(connect_timeout.to_duration(), TcpStream::connect(address)).await {
        Ok(stream) => {
            let stream = stream?;
            detect_dead_peer(&stream, unacked_timeout)?;
            Ok(stream)
        }
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Lets the kernel break a connection when sent bytes or keep-alive probes are not acknowledged.
///
/// # Errors
///
/// The operating system's error.
pub fn detect_dead_peer(stream: &TcpStream, unacked_timeout: Millis) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(unacked_timeout.to_duration()))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    socket.set_tcp_keepalive(&probes)
}
