//! The ledger as callers, servers and the world share it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use carawayseam_types::{Clock, Millis};
use tokio::sync::Notify;

use crate::broken::Broken;
use crate::disturbances::Scope;
use crate::ledger::Ledger;

/// A ledger with its clock and the first broken promise.
#[derive(Debug, Clone)]
pub(crate) struct Recorder(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    clock: Clock,
    began: Millis,
    ledger: Mutex<Ledger>,
    broken: Mutex<Option<(Millis, Broken)>>,
    on_broken: Notify,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Recorder {
    pub(crate) fn new() -> Self {
        let clock = Clock::boot();
        Self(Arc::new(Inner {
            began: clock.now(),
            clock,
            ledger: Mutex::default(),
            broken: Mutex::default(),
            on_broken: Notify::new(),
        }))
    }

    /// The time since the run began.
    pub(crate) fn now(&self) -> Millis {
        self.0.clock.now().since(self.0.began)
    }

    /// Tells the ledger something that breaks no promise.
    pub(crate) fn note<T>(&self, tell: impl FnOnce(Millis, &mut Ledger) -> T) -> T {
        let mut ledger = lock(&self.0.ledger);
        tell(self.now(), &mut ledger)
    }

    /// Tells the ledger something that may break a promise.
    pub(crate) fn judge(&self, tell: impl FnOnce(Millis, &mut Ledger) -> Result<(), Broken>) {
        if let Err(broken) = self.note(tell) {
            lock(&self.0.broken).get_or_insert((self.now(), broken));
            self.0.on_broken.notify_one();
        }
    }

    /// Notes a disturbance; it ends when the guard is dropped.
    pub(crate) fn disturb(&self, scope: Scope) -> Disturbed {
        Disturbed {
            number: self.note(|_, ledger| ledger.disturb(scope)),
            recorder: self.clone(),
        }
    }

    /// Waits until a promise is broken.
    pub(crate) async fn wait_for_broken(&self) {
        self.0.on_broken.notified().await;
    }

    pub(crate) fn broken(&self) -> Option<(Millis, Broken)> {
        lock(&self.0.broken).clone()
    }
}

/// A disturbance while it lasts.
#[derive(Debug)]
pub(crate) struct Disturbed {
    number: usize,
    recorder: Recorder,
}

impl Drop for Disturbed {
    fn drop(&mut self) {
        let number = self.number;
        self.recorder
            .note(|now, ledger| ledger.end_disturbance(now, number));
    }
}
