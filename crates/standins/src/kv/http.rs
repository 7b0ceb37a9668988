//! The store's calls over HTTP, with their budget and faults.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::extract::{ConnectInfo, Query, Request, State};
use axum::http::StatusCode;
use axum::middleware::{self, Next};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use carawayseam_external::kv::{
    DELETE_PATH, DeleteRequest, Entry, GET_PATH, GRANT_PATH, GrantRequest, Lease, LeaseRequest,
    MAX_VALUE_BYTES, PUT_PATH, PutReply, PutRequest, RANGE_PATH, RENEW_PATH, REVOKE_PATH, Range, WATCH_PATH,
};
use carawayseam_types::{Clock, Millis};
use serde::Deserialize;
use tokio::sync::watch;
use tokio::time::Instant;

use super::state::{Refused, Store};
use super::{Config, Stats};
use crate::bucket::Bucket;
use crate::connection::ConnectionHandle;
use crate::faults::STATS_PATH;
use crate::switch::{FaultSwitch, lock};

/// How often lapsed entries are looked for, so that watches hear of them.
const EXPIRY_PERIOD: Duration = Duration::from_millis(20);

type Shared = State<Arc<Kv>>;

#[derive(Debug)]
struct Kv {
    clock: Clock,
    switch: Arc<FaultSwitch>,
    store: Mutex<Store>,
    /// The store as it was when the fault `old_values` was switched on.
    old: Mutex<Option<Store>>,
    bucket: Mutex<Bucket>,
    stats: Mutex<Stats>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Deserialize)]
struct Key {
    key: String,
}

#[derive(Debug, Deserialize)]
struct Below {
    prefix: String,
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

pub(super) fn routes(cfg: &Config, switch: &Arc<FaultSwitch>) -> Router {
    let clock = Clock::system();
    let kv = Arc::new(Kv {
        bucket: Mutex::new(Bucket::new(cfg.calls_per_second, clock.now())),
        clock,
        switch: Arc::clone(switch),
        store: Mutex::default(),
        old: Mutex::default(),
        stats: Mutex::default(),
        changed: watch::Sender::new(0),
    });
    tokio::spawn(expire_regularly(Arc::clone(&kv)));
    let writes = Router::new()
        .route(PUT_PATH, post(put))
        .route(DELETE_PATH, post(delete))
        .route(GRANT_PATH, post(grant))
        .layer(middleware::from_fn_with_state(Arc::clone(&kv), lose_answer));
    Router::new()
        .route(GET_PATH, get(read))
        .route(RANGE_PATH, get(range))
        .route(WATCH_PATH, get(watch_prefix))
        .route(RENEW_PATH, post(renew))
        .route(REVOKE_PATH, post(revoke))
        .merge(writes)
        .layer(middleware::from_fn_with_state(Arc::clone(&kv), count))
        .route(STATS_PATH, get(stats))
        .with_state(kv)
}

impl Kv {
    /// The store that reads see.
    fn seen<T>(&self, look: impl FnOnce(&Store) -> T) -> T {
        let mut old = lock(&self.old);
        let mut store = lock(&self.store);
        store.expire(self.clock.now());
        if !self.switch.faults().old_values {
            *old = None;
            return look(&store);
        }
        look(old.get_or_insert_with(|| store.clone()))
    }

