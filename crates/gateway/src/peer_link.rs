//! Datagrams to other hosts, and the answers that requests wait for.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Mutex;

use carawayseam_types::{HostId, Millis};
use carawayseam_wire::{PeerMessage, QuotaAsk, QuotaOutcome, encode};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::shared::lock;

/// An ask that is not answered for so long is sent once more.
const ASK_LIMIT: Millis = Millis(40);
/// How often an ask is sent.
const ASKS: u32 = 2;

/// The socket to other hosts.
#[derive(Debug)]
pub(crate) struct PeerLink {
    socket: UdpSocket,
    addresses: Mutex<BTreeMap<HostId, SocketAddr>>,
    asks: Mutex<Asks>,
}

#[derive(Debug, Default)]
struct Asks {
    last: u64,
    waiting: HashMap<u64, oneshot::Sender<QuotaOutcome>>,
}

impl Asks {
    /// Numbers an ask whose answer goes to `tx`.
    fn open(&mut self, tx: oneshot::Sender<QuotaOutcome>) -> u64 {
        self.last += 1;
        self.waiting.insert(self.last, tx);
        self.last
    }
}

impl PeerLink {
    /// Listens for other hosts.
    pub(crate) fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket,
            addresses: Mutex::default(),
            asks: Mutex::default(),
        })
    }

    /// The socket, to receive from.
    pub(crate) fn socket(&self) -> io::Result<UdpSocket> {
        self.socket.try_clone()
    }

    /// Takes where the other hosts are.
    pub(crate) fn set_addresses(&self, addresses: BTreeMap<HostId, SocketAddr>) {
        *lock(&self.addresses) = addresses;
    }

    /// Sends a message to a host, if it is listed; it may be lost.
    pub(crate) fn send(&self, host: &HostId, message: &PeerMessage) {
        let Some(address) = lock(&self.addresses).get(host).copied() else {
            log::debug!("{host} is not listed");
            return;
        };
        match encode(message) {
            Ok(buf) => {
                if let Err(e) = self.socket.send_to(&buf, address) {
                    log::debug!("a datagram to {host} was not sent: {e}");
                }
            }
            Err(e) => log::error!(error:% = e; "a datagram was not encoded"),
        }
    }

    /// Asks a host for tokens; none if it does not answer.
    pub(crate) async fn ask(&self, keeper: &HostId, mut asked: QuotaAsk) -> Option<QuotaOutcome> {
        let (tx, mut rx) = oneshot::channel();
        let ask = lock(&self.asks).open(tx);
        asked.ask = ask;
        let message = PeerMessage::QuotaAsk(asked);
        for _ in 0..ASKS {
            self.send(keeper, &message);
            if let Ok(Ok(outcome)) = timeout(ASK_LIMIT.to_duration(), &mut rx).await {
                return Some(outcome);
            }
        }
        lock(&self.asks).waiting.remove(&ask);
        None
    }

    /// Passes an answer to the request that waits for it.
    pub(crate) fn answered(&self, ask: u64, outcome: QuotaOutcome) {
        let waiting = lock(&self.asks).waiting.remove(&ask);
        let told = waiting.is_some_and(|tx| tx.send(outcome).is_ok());
        if !told {
            log::debug!("the request of ask {ask} has ended");
        }
    }
}
