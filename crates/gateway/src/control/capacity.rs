//! Exchanges with the other hosts of a large fleet how fast the backend servers are.

use std::collections::BTreeMap;

use carawayseam_dispatch::capacity::{PaceEstimate, PaceReport, SampleMean};
use carawayseam_dispatch::server_loads::OwnerKey;
use carawayseam_types::{EngineKey, HostId, Incarnation, Millis};
use carawayseam_wire::{PeerMessage, ServerPace, ServerPaces, ServerSample, ServerSamples};

use crate::shared::{Shared, lock};

/// The largest number of samples in one message, which has to fit a datagram.
const MAX_SAMPLES: usize = 32;
/// The largest number of estimates in one message; most are passed on in several rounds.
const MAX_PACES: usize = 8;
/// The time between events of a server of factor 1, in milliseconds. It is fixed, so that the factors of different
/// owners compare.
const UNIT_EVENT_MS: f64 = 25.0;
const FACTOR_SCALE: f64 = 1e6;
const COUNTER: &str = "server_paces";

/// Returns the messages with this host's samples, each with the owner that it is for.
///
/// While there are hosts of earlier builds, which cannot read them, none are sent.
pub(super) fn samples(shared: &Shared, incarnation: Incarnation, seq: u64) -> Vec<(HostId, PeerMessage)> {
    if !shared.peers.takes_claims() {
        return Vec::new();
    }
    let taken = lock(&shared.dispatch).dispatcher.take_samples();
    let mut by_owner: BTreeMap<HostId, Vec<ServerSample>> = BTreeMap::new();
    for (engine, zone, means) in taken {
        if let Some(owner) = shared.peers.slot_owner(engine.as_str(), Some(&zone)) {
            let key = EngineKey::from(&engine);
            let samples = means.iter().map(|mean| encode_sample(key, mean));
            by_owner.entry(owner).or_default().extend(samples);
        }
    }
    let messages = by_owner.into_iter().map(|(owner, mut samples)| {
        samples.sort_by_key(|sample| std::cmp::Reverse(sample.count));
        samples.truncate(MAX_SAMPLES);
        let message = ServerSamples {
            host: shared.settings.host.clone(),
            incarnation,
            seq,
            samples,
        };
        (owner, PeerMessage::ServerSamples(message))
    });
    messages.collect()
}

/// Applies a host's samples of servers whose slots this host owns.
pub(super) fn apply_samples(shared: &Shared, message: &ServerSamples) {
    if !shared.is_listed(&message.host, COUNTER) {
        return;
    }
    let samples = message.samples.iter().take(MAX_SAMPLES).map(decode_sample);
    let samples: Vec<(EngineKey, SampleMean)> = samples.collect();
    let process = (message.incarnation, message.seq);
    let is_new =
        lock(&shared.dispatch)
            .dispatcher
            .record_peer_samples(shared.now(), &message.host, process, &samples);
    shared
        .metrics
        .count(COUNTER, if is_new { "samples" } else { "outdated" });
}

/// Returns the estimates that this host passes on, or `None` if there are none or hosts of earlier builds.
pub(super) fn announcement(shared: &Shared, now: Millis, has_new_peer: bool) -> Option<PeerMessage> {
    if !shared.peers.takes_claims() {
        return None;
    }
    let host = shared.settings.host.clone();
    let reports = lock(&shared.dispatch)
        .dispatcher
        .pace_reports(now, &host, has_new_peer, MAX_PACES);
    let paces: Vec<ServerPace> = reports.iter().map(encode_pace).collect();
    (!paces.is_empty()).then_some(PeerMessage::ServerPaces(ServerPaces { host, paces }))
}

/// Applies the estimates that a host passed on.
pub(super) fn apply_paces(shared: &Shared, message: &ServerPaces) {
    if !shared.is_listed(&message.host, COUNTER) {
        return;
    }
    let paces = message.paces.iter().take(MAX_PACES).map(decode_pace);
    let paces: Vec<PaceReport> = paces.collect();
    let recorded = lock(&shared.dispatch)
        .dispatcher
        .record_pace_reports(shared.now(), &paces);
    if recorded > 0 {
        shared.metrics.count(COUNTER, "paces");
        log::debug!(peer:% = message.host, count = recorded; "a peer reported the paces of backend servers");
    }
}

fn encode_sample(engine: EngineKey, mean: &SampleMean) -> ServerSample {
    ServerSample {
        engine,
        concurrency: mean.concurrency,
        event_us: (mean.event_ms * 1e3) as u32,
        token_ns: mean.token_ms.map_or(0, |token_ms| (token_ms * 1e6) as u32),
        count: mean.count,
    }
}

fn decode_sample(sample: &ServerSample) -> (EngineKey, SampleMean) {
    let mean = SampleMean {
        concurrency: sample.concurrency,
        event_ms: f64::from(sample.event_us) / 1e3,
        token_ms: (sample.token_ns > 0).then_some(f64::from(sample.token_ns) / 1e6),
        count: sample.count,
    };
    (sample.engine, mean)
}

fn encode_pace(report: &PaceReport) -> ServerPace {
    ServerPace {
        engine: report.engine,
        owner: report.owner.0,
        version: report.version,
        age: report.age,
        factor: (report.estimate.event_ms / UNIT_EVENT_MS * FACTOR_SCALE) as u32,
        knee: report.estimate.knee,
        soft_capacity: report.estimate.soft_capacity,
        samples: report.estimate.samples,
    }
}

fn decode_pace(pace: &ServerPace) -> PaceReport {
    PaceReport {
        engine: pace.engine,
        owner: OwnerKey(pace.owner),
        version: pace.version,
        age: pace.age,
        estimate: PaceEstimate {
            event_ms: f64::from(pace.factor) / FACTOR_SCALE * UNIT_EVENT_MS,
            knee: pace.knee,
            soft_capacity: pace.soft_capacity,
            samples: pace.samples,
        },
    }
}
