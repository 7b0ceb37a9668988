//! What every stand-in's process does: listen, tell where, serve.

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use axum::extract::DefaultBodyLimit;
use axum::routing::get;
use axum::{Router, middleware};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::StandinError;
use crate::connection::{ConnectionHandle, FaultyListener};
use crate::faults::FAULTS_PATH;
use crate::switch::{FaultSwitch, MAX_REQUEST_BYTES, inject, replace, show};

/// A stand-in that serves; dropping it stops it.
#[derive(Debug)]
pub struct Running {
    address: SocketAddr,
    switch: Arc<FaultSwitch>,
    task: JoinHandle<std::io::Result<()>>,
}

impl Running {
    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Its fault switches.
    #[must_use]
    pub fn switch(&self) -> &FaultSwitch {
        &self.switch
    }

    /// Prints the line that tells starters where it listens.
    fn announce(&self) -> Result<(), StandinError> {
        let line = serde_json::json!({ "listening": self.address });
        let mut out = std::io::stdout().lock();
        writeln!(out, "{line}")
            .and_then(|()| out.flush())
            .map_err(|source| StandinError::Print { source })
    }

    /// Serves until the process ends.
    async fn wait(mut self) -> Result<(), StandinError> {
        match (&mut self.task).await {
            Ok(served) => served.map_err(|source| StandinError::Serve { source }),
            Err(e) => Err(StandinError::Serve {
                source: std::io::Error::other(e),
            }),
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Listens on `listen` and serves `routes` with the fault switches beside them.
pub(crate) async fn start(
    listen: SocketAddr,
    switch: Arc<FaultSwitch>,
    routes: Router,
) -> Result<Running, StandinError> {
    let failed = |source| StandinError::Listen {
        address: listen,
        source,
    };
    let listener = TcpListener::bind(listen).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let listener = FaultyListener::new(listener, address, Arc::clone(&switch));
    let app = with_switches(routes, &switch).into_make_service_with_connect_info::<ConnectionHandle>();
    let task = tokio::spawn(async move { axum::serve(listener, app).await });
    Ok(Running {
        address,
        switch,
        task,
    })
}

fn with_switches(routes: Router, switch: &Arc<FaultSwitch>) -> Router {
    let switches = Router::new()
        .route(FAULTS_PATH, get(show).post(replace))
        .with_state(Arc::clone(switch));
    routes
        .merge(switches)
        .layer(middleware::from_fn_with_state(Arc::clone(switch), inject))
        .layer(DefaultBodyLimit::max(MAX_REQUEST_BYTES))
}

/// Runs a stand-in's process to its end; its log lines name it `name`.
pub(crate) fn run<F>(name: &str, starting: F) -> ExitCode
where
    F: Future<Output = Result<Running, StandinError>>,
{
    finish(block_on(name, async {
        let running = starting.await?;
        running.announce()?;
        running.wait().await
    }))
}

/// Runs a future on a runtime of its own, with logs to the standard error.
pub(crate) fn block_on<T>(
    name: &str,
    work: impl Future<Output = Result<T, StandinError>>,
) -> Result<T, StandinError> {
    let name = name
        .parse()
        .expect("names of engines and of hosts follow one rule");
    // A stand-in follows no revision.
    drop(carawayseam_node::init_logging("standin", &name));
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .worker_threads(WORKER_THREADS)
        .build()
        .map_err(|source| StandinError::Runtime { source })?
        .block_on(work)
}

/// Stand-ins run by the dozen on one machine, so each gets few threads.
const WORKER_THREADS: usize = 2;

/// Maps the end of a process to its exit code.
fn finish(result: Result<(), StandinError>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("{:#}", eyre::Report::new(e));
            ExitCode::FAILURE
        }
    }
}
