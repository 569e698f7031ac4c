//! Where the names of the protocol may stand: in the modules that map them to the program's own terms, and nowhere else.
//!
//! The names are read from the serde attributes of `src/protocol`, so that the check covers a new one at once. Names that are
//! ordinary words of any program are left out. A name counts as used where it is a word of an identifier or of a string;
//! comments do not count, and neither do the program's tests, which write messages as they stand on the wire.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// The modules that know the names, below `src`.
const MAPPING_MODULES: [&str; 4] = ["protocol/", "config/", "store/keys", "store/records"];

/// Names of the protocol that are words of the program as well.
const ORDINARY_WORDS: [&str; 19] = [
    "array", "cause", "clear", "done", "drop", "error", "exited", "full", "gang", "host", "idle",
    "path", "rows", "running", "start", "try", "unknown", "urgent", "v",
];

fn source_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

/// All Rust files in a folder and below.
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

/// The names that only the mapping modules may know.
fn protocol_names() -> BTreeSet<String> {
    rust_files(&source_folder().join("protocol"))
        .iter()
        .map(|file| fs::read_to_string(file).expect("a source"))
        .flat_map(|source| {
            let attributes = source.split("rename = \"").skip(1);
            let names = attributes.filter_map(|rest| rest.split('"').next());
            names.map(String::from).collect::<Vec<_>>()
        })
        .filter(|name| !ORDINARY_WORDS.contains(&name.as_str()))
        .collect()
}

/// The words of a line of code: of its identifiers and its strings, without its comment.
fn words(line: &str) -> impl Iterator<Item = &str> {
    let code = line.split("//").next().unwrap_or_default();
    code.split(|character: char| !character.is_ascii_alphanumeric())
}

/// Whether a file, given by its path below `src`, may use the names.
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
fn names_of_the_protocol_stand_only_in_the_modules_that_map_them() {
    let folder = source_folder();
    let names = protocol_names();
    for name in ["baton", "chore", "crew", "foreman", "hire", "lane", "tally"] {
        assert!(names.contains(name), "{name} is a name of the protocol");
    }
    let mut uses = Vec::new();
    for file in rust_files(&folder) {
        let path = file.strip_prefix(&folder).expect("below the folder");
        let path = path.to_str().expect("text");
        if may_use_names(path) {
            continue;
        }
        let source = fs::read_to_string(&file).expect("a source");
        for (number, line) in source.lines().enumerate() {
            let used = words(line).filter(|word| names.contains(*word));
            uses.extend(used.map(|word| format!("{path}:{}: {word}", number + 1)));
        }
    }
    assert!(uses.is_empty(), "names of the protocol: {uses:#?}");
}
