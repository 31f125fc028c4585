//! The settings file of a running process, which is reloaded on SIGHUP and checked periodically, since the platform may
//! change it without a signal (`DEPLOY.md`).

use std::path::PathBuf;

use gradepaddle_config::{Findings, Settings};

/// The file and the text that was read from it last.
pub struct SettingsFile {
    path: PathBuf,
    text: Option<String>,
}

impl SettingsFile {
    /// The file at `path`, whose current text counts as already loaded.
    pub fn new(path: PathBuf) -> Self {
        let text = std::fs::read_to_string(&path).ok();
        SettingsFile { path, text }
    }

    /// Reloads the file.
    ///
    /// # Errors
    ///
    /// The findings, as for [`Settings::load`].
    pub fn reload(&mut self) -> Result<Settings, Findings> {
        self.text = std::fs::read_to_string(&self.path).ok();
        match &self.text {
            Some(text) => Settings::parse(text),
            None => Settings::load(&self.path),
        }
    }

    /// Reloads the file if its text differs from the one that was read last; `None` if it doesn't or can't be read now.
    pub fn reload_if_changed(&mut self) -> Option<Result<Settings, Findings>> {
        let text = std::fs::read_to_string(&self.path).ok()?;
        (self.text.as_ref() != Some(&text)).then(|| self.reload())
    }
}

#[cfg(test)]
mod tests;
