//! A byte stream that limits how many bytes are read from it.
//!
//! Limits on the buffered part of a response do not bound the bytes that are read: a server may send
//! interim responses or the digits of a chunk size without end, and neither is buffered.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The number of bytes that may still be read.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadBudget(Arc<AtomicUsize>);

impl ReadBudget {
    /// Replaces the remaining budget.
    pub(crate) fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Subtracts bytes that were read; returns false if they exceed the budget.
    fn consume(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        bytes <= left
    }
}

/// A stream whose reads fail once the budget is exceeded.
#[derive(Debug)]
pub(crate) struct ReadLimited<S> {
    inner: S,
    budget: ReadBudget,
}

impl<S> ReadLimited<S> {
    pub(crate) const fn new(inner: S, budget: ReadBudget) -> Self {
        Self { inner, budget }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ReadLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        if self.budget.consume(read) {
            polled
        } else {
            let e = io::Error::new(io::ErrorKind::InvalidData, "response exceeds the byte limit");
            Poll::Ready(Err(e))
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ReadLimited<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
