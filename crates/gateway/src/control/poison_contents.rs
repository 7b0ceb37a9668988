//! Exchanges with the other hosts which contents of requests ran on servers that crashed.

use carawayseam_dispatch::poison::{ContentCrash, ContentCrashId};
use carawayseam_types::{Digest, Millis};
use carawayseam_wire::{self as wire, PeerMessage};

use crate::shared::{Shared, lock};

/// Returns the announcement of the crashes that this host knows, or `None` if there is nothing to announce.
pub(super) fn announcement(shared: &Shared, now: Millis, has_new_peer: bool) -> Option<PeerMessage> {
    let crashes = lock(&shared.poison).crash_updates(now, has_new_peer);
    (!crashes.is_empty()).then(|| PeerMessage::ContentCrashes(crashes.into_iter().map(encode).collect()))
}

/// Applies the crashes that a peer announced.
pub(super) fn apply_crashes(shared: &Shared, crashes: Vec<wire::ContentCrash>) {
    let crashes: Vec<ContentCrash> = crashes.into_iter().map(decode).collect();
    lock(&shared.poison).record_peer_update(shared.now(), &crashes);
}

fn encode(crash: ContentCrash) -> wire::ContentCrash {
    wire::ContentCrash {
        content: crash.content.0,
        host: crash.id.host,
        number: crash.id.number,
        age: crash.age,
        is_cleared: crash.is_cleared,
    }
}

fn decode(crash: wire::ContentCrash) -> ContentCrash {
    ContentCrash {
        content: Digest(crash.content),
        id: ContentCrashId {
            host: crash.host,
            number: crash.number,
        },
        age: crash.age,
        is_cleared: crash.is_cleared,
    }
}
