//! Routes, organisations and keys of one configuration, looked up for each request.

use std::collections::HashMap;
use std::sync::Arc;

use carawayseam_types::{BackendName, Bytes, Millis, OrganisationId, Revision, Tier, Tokens};
use compact_str::CompactString;

/// Ranks beyond this are as this one, so that two fit into one tier.
const MOST_RANK: u8 = 15;

/// A whole configuration as the operator wrote it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Grows with each change.
    pub revision: Revision,
    /// The routes, in no order.
    pub routes: Vec<Route>,
    /// The backends that routes lead to.
    pub backends: Vec<Backend>,
    /// The organisations; none means that requests carry no key.
    pub organisations: Option<Vec<Organisation>>,
    /// What a caller may send.
    pub limits: RequestLimits,
}

/// How a route's requests may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs once at most.
    NonIdempotent,
    /// Answers with a stream of events; runs once unless the route can resume.
    Stream {
        /// Whether another run may go on after the last event that the caller has.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether the answer is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

/// A backend that gets a part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The backend.
    pub backend: BackendName,
    /// Its part beside the other targets' weights.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: CompactString,
    /// The host name that callers ask for.
    pub host: CompactString,
    /// The beginning of the path; it ends with a slash.
    pub path_prefix: CompactString,
    /// How its requests may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request may take.
    pub timeout: Millis,
    /// The time in which an answer, or a stream's first event, is wanted.
    pub objective: Millis,
    /// The longest wanted pause between a stream's events.
    pub gap_objective: Option<Millis>,
    /// Its rank.
    pub tier: Tier,
    /// Where its requests go.
    pub targets: Vec<Target>,
    /// The most backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether it needs no key.
    pub public: bool,
}

/// A backend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Its name.
    pub name: BackendName,
    /// Tokens in one event of its streams.
    pub tokens_per_event: u32,
}

/// An organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationId,
    /// The keys that its callers present.
    pub keys: Vec<CompactString>,
    /// A rank that goes before the route's.
    pub tier: Option<Tier>,
    /// What it may ask for.
    pub quota: Option<TokenQuota>,
}

/// An organisation's quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenQuota {
    /// Tokens a second, over all hosts.
    pub per_second: f64,
    /// Tokens beyond the rate that may be asked for at once.
    pub burst: f64,
    /// What a request counts for that does not say its length.
    pub default_cost: Tokens,
}

/// What a caller may send, and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// The largest request head.
    pub max_head: Bytes,
    /// The largest request body.
    pub max_body: Bytes,
    /// How long a connection may stay idle.
    pub idle_timeout: Millis,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_head: Bytes(16 * 1_024),
            max_body: Bytes(4 * 1_024 * 1_024),
            idle_timeout: Millis::from_secs(15),
        }
    }
}

/// Why a request has no place in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum LookupError {
    /// No route begins the path.
    #[display("no route for the host and path")]
    NoRoute,
    /// No organisation has the key.
    #[display("unknown key")]
    UnknownKey,
}

/// A request's place in the configuration.
#[derive(Debug, Clone)]
pub struct RouteMatch {
    /// Its route.
    pub route: Arc<Route>,
    /// Its organisation; none on public routes and where there are no organisations.
    pub organisation: Option<Arc<Organisation>>,
}

impl RouteMatch {
    /// The rank by organisation first, and by route among those of equal organisations.
    #[must_use]
    pub fn tier(&self) -> Tier {
        let own = self.organisation.as_ref().and_then(|org| org.tier);
        let first = own.unwrap_or(self.route.tier).0.min(MOST_RANK);
        let second = self.route.tier.0.min(MOST_RANK);
        Tier(first * (MOST_RANK + 1) + second)
    }
}

/// A configuration, ready for look-ups.
#[derive(Debug, Default)]
pub struct Catalog {
    /// The configuration's revision.
    pub revision: Revision,
    /// What a caller may send.
    pub limits: RequestLimits,
    /// Routes by host name, the longest prefix first.
    routes: HashMap<CompactString, Vec<Arc<Route>>>,
    keys: HashMap<CompactString, Arc<Organisation>>,
    needs_keys: bool,
    backends: Vec<Backend>,
}

impl Catalog {
    /// Indexes a configuration.
    #[must_use]
    pub fn new(configuration: Configuration) -> Self {
        let mut routes: HashMap<CompactString, Vec<Arc<Route>>> = HashMap::new();
        for route in configuration.routes {
            let host = route.host.to_ascii_lowercase();
            routes.entry(host).or_default().push(Arc::new(route));
        }
        for same_host in routes.values_mut() {
            same_host.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut keys = HashMap::new();
        let needs_keys = configuration.organisations.is_some();
        for organisation in configuration.organisations.into_iter().flatten() {
            let organisation = Arc::new(organisation);
            for key in &organisation.keys {
                keys.insert(key.clone(), Arc::clone(&organisation));
            }
        }
        Self {
            revision: configuration.revision,
            limits: configuration.limits,
            routes,
            keys,
            needs_keys,
            backends: configuration.backends,
        }
    }

    /// The organisations that have keys.
    pub fn organisations(&self) -> impl Iterator<Item = &OrganisationId> {
        self.keys.values().map(|organisation| &organisation.name)
    }

    /// The organisation of that name, if it has keys.
    #[must_use]
    pub fn organisation(&self, name: &OrganisationId) -> Option<&Arc<Organisation>> {
        self.keys.values().find(|organisation| organisation.name == *name)
    }

    /// The backend of that name.
    #[must_use]
    pub fn backend(&self, name: &BackendName) -> Option<&Backend> {
        self.backends.iter().find(|backend| backend.name == *name)
    }

    /// Finds the route of a host name and path: the longest prefix that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let same_host = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(host.to_ascii_lowercase().as_str())?,
        };
        same_host
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Finds a request's route and organisation.
    ///
    /// # Errors
    ///
    /// [`LookupError`] when this configuration has no such route or key.
    pub fn route_match(&self, host: &str, path: &str, key: Option<&str>) -> Result<RouteMatch, LookupError> {
        let route = self.route(host, path).ok_or(LookupError::NoRoute)?;
        let organisation = match key {
            _ if route.public || !self.needs_keys => None,
            Some(key) => Some(self.keys.get(key).ok_or(LookupError::UnknownKey)?),
            None => return Err(LookupError::UnknownKey),
        };
        Ok(RouteMatch {
            route: Arc::clone(route),
            organisation: organisation.cloned(),
        })
    }
}
