//! Moves of a backend's traffic to another version, judged by all hosts together.
//!
//! A small share of the requests goes to the new version first. Each host counts what
//! became of them, and adds what its peers counted. Clear evidence against the version
//! takes it back at once. Shortly before the deadline a version with enough good answers gets
//! all traffic, and the move is finished; any other is taken back. A host that does
//! not hear the store sends nothing to a version that is not known to be finished.

use std::collections::{BTreeMap, HashMap};

use carawayseam_types::{BackendName, HostId, Millis, VersionId};

/// The share of requests that the new version gets until it is judged.
const CANARY_SHARE: f64 = 0.03;
/// All traffic goes to a good version this long before the deadline, so that the old one runs empty.
const SHIFT_BEFORE: Millis = Millis(1_600);
/// The outcome is written this long before the deadline.
const DECIDE_BEFORE: Millis = Millis(450);
/// Hosts write one after the other, this far apart, unless one before them did.
const WRITE_GAP: Millis = Millis(120);
/// Answers of the new version without which nothing is known of it.
const ENOUGH_ANSWERS: u32 = 12;
/// Bad answers of the new version without which nothing speaks against it.
const ENOUGH_BAD: u32 = 4;
/// How many times as often as the old version the new one may fail.
const TIMES_OLD: f64 = 2.0;
/// The share of bad answers that counts as chance.
const CHANCE_SHARE: f64 = 0.08;

/// Which versions may run a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum VersionRule {
    /// Each version.
    #[default]
    Any,
    /// This version only.
    Only(VersionId),
    /// Each version but this.
    Not(VersionId),
}

impl VersionRule {
    /// Whether a version may run the request.
    #[must_use]
    pub fn allows(&self, version: &VersionId) -> bool {
        match self {
            Self::Any => true,
            Self::Only(wanted) => wanted == version,
            Self::Not(unwanted) => unwanted != version,
        }
    }
}

/// An operator's order to move a backend's traffic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Tells one order from the next.
    pub revision: u64,
    /// The version to move to.
    pub to: VersionId,
    /// How long the move may take.
    pub within: Millis,
}

/// How a move stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum RolloutState {
    /// Under way.
    #[display("running")]
    Running,
    /// All traffic goes to the new version.
    #[display("complete")]
    Complete,
    /// All traffic goes to the old version.
    #[display("rolled back")]
    RolledBack,
}

/// Answers of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ResponseCounts {
    /// All answers.
    pub all: u32,
    /// Failures, and answers that came much too late.
    pub bad: u32,
}

impl ResponseCounts {
    fn add(&mut self, other: Self) {
        self.all += other.all;
        self.bad += other.bad;
    }

    fn bad_share(self) -> f64 {
        f64::from(self.bad) / f64::from(self.all.max(1))
    }
}

/// What a host counted of both versions during one move.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Evidence {
    /// The new version.
    pub new: ResponseCounts,
    /// The old versions.
    pub old: ResponseCounts,
}

impl Evidence {
    fn speaks_against(self) -> bool {
        let allowed = self.old.bad_share().mul_add(TIMES_OLD, CHANCE_SHARE);
        self.new.bad >= ENOUGH_BAD && self.new.bad_share() > allowed
    }
}

/// What hosts tell each other of a move.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutUpdate {
    /// The backend.
    pub backend: BackendName,
    /// The order's revision.
    pub revision: u64,
    /// The time since the order, as far as the host knows.
    pub elapsed: Millis,
    /// What the host counted.
    pub evidence: Evidence,
}

/// An outcome that is to be written, if the state's item still has the expected revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// The backend.
    pub backend: BackendName,
    /// The order that is answered.
    pub order: Order,
    /// How the move stands from now on.
    pub state: RolloutState,
    /// The revision of the state's item that is replaced; 0 for none.
    pub expected: u64,
}

#[derive(Debug)]
struct Rollout {
    order: Order,
    /// When the order was given, by this host's clock; an earlier time that a peer knows goes before.
    began: Millis,
    own: Evidence,
    peers: HashMap<HostId, Evidence>,
    state: Option<RolloutState>,
    asked_at: Option<(RolloutState, Millis)>,
}

impl Rollout {
    fn evidence(&self) -> Evidence {
        let mut sum = self.own;
        for peer in self.peers.values() {
            sum.new.add(peer.new);
            sum.old.add(peer.old);
        }
        sum
    }

    fn elapsed(&self, now: Millis) -> Millis {
        now.since(self.began)
    }

    fn is_past(&self, now: Millis, before: Millis) -> bool {
        // A very short move keeps half of its time for the new version's first answers.
        let before = before.min(Millis(self.order.within.0 / 2));
        self.elapsed(now) + before >= self.order.within
    }

    fn is_good(&self) -> bool {
        let evidence = self.evidence();
        evidence.new.all >= ENOUGH_ANSWERS && !evidence.speaks_against()
    }

