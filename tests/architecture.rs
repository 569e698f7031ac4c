//! Imports follow the layers of `docs/architecture.md`: a module may use only modules of lower layers, so there are no
//! circles between the folders of `src`.

use std::fs;
use std::path::{Path, PathBuf};

/// The modules of `src`, the highest layer first. Modules of one layer do not use each other.
const LAYERS: [&[&str]; 11] = [
    &["main", "lib"],
    &["service"],
    &["api"],
    &["controller"],
    &["autoscaler", "coordination", "admission"],
    &["scheduler"],
    &["store", "placement"],
    &["clients"],
    &["config"],
    &["protocol"],
    &["resources", "time"],
];

fn layer_of(module: &str) -> usize {
    LAYERS
        .iter()
        .position(|layer| layer.contains(&module))
        .unwrap_or_else(|| panic!("module `{module}` has no layer in this test"))
}

/// All source files below a folder, without those of tests.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).expect("the folder is readable") {
        let path = entry.expect("the entry is readable").path();
        let stem = path.file_stem().unwrap_or_default();
        if stem == "tests" {
            continue;
        }
        if path.is_dir() {
            files.extend(source_files(&path));
        } else {
            files.push(path);
        }
    }
    files
}

/// The modules of `src` that a source text names as `crate::MODULE`, outside of comments.
fn used_modules(text: &str) -> Vec<String> {
    let is_name = |c: char| c.is_ascii_lowercase() || c == '_';
    let is_code = |line: &&str| !line.trim_start().starts_with("//");
    let code: String = text.lines().filter(is_code).collect();
    let modules = code.split("crate::").skip(1).map(|rest| {
        assert!(
            !rest.starts_with('{'),
            "imports name one module of the crate each"
        );
        rest.chars().take_while(|c| is_name(*c)).collect()
    });
    modules.collect()
}

#[test]
fn modules_use_only_lower_layers() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let files = source_files(&root);
    assert!(files.len() > 50, "the sources were found");
    let mut violations = Vec::new();
    for file in files {
        let relative = file.strip_prefix(&root).expect("a file below the root");
        let first = relative.components().next().expect("a file has a name");
        let name = first.as_os_str().to_string_lossy();
        let module = name.trim_end_matches(".rs");
        let text = fs::read_to_string(&file).expect("sources are text");
        for used in used_modules(&text) {
            if used != module && layer_of(&used) <= layer_of(module) {
                violations.push(format!("{} uses {used}", relative.display()));
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
