//! Datagrams to other hosts, and the answers that requests wait for.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Mutex;

use carawayseam_dispatch::group::Group;
use carawayseam_types::{HostId, Millis};
use carawayseam_wire::{PeerMessage, PeerResponse, encode};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::shared::lock;

/// The socket to other hosts.
#[derive(Debug)]
pub(crate) struct PeerLink {
    socket: UdpSocket,
    me: HostId,
    addresses: Mutex<BTreeMap<HostId, SocketAddr>>,
    group: Mutex<Group>,
    /// The hosts to ask of the store; none if this one follows it itself.
    sources: Mutex<Vec<HostId>>,
    asks: Mutex<Asks>,
}

#[derive(Debug, Default)]
struct Asks {
    last: u64,
    waiting: HashMap<u64, oneshot::Sender<PeerResponse>>,
}

impl Asks {
    /// Numbers an ask whose answer goes to `tx`.
    fn open(&mut self, tx: oneshot::Sender<PeerResponse>) -> u64 {
        self.last += 1;
        self.waiting.insert(self.last, tx);
        self.last
    }
}

impl PeerLink {
    /// Listens for other hosts.
    pub(crate) fn bind(me: &HostId, address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket,
            me: me.clone(),
            group: Mutex::new(Group::alone(me.clone())),
            addresses: Mutex::default(),
            sources: Mutex::default(),
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

    /// Takes which hosts can be asked.
    pub(crate) fn set_group(&self, group: Group) {
        *lock(&self.group) = group;
    }

    /// Takes which hosts to ask of the store.
    pub(crate) fn set_sources(&self, sources: Vec<HostId>) {
        *lock(&self.sources) = sources;
    }

    /// The hosts to ask of the store, the first one first; none if this one follows it itself.
    pub(crate) fn sources(&self) -> Vec<HostId> {
        lock(&self.sources).clone()
    }

    /// Some other hosts that can be asked now.
    pub(crate) fn others(&self, count: usize) -> Vec<HostId> {
        lock(&self.group).delegates(self.me.as_str(), count, |host| *host != self.me)
    }

    /// The other host that keeps what is shared under a name; none if this one does.
    pub(crate) fn owner(&self, name: &str) -> Option<HostId> {
        lock(&self.group).keeper_beside(&self.me, name).cloned()
    }

    /// Asks a host, as often as `tries`; none if it does not answer each within `limit`.
    pub(crate) async fn request(
        &self,
        keeper: &HostId,
        limit: Millis,
        tries: u32,
        message: impl Fn(u64) -> PeerMessage,
    ) -> Option<PeerResponse> {
        let (tx, mut rx) = oneshot::channel();
        let ask = lock(&self.asks).open(tx);
        let message = message(ask);
        for _ in 0..tries {
            self.send(keeper, &message);
            if let Ok(Ok(answer)) = timeout(limit.to_duration(), &mut rx).await {
                return Some(answer);
            }
        }
        lock(&self.asks).waiting.remove(&ask);
        None
    }

    /// Passes an answer to the request that waits for it.
    pub(crate) fn deliver(&self, ask: u64, answer: PeerResponse) {
        let waiting = lock(&self.asks).waiting.remove(&ask);
        let told = waiting.is_some_and(|tx| tx.send(answer).is_ok());
        if !told {
            log::debug!("the request of ask {ask} has ended");
        }
    }
}
