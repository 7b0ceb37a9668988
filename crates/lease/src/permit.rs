//! The permit for one order, obtained immediately before the order is sent.

use carawayseam_external::engine::{EngineLoadout, Order};
use carawayseam_types::{FencingToken, Millis};

use crate::LapseCause;

/// A permit to send one order.
///
/// It is issued only while this host's lease is valid. Creating an order
/// consumes the permit and copies its fencing token into the order.
#[derive(Debug, PartialEq, Eq)]
pub struct OrderPermit {
    pub(crate) token: FencingToken,
    pub(crate) remaining: Millis,
}

impl OrderPermit {
    /// Returns the order for a wanted state, with the permit's fencing token.
    #[must_use]
    pub const fn order(self, wanted: EngineLoadout) -> Order {
        Order {
            fencing: self.token,
            wanted,
        }
    }

    /// Returns the time until the lease expires. The order must be sent before then.
    #[must_use]
    pub const fn remaining(&self) -> Millis {
        self.remaining
    }
}

/// Why no order may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display, derive_more::Error)]
pub enum PermitDenied {
    /// This host does not hold the lease.
    #[display("this host does not hold the lease")]
    NotHolder,
    /// This host's lease has lapsed.
    #[display("the lease has lapsed: {_0}")]
    Lapsed(#[error(not(source))] LapseCause),
}
