//! A TCP stream that is reset when it is dropped, if so set.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::sockets::set_reset_on_close;

/// Whether a stream is reset when it is dropped.
#[derive(Debug, Clone, Default)]
pub(crate) struct ResetFlag(Arc<AtomicBool>);

impl ResetFlag {
    pub(crate) fn set(&self, resets: bool) {
        self.0.store(resets, Ordering::Relaxed);
    }
}

/// A stream whose drop resets the connection if `resets` is set then, and closes it otherwise.
///
/// After a regular close the operating system goes on delivering the bytes that were written before.
#[derive(Debug)]
pub(crate) struct ResettableStream {
    pub(crate) stream: TcpStream,
    pub(crate) resets: ResetFlag,
}

impl Drop for ResettableStream {
    fn drop(&mut self) {
        if self.resets.0.load(Ordering::Relaxed)
            && let Err(e) = set_reset_on_close(&self.stream, true)
        {
            log::debug!("a connection is closed and not reset: {e}");
        }
    }
}

impl AsyncRead for ResettableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ResettableStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
