//! The gateway process, an HTTP/1.1 reverse proxy for requests with opaque bodies.
//!
//! The gateway looks up a request's route and organisation, chooses a backend server and forwards
//! the response as it arrives. Only the [`Platform`] implementation knows how a deployment names
//! its headers, store keys and documents, and translates them.
//!
//! One thread runs the control state as an actor: configuration, backend servers, peers and
//! rollouts of versions. Traffic threads serve connections and schedule requests with
//! [`carawayseam_dispatch`] behind one lock that is held for microseconds.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`platform`] | the interface that a deployment implements |
//! | [`settings`] | the settings file |
//! | [`check_configuration`] | the check of a configuration before it is sent |
//! | [`client_memory`] | the budget of what is held for clients |
//! | [`http_client`], [`sockets`] | connections with time limits |
//! | [`stopping`] | the phases of a planned shutdown and their times |
//! | [`relay`] | connections to backend servers through a peer |
//! | `traffic` | requests, from the head of a request to the end of its response |
//! | `control` | the store, the peers and rollouts |

mod body_memory;
pub mod client_memory;
mod configuration_check;
mod control;
mod flags;
pub mod http_client;
mod log_limit;
mod metrics;
mod peer_link;
pub mod platform;
mod process;
mod read_limit;
mod readiness;
pub mod relay;
mod request_log;
mod resettable_stream;
pub mod settings;
mod shared;
pub mod sockets;
pub mod stopping;
mod traffic;

use std::process::ExitCode;

use flags::Invocation;

pub use configuration_check::{CheckedConfiguration, ConfigurationFile, check_configuration};
pub use platform::Platform;
pub use process::serve;

/// Runs the process until a signal stops it, or checks a configuration; prints an error that prevents its start.
pub fn main<P: Platform>(platform: P) -> ExitCode {
    match flags::parse() {
        Invocation::CheckConfiguration {
            check_configuration,
            in_force,
        } => configuration_check::run(&platform, &check_configuration, in_force.as_deref()),
        Invocation::Serve { flags } => match process::run(&flags, platform) {
            Ok(()) => ExitCode::SUCCESS,
            Err(e) => {
                eprintln!("carawayseam-gateway: {e:#}");
                ExitCode::FAILURE
            }
        },
    }
}
