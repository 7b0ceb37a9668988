//! Connections to backend servers through a peer, for a host that does not reach the servers itself.
//!
//! The host that received the request, the origin, keeps all decisions on it: queue, slot, quota,
//! permit, deadline, retries and resumption. The peer only copies bytes.
//!
//! 1. The origin connects to the peer by TCP, on the address for datagrams, and sends a
//!    [`RelayRequest`](carawayseam_wire::RelayRequest) that names itself and the backend server.
//! 2. The peer looks the server up in its own list, connects to it directly, and sends a
//!    [`RelayResponse`](carawayseam_wire::RelayResponse). There is no second hop, and thus no loop.
//! 3. The peer copies bytes both ways until both sides have ended. A side that breaks off resets the
//!    other one, so that a response without a length is complete only if the server completed it.
//!
//! A relayed connection carries one request. It counts as an open request of the peer, whose planned
//! shutdown waits for its end.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `client` | opens a connection through a peer |
//! | `server` | accepts connections from peers and connects to the backend servers |
//! | `copy` | copies bytes both ways |

mod client;
mod copy;
mod server;

pub use carawayseam_wire::RelayRefusal;
pub(crate) use client::connect;
pub use client::{RelayError, connect_at};
pub(crate) use server::serve;
