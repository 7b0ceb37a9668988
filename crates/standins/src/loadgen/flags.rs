//! Command-line flags, and the plan that they are checked into.

use std::collections::HashSet;
use std::path::{Path, PathBuf};

use bpaf::Bpaf;
use carawayseam_config::{BackendKind, Document, DocumentError, RouteSpec};
use carawayseam_types::{Millis, RouteName};
use compact_str::CompactString;

use super::workload::{Mix, RouteShare};

/// Sends an open-loop load to entry hosts and checks each answer.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(flags))]
pub(crate) struct Flags {
    /// Base URL of an entry host; may be repeated
    #[bpaf(argument("URL"), some("at least one --entry is needed"))]
    entry: Vec<String>,
    /// The environment's document, which names routes, organisations and tiers
    #[bpaf(argument("FILE"))]
    document: PathBuf,
    /// Requests sent a second, on average
    #[bpaf(argument("N"), fallback(20.0), display_fallback)]
    rate: f64,
    /// How long requests are sent, such as 10s
    #[bpaf(argument("SPAN"), fallback(Millis::from_secs(10)), display_fallback)]
    duration: Millis,
    /// Deadline of each request; the route's longest if not given
    #[bpaf(argument("SPAN"), optional)]
    deadline: Option<Millis>,
    /// Seed of the arrivals, lengths and organisations
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    seed: u64,
    /// A route and its weight, such as trip-plan=5; all routes alike if none is given
    #[bpaf(argument::<RouteShare>("ROUTE=WEIGHT"), many)]
    mix: Vec<RouteShare>,
    /// Base URL of a stand-in engine whose prefill is reported; may be repeated
    #[bpaf(argument("URL"), many)]
    engine: Vec<String>,
    /// Base URL of a stand-in service whose double runs are reported; may be repeated
    #[bpaf(argument("URL"), many)]
    service: Vec<String>,
    /// Print the report as JSON
    json: bool,
}

/// Sends a load to entry hosts, or measures what they add to a direct call.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, generate(options))]
pub(crate) enum Mode {
    /// Measures what an entry host adds to a direct call of a stand-in
    #[bpaf(command("overhead"))]
    Overhead(#[bpaf(external(overhead_flags))] OverheadFlags),
    Load(#[bpaf(external(flags))] Flags),
}

/// Flags of the overhead's measurement.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(overhead_flags))]
pub(crate) struct OverheadFlags {
    /// Base URL of an entry host
    #[bpaf(argument("URL"))]
    pub(crate) entry: String,
    /// Base URL of a stand-in that the route leads to
    #[bpaf(argument("URL"))]
    pub(crate) direct: String,
    /// The environment's document
    #[bpaf(argument("FILE"))]
    pub(crate) document: PathBuf,
    /// The route; an idempotent one
    #[bpaf(argument("NAME"))]
    pub(crate) route: RouteName,
    /// Calls made one after another on each path
    #[bpaf(argument("N"), fallback(2_000), display_fallback)]
    pub(crate) calls: u32,
    /// Callers at the same time when throughput is measured
    #[bpaf(argument("N"), fallback(64), display_fallback)]
    pub(crate) callers: usize,
    /// How long throughput is measured on each path
    #[bpaf(argument("SPAN"), fallback(Millis::from_secs(3)), display_fallback)]
    pub(crate) span: Millis,
    /// Process id of the entry host, whose memory is read
    #[bpaf(argument("PID"), optional)]
    pub(crate) pid: Option<u32>,
    /// Streams open when memory is read
    #[bpaf(argument("N"), fallback(1_000), display_fallback)]
    pub(crate) streams: usize,
    /// Print the report as JSON
    pub(crate) json: bool,
}

/// A load that can be run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Base URLs of the entry hosts.
    pub entries: Vec<String>,
    /// What is sent.
    pub mix: Mix,
    /// Base URLs of stand-in engines whose prefill is reported.
    pub engines: Vec<String>,
    /// Base URLs of stand-in services whose double runs are reported.
    pub services: Vec<String>,
    /// Whether the report is printed as JSON.
    pub json: bool,
}

/// Flags that make no plan.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum PlanError {
    /// The document cannot be read.
    #[display("cannot read {}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The system's reason.
        source: std::io::Error,
    },
    /// The document is wrong.
    #[display("{_0}")]
    Document(DocumentError),
    /// A route of the mix is not in the document.
    #[display("--mix: route `{route}` is not declared in the document")]
    UnknownRoute {
        /// The route.
        #[error(not(source))]
        route: RouteName,
    },
    /// A route stands twice in the mix.
    #[display("--mix: route `{route}` stands twice")]
    RouteTwice {
        /// The route.
        #[error(not(source))]
        route: RouteName,
    },
    /// A number is outside its range.
    #[display("{flag}: expected {expected}")]
    OutOfRange {
        /// The flag.
        flag: &'static str,
        /// The range.
        expected: &'static str,
    },
}

/// Reads and checks a document.
pub(crate) fn read_document(path: &Path) -> Result<Document, PlanError> {
    let text = std::fs::read_to_string(path).map_err(|source| PlanError::Read {
        path: path.to_owned(),
        source,
    })?;
    Document::from_yaml(&path.to_string_lossy(), &text).map_err(PlanError::Document)
}

impl Flags {
    /// Checks the flags against the document.
    pub(crate) fn into_plan(self) -> Result<Plan, PlanError> {
        let document = read_document(&self.document)?;
        let mix = self.mix(&document)?;
        Ok(Plan {
            entries: self.entry,
            mix,
            engines: self.engine,
            services: self.service,
            json: self.json,
        })
    }

    fn mix(&self, document: &Document) -> Result<Mix, PlanError> {
        match self {
            flags if !(flags.rate > 0.0 && flags.rate.is_finite()) => Err(PlanError::OutOfRange {
                flag: "--rate",
                expected: "more than 0 requests a second",
            }),
            flags if flags.duration == Millis::ZERO => Err(PlanError::OutOfRange {
                flag: "--duration",
                expected: "more than 0",
            }),
            flags => Ok(Mix {
                environment: document.environment.clone(),
                tiers: document.tiers.clone(),
                organisations: document.organisations.clone(),
                routes: flags.routes(document)?,
                rate: flags.rate,
                duration: flags.duration,
                deadline: flags.deadline,
                seed: flags.seed,
            }),
        }
    }

    fn routes(&self, document: &Document) -> Result<Vec<(RouteSpec, BackendKind, u32)>, PlanError> {
        let all = || {
            document
                .routes
                .iter()
                .map(|route| RouteShare::new(route.name.clone(), 1))
        };
        let shares = if self.mix.is_empty() {
            all().collect()
        } else {
            self.mix.clone()
        };
        let mut seen = HashSet::new();
        let mut routes = Vec::with_capacity(shares.len());
        for share in shares {
            let name = CompactString::from(share.route.as_str());
            if !seen.insert(name) {
                return Err(PlanError::RouteTwice { route: share.route });
            }
            let found = document.route(&share.route);
            let kind = found
                .and_then(|route| document.backend(&route.backend))
                .map(|b| b.kind);
            match found.zip(kind) {
                Some((route, kind)) => routes.push((route.clone(), kind, share.weight)),
                None => return Err(PlanError::UnknownRoute { route: share.route }),
            }
        }
        Ok(routes)
    }
}
