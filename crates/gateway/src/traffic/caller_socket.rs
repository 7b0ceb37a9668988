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
use crate::shared::Shared;
use crate::sockets::set_reset_on_close;

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
}

impl CallerSocket {
    pub(super) const fn new(
        stream: Arc<TcpStream>,
        wanted: ResetOnClose,
        activity: Arc<Activity>,
        shared: Arc<Shared>,
    ) -> Self {
        Self {
            stream,
            wanted,
            resets: false,
            activity,
            shared,
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

    fn count_written(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(written)) = &polled {
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
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            match self.stream.try_read(buf.initialize_unfilled()) {
                Ok(read) => {
                    buf.advance(read);
                    self.shared.own_bytes.fetch_add(read as u64, Ordering::Relaxed);
                    if read > 0 {
                        self.activity.record_bytes(self.shared.now());
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
        self.count_written(polled)
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
        self.count_written(polled)
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
