//! Keeps docs/PROOFS.md true: what it names as proof exists and runs.
//!
//! A test is named `process::module::test` for the root package, and
//! `crate::target::test` for a crate under `crates/` or `platform/`; `root::target::test` for the
//! root package's other targets.

use std::collections::BTreeSet;
use std::fmt::{self, Display};
use std::fs;
use std::path::{Path, PathBuf};

const PAGE: &str = "docs/PROOFS.md";
const KNOWN_RED: &str = "KNOWN-RED.txt";
const BENCHES: [&str; 2] = ["crates/bench-scheduling/src", "crates/bench-control/src"];
/// Files whose macros other test files use.
const SHARED_MACROS: &str = "tests/process/util.rs";
const FIRMS: [&str; 2] = ["ben-slama-", "khao-rang-"];
const TEST_ATTRIBUTES: [&str; 2] = ["#[test]", "#[tokio::test"];
/// Fewer than this means that the page is no longer read as it is written.
const FEWEST_TESTS: usize = 30;

/// Why a proof on the page does not stand.
#[derive(Debug)]
enum Problem {
    NoFile { proof: String, file: PathBuf },
    NoTest { proof: String, file: PathBuf },
    Ignored { proof: String, file: PathBuf },
    KnownRed { proof: String },
    NoBenchRow { row: String },
}

impl Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoFile { proof, file } => write!(f, "{proof}: there is no {}", file.display()),
            Self::NoTest { proof, file } => write!(f, "{proof}: {} has no such test", file.display()),
            Self::Ignored { proof, file } => write!(f, "{proof}: {} has ignored tests", file.display()),
            Self::KnownRed { proof } => write!(f, "{proof}: {KNOWN_RED} says that it fails"),
            Self::NoBenchRow { row } => write!(f, "bench: {row}: no bench has such a row"),
        }
    }
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: impl AsRef<Path>) -> String {
    let path = root().join(path);
    fs::read_to_string(&path).unwrap_or_else(|e| panic!("{} is read: {e}", path.display()))
}

/// The texts between single backquotes.
fn quoted(page: &str) -> BTreeSet<&str> {
    page.lines()
        .flat_map(|line| line.split('`').skip(1).step_by(2))
        .collect()
}

fn is_path(text: &str) -> bool {
    let is_name = |part: &str| {
        let mut chars = part.chars();
        chars.next().is_some_and(|c| c.is_ascii_lowercase())
            && chars.all(|c| c.is_ascii_alphanumeric() || c == '_' || c == '-')
    };
    text.split("::").count() > 2 && text.split("::").all(is_name)
}

/// The tests that the page names.
fn named_tests(page: &str) -> Vec<&str> {
    quoted(page).into_iter().filter(|text| is_path(text)).collect()
}

/// The bench rows that the page names.
fn named_rows(page: &str) -> Vec<&str> {
    let rows = quoted(page).into_iter();
    rows.filter_map(|text| text.strip_prefix("bench: ")).collect()
}

/// The file that must hold a test, and the test's own name.
fn place_of(proof: &str) -> (PathBuf, &str) {
    let (path, test) = proof.rsplit_once("::").expect("a proof has several parts");
    let (first, rest) = path.split_once("::").expect("a proof has at least three parts");
    let inner = rest.replace("::", "/");
    let file = match first {
        "process" => format!("tests/process/{inner}.rs"),
        "root" => format!("tests/{inner}.rs"),
        "platform" => format!("platform/tests/{inner}.rs"),
        krate => format!("crates/{krate}/tests/{inner}.rs"),
    };
    (file.into(), test)
}

/// Source text without its comment lines, so that no comment counts as a test.
fn without_comments(source: &str) -> String {
    let code = source.lines().filter(|line| !line.trim_start().starts_with("//"));
    code.collect::<Vec<_>>().join("\n")
}

/// What stands before and after each whole-word occurrence of a name.
fn around<'a>(source: &'a str, name: &'a str) -> impl Iterator<Item = (&'a str, &'a str)> {
    let is_word = |c: char| c.is_alphanumeric() || c == '_';
    source.match_indices(name).filter_map(move |(at, _)| {
        let (before, after) = (&source[..at], &source[at + name.len()..]);
        let is_whole = !before.ends_with(is_word) && !after.starts_with(is_word);
        is_whole.then_some((before.trim_end(), after.trim_start()))
    })
}

/// Whether the function that follows `before` has a test's attribute.
fn has_test_attribute(before: &str) -> bool {
    let start = before.rfind(['}', ';']).map_or(0, |at| at + 1);
    TEST_ATTRIBUTES
        .iter()
        .any(|attribute| before[start..].contains(attribute))
}

/// Whether the macro makes tests, by itself or through another one.
fn makes_tests(macro_name: &str, source: &str) -> bool {
    let Some((_, rest)) = source.split_once(&format!("macro_rules! {macro_name} {{")) else {
        return false;
    };
    let body = rest.split_once("\n}").map_or(rest, |(body, _)| body);
    let calls = |other: &str| other != macro_name && body.contains(&format!("{other}!("));
    TEST_ATTRIBUTES.iter().any(|attribute| body.contains(attribute))
        || macro_names(source)
            .into_iter()
            .any(|other| calls(other) && makes_tests(other, source))
}

fn macro_names(source: &str) -> Vec<&str> {
    let definitions = source.split("macro_rules! ").skip(1);
    definitions
        .filter_map(|rest| rest.split_whitespace().next())
        .collect()
}

