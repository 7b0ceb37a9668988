//! Sends heartbeats or gossip rounds to the other hosts and receives their datagrams.

use std::net::SocketAddr;
use std::sync::Arc;

use carawayseam_types::Millis;
use carawayseam_wire::{MAX_DATAGRAM_BYTES, PeerMessage, decode, encode};
use kameo::actor::ActorRef;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::{MissedTickBehavior, interval};

use super::state::{ControlState, Event, GetAnnouncements};
use super::updates::{self, ChunkRange};
use super::{
    capacity, gossip, ownership, poison_contents, poison_parts, reach, rollout_pace, rollout_routes,
    server_limits, store_copy, warm_ups,
};
use crate::shared::Shared;

/// The interval between heartbeats.
const HEARTBEAT_INTERVAL: Millis = Millis(100);

/// Sends this host's announcements at every interval, until the control state ends.
pub(crate) async fn send_heartbeats(socket: Arc<UdpSocket>, control: ActorRef<ControlState>) {
    let mut ticks = interval(HEARTBEAT_INTERVAL.to_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut seq = 0;
    loop {
        ticks.tick().await;
        seq += 1;
        let (reply, response) = oneshot::channel();
        if control.tell(GetAnnouncements { seq, reply }).try_send().is_err() {
            return;
        }
        let Ok(announcements) = response.await else {
            return;
        };
        for outgoing in &announcements {
            send_to_all(&socket, &outgoing.message, &outgoing.addresses);
        }
    }
}

/// Sends a message to all addresses; delivery is not guaranteed.
fn send_to_all(socket: &UdpSocket, message: &PeerMessage, addresses: &[SocketAddr]) {
    match encode(message) {
        Ok(buf) => {
            for address in addresses {
                if let Err(e) = socket.try_send_to(&buf, *address) {
                    log::debug!("an announcement to {address} was not sent: {e}");
                }
            }
        }
        Err(e) => log::error!(error:% = e; "an announcement was not encoded"),
    }
}

/// Receives and handles datagrams from the other hosts until the control state ends.
pub(crate) async fn receive(shared: Arc<Shared>, socket: Arc<UdpSocket>, control: ActorRef<ControlState>) {
    let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, from)) => match decode::<PeerMessage>(&buf[..len]) {
                Ok(message) => {
                    let event = handle(&shared, from, message);
                    if event.is_some_and(|event| control.tell(event).try_send().is_err()) {
                        return;
                    }
                }
                Err(e) => {
                    shared.metrics.count("datagrams", "unreadable");
                    log::warn!(from:% = from; "a datagram cannot be read: {e}");
                }
            },
            // After a send to a port that is closed, the next receive on this socket fails.
            Err(e) => log::debug!("receiving a datagram failed: {e}"),
        }
    }
}

/// Handles a message, or returns the event by which the control state handles it.
fn handle(shared: &Shared, from: SocketAddr, message: PeerMessage) -> Option<Event> {
    match message {
        PeerMessage::Heartbeat(heartbeat) => return Some(Event::Heartbeat(Box::new(heartbeat))),
        PeerMessage::GossipRound(round) => return Some(Event::GossipRound(Box::new(round))),
        PeerMessage::Membership(datagram) => return Some(Event::Membership { from, datagram }),
        PeerMessage::UnheardHosts { host, unheard } => {
            let is_meant = unheard.contains(&shared.settings.host);
            return is_meant.then_some(Event::Unheard(host));
        }
        PeerMessage::ServerLimits { host, limits } => server_limits::apply_updates(shared, &host, limits),
        PeerMessage::BrittleServers { host, limits } => {
            server_limits::apply_brittle_updates(shared, &host, limits);
        }
        PeerMessage::WarmUps { host, servers } => warm_ups::apply_updates(shared, &host, servers),
        PeerMessage::BrittleRejection { engine } => server_limits::apply_rejection(shared, &engine),
        PeerMessage::RolloutPace { host, counts } => rollout_pace::apply_counts(shared, &host, &counts),
        PeerMessage::RolloutRoutes(message) => rollout_routes::apply_counts(shared, message),
        PeerMessage::ContentCrashes(crashes) => poison_contents::apply_crashes(shared, crashes),
        PeerMessage::PromptParts { crashes, answers } => {
            poison_parts::apply_update(shared, &crashes, &answers);
        }
        PeerMessage::Response { request_id, response } => shared.peers.deliver(request_id, response),
        PeerMessage::QuotaReturn { organisation, tokens } => {
            ownership::return_tokens(shared, &organisation, tokens);
        }
        PeerMessage::SlotReturn { host, engine } => ownership::release_slot(shared, &host, engine),
        PeerMessage::PermitReturn { engine } => ownership::return_permit(shared, &engine),
        PeerMessage::ServerSamples(samples) => capacity::apply_samples(shared, &samples),
        PeerMessage::ServerPaces(paces) => capacity::apply_paces(shared, &paces),
        PeerMessage::HeldSlots(held) => gossip::confirm_held(shared, &held),
        request => respond(shared, request),
    }
    None
}

/// Responds to a request.
fn respond(shared: &Shared, request: PeerMessage) {
    match request {
        PeerMessage::QuotaRequest(request) => ownership::respond_quota(shared, &request),
        PeerMessage::SlotRequest {
            host,
            request_id,
            engine,
        } => ownership::respond_slot(shared, &host, request_id, engine),
        PeerMessage::SlotClaim(claim) => gossip::respond_claim(shared, &claim),
        PeerMessage::PermitRequest {
            host,
            request_id,
            engine,
            limit,
        } => ownership::respond_permit(shared, &host, request_id, &engine, limit),
        PeerMessage::ReportsRequest { host } => gossip::send_reports(shared, &host),
        PeerMessage::ChangesRequest {
            host,
            request_id,
            after,
        } => updates::send(shared, &host, request_id, after),
        PeerMessage::ItemsRequest {
            host,
            request_id,
            after,
        } => store_copy::send_page(shared, &host, request_id, &after),
        PeerMessage::ItemChunkRequest {
            host,
            request_id,
            key,
            revision,
            offset,
        } => {
            let range = ChunkRange {
                key,
                revision,
                offset,
            };
            updates::send_chunk(shared, &host, request_id, &range);
        }
        PeerMessage::ReachRequest {
            host,
            request_id,
            engines,
        } => reach::respond(shared, &host, request_id, &engines),
        other => log::debug!("a message is no request: {other:?}"),
    }
}
