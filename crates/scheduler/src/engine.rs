//! One engine as this host knows it.

use std::collections::{BTreeSet, VecDeque};

use carawayseam_config::EngineSpec;
use carawayseam_types::{AttemptId, EngineId, Millis, Tier, ZoneId};

use crate::index::PoolIx;
use crate::limit::Limit;
use crate::outlier::Outlier;
use crate::speed::{Speeds, Work};
use crate::{EngineReport, EngineStanding};

/// Reports older than this say nothing about the load now.
const OLDEST_REPORT: Millis = Millis::from_secs(10);
/// An engine with more prefill than this ahead gets nothing more; its queue stays short.
const MAX_PREFILL_AHEAD_MS: f64 = 1_500.0;
/// Slots that only short requests get, as a part of the others.
const SHORT_SLOTS: f64 = 0.5;
/// Slots that must be free for a long request, as a part of all, for each tier above its own.
const QUIET_BY_RANK: f64 = 0.25;
const MAX_QUIET: f64 = 0.5;
/// How much slower an engine writes when all its slots are taken.
const FULL_LOAD_SLOWDOWN: f64 = 0.5;

/// How long a request is beside those that hold the slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Length {
    /// It leaves soon, and so slows the others for a moment only.
    Short,
    /// It holds its slot as long as the others do.
    Long,
}

/// One engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) name: EngineId,
    pub(crate) zone: ZoneId,
    pub(crate) pool: PoolIx,
    /// Whether the document names it.
    pub(crate) declared: bool,
    pub(crate) standing: EngineStanding,
    pub(crate) limit: Limit,
    pub(crate) speeds: Speeds,
    pub(crate) outlier: Outlier,
    /// This host's attempts on it.
    pub(crate) running: BTreeSet<AttemptId>,
    /// Those of them that hold their slots for long.
    pub(crate) long_running: u32,
    /// Requests of other hosts, by the last report.
    pub(crate) foreign: u32,
    /// Prompt tokens sent and not yet read.
    pub(crate) prefill_ahead: f64,
    /// Attempts on it whose content is under suspicion.
    pub(crate) suspects: u32,
    /// Start and end of attempts that ended lately, to compare reports with.
    ended: VecDeque<(Millis, Millis)>,
    reported_at: Millis,
    /// Whether a timer will look at the report's age.
    expiry_set: bool,
    /// Its place in the pool's list of engines with free slots.
    pub(crate) free_at: Option<usize>,
    /// What the pool's sums count for it.
    pub(crate) counted_slots: u32,
    pub(crate) counted_capacity: f64,
}

impl Engine {
    pub(crate) fn new(spec: &EngineSpec, pool: PoolIx, speeds: Speeds) -> Self {
        Self {
            name: spec.name.clone(),
            zone: spec.zone.clone(),
            pool,
            declared: true,
            standing: EngineStanding::Live,
            limit: Limit::new(spec.max_concurrency),
            speeds,
            outlier: Outlier::default(),
            running: BTreeSet::new(),
            long_running: 0,
            foreign: 0,
            prefill_ahead: 0.0,
            suspects: 0,
            ended: VecDeque::new(),
            reported_at: Millis::ZERO,
            expiry_set: false,
            free_at: None,
            counted_slots: 0,
            counted_capacity: 0.0,
        }
    }

    /// Whether it may get work at some time without a change of standing.
    pub(crate) fn is_live(&self) -> bool {
        self.declared && self.standing == EngineStanding::Live
    }

    /// Requests that it may run at once now.
    pub(crate) fn slots(&self) -> u32 {
        if self.is_live() && !self.outlier.is_paused() {
            self.limit.get()
        } else {
            0
        }
    }

