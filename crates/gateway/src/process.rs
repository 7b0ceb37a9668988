//! Starts the process's threads and shuts them down in order.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;

use carawayseam_dispatch::Dispatcher;
use carawayseam_dispatch::freshness::{Freshness, Reachability};
use carawayseam_dispatch::gossip::Budget;
use carawayseam_dispatch::poison::PoisonTracker;
use carawayseam_dispatch::poison_parts::PoisonParts;
use carawayseam_dispatch::quota::Quotas;
use carawayseam_dispatch::retries::RetryBounds;
use carawayseam_dispatch::rollouts::{ProcessId, Rollouts};
use carawayseam_dispatch::server_limits::ServerLimits;
use carawayseam_dispatch::store_tree::Registration;
use carawayseam_node::{LogRevision, init_stdout_logging, wait_for_stop_signal};
use carawayseam_types::{Clock, Incarnation, Millis};
use eyre::WrapErr;
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use tokio::net::{TcpListener, UdpSocket};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::body_memory::BodyMemory;
use crate::client_memory::ClientMemory;
use crate::control::{self, ControlState, Event, HostRecord};
use crate::flags::Flags;
use crate::log_limit::LogLimit;
use crate::metrics::Metrics;
use crate::peer_link::PeerLink;
use crate::platform::Platform;
use crate::readiness;
use crate::relay;
use crate::request_log;
use crate::request_log::SHARE_LOG_INTERVAL;
use crate::settings::Settings;
use crate::shared::{DispatchState, Shared, StoreHistory, lock};
use crate::stopping::Phase;
use crate::traffic::{self, IdleConnections};

/// Subtracted from `max_key_age`, because a confirmed configuration may lag behind the store by the
/// response time of a watch, and because time passes between the check of a key and the arrival of
/// the request at a server.
const KEY_AGE_MARGIN: Millis = Millis(1_400);
/// The interval at which the control state checks its timers.
const TICK_INTERVAL: Millis = Millis(50);
const STOP_POLL_INTERVAL: Millis = Millis(50);
/// The time for the last bytes of responses to be sent.
const FLUSH_TIME: Millis = Millis(100);
/// The time for the last log lines to be written.
const LOG_FLUSH_TIME: Millis = Millis(100);
/// The interval at which the settings file is checked for changes that no signal announced.
const SETTINGS_POLL_INTERVAL: Millis = Millis::from_secs(5);

/// Reads the settings and serves until a signal stops the process; with `--check` only reads them.
pub(crate) fn run<P: Platform>(flags: &Flags, platform: P) -> eyre::Result<()> {
    let mut settings = Settings::read(&flags.settings)?;
    settings.memory = flags.memory.unwrap_or(settings.memory);
    if flags.check {
        println!("{}: valid", flags.settings.display());
        return Ok(());
    }
    serve(settings, &flags.settings, platform)
}

/// Serves until a signal stops the process.
///
/// `file` is the file from which the settings were read; it is read again when it changes.
///
/// # Errors
///
/// When an address cannot be listened on, or a thread cannot be started.
pub fn serve<P: Platform>(settings: Settings, file: &Path, platform: P) -> eyre::Result<()> {
    let (log_revision, log_lines) = init_stdout_logging("gateway", &settings.host);
    let platform = Arc::new(platform);
    let incarnation = Incarnation(Clock::system().now().0);
    let peers = PeerLink::bind(&settings.host, settings.peers).wrap_err("cannot listen for peers")?;
    let shared = Arc::new(build_shared(settings, &*platform, incarnation, peers));
    log::info!(incarnation = incarnation.0; "started");

    let traffic =
        build_runtime(shared.settings.traffic_threads).wrap_err("cannot start the traffic threads")?;
    let callers = traffic
        .block_on(TcpListener::bind(shared.settings.callers))
        .wrap_err("cannot listen for callers")?;
    let relayed = traffic
        .block_on(TcpListener::bind(shared.settings.peers))
        .wrap_err("cannot listen for relayed connections")?;
    let (stop, stopped) = oneshot::channel();
    let control_shared = Arc::clone(&shared);
    let file = file.to_owned();
    let control = thread::Builder::new().name("control".to_owned()).spawn(move || {
        let result = run_control(&control_shared, platform, incarnation, log_revision, &file);
        if stop.send(()).is_err() {
            log::debug!("the traffic threads ended first");
        }
        result
    });
    let control = control.wrap_err("cannot start the control thread")?;
    traffic.block_on(async {
        let server = tokio::spawn(traffic::serve(Arc::clone(&shared), callers));
        let relay = tokio::spawn(relay::serve(Arc::clone(&shared), relayed));
        if stopped.await.is_err() {
            log::error!("the control thread ended unexpectedly");
        }
        server.abort();
        relay.abort();
    });
    traffic.shutdown_background();
    let result = control
        .join()
        .unwrap_or_else(|_| Err(eyre::eyre!("the control thread panicked")));
    log_lines.flush(LOG_FLUSH_TIME);
    result
}

