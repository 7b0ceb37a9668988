//! Exchanges the counts of each route during rollouts with the other hosts.

use carawayseam_dispatch::catalog::RouteKind;
use carawayseam_dispatch::pace::PaceCounts;
use carawayseam_dispatch::peers::Peers;
use carawayseam_dispatch::rollouts::{JudgedRoute, ProcessId, RouteCounts, RouteReport, RouteUpdate};
use carawayseam_types::Millis;
use carawayseam_wire::{PeerMessage, RolloutRoutes, RouteResponses, VersionResponses};

use crate::shared::{Shared, lock};

/// Limit of the routes in one message, so that it fits a datagram.
const MAX_ROUTES_PER_MESSAGE: usize = 8;

/// Returns the announcements of the counts of this process for undecided rollouts, and while a peer has just
/// started, of processes that have ended.
pub(super) fn announcements(
    shared: &Shared,
    now: Millis,
    peers: &Peers,
    has_new_peer: bool,
) -> Vec<PeerMessage> {
    let is_running = |process: &ProcessId| peers.is_running(now, &process.host, process.incarnation);
    let is_running: Option<&dyn Fn(&ProcessId) -> bool> = has_new_peer.then_some(&is_running);
    let updates = lock(&shared.rollouts).route_updates(is_running);
    updates.iter().flat_map(encode).collect()
}

/// Returns the counts of this process and of some others, running or not, to be passed on in a gossip round.
pub(super) fn forwarded(shared: &Shared) -> Vec<PeerMessage> {
    let is_running: &dyn Fn(&ProcessId) -> bool = &|_| false;
    let updates = lock(&shared.rollouts).route_updates(Some(is_running));
    updates.iter().flat_map(encode).collect()
}

/// Applies the counts that a peer announced.
pub(super) fn apply_counts(shared: &Shared, message: RolloutRoutes) {
    let update = RouteUpdate {
        backend: message.backend,
        revision: message.revision,
        is_worse: message.is_worse,
        process: ProcessId {
            host: message.host,
            incarnation: message.incarnation,
        },
        routes: message.routes.iter().map(decode_route).collect(),
    };
    lock(&shared.rollouts).record_peer_routes(&update);
}

/// Returns the messages of an update; one without routes tells only whether the new version is worse.
fn encode(update: &RouteUpdate) -> Vec<PeerMessage> {
    let message = |routes: &[(JudgedRoute, RouteReport)]| {
        PeerMessage::RolloutRoutes(RolloutRoutes {
            host: update.process.host.clone(),
            incarnation: update.process.incarnation,
            backend: update.backend.clone(),
            revision: update.revision,
            is_worse: update.is_worse,
            routes: routes.iter().map(encode_route).collect(),
        })
    };
    if update.routes.is_empty() && update.is_worse {
        return vec![message(&[])];
    }
    update
        .routes
        .chunks(MAX_ROUTES_PER_MESSAGE)
        .map(message)
        .collect()
}

fn encode_route((route, report): &(JudgedRoute, RouteReport)) -> RouteResponses {
    RouteResponses {
        route: route.name.clone(),
        is_stream: route.kind.is_stream(),
        is_retryable: route.kind.is_retryable(),
        new: encode_counts(report.new),
        old: encode_counts(report.old),
    }
}

fn decode_route(responses: &RouteResponses) -> (JudgedRoute, RouteReport) {
    let kind = match (responses.is_stream, responses.is_retryable) {
        (true, resumable) => RouteKind::Stream { resumable },
        (false, true) => RouteKind::Idempotent,
        (false, false) => RouteKind::NonIdempotent,
    };
    let report = RouteReport {
        new: decode_counts(&responses.new),
        old: decode_counts(&responses.old),
    };
    (JudgedRoute::new(&responses.route, kind), report)
}

const fn encode_counts(counts: RouteCounts) -> VersionResponses {
    VersionResponses {
        all: counts.all,
        failed: counts.failed,
        bad: counts.bad,
        timed: counts.pace.all,
        slow: counts.pace.slow,
        very_slow: counts.pace.very_slow,
    }
}

const fn decode_counts(responses: &VersionResponses) -> RouteCounts {
    RouteCounts {
        all: responses.all,
        failed: responses.failed,
        bad: responses.bad,
        pace: PaceCounts {
            all: responses.timed,
            slow: responses.slow,
            very_slow: responses.very_slow,
        },
    }
}
