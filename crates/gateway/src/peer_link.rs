//! Sends datagrams to other hosts and matches responses to pending requests.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Mutex;

use carawayseam_dispatch::group::{Group, SlotOwners};
use carawayseam_dispatch::local_overload::Reached;
use carawayseam_dispatch::store_tree::StoreSources;
use carawayseam_types::{HostId, Millis, ZoneId};
use carawayseam_wire::{PeerMessage, PeerResponse, encode};
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout};

use crate::shared::lock;

/// The datagram socket and the known addresses of the other hosts.
#[derive(Debug)]
pub(crate) struct PeerLink {
    socket: UdpSocket,
    own_host: HostId,
    addresses: Mutex<BTreeMap<HostId, SocketAddr>>,
    group: Mutex<Group>,
    slot_owners: Mutex<SlotOwners>,
    /// Where this host learns of changes of the store.
    store_sources: Mutex<StoreSources>,
    /// The times of the latest requests, until they are taken.
    request_times: Mutex<BTreeMap<HostId, Reached>>,
    pending: Mutex<PendingRequests>,
}

#[derive(Debug, Default)]
struct PendingRequests {
    last_id: u64,
    waiters: HashMap<u64, oneshot::Sender<PeerResponse>>,
}

impl PendingRequests {
    /// Registers a request whose response goes to `tx`, and returns its id.
    fn register(&mut self, tx: oneshot::Sender<PeerResponse>) -> u64 {
        self.last_id += 1;
        self.waiters.insert(self.last_id, tx);
        self.last_id
    }
}

/// Removes a pending request when it is dropped.
struct Waiter<'a> {
    pending: &'a Mutex<PendingRequests>,
    request_id: u64,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        lock(self.pending).waiters.remove(&self.request_id);
    }
}

impl PeerLink {
    /// Binds the socket on which other hosts' datagrams arrive.
    pub(crate) fn bind(own_host: &HostId, address: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        Ok(Self {
            socket,
            own_host: own_host.clone(),
            group: Mutex::new(Group::alone(own_host.clone())),
            slot_owners: Mutex::new(SlotOwners::of_any_zone(vec![own_host.clone()])),
            addresses: Mutex::default(),
            store_sources: Mutex::default(),
            request_times: Mutex::default(),
            pending: Mutex::default(),
        })
    }

    /// Returns another handle of the socket, for receiving.
    pub(crate) fn socket(&self) -> io::Result<UdpSocket> {
        self.socket.try_clone()
    }

    /// Replaces the addresses of the other hosts.
    pub(crate) fn set_addresses(&self, addresses: BTreeMap<HostId, SocketAddr>) {
        *lock(&self.addresses) = addresses;
    }

    /// Returns the address of another host for datagrams and relayed connections, if it is known.
    pub(crate) fn address(&self, host: &HostId) -> Option<SocketAddr> {
        lock(&self.addresses).get(host).copied()
    }

    /// Sends a message to a host if its address is known; delivery is not guaranteed.
    pub(crate) fn send(&self, host: &HostId, message: &PeerMessage) {
        let Some(address) = self.address(host) else {
            log::debug!("the address of {host} is not known");
            return;
        };
        self.send_to_address(address, message);
    }

    /// Sends a message to the host at an address; delivery is not guaranteed.
    pub(crate) fn send_to_address(&self, address: SocketAddr, message: &PeerMessage) {
        match encode(message) {
            Ok(buf) => {
                if let Err(e) = self.socket.send_to(&buf, address) {
                    log::debug!("a datagram to {address} was not sent: {e}");
                }
            }
            Err(e) => log::error!(error:% = e; "a datagram was not encoded"),
        }
    }

    /// Sends a message to all hosts whose addresses are known; delivery is not guaranteed.
    pub(crate) fn send_to_all(&self, message: &PeerMessage) {
        let hosts: Vec<HostId> = lock(&self.addresses).keys().cloned().collect();
        for host in &hosts {
            self.send(host, message);
        }
    }

