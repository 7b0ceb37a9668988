//! Datagrams between hosts that route alone.

use carawayseam_types::{EngineKey, HostId, Millis, OrganisationId};
use serde::{Deserialize, Serialize};

use crate::Beat;

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A heartbeat.
    Beat(Beat),
    /// Asks the keeper of an organisation's account for tokens.
    QuotaAsk(QuotaAsk),
    /// Asks the keeper of a backend server's slots for one of them.
    SlotAsk {
        /// The asking host.
        host: HostId,
        /// Repeated in the answer.
        ask: u64,
        /// The server.
        engine: EngineKey,
    },
    /// Answers an ask.
    Answer {
        /// The ask's number.
        ask: u64,
        /// What became of it.
        answer: AskAnswer,
    },
    /// A request left a server.
    SlotReturn {
        /// The host that had the slot.
        host: HostId,
        /// The server.
        engine: EngineKey,
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

/// What became of an ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AskAnswer {
    /// For tokens.
    Quota(QuotaOutcome),
    /// For a slot.
    Slot(SlotOutcome),
}

/// What became of an ask for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotOutcome {
    /// It is the asking host's until it is returned.
    Granted,
    /// All are taken.
    Full,
    /// The host does not know the server.
    NotKept,
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
