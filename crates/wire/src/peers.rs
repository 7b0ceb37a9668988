//! Datagrams between hosts that route alone.

use carawayseam_types::{HostId, Millis, OrganisationId};
use serde::{Deserialize, Serialize};

use crate::Beat;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A heartbeat.
    Beat(Beat),
    /// Asks the keeper of an organisation's account for tokens.
    QuotaAsk(QuotaAsk),
    /// Answers a [`QuotaAsk`].
    QuotaAnswer {
        /// The ask's number.
        ask: u64,
        /// What became of it.
        outcome: QuotaOutcome,
    },
    /// Gives tokens back that were not used.
    QuotaReturn {
        /// Whose they are.
        organisation: OrganisationId,
        /// How many.
        tokens: u32,
    },
}

/// Asks for the tokens of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAsk {
    /// The asking host.
    pub host: HostId,
    /// Repeated in the answer.
    pub ask: u64,
    /// Whose quota.
    pub organisation: OrganisationId,
    /// How many.
    pub tokens: u32,
    /// How long the request can wait for them.
    pub patience: Millis,
}

/// What became of a [`QuotaAsk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaOutcome {
    /// The tokens are there after this time.
    Granted(Millis),
    /// They are not; they would be after this time.
    Refused(Millis),
    /// The host does not keep the account, or does not know the organisation.
    NotKept,
}
