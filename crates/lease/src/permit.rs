//! The right to send one order, checked immediately before it.

use carawayseam_external::engine::{EngineLoadout, Order};
use carawayseam_types::{FencingToken, Millis};

use crate::LapseCause;

/// The right to send one order.
///
/// Only a holder whose lease still runs gives one. It is used up by the
/// order, which takes its fencing token, so no order exists without it.
#[derive(Debug, PartialEq, Eq)]
pub struct OrderPermit {
    pub(crate) token: FencingToken,
    pub(crate) remaining: Millis,
}

impl OrderPermit {
    /// Makes the order that asks for a wanted state.
    #[must_use]
    pub const fn order(self, wanted: EngineLoadout) -> Order {
        Order {
            fencing: self.token,
            wanted,
        }
    }

    /// How long the lease still runs; the order must have left by then.
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
    /// This host held the lease, which has lapsed since.
    #[display("the lease has lapsed: {_0}")]
    Lapsed(#[error(not(source))] LapseCause),
}
