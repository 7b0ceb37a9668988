//! Waits for the platform to ask for a stop.

use tokio::signal::unix::{SignalKind, signal};

/// Waits until the platform asks the process to stop.
///
/// # Errors
///
/// The operating system's, when signals cannot be waited for.
pub async fn wait_for_stop_signal() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
