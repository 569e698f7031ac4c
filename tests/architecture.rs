//! Check of the layers that `docs/architecture.md` describes. A module may use only modules of lower layers, so that the
//! top-level modules of `src` have no cyclic dependencies.

use std::fs;
use std::path::{Path, PathBuf};

/// Top-level modules of `src`, from the highest to the lowest layer. Modules of the same layer may not use each other.
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

/// Returns the layer of a module: its index in [`LAYERS`]. Panics if the module is not listed.
fn layer_of(module: &str) -> usize {
    LAYERS
        .iter()
        .position(|layer| layer.contains(&module))
        .unwrap_or_else(|| panic!("module `{module}` is not listed in LAYERS"))
}

/// Returns all source files below a folder, except for tests.
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

/// Returns the modules that a source text refers to as `crate::MODULE`, except in comments.
fn used_modules(text: &str) -> Vec<String> {
    let is_identifier_char = |c: char| c.is_ascii_lowercase() || c == '_';
    let is_code = |line: &&str| !line.trim_start().starts_with("//");
    let code: String = text.lines().filter(is_code).collect();
    let modules = code.split("crate::").skip(1).map(|rest| {
        assert!(
            !rest.starts_with('{'),
            "this check does not support grouped imports from the crate root"
        );
        rest.chars()
            .take_while(|c| is_identifier_char(*c))
            .collect()
    });
    modules.collect()
}

#[test]
fn modules_use_only_lower_layers() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let files = source_files(&root);
    assert!(files.len() > 50, "too few source files were found");
    let mut violations = Vec::new();
    for file in files {
        let relative = file
            .strip_prefix(&root)
            .expect("the file is below the root");
        let first_component = relative.components().next().expect("the path is not empty");
        let name = first_component.as_os_str().to_string_lossy();
        let module = name.trim_end_matches(".rs");
        let text = fs::read_to_string(&file).expect("the source is readable");
        for used in used_modules(&text) {
            if used != module && layer_of(&used) <= layer_of(module) {
                violations.push(format!("{} uses {used}", relative.display()));
            }
        }
    }
    assert!(
        violations.is_empty(),
        "modules of the same or a higher layer used: {violations:#?}"
    );
}
