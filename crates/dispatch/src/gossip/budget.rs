//! The bytes and datagrams that a host may send in gossip rounds.

use carawayseam_types::Millis;

/// Size of the UDP and IP headers of a datagram.
pub const PACKET_OVERHEAD_BYTES: usize = 28;
/// The rates at which the budget refills. Membership takes 4 kB a second besides, so that both together stay under 2%
/// of a link of 10 Mbit/s.
const BYTES_PER_SECOND: u64 = 20_000;
const DATAGRAMS_PER_SECOND: u64 = 60;
/// The time whose budget can be spent at once.
const BURST: Millis = Millis(500);
const MILLIS_PER_SECOND: u64 = 1_000;

/// A budget that refills with time. It is kept in thousandths, so that short steps are not rounded away.
#[derive(Debug)]
pub struct Budget {
    milli_bytes: u64,
    milli_datagrams: u64,
    refilled_at: Millis,
}

impl Budget {
    /// Returns a full budget.
    #[must_use]
    pub const fn full(now: Millis) -> Self {
        Self {
            milli_bytes: BYTES_PER_SECOND * BURST.0,
            milli_datagrams: DATAGRAMS_PER_SECOND * BURST.0,
            refilled_at: now,
        }
    }

    /// Spends the budget for `datagrams` datagrams of `bytes` bytes each, without their headers.
    ///
    /// Returns false, and spends nothing, if it does not cover them.
    pub fn try_spend(&mut self, now: Millis, datagrams: usize, bytes: usize) -> bool {
        self.refill(now);
        let milli_datagrams = (datagrams as u64).saturating_mul(MILLIS_PER_SECOND);
        let milli_bytes = milli_datagrams.saturating_mul(bytes.saturating_add(PACKET_OVERHEAD_BYTES) as u64);
        let is_covered = milli_datagrams <= self.milli_datagrams && milli_bytes <= self.milli_bytes;
        if is_covered {
            self.milli_datagrams -= milli_datagrams;
            self.milli_bytes -= milli_bytes;
        }
        is_covered
    }

    fn refill(&mut self, now: Millis) {
        let elapsed = now.since(self.refilled_at).min(BURST).0;
        self.refilled_at = self.refilled_at.max(now);
        let bytes = self.milli_bytes + BYTES_PER_SECOND * elapsed;
        let datagrams = self.milli_datagrams + DATAGRAMS_PER_SECOND * elapsed;
        self.milli_bytes = bytes.min(BYTES_PER_SECOND * BURST.0);
        self.milli_datagrams = datagrams.min(DATAGRAMS_PER_SECOND * BURST.0);
    }
}
