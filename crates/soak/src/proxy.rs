//! A loopback proxy for datagrams that can be cut.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::net::UdpSocket;
use tokio::task::AbortHandle;

const BUFFER_BYTES: usize = 16 * 1_024;

/// Passes datagrams on to one target.
#[derive(Debug)]
pub(crate) struct UdpProxy {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    passing: AbortHandle,
}

impl UdpProxy {
    pub(crate) async fn start(target: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(("127.0.0.1", 0)).await?;
        let address = socket.local_addr()?;
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = Arc::clone(&is_cut);
        let passing = tokio::spawn(async move {
            let mut buf = vec![0; BUFFER_BYTES];
            loop {
                // A target that is gone shows as an error; datagrams may be lost.
                let Ok((len, _)) = socket.recv_from(&mut buf).await else {
                    continue;
                };
                if !cut.load(Ordering::Relaxed) {
                    drop(socket.send_to(&buf[..len], target).await);
                }
            }
        });
        Ok(Self {
            address,
            is_cut,
            passing: passing.abort_handle(),
        })
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Loses all datagrams from now on, or no longer.
    pub(crate) fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }
}

impl Drop for UdpProxy {
    fn drop(&mut self) {
        self.passing.abort();
    }
}
