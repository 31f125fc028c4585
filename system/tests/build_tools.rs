//! A clean build needs the Rust tool chain and the packages of `deploy/system.toml`, and nothing else: no dependency of the
//! program needs a further tool.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

use googletest::prelude::*;

/// Crates with which build scripts find or run programs and libraries of the system. `cc` is not among them, because the
/// deploy file lists a C tool chain.
const TOOL_CRATES: [&str; 13] = [
    "autotools",
    "bindgen",
    "cmake",
    "meson-next",
    "nasm-rs",
    "openssl-sys",
    "pkg-config",
    "prost-build",
    "protobuf-codegen",
    "protobuf-src",
    "protoc-bin-vendored",
    "system-deps",
    "vcpkg",
];
/// Packages that the deploy file must list.
const LISTED: [&str; 3] = ["ca-certificates", "gcc", "libc6-dev"];

fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn text(file: &str) -> String {
    fs::read_to_string(workspace().join(file)).expect("the file is there")
}

/// The dependencies of each package in the lock file, by name.
fn locked_dependencies(lock: &str) -> BTreeMap<String, BTreeSet<String>> {
    let quoted = |line: &str| line.split('"').nth(1).unwrap_or_default().to_owned();
    let mut all: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for package in lock.split("[[package]]").skip(1) {
        let name = package.lines().find(|line| line.starts_with("name = ")).map(quoted).unwrap_or_default();
        let listed = package.lines().filter(|line| line.starts_with(" \""));
        let names = listed.map(|line| quoted(line).split(' ').next().unwrap_or_default().to_owned());
        all.entry(name).or_default().extend(names);
    }
    all
}

/// The transitive dependencies of a package, itself included.
fn transitive_dependencies(all: &BTreeMap<String, BTreeSet<String>>, package: &str) -> BTreeSet<String> {
    let (mut found, mut queue) = (BTreeSet::new(), vec![package.to_owned()]);
    while let Some(name) = queue.pop() {
        if found.insert(name.clone()) {
            queue.extend(all.get(&name).into_iter().flatten().cloned());
        }
    }
    found
}

#[gtest]
fn no_dependency_of_the_program_asks_for_another_tool() {
    let needed = transitive_dependencies(&locked_dependencies(&text("Cargo.lock")), "gradepaddle-system");
    expect_that!(needed.len(), gt(40), "the lock file is read");
    expect_that!(needed, contains(eq("tokio")));
    let tools: Vec<&String> = needed.iter().filter(|name| TOOL_CRATES.contains(&name.as_str())).collect();
    expect_that!(tools, is_empty());
}

#[gtest]
fn the_deploy_file_lists_the_packages_of_a_clean_build() {
    let deploy = text("deploy/system.toml");
    let line = deploy.lines().find(|line| line.starts_with("packages = ")).expect("it lists packages");
    for package in LISTED {
        expect_that!(line, contains_substring(format!("\"{package}\"")));
    }
}

#[gtest]
fn a_tool_crate_in_a_lock_file_is_detected() {
    let lock = "[[package]]\nname = \"a\"\ndependencies = [\n \"b 1.0.0\",\n]\n\n[[package]]\nname = \"b\"\n\
        dependencies = [\n \"pkg-config\",\n]\n\n[[package]]\nname = \"pkg-config\"\n";
    expect_that!(transitive_dependencies(&locked_dependencies(lock), "a"), contains(eq("pkg-config")));
}
