//! Measures whether this host's own link or processor is overloaded.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use carawayseam_types::Millis;
use tokio::time::{Instant, sleep};

use crate::shared::{Shared, lock};

/// The interval of the timer whose delay is measured.
const TIMER_INTERVAL: Millis = Millis(50);

/// Samples timer delays, times of requests to peers and relayed bytes until the process ends; logs when overload
/// begins and ends.
pub(crate) async fn measure_overload(shared: Arc<Shared>) {
    let mut was_overloaded = false;
    loop {
        let started_at = Instant::now();
        sleep(TIMER_INTERVAL.to_duration()).await;
        let elapsed = Millis(started_at.elapsed().as_millis() as u64);
        let requests = shared.peers.take_request_times();
        let now = shared.now();
        let carried = shared.carried_bytes();
        lock(&shared.relay_budget).record(now, carried);
        let mut overload = lock(&shared.overload);
        overload.record_timer(now, elapsed - TIMER_INTERVAL);
        for (peer, reached) in requests {
            overload.record_peer(now, peer, reached);
        }
        let is_overloaded = overload.is_overloaded(now) && shared.is_large_fleet.load(Ordering::Relaxed);
        let extra = overload.extra_time(now);
        drop(overload);
        if is_overloaded != was_overloaded {
            was_overloaded = is_overloaded;
            let label = if is_overloaded { "begun" } else { "ended" };
            shared.metrics.count("local_overload", label);
            log::warn!(overloaded = is_overloaded, extra_ms = extra.0; "overload of this host's own link or processor has {label}");
        }
    }
}
