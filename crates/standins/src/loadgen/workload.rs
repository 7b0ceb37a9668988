//! The requests of a load: seeded, open loop, lengths a hundredfold apart.

use std::str::FromStr;

use carawayseam_config::{BackendKind, OrganisationSpec, RouteSpec};
use carawayseam_types::{EnvironmentId, Millis, OrganisationId, ParseError, RouteName, Tier, TierName};
use compact_str::{CompactString, format_compact};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::answer::LENGTH_MARK;

/// How many times the longest prompt and answer are longer than the shortest.
const LENGTH_RANGE: f64 = 100.0;
const SHORTEST_PROMPT_BYTES: f64 = 80.0;
/// Histories that the prompts of one organisation begin with.
const HISTORIES: u32 = 8;
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// A route and its weight in the mix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteShare {
    /// The route.
    pub route: RouteName,
    /// Its weight beside the others.
    pub weight: u32,
}

impl RouteShare {
    /// Gives `route` a weight.
    #[must_use]
    pub const fn new(route: RouteName, weight: u32) -> Self {
        Self { route, weight }
    }
}

impl FromStr for RouteShare {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        let wrong = || ParseError::new(text, "route share", "ROUTE=WEIGHT with a weight of at least 1");
        let (route, weight) = text.split_once('=').ok_or_else(wrong)?;
        let weight = weight.parse().ok().filter(|weight| *weight > 0);
        Ok(Self::new(route.parse()?, weight.ok_or_else(wrong)?))
    }
}

/// What is sent, how fast and for how long.
#[derive(Debug, Clone)]
pub struct Mix {
    /// The environment.
    pub environment: EnvironmentId,
    /// The names of the tiers, highest first.
    pub tiers: Vec<TierName>,
    /// The organisations; their shares are their weights.
    pub organisations: Vec<OrganisationSpec>,
    /// The routes with their kinds and weights.
    pub routes: Vec<(RouteSpec, BackendKind, u32)>,
    /// Requests a second, on average.
    pub rate: f64,
    /// How long requests are sent.
    pub duration: Millis,
    /// The deadline of each request; the route's longest if none.
    pub deadline: Option<Millis>,
    /// The seed.
    pub seed: u64,
}

/// One request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Shot {
    /// When it is sent, from the start on.
    pub at: Millis,
    /// The organisation.
    pub organisation: OrganisationId,
    /// The tier's rank.
    pub tier: Tier,
    /// The tier's name.
    pub tier_name: TierName,
    /// The route.
    pub route: RouteName,
    /// The deadline.
    pub deadline: Millis,
    /// The caller's id for it.
    pub request_id: CompactString,
    /// What is asked.
    pub ask: Ask,
}

/// What a request asks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ask {
    /// A streamed answer of a model.
    Generate {
        /// The whole prompt.
        prompt: String,
        /// The longest answer allowed by the route.
        max_output: u32,
    },
    /// A call of a plain service.
    Call {
        /// The operation that the service sees.
        operation: String,
        /// The body, which the stand-in echoes.
        body: serde_json::Value,
    },
}

/// Draws the requests of a mix; the same seed draws the same ones.
#[derive(Debug)]
pub struct Workload {
    mix: Mix,
    rng: SmallRng,
    at: f64,
    count: u64,
}

impl Workload {
    /// Begins at time 0.
    #[must_use]
    pub fn new(mix: Mix) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(mix.seed),
            mix,
            at: 0.0,
            count: 0,
        }
    }

    fn draw(&mut self) -> Shot {
        let at = Millis(self.at as u64);
        let (organisation, tier) = self.draw_caller();
        let (route, kind) = self.draw_route();
        let ask = match kind {
            BackendKind::Model => self.draw_prompt(&organisation, &route),
            BackendKind::Service => self.draw_call(&route),
        };
        Shot {
            at,
            tier_name: self.mix.tiers[usize::from(tier.0)].clone(),
            organisation,
            tier,
            deadline: self.mix.deadline.unwrap_or(route.max_deadline),
            request_id: format_compact!("load-{}-{}", self.mix.seed, self.count),
            route: route.name,
            ask,
        }
    }

    fn draw_caller(&mut self) -> (OrganisationId, Tier) {
        let weights = self.mix.organisations.iter().map(|org| org.share);
        let at = pick(&mut self.rng, weights);
        let org = &self.mix.organisations[at];
        let tier = org.tiers[self.rng.random_range(0..org.tiers.len())];
        (org.name.clone(), tier)
    }

    fn draw_route(&mut self) -> (RouteSpec, BackendKind) {
        let weights = self.mix.routes.iter().map(|(_, _, weight)| *weight);
        let at = pick(&mut self.rng, weights);
        let (route, kind, _) = &self.mix.routes[at];
        (route.clone(), *kind)
    }

    /// A prompt that begins with one of the organisation's histories, as riders' prompts do.
    fn draw_prompt(&mut self, organisation: &OrganisationId, route: &RouteSpec) -> Ask {
        let bytes = (SHORTEST_PROMPT_BYTES * self.stretch()) as usize;
        let history = self.rng.random_range(0..HISTORIES);
        let sentence = format!("history {history} of {organisation}; ");
        let mut prompt = sentence.repeat(bytes.div_ceil(sentence.len()));
        let longest = f64::from(route.max_output.0);
        let tokens = (longest / LENGTH_RANGE * self.stretch()).ceil().max(1.0) as u32;
        let ending = format!("request {} {LENGTH_MARK}{tokens}", self.count);
        prompt.push_str(&ending);
        Ask::Generate {
            prompt,
            max_output: route.max_output.0,
        }
    }

    fn draw_call(&mut self, route: &RouteSpec) -> Ask {
        let item = self.rng.random_range(0..u32::MAX);
        Ask::Call {
            operation: route.operation.clone(),
            body: serde_json::json!({ "item": item, "number": self.count }),
        }
    }

    /// A factor from 1 to the length range whose logarithm is spread evenly.
    fn stretch(&mut self) -> f64 {
        LENGTH_RANGE.powf(self.rng.random_range(0.0..1.0))
    }
}

impl Iterator for Workload {
    type Item = Shot;

    fn next(&mut self) -> Option<Shot> {
        let draw: f64 = self.rng.random_range(0.0..1.0);
        self.at -= (1.0 - draw).ln() * MILLIS_PER_SECOND / self.mix.rate;
        if self.at >= self.mix.duration.0 as f64 {
            return None;
        }
        self.count += 1;
        Some(self.draw())
    }
}

/// Picks a place by weight.
fn pick(rng: &mut SmallRng, weights: impl Iterator<Item = u32> + Clone) -> usize {
    let whole: u32 = weights.clone().sum();
    let mut draw = rng.random_range(0..whole.max(1));
    for (at, weight) in weights.enumerate() {
        if draw < weight {
            return at;
        }
        draw -= weight;
    }
    0
}