    /// Whether a request may start; long ones leave some slots to short ones.
    ///
    /// Long ones of lower tiers start only in room that higher tiers do not need now: they would
    /// hold it for long, or be cancelled and lose their prefill.
    pub(crate) fn has_slot_for(&self, length: Length, tier: Tier) -> bool {
        let slots = self.slots();
        let is_quiet = tier == Tier::HIGHEST || f64::from(self.used()) < self.quiet_slots(tier);
        let with_short = slots + (f64::from(slots) * SHORT_SLOTS).ceil() as u32;
        let room = self.used() < with_short;
        match length {
            Length::Long => room && is_quiet && self.long_running + self.foreign < slots,
            Length::Short => room,
        }
    }

    /// The slots that long requests of a tier may find in use and start nonetheless.
    fn quiet_slots(&self, tier: Tier) -> f64 {
        let quiet = 1.0 - (QUIET_BY_RANK * f64::from(tier.0)).min(MAX_QUIET);
        f64::from(self.slots()) * quiet
    }

    /// Whether a long request of the tier could start if short ones left.
    pub(crate) fn is_held_by_short(&self, tier: Tier) -> bool {
        let long = f64::from(self.long_running + self.foreign);
        long < self.quiet_slots(tier)
    }

    /// The part of its slots in use; more than 1 with short requests.
    pub(crate) fn fill(&self) -> f64 {
        f64::from(self.used()) / f64::from(self.slots().max(1))
    }

    pub(crate) fn used(&self) -> u32 {
        self.running.len() as u32 + self.foreign
    }

    /// Whether too many prompt tokens wait for their turn already.
    pub(crate) fn is_prefill_full(&self) -> bool {
        !self.running.is_empty() && self.prefill_ahead / self.speeds.prefill.per_ms() > MAX_PREFILL_AHEAD_MS
    }

    /// The time until it would have done `work`, in milliseconds.
    pub(crate) fn millis_for(&self, now: Millis, work: Work, mean: &Speeds) -> f64 {
        let prefill = self.speeds.prefill.per_ms_towards(now, mean.prefill.per_ms());
        let decode = self.speeds.decode.per_ms_towards(now, mean.decode.per_ms());
        let load = f64::from(self.used()) / f64::from(self.limit.get().max(1));
        let slowdown = FULL_LOAD_SLOWDOWN.mul_add(load, 1.0);
        (self.prefill_ahead + work.prefill) / prefill + work.decode / decode * slowdown
    }

    pub(crate) fn on_end(&mut self, now: Millis, attempt: AttemptId, started: Millis) {
        self.running.remove(&attempt);
        if self.running.is_empty() {
            self.prefill_ahead = 0.0;
        }
        self.ended.push_back((started, now));
        while let Some((_, end)) = self.ended.front()
            && now.since(*end) > OLDEST_REPORT
        {
            self.ended.pop_front();
        }
    }

    /// Takes a report: what it shows beyond this host's own attempts is others' work.
    ///
    /// `own_now` are this host's running attempts that had started by the report's time.
    /// Gives the time to check whether the report is too old, if a timer is wanted for it.
    pub(crate) fn on_report(&mut self, now: Millis, report: &EngineReport, own_now: u32) -> Option<Millis> {
        if report.reported_at < self.reported_at || now.since(report.reported_at) > OLDEST_REPORT {
            return None;
        }
        self.reported_at = report.reported_at;
        let at = report.reported_at;
        let ended_since = self.ended.iter().filter(|(start, end)| *start <= at && at < *end);
        let own = own_now + ended_since.count() as u32;
        self.foreign = (report.running + report.waiting).saturating_sub(own);
        let wanted = self.foreign > 0 && !self.expiry_set;
        self.expiry_set |= wanted;
        wanted.then(|| now + OLDEST_REPORT)
    }

    /// Forgets others' work that was reported long ago.
    pub(crate) fn expire_report(&mut self, now: Millis) {
        self.expiry_set = false;
        if now.since(self.reported_at) >= OLDEST_REPORT {
            self.foreign = 0;
        }
    }
}
