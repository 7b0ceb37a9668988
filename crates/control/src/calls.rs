//! Calls to the platform and to engines, each a task that reports back.

use std::net::SocketAddr;

use carawayseam_clients::{CallError, EngineClient, HostListClient, KvClient, PutOutcome};
use carawayseam_external::engine::EngineLoadout;
use carawayseam_external::kv::{Conflict, Entry, PutReply, PutRequest};
use carawayseam_lease::{OrderOutcome, OrderPermit, PlanEvent, StoreCall, StoreResponse};
use carawayseam_rollout::RolloutRecord;
use carawayseam_types::{Clock, EngineId, Millis};

const STATUS_CONFLICT: u16 = 409;

/// The systems outside.
#[derive(Debug, Clone)]
pub(crate) struct Outside {
    pub(crate) store: KvClient,
    pub(crate) watched: KvClient,
    pub(crate) hosts: HostListClient,
    pub(crate) engines: EngineClient,
    pub(crate) clock: Clock,
}

/// What became of a move's write.
#[derive(Debug)]
pub(crate) enum WriteOutcome {
    /// The store has this entry now, whoever wrote it.
    Stands(Entry),
    /// Nobody can tell; the driver writes again.
    Lost,
}

impl Outside {
    /// Makes one call of a lease.
    pub(crate) async fn call_store(&self, request: StoreCall) -> StoreResponse {
        let answered = match request {
            StoreCall::Grant(grant) => self
                .store
                .grant(Millis(grant.ttl_ms))
                .await
                .map(StoreResponse::Granted),
            StoreCall::Put(put) => self.store.put(&put).await.map(answer_of_put),
            StoreCall::Get { key } => self.store.get(&key).await.map(StoreResponse::Entry),
            StoreCall::Renew(lease) => {
                let renewed = self.store.renew(lease.lease).await;
                renewed.map(|lease| lease.map_or(StoreResponse::LeaseGone, StoreResponse::Renewed))
            }
            StoreCall::Revoke(lease) => self
                .store
                .revoke(lease.lease)
                .await
                .map(|()| StoreResponse::LeaseGone),
        };
        answered.unwrap_or(StoreResponse::NoResponse)
    }

    /// Writes a move's record over the entry at `expect`, and reads back a lost answer.
    pub(crate) async fn write_move(&self, key: String, record: &RolloutRecord, expect: u64) -> WriteOutcome {
        let Ok(value) = serde_json::to_string(record) else {
            return WriteOutcome::Lost;
        };
        let put = PutRequest::swap(key.clone(), value.clone(), expect);
        match self.store.put(&put).await {
            Ok(PutOutcome::Written { revision }) => WriteOutcome::Stands(Entry { key, value, revision }),
            Ok(PutOutcome::Conflict(Some(entry))) => WriteOutcome::Stands(entry),
            Ok(PutOutcome::Conflict(None) | PutOutcome::OverBudget) => WriteOutcome::Lost,
            Err(_) => match self.store.get(&key).await {
                Ok(Some(entry)) => WriteOutcome::Stands(entry),
                Ok(None) | Err(_) => WriteOutcome::Lost,
            },
        }
    }

    /// Reads an engine's state for the planner.
    pub(crate) async fn read_engine(&self, engine: EngineId, address: SocketAddr) -> PlanEvent {
        match self.engines.state(address).await {
            Ok(state) => PlanEvent::State(state),
            Err(e) => {
                log::debug!("the state of {engine} was not read: {e}");
                PlanEvent::StateFailed(engine)
            }
        }
    }

    /// Sends an order under its permit, unless the lease ends before it could arrive.
    pub(crate) async fn order_engine(
        &self,
        engine: EngineId,
        address: SocketAddr,
        permit: OrderPermit,
        valid_until: Millis,
        wanted: EngineLoadout,
    ) -> PlanEvent {
        // A freeze between the permit and this line must not let the order out late.
        let now = self.clock.now();
        if now >= valid_until {
            return PlanEvent::Ordered {
                engine,
                outcome: OrderOutcome::NotPermitted,
            };
        }
        let limit = valid_until.since(now).to_duration();
        let order = permit.order(wanted);
        let ordering = self.engines.order(address, &order);
        let outcome = match tokio::time::timeout(limit, ordering).await {
            Ok(Ok(state)) => OrderOutcome::Accepted(state),
            Ok(Err(CallError::Status {
                status: STATUS_CONFLICT,
            })) => OrderOutcome::Fenced,
            Ok(Err(e)) => {
                log::info!(engine:% = engine; "an order was not answered: {e}");
                OrderOutcome::NoResponse
            }
            Err(_) => OrderOutcome::NoResponse,
        };
        PlanEvent::Ordered { engine, outcome }
    }
}

fn answer_of_put(outcome: PutOutcome) -> StoreResponse {
    match outcome {
        PutOutcome::Written { revision } => StoreResponse::Written(PutReply { revision }),
        PutOutcome::Conflict(current) => StoreResponse::Conflict(Conflict { current }),
        PutOutcome::OverBudget => StoreResponse::NoResponse,
    }
}
