//! The check of a configuration before the operator writes it to the store.

use std::fmt;
use std::path::Path;
use std::process::ExitCode;

use carawayseam_dispatch::Configuration;
use carawayseam_dispatch::catalog::findings::{ConfigurationFinding, ConfigurationReason};
use carawayseam_types::{Difference, Finding, Place, Severity};

use crate::platform::Platform;

/// The exit code if a configuration must not be sent; `carawayseam check` has the same.
const EXIT_INVALID: u8 = 3;

/// A configuration's document and the name of its file.
#[derive(Debug, Clone, Copy)]
pub struct ConfigurationFile<'a> {
    /// The file name as the operator passed it.
    pub name: &'a str,
    /// The contents.
    pub contents: &'a [u8],
}

/// The findings on a configuration, with the field names of the operator's document.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckedConfiguration {
    /// The findings.
    pub findings: Vec<ConfigurationFinding>,
    /// What changes in relation to the configuration in force, if that is known and both can be decoded.
    pub difference: Option<Difference>,
}

impl CheckedConfiguration {
    /// Returns whether the configuration may be sent.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        !self.findings.iter().any(|finding| finding.forbids_sending(false))
    }
}

impl fmt::Display for CheckedConfiguration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        if let Some(difference) = &self.difference {
            writeln!(f, "changes: {difference}")?;
        }
        write!(f, "{}", if self.is_valid() { "valid" } else { "invalid" })
    }
}

/// Checks a configuration, and compares it with the one in force if that is given.
///
/// A file in force that cannot be decoded is an error too, since the comparison was requested.
pub fn check_configuration<P: Platform>(
    platform: &P,
    file: ConfigurationFile<'_>,
    in_force: Option<ConfigurationFile<'_>>,
) -> CheckedConfiguration {
    let mut findings = Vec::new();
    let mut read = |file: ConfigurationFile<'_>| decode(platform, file, &mut findings);
    let configuration = read(file);
    let in_force = in_force.and_then(read);
    let mut difference = None;
    if let Some(configuration) = configuration {
        findings.extend(configuration.findings(file.name, in_force.as_ref()));
        let compared = in_force.map(|in_force| Difference::between(&in_force, &configuration));
        difference = compared.map(|difference| difference.rename(|field| platform.field_name(field)));
    }
    for finding in &mut findings {
        finding.place.field = rename(&finding.place.field, platform).into();
    }
    CheckedConfiguration { findings, difference }
}

fn decode<P: Platform>(
    platform: &P,
    file: ConfigurationFile<'_>,
    findings: &mut Vec<ConfigurationFinding>,
) -> Option<Configuration> {
    match platform.decode_configuration(file.contents) {
        Ok(configuration) => Some(configuration),
        Err(e) => {
            findings.push(Finding {
                severity: Severity::Error,
                place: Place {
                    file: file.name.into(),
                    line: None,
                    field: "document".into(),
                },
                reason: ConfigurationReason::Malformed { problem: e.problem },
            });
            None
        }
    }
}

/// Replaces the names in a path such as `routes[2].timeout` by those of the operator's document.
fn rename<P: Platform>(path: &str, platform: &P) -> String {
    let segments = path.split('.').map(|segment| match segment.split_once('[') {
        Some((name, index)) => format!("{}[{index}", platform.field_name(name)),
        None => platform.field_name(segment).to_owned(),
    });
    segments.collect::<Vec<_>>().join(".")
}

/// Checks the configuration in a file, prints the findings and returns the exit code.
pub(crate) fn run<P: Platform>(platform: &P, file: &Path, in_force: Option<&Path>) -> ExitCode {
    match check_files(platform, file, in_force) {
        Ok(checked) => {
            println!("{checked}");
            if checked.is_valid() {
                ExitCode::SUCCESS
            } else {
                EXIT_INVALID.into()
            }
        }
        Err(e) => {
            eprintln!("carawayseam-gateway: {e}");
            EXIT_INVALID.into()
        }
    }
}

fn check_files<P: Platform>(
    platform: &P,
    file: &Path,
    in_force: Option<&Path>,
) -> Result<CheckedConfiguration, UnreadableFile> {
    let read = |path: &Path| {
        let name = path.to_string_lossy().into_owned();
        match std::fs::read(path) {
            Ok(contents) => Ok((name, contents)),
            Err(cause) => Err(UnreadableFile { name, cause }),
        }
    };
    let file = read(file)?;
    let in_force = in_force.map(read).transpose()?;
    Ok(check_configuration(
        platform,
        borrow(&file),
        in_force.as_ref().map(borrow),
    ))
}

fn borrow((name, contents): &(String, Vec<u8>)) -> ConfigurationFile<'_> {
    ConfigurationFile { name, contents }
}

/// A file cannot be read.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("cannot read {name}: {cause}")]
struct UnreadableFile {
    name: String,
    #[error(source)]
    cause: std::io::Error,
}
