//! Rounds in which a host of a large fleet sends to a few others, in place of heartbeats to all.
//!
//! The number of datagrams and bytes that a host sends does not depend on the size of the fleet, nor on how many
//! peers are lost: each round goes to a fixed number of hosts, and a budget bounds all of it.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `budget` | the bytes and datagrams that may be sent |
//! | `targets` | the hosts that a round goes to |
//! | `statuses` | what the hosts said of themselves in their latest rounds |
//! | `earlier_builds` | hosts that still send heartbeats to all |

mod budget;
mod earlier_builds;
mod statuses;
mod targets;

pub use budget::{Budget, PACKET_OVERHEAD_BYTES};
pub use earlier_builds::EarlierBuilds;
pub use statuses::{Status, Statuses};
pub use targets::{ROUND_INTERVAL, Rounds, Target};
