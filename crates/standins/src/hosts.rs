//! The platform's host list, which shows a change only after a lag.
//!
//! `PUT` of a [`HostList`] on [`HOSTS_PATH`] replaces the list.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};

use axum::extract::State;
use axum::routing::get;
use axum::{Json, Router};
use bpaf::Bpaf;
use carawayseam_external::hosts::{HOSTS_PATH, HostList};
use carawayseam_types::{Clock, Millis};

use crate::StandinError;
use crate::server::{Running, run, start};
use crate::switch::{FaultSwitch, lock};

/// Settings of a host list.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, generate(options))]
pub struct Config {
    /// Where to listen; port 0 lets the kernel choose
    #[bpaf(argument("ADDRESS"))]
    pub listen: SocketAddr,
    /// The time until a change shows, such as 2s
    #[bpaf(argument("SPAN"), fallback(Millis::ZERO), display_fallback)]
    pub lag: Millis,
}

/// Runs the process.
#[must_use]
pub fn main() -> ExitCode {
    run("hosts", serve(options().run()))
}

/// Starts a host list.
///
/// # Errors
///
/// When the address cannot be listened on.
pub async fn serve(cfg: Config) -> Result<Running, StandinError> {
    let lists = Arc::new(Lists::new(cfg.lag));
    let routes = Router::new()
        .route(HOSTS_PATH, get(read).put(write))
        .with_state(lists);
    start(cfg.listen, FaultSwitch::new(0), routes).await
}

#[derive(Debug)]
struct Lists {
    lag: Millis,
    clock: Clock,
    /// The lists with the times from which they show, oldest first.
    shown_from: Mutex<Vec<(Millis, HostList)>>,
}

impl Lists {
    fn new(lag: Millis) -> Self {
        Self {
            lag,
            clock: Clock::system(),
            shown_from: Mutex::new(vec![(Millis::ZERO, HostList::default())]),
        }
    }

    fn shown(&self) -> HostList {
        let now = self.clock.now();
        let mut lists = lock(&self.shown_from);
        let newest = lists.iter().rposition(|(from, _)| *from <= now).unwrap_or(0);
        lists.drain(..newest);
        lists.first().map(|(_, list)| list.clone()).unwrap_or_default()
    }

    fn replace(&self, list: HostList) {
        lock(&self.shown_from).push((self.clock.now() + self.lag, list));
    }
}

async fn read(State(lists): State<Arc<Lists>>) -> Json<HostList> {
    Json(lists.shown())
}

async fn write(State(lists): State<Arc<Lists>>, Json(list): Json<HostList>) -> Json<HostList> {
    lists.replace(list);
    Json(lists.shown())
}
