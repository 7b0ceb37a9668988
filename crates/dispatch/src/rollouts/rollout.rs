//! One rollout: its order, its evidence and its state.

use std::collections::HashMap;

use carawayseam_types::{HostId, Millis, StoreRevision, VersionId};

use super::routes::RouteEvidence;
use super::{
    Evidence, JudgedRoute, Order, ResponseCounts, ResponseOutcome, ResponseSource, RolloutState, VersionRule,
};
use crate::pace::{PaceCounts, PaceEvidence, PaceRating, PaceReport};

/// Mean share of requests that the new version gets until the outcome is decided.
const CANARY_SHARE: f64 = 0.03;
/// The same of a backend with so few requests that this share yields fewer than `CANARY_RESPONSES`.
const MAX_CANARY_SHARE: f64 = 0.2;
/// Number of responses of the new version that are to be judged before the outcome is decided.
const CANARY_RESPONSES: f64 = 30.0;
/// Part of a rollout's time after which its responses tell how many there will be: streams are counted at their end.
const RATE_TIME_SHARE: f64 = 0.25;
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
    pub(super) routes: RouteEvidence,
    pub(super) state: Option<RolloutState>,
    /// Whether the store may have lost the decided state.
    pub(super) is_state_lost: bool,
    /// The state that is due to be written, and the time from which this host's write delay counts.
    pub(super) due_write: Option<(RolloutState, Millis)>,
}

impl Rollout {
    pub(super) fn new(now: Millis, order: Order, routes: RouteEvidence) -> Self {
        Self {
            order,
            started_at: now,
            local: Evidence::default(),
            peers: HashMap::new(),
            local_pace: PaceReport::default(),
            peer_pace: HashMap::new(),
            pace: PaceEvidence::default(),
            routes,
            state: None,
            is_state_lost: false,
            due_write: None,
        }
    }

    /// Returns whether a version is the one that is rolled out.
    pub(super) fn is_new(&self, version: &VersionId) -> bool {
        self.order.to == *version
    }

    /// Returns whether a version is the one that serves after the decision.
    pub(super) fn is_current(&self, version: &VersionId) -> bool {
        self.is_new(version) == self.is_complete()
    }

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
        self.evidence().new.all.max(self.routes.new_responses()) >= MIN_RESPONSES
            && !self.shows_regression()
            && self.pace.allows_completion()
            && self.routes.allows_completion()
    }

    /// Returns whether the new version fails more often or is slower than the old one.
    pub(super) fn shows_regression(&self) -> bool {
        self.routes.finding().is_some()
            || self.evidence().shows_regression(self.routes.old_bad_share())
            || self.pace.shows_regression()
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
    pub(super) fn count_response(&mut self, now: Millis, source: &ResponseSource, outcome: ResponseOutcome) {
        let is_new = self.is_new(&source.version);
        let counts = if is_new {
            &mut self.local.new
        } else {
            &mut self.local.old
        };
        counts.add(ResponseCounts {
            all: 1,
            bad: u32::from(outcome != ResponseOutcome::Good),
        });
        self.routes.record_response(now, source, outcome, is_new);
    }

    /// Counts how slow a response of a version was on this host.
    pub(super) fn count_pace(&mut self, source: &ResponseSource, rating: PaceRating) {
        let earlier = self.local_pace;
        let is_new = self.is_new(&source.version);
        let counts: &mut PaceCounts = if is_new {
            &mut self.local_pace.new
        } else {
            &mut self.local_pace.old
        };
        counts.record(rating);
        self.pace.add(self.local_pace, earlier);
        self.routes.record_pace(source, rating, is_new);
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

    /// Returns which versions may run a request of a route; `draw` is a random number from 0 to 1.
    pub(super) fn version_rule(
        &self,
        now: Millis,
        route: &JudgedRoute,
        is_store_live: bool,
        draw: f64,
    ) -> VersionRule {
        let to = self.order.to.clone();
        match self.settled_rule(now, is_store_live) {
            Some(rule) => rule,
            None if draw < self.routes.canary_share(route, self.mean_canary_share(now)) => {
                VersionRule::Only(to)
            }
            None => VersionRule::Not(to),
        }
    }

    /// Returns the share of all requests that the new version gets.
    fn mean_canary_share(&self, now: Millis) -> f64 {
        let elapsed_share = self.elapsed(now).as_secs_f64() / self.order.within.as_secs_f64();
        if elapsed_share < RATE_TIME_SHARE {
            return CANARY_SHARE;
        }
        let expected = self.routes.responses() as f64 / elapsed_share;
        (CANARY_RESPONSES / expected.max(1.0)).clamp(CANARY_SHARE, MAX_CANARY_SHARE)
    }

    /// Returns the version rule of all requests, or `None` while a canary share has another one.
    pub(super) fn settled_rule(&self, now: Millis, is_store_live: bool) -> Option<VersionRule> {
        let to = self.order.to.clone();
        match self.state {
            Some(RolloutState::Complete) => Some(VersionRule::Only(to)),
            Some(RolloutState::RolledBack) => Some(VersionRule::Not(to)),
            _ if !is_store_live || self.shows_regression() => Some(VersionRule::Not(to)),
            // If no host could write an outcome by the deadline, the rollout counts as rolled back.
            _ if self.elapsed(now) >= self.order.within => Some(VersionRule::Not(to)),
            _ if self.is_within_lead(now, FULL_SHIFT_LEAD) && self.is_healthy() => {
                Some(VersionRule::Only(to))
            }
            _ => None,
        }
    }
}
