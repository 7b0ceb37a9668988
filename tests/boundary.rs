//! Only `platform/` knows what the users' platform calls its headers, keys and calls.

use std::fs;
use std::path::{Path, PathBuf};

/// Names that stand on the wire and nowhere in the product.
const WIRE_NAMES: [&str; 14] = [
    "x-response-seal",
    "x-prompt-prefix",
    "x-not-run",
    "x-credential",
    "x-token-count",
    "x-expect-instance",
    "x-deadline-ms",
    "kv-txn",
    "kv-watch",
    "kv-range",
    "kv-lease",
    "op/config",
    "op/rollout",
    "carawayseam_node_file",
];

/// The source files below a folder, without its tests.
fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the folder can be listed") {
        let path = entry.expect("the entry can be read").path();
        let is_test = path.ends_with("tests");
        match path.extension() {
            _ if path.is_dir() && !is_test => sources(&path, found),
            Some(extension) if extension == "rs" => found.push(path),
            _ => {}
        }
    }
}

#[test]
fn the_platforms_names_stay_in_its_folder() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut found = Vec::new();
    for folder in ["crates", "src"] {
        sources(&root.join(folder), &mut found);
    }
    assert!(found.len() > 100, "the sources are read");
    for path in found {
        let source = fs::read_to_string(&path)
            .expect("the file can be read")
            .to_lowercase();
        let named: Vec<&str> = WIRE_NAMES
            .into_iter()
            .filter(|name| source.contains(name))
            .collect();
        assert!(named.is_empty(), "{} names {named:?}", path.display());
    }
}
