//! What was learned of the servers' capacities, by this host and by the owners of slots.

use carawayseam_types::{EngineId, EngineKey, HostId, Incarnation, Millis, ZoneId};

use super::Dispatcher;
use crate::capacity::{PaceEstimate, PaceReport, SampleMean};
use crate::server_loads::OwnerKey;

impl Dispatcher {
    /// Stops learning, so that all servers are filled up to their slots.
    pub const fn disable_capacity_learning(&mut self) {
        self.learns_capacity = false;
    }

    /// Returns what is known of the pace of each server with enough samples.
    #[must_use]
    pub fn pace_estimates(&self, now: Millis) -> Vec<(EngineId, PaceEstimate)> {
        let engines = self.pools.values().flat_map(|pool| &pool.engines);
        let estimates = engines.filter_map(|engine| {
            let estimate = engine.capacity.estimate(now, engine.entry.slots)?;
            Some((engine.entry.id.clone(), estimate))
        });
        estimates.collect()
    }

    /// Returns the samples since the last call of servers whose slots other hosts own, by server and zone.
    pub fn take_samples(&mut self) -> Vec<(EngineId, ZoneId, Vec<SampleMean>)> {
        let mut taken = Vec::new();
        for engine in self.pools.values_mut().flat_map(|pool| &mut pool.engines) {
            let samples = engine.capacity.take_samples();
            if !samples.is_empty() && !self.owned_slots.contains(&engine.key) {
                taken.push((engine.entry.id.clone(), engine.entry.zone.clone(), samples));
            }
        }
        taken
    }

    /// Records a peer's samples of servers whose slots this host owns; returns false if the
    /// message is outdated or learning is disabled.
    pub fn record_peer_samples(
        &mut self,
        now: Millis,
        host: &HostId,
        process: (Incarnation, u64),
        samples: &[(EngineKey, SampleMean)],
    ) -> bool {
        let (incarnation, seq) = process;
        if !self.learns_capacity {
            return false;
        }
        if !self.sample_messages.accept(now, host, incarnation, seq) {
            return false;
        }
        for (key, mean) in samples {
            if !self.owned_slots.contains(key) {
                continue;
            }
            for pool in self.pools.values_mut() {
                if let Some(engine) = pool.engines.iter_mut().find(|engine| engine.key == *key) {
                    let slots = engine.entry.slots;
                    pool.capacity.record_peer(now, &mut engine.capacity, slots, *mean);
                }
            }
        }
        true
    }

    /// Returns the estimates of owners that this host passes on, at most `limit`; the others are in later calls.
    pub fn pace_reports(
        &mut self,
        now: Millis,
        me: &HostId,
        is_for_new_peer: bool,
        limit: usize,
    ) -> Vec<PaceReport> {
        let owner = OwnerKey::from(me);
        let mut reports = Vec::new();
        for engine in self.pools.values_mut().flat_map(|pool| &mut pool.engines) {
            if self.owned_slots.contains(&engine.key) {
                engine.capacity.publish(now, engine.key, owner);
            }
            reports.extend(engine.capacity.forwarded(now, is_for_new_peer));
        }
        if reports.len() <= limit {
            return reports;
        }
        // The order must not depend on that of the pools, or the rotation would skip reports.
        reports.sort_by_key(|report| (report.owner != owner, report.engine));
        self.forwarded_paces.take(&reports, limit)
    }

    /// Records estimates of other owners; returns how many were new.
    pub fn record_pace_reports(&mut self, now: Millis, reports: &[PaceReport]) -> usize {
        let mut recorded = 0;
        let used = if self.learns_capacity { reports } else { &[] };
        for report in used {
            if self.owned_slots.contains(&report.engine) {
                continue;
            }
            let mut engines = self.pools.values_mut().flat_map(|pool| &mut pool.engines);
            let engine = engines.find(|engine| engine.key == report.engine && engine.entry.slots > 1);
            recorded += usize::from(engine.is_some_and(|engine| engine.capacity.record_report(now, *report)));
        }
        recorded
    }
}
