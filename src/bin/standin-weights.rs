//! The stand-in for a weight store.

use std::process::ExitCode;

fn main() -> ExitCode {
    carawayseam_standins::weights::main()
}
