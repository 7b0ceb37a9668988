//! The settings of a process.

use std::net::SocketAddr;
use std::path::Path;

use carawayseam_types::{EnvironmentId, HostId, Millis, ZoneId};
use compact_str::CompactString;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_with::{DisplayFromStr, serde_as};

const DEFAULT_DRAIN_NOTICE: Millis = Millis::from_secs(5);
const DEFAULT_TRAFFIC_THREADS: usize = 4;

/// The validated settings of a process.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name.
    pub host: HostId,
    /// The host's availability zone.
    pub zone: ZoneId,
    /// The environments that the host serves.
    pub environments: Vec<EnvironmentId>,
    /// The address for callers; used by entry processes only.
    #[serde(default = "any_port")]
    pub callers: SocketAddr,
    /// The address for operators and the load balancer.
    #[serde(default = "any_port")]
    pub admin: SocketAddr,
    /// The address for peers; UDP and TCP use the same port.
    #[serde(default = "any_port")]
    pub peers: SocketAddr,
    /// The peers that are contacted first to join the cluster.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The URL of the platform's key-value service.
    pub store: CompactString,
    /// The URL of the platform's host list.
    pub host_list: CompactString,
    /// The address of a StatsD server for metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// The time between failing readiness and refusing new requests on a planned stop.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "default_drain_notice")]
    pub drain_notice: Millis,
    /// The number of threads for traffic; the control state runs on a separate thread.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
}

/// An error in the settings.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("{file}: cannot be read")]
    Unreadable {
        /// The file.
        file: CompactString,
        /// The cause.
        #[error(source)]
        cause: std::io::Error,
    },
    /// The file does not match the schema of the settings.
    #[display("{file}:{line}: {message}")]
    Shape {
        /// The file.
        file: CompactString,
        /// The one-based line; 0 if it is unknown.
        line: u64,
        /// The parser's error message.
        message: String,
    },
    /// A field is outside its range.
    #[display("{file}: {field}: expected {expected}")]
    OutOfRange {
        /// The file.
        file: CompactString,
        /// The field.
        field: &'static str,
        /// The expected value.
        expected: &'static str,
    },
}

impl SettingsError {
    /// Returns a constructor of [`SettingsError::OutOfRange`] for one file.
    pub fn out_of_range(file: &str) -> impl Fn(&'static str, &'static str) -> Self {
        move |field, expected| Self::OutOfRange {
            file: file.into(),
            field,
            expected,
        }
    }
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with the file and the line or field.
    pub fn read(file: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let (name, text) = read_settings_file(file.as_ref())?;
        Self::from_yaml(&name, &text)
    }

    /// Parses and validates settings in YAML.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with the file and the line or field.
    pub fn from_yaml(file: &str, text: &str) -> Result<Self, SettingsError> {
        let settings: Self = parse_settings(file, text)?;
        let out_of_range_error = SettingsError::out_of_range(file);
        match &settings {
            s if s.environments.is_empty() => {
                Err(out_of_range_error("environments", "at least one environment"))
            }
            s if s.traffic_threads == 0 => Err(out_of_range_error("traffic_threads", "at least 1 thread")),
            s if !s.store.starts_with("http://") => {
                Err(out_of_range_error("store", "a URL that begins with http://"))
            }
            s if !s.host_list.starts_with("http://") => {
                Err(out_of_range_error("host_list", "a URL that begins with http://"))
            }
            _ => Ok(settings),
        }
    }
}

/// Reads a settings file and returns its name, as used in errors, and its text.
///
/// # Errors
///
/// Returns [`SettingsError::Unreadable`] with the file.
pub fn read_settings_file(file: &Path) -> Result<(CompactString, String), SettingsError> {
    let name = CompactString::from(file.to_string_lossy());
    match std::fs::read_to_string(file) {
        Ok(text) => Ok((name, text)),
        Err(cause) => Err(SettingsError::Unreadable { file: name, cause }),
    }
}

/// Parses the settings of any process from YAML without validating their ranges.
///
/// # Errors
///
/// Returns [`SettingsError::Shape`] with the file and line.
pub fn parse_settings<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, SettingsError> {
    serde_saphyr::from_str(text).map_err(|e| {
        let message = e.to_string();
        SettingsError::Shape {
            file: file.into(),
            line: e.location().map_or(0, |at| at.line()),
            message: message.lines().next().unwrap_or_default().to_owned(),
        }
    })
}

const fn any_port() -> SocketAddr {
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0)
}

const fn default_drain_notice() -> Millis {
    DEFAULT_DRAIN_NOTICE
}

const fn default_traffic_threads() -> usize {
    DEFAULT_TRAFFIC_THREADS
}
