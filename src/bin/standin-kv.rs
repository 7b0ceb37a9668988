//! The stand-in for a key-value service.

use std::process::ExitCode;

fn main() -> ExitCode {
    carawayseam_standins::kv::main()
}