fn build_runtime(threads: usize) -> std::io::Result<Runtime> {
    match threads {
        1 => Builder::new_current_thread().enable_all().build(),
        threads => Builder::new_multi_thread()
            .worker_threads(threads)
            .thread_name("traffic")
            .enable_all()
            .build(),
    }
}

fn build_shared<P: Platform>(
    settings: Settings,
    platform: &P,
    incarnation: Incarnation,
    peers: PeerLink,
) -> Shared {
    let bounds = RetryBounds {
        ratio: settings.retries.ratio,
        extra: settings.retries.extra,
    };
    let max_age = settings.max_key_age - KEY_AGE_MARGIN;
    let client_memory = ClientMemory::new(settings.memory, settings.max_client_connections);
    let client_memory = Arc::new(client_memory);
    let body_memory = BodyMemory::new(settings.memory, Arc::clone(&client_memory));
    let mut dispatcher = Dispatcher::new(settings.zone.clone(), bounds, incarnation.0);
    if !settings.learned_placement {
        dispatcher.disable_capacity_learning();
    }
    let quotas = Quotas::new(settings.host.clone(), settings.quota_tolerance);
    let server_limits = ServerLimits::new(settings.host.clone());
    let process = ProcessId {
        host: settings.host.clone(),
        incarnation,
    };
    let poison = PoisonTracker::new(settings.host.clone());
    let clock = Clock::boot();
    Shared {
        headers: platform.headers(),
        settings,
        gossip_budget: Mutex::new(Budget::full(clock.now())),
        clock,
        catalog: watch::Sender::new(None),
        freshness: Mutex::new(Freshness::new(max_age)),
        dispatch: Mutex::new(DispatchState::new(dispatcher, quotas, server_limits)),
        rollouts: Mutex::new(Rollouts::new(process)),
        body_memory,
        client_memory,
        poison: Mutex::new(poison),
        poison_parts: Mutex::new(PoisonParts::default()),
        part_blocks: watch::Sender::new(0),
        connections: IdleConnections::default(),
        phase: watch::Sender::new(Phase::Serving),
        stop_plan: OnceLock::new(),
        metrics: Metrics::default(),
        peers,
        reachability: Mutex::new(Reachability::default()),
        store_followers: AtomicU32::new(1),
        registration: watch::Sender::new(Registration::SMALL_FLEET),
        is_large_fleet: AtomicBool::new(false),
        overload: Mutex::default(),
        relay_budget: Mutex::default(),
        own_bytes: AtomicU64::new(0),
        share_log: LogLimit::new(SHARE_LOG_INTERVAL),
        relayed_bytes: AtomicU64::new(0),
        configuration_item: Mutex::new(None),
        store_history: Mutex::new(StoreHistory::default()),
        store_era: watch::Sender::new(None),
        unready_since: Mutex::new(None),
        open_requests: AtomicUsize::new(0),
        used_connections: AtomicUsize::new(0),
    }
}

