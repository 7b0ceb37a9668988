//! Findings on a configuration before it is sent to the store.
//!
//! The places name fields as in [`Configuration`]; a deployment's own names are known to its platform only.

use std::collections::{HashMap, HashSet};

use carawayseam_types::{
    BackendName, Finding, Millis, OrganisationId, Place, Revision, Severity, Tier, Tokens,
};
use compact_str::{CompactString, format_compact};

use super::{Configuration, MAX_TIER, Organisation, Route};
use crate::quota::{LOCAL_FRACTION, MIN_RATE};

/// The rate, in tokens per second, below which a host's account refills faster than its part of the quota.
const MIN_QUOTA_RATE: f64 = MIN_RATE / LOCAL_FRACTION;

/// The reason of a finding on a configuration.
#[derive(Debug, Clone, PartialEq, derive_more::Display)]
pub enum ConfigurationReason {
    /// The document cannot be decoded.
    #[display("{problem}")]
    Malformed {
        /// The decoder's message.
        problem: CompactString,
    },
    /// Hosts ignore a configuration that is not newer than the one in force.
    #[display("hosts ignore this configuration, because revision {in_force} is in force")]
    NotNewer {
        /// The revision in force.
        in_force: Revision,
    },
    /// A name is used twice in one list.
    #[display("`{name}` is declared twice")]
    DuplicateName {
        /// The name.
        name: CompactString,
    },
    /// A path prefix does not consist of whole path segments.
    #[display("expected a prefix that begins and ends with `/`, found `{prefix}`")]
    InvalidPrefix {
        /// The prefix.
        prefix: CompactString,
    },
    /// A route sends its requests to no backend.
    #[display("route `{route}` has no backend")]
    NoBackend {
        /// The route.
        route: CompactString,
    },
    /// A route gives its requests no time.
    #[display("no request of route `{route}` can be answered within 0ms")]
    NoTime {
        /// The route.
        route: CompactString,
    },
    /// Two organisations have the same key.
    #[display("organisation `{other}` has the same key")]
    SharedKey {
        /// The other organisation.
        other: OrganisationId,
    },
    /// A route never matches, because an earlier one has the same host name and prefix.
    #[display("never matches, because route `{earlier}` has the same host and prefix")]
    HiddenRoute {
        /// The earlier route.
        earlier: CompactString,
    },
    /// A route never matches, because the port of a request's host is ignored.
    #[display("never matches, because requests are matched without a port; found `{host}`")]
    HostWithPort {
        /// The host.
        host: CompactString,
    },
    /// A target gets no requests.
    #[display("`{backend}` gets no requests, because its weight is 0")]
    ZeroWeight {
        /// The backend.
        backend: BackendName,
    },
    /// All targets of a route have the weight zero.
    #[display("all weights are 0, so `{first}` gets all requests")]
    OnlyZeroWeights {
        /// The first target's backend.
        first: BackendName,
    },
    /// A route's backend is not declared.
    #[display("`{backend}` is not declared, so its servers are used with the defaults")]
    UndeclaredBackend {
        /// The backend.
        backend: BackendName,
    },
    /// No route refers to a backend.
    #[display("no route refers to `{backend}`")]
    UnusedBackend {
        /// The backend.
        backend: BackendName,
    },
    /// An organisation has no key, so nobody can send requests for it.
    #[display("nobody can send requests for `{organisation}`, because it has no key")]
    NoKey {
        /// The organisation.
        organisation: OrganisationId,
    },
    /// All routes are public, so organisations have no effect.
    #[display("organisations have no effect, because all routes are public")]
    OnlyPublicRoutes,
    /// A route needs a key, but no organisation has one.
    #[display("nobody can use route `{route}`, because it needs a key and no organisation has one")]
    NobodyAllowed {
        /// The route.
        route: CompactString,
    },
    /// A tier is lower than the lowest that is distinguished.
    #[display("{tier} counts as {}, the lowest that is distinguished", Tier(MAX_TIER))]
    TierTooLow {
        /// The tier.
        tier: Tier,
    },
    /// A route's timeout is below its latency objective.
    #[display("the timeout {timeout} is shorter than the latency objective {objective}")]
    TimeoutBelowObjective {
        /// The timeout.
        timeout: Millis,
        /// The latency objective.
        objective: Millis,
    },
    /// A quota refills more slowly than it is charged for one request.
    #[display(
        "a request costs {cost} tokens, which {per_second} tokens/s refill in {refill}, more than any timeout ({timeout})"
    )]
    QuotaBelowRequest {
        /// The cost of a request that does not state its length.
        cost: Tokens,
        /// The quota's rate.
        per_second: f64,
        /// The time in which the quota refills by the cost.
        refill: Millis,
        /// The longest timeout of a route.
        timeout: Millis,
    },
    /// A host's part of a quota is below the lowest rate of an account, so more than the quota is granted.
    #[display(
        "more than {per_second} tokens/s are granted, since below {MIN_QUOTA_RATE:.1} each host's account refills by at least {MIN_RATE}/s"
    )]
    QuotaBelowMinimum {
        /// The quota's rate.
        per_second: f64,
    },
}

