//! Shares of organisations in the servers of a backend, and which organisation loses requests first when the servers
//! cannot answer all in time.
//!
//! An organisation's recent work is a decaying sum of the estimated durations of its requests that were started. Divided
//! by the organisation's weight, and with the work of its waiting requests added, it decides between requests of one
//! tier. The weights come from the quotas, so no host has to tell another anything.

use std::collections::{BinaryHeap, HashMap};

use carawayseam_types::{BackendName, Millis, OrganisationId};
use serde::Serialize;

use crate::catalog::Organisation;

/// Time after which past work counts half.
///
/// Bursts last 5 to 20 s. A much longer time would punish an organisation after its burst; a much shorter one would
/// count little more than the requests that run.
const HALF_LIFE_MS: f64 = 3_000.0;
/// Lower and upper bound of a quota's rate as a weight, in tokens per second, since work is divided by weights.
const WEIGHT_BOUNDS: (f64, f64) = (1.0, 1e12);
/// Number of organisations with quotas from which on shares are enforced.
const MIN_QUOTAS: usize = 2;
/// Units of relative work per millisecond, so that it can be ordered as an integer.
const UNITS_PER_MS: f64 = 1_000.0;

/// The weights of the organisations in one configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ShareWeights {
    /// The weight of each organisation, relative to the mean of those with a quota.
    weights: HashMap<OrganisationId, f64>,
    /// Number of organisations with a quota.
    quotas: usize,
}

impl ShareWeights {
    /// Takes the weights from the quotas of organisations.
    ///
    /// An organisation without a quota has the mean weight of those with one.
    #[must_use]
    pub fn new(organisations: &[Organisation]) -> Self {
        let (min, max) = WEIGHT_BOUNDS;
        let rate = |organisation: &Organisation| {
            let quota = organisation.quota?;
            Some(quota.per_second.max(min).min(max))
        };
        let rates = organisations.iter().filter_map(rate);
        let quotas = rates.clone().count();
        let mean = rates.sum::<f64>() / quotas.max(1) as f64;
        let weights = organisations.iter().map(|organisation| {
            let weight = rate(organisation).map_or(1.0, |rate| rate / mean);
            (organisation.name.clone(), weight)
        });
        Self {
            weights: weights.collect(),
            quotas,
        }
    }

    /// Returns whether shares are enforced.
    #[must_use]
    pub const fn is_enabled(&self) -> bool {
        self.quotas >= MIN_QUOTAS
    }

    /// Returns the listed organisation of this name; requests of all others count as of one organisation, `None`.
    pub(crate) fn listed<'a>(&self, organisation: Option<&'a OrganisationId>) -> Option<&'a OrganisationId> {
        organisation.filter(|organisation| self.weights.contains_key(*organisation))
    }

    /// Returns the weight of a listed organisation; requests without one have the mean weight.
    fn weight(&self, organisation: Option<&OrganisationId>) -> f64 {
        let weight = organisation.and_then(|organisation| self.weights.get(organisation));
        weight.copied().unwrap_or(1.0)
    }
}

/// A sum that decays with time.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingSum {
    value: f64,
    at: Millis,
}

impl DecayingSum {
    fn get(self, now: Millis) -> f64 {
        self.value * decay(now.since(self.at))
    }

    /// Adds to the sum, which stays at least zero.
    fn add(&mut self, now: Millis, value: f64) {
        self.value = (self.get(now) + value).max(0.0);
        self.at = self.at.max(now);
    }
}

/// Returns the fraction of past work that still counts after some time.
fn decay(elapsed: Millis) -> f64 {
    0.5_f64.powf(elapsed.0 as f64 / HALF_LIFE_MS)
}

/// The work counted for a request that was started.
#[derive(Debug)]
pub(crate) struct CountedWork {
    organisation: Option<OrganisationId>,
    ms: f64,
    at: Millis,
}

/// The past work that organisations had done by the servers of one backend, in milliseconds of server time.
#[derive(Debug, Default)]
pub(crate) struct RecentWork {
    listed: HashMap<OrganisationId, DecayingSum>,
    /// The work of requests without a listed organisation.
    others: DecayingSum,
}

impl RecentWork {
    /// Counts the work of a request that is started.
    pub(crate) fn record_start(
        &mut self,
        now: Millis,
        weights: &ShareWeights,
        organisation: Option<&OrganisationId>,
        work: Millis,
    ) -> Option<CountedWork> {
        if !weights.is_enabled() {
            return None;
        }
        let organisation = weights.listed(organisation).cloned();
        let ms = work.0 as f64;
        let sum = match &organisation {
            Some(organisation) => self.listed.entry(organisation.clone()).or_default(),
            None => &mut self.others,
        };
        sum.add(now, ms);
        let at = now;
        Some(CountedWork { organisation, ms, at })
    }

    /// Takes back what a request that ended early did not use, as far as it still counts.
    ///
    /// `used` is the time for which a server worked on it.
    pub(crate) fn give_back(&mut self, now: Millis, counted: &CountedWork, used: Millis) {
        let unused = (counted.ms - used.0 as f64).max(0.0) * decay(now.since(counted.at));
        let sum = match &counted.organisation {
            Some(organisation) => self.listed.get_mut(organisation),
            None => Some(&mut self.others),
        };
        if let Some(sum) = sum {
            sum.add(now, -unused);
        }
    }

    /// Drops the work of organisations that are not listed any more, and all of it if shares are not enforced.
    pub(crate) fn retain_listed(&mut self, weights: &ShareWeights) {
        if !weights.is_enabled() {
            *self = Self::default();
        }
        self.listed
            .retain(|organisation, _| weights.weights.contains_key(organisation));
    }

