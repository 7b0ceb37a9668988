//! Exit codes of the checks that precede sending a configuration.

use std::path::PathBuf;
use std::process::{Command, Output};

const VALID: &str = include_str!("../examples/ben-slama.yaml");
const CONFIGURATION: &str = r#"{"version":7,
    "routes":[{"name":"r-1","host":"firm.example","path_prefix":"/r-1/","kind":"idempotent","service":"stock"}],
    "services":[{"name":"stock"}],"tenants":[{"name":"dealer","api_keys":["k1"]}]}"#;

/// Runs a program with arguments; `@` stands for the folder of the test's files.
fn run(program: &str, folder: &tempfile::TempDir, arguments: &[&str]) -> Output {
    let folder = folder.path().display().to_string();
    let arguments = arguments.iter().map(|argument| argument.replace('@', &folder));
    let output = Command::new(program).args(arguments).output();
    output.expect("the program starts")
}

fn write(folder: &tempfile::TempDir, name: &str, text: &str) {
    let path: PathBuf = folder.path().join(name);
    std::fs::write(path, text).expect("the folder can be written to");
}

/// Guards against an exit code by which a script sends a document with errors, or flags that do not fit together.
#[test]
fn check_exits_with_3_if_a_document_must_not_be_sent() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    write(&folder, "valid.yaml", VALID);
    write(
        &folder,
        "warning.yaml",
        &VALID.replace("within: 30m", "within: 10s"),
    );
    write(&folder, "error.yaml", &VALID.replace("share: 40", "share: 0"));
    for (arguments, code) in [
        (&["check", "@/valid.yaml"][..], 0),
        (&["check", "@/warning.yaml"], 0),
        (
            &["check", "--strict", "--against", "@/valid.yaml", "@/warning.yaml"],
            3,
        ),
        (&["check", "--against", "@/valid.yaml", "@/warning.yaml"], 0),
        (&["--json", "check", "@/error.yaml"], 3),
        (&["check", "@/missing.yaml"], 3),
        (
            &[
                "check",
                "--against",
                "@/valid.yaml",
                "--store",
                "http://127.0.0.1:1",
                "@/valid.yaml",
            ],
            2,
        ),
    ] {
        let output = run(env!("CARGO_BIN_EXE_carawayseam"), &folder, arguments);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {output:?}");
    }
}

/// Guards against a check of the gateway's configuration that needs settings, or has other exit codes.
#[test]
fn the_gateway_exits_with_3_if_a_configuration_must_not_be_sent() {
    let folder = tempfile::tempdir().expect("a folder can be made");
    write(&folder, "valid.json", CONFIGURATION);
    write(
        &folder,
        "same-version.json",
        &CONFIGURATION.replace("/r-1/", "/r-2/"),
    );
    write(&folder, "warning.json", &CONFIGURATION.replace("[\"k1\"]", "[]"));
    for (arguments, code) in [
        (&["--check-configuration", "@/valid.json"][..], 0),
        (&["--check-configuration", "@/warning.json"], 0),
        (&["--check-configuration", "@/same-version.json"], 0),
        (
            &[
                "--check-configuration",
                "@/same-version.json",
                "--in-force",
                "@/valid.json",
            ],
            3,
        ),
        (&["--check-configuration", "@/missing.json"], 3),
    ] {
        let output = run(env!("CARGO_BIN_EXE_carawayseam-gateway"), &folder, arguments);
        assert_eq!(output.status.code(), Some(code), "{arguments:?}: {output:?}");
    }
}
