//! Datagrams between the hosts.

use std::sync::Arc;

use carawayseam_types::Millis;
use carawayseam_wire::{MAX_DATAGRAM_BYTES, PeerMessage, decode, encode};
use kameo::actor::ActorRef;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval};

use super::keeping;
use super::news::{self, WantedPiece};
use super::state::{ControlState, Note, OwnBeat};
use crate::shared::Shared;

/// Heartbeats are sent this often.
const BEAT_INTERVAL: Millis = Millis(100);

/// Sends this host's heartbeat to all others.
pub(crate) async fn send_beats(socket: Arc<UdpSocket>, control: ActorRef<ControlState>) {
    let mut ticks = interval(BEAT_INTERVAL.to_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut seq = 0;
    loop {
        ticks.tick().await;
        seq += 1;
        let (reply, answer) = oneshot::channel();
        if control.tell(OwnBeat { seq, reply }).try_send().is_err() {
            return;
        }
        let Ok((beat, addresses)) = answer.await else {
            return;
        };
        match encode(&PeerMessage::Heartbeat(beat)) {
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

/// Takes what the others send.
pub(crate) async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>, control: ActorRef<ControlState>) {
    let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => match decode::<PeerMessage>(&buf[..len]) {
                Ok(PeerMessage::Heartbeat(beat)) => {
                    if control.tell(Note::Beat(Box::new(beat))).try_send().is_err() {
                        return;
                    }
                }
                Ok(PeerMessage::QuotaRequest(ask)) => keeping::answer_quota(&shared, &ask),
                Ok(PeerMessage::QuotaReturn { organisation, tokens }) => {
                    keeping::take_back(&shared, &organisation, tokens);
                }
                Ok(PeerMessage::SlotRequest {
                    host,
                    request_id: ask,
                    engine,
                }) => {
                    keeping::answer_slot(&shared, &host, ask, engine);
                }
                Ok(PeerMessage::SlotReturn { host, engine }) => {
                    keeping::take_slot_back(&shared, &host, engine);
                }
                Ok(PeerMessage::ChangesRequest {
                    host,
                    request_id: ask,
                    after,
                }) => news::answer(&shared, &host, ask, after),
                Ok(PeerMessage::ItemChunkRequest {
                    host,
                    request_id: ask,
                    key,
                    revision,
                    offset,
                }) => {
                    let wanted = WantedPiece {
                        key,
                        revision,
                        offset,
                    };
                    news::answer_piece(&shared, &host, ask, &wanted);
                }
                Ok(PeerMessage::Response {
                    request_id: ask,
                    response: answer,
                }) => shared.peers.answered(ask, answer),
                Err(e) => log::warn!(from:% = from; "a datagram cannot be read: {e}"),
            },
            // A peer that is gone shows as an error on the next receive.
            Err(e) => log::debug!("receiving a datagram failed: {e}"),
        }
    }
}
