//! Messages of gossip rounds, by which the hosts of a large fleet tell a few others what small fleets tell all.

use carawayseam_dispatch::dispatcher::ClaimedSlot;
use carawayseam_dispatch::draining_servers::DrainingServer;
use carawayseam_dispatch::engine::ServerLoad;
use carawayseam_dispatch::gossip::Status;
use carawayseam_dispatch::server_loads::{Measurement, OwnerKey};
use carawayseam_types::{HostId, Millis};
use carawayseam_wire::{
    GossipRound, HeldSlots, MeasuredLoad, PeerMessage, PeerResponse, SlotClaim, SlotLoad, SlotOutcome, encode,
};

use super::loads::{decode_server_load, decode_waiting};
use super::{capacity, poison_contents, poison_parts, rollout_pace, rollout_routes, server_limits, warm_ups};
use crate::shared::{Shared, lock};

/// The largest number of waiting counts in one round.
pub(super) const MAX_WAITING: usize = 16;
/// The largest number of draining servers in one round.
pub(super) const MAX_DRAINING: usize = 16;
/// The largest number of measured loads in one round, which has to fit a datagram.
pub(super) const MAX_LOADS: usize = 32;
/// The counter of messages that hosts of a large fleet send each other.
const COUNTER: &str = "gossip";

/// Applies the loads, waiting requests and draining servers of a peer's round; returns whether it is not outdated.
pub(super) fn apply_round(shared: &Shared, now: Millis, round: &GossipRound) -> bool {
    let status = Status {
        incarnation: round.incarnation,
        seq: round.seq,
        serves_keys: round.serves_keys,
        waiting: round
            .waiting
            .iter()
            .take(MAX_WAITING)
            .map(decode_waiting)
            .collect(),
    };
    let measurements: Vec<Measurement> = round.loads.iter().take(MAX_LOADS).map(decode_load).collect();
    let mut dispatch = lock(&shared.dispatch);
    if !dispatch.dispatcher.record_status(now, &round.host, status) {
        drop(dispatch);
        shared.metrics.count(COUNTER, "outdated");
        return false;
    }
    for (engine, started) in round.draining_servers.iter().take(MAX_DRAINING) {
        let server = DrainingServer {
            engine: engine.clone(),
            started: *started,
        };
        if dispatch.dispatcher.mark_draining(now, server, false) {
            log::info!(engine:% = engine, peer:% = round.host; "a peer reported that a backend server drains");
        }
    }
    let actions = dispatch.dispatcher.record_measurements(now, &measurements);
    dispatch.apply(now, actions);
    drop(dispatch);
    shared.metrics.count(COUNTER, "round");
    true
}

/// Responds to a host's claim of a slot of a backend server.
pub(super) fn respond_claim(shared: &Shared, claim: &SlotClaim) {
    if !shared.is_listed(&claim.host, COUNTER) {
        return;
    }
    let SlotClaim {
        host,
        request_id,
        engine,
        tier,
    } = claim;
    let claimed =
        lock(&shared.dispatch)
            .dispatcher
            .grant_claim(shared.now(), host, *request_id, *engine, *tier);
    let slot_load = claimed.map_or(
        SlotLoad {
            outcome: SlotOutcome::NotOwner,
            running: 0,
            pending_prompt_tokens: 0,
        },
        encode_claimed,
    );
    shared
        .peers
        .respond(host, *request_id, PeerResponse::SlotLoad(slot_load));
}

/// Applies a host's confirmation of the slots that it holds.
pub(super) fn confirm_held(shared: &Shared, held: &HeldSlots) {
    if !shared.is_listed(&held.host, COUNTER) {
        return;
    }
    let now = shared.now();
    let engines = held.engines.iter().map(decode_server_load);
    let mut dispatch = lock(&shared.dispatch);
    let actions = dispatch.dispatcher.confirm_held_slots(
        now,
        &held.host,
        (held.incarnation, held.seq),
        held.as_of_request,
        engines.collect(),
    );
    dispatch.apply(now, actions);
}

/// Sends a host the reports that were announced before it started or while it was partitioned.
pub(super) fn send_reports(shared: &Shared, host: &HostId) {
    if !shared.is_listed(host, COUNTER) {
        return;
    }
    let now = shared.now();
    let mut sent = 0;
    for message in reports(shared, now, true) {
        // The host asks again, and another peer, for what the budget does not cover.
        if spend(shared, now, 1, &message) {
            shared.peers.send(host, &message);
            sent += 1;
        }
    }
    if sent > 0 {
        shared.metrics.count(COUNTER, "reports-sent");
    }
}

/// Returns the reports that a host passes on in its rounds; all that it knows if the receiver is new.
pub(super) fn reports(shared: &Shared, now: Millis, is_for_new_peer: bool) -> Vec<PeerMessage> {
    let parts = if is_for_new_peer {
        poison_parts::announcement(shared, now, true)
    } else {
        poison_parts::forwarded(shared, now)
    };
    [
        server_limits::announcement(shared, now, is_for_new_peer),
        warm_ups::announcement(shared, now, is_for_new_peer),
        server_limits::brittle_announcement(shared, now, is_for_new_peer),
        poison_contents::announcement(shared, now, is_for_new_peer),
        parts,
        capacity::announcement(shared, now, is_for_new_peer),
    ]
    .into_iter()
    .flatten()
    .chain(rollout_pace::forwarded(shared))
    .chain(rollout_routes::forwarded(shared))
    .collect()
}

/// Returns whether the gossip budget covers sending a message to a number of hosts, and spends it if so.
pub(super) fn spend(shared: &Shared, now: Millis, hosts: usize, message: &PeerMessage) -> bool {
    let Ok(buf) = encode(message) else {
        return false;
    };
    let is_covered = lock(&shared.gossip_budget).try_spend(now, hosts, buf.len());
    if !is_covered {
        shared.metrics.count(COUNTER, "over-budget");
    }
    is_covered
}

/// Returns what the owner of a slot said of a claim, or `None` if it does not know the server.
pub(crate) fn decode_claimed(load: &SlotLoad) -> Option<ClaimedSlot> {
    let is_granted = match load.outcome {
        SlotOutcome::Granted => true,
        SlotOutcome::Full => false,
        SlotOutcome::NotOwner => return None,
    };
    let load = ServerLoad {
        running: load.running,
        prompt_ahead: load.pending_prompt_tokens,
    };
    Some(ClaimedSlot { is_granted, load })
}

fn encode_claimed(claimed: ClaimedSlot) -> SlotLoad {
    SlotLoad {
        outcome: if claimed.is_granted {
            SlotOutcome::Granted
        } else {
            SlotOutcome::Full
        },
        running: claimed.load.running,
        pending_prompt_tokens: claimed.load.prompt_ahead,
    }
}

pub(super) fn encode_load(measurement: &Measurement) -> MeasuredLoad {
    MeasuredLoad {
        engine: measurement.engine,
        owner: measurement.owner.0,
        version: measurement.version,
        age: measurement.age,
        running: measurement.load.running,
        pending_prompt_tokens: measurement.load.prompt_ahead,
    }
}

fn decode_load(load: &MeasuredLoad) -> Measurement {
    Measurement {
        engine: load.engine,
        owner: OwnerKey(load.owner),
        version: load.version,
        age: load.age,
        load: ServerLoad {
            running: load.running,
            prompt_ahead: load.pending_prompt_tokens,
        },
    }
}
