//! The recorded output of a test, compared byte by byte with a golden file.

use std::fmt::Write as _;
use std::fs;
use std::path::Path;

use googletest::prelude::*;

/// The recorded output.
#[derive(Default)]
pub struct Transcript(String);

impl Transcript {
    /// Adds an entry with a title. Carriage returns are written as `\r`, and a line marks the end of the bytes.
    pub fn text(&mut self, title: &str, bytes: &[u8]) {
        let shown = String::from_utf8_lossy(bytes).replace('\r', "\\r");
        writeln!(self.0, "== {title}\n{shown}\n== end").expect("a string takes all");
    }

    /// Adds a line.
    pub fn line(&mut self, line: &str) {
        writeln!(self.0, "{line}").expect("a string takes all");
    }

    /// Compares the output with a file in `tests/golden`. If they differ, writes the output to the directory for
    /// temporary files of the tests, so that the two files can be compared.
    pub fn verify(self, file: &str) -> Result<()> {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
        let wanted = fs::read_to_string(folder.join(file)).unwrap_or_default();
        if wanted == self.0 {
            return Ok(());
        }
        let found = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
        fs::write(&found, &self.0)?;
        fail!("{file} differs from what was written, which is in {}:\n{}", found.display(), self.0)
    }
}

/// Bytes as lower-case hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
