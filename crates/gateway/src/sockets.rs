//! Sockets that notice a silent peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use carawayseam_types::Millis;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Keep-alive probes begin after this time, and follow each other as fast.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection counts as broken.
const PROBES: u32 = 2;

/// Connects, and has the kernel break the connection when the peer falls silent.
///
/// # Errors
///
/// The operating system's, or [`io::ErrorKind::TimedOut`] after `within`.
pub async fn connect(address: SocketAddr, within: Millis, silence: Millis) -> io::Result<TcpStream> {
    match timeout(within.to_duration(), TcpStream::connect(address)).await {
        Ok(stream) => {
            let stream = stream?;
            detect_dead_peer(&stream, silence)?;
            Ok(stream)
        }
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Has the kernel break a connection when sent bytes or probes stay without an answer.
///
/// # Errors
///
/// The operating system's.
pub fn detect_dead_peer(stream: &TcpStream, silence: Millis) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(silence.to_duration()))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}
