//! `dump`: a process's state, indented for a person.

use std::fmt;
use std::net::SocketAddr;

use carawayseam_types::Millis;
use serde::Serialize;
use serde_json::Value;

use crate::error::CliError;
use crate::http;

/// Path of the state dump at every process's admin address.
const DUMP_PATH: &str = "/dump";
const DUMP_TIMEOUT: Millis = Millis(5_000);
const INDENT: &str = "  ";

/// A process's state.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Dump(pub Value);

/// Asks the process at `address`.
pub(crate) async fn read(address: SocketAddr) -> Result<Dump, CliError> {
    let failed = |source| CliError::Dump { address, source };
    let client = http::client(DUMP_TIMEOUT).map_err(failed)?;
    let url = format!("http://{address}{DUMP_PATH}");
    http::get_json(&client, &url).await.map(Dump).map_err(failed)
}

impl fmt::Display for Dump {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut lines = Vec::new();
        push_entries(&self.0, 0, &mut lines);
        f.write_str(&lines.join("\n"))
    }
}

/// Appends one `name: value` a line, deeper values indented.
fn push_entries(value: &Value, depth: usize, lines: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                push_entry(&format!("{name}:"), value, depth, lines);
            }
        }
        Value::Array(items) => {
            for item in items {
                push_entry("-", item, depth, lines);
            }
        }
        leaf => lines.push(plain(leaf)),
    }
}

fn push_entry(mark: &str, value: &Value, depth: usize, lines: &mut Vec<String>) {
    let indent = INDENT.repeat(depth);
    if has_entries(value) {
        lines.push(format!("{indent}{mark}"));
        push_entries(value, depth + 1, lines);
    } else {
        lines.push(format!("{indent}{mark} {}", plain(value)));
    }
}

fn has_entries(value: &Value) -> bool {
    match value {
        Value::Object(fields) => !fields.is_empty(),
        Value::Array(items) => !items.is_empty(),
        _ => false,
    }
}

fn plain(leaf: &Value) -> String {
    match leaf {
        Value::String(text) => text.clone(),
        Value::Null => "none".to_owned(),
        other => other.to_string(),
    }
}
