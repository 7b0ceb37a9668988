//! The traffic of both firms, as far as moves see it.

use carawayseam_config::Document;
use carawayseam_types::{Digest, Millis, RouteName};

const BEN_SLAMA_YAML: &str = include_str!("../../../../examples/ben-slama.yaml");
const KHAO_RANG_YAML: &str = include_str!("../../../../examples/khao-rang.yaml");

/// What callers ask of a route.
#[derive(Debug, Clone)]
pub(super) struct RouteLoad {
    pub name: RouteName,
    pub idempotent: bool,
    /// The share of all requests.
    pub weight: f64,
    /// The median time to the first token or the answer.
    pub first_ms: f64,
    /// The spread of that time, as the deviation of its logarithm.
    pub spread: f64,
    /// The mean gap between tokens; none for plain services.
    pub gap_ms: Option<f64>,
    /// The mean length of an answer.
    pub tokens: f64,
}

/// A firm's backend that moves, with its traffic.
#[derive(Debug, Clone)]
pub(super) struct Firm {
    pub name: &'static str,
    pub hosts: usize,
    pub document: Document,
    pub routes: Vec<RouteLoad>,
    /// Requests a second over all hosts.
    pub rate: f64,
}

impl Firm {
    /// The requests expected between promotion and deadline.
    pub(super) fn window(&self) -> f64 {
        self.rate * self.document.moves[0].within.as_secs_f64()
    }

    /// The same firm with other traffic.
    pub(super) fn with_rate(mut self, name: &'static str, rate: f64) -> Self {
        self.name = name;
        self.rate = rate;
        self
    }
}

/// Ben Slama's model, by five hosts.
pub(super) fn ben_slama() -> Firm {
    Firm {
        name: "ben-slama",
        hosts: 5,
        document: document("ben-slama.yaml", BEN_SLAMA_YAML),
        routes: vec![
            model_route("fitting-guide", 0.15, 700.0, 600.0),
            model_route("rail-question", 0.5, 400.0, 100.0),
            model_route("dealer-tag", 0.35, 250.0, 8.0),
        ],
        rate: 6.0,
    }
}

/// Khao Rang's pass service, by four hosts.
pub(super) fn khao_rang() -> Firm {
    Firm {
        name: "khao-rang",
        hosts: 4,
        document: document("khao-rang.yaml", KHAO_RANG_YAML),
        routes: vec![
            service_route("renew", false, 0.25, 400.0),
            service_route("balance", true, 0.75, 60.0),
        ],
        rate: 2.0,
    }
}

/// Khao Rang's pass service out of season.
pub(super) fn khao_rang_low() -> Firm {
    khao_rang().with_rate("khao-rang-low", 0.5)
}

fn model_route(name: &str, weight: f64, first_ms: f64, tokens: f64) -> RouteLoad {
    RouteLoad {
        name: route_name(name),
        idempotent: true,
        weight,
        first_ms,
        spread: 0.4,
        gap_ms: Some(30.0),
        tokens,
    }
}

fn service_route(name: &str, idempotent: bool, weight: f64, first_ms: f64) -> RouteLoad {
    RouteLoad {
        name: route_name(name),
        idempotent,
        weight,
        first_ms,
        spread: 0.4,
        gap_ms: None,
        tokens: 0.0,
    }
}

fn route_name(name: &str) -> RouteName {
    name.parse().expect("a literal route name is valid")
}

fn document(file: &str, yaml: &str) -> Document {
    Document::from_yaml(file, yaml).expect("an example document is valid")
}

/// The content of the bench's request number `number`.
pub(super) fn content(number: u64) -> Digest {
    Digest::of(&number.to_le_bytes())
}

/// The firm's move as its document declares it, with the time it may take.
pub(super) fn within(firm: &Firm) -> Millis {
    firm.document.moves[0].within
}
