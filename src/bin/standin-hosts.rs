//! The stand-in for a host list.

use std::process::ExitCode;

fn main() -> ExitCode {
    carawayseam_standins::hosts::main()
}
