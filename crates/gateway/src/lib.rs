//! The gateway process: serves callers whose requests are opaque bytes.
//!
//! Callers speak HTTP/1.1, and so do the backend servers behind it. The gateway finds a
//! request's route and organisation, chooses a backend server, and passes the answer on
//! as it comes. What a deployment calls its headers, keys and documents is known only to
//! its [`Platform`], which translates.
//!
//! One thread holds the control state as an actor: configuration, backend servers, peers,
//! moves between versions. Traffic threads carry connections, and decide by
//! [`carawayseam_dispatch`], behind one lock that is held for microseconds.
//!
//! | module | job |
//! | --- | --- |
//! | [`platform`] | what a deployment has to translate |
//! | [`settings`] | the settings file |
//! | [`http_client`], [`sockets`] | connections with time limits |
//! | `traffic` | one request from its head to the end of its answer |
//! | `control` | the store, the peers, moves between versions |

mod control;
mod flags;
pub mod http_client;
mod metered;
mod metrics;
mod peer_link;
pub mod platform;
mod process;
mod readiness;
mod request_log;
pub mod settings;
mod shared;
pub mod sockets;
mod traffic;

use std::process::ExitCode;

pub use platform::Platform;
pub use process::serve;

/// Runs the process until it is told to stop; prints a start-up error.
pub fn main<P: Platform>(platform: P) -> ExitCode {
    let flags = flags::parse();
    match process::run(&flags, platform) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("carawayseam-gateway: {e:#}");
            ExitCode::FAILURE
        }
    }
}
