//! Holds `docs/conformance.md` to the code: each file and each test function that it names exists, and each row that names
//! a file names a test, a measurement, or says what is missing. The same for a table of `docs/checking.md`.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use googletest::prelude::*;

fn workspace() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

fn page() -> String {
    fs::read_to_string(workspace().join("docs/conformance.md")).expect("the page is there")
}

/// The rows of all tables, without their heads.
fn rows(page: &str) -> Vec<Vec<String>> {
    let lines = page.lines().filter(|line| line.starts_with("| ") && !line.starts_with("| ---"));
    let cells = |line: &str| line.trim_matches('|').split('|').map(|cell| cell.trim().to_owned()).collect();
    let rows: Vec<Vec<String>> = lines.map(cells).collect();
    rows.into_iter().filter(|row| row[0] != "rule, in short" && row[0] != "price").collect()
}

/// What stands in backticks.
fn names(cell: &str) -> Vec<String> {
    cell.split('`').skip(1).step_by(2).map(str::to_owned).collect()
}

fn rust_files(directory: &Path, found: &mut Vec<PathBuf>) {
    let Ok(entries) = fs::read_dir(directory) else { return };
    for entry in entries.flatten() {
        let path = entry.path();
        let name = entry.file_name();
        if path.is_dir() && name != "target" && name != "journal" {
            rust_files(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// The functions behind a test attribute, in all files.
fn test_functions() -> BTreeSet<String> {
    let mut files = Vec::new();
    rust_files(&workspace(), &mut files);
    let mut found = BTreeSet::new();
    for file in files {
        let text = fs::read_to_string(&file).expect("a source file is text");
        let mut attributed = false;
        for line in text.lines().map(str::trim) {
            if line.starts_with("#[gtest]")
                || line.starts_with("#[test]")
                || line.starts_with("#[tokio::test")
            {
                attributed = true;
            }
            let name = line.strip_prefix("async ").unwrap_or(line).strip_prefix("fn ");
            if let Some(name) = name.filter(|_| attributed) {
                found.insert(name.split(['(', '<']).next().unwrap_or_default().to_owned());
                attributed = false;
            }
        }
    }
    found
}

#[gtest]
fn each_file_and_each_test_of_the_page_exists() {
    let (rows, tests) = (rows(&page()), test_functions());
    expect_that!(rows.len(), gt(50), "the tables are found");
    for row in rows {
        let [rule, place, shown] = &row[..] else {
            expect_that!(row.len(), eq(3), "cells of {row:?}");
            continue;
        };
        for file in names(place).iter().filter(|name| name.ends_with(".rs") || name.ends_with(".toml")) {
            expect_true!(workspace().join(file).is_file(), "{rule}: no file {file}");
        }
        for name in names(shown) {
            let is_page = name.ends_with(".md");
            let exists =
                if is_page { workspace().join("docs").join(&name).is_file() } else { tests.contains(&name) };
            expect_true!(exists, "{rule}: no test or page {name}");
        }
        let open = place.contains("*missing*") || place.contains("*partly*");
        expect_true!(open || !shown.is_empty(), "{rule}: neither shown nor open");
    }
}

/// The table of facts with two meanings in `docs/checking.md`.
fn two_meanings() -> Vec<Vec<String>> {
    let page = fs::read_to_string(workspace().join("docs/checking.md")).expect("the page is there");
    let (_, section) = page.split_once("\n## One fact, two meanings\n").expect("the section is there");
    let section = section.split("\n## ").next().unwrap_or_default();
    rows(section).into_iter().filter(|row| row[0] != "what, and where").collect()
}

#[gtest]
fn each_fact_with_two_meanings_names_its_file_and_its_tests() {
    let (rows, tests) = (two_meanings(), test_functions());
    expect_that!(rows.len(), gt(15), "the table is found");
    for row in rows {
        let [place, _, told_apart_by, shown] = &row[..] else {
            expect_that!(row.len(), eq(4), "cells of {row:?}");
            continue;
        };
        let places = names(place);
        let files: Vec<&String> = places.iter().filter(|name| name.ends_with(".rs")).collect();
        expect_that!(files.len(), eq(1), "{place}: one file");
        for file in files {
            expect_true!(workspace().join(file).is_file(), "{place}: no file {file}");
        }
        for name in names(shown).iter().filter(|name| name.contains('_')) {
            expect_true!(tests.contains(name), "{place}: no test {name}");
        }
        let is_open = told_apart_by.contains("*open*") || shown.contains("*open*");
        expect_true!(is_open || !names(shown).is_empty(), "{place}: neither checked nor open");
    }
}
