//! What control costs on a node that serves nothing: processor time and memory.

use std::time::Duration;

use crate::error::io;
use crate::{Fleet, Process, Programs, TestbedError};

const DOCUMENT: &str = include_str!("../../../examples/ben-slama.yaml");
const HOSTS: [(&str, &str); 5] = [
    ("entry-a1", "sfax-a"),
    ("entry-a2", "sfax-a"),
    ("entry-b1", "sfax-b"),
    ("entry-b2", "sfax-b"),
    ("entry-c1", "sfax-c"),
];
/// Start-up is over by then.
const SETTLE: Duration = Duration::from_secs(8);
const WATCHED: Duration = Duration::from_secs(20);
/// The kernel's unit of processor time for `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;
const KIB_PER_MIB: f64 = 1_024.0;
const PERCENT: f64 = 100.0;
/// Fields of `/proc/PID/stat` after the program's name.
const USER_TIME: usize = 11;
const SYSTEM_TIME: usize = 12;

/// Watches five idle hosts and prints the mean of their processes.
pub(crate) async fn measure(programs: &Programs) -> Result<(), TestbedError> {
    let mut builder = Fleet::builder(programs.clone(), DOCUMENT);
    for (host, zone) in HOSTS {
        builder = builder.host(host, zone);
    }
    let fleet = builder.start().await?;
    tokio::time::sleep(SETTLE).await;
    let entries: Vec<&Process> = fleet.hosts.iter().map(|host| &host.entry).collect();
    let controls: Vec<&Process> = fleet
        .hosts
        .iter()
        .filter_map(|host| host.control.as_ref())
        .collect();
    let before = (total_time(&entries)?, total_time(&controls)?);
    tokio::time::sleep(WATCHED).await;
    print_mean("entry", &entries, before.0)?;
    print_mean("control", &controls, before.1)
}

fn print_mean(name: &str, processes: &[&Process], before: f64) -> Result<(), TestbedError> {
    let count = processes.len() as f64;
    let time = (total_time(processes)? - before) / count / WATCHED.as_secs_f64();
    let mut memory = 0.0;
    for process in processes {
        memory += resident_mib(process)?;
    }
    let (time, memory) = (time * PERCENT, memory / count);
    println!("{name} process, idle, mean of {count}: {time:.2} % of a core, {memory:.1} MiB resident");
    Ok(())
}

/// The processor time that processes have used, in seconds.
fn total_time(processes: &[&Process]) -> Result<f64, TestbedError> {
    let mut ticks = 0.0;
    for process in processes {
        let stat = read(process, "stat")?;
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let field = |place: usize| {
            fields
                .get(place)
                .and_then(|text| text.parse::<f64>().ok())
                .unwrap_or(0.0)
        };
        ticks += field(USER_TIME) + field(SYSTEM_TIME);
    }
    Ok(ticks / TICKS_PER_SECOND)
}

fn resident_mib(process: &Process) -> Result<f64, TestbedError> {
    let status = read(process, "status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|text| text.parse::<f64>().ok());
    Ok(kib.unwrap_or(0.0) / KIB_PER_MIB)
}

fn read(process: &Process, file: &str) -> Result<String, TestbedError> {
    let id = process.id().unwrap_or_default();
    std::fs::read_to_string(format!("/proc/{id}/{file}")).map_err(io("reading a process's figures"))
}
