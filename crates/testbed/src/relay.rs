//! A relay before a process that harms the connections that pass through it.

use std::net::SocketAddr;

use carawayseam_types::Millis;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::sleep;

use crate::TestbedError;
use crate::error::io;

const BUFFER_BYTES: usize = 16 * 1_024;

/// What connections suffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Bytes take longer, each way.
    Delayed(Millis),
    /// Nothing passes.
    Silent,
    /// Only what goes to the target passes.
    OneWay,
    /// Connections are reset, and new ones too.
    Reset,
}

/// Passes connections on to one target; dropping it ends it.
#[derive(Debug)]
pub struct Relay {
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

impl Relay {
    /// Starts a relay to `target` on a port that the kernel picks.
    ///
    /// # Errors
    ///
    /// [`TestbedError::Io`] when it cannot listen.
    pub async fn start(target: SocketAddr) -> Result<Self, TestbedError> {
        let listener = TcpListener::bind(("127.0.0.1", 0))
            .await
            .map_err(io("listening as a relay"))?;
        let address = listener.local_addr().map_err(io("reading a relay's address"))?;
        let (trouble, seen) = watch::channel(None);
        let accepting = tokio::spawn(accept(listener, target, seen)).abort_handle();
        Ok(Self {
            address,
            trouble,
            accepting,
        })
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Harms connections from now on, or no longer.
    pub fn set(&self, trouble: Option<Link>) {
        self.trouble.send_replace(trouble);
    }

    /// Cuts all connections, and closes each new one.
    pub fn cut(&self) {
        self.set(Some(Link::Reset));
    }

    /// Lets connections through again.
    pub fn heal(&self) {
        self.set(None);
    }
}

impl Drop for Relay {
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
