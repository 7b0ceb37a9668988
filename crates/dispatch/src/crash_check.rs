//! Decides by connection attempts whether a server that lost a response has crashed.

use carawayseam_types::Millis;

/// The pause before each connection attempt.
///
/// A process that ends may still accept connections for a moment after it has closed those it had, so one
/// accepted connection does not show that it lives.
const PAUSES: [Millis; 3] = [Millis(0), Millis(40), Millis(160)];

/// The connection attempts after a lost response.
#[derive(Debug, Default)]
pub struct CrashCheck {
    attempts: usize,
}

/// What follows from a connection attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The server has crashed.
    Crashed,
    /// The server lives; it lost the response for another reason.
    Alive,
    /// The server accepted a connection; it is checked again.
    Undecided,
}

impl CrashCheck {
    /// Returns the pause before the next attempt.
    #[must_use]
    pub fn pause(&self) -> Millis {
        PAUSES.get(self.attempts).copied().unwrap_or_default()
    }

    /// Records whether the server accepted a connection.
    pub fn record(&mut self, was_accepted: bool) -> CrashVerdict {
        self.attempts += 1;
        match was_accepted {
            false => CrashVerdict::Crashed,
            true if self.attempts >= PAUSES.len() => CrashVerdict::Alive,
            true => CrashVerdict::Undecided,
        }
    }
}
