//! One rollout: its order, its evidence and its state.

use std::collections::HashMap;

use carawayseam_types::{HostId, Millis, StoreRevision, VersionId};

use super::{Evidence, Order, RolloutState, VersionRule};
use crate::pace::{PaceCounts, PaceEvidence, PaceRating, PaceReport};

/// Share of requests that the new version gets until the outcome is decided.
const CANARY_SHARE: f64 = 0.03;
/// Time before the deadline at which a healthy version gets all traffic, so that the old version drains.
const FULL_SHIFT_LEAD: Millis = Millis(1_600);
/// Time before the deadline at which the outcome is written.
const DECISION_LEAD: Millis = Millis(450);
/// Minimum number of responses of the new version for it to count as healthy.
const MIN_RESPONSES: u32 = 12;

#[derive(Debug)]
pub(super) struct Rollout {
    pub(super) order: Order,
    /// When the order was given, by this host's clock; an earlier time reported by a peer takes precedence.
    pub(super) started_at: Millis,
    pub(super) local: Evidence,
    pub(super) peers: HashMap<HostId, Evidence>,
    pub(super) local_pace: PaceReport,
    /// The last report of each peer that `pace` contains.
    pub(super) peer_pace: HashMap<HostId, PaceReport>,
    pub(super) pace: PaceEvidence,
    pub(super) state: Option<RolloutState>,
    /// Whether the store may have lost the decided state.
    pub(super) is_state_lost: bool,
    /// The state that is due to be written, and the time from which this host's write delay counts.
    pub(super) due_write: Option<(RolloutState, Millis)>,
}

impl Rollout {
    fn evidence(&self) -> Evidence {
        let mut sum = self.local;
        for peer in self.peers.values() {
            sum.new.add(peer.new);
            sum.old.add(peer.old);
        }
        sum
    }

    pub(super) fn elapsed(&self, now: Millis) -> Millis {
        now.since(self.started_at)
    }

    fn is_within_lead(&self, now: Millis, lead: Millis) -> bool {
        // In a very short rollout, half of the time is left for the canary responses.
        let lead = lead.min(Millis(self.order.within.0 / 2));
        self.elapsed(now) + lead >= self.order.within
    }

    fn is_healthy(&self) -> bool {
        self.evidence().new.all >= MIN_RESPONSES && !self.shows_regression() && self.pace.allows_completion()
    }

    /// Returns whether the new version fails more often or is slower than the old one.
    pub(super) fn shows_regression(&self) -> bool {
        self.evidence().shows_regression() || self.pace.shows_regression()
    }

    pub(super) const fn is_decided(&self) -> bool {
        matches!(
            self.state,
            Some(RolloutState::Complete | RolloutState::RolledBack)
        )
    }

    /// Returns whether an order is this rollout's own, written again after the store was restored.
    pub(super) fn is_written_again(&self, order: &Order) -> bool {
        let Order { revision, to, within } = &self.order;
        revision.era < order.revision.era && *to == order.to && *within == order.within
    }

    /// Returns whether an order is one from before this rollout, which the copy of a restored store contains.
    ///
    /// A copy holds only revisions that were given out before it was made, so what it holds of an earlier
    /// order has at most the number of the order that this one replaced.
    pub(super) fn is_older_copy(&self, order: &Order, replaced: Option<StoreRevision>) -> bool {
        self.order.revision.era < order.revision.era
            && replaced.is_some_and(|replaced| order.revision.number <= replaced.number)
    }

    /// Lets the state be written again unless it is read from the store.
    pub(super) fn expect_lost_state(&mut self) {
        if self.is_decided() {
            self.is_state_lost = true;
        } else {
            self.state = None;
        }
    }

    pub(super) const fn is_complete(&self) -> bool {
        matches!(self.state, Some(RolloutState::Complete))
    }

    /// Counts a response of a version on this host.
    pub(super) fn count_pace(&mut self, version: &VersionId, rating: PaceRating) {
        let earlier = self.local_pace;
        let counts: &mut PaceCounts = if self.order.to == *version {
            &mut self.local_pace.new
        } else {
            &mut self.local_pace.old
        };
        counts.record(rating);
        self.pace.add(self.local_pace, earlier);
    }

    /// Returns the state that should be written now, if any.
    pub(super) fn due_state(&self, now: Millis) -> Option<RolloutState> {
        match self.state {
            state if self.is_decided() => state.filter(|_| self.is_state_lost),
            _ if self.shows_regression() => Some(RolloutState::RolledBack),
            _ if self.is_within_lead(now, DECISION_LEAD) && self.is_healthy() => Some(RolloutState::Complete),
            _ if self.is_within_lead(now, DECISION_LEAD) => Some(RolloutState::RolledBack),
            None => Some(RolloutState::Running),
            Some(_) => None,
        }
    }

    pub(super) fn version_rule(&self, now: Millis, is_store_live: bool, draw: f64) -> VersionRule {
        let to = self.order.to.clone();
        match self.state {
            Some(RolloutState::Complete) => VersionRule::Only(to),
            Some(RolloutState::RolledBack) => VersionRule::Not(to),
            _ if !is_store_live || self.shows_regression() => VersionRule::Not(to),
            // If no host could write an outcome by the deadline, the rollout counts as rolled back.
            _ if self.elapsed(now) >= self.order.within => VersionRule::Not(to),
            _ if self.is_within_lead(now, FULL_SHIFT_LEAD) && self.is_healthy() => VersionRule::Only(to),
            _ if draw < CANARY_SHARE => VersionRule::Only(to),
            _ => VersionRule::Not(to),
        }
    }

    /// Returns the version rule of all requests, or `None` while a canary share has another one.
    pub(super) fn settled_rule(&self, now: Millis, is_store_live: bool) -> Option<VersionRule> {
        let rule = |draw| self.version_rule(now, is_store_live, draw);
        let canary = rule(0.0);
        (canary == rule(1.0)).then_some(canary)
    }
}