/// A finding on a configuration.
pub type ConfigurationFinding = Finding<ConfigurationReason>;

/// The findings on a configuration in one file.
struct Findings<'a> {
    file: &'a str,
    found: Vec<ConfigurationFinding>,
}

impl Findings<'_> {
    fn error(&mut self, field: CompactString, reason: ConfigurationReason) {
        self.add(Severity::Error, field, reason);
    }

    fn warn(&mut self, field: CompactString, reason: ConfigurationReason) {
        self.add(Severity::Warning, field, reason);
    }

    fn add(&mut self, severity: Severity, field: CompactString, reason: ConfigurationReason) {
        let place = Place {
            file: self.file.into(),
            line: None,
            field,
        };
        self.found.push(Finding {
            severity,
            place,
            reason,
        });
    }
}

impl Configuration {
    /// Returns the findings on this configuration, read from `file`, and on replacing the one in force.
    #[must_use]
    pub fn findings(&self, file: &str, in_force: Option<&Self>) -> Vec<ConfigurationFinding> {
        let found = Vec::new();
        let mut findings = Findings { file, found };
        if let Some(in_force) = in_force
            && self.revision <= in_force.revision
            && self != in_force
        {
            let in_force = in_force.revision;
            findings.error("revision".into(), ConfigurationReason::NotNewer { in_force });
        }
        check_routes(self, &mut findings);
        check_backends(self, &mut findings);
        check_organisations(self, &mut findings);
        findings.found
    }
}

fn check_routes(configuration: &Configuration, findings: &mut Findings<'_>) {
    let organisations = configuration.organisations.as_deref();
    let is_closed = organisations.is_some_and(|orgs| orgs.iter().all(|org| org.keys.is_empty()));
    let mut names = HashSet::new();
    let mut prefixes: HashMap<_, &Route> = HashMap::new();
    for (at, route) in configuration.routes.iter().enumerate() {
        let field = |leaf: &str| format_compact!("routes[{at}].{leaf}");
        if !names.insert(&route.name) {
            let name = route.name.clone();
            findings.warn(field("name"), ConfigurationReason::DuplicateName { name });
        }
        if route.host.contains(':') {
            let host = route.host.clone();
            findings.warn(field("host"), ConfigurationReason::HostWithPort { host });
        }
        if !route.path_prefix.starts_with('/') || !route.path_prefix.ends_with('/') {
            let prefix = route.path_prefix.clone();
            findings.error(
                field("path_prefix"),
                ConfigurationReason::InvalidPrefix { prefix },
            );
        }
        let key = (route.host.to_ascii_lowercase(), &route.path_prefix);
        match prefixes.get(&key) {
            Some(earlier) => {
                let earlier = earlier.name.clone();
                findings.warn(field("path_prefix"), ConfigurationReason::HiddenRoute { earlier });
            }
            None => {
                prefixes.insert(key, route);
            }
        }
        check_route_limits(route, field, findings);
        check_targets(configuration, route, at, findings);
        if is_closed && !route.public {
            let route = route.name.clone();
            findings.warn(field("public"), ConfigurationReason::NobodyAllowed { route });
        }
    }
}

fn check_route_limits(route: &Route, field: impl Fn(&str) -> CompactString, findings: &mut Findings<'_>) {
    if route.timeout == Millis::ZERO {
        let route = route.name.clone();
        findings.error(field("timeout"), ConfigurationReason::NoTime { route });
    } else if let Some(objective) = route.latency_objective
        && route.timeout < objective
    {
        let timeout = route.timeout;
        let reason = ConfigurationReason::TimeoutBelowObjective { timeout, objective };
        findings.warn(field("timeout"), reason);
    }
    check_tier(route.tier, field("tier"), findings);
}

