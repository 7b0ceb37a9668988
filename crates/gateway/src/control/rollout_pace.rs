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

/// Applies the counts that a peer announced.
pub(super) fn apply_counts(shared: &Shared, host: &HostId, counts: &[PaceCounts]) {
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
