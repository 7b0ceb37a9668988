//! Starts the one thread of the process and stops it in order.

use std::net::SocketAddr;
use std::sync::Arc;

use carawayseam_clients::{EngineClient, HostListClient, Http, KvClient};
use carawayseam_node::{
    HostProcess, LogRevision, Metrics, Settings, Sockets, init_logging, wait_for_stop_signal,
};
use carawayseam_types::{Clock, Incarnation, Millis};
use eyre::WrapErr;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::runtime::Builder;

use crate::calls::Outside;
use crate::flags::Flags;
use crate::{admin, state, streams};

const STORE_TIMEOUT: Millis = Millis(1_500);

/// Where the process listens, printed as one line once it does.
#[derive(Debug, Serialize)]
struct Listening {
    admin: SocketAddr,
    peers: SocketAddr,
}

/// Runs the process until a signal asks it to stop.
pub(crate) fn run(flags: &Flags) -> eyre::Result<()> {
    let settings = Settings::read(&flags.settings)?;
    let log_revision = init_logging("control", &settings.host);
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("cannot start the control thread")?;
    runtime.block_on(serve(Arc::new(settings), log_revision))
}

async fn serve(settings: Arc<Settings>, log_revision: LogRevision) -> eyre::Result<()> {
    let clock = Clock::system();
    let sockets = Sockets::bind(settings.peers).await?;
    let operators = TcpListener::bind(settings.admin)
        .await
        .wrap_err("cannot listen for operators")?;
    let http = Http::builder().timeout(STORE_TIMEOUT).build()?;
    // A watch stays open longer than other calls, so it has its own limit.
    let watching = Http::builder().disable_pooling().build()?;
    let outside = Outside {
        store: KvClient::new(http.clone(), &settings.store),
        watched: KvClient::new(watching, &settings.store),
        hosts: HostListClient::new(http, &settings.host_list),
        engines: EngineClient::new()?,
        clock: clock.clone(),
    };
    let process = HostProcess {
        log_revision,
        incarnation: Incarnation(clock.now().0),
        clock,
        address: sockets.address,
        datagrams: Arc::clone(&sockets.datagrams),
        metrics: Metrics::new(settings.metrics),
        settings,
    };
    let control = state::start(&process, &outside);
    print_listening(&Listening {
        admin: operators.local_addr()?,
        peers: sockets.address,
    })?;
    tokio::spawn(streams::accept(control.clone(), sockets.streams));
    tokio::spawn(axum::serve(operators, admin::routes(control.clone())).into_future());
    wait_for_stop_signal().await.wrap_err("cannot wait for signals")?;
    log::info!("planned stop: leases are given back");
    control.leave().await;
    log::info!("stopped");
    Ok(())
}

fn print_listening(listening: &Listening) -> eyre::Result<()> {
    println!("{}", serde_json::to_string(listening)?);
    log::info!(admin:% = listening.admin, peers:% = listening.peers; "listening");
    Ok(())
}