fn check_tier(tier: Tier, field: CompactString, findings: &mut Findings<'_>) {
    if tier.0 > MAX_TIER {
        findings.warn(field, ConfigurationReason::TierTooLow { tier });
    }
}

fn check_targets(configuration: &Configuration, route: &Route, at: usize, findings: &mut Findings<'_>) {
    let has_weight = route.targets.iter().any(|target| target.weight > 0);
    match route.targets.first() {
        None => {
            let route = route.name.clone();
            let field = format_compact!("routes[{at}].targets");
            findings.error(field, ConfigurationReason::NoBackend { route });
        }
        Some(first) if !has_weight => {
            let first = first.backend.clone();
            let field = format_compact!("routes[{at}].targets");
            findings.warn(field, ConfigurationReason::OnlyZeroWeights { first });
        }
        Some(_) => {}
    }
    for (target_at, target) in route.targets.iter().enumerate() {
        let field = format_compact!("routes[{at}].targets[{target_at}]");
        let backend = target.backend.clone();
        if has_weight && target.weight == 0 {
            findings.warn(field, ConfigurationReason::ZeroWeight { backend });
        } else if !configuration
            .backends
            .iter()
            .any(|declared| declared.name == backend)
        {
            findings.warn(field, ConfigurationReason::UndeclaredBackend { backend });
        }
    }
}

fn check_backends(configuration: &Configuration, findings: &mut Findings<'_>) {
    let targets = configuration.routes.iter().flat_map(|route| &route.targets);
    let used: HashSet<&BackendName> = targets.map(|target| &target.backend).collect();
    let mut names = HashSet::new();
    for (at, backend) in configuration.backends.iter().enumerate() {
        let field = format_compact!("backends[{at}].name");
        if !names.insert(&backend.name) {
            let name = backend.name.as_str().into();
            findings.error(field, ConfigurationReason::DuplicateName { name });
        } else if !used.contains(&backend.name) {
            let backend = backend.name.clone();
            findings.warn(field, ConfigurationReason::UnusedBackend { backend });
        }
    }
}

fn check_organisations(configuration: &Configuration, findings: &mut Findings<'_>) {
    let organisations = configuration.organisations.as_deref().unwrap_or_default();
    let with_key = configuration.routes.iter().filter(|route| !route.public);
    let longest_timeout = with_key.map(|route| route.timeout).max();
    if longest_timeout.is_none() && !organisations.is_empty() && !configuration.routes.is_empty() {
        findings.warn("organisations".into(), ConfigurationReason::OnlyPublicRoutes);
    }
    let mut names = HashSet::new();
    let mut keys: HashMap<&CompactString, &OrganisationId> = HashMap::new();
    for (at, organisation) in organisations.iter().enumerate() {
        let field = |leaf: &str| format_compact!("organisations[{at}].{leaf}");
        if !names.insert(&organisation.name) {
            let name = organisation.name.as_str().into();
            findings.error(field("name"), ConfigurationReason::DuplicateName { name });
        }
        if organisation.keys.is_empty() {
            let organisation = organisation.name.clone();
            findings.warn(field("keys"), ConfigurationReason::NoKey { organisation });
        }
        for (key_at, key) in organisation.keys.iter().enumerate() {
            let earlier = keys.insert(key, &organisation.name);
            if let Some(other) = earlier.filter(|earlier| **earlier != organisation.name) {
                let other = other.clone();
                let field = format_compact!("organisations[{at}].keys[{key_at}]");
                findings.error(field, ConfigurationReason::SharedKey { other });
            }
        }
        if let Some(tier) = organisation.tier {
            check_tier(tier, field("tier"), findings);
        }
        check_quota(organisation, longest_timeout, field("per_second"), findings);
    }
}

fn check_quota(
    organisation: &Organisation,
    longest_timeout: Option<Millis>,
    field: CompactString,
    findings: &mut Findings<'_>,
) {
    let Some(quota) = organisation.quota else {
        return;
    };
    let per_second = quota.per_second;
    if per_second < MIN_QUOTA_RATE {
        findings.warn(
            field.clone(),
            ConfigurationReason::QuotaBelowMinimum { per_second },
        );
    }
    let cost = quota.default_cost;
    let refill = Millis((f64::from(cost.0) / per_second.max(MIN_RATE) * 1_000.0) as u64);
    if let Some(timeout) = longest_timeout.filter(|timeout| refill > *timeout) {
        let reason = ConfigurationReason::QuotaBelowRequest {
            cost,
            per_second,
            refill,
            timeout,
        };
        findings.warn(field, reason);
    }
}
