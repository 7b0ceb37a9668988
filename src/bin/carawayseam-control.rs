//! The control process, which holds leases and drives moves.

use std::process::ExitCode;

fn main() -> ExitCode {
    carawayseam_control::main()
}
