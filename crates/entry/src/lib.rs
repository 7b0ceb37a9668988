//! The entry process, which serves callers on one entry host.
//!
//! One thread holds the control state: membership, scheduler and gate of each
//! environment, as one actor. Traffic threads carry callers' connections and
//! attempts on engines, and ask the control thread for every decision.
//!
//! ```no_run
//! // Reads the settings file named on the command line, then serves until told to stop.
//! std::process::exit(i32::from(carawayseam_entry::main() != std::process::ExitCode::SUCCESS));
//! ```

mod admin;
mod feeds;
mod flags;
mod process;
mod state;
mod traffic;

use std::process::ExitCode;

/// Runs the process until it is told to stop; prints a start-up error.
#[must_use]
pub fn main() -> ExitCode {
    let flags = flags::parse();
    carawayseam_node::exit_code("carawayseam-entry", process::run(&flags))
}
