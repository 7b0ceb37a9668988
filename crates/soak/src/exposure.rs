//! The requests that a bad version gets.

use crate::broken::Broken;

/// Requests that a bad version may get besides its share.
const CANARY_EXTRA: u32 = 50;
/// The share of requests that a bad version may get.
const CANARY_SHARE: f64 = 0.1;

/// A move to a bad version while it lasts.
#[derive(Debug, Default)]
pub(crate) struct Exposure {
    bad: u32,
    all: u32,
}

impl Exposure {
    /// Counts a request of the backend, which ran on the new version or on an old one.
    pub(crate) fn count(&mut self, is_new: bool) -> Result<(), Broken> {
        self.all += 1;
        self.bad += u32::from(is_new);
        let allowed = (f64::from(self.all) * CANARY_SHARE) as u32 + CANARY_EXTRA;
        if self.bad > allowed {
            return Err(Broken::Exposed {
                bad: self.bad,
                all: self.all,
            });
        }
        Ok(())
    }
}
