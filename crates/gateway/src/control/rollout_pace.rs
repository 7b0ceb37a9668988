//! Exchanges the counts of slow responses during rollouts with the other hosts.

use carawayseam_dispatch::pace::{self, PaceReport};
use carawayseam_dispatch::rollouts::PaceUpdate;
use carawayseam_types::HostId;
use carawayseam_wire::{PaceCounts, PeerMessage};

use crate::shared::{Shared, lock};

/// Returns the announcement of this host's counts, or `None` if no rollout is undecided.
pub(super) fn announcement(shared: &Shared) -> Option<PeerMessage> {
    let updates = lock(&shared.rollouts).pace_updates();
    (!updates.is_empty()).then(|| PeerMessage::RolloutPace {
        host: shared.settings.host.clone(),
        counts: updates.into_iter().map(encode_counts).collect(),
    })
}

/// The number of peers whose counts are passed on in one gossip round.
const MAX_FORWARDED_PEERS: usize = 2;

/// Returns the counts of this host and of some peers, to be passed on in a gossip round.
pub(super) fn forwarded(shared: &Shared) -> Vec<PeerMessage> {
    let updates = lock(&shared.rollouts).forwarded_pace(MAX_FORWARDED_PEERS);
    let messages = updates
        .into_iter()
        .map(|(host, update)| PeerMessage::RolloutPace {
            host,
            counts: vec![encode_counts(update)],
        });
    messages.collect()
}

/// Applies the counts that a peer announced.
pub(super) fn apply_counts(shared: &Shared, host: &HostId, counts: &[PaceCounts]) {
    if *host == shared.settings.host {
        // This host's own counts come back in gossip rounds.
        return;
    }
    let mut rollouts = lock(&shared.rollouts);
    for counts in counts {
        rollouts.record_peer_pace(host, &decode_counts(counts));
    }
}

fn encode_counts(update: PaceUpdate) -> PaceCounts {
    let PaceReport { new, old } = update.report;
    PaceCounts {
        backend: update.backend,
        revision: update.revision,
        new_all: new.all,
        new_slow: new.slow,
        new_very_slow: new.very_slow,
        old_all: old.all,
        old_slow: old.slow,
        old_very_slow: old.very_slow,
    }
}

fn decode_counts(counts: &PaceCounts) -> PaceUpdate {
    let pace_counts = |all, slow, very_slow| pace::PaceCounts { all, slow, very_slow };
    PaceUpdate {
        backend: counts.backend.clone(),
        revision: counts.revision,
        report: PaceReport {
            new: pace_counts(counts.new_all, counts.new_slow, counts.new_very_slow),
            old: pace_counts(counts.old_all, counts.old_slow, counts.old_very_slow),
        },
    }
}
