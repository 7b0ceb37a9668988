//! Loopback proxies that harm what passes through them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep;

use crate::schedule::Link;

const BUFFER_BYTES: usize = 16 * 1_024;
const ANY_PORT: (&str, u16) = ("127.0.0.1", 0);

/// Passes connections on to one target.
#[derive(Debug)]
pub(crate) struct TcpProxy {
    address: SocketAddr,
    trouble: watch::Sender<Option<Link>>,
    accepting: AbortHandle,
}

/// The way that bytes go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    ToTarget,
    FromTarget,
}

impl TcpProxy {
    pub(crate) async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let address = listener.local_addr()?;
        let (trouble, seen) = watch::channel(None);
        let accepting = tokio::spawn(accept(listener, target, seen)).abort_handle();
        Ok(Self {
            address,
            trouble,
            accepting,
        })
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Harms connections from now on, or no longer.
    pub(crate) fn set(&self, trouble: Option<Link>) {
        self.trouble.send_replace(trouble);
    }
}

impl Drop for TcpProxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, trouble: watch::Receiver<Option<Link>>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        if *trouble.borrow() != Some(Link::Reset) {
            connections.spawn(pass(stream, target, trouble.clone()));
        }
    }
}

async fn pass(stream: TcpStream, target: SocketAddr, mut trouble: watch::Receiver<Option<Link>>) {
    let Ok(other) = TcpStream::connect(target).await else {
        return;
    };
    // A socket that cannot be set up is slower, no more.
    drop(stream.set_nodelay(true).and(other.set_nodelay(true)));
    let (near_read, near_write) = stream.into_split();
    let (far_read, far_write) = other.into_split();
    let to = pump(near_read, far_write, Way::ToTarget, trouble.clone());
    let from = pump(far_read, near_write, Way::FromTarget, trouble.clone());
    let reset = trouble.wait_for(|trouble| *trouble == Some(Link::Reset));
    tokio::select! {
        ((), ()) = async { tokio::join!(to, from) } => {}
        _ = reset => {}
    }
}

/// Passes bytes one way until the connection ends, then ends the other side.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    way: Way,
    mut trouble: watch::Receiver<Option<Link>>,
) {
    let mut buf = vec![0; BUFFER_BYTES];
    while let Ok(len) = from.read(&mut buf).await {
        hold(way, &mut trouble).await;
        if len == 0 || to.write_all(&buf[..len]).await.is_err() {
            break;
        }
    }
    // The other end may be gone already.
    drop(to.shutdown().await);
}

/// Waits as long as nothing may pass.
async fn hold(way: Way, trouble: &mut watch::Receiver<Option<Link>>) {
    let passes = |trouble: &Option<Link>| match trouble {
        Some(Link::Silent) => false,
        Some(Link::OneWay) => way == Way::ToTarget,
        _ => true,
    };
    let delay = match trouble.wait_for(passes).await {
        Ok(trouble) => *trouble,
        // The proxy is gone, and its connections with it.
        Err(_) => None,
    };
    if let Some(Link::Delayed(delay)) = delay {
        sleep(delay.to_duration()).await;
    }
}

/// Passes datagrams on to one target.
#[derive(Debug)]
pub(crate) struct UdpProxy {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    passing: AbortHandle,
}

impl UdpProxy {
    pub(crate) async fn start(target: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(ANY_PORT).await?;
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
