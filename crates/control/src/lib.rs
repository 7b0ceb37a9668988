//! The control process: leases, orders to engines and moves, one on each entry host.
//!
//! Any of them may hold an environment's lease, and no host is set aside. The
//! holder writes the records of moves and orders engines; all of them watch
//! the store as far as their availability zone needs, and spread what they
//! learn to their peers.
//!
//! ```no_run
//! // Reads the settings file named on the command line, then runs until told to stop.
//! std::process::exit(i32::from(carawayseam_control::main() != std::process::ExitCode::SUCCESS));
//! ```

mod admin;
mod calls;
mod flags;
mod process;
mod state;
mod streams;
mod watch;

use std::process::ExitCode;

/// Runs the process until it is told to stop; prints a start-up error.
#[must_use]
pub fn main() -> ExitCode {
    let flags = flags::parse();
    carawayseam_node::exit_code("carawayseam-control", process::run(&flags))
}