fn run_control<P: Platform>(
    shared: &Arc<Shared>,
    platform: Arc<P>,
    incarnation: Incarnation,
    log_revision: LogRevision,
    file: &Path,
) -> eyre::Result<()> {
    let runtime = build_runtime(1).wrap_err("cannot start the control thread")?;
    runtime.block_on(async {
        let admin = TcpListener::bind(shared.settings.admin)
            .await
            .wrap_err("cannot listen on the admin address")?;
        let peers = shared
            .peers
            .socket()
            .and_then(UdpSocket::from_std)
            .wrap_err("cannot listen for peers")?;
        let peers = Arc::new(peers);
        let (tx, decisions) = mpsc::unbounded_channel();
        let (lagging_tx, lagging_rx) = mpsc::unbounded_channel();
        let state = ControlState::new(Arc::clone(shared), incarnation, log_revision, tx, lagging_tx);
        let control = ControlState::spawn_with_mailbox(state, mailbox::unbounded());
        tokio::spawn(control::write_rollout_decisions(
            Arc::clone(shared),
            Arc::clone(&platform),
            decisions,
        ));
        tokio::spawn(control::fetch_configurations(
            Arc::clone(shared),
            Arc::clone(&platform),
            control.clone(),
            lagging_rx,
        ));
        tokio::spawn(readiness::serve(Arc::clone(shared), admin));
        if let Some(address) = shared.settings.metrics {
            let metrics = TcpListener::bind(address)
                .await
                .wrap_err("cannot listen on the metrics address")?;
            tokio::spawn(readiness::serve(Arc::clone(shared), metrics));
        }
        tokio::spawn(tick(control.clone()));
        tokio::spawn(control::receive(
            Arc::clone(shared),
            Arc::clone(&peers),
            control.clone(),
        ));
        tokio::spawn(control::send_heartbeats(peers, control.clone()));
        let record = HostRecord {
            address: shared.settings.announced_address(),
            incarnation,
            zone: shared.settings.zone.clone(),
        };
        let store = platform.store(shared.settings.store);
        tokio::spawn(control::register(
            Arc::clone(shared),
            store,
            platform.keys(),
            record,
        ));
        tokio::spawn(control::follow_store(Arc::clone(shared), platform, control));
        tokio::spawn(control::measure_overload(Arc::clone(shared)));
        tokio::spawn(reload(Arc::clone(shared), file.to_owned()));
        wait_for_stop_signal().await.wrap_err("cannot wait for signals")?;
        stop(shared).await;
        Ok(())
    })
}

async fn tick(control: ActorRef<ControlState>) {
    let mut ticks = interval(TICK_INTERVAL.to_duration());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if control.tell(Event::Tick).try_send().is_err() {
            return;
        }
    }
}

/// Shuts down in phases: callers move to other hosts, open requests complete, and the last ones get final responses.
async fn stop(shared: &Shared) {
    let plan = shared.begin_stop();
    log::info!("shutting down");
    sleep_until(shared, plan.refuse_streams_at).await;
    shared.phase.send_replace(Phase::RefusingStreams);
    sleep_until(shared, plan.close_idle_at).await;
    shared.phase.send_replace(Phase::ClosingIdle);
    wait_until_zero(shared, &[&shared.open_requests], plan.stop_accepting_at).await;
    shared.phase.send_replace(Phase::NotAccepting);
    // A request may have arrived just before the listener closed.
    sleep(FLUSH_TIME.to_duration()).await;
    // A connection closes once its last response has been sent, which a slow caller delays.
    let open = [&shared.open_requests, &shared.used_connections];
    wait_until_zero(shared, &open, plan.answer_at).await;
    shared.phase.send_replace(Phase::Answering);
    wait_until_zero(shared, &open, plan.end_at).await;
    shared.phase.send_replace(Phase::BreakingOff);
    sleep(FLUSH_TIME.to_duration()).await;
    request_log::record_stop(shared, plan);
}

async fn sleep_until(shared: &Shared, time: Millis) {
    sleep(time.since(shared.now()).to_duration()).await;
}

/// Waits until all counts are zero, at most until the deadline.
async fn wait_until_zero(shared: &Shared, counts: &[&AtomicUsize], deadline: Millis) {
    let is_open = || counts.iter().any(|count| count.load(Ordering::Relaxed) > 0);
    while is_open() && shared.now() < deadline {
        sleep(STOP_POLL_INTERVAL.to_duration()).await;
    }
}

/// Applies changed settings that need no restart, after a hangup signal or when the file changes.
async fn reload(shared: Arc<Shared>, file: std::path::PathBuf) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(e) => {
            log::error!(error:% = e; "settings are not reloaded: cannot listen for the hangup signal");
            return;
        }
    };
    let mut current = shared.settings.clone();
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(SETTINGS_POLL_INTERVAL.to_duration()) => false,
        };
        // The memory is set at the start only, and the command line may state it.
        let read = Settings::read(&file).map(|settings| Settings {
            memory: current.memory,
            ..settings
        });
        match read {
            Ok(settings) if settings != current => {
                let max_age = settings.max_key_age - KEY_AGE_MARGIN;
                lock(&shared.freshness).set_max_age(max_age);
                log::info!(signalled = signalled; "settings reloaded");
                current = settings;
            }
            Ok(_) if signalled => log::info!(signalled = true; "settings unchanged"),
            Ok(_) => {}
            Err(e) => log::error!(error:% = e; "the settings cannot be reloaded; the old ones stay in force"),
        }
    }
}
