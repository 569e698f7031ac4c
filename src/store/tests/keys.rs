//! Checks which modules know the text of keys.

use std::fs;
use std::path::{Path, PathBuf};

/// Texts that occur in code which builds keys or prefixes of keys.
const KEY_TEXTS: [&str; 8] = [
    "\"hollowswitch/",
    "\"live/",
    "\"stopping/",
    "\"over/",
    "\"done/",
    "\"starts/",
    "\"hire/",
    "{ROOT}",
];

/// Returns all files below a folder, except for tests.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let paths = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    let mut files = Vec::new();
    for path in paths.filter(|path| path.file_stem().unwrap() != "tests") {
        if path.is_dir() {
            files.extend(source_files(&path));
        } else {
            files.push(path);
        }
    }
    files
}

#[test]
fn only_the_keys_module_contains_the_text_of_keys() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let files = source_files(&source);
    let contains_key_text = |path: &&PathBuf| {
        let text = fs::read_to_string(path).unwrap();
        KEY_TEXTS.iter().any(|part| text.contains(part))
    };
    let mut found: Vec<_> = files
        .iter()
        .filter(contains_key_text)
        .map(|path| path.strip_prefix(&source).unwrap().to_str().unwrap())
        .collect();
    found.sort_unstable();
    // The client passes the root to a watch as the prefix of the keys.
    assert_eq!(found, ["store/client.rs", "store/keys.rs"]);
}