    /// Responds to a host's request; delivery is not guaranteed.
    pub(crate) fn respond(&self, host: &HostId, request_id: u64, response: PeerResponse) {
        self.send(host, &PeerMessage::Response { request_id, response });
    }

    /// Replaces the group, whose reachable hosts can receive requests.
    pub(crate) fn set_group(&self, group: Group) {
        *lock(&self.group) = group;
    }

    /// Replaces the hosts to poll for changes of the store.
    pub(crate) fn set_store_sources(&self, store_sources: StoreSources) {
        *lock(&self.store_sources) = store_sources;
    }

    /// Returns the hosts to poll for changes of the store.
    pub(crate) fn store_sources(&self) -> StoreSources {
        lock(&self.store_sources).clone()
    }

    /// Returns up to `count` other hosts that can receive requests now.
    pub(crate) fn reachable_peers(&self, count: usize) -> Vec<HostId> {
        lock(&self.group).select_hosts(self.own_host.as_str(), count, |host| *host != self.own_host)
    }

    /// Returns the owner of the shared state with this name, or `None` if it is this host.
    pub(crate) fn owner(&self, name: &str) -> Option<HostId> {
        lock(&self.group).owner_other_than(&self.own_host, name).cloned()
    }

    /// Replaces the owners of the slots of backend servers.
    pub(crate) fn set_slot_owners(&self, owners: SlotOwners) {
        *lock(&self.slot_owners) = owners;
    }

    /// Returns the owner of the slots of a backend server in a zone, or `None` if it is this host.
    pub(crate) fn slot_owner(&self, engine: &str, zone: Option<&ZoneId>) -> Option<HostId> {
        let owners = lock(&self.slot_owners);
        owners
            .owner(engine, zone)
            .filter(|owner| **owner != self.own_host)
            .cloned()
    }

    /// Returns whether slots are claimed with the tier of the request that needs them.
    pub(crate) fn takes_claims(&self) -> bool {
        lock(&self.slot_owners).takes_claims()
    }

    /// Returns the id of the last request that this host sent to any host.
    pub(crate) fn last_request_id(&self) -> u64 {
        lock(&self.pending).last_id
    }

    /// Sends a request up to `attempts` times and waits up to `time_limit` for the response each time.
    ///
    /// Returns `None` if the host does not respond.
    pub(crate) async fn request(
        &self,
        peer: &HostId,
        time_limit: Millis,
        attempts: u32,
        message: impl Fn(u64) -> PeerMessage,
    ) -> Option<PeerResponse> {
        let (tx, mut rx) = oneshot::channel();
        let request_id = lock(&self.pending).register(tx);
        let _waiter = Waiter {
            pending: &self.pending,
            request_id,
        };
        let message = message(request_id);
        let started_at = Instant::now();
        for _ in 0..attempts {
            self.send(peer, &message);
            if let Ok(Ok(response)) = timeout(time_limit.to_duration(), &mut rx).await {
                let elapsed = Millis(started_at.elapsed().as_millis() as u64);
                lock(&self.request_times).insert(peer.clone(), Reached::After(elapsed));
                return Some(response);
            }
        }
        let waited = Reached::NotWithin(time_limit.times(u64::from(attempts)));
        lock(&self.request_times).insert(peer.clone(), waited);
        None
    }

    /// Takes the times of the latest request to each peer since the last call.
    pub(crate) fn take_request_times(&self) -> BTreeMap<HostId, Reached> {
        std::mem::take(&mut lock(&self.request_times))
    }

    /// Passes a response to the request that waits for it.
    pub(crate) fn deliver(&self, request_id: u64, response: PeerResponse) {
        let waiter = lock(&self.pending).waiters.remove(&request_id);
        let was_received = waiter.is_some_and(|tx| tx.send(response).is_ok());
        if !was_received {
            log::debug!("a response came too late for request {request_id}");
        }
    }
}
