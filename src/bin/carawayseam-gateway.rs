//! The gateway process on the users' platform.

use std::process::ExitCode;

fn main() -> ExitCode {
    carawayseam_gateway::main(carawayseam_platform::Deployment)
}
