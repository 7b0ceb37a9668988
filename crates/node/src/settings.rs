//! A process's settings: its host, its zone and its addresses.

use std::net::SocketAddr;
use std::path::Path;

use carawayseam_types::{EnvironmentId, HostId, Millis, ZoneId};
use compact_str::CompactString;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_with::{DisplayFromStr, serde_as};

const DEFAULT_DRAIN_NOTICE: Millis = Millis::from_secs(5);
const DEFAULT_TRAFFIC_THREADS: usize = 4;

/// A process's checked settings.
#[serde_as]
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The host's name.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// The environments it serves.
    pub environments: Vec<EnvironmentId>,
    /// Where callers connect; entry processes only.
    #[serde(default = "any_port")]
    pub callers: SocketAddr,
    /// Where operators and the balancer connect.
    #[serde(default = "any_port")]
    pub admin: SocketAddr,
    /// Where peers connect, by UDP and TCP on one port.
    #[serde(default = "any_port")]
    pub peers: SocketAddr,
    /// Peers that are asked first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The platform's key-value service, as a URL.
    pub store: CompactString,
    /// The platform's host list, as a URL.
    pub host_list: CompactString,
    /// A StatsD server for metrics.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// How long readiness has failed before a planned stop refuses new work.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default = "default_drain_notice")]
    pub drain_notice: Millis,
    /// Threads for traffic; control state has one of its own.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
}

/// Settings that cannot be used.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[display("{file}: cannot be read")]
    Unreadable {
        /// The file.
        file: CompactString,
        /// Why.
        #[error(source)]
        cause: std::io::Error,
    },
    /// The file does not have the shape of settings.
    #[display("{file}:{line}: {message}")]
    Shape {
        /// The file.
        file: CompactString,
        /// The line, from 1; 0 where it is not known.
        line: u64,
        /// What was expected.
        message: String,
    },
    /// A field is outside its range.
    #[display("{file}: {field}: expected {expected}")]
    OutOfRange {
        /// The file.
        file: CompactString,
        /// The field.
        field: &'static str,
        /// What was expected.
        expected: &'static str,
    },
}

impl SettingsError {
    /// Builds the error of a field that is outside its range, for one file.
    pub fn out_of_range(file: &str) -> impl Fn(&'static str, &'static str) -> Self {
        move |field, expected| Self::OutOfRange {
            file: file.into(),
            field,
            expected,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names file, line and field.
    pub fn read(file: impl AsRef<Path>) -> Result<Self, SettingsError> {
        let (name, text) = read_settings_file(file.as_ref())?;
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
            s if s.environments.is_empty() => Err(wrong("environments", "at least one environment")),
            s if s.traffic_threads == 0 => Err(wrong("traffic_threads", "at least 1 thread")),
            s if !s.store.starts_with("http://") => Err(wrong("store", "a URL that begins with http://")),
            s if !s.host_list.starts_with("http://") => {
                Err(wrong("host_list", "a URL that begins with http://"))
            }
            _ => Ok(settings),
        }
    }
}

/// Reads a settings file; gives its name, as errors name it, and its text.
///
/// # Errors
///
/// [`SettingsError::Unreadable`] names the file.
pub fn read_settings_file(file: &Path) -> Result<(CompactString, String), SettingsError> {
    let name = CompactString::from(file.to_string_lossy());
    match std::fs::read_to_string(file) {
        Ok(text) => Ok((name, text)),
        Err(cause) => Err(SettingsError::Unreadable { file: name, cause }),
    }
}

/// Parses settings of any process from YAML, without checking their ranges.
///
/// # Errors
///
/// [`SettingsError::Shape`] names file and line.
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
