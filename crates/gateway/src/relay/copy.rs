//! Copies bytes between an origin and a backend server.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use carawayseam_types::Millis;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::sockets::{END_ONLY, set_reset_on_close};

/// The size of the buffer for each direction. Nothing else is read ahead of what the other side accepts.
const BUFFER_BYTES: usize = 8 * 1_024;
/// The interval at which the progress of a connection is checked that its origin has closed.
const CHECK_INTERVAL: Millis = Millis::from_secs(1);
/// The number of successive checks without progress after which such a connection is reset.
const MAX_CHECKS: u32 = 5;

/// Time for the server to accept the remaining bytes after the origin has closed. A request has to be withdrawn within
/// 500 ms of its caller's leaving, of which this is a relaying peer's part.
const DELIVERY_TIME: Millis = Millis(200);

/// What was copied so far.
#[derive(Debug)]
struct Progress<'a> {
    /// The bytes of all relayed connections.
    carried: &'a AtomicU64,
    /// The number of chunks copied, in both directions.
    chunks: AtomicU64,
    /// Whether the origin has sent its last byte.
    is_origin_done: AtomicBool,
}

impl Progress<'_> {
    fn record(&self, len: usize) {
        self.chunks.fetch_add(1, Ordering::Relaxed);
        self.carried.fetch_add(len as u64, Ordering::Relaxed);
    }
}

/// Copies bytes both ways until both sides have sent their last byte; resets both if one breaks off.
///
/// Both were prepared by [`set_reset_on_close`]. The origin is slow if its caller is, so its connection has
/// no limit on the time without progress before it has closed its connection.
pub(super) async fn copy(
    mut origin: TcpStream,
    mut server: TcpStream,
    carried: &AtomicU64,
) -> io::Result<()> {
    let progress = Progress {
        carried,
        chunks: AtomicU64::new(0),
        is_origin_done: AtomicBool::new(false),
    };
    let (origin_read, mut origin_write) = origin.split();
    let (mut server_read, mut server_write) = server.split();
    let requests = async {
        pass_requests(&origin_read, &mut server_write, &progress).await?;
        progress.is_origin_done.store(true, Ordering::Relaxed);
        Ok::<_, io::Error>(())
    };
    let responses = pass(&mut server_read, &mut origin_write, &progress);
    tokio::select! {
        ended = async { tokio::try_join!(requests, responses) } => ended?,
        () = wait_until_abandoned(&progress) => return Err(io::ErrorKind::TimedOut.into()),
    };
    set_reset_on_close(&origin, false)?;
    set_reset_on_close(&server, false)
}

/// Copies the origin's bytes until the end, and passes the end on.
///
/// Fails if bytes still wait for the server [`DELIVERY_TIME`] after the origin has closed: an origin sends its whole
/// request before it closes only if it gives the request up.
async fn pass_requests(
    from: &ReadHalf<'_>,
    to: &mut (impl AsyncWrite + Unpin),
    progress: &Progress<'_>,
) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    let passing = async {
        loop {
            from.readable().await?;
            match from.try_read(&mut buf) {
                Ok(0) => return to.shutdown().await,
                Ok(len) => {
                    to.write_all(&buf[..len]).await?;
                    progress.record(len);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
    };
    let closed = async {
        from.ready(END_ONLY).await?;
        sleep(DELIVERY_TIME.to_duration()).await;
        Err(io::ErrorKind::ConnectionAborted.into())
    };
    tokio::select! {
        biased;
        ended = passing => ended,
        aborted = closed => aborted,
    }
}

/// Copies bytes in one direction until the end, and passes the end on.
async fn pass(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    progress: &Progress<'_>,
) -> io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        match from.read(&mut buf).await? {
            0 => return to.shutdown().await,
            len => {
                to.write_all(&buf[..len]).await?;
                progress.record(len);
            }
        }
    }
}

/// Returns when the origin has closed its connection and no bytes were copied since for too long.
async fn wait_until_abandoned(progress: &Progress<'_>) {
    let mut checks = interval(CHECK_INTERVAL.to_duration());
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut last_chunks, mut checks_without_progress) = (0, 0);
    while checks_without_progress < MAX_CHECKS {
        checks.tick().await;
        let chunks = progress.chunks.load(Ordering::Relaxed);
        let has_progress = std::mem::replace(&mut last_chunks, chunks) != chunks;
        let is_origin_done = progress.is_origin_done.load(Ordering::Relaxed);
        checks_without_progress = if is_origin_done && !has_progress {
            checks_without_progress + 1
        } else {
            0
        };
    }
}