/// Whether a source has a test of this name, as a function or as a macro's case.
fn has_test(source: &str, name: &str) -> bool {
    around(source, name).any(|(before, after)| match before.strip_suffix("!(") {
        Some(before) if after.starts_with([',', ':']) => {
            let is_word = |c: char| c.is_alphanumeric() || c == '_';
            let start = before.rfind(|c: char| !is_word(c)).map_or(0, |at| at + 1);
            makes_tests(&before[start..], source)
        }
        Some(_) => false,
        None => before.ends_with("fn") && after.starts_with('(') && has_test_attribute(before),
    })
}

fn check_test(proof: &str, known_red: &[String]) -> Result<(), Problem> {
    let (file, test) = place_of(proof);
    let proof = proof.to_owned();
    if !root().join(&file).is_file() {
        return Err(Problem::NoFile { proof, file });
    }
    let source = without_comments(&format!("{}\n{}", read(SHARED_MACROS), read(&file)));
    match () {
        () if !has_test(&source, test) => Err(Problem::NoTest { proof, file }),
        () if source.contains("#[ignore") => Err(Problem::Ignored { proof, file }),
        () if known_red.iter().any(|red| proof.contains(red)) => Err(Problem::KnownRed { proof }),
        () => Ok(()),
    }
}

/// The entries of the list of known faults under a key such as `test: `.
fn known_red(key: &str) -> Vec<String> {
    let list = fs::read_to_string(root().join(KNOWN_RED)).unwrap_or_default();
    let entries = list.lines().filter_map(|line| line.strip_prefix(key));
    entries.map(|entry| entry.trim().to_owned()).collect()
}

fn sources_below(folder: &Path) -> String {
    let entries = fs::read_dir(folder).unwrap_or_else(|e| panic!("{} is read: {e}", folder.display()));
    let paths = entries.map(|entry| entry.expect("an entry is read").path());
    paths
        .map(|path| match path {
            path if path.is_dir() => sources_below(&path),
            path => fs::read_to_string(&path).unwrap_or_default(),
        })
        .collect()
}

/// A row's scenario and figure stand in the bench's source, under the part and firm that are put before them.
fn check_row(row: &str, sources: &str, known_red: &[String]) -> Result<(), Problem> {
    let (scenario, figure) = row.rsplit_once('/').unwrap_or(("", row));
    let scenario = scenario.strip_prefix("moves/").unwrap_or(scenario);
    let without_firm = FIRMS.iter().find_map(|firm| figure.strip_prefix(firm));
    let figure = without_firm.unwrap_or(figure);
    let stands = |text: &str| sources.contains(&format!("\"{text}\""));
    match () {
        () if known_red.iter().any(|red| red == row) => Err(Problem::KnownRed {
            proof: row.to_owned(),
        }),
        () if stands(scenario) && stands(figure) => Ok(()),
        () => Err(Problem::NoBenchRow { row: row.to_owned() }),
    }
}

fn assert_none(problems: &[Problem]) {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    assert!(lines.is_empty(), "{PAGE} is not true:\n{}", lines.join("\n"));
}

#[test]
fn every_test_on_the_page_exists_and_runs() {
    let page = read(PAGE);
    let tests = named_tests(&page);
    assert!(tests.len() >= FEWEST_TESTS, "{PAGE} names {} tests", tests.len());
    let known_red = known_red("test: ");
    let problems = tests.iter().filter_map(|test| check_test(test, &known_red).err());
    assert_none(&problems.collect::<Vec<_>>());
}

#[test]
fn every_bench_row_on_the_page_exists() {
    let page = read(PAGE);
    let sources: String = BENCHES
        .iter()
        .map(|bench| sources_below(&root().join(bench)))
        .collect();
    let known_red = known_red("bench: ");
    let rows = named_rows(&page);
    let problems = rows
        .iter()
        .filter_map(|row| check_row(row, &sources, &known_red).err());
    assert_none(&problems.collect::<Vec<_>>());
}

#[test]
fn process_modules_are_part_of_the_target() {
    let target = read("tests/process.rs");
    let page = read(PAGE);
    let modules = named_tests(&page).into_iter().filter_map(|test| {
        let rest = test.strip_prefix("process::")?;
        rest.split_once("::").map(|(module, _)| module)
    });
    for module in modules {
        assert!(
            target.contains(&format!("\nmod {module};")),
            "tests/process.rs lacks {module}"
        );
    }
}

/// Names a case: a source, and whether it has a test called `a`.
macro_rules! tells {
    ($name:ident, $source:literal, $has:literal) => {
        #[test]
        fn $name() {
            assert_eq!(has_test(&without_comments($source), "a"), $has);
        }
    };
}

tells!(function_with_attribute, "#[test]\nfn a() {}", true);
tells!(
    async_function_with_attribute,
    "#[tokio::test]\nasync fn a() {}",
    true
);
tells!(function_without_attribute, "#[test]\nfn b() {}\nfn a() {}", false);
tells!(longer_name, "#[test]\nfn a_b() {}", false);
tells!(name_in_a_comment, "// #[test] fn a() {}", false);
tells!(
    case_of_a_macro,
    "macro_rules! m {\n  () => { #[test] fn x() {} };\n}\nm!(\n    /// Doc.\n    a,\n    1\n);",
    true
);
tells!(
    case_of_a_macro_of_a_macro,
    "macro_rules! m {\n  #[test]\n}\nmacro_rules! n {\n  m!(x)\n}\nn!(a, 1);",
    true
);
tells!(
    argument_of_a_macro_without_tests,
    "macro_rules! m {\n  () => {};\n}\nm!(a, 1);",
    false
);
