//! Look-up of a request's route and organisation in a configuration.

use std::collections::HashMap;
use std::sync::Arc;

use carawayseam_types::{BackendName, Bytes, Millis, OrganisationId, Revision, Tier, Tokens};
use compact_str::CompactString;

use crate::fair_shares::ShareWeights;
use crate::warm_up::WarmUpLimit;

pub mod findings;
mod sections;

/// Highest tier that is distinguished; higher tiers count as this one, so that two fit into one [`Tier`].
const MAX_TIER: u8 = 15;

/// A complete configuration as written by the operator.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// The revision, which increases with each change.
    pub revision: Revision,
    /// The routes, in any order.
    pub routes: Vec<Route>,
    /// The backends that routes send requests to.
    pub backends: Vec<Backend>,
    /// The organisations; `None` means that requests need no key.
    pub organisations: Option<Vec<Organisation>>,
    /// The limits on requests.
    pub limits: RequestLimits,
}

/// Determines whether a route's requests may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The response is a stream of events; a request runs at most once unless the stream is resumable.
    Stream {
        /// Whether a retry may continue after the last event that the caller received.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether the response is a stream of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }

    /// Returns whether a request that may have run can be sent again.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

/// A backend that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The backend.
    pub backend: BackendName,
    /// Its weight relative to the other targets of the route.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The route's name, for logs.
    pub name: CompactString,
    /// The host name in the request.
    pub host: CompactString,
    /// The prefix of the path; it ends with a slash.
    pub path_prefix: CompactString,
    /// Whether its requests may be retried.
    pub kind: RouteKind,
    /// The maximum duration of a request.
    pub timeout: Millis,
    /// The latency objective; only the check before sending uses it.
    pub latency_objective: Option<Millis>,
    /// The time without an event after which the caller of a stream leaves, also before the first one.
    pub max_event_gap: Option<Millis>,
    /// The tier of its requests.
    pub tier: Tier,
    /// The backends that its requests are sent to.
    pub targets: Vec<Target>,
    /// The maximum number of backend servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
}

/// A backend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Backend {
    /// Its name.
    pub name: BackendName,
    /// Number of tokens in one event of its streams.
    pub tokens_per_event: u32,
    /// What its servers bear while they warm up; `None` if they bear as much as later.
    pub warm_up: Option<WarmUpLimit>,
}

/// An organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Its name.
    pub name: OrganisationId,
    /// The keys that its callers send.
    pub keys: Vec<CompactString>,
    /// A tier that takes precedence over the route's tier.
    pub tier: Option<Tier>,
    /// Its token quota; `None` if its requests are not limited.
    pub quota: Option<TokenQuota>,
}

/// An organisation's quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenQuota {
    /// Tokens per second, over all hosts.
    pub per_second: f64,
    /// Tokens beyond the rate that may be requested at once.
    pub burst: f64,
    /// The cost of a request that does not state its length.
    pub default_cost: Tokens,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// The maximum size of a request head.
    pub max_head: Bytes,
    /// The maximum size of a request body.
    pub max_body: Bytes,
    /// The maximum idle time of a connection.
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

/// The reason why a request has no match in the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum LookupError {
    /// No route matches the host name and path.
    #[display("no route for the host and path")]
    NoRoute,
    /// No organisation has the key.
    #[display("unknown key")]
    UnknownKey,
}

/// The route and organisation of a request.
#[derive(Debug, Clone)]
pub struct RouteMatch {
    /// The route.
    pub route: Arc<Route>,
    /// The organisation; `None` on public routes and in a configuration without organisations.
    pub organisation: Option<Arc<Organisation>>,
}

impl RouteMatch {
    /// Returns a tier that orders by the organisation's tier first, and by the route's tier second.
    #[must_use]
    pub fn tier(&self) -> Tier {
        let org_tier = self.organisation.as_ref().and_then(|org| org.tier);
        let primary = org_tier.unwrap_or(self.route.tier).0.min(MAX_TIER);
        let secondary = self.route.tier.0.min(MAX_TIER);
        Tier(primary * (MAX_TIER + 1) + secondary)
    }
}

/// A configuration indexed for look-ups.
#[derive(Debug, Default)]
pub struct Catalog {
    /// The configuration's revision.
    pub revision: Revision,
    /// The limits on requests.
    pub limits: RequestLimits,
    /// Routes by host name, the longest prefix first.
    routes: HashMap<CompactString, Vec<Arc<Route>>>,
    keys: HashMap<CompactString, Arc<Organisation>>,
    needs_keys: bool,
    backends: Vec<Backend>,
    share_weights: ShareWeights,
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
        for host_routes in routes.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let organisations = configuration.organisations.as_deref();
        let share_weights = ShareWeights::new(organisations.unwrap_or_default());
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
            share_weights,
        }
    }

    /// Returns the names of the organisations that have keys; one name per key.
    pub fn organisations(&self) -> impl Iterator<Item = &OrganisationId> {
        self.keys.values().map(|organisation| &organisation.name)
    }

    /// Returns the organisation with this name, if it has keys.
    #[must_use]
    pub fn organisation(&self, name: &OrganisationId) -> Option<&Arc<Organisation>> {
        self.keys.values().find(|organisation| organisation.name == *name)
    }

    /// Returns the weights of all organisations, with and without keys.
    #[must_use]
    pub const fn share_weights(&self) -> &ShareWeights {
        &self.share_weights
    }

    /// Iterates over the backends whose servers bear less while they warm up, with their limits.
    pub fn warm_up_limits(&self) -> impl Iterator<Item = (BackendName, WarmUpLimit)> {
        let backends = self.backends.iter();
        backends.filter_map(|backend| Some((backend.name.clone(), backend.warm_up?)))
    }

    /// Returns the backend with this name.
    #[must_use]
    pub fn backend(&self, name: &BackendName) -> Option<&Backend> {
        self.backends.iter().find(|backend| backend.name == *name)
    }

    /// Returns the route with the longest prefix of the path among the routes of a host name.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let host_routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(host.to_ascii_lowercase().as_str())?,
        };
        host_routes
            .iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Returns a request's route and organisation.
    ///
    /// # Errors
    ///
    /// Returns [`LookupError`] if this configuration has no such route or key.
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