    fn write<T>(&self, write: impl FnOnce(&mut Store, Millis) -> T) -> T {
        let now = self.clock.now();
        // Reads that are to answer old values need them from before this write.
        if self.switch.faults().old_values {
            self.seen(|_| ());
        }
        let written = write(&mut lock(&self.store), now);
        self.changed.send_modify(|version| *version += 1);
        written
    }
}

async fn expire_regularly(kv: Arc<Kv>) {
    let mut period = tokio::time::interval(EXPIRY_PERIOD);
    loop {
        period.tick().await;
        if lock(&kv.store).expire(kv.clock.now()) {
            kv.changed.send_modify(|version| *version += 1);
        }
    }
}

/// Counts each call by its kind, and refuses those over the budget.
async fn count(State(kv): Shared, req: Request, next: Next) -> Response {
    if !lock(&kv.bucket).take(kv.clock.now()) {
        lock(&kv.stats).refused += 1;
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    }
    lock(&kv.stats).count(req.uri().path());
    next.run(req).await
}

impl Stats {
    fn count(&mut self, path: &str) {
        let counter = match path {
            GET_PATH => &mut self.get,
            PUT_PATH => &mut self.put,
            DELETE_PATH => &mut self.delete,
            RANGE_PATH => &mut self.range,
            WATCH_PATH => &mut self.watch,
            _ => &mut self.lease,
        };
        *counter += 1;
    }
}

/// Closes the connection after a write took effect, when such a fault is on.
async fn lose_answer(
    State(kv): Shared,
    ConnectInfo(ConnectionHandle(connection)): ConnectInfo<ConnectionHandle>,
    req: Request,
    next: Next,
) -> Response {
    let answer = next.run(req).await;
    let next_lost = kv.switch.update(|faults| {
        let lost = faults.lose_answers_next > 0;
        faults.lose_answers_next = faults.lose_answers_next.saturating_sub(1);
        lost
    });
    if next_lost || kv.switch.happens(kv.switch.faults().lose_answers_rate) {
        lock(&kv.stats).lost_answers += 1;
        connection.cut();
    }
    answer
}

async fn read(State(kv): Shared, Query(at): Query<Key>) -> Result<Json<Entry>, StatusCode> {
    let found = kv.seen(|store| store.get(&at.key));
    found.map(Json).ok_or(StatusCode::NOT_FOUND)
}

async fn range(State(kv): Shared, Query(below): Query<Below>) -> Json<Range> {
    let mut range = kv.seen(|store| store.range(&below.prefix, 0));
    range.deleted.clear();
    Json(range)
}

async fn watch_prefix(State(kv): Shared, Query(below): Query<Below>) -> Json<Range> {
    let until = Instant::now() + Duration::from_millis(below.wait_ms);
    let mut changed = kv.changed.subscribe();
    loop {
        let frozen = kv.switch.faults().freeze_watches;
        let range = kv.seen(|store| store.range(&below.prefix, below.after));
        let empty = range.entries.is_empty() && range.deleted.is_empty();
        match empty {
            _ if frozen => std::future::pending().await,
            false => return Json(range),
            true => {}
        }
        tokio::select! {
            _ = changed.changed() => {}
            () = tokio::time::sleep_until(until) => return Json(range),
        }
    }
}

async fn put(State(kv): Shared, Json(put): Json<PutRequest>) -> Result<Json<PutReply>, Response> {
    if put.value.len() > MAX_VALUE_BYTES {
        return Err(StatusCode::PAYLOAD_TOO_LARGE.into_response());
    }
    let written = kv.write(|store, now| store.put(now, put));
    written.map(Json).map_err(refuse)
}

async fn delete(State(kv): Shared, Json(delete): Json<DeleteRequest>) -> Result<Json<PutReply>, Response> {
    let written = kv.write(|store, now| store.delete(now, &delete));
    written.map(Json).map_err(refuse)
}

fn refuse(refused: Refused) -> Response {
    match refused {
        Refused::Conflict(conflict) => (StatusCode::CONFLICT, Json(conflict)).into_response(),
        Refused::NoLease => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn grant(State(kv): Shared, Json(wanted): Json<GrantRequest>) -> Json<Lease> {
    Json(kv.write(|store, now| store.grant(now, Millis(wanted.ttl_ms))))
}

async fn renew(State(kv): Shared, Json(named): Json<LeaseRequest>) -> Result<Json<Lease>, StatusCode> {
    let renewed = kv.write(|store, now| store.renew(now, named.lease));
    renewed.map(Json).ok_or(StatusCode::NOT_FOUND)
}

async fn revoke(State(kv): Shared, Json(named): Json<LeaseRequest>) {
    kv.write(|store, now| store.revoke(now, named.lease));
}

async fn stats(State(kv): Shared) -> Json<Stats> {
    Json(*lock(&kv.stats))
}
