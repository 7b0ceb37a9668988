//! One environment in the control state.

use std::collections::HashMap;
use std::sync::Arc;

use carawayseam_config::Document;
use carawayseam_node::HostProcess;
use carawayseam_rollout::{Gate, GateEvent, Observation, Served};
use carawayseam_scheduler::{Request, Scheduler, SchedulerConfig};
use carawayseam_types::{
    AttemptId, BackendName, EngineId, EnvironmentId, Incarnation, RequestSeq, Revision, RouteName, VersionId,
};
use tokio::sync::mpsc::UnboundedSender;

use super::messages::{EnvironmentDump, Signal};

/// A request open on this host.
#[derive(Debug)]
pub(super) struct OpenRequest {
    pub(super) signals: UnboundedSender<Signal>,
    pub(super) backend: BackendName,
    pub(super) route: RouteName,
    pub(super) version: VersionId,
    /// Whether the gate counts a dispatch for it.
    was_picked: bool,
    /// Attempts of which the gate heard what became of them.
    observations: u32,
}

/// The state of one environment.
#[derive(Debug)]
pub(super) struct Environment {
    pub(super) name: EnvironmentId,
    pub(super) document: Option<Arc<Document>>,
    pub(super) revision: Option<Revision>,
    pub(super) scheduler: Scheduler,
    pub(super) gate: Gate,
    pub(super) requests: HashMap<RequestSeq, OpenRequest>,
    pub(super) attempts: HashMap<AttemptId, RequestSeq>,
    pub(super) cache_seen: HashMap<EngineId, u64>,
}

impl Environment {
    pub(super) fn new(name: EnvironmentId, process: &HostProcess) -> Self {
        let host = process.settings.host.clone();
        let zone = process.settings.zone.clone();
        let Incarnation(seed) = process.incarnation;
        Self {
            name,
            document: None,
            revision: None,
            scheduler: Scheduler::new(SchedulerConfig::new(host.clone(), zone).seed(seed)),
            gate: Gate::new(host, process.incarnation),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            cache_seen: HashMap::new(),
        }
    }

    pub(super) fn open_request(
        &mut self,
        request: &Request,
        was_picked: bool,
        signals: UnboundedSender<Signal>,
    ) {
        let open = OpenRequest {
            signals,
            backend: request.backend.clone(),
            route: request.route.clone(),
            version: request.version.clone(),
            was_picked,
            observations: 0,
        };
        self.requests.insert(request.seq, open);
    }

    pub(super) fn open_attempt(&mut self, attempt: AttemptId, request: RequestSeq) {
        self.attempts.insert(attempt, request);
    }

    /// What the gate is to hear of an attempt's end.
    ///
    /// The gate counted one dispatch when it picked the version, so each
    /// further attempt is counted first. A request that was closed was
    /// excused by then.
    pub(super) fn observe(&mut self, request: RequestSeq, observation: Observation) -> Vec<GateEvent> {
        let Some(open) = self.requests.get_mut(&request) else {
            return Vec::new();
        };
        open.observations += 1;
        let backend = open.backend.clone();
        let again = (open.observations > 1).then(|| GateEvent::Dispatched {
            backend: backend.clone(),
            route: observation.route.clone(),
            version: observation.version.clone(),
        });
        again
            .into_iter()
            .chain([GateEvent::Observed { backend, observation }])
            .collect()
    }

    /// Forgets a request, and says so to the gate if its version was picked in vain.
    pub(super) fn close_request(&mut self, request: RequestSeq) -> Option<GateEvent> {
        let open = self.requests.remove(&request)?;
        if !open.was_picked || open.observations > 0 {
            return None;
        }
        let OpenRequest {
            backend,
            route,
            version,
            ..
        } = open;
        let observation = Observation {
            route,
            version,
            served: Served::Excused,
            first: None,
            gap_micros: None,
        };
        Some(GateEvent::Observed { backend, observation })
    }

    /// Sends a decision to the request's task; a task that has ended needs none.
    pub(super) fn signal(&self, request: RequestSeq, signal: Signal) {
        if let Some(open) = self.requests.get(&request)
            && open.signals.send(signal).is_err()
        {
            log::debug!("request {request} had ended");
        }
    }

    pub(super) fn dump(&self) -> EnvironmentDump {
        EnvironmentDump {
            environment: self.name.clone(),
            revision: self.revision.map(|revision| revision.0),
            digest: self.document.as_ref().map(|document| document.digest.to_string()),
            open_requests: self.requests.len(),
            open_attempts: self.attempts.len(),
            scheduler: self.scheduler.dump(),
            moves: self.gate.dump(),
        }
    }
}
