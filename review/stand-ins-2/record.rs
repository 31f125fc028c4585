//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record(Arc::new((Instant::now(), Mutex::new(File::create(path)?)))))
    }

    pub fn line(&self, text: &str) {
        let at = self.0.0.elapsed().as_secs_f64();
        if let Ok(mut file) = self.0.1.lock() {
            let _ = writeln!(file, "{at:9.3} {text}");
        }
    }
}