    /// Returns an organisation's work relative to its weight.
    fn relative_ms(&self, now: Millis, weights: &ShareWeights, organisation: Option<&OrganisationId>) -> f64 {
        let sum = match organisation {
            Some(organisation) => self.listed.get(organisation).copied().unwrap_or_default(),
            None => self.others,
        };
        sum.get(now) / weights.weight(organisation)
    }

    /// Returns the shares of the organisations whose work is known, by name.
    pub(crate) fn dump(&self, now: Millis, backend: &BackendName, weights: &ShareWeights) -> Vec<ShareDump> {
        let sums = self.listed.values().chain(std::iter::once(&self.others));
        let total_ms: f64 = sums.map(|sum| sum.get(now)).sum();
        let total_weight: f64 = weights.weights.values().sum();
        let mut shares: Vec<ShareDump> = self
            .listed
            .iter()
            .map(|(organisation, sum)| ShareDump {
                backend: backend.clone(),
                organisation: organisation.clone(),
                weight_share: weights.weight(Some(organisation)) / total_weight,
                work_share: sum.get(now) / total_ms.max(f64::MIN_POSITIVE),
                work_ms: sum.get(now),
            })
            .collect();
        shares.sort_by(|a, b| a.organisation.cmp(&b.organisation));
        shares
    }
}

/// An organisation's share in the servers of a backend at this host, as shown to operators.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ShareDump {
    /// The backend.
    pub backend: BackendName,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The share that its weight entitles it to.
    pub weight_share: f64,
    /// Its share of the recent work.
    pub work_share: f64,
    /// Its recent work, in milliseconds of server time.
    pub work_ms: f64,
}

/// A waiting request that may have to give way to one of an organisation with less work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Candidate {
    /// Its organisation's relative work ahead of it, in units of `UNITS_PER_MS`: past work and that of the
    /// organisation's waiting requests which start earlier.
    ahead: u64,
    /// Index of the request in the queue.
    pub(crate) ix: usize,
    /// The expected duration of the request.
    pub(crate) work: Millis,
    /// Index of its organisation in `VictimSelection::organisations`.
    organisation: usize,
}

/// An organisation in one pass over the waiting requests.
#[derive(Debug)]
struct Share {
    weight: f64,
    /// Past work and that of the requests kept so far, divided by the weight.
    relative_ms: f64,
}

/// Selects the requests that give way, in one pass over the waiting requests of a backend in their order.
///
/// Of one organisation, the request that starts last has the most work ahead of it and gives way first.
#[derive(Debug)]
pub(crate) struct VictimSelection<'a> {
    now: Millis,
    weights: &'a ShareWeights,
    recent: &'a RecentWork,
    /// Index of each organisation met so far; those that are not listed have the same.
    indices: HashMap<Option<&'a OrganisationId>, usize>,
    organisations: Vec<Share>,
    candidates: BinaryHeap<Candidate>,
    /// Number of candidates that may still be put back. This bounds the pass: each request is taken out for good at
    /// most once.
    put_backs_left: usize,
}

impl<'a> VictimSelection<'a> {
    pub(crate) fn new(
        now: Millis,
        weights: &'a ShareWeights,
        recent: &'a RecentWork,
        waiting: usize,
    ) -> Self {
        Self {
            now,
            weights,
            recent,
            indices: HashMap::new(),
            organisations: Vec::new(),
            candidates: BinaryHeap::new(),
            put_backs_left: waiting,
        }
    }

    /// Begins with the requests of a lower tier, which take no place from those before.
    pub(crate) fn enter_tier(&mut self) {
        self.candidates.clear();
    }

    /// Returns a request as a candidate, with the work ahead of it at this point of the pass.
    pub(crate) fn candidate(
        &mut self,
        ix: usize,
        organisation: Option<&'a OrganisationId>,
        work: Millis,
    ) -> Candidate {
        let organisation = self.index(organisation);
        let ahead = (self.organisations[organisation].relative_ms * UNITS_PER_MS) as u64;
        Candidate {
            ahead,
            ix,
            work,
            organisation,
        }
    }

    /// Records that a request keeps its turn.
    ///
    /// `delays_others` is false if a slot is free for it, so that no other would start earlier without it.
    pub(crate) fn keep(&mut self, candidate: Candidate, delays_others: bool) {
        self.add_work(&candidate, 1.0);
        if delays_others {
            self.candidates.push(candidate);
        }
    }

    /// Takes out the candidate with the most work ahead of it, if that is more than the work ahead of `late`.
    pub(crate) fn take_above(&mut self, late: &Candidate) -> Option<Candidate> {
        if self.put_backs_left == 0 || self.candidates.peek()?.ahead <= late.ahead {
            return None;
        }
        let candidate = self.candidates.pop()?;
        self.add_work(&candidate, -1.0);
        Some(candidate)
    }

    /// Puts back a candidate that need not give way.
    pub(crate) fn put_back(&mut self, candidate: Candidate) {
        self.put_backs_left = self.put_backs_left.saturating_sub(1);
        self.add_work(&candidate, 1.0);
        self.candidates.push(candidate);
    }

    fn add_work(&mut self, candidate: &Candidate, sign: f64) {
        let share = &mut self.organisations[candidate.organisation];
        share.relative_ms += sign * candidate.work.0.max(1) as f64 / share.weight;
    }

    fn index(&mut self, organisation: Option<&'a OrganisationId>) -> usize {
        if let Some(index) = self.indices.get(&organisation) {
            return *index;
        }
        let listed = self.weights.listed(organisation);
        let index = if listed == organisation {
            self.organisations.push(Share {
                weight: self.weights.weight(listed),
                relative_ms: self.recent.relative_ms(self.now, self.weights, listed),
            });
            self.organisations.len() - 1
        } else {
            self.index(None)
        };
        self.indices.insert(organisation, index);
        index
    }
}
