//! Spread of configuration and membership between processes.
//!
//! Each node runs an entry and a control process, which send each other the
//! real messages; these are encoded and counted. Time stands on a manual
//! clock and all chance is seeded.

mod cluster;
mod cost;
mod document;
mod failure;
mod leases;
mod process;
mod promotion;
mod reversion;
mod store;

use crate::report::Row;

/// Runs the part and gives its rows.
pub(crate) fn run() -> Vec<Row> {
    let mut rows = promotion::run();
    rows.extend(reversion::run());
    rows.extend(cost::run());
    rows.extend(leases::run());
    rows.extend(failure::run());
    rows
}
