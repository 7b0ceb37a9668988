//! What an entry process adds to a direct call of the same stand-in, and what idle hosts cost.

use std::process::ExitCode;

use tokio::runtime::Runtime;

use crate::demo::fail;
use crate::error::io;
use crate::{Fleet, Program, Programs, TestbedError, idle};

const DOCUMENT: &str = include_str!("../../../tests/documents/small.yaml");
/// Stand-ins so fast that what is timed is the way to them.
const FAST_ENGINE: [&str; 3] = ["--prefill=100000000/s", "--decode=1000000/s", "--max-batch=2000"];
/// One route to a plain service and one to a model, each with a stand-in that serves it.
const ROUTES: [(&str, &str); 2] = [("balance", "pay-a"), ("tag", "chat-a1")];

/// Starts a fleet of one entry host and measures what it adds.
#[must_use]
pub fn main() -> ExitCode {
    match Runtime::new().map(|runtime| runtime.block_on(run())) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(e)) => fail(&e),
        Err(e) => fail(&e),
    }
}

async fn run() -> Result<(), TestbedError> {
    let programs = Programs::beside_this_one()?;
    for (route, engine) in ROUTES {
        let fleet = Fleet::builder(programs.clone(), DOCUMENT)
            .host("entry-a", "zone-a")
            .engine_args(&FAST_ENGINE)
            .service_args(&["--service-time=0ms"])
            .start()
            .await?;
        measure(&programs, &fleet, route, engine).await?;
    }
    idle::measure(&programs).await
}

async fn measure(programs: &Programs, fleet: &Fleet, route: &str, engine: &str) -> Result<(), TestbedError> {
    let file = fleet.write_document("measured.yaml", &fleet.document)?;
    let host = &fleet.hosts[0];
    let direct = fleet.engines[engine].address("listening")?;
    let status = tokio::process::Command::new(programs.path(Program::LoadGenerator)?)
        .arg("overhead")
        .arg(format!("--entry=http://{}", host.callers))
        .arg(format!("--direct=http://{direct}"))
        .arg(format!("--document={file}"))
        .arg(format!("--route={route}"))
        .arg(format!("--pid={}", host.entry.id().unwrap_or_default()))
        .status()
        .await
        .map_err(io("running the load generator"))?;
    if status.success() {
        return Ok(());
    }
    let (command, output) = ("loadgen overhead".to_owned(), status.to_string());
    Err(TestbedError::Command { command, output })
}
