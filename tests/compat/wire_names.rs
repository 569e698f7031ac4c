//! Check that names of the protocol occur only in the modules that map them to the program's own terms.
//!
//! The names are read from the serde attributes of `src/protocol`, so that the check covers new ones without a change here. Names
//! that are also common words in code are excluded. A name counts as used if it is a word of an identifier or of a string.
//! Comments do not count, and neither do the unit tests in `src`, which contain messages in their wire format.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Paths below `src` of the modules that may use the names.
const MAPPING_MODULES: [&str; 4] = ["protocol/", "config/", "store/keys", "store/records"];

/// Names of the protocol that are also common words in code, and therefore not checked.
const COMMON_WORDS: [&str; 19] = [
    "array", "cause", "clear", "done", "drop", "error", "exited", "full", "gang", "host", "idle",
    "path", "rows", "running", "start", "try", "unknown", "urgent", "v",
];

fn source_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

/// Returns all Rust files below a folder.
fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("a folder of sources");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    paths
        .flat_map(|path| {
            if path.is_dir() {
                rust_files(&path)
            } else {
                vec![path]
            }
        })
        .filter(|path| path.extension().is_some_and(|extension| extension == "rs"))
        .collect()
}

/// Returns the names that only the mapping modules may use.
fn protocol_names() -> BTreeSet<String> {
    rust_files(&source_folder().join("protocol"))
        .iter()
        .map(|file| fs::read_to_string(file).expect("a source"))
        .flat_map(|source| {
            let attributes = source.split("rename = \"").skip(1);
            let names = attributes.filter_map(|rest| rest.split('"').next());
            names.map(String::from).collect::<Vec<_>>()
        })
        .filter(|name| !COMMON_WORDS.contains(&name.as_str()))
        .collect()
}

/// Returns the words of all identifiers and strings in a line of code. A comment at its end is ignored.
fn words(line: &str) -> impl Iterator<Item = &str> {
    let code = line.split("//").next().unwrap_or_default();
    code.split(|character: char| !character.is_ascii_alphanumeric())
}

/// Reports whether a file, given by its path below `src`, may use the names.
fn may_use_names(file: &str) -> bool {
    let is_test = file
        .split('/')
        .any(|part| part == "tests" || part == "tests.rs");
    is_test
        || MAPPING_MODULES
            .iter()
            .any(|module| file.starts_with(module))
}

#[test]
fn protocol_names_occur_only_in_the_modules_that_map_them() {
    let folder = source_folder();
    let names = protocol_names();
    for name in ["baton", "chore", "crew", "foreman", "hire", "lane", "tally"] {
        assert!(names.contains(name), "{name} is a name of the protocol");
    }
    let mut violations = Vec::new();
    for file in rust_files(&folder) {
        let path = file.strip_prefix(&folder).expect("below the folder");
        let path = path.to_str().expect("text");
        if may_use_names(path) {
            continue;
        }
        let source = fs::read_to_string(&file).expect("a source");
        for (number, line) in source.lines().enumerate() {
            let used = words(line).filter(|word| names.contains(*word));
            violations.extend(used.map(|word| format!("{path}:{}: {word}", number + 1)));
        }
    }
    assert!(
        violations.is_empty(),
        "names of the protocol: {violations:#?}"
    );
}
