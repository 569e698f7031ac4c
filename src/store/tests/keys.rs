//! The text of keys is known in one place.

use std::fs;
use std::path::{Path, PathBuf};

/// What keys and listings of keys contain.
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

/// Files below a folder, but no tests.
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
fn only_the_module_of_keys_knows_their_text() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let files = source_files(&source);
    let knows_keys = |path: &&PathBuf| {
        let text = fs::read_to_string(path).unwrap();
        KEY_TEXTS.iter().any(|part| text.contains(part))
    };
    let mut knowing: Vec<_> = files
        .iter()
        .filter(knows_keys)
        .map(|path| path.strip_prefix(&source).unwrap().to_str().unwrap())
        .collect();
    knowing.sort_unstable();
    // The client asks a watch for everything below the root.
    assert_eq!(knowing, ["store/client.rs", "store/keys.rs"]);
}
