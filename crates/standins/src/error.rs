//! Why a stand-in or the load generator stops.

use std::io;
use std::net::SocketAddr;

/// A failure that ends the process.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum StandinError {
    /// The address cannot be listened on.
    #[display("cannot listen on {address}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's reason.
        source: io::Error,
    },
    /// The server broke off.
    #[display("the server stopped")]
    Serve {
        /// The system's reason.
        source: io::Error,
    },
    /// The runtime cannot be started.
    #[display("the runtime cannot be started")]
    Runtime {
        /// The system's reason.
        source: io::Error,
    },
    /// The address line cannot be printed.
    #[display("cannot print the address")]
    Print {
        /// The system's reason.
        source: io::Error,
    },
    /// An HTTP client cannot be made.
    #[display("cannot make an HTTP client")]
    Client {
        /// The library's reason.
        source: reqwest::Error,
    },
}
