//! What the process reads from the platform by itself.

use std::net::SocketAddr;
use std::sync::Arc;

use carawayseam_clients::{EngineClient, HostListClient, Http, KvClient};
use carawayseam_node::{Settings, fetch_heads, read_current_document, record_from_entry, rollouts_prefix};
use carawayseam_types::{EngineId, EnvironmentId, Millis};
use tokio::time::sleep;

use crate::state::{ControlHandle, EngineReading};

const HOST_LIST_PERIOD: Millis = Millis(1_000);
const ENGINE_PERIOD: Millis = Millis(1_000);
const BOOTSTRAP_PERIOD: Millis = Millis(500);

/// Starts the tasks that read host list, engines and, until a document is known, the store.
pub(crate) fn start(settings: &Arc<Settings>, control: &ControlHandle, store: &KvClient, http: &Http) {
    let hosts = HostListClient::new(http.clone(), &settings.host_list);
    tokio::spawn(read_hosts(hosts, control.clone()));
    for environment in &settings.environments {
        tokio::spawn(bootstrap(
            environment.clone(),
            Arc::clone(settings),
            store.clone(),
            control.clone(),
        ));
    }
    match EngineClient::new() {
        Ok(engines) => drop(tokio::spawn(read_engines(engines, control.clone()))),
        Err(e) => log::error!("engines are not read: {e}"),
    }
}

async fn read_hosts(hosts: HostListClient, control: ControlHandle) {
    loop {
        match hosts.read().await {
            Ok(list) => control.host_list(list),
            Err(e) => log::debug!("the host list was not read: {e}"),
        }
        sleep(HOST_LIST_PERIOD.to_duration()).await;
    }
}

/// Asks the store and the seeds until a document is known; later news comes from peers.
async fn bootstrap(
    environment: EnvironmentId,
    settings: Arc<Settings>,
    store: KvClient,
    control: ControlHandle,
) {
    while !control.has_document(&environment) {
        if let Err(e) = read_store(&environment, &store, &control).await {
            log::warn!(environment:% = environment; "the store was not read: {e}");
        }
        for seed in &settings.seeds {
            ask_seed(*seed, &control).await;
        }
        sleep(BOOTSTRAP_PERIOD.to_duration()).await;
    }
}

async fn read_store(
    environment: &EnvironmentId,
    store: &KvClient,
    control: &ControlHandle,
) -> eyre::Result<()> {
    if let Some(record) = read_current_document(store, environment).await? {
        control.record(record);
    }
    let moves = store.range(&rollouts_prefix(environment)).await?;
    for entry in &moves.entries {
        if let Some(record) = record_from_entry(environment, entry)? {
            control.record(record);
        }
    }
    Ok(())
}

async fn ask_seed(seed: SocketAddr, control: &ControlHandle) {
    match fetch_heads(seed).await {
        Ok(heads) => control.heads(seed, heads),
        Err(e) => log::debug!("seed {seed} was not read: {e}"),
    }
}

/// Reads load and cache events of the engines that this host decides for.
async fn read_engines(engines: EngineClient, control: ControlHandle) {
    loop {
        for reading in control.engines_to_read().await {
            let after = reading.after;
            let EngineReading {
                environment,
                engine,
                address,
                ..
            } = reading;
            read_load(&engines, &environment, &engine, address, &control).await;
            match engines.cache_events(address, after).await {
                Ok(events) => control.cache_events(environment, engine, events),
                Err(e) => log::debug!("cache events of {engine} were not read: {e}"),
            }
        }
        sleep(ENGINE_PERIOD.to_duration()).await;
    }
}

async fn read_load(
    engines: &EngineClient,
    environment: &EnvironmentId,
    engine: &EngineId,
    address: SocketAddr,
    control: &ControlHandle,
) {
    match engines.load(address).await {
        Ok(load) => control.engine_load(environment.clone(), load),
        Err(e) => log::debug!("the load of {engine} was not read: {e}"),
    }
}
