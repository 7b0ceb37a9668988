//! Exchanges with the other hosts which parts of prompts were in crashes, and decides on them.

use carawayseam_dispatch::poison_parts::{
    CrashId, OrganisationKey, PartAnswer, PartCrash, PartEvent, PartId, PartsUpdate, Weight,
};
use carawayseam_types::Millis;
use carawayseam_wire::{self as wire, PeerMessage};

use crate::request_log::join;
use crate::shared::{Shared, lock};

/// Returns the announcement of what this host knows of parts, or `None` if there is nothing to announce.
pub(super) fn announcement(shared: &Shared, now: Millis, has_new_peer: bool) -> Option<PeerMessage> {
    let update = lock(&shared.poison_parts).gossip_update(now, has_new_peer);
    encode(update)
}

/// Returns what this host passes on of parts in a gossip round, or `None` if there is nothing.
pub(super) fn forwarded(shared: &Shared, now: Millis) -> Option<PeerMessage> {
    encode(lock(&shared.poison_parts).forwarded_update(now))
}

fn encode(update: PartsUpdate) -> Option<PeerMessage> {
    (!update.is_empty()).then(|| PeerMessage::PromptParts {
        crashes: update.crashes.into_iter().map(encode_crash).collect(),
        answers: update.answers.into_iter().map(encode_answer).collect(),
    })
}

/// Applies what a peer announced.
pub(super) fn apply_update(shared: &Shared, crashes: &[wire::PartCrash], answers: &[wire::PartAnswer]) {
    let update = PartsUpdate {
        crashes: crashes.iter().map(decode_crash).collect(),
        answers: answers.iter().map(decode_answer).collect(),
    };
    lock(&shared.poison_parts).record_peer_update(shared.now(), &update);
}

/// Decides which parts are blocked, and logs and counts what changed.
pub(super) fn decide(shared: &Shared, now: Millis) {
    let events = lock(&shared.poison_parts).tick(now);
    let has_new_block = events
        .iter()
        .any(|event| matches!(event, PartEvent::Blocked { .. }));
    if has_new_block {
        shared.part_blocks.send_modify(|count| *count += 1);
    }
    for event in events {
        record_event(shared, event);
    }
}

fn record_event(shared: &Shared, event: PartEvent) {
    match event {
        PartEvent::Suspected { part, crashes } => {
            shared.metrics.count("prompt_parts", "suspected");
            log::info!(part:% = part, crashes = join(&crashes).as_str(); "part of prompts suspected of crashing backend servers");
        }
        PartEvent::Blocked {
            part,
            crashes,
            organisation,
        } => {
            shared.metrics.count("prompt_parts", "blocked");
            let organisation = organisation.map(|organisation| organisation.to_string());
            log::warn!(
                part:% = part, crashes = join(&crashes).as_str(), organisation_key = organisation;
                "part of prompts blocked because it crashes backend servers"
            );
        }
        PartEvent::Cleared { part, was_blocked } => {
            shared.metrics.count("prompt_parts", "cleared");
            log::info!(part:% = part, was_blocked = was_blocked; "part of prompts cleared by an answer");
        }
    }
}

fn encode_crash(crash: PartCrash) -> wire::PartCrash {
    wire::PartCrash {
        part: crash.part.0,
        depth: crash.depth,
        crash: crash.id.0,
        age: crash.age,
        organisation: crash.organisation.map(|organisation| organisation.0),
        weight: crash.weight.0,
    }
}

fn decode_crash(crash: &wire::PartCrash) -> PartCrash {
    PartCrash {
        part: PartId(crash.part),
        depth: crash.depth,
        id: CrashId(crash.crash),
        age: crash.age,
        organisation: crash.organisation.map(OrganisationKey),
        weight: Weight(crash.weight),
    }
}

fn encode_answer(answer: PartAnswer) -> wire::PartAnswer {
    wire::PartAnswer {
        part: answer.part.0,
        begun: answer.begun,
        complete: answer.complete,
    }
}

fn decode_answer(answer: &wire::PartAnswer) -> PartAnswer {
    PartAnswer {
        part: PartId(answer.part),
        begun: answer.begun,
        complete: answer.complete,
    }
}