    /// What should be written now, if anything.
    fn due(&self, now: Millis) -> Option<RolloutState> {
        let is_decided = matches!(
            self.state,
            Some(RolloutState::Complete | RolloutState::RolledBack)
        );
        match self.state {
            _ if is_decided => None,
            _ if self.evidence().speaks_against() => Some(RolloutState::RolledBack),
            _ if self.is_past(now, DECIDE_BEFORE) && self.is_good() => Some(RolloutState::Complete),
            _ if self.is_past(now, DECIDE_BEFORE) => Some(RolloutState::RolledBack),
            None => Some(RolloutState::Running),
            Some(_) => None,
        }
    }

    fn version_rule(&self, now: Millis, is_store_live: bool, draw: f64) -> VersionRule {
        let to = self.order.to.clone();
        match self.state {
            Some(RolloutState::Complete) => VersionRule::Only(to),
            Some(RolloutState::RolledBack) => VersionRule::Not(to),
            _ if !is_store_live || self.evidence().speaks_against() => VersionRule::Not(to),
            // An outcome that nobody could write by the deadline is a move taken back.
            _ if self.elapsed(now) >= self.order.within => VersionRule::Not(to),
            _ if self.is_past(now, SHIFT_BEFORE) && self.is_good() => VersionRule::Only(to),
            _ if draw < CANARY_SHARE => VersionRule::Only(to),
            _ => VersionRule::Not(to),
        }
    }
}

/// All moves that this host knows.
#[derive(Debug, Default)]
pub struct Rollouts {
    open: BTreeMap<BackendName, Rollout>,
    /// The revision of each backend's state item, which outlives the order that it answered.
    written: BTreeMap<BackendName, u64>,
}

impl Rollouts {
    /// Takes an order; one that is known changes nothing.
    pub fn apply_order(&mut self, now: Millis, backend: BackendName, order: Order) {
        let is_known = self
            .open
            .get(&backend)
            .is_some_and(|known| known.order.revision >= order.revision);
        if is_known {
            return;
        }
        let begun = Rollout {
            order,
            began: now,
            own: Evidence::default(),
            peers: HashMap::new(),
            state: None,
            asked_at: None,
        };
        self.open.insert(backend, begun);
    }

    /// Takes what the store holds of a move to a version.
    pub fn apply_state(&mut self, backend: &BackendName, to: &VersionId, state: RolloutState, revision: u64) {
        let written = self.written.entry(backend.clone()).or_default();
        if revision <= *written {
            return;
        }
        *written = revision;
        // A state that is older than the order answers an earlier one.
        let answered = self
            .open
            .get_mut(backend)
            .filter(|known| known.order.to == *to && revision > known.order.revision);
        if let Some(known) = answered {
            known.state = Some(state);
        }
    }

    /// Which versions may run a request; `draw` is a random number from 0 to 1.
    #[must_use]
    pub fn version_rule(
        &self,
        now: Millis,
        backend: &BackendName,
        is_store_live: bool,
        draw: f64,
    ) -> VersionRule {
        let known = self.open.get(backend);
        known.map_or(VersionRule::Any, |known| {
            known.version_rule(now, is_store_live, draw)
        })
    }

    /// Counts an answer of a version.
    pub fn record_response(&mut self, backend: &BackendName, version: &VersionId, is_bad: bool) {
        let Some(known) = self.open.get_mut(backend) else {
            return;
        };
        let answers = if known.order.to == *version {
            &mut known.own.new
        } else {
            &mut known.own.old
        };
        answers.add(ResponseCounts {
            all: 1,
            bad: u32::from(is_bad),
        });
    }

    /// Takes what a peer counted.
    pub fn record_peer_update(&mut self, now: Millis, host: &HostId, news: &RolloutUpdate) {
        let known = self.open.get_mut(&news.backend);
        if let Some(known) = known.filter(|known| known.order.revision == news.revision) {
            known.peers.insert(host.clone(), news.evidence);
            known.began = known.began.min(now - news.elapsed);
        }
    }

    /// What this host tells its peers.
    #[must_use]
    pub fn gossip_updates(&self, now: Millis) -> Vec<RolloutUpdate> {
        let open = self.open.iter().map(|(backend, known)| RolloutUpdate {
            backend: backend.clone(),
            revision: known.order.revision,
            elapsed: known.elapsed(now),
            evidence: known.own,
        });
        open.collect()
    }

    /// What this host should write now; `rank` is its place among the hosts.
    pub fn due_decisions(&mut self, now: Millis, rank: u32) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for (backend, known) in &mut self.open {
            let Some(due) = known.due(now) else {
                continue;
            };
            let since = match known.asked_at {
                Some((state, since)) if state == due => since,
                _ => {
                    known.asked_at = Some((due, now));
                    now
                }
            };
            if now.since(since) < WRITE_GAP.times(u64::from(rank)) {
                continue;
            }
            // The write is tried again if nothing is heard of it.
            known.asked_at = Some((due, now + WRITE_GAP.times(RETRY_GAPS)));
            decisions.push(Decision {
                backend: backend.clone(),
                order: known.order.clone(),
                state: due,
                expected: self.written.get(backend).copied().unwrap_or_default(),
            });
        }
        decisions
    }
}

/// Gaps between writes after which a write without an outcome is tried again.
const RETRY_GAPS: u64 = 3;
