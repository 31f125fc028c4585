//! The record of a case: what was sent, answered and run, with the seconds since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Writes `record.txt`. Shared by the threads of a case.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    /// Creates `record.txt` in this folder.
    pub fn create(folder: &Path) -> Result<Record, String> {
        let file = File::create(folder.join("record.txt")).map_err(|error| format!("record.txt: {error}"))?;
        Ok(Record { file: Mutex::new(file), started: Instant::now() })
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{seconds:8.3}  {text}");
        }
    }
}
