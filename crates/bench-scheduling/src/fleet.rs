//! Fleets of any size, for the cost of a decision and of coordination.

use std::sync::Arc;

use carawayseam_config::{Backend, BackendKind, Document, EngineSpec, Limits, OrganisationSpec, RouteSpec};
use carawayseam_scheduler::{EngineReport, Event, Member, Origin, Request};
use carawayseam_types::{
    BackendName, Bytes, Digest, Millis, ParseError, Permille, RequestSeq, Tier, Tokens, ZoneId,
};
use rand::RngExt;
use rand::rngs::StdRng;

const TIERS: [&str; 3] = ["high", "middle", "low"];
const MAX_CONCURRENCY: u32 = 32;
const PROMPT: Tokens = Tokens(600);
const PREFIX: Tokens = Tokens(200);
const MAX_OUTPUT: Tokens = Tokens(300);
const DEADLINE: Millis = Millis::from_secs(60);
const PREFIXES: u128 = 64;

/// How large a fleet is.
#[derive(Debug, Clone, Copy)]
pub struct FleetSize {
    /// Model engines.
    pub engines: usize,
    /// Entry hosts.
    pub hosts: usize,
    /// Availability zones.
    pub zones: usize,
    /// Models.
    pub models: usize,
    /// Organisations.
    pub organisations: usize,
    /// Requests a second over all hosts.
    pub requests_per_s: u64,
}

impl FleetSize {
    /// Today's size, a tenth of the letter's, and the letter's.
    pub const ALL: [Self; 3] = [
        Self {
            engines: 12,
            hosts: 5,
            zones: 3,
            models: 1,
            organisations: 5,
            requests_per_s: 90,
        },
        Self {
            engines: 330,
            hosts: 42,
            zones: 7,
            models: 10,
            organisations: 320,
            requests_per_s: 2_400,
        },
        Self {
            engines: 3_300,
            hosts: 420,
            zones: 7,
            models: 10,
            organisations: 3_200,
            requests_per_s: 24_000,
        },
    ];
}

/// A fleet's document and entry hosts.
#[derive(Debug, Clone)]
pub struct Fleet {
    /// Its size.
    pub size: FleetSize,
    /// Its document.
    pub document: Arc<Document>,
    /// Its entry hosts.
    pub members: Vec<Member>,
}

impl Fleet {
    /// Builds a fleet.
    ///
    /// # Errors
    ///
    /// When a generated name is not valid, which is a bug.
    pub fn new(size: FleetSize) -> Result<Self, ParseError> {
        let zones: Result<Vec<ZoneId>, ParseError> = (0..size.zones).map(zone).collect();
        let zones = zones?;
        let member = |at: usize| {
            Ok(Member {
                host: format!("entry-{at}").parse()?,
                zone: zones[at % size.zones].clone(),
            })
        };
        let members: Result<Vec<Member>, ParseError> = (0..size.hosts).map(member).collect();
        Ok(Self {
            size,
            members: members?,
            document: Arc::new(document(size, zones)?),
        })
    }

    /// What a host hears at its start: the document, the hosts and an idle report of each engine.
    #[must_use]
    pub fn start_events(&self, members: &[Member]) -> Vec<Event> {
        let report = |spec: &EngineSpec| {
            Event::Load(EngineReport {
                engine: spec.name.clone(),
                reported_at: Millis::ZERO,
                running: 0,
                waiting: 0,
                waiting_prompt: Tokens(0),
            })
        };
        let mut events = vec![
            Event::Configure(Arc::clone(&self.document)),
            Event::Members(members.to_vec()),
        ];
        events.extend(self.document.engines.iter().map(report));
        events
    }

    /// A request of a random organisation, tier and model.
    pub fn request(&self, seq: u64, now: Millis, rng: &mut StdRng) -> Request {
        let model = rng.random_range(0..self.size.models);
        let backend = &self.document.backends[model];
        let organisation = rng.random_range(0..self.size.organisations);
        Request {
            seq: RequestSeq(seq),
            origin: Origin::Caller,
            organisation: self.document.organisations[organisation].name.clone(),
            tier: Tier(rng.random_range(0..TIERS.len() as u8)),
            route: self.document.routes[model].name.clone(),
            backend: backend.name.clone(),
            version: backend.version.clone(),
            content: Digest(rng.random()),
            prefix: Digest(rng.random_range(0..PREFIXES)),
            prefix_tokens: PREFIX,
            prompt_tokens: PROMPT,
            max_output: MAX_OUTPUT,
            delivered: Tokens(0),
            deadline: now + DEADLINE,
            idempotent: true,
        }
    }
}

fn zone(at: usize) -> Result<ZoneId, ParseError> {
    format!("zone-{at}").parse()
}

fn model(at: usize) -> Result<BackendName, ParseError> {
    format!("model-{at}").parse()
}

fn document(size: FleetSize, zones: Vec<ZoneId>) -> Result<Document, ParseError> {
    let tiers: Result<Vec<_>, ParseError> = TIERS.iter().map(|name| name.parse()).collect();
    let organisations: Result<Vec<_>, ParseError> = (0..size.organisations).map(organisation).collect();
    let backends: Result<Vec<_>, ParseError> = (0..size.models).map(backend).collect();
    let engines: Result<Vec<_>, ParseError> = (0..size.engines).map(|at| engine(size, &zones, at)).collect();
    let routes: Result<Vec<_>, ParseError> = (0..size.models).map(route).collect();
    Ok(Document {
        environment: "fleet".parse()?,
        digest: Digest(0),
        tiers: tiers?,
        organisations: organisations?,
        backends: backends?,
        engines: engines?,
        routes: routes?,
        zones,
        moves: Vec::new(),
        limits: limits(),
    })
}

fn organisation(at: usize) -> Result<OrganisationSpec, ParseError> {
    Ok(OrganisationSpec {
        name: format!("organisation-{at}").parse()?,
        share: 1 + at as u32 % 10,
        tiers: (0..TIERS.len() as u8).map(Tier).collect(),
    })
}

fn backend(at: usize) -> Result<Backend, ParseError> {
    Ok(Backend {
        name: model(at)?,
        kind: BackendKind::Model,
        version: "1".parse()?,
    })
}

/// Engines of one model lie in all zones.
fn engine(size: FleetSize, zones: &[ZoneId], at: usize) -> Result<EngineSpec, ParseError> {
    Ok(EngineSpec {
        name: format!("engine-{at}").parse()?,
        backend: model(at % size.models)?,
        version: "1".parse()?,
        zone: zones[at / size.models % zones.len()].clone(),
        address: std::net::SocketAddr::from(([10, 0, (at / 250) as u8, (at % 250) as u8], 8_000)),
        checks_fencing: true,
        max_concurrency: MAX_CONCURRENCY,
    })
}

fn route(at: usize) -> Result<RouteSpec, ParseError> {
    Ok(RouteSpec {
        name: format!("route-{at}").parse()?,
        backend: model(at)?,
        operation: format!("route-{at}"),
        idempotent: true,
        max_output: MAX_OUTPUT,
        max_deadline: DEADLINE,
    })
}

const fn limits() -> Limits {
    Limits {
        max_body: Bytes(256 * 1_024),
        retry_budget: Permille::new(100),
        max_ejected: Permille::new(300),
        first_token_timeout: Millis::from_secs(10),
        token_gap_timeout: Millis::from_secs(3),
        claim_ttl: Millis::from_secs(24 * 60 * 60),
    }
}
