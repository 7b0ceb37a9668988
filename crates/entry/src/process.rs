//! Starts the threads and stops them in order.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use axum::serve::ListenerExt;
use carawayseam_claims::HostIncarnation;
use carawayseam_clients::{ClaimClient, EngineClient, Http, KvClient, ServiceClient};
use carawayseam_node::{
    HostProcess, LogRevision, Metrics, Settings, Sockets, init_logging, wait_for_stop_signal,
};
use carawayseam_types::{Clock, Incarnation, Millis};
use eyre::WrapErr;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use crate::flags::Flags;
use crate::state::ControlHandle;
use crate::traffic::Traffic;
use crate::{admin, feeds, state, traffic};

const STORE_TIMEOUT: Millis = Millis(1_000);
/// How much longer than the longest deadline open requests may take on a planned stop.
const DRAIN_GRACE: Millis = Millis::from_secs(5);
/// How long slow readers may take for what is left of their answers.
const FLUSH_LIMIT: Millis = Millis::from_secs(35);
const DRAIN_POLL: Millis = Millis(50);

/// Where the process listens, printed as one line once it does.
#[derive(Debug, Serialize)]
struct Listening {
    callers: SocketAddr,
    admin: SocketAddr,
    peers: SocketAddr,
}

/// Runs the process until a signal asks it to stop.
pub(crate) fn run(flags: &Flags) -> eyre::Result<()> {
    let settings = Settings::read(&flags.settings)?;
    let log_revision = init_logging("entry", &settings.host);
    let runtime = Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .wrap_err("cannot start the traffic threads")?;
    runtime.block_on(serve(Arc::new(settings), log_revision))
}

async fn serve(settings: Arc<Settings>, log_revision: LogRevision) -> eyre::Result<()> {
    let clock = Clock::system();
    let incarnation = Incarnation(clock.now().0);
    let sockets = Sockets::bind(settings.peers).await?;
    let callers = TcpListener::bind(settings.callers)
        .await
        .wrap_err("cannot listen for callers")?;
    let operators = TcpListener::bind(settings.admin)
        .await
        .wrap_err("cannot listen for operators")?;
    let metrics = Metrics::new(settings.metrics);

    let http = Http::builder().timeout(STORE_TIMEOUT).build()?;
    let store = KvClient::new(http.clone(), &settings.store);
    let owner = HostIncarnation {
        host: settings.host.clone(),
        incarnation,
    };
    let process = HostProcess {
        log_revision,
        settings: Arc::clone(&settings),
        clock: clock.clone(),
        incarnation,
        address: sockets.address,
        datagrams: Arc::clone(&sockets.datagrams),
        metrics: metrics.clone(),
    };
    let control = start_control(process).await?;
    let traffic = Arc::new(Traffic {
        settings: Arc::clone(&settings),
        clock,
        metrics,
        owner: owner.clone(),
        control: control.clone(),
        engines: EngineClient::new()?,
        services: ServiceClient::new()?,
        claims: ClaimClient::new(store.clone(), owner),
        stopping: traffic::Stopping::default(),
        numbers: traffic::Numbers::default(),
    });

    print_listening(&Listening {
        callers: callers.local_addr()?,
        admin: operators.local_addr()?,
        peers: sockets.address,
    })?;
    feeds::start(&settings, &control, &store, &http);
    tokio::spawn(traffic::peers::accept(Arc::clone(&traffic), sockets.streams));
    let admin = axum::serve(operators, admin::routes(Arc::clone(&traffic))).into_future();
    tokio::spawn(admin);
    // Small frames must not wait for the caller's delayed acknowledgement of the last one.
    let callers = callers.tap_io(|stream| {
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("a caller's connection keeps its delay: {e}");
        }
    });
    let (close, closing) = oneshot::channel::<()>();
    let serving = axum::serve(callers, traffic::callers::routes(Arc::clone(&traffic)))
        .with_graceful_shutdown(async move { drop(closing.await) });
    let serving = tokio::spawn(serving.into_future());

    wait_for_stop_signal().await.wrap_err("cannot wait for signals")?;
    drain(&traffic).await;
    answer(close, ());
    flush(serving).await;
    traffic.control.leave().await;
    log::info!("stopped");
    Ok(())
}

fn print_listening(listening: &Listening) -> eyre::Result<()> {
    let line = serde_json::to_string(listening)?;
    println!("{line}");
    log::info!(callers:% = listening.callers, admin:% = listening.admin, peers:% = listening.peers; "listening");
    Ok(())
}

/// Starts the thread that holds the control state.
async fn start_control(process: HostProcess) -> eyre::Result<ControlHandle> {
    let (tx, rx) = oneshot::channel();
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || run_control(&process, tx))
        .wrap_err("cannot start the control thread")?;
    rx.await.wrap_err("the control thread ended")?
}

fn run_control(process: &HostProcess, started: oneshot::Sender<eyre::Result<ControlHandle>>) {
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => return answer(started, Err(e.into())),
    };
    run_actor(&runtime, process, started);
}

fn run_actor(
    runtime: &Runtime,
    process: &HostProcess,
    started: oneshot::Sender<eyre::Result<ControlHandle>>,
) {
    runtime.block_on(async {
        let handle = state::start(process);
        let ended = handle.clone();
        answer(started, Ok(handle));
        ended.wait_for_end().await;
    });
}

fn answer<T>(tx: oneshot::Sender<T>, value: T) {
    // The receiver is gone only when the process is already ending.
    drop(tx.send(value));
}

/// Stops without cutting a request: readiness first, then no new work, then the end.
async fn drain(traffic: &Traffic) {
    log::info!(notice:% = traffic.settings.drain_notice; "planned stop: readiness fails");
    traffic.stopping.fail_readiness();
    tokio::time::sleep(traffic.settings.drain_notice.to_duration()).await;
    traffic.stopping.refuse_new();
    traffic.control.drain();
    let until = traffic.clock.now() + traffic.control.longest_deadline() + DRAIN_GRACE;
    while traffic.stopping.open_requests() > 0 && traffic.clock.now() < until {
        tokio::time::sleep(DRAIN_POLL.to_duration()).await;
    }
}

/// Waits until the last parts have left for slow readers and each connection is closed.
async fn flush(serving: JoinHandle<std::io::Result<()>>) {
    if tokio::time::timeout(FLUSH_LIMIT.to_duration(), serving)
        .await
        .is_err()
    {
        log::warn!("a caller did not take its last part within {FLUSH_LIMIT}");
    }
}
