//! Sends heartbeats to the other hosts and receives their datagrams.

use std::sync::Arc;

use carawayseam_types::Millis;
use carawayseam_wire::{MAX_DATAGRAM_BYTES, PeerMessage, decode, encode};
use kameo::actor::ActorRef;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval};

use super::ownership;
use super::state::{ControlState, Event, GetHeartbeat};
use super::updates::{self, ChunkRange};
use crate::shared::Shared;

/// The interval between heartbeats.
const HEARTBEAT_INTERVAL: Millis = Millis(100);

/// Sends this host's heartbeat to all other hosts at every interval, until the control state ends.
pub(crate) async fn send_heartbeats(socket: Arc<UdpSocket>, control: ActorRef<ControlState>) {
    let mut ticks = interval(HEARTBEAT_INTERVAL.to_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut seq = 0;
    loop {
        ticks.tick().await;
        seq += 1;
        let (reply, response) = oneshot::channel();
        if control.tell(GetHeartbeat { seq, reply }).try_send().is_err() {
            return;
        }
        let Ok((heartbeat, addresses)) = response.await else {
            return;
        };
        match encode(&PeerMessage::Heartbeat(heartbeat)) {
            Ok(buf) => {
                for address in addresses {
                    if let Err(e) = socket.try_send_to(&buf, address) {
                        log::debug!("a heartbeat to {address} was not sent: {e}");
                    }
                }
            }
            Err(e) => log::error!(error:% = e; "a heartbeat was not encoded"),
        }
    }
}

/// Receives and handles datagrams from the other hosts until the control state ends.
pub(crate) async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>, control: ActorRef<ControlState>) {
    let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => match decode::<PeerMessage>(&buf[..len]) {
                Ok(PeerMessage::Heartbeat(heartbeat)) => {
                    if control
                        .tell(Event::Heartbeat(Box::new(heartbeat)))
                        .try_send()
                        .is_err()
                    {
                        return;
                    }
                }
                Ok(PeerMessage::QuotaRequest(request)) => ownership::respond_quota(&shared, &request),
                Ok(PeerMessage::QuotaReturn { organisation, tokens }) => {
                    ownership::return_tokens(&shared, &organisation, tokens);
                }
                Ok(PeerMessage::SlotRequest {
                    host,
                    request_id,
                    engine,
                }) => {
                    ownership::respond_slot(&shared, &host, request_id, engine);
                }
                Ok(PeerMessage::SlotReturn { host, engine }) => {
                    ownership::release_slot(&shared, &host, engine);
                }
                Ok(PeerMessage::ChangesRequest {
                    host,
                    request_id,
                    after,
                }) => updates::send(&shared, &host, request_id, after),
                Ok(PeerMessage::ItemChunkRequest {
                    host,
                    request_id,
                    key,
                    revision,
                    offset,
                }) => {
                    let range = ChunkRange {
                        key,
                        revision,
                        offset,
                    };
                    updates::send_chunk(&shared, &host, request_id, &range);
                }
                Ok(PeerMessage::Response { request_id, response }) => {
                    shared.peers.deliver(request_id, response);
                }
                Err(e) => log::warn!(from:% = from; "a datagram cannot be read: {e}"),
            },
            // After a send to a port that is closed, the next receive on this socket fails.
            Err(e) => log::debug!("receiving a datagram failed: {e}"),
        }
    }
}
