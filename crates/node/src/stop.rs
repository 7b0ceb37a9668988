//! Waits for a signal to stop.

use tokio::signal::unix::{SignalKind, signal};

/// Waits until the process receives `SIGTERM` or `SIGINT`.
///
/// # Errors
///
/// Returns the operating system's error if a signal handler cannot be installed.
pub async fn wait_for_stop_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
