//! The socket of a caller's connection.
//!
//! A response with neither a length nor chunks, as callers of HTTP/1.0 get streams, ends with its connection.
//! Until such a response is whole its connection is reset and not closed when it ends, for whatever reason.
//!
//! The HTTP library does not tell when the head of a request begins, so the socket records when bytes arrive.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use hyper::{Response, Version};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::idle::Activity;
use super::response::{BodyError, ResponseBody};
use crate::body_memory::SMALL_BODY_BYTES;
use crate::client_memory::{Charge, Closed, Scarce};
use crate::shared::Shared;
use crate::sockets::set_reset_on_close;

/// The maximum number of bytes in one read. The HTTP library doubles its buffer of 8 KiB after a read that fills it, so
/// that each connection would come to hold up to the size limit of a head while a body arrives.
const MAX_READ_BYTES: usize = 8 * 1_024 - 1;
/// The number of reads after which other connections take their turn. Thousands of chunks of one byte fit into one read,
/// and a connection that is read without a pause delays the others. With 400 such connections, ordinary
/// requests to a debug build took 1 to 2 s.
const READS_IN_A_ROW: u32 = 2;
/// The largest counted size of a response that is not read; more of it is counted as a large body.
const MAX_UNREAD_BYTES: usize = SMALL_BODY_BYTES;

/// Whether a connection is reset when it is dropped.
#[derive(Debug, Clone, Default)]
pub(super) struct ResetOnClose(Arc<AtomicBool>);

impl ResetOnClose {
    /// Sets it while the body of a response is sent, if the body ends with the connection.
    pub(super) fn until_end_of(
        &self,
        version: Version,
        response: Response<ResponseBody>,
    ) -> Response<ResponseBody> {
        if version > Version::HTTP_10 || response.body().size_hint().exact().is_some() {
            return response;
        }
        let resets = self.clone();
        response.map(|body| UnframedBody { body, resets }.boxed_unsync())
    }
}

/// A response body that ends with its connection.
struct UnframedBody {
    body: ResponseBody,
    resets: ResetOnClose,
}

impl Body for UnframedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        let is_whole = matches!(polled, Poll::Ready(None));
        self.resets.0.store(!is_whole, Ordering::Relaxed);
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A caller's socket, shared with the watch for its end. It applies a [`ResetOnClose`], counts bytes, and records when
/// they arrive.
#[derive(Debug)]
pub(super) struct CallerSocket {
    stream: Arc<TcpStream>,
    wanted: ResetOnClose,
    /// What the socket's option is.
    resets: bool,
    activity: Arc<Activity>,
    shared: Arc<Shared>,
    /// The reads before other connections take their turn.
    reads_left: u32,
    /// The responses that wait for the caller to read.
    unread: Charge,
}

impl CallerSocket {
    pub(super) fn new(
        stream: Arc<TcpStream>,
        wanted: ResetOnClose,
        activity: Arc<Activity>,
        shared: Arc<Shared>,
    ) -> Self {
        let unread = Charge::none(&shared.client_memory);
        Self {
            unread,
            stream,
            wanted,
            resets: false,
            activity,
            shared,
            reads_left: READS_IN_A_ROW,
        }
    }

    fn stream(&mut self) -> io::Result<&TcpStream> {
        let wanted = self.wanted.0.load(Ordering::Relaxed);
        if wanted != self.resets {
            set_reset_on_close(&self.stream, wanted)?;
            self.resets = wanted;
        }
        Ok(&self.stream)
    }

    /// Counts what was written, and what waits for the caller to read.
    fn count_written(&mut self, polled: Poll<io::Result<usize>>, offered: usize) -> Poll<io::Result<usize>> {
        let now = self.shared.now();
        let client = self.activity.client();
        client.set_write_blocked(now, polled.is_pending());
        let unread = if polled.is_pending() {
            offered.min(MAX_UNREAD_BYTES)
        } else {
            0
        };
        if !self.unread.try_resize(unread) {
            self.shared.client_memory.close_stalled(now, Scarce::Connections);
        }
        if let Poll::Ready(Ok(written)) = &polled {
            client.record_progress(now, *written);
            self.shared
                .own_bytes
                .fetch_add(*written as u64, Ordering::Relaxed);
        }
        polled
    }
}

impl Drop for CallerSocket {
    fn drop(&mut self) {
        if let Err(e) = self.stream() {
            log::debug!("a caller's connection is closed as it is: {e}");
        }
    }
}

impl AsyncRead for CallerSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.reads_left == 0 {
            self.reads_left = READS_IN_A_ROW;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let max_bytes = buf.remaining().min(MAX_READ_BYTES);
        loop {
            if self.stream.poll_read_ready(cx)?.is_pending() {
                self.reads_left = READS_IN_A_ROW;
                return Poll::Pending;
            }
            match self.stream.try_read(buf.initialize_unfilled_to(max_bytes)) {
                Ok(read) => {
                    self.reads_left -= 1;
                    buf.advance(read);
                    self.shared.own_bytes.fetch_add(read as u64, Ordering::Relaxed);
                    if read > 0 && !self.activity.record_bytes(self.shared.now(), read) {
                        let (memory, now) = (&self.shared.client_memory, self.shared.now());
                        memory.close_stalled(now, Scarce::Connections);
                        memory.record_closed(&self.shared.metrics, now, Closed::NoRoom);
                        return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for CallerSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let stream = self.stream()?;
        let polled = poll_write_with(stream, cx, || stream.try_write(buf));
        self.count_written(polled, buf.len())
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(self.stream()?).shutdown(Shutdown::Write))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = self.stream()?;
        let polled = poll_write_with(stream, cx, || stream.try_write_vectored(bufs));
        self.count_written(polled, bufs.iter().map(|buf| buf.len()).sum())
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

/// Writes as soon as the socket accepts bytes.
fn poll_write_with(
    stream: &TcpStream,
    cx: &mut Context<'_>,
    write: impl Fn() -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match write() {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            written => return Poll::Ready(written),
        }
    }
}
