//! The stand-in for a plain service.

use std::process::ExitCode;

fn main() -> ExitCode {
    carawayseam_standins::service::main()
}
