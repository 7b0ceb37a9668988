//! Runs both example firms on stand-ins and prints what happened.

use std::process::ExitCode;

fn main() -> ExitCode {
    carawayseam_testbed::demo()
}
