//! Holds `docs/logs.md` to the code: each log line of the node program is in its table with its level and fields, and no
//! other; packages that don't log by design contain no log line.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

use googletest::prelude::*;

/// Packages whose log lines the page lists.
const LOGGING_PACKAGES: [&str; 2] = ["system", "dataplane"];
/// The macros of slog, with the level that the page shows.
const MACROS: [(&str, &str); 6] = [
    ("trace!(", "TRACE"),
    ("debug!(", "DEBG"),
    ("info!(", "INFO"),
    ("warn!(", "WARN"),
    ("error!(", "ERRO"),
    ("crit!(", "CRIT"),
];

/// The level and the fields of a log line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct LogLine {
    level: String,
    fields: BTreeSet<String>,
}

fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// The folders of the packages of this workspace that `package` depends on, itself included.
fn dependencies(package: &str) -> BTreeSet<String> {
    let (mut found, mut queue) = (BTreeSet::new(), vec![package.to_owned()]);
    while let Some(package) = queue.pop() {
        if !found.insert(package.clone()) {
            continue;
        }
        let manifest = workspace().join(&package).join("Cargo.toml");
        let manifest = fs::read_to_string(manifest).expect("each package has a manifest");
        let direct = manifest.split("[dev-dependencies]").next().unwrap_or_default();
        for line in direct.lines() {
            let name = line.strip_prefix("gradepaddle").map(|rest| rest.split(['.', ' ', '=']).next());
            if let Some(Some(name)) = name {
                queue.push(if name.is_empty() { "." } else { name.trim_start_matches('-') }.to_owned());
            }
        }
    }
    found
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// What stands between the parentheses of a macro call, up to the matching one.
fn arguments(after: &str) -> &str {
    let mut depth = 1;
    let mut in_string = false;
    let mut escaped = false;
    for (at, byte) in after.bytes().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'(' if !in_string => depth += 1,
            b')' if !in_string => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return &after[..at];
        }
    }
    after
}

/// The log lines of a package, by their message.
fn log_lines(package: &str) -> BTreeMap<String, LogLine> {
    let mut files = Vec::new();
    sources(&workspace().join(package).join("src"), &mut files);
    let mut lines = BTreeMap::new();
    for file in files {
        let text = fs::read_to_string(&file).expect("a source file");
        for (name, level) in MACROS {
            for (at, _) in text.match_indices(name) {
                let arguments = arguments(&text[at + name.len()..]);
                let mut literals = arguments.split('"').skip(1).step_by(2);
                let message =
                    literals.next().unwrap_or_else(|| panic!("{}: {name} without a literal", file.display()));
                let fields = arguments.split('"').skip(1).collect::<Vec<_>>();
                let fields = fields.chunks(2).skip(1);
                let fields = fields
                    .filter(|field| field.get(1).is_some_and(|rest| rest.trim_start().starts_with("=>")));
                let fields = fields.map(|field| field[0].to_owned()).collect();
                lines.insert(message.to_owned(), LogLine { level: level.to_owned(), fields });
            }
        }
    }
    lines
}

/// What a cell of the table shows as code.
fn code(cell: &str) -> impl Iterator<Item = String> {
    cell.split('`').skip(1).step_by(2).map(str::to_owned)
}

/// The rows of the table in `docs/logs.md`.
fn documented() -> BTreeMap<String, LogLine> {
    let page = fs::read_to_string(workspace().join("docs/logs.md")).expect("the page is there");
    let rows = page.lines().filter(|line| line.starts_with("| `") && !line.starts_with("| `msg`"));
    rows.map(|row| {
        let cells: Vec<&str> = row.split('|').map(str::trim).collect();
        let message = code(cells[1]).next().expect("a row begins with its message");
        (message, LogLine { level: cells[2].to_owned(), fields: code(cells[3]).collect() })
    })
    .collect()
}

#[gtest]
fn the_page_lists_the_log_lines_of_the_code_and_no_others() {
    let lines: BTreeMap<String, LogLine> = LOGGING_PACKAGES.into_iter().flat_map(log_lines).collect();
    expect_that!(lines.len(), ge(20), "the search finds log lines");
    expect_that!(documented(), eq(&lines));
}

#[gtest]
fn no_other_package_of_the_program_logs() {
    let packages = dependencies("system");
    for package in LOGGING_PACKAGES.into_iter().chain(["controlplane", "control", "store", "."]) {
        expect_that!(packages.contains(package), eq(true), "{package} is found");
    }
    for package in packages.iter().filter(|package| !LOGGING_PACKAGES.contains(&package.as_str())) {
        expect_that!(log_lines(package), is_empty(), "{package}");
    }
}
