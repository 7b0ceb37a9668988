//! TCP sockets that detect an unresponsive peer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use carawayseam_types::Millis;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The idle time before the first keep-alive probe, and the interval between probes.
const PROBE_INTERVAL: Millis = Millis(1_000);
/// A connection to a backend server that acknowledges nothing for this time is closed.
///
/// A server may pause for a second or two and continue, also after its connection was idle.
pub const SERVER_SILENCE_LIMIT: Millis = Millis(6_000);

/// Makes a socket ready when the other side has closed the connection, or it is broken, also while bytes are unread.
/// Urgent data makes it ready as well; a caller that sends some counts as gone.
pub(crate) const END_ONLY: Interest = Interest::PRIORITY;

/// Connects, and lets the kernel break the connection after `silence_limit` without an acknowledgement.
///
/// # Errors
///
/// The operating system's error, or [`io::ErrorKind::TimedOut`] after `connect_timeout`.
pub async fn connect(
    address: SocketAddr,
    connect_timeout: Millis,
    silence_limit: Millis,
) -> io::Result<TcpStream> {
    match timeout(connect_timeout.to_duration(), TcpStream::connect(address)).await {
        Ok(stream) => {
            let stream = stream?;
            detect_dead_peer(&stream, silence_limit)?;
            Ok(stream)
        }
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Lets the kernel break a connection whose peer acknowledges neither bytes nor keep-alive probes for
/// `silence_limit`.
///
/// A user timeout also replaces the number of unanswered probes, so both are derived from the same limit.
///
/// # Errors
///
/// The operating system's error.
pub fn detect_dead_peer(stream: &TcpStream, silence_limit: Millis) -> io::Result<()> {
    let socket = SockRef::from(stream);
    socket.set_tcp_nodelay(true)?;
    socket.set_tcp_user_timeout(Some(silence_limit.to_duration()))?;
    let unanswered = silence_limit.0.div_ceil(PROBE_INTERVAL.0).max(1);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL.to_duration())
        .with_interval(PROBE_INTERVAL.to_duration())
        .with_retries(u32::try_from(unanswered).unwrap_or(u32::MAX));
    socket.set_tcp_keepalive(&probes)
}

/// Sets whether a connection is reset, and not closed, when it is dropped or its process ends.
pub(crate) fn set_reset_on_close(stream: &TcpStream, resets: bool) -> io::Result<()> {
    SockRef::from(stream).set_linger(resets.then_some(Duration::ZERO))
}
