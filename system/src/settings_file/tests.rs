use std::fs;
use std::path::PathBuf;

use googletest::prelude::*;

use super::SettingsFile;

/// A settings file for one test, removed when it is dropped.
struct File(PathBuf);

impl File {
    fn new(name: &str, seed: &str) -> File {
        let path = std::env::temp_dir().join(format!("gradepaddle-{name}-{}.toml", std::process::id()));
        let file = File(path);
        file.write(seed);
        file
    }

    fn write(&self, seed: &str) {
        let text =
            format!("nodeName = \"n-1\"\nip = \"10.0.0.1\"\nzone = \"west\"\nseedNodes = [\"{seed}\"]\n");
        fs::write(&self.0, text).expect("the folder for temporary files is writable");
    }
}

impl Drop for File {
    fn drop(&mut self) {
        // A file that remains after a test is harmless.
        let _ = fs::remove_file(&self.0);
    }
}

#[gtest]
fn a_file_that_changes_without_a_signal_is_noticed() {
    let file = File::new("noticed", "10.0.0.2:80");
    let mut settings = SettingsFile::new(file.0.clone());
    expect_true!(settings.reload_if_changed().is_none());
    file.write("10.0.0.3:80");
    let changed = settings.reload_if_changed().expect("it has changed").expect("it is valid");
    expect_that!(changed.seed_nodes, elements_are![eq(&"10.0.0.3:80".parse().expect("an address"))]);
    expect_true!(settings.reload_if_changed().is_none(), "it is reported once");
}

#[gtest]
fn a_file_with_findings_changes_nothing() {
    let file = File::new("findings", "10.0.0.2:80");
    let mut settings = SettingsFile::new(file.0.clone());
    fs::write(&file.0, "nodeName = 3").expect("it can be written");
    expect_true!(settings.reload_if_changed().expect("it has changed").is_err());
    expect_true!(settings.reload_if_changed().is_none(), "its findings are reported once");
    file.write("10.0.0.2:80");
    expect_true!(settings.reload_if_changed().expect("it has changed back").is_ok());
}

#[gtest]
fn a_file_that_is_away_for_a_moment_has_not_changed() {
    let file = File::new("away", "10.0.0.2:80");
    let mut settings = SettingsFile::new(file.0.clone());
    fs::remove_file(&file.0).expect("it is there");
    expect_true!(settings.reload_if_changed().is_none());
    expect_true!(settings.reload().is_err(), "an explicit reload reports that the file is missing");
    file.write("10.0.0.2:80");
    expect_true!(settings.reload_if_changed().expect("it is back").is_ok());
}
