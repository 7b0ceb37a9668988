//! The settings of a gateway process, as YAML.

use std::net::SocketAddr;
use std::path::Path;

use carawayseam_node::{SettingsError, parse_settings, read_settings_file};
use carawayseam_types::{HostId, Millis, ZoneId};
use compact_str::CompactString;
use serde::Deserialize;
use serde_with::{DisplayFromStr, serde_as};

/// A process's checked settings.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness, metrics and the state dump are served.
    pub admin: SocketAddr,
    /// The path that the balancer asks for readiness.
    pub ready_path: CompactString,
    /// Where metrics are served besides; none for the admin address alone.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Where peers send datagrams.
    pub peers: SocketAddr,
    /// Where peers send them, if an address translation or relay stands before `peers`.
    #[serde(default)]
    pub peers_announced: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Threads for traffic; control state has one of its own.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// How old the knowledge of the configuration may be for requests with keys.
    #[serde_as(as = "DisplayFromStr")]
    pub max_key_age: Millis,
    /// How long a planned stop may take.
    #[serde_as(as = "DisplayFromStr")]
    pub stop_within: Millis,
    /// Tokens by which all hosts together may exceed an organisation's quota in one window, beside a
    /// tenth of what it allows there.
    pub quota_tolerance: f64,
    /// Bounds on sending a request to one more backend server.
    pub retries: RetrySettings,
}

/// Bounds on sending a request to one more backend server, over all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Repeats as a share of a backend's requests.
    pub ratio: f64,
    /// Repeats beside that share, in one window.
    pub extra: f64,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names file, line and field.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let (name, text) = read_settings_file(file)?;
        Self::from_yaml(&name, &text)
    }

    /// Checks settings given as text.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names file, line and field.
    pub fn from_yaml(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = parse_settings(file, text)?;
        let wrong = SettingsError::out_of_range(file);
        match &settings {
            s if s.traffic_threads == 0 => Err(wrong("traffic_threads", "at least 1 thread")),
            s if !s.ready_path.starts_with('/') => Err(wrong("ready_path", "a path that begins with /")),
            s if s.max_key_age == Millis::ZERO => Err(wrong("max_key_age", "more than 0ms")),
            s if s.stop_within == Millis::ZERO => Err(wrong("stop_within", "more than 0ms")),
            s if s.quota_tolerance.is_nan() || s.quota_tolerance < 0.0 => {
                Err(wrong("quota_tolerance", "0 tokens or more"))
            }
            s if !is_share(s.retries.ratio) => Err(wrong("retries.ratio", "a share from 0 to 1")),
            s if s.retries.extra.is_nan() || s.retries.extra < 0.0 => {
                Err(wrong("retries.extra", "0 or more"))
            }
            _ => Ok(settings),
        }
    }
}

fn is_share(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

const fn default_traffic_threads() -> usize {
    1
}
