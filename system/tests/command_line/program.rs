//! Runs the built program, and gives access to the example files and to a temporary folder.

use std::path::PathBuf;
use std::process::{Command, Output, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

use googletest::prelude::*;

/// The program with these arguments; no variable of the caller names settings.
pub fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gradepaddle-node"));
    command.args(arguments).env_remove("GRADEPADDLE_BOOT").stdin(Stdio::null());
    command
}

/// Runs the program to its end.
pub fn run(arguments: &[&str]) -> Result<Output> {
    Ok(command(arguments).output()?)
}

/// Runs the program to its end with this settings file.
pub fn run_with(arguments: &[&str], settings: &str) -> Result<Output> {
    Ok(command(arguments).env("GRADEPADDLE_BOOT", settings).output()?)
}

/// The output of the program as text.
pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// The path of an example file.
pub fn example_path(file: &str) -> String {
    format!("{}/../examples/system/{file}", env!("CARGO_MANIFEST_DIR"))
}

/// The text of an example file.
pub fn example(file: &str) -> String {
    std::fs::read_to_string(example_path(file)).expect("the example is there")
}

/// A temporary folder of a test, removed when it is dropped.
pub struct Scratch(PathBuf);

impl Scratch {
    pub fn new() -> Scratch {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("gradepaddle-node-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder for the test");
        Scratch(folder)
    }

    pub fn path(&self, file: &str) -> String {
        self.0.join(file).to_string_lossy().into_owned()
    }

    pub fn write(&self, file: &str, text: &str) -> String {
        let path = self.path(file);
        std::fs::write(&path, text).expect("a file of the test");
        path
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        // A temporary folder that remains is harmless.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
