//! News about the fleet: documents, standings, reports, caches, versions and the planned stop.

use std::sync::Arc;

use carawayseam_config::Document;
use carawayseam_types::{AttemptId, BackendName, Digest, EngineId, HostId, VersionId};

use crate::index::{EngineIx, PoolIx};
use crate::poison::Trust;
use crate::scheduler::Scheduler;
use crate::timers::Due;
use crate::{Action, AttemptFailure, EngineReport, EngineStanding};

impl Scheduler {
    pub(crate) fn configure(&mut self, document: Arc<Document>, actions: &mut Vec<Action>) {
        self.fleet.configure(&document);
        for org in &document.organisations {
            let ix = self.organisations.intern(&org.name);
            if self.shares.len() <= ix {
                self.shares.resize(ix + 1, 1);
            }
            self.shares[ix] = org.share;
        }
        self.total_share = document.organisations.iter().map(|org| org.share).sum();
        let concurrency = self.fleet.concurrency();
        self.budget.configure(document.limits.retry_budget, concurrency);
        self.withdrawn.retain(|(backend, from), _| {
            let moves = document
                .moves
                .iter()
                .any(|m| m.backend == *backend && m.to == *from);
            let serves = document.backend(backend).is_some_and(|b| b.version == *from);
            moves && !serves
        });
        self.document = Some(document);
        self.assign_owners(actions);
        for pool in self.fleet.pool_indices() {
            self.serve(pool, actions);
        }
    }

    pub(crate) fn standing(&mut self, name: EngineId, standing: EngineStanding, actions: &mut Vec<Action>) {
        let Some(ix) = self.fleet.find(&name) else {
            return self.fleet.remember_standing(name, standing);
        };
        let before = self.fleet.engine(ix).standing;
        if before == standing {
            return;
        }
        match standing {
            EngineStanding::Live => self.fleet.engine_mut(ix).limit.slow_start(),
            EngineStanding::Leaving => {}
            EngineStanding::Gone => self.affinity.clear(ix),
        }
        self.fleet.set_standing(ix, standing);
        if standing == EngineStanding::Gone {
            self.fail_attempts(ix, actions);
        }
        let pool = self.fleet.engine(ix).pool;
        self.serve(pool, actions);
    }

    pub(crate) fn load(&mut self, report: &EngineReport, actions: &mut Vec<Action>) {
        let Some(ix) = self.fleet.find(&report.engine) else {
            return;
        };
        let attempts = self.fleet.engine(ix).running.iter();
        let jobs = attempts.filter_map(|attempt| self.running(*attempt));
        let own = jobs.filter(|job| job.state.started <= report.reported_at).count();
        let now = self.now;
        let expires = self.fleet.engine_mut(ix).on_report(now, report, own as u32);
        if let Some(at) = expires {
            self.timers.set(at, Due::Engine(ix));
        }
        self.fleet.refresh(ix);
        let pool = self.fleet.engine(ix).pool;
        self.pump(pool, actions);
    }

    pub(crate) fn cache(&mut self, engine: &EngineId, prefix: Digest, present: bool) {
        match self.fleet.find(engine) {
            Some(ix) if present => self.affinity.add(ix, prefix),
            Some(ix) => self.affinity.remove(ix, prefix),
            None => {}
        }
    }

    pub(crate) fn cache_gap(&mut self, engine: &EngineId) {
        if let Some(ix) = self.fleet.find(engine) {
            self.affinity.clear(ix);
        }
    }

    pub(crate) fn poison_reported(
        &mut self,
        content: Digest,
        engine: EngineId,
        crashes: u32,
        host: &HostId,
        actions: &mut Vec<Action>,
    ) {
        let is_own = *host == self.config.host;
        if is_own || !self.poison.learn(content, engine, host, crashes) {
            return;
        }
        if self.poison.trust(content) == Trust::Blocked {
            self.refuse_blocked(content, actions);
        }
    }

    pub(crate) fn version_withdrawn(
        &mut self,
        backend: BackendName,
        from: VersionId,
        to: VersionId,
        actions: &mut Vec<Action>,
    ) {
        if from == to {
            return;
        }
        self.withdrawn.remove(&(backend.clone(), to.clone()));
        let pools = self.fleet.group(&backend, &from).to_vec();
        self.withdrawn.insert((backend, from), to);
        self.hold_again(actions);
        for pool in pools {
            for seq in self.fleet.pool(pool).queue.all() {
                if let Some(job) = self.take_queued(seq) {
                    self.run_again(job.core, actions);
                }
            }
        }
    }

    /// Begins the planned stop: peers get the queue, running work is finished.
    pub(crate) fn drain(&mut self, actions: &mut Vec<Action>) {
        self.draining = true;
        self.assign_owners(actions);
    }

    /// Dispatches from a pool, or moves its queue when all its engines left.
    fn serve(&mut self, pool: PoolIx, actions: &mut Vec<Action>) {
        if self.fleet.pool(pool).live == 0 {
            self.replace_queued(pool, actions);
        } else {
            self.pump(pool, actions);
        }
    }

    /// Ends all attempts of an engine that is gone; that is no crash.
    fn fail_attempts(&mut self, ix: EngineIx, actions: &mut Vec<Action>) {
        let attempts: Vec<AttemptId> = self.fleet.engine(ix).running.iter().copied().collect();
        for attempt in attempts {
            if let Some(job) = self.cancel_attempt(attempt, actions) {
                self.after_failure(job, AttemptFailure::ConnectionLost, actions);
            }
        }
    }
}
