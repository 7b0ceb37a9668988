//! The parts shared by the entry and the control process.
//!
//! Provides settings, logging, metrics, the state dump, and the sockets and
//! streams between peers. Decisions are made in the pure libraries.
//!
//! ```no_run
//! use carawayseam_node::Settings;
//!
//! let settings = Settings::read("entry-a1.yaml")?;
//! let log_revision = carawayseam_node::init_logging("entry", &settings.host);
//! log_revision.set(carawayseam_types::Revision(1));
//! # Ok::<(), carawayseam_node::SettingsError>(())
//! ```

mod host_process;
mod logging;
mod metrics;
mod settings;
mod sockets;
mod stop;
mod stored;
mod streams;

pub use host_process::{
    HostProcess, PeerAction, PeerEvent, PeerQuery, StateDump, document_from_record, exit_code, pull_from_peer,
};
pub use logging::{LogRevision, QueuedLines, init_logging, init_stdout_logging};
pub use metrics::Metrics;
pub use settings::{Settings, SettingsError, parse_settings, read_settings_file};
pub use sockets::{BindError, Sockets};
pub use stop::wait_for_stop_signal;
pub use stored::{
    CurrentDocument, StoredError, current_document_key, read_current_document, record_from_entry,
    rollout_key, rollouts_prefix,
};
pub use streams::{FrameStream, StreamError, connect, fetch_heads};
