//! Sends an open-loop load to entry hosts and checks each answer.

use std::process::ExitCode;

fn main() -> ExitCode {
    carawayseam_standins::loadgen::main()
}
