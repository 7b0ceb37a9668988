//! The stand-in for a model engine.

use std::process::ExitCode;

fn main() -> ExitCode {
    carawayseam_standins::engine::main()
}
