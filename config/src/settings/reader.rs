//! Reads the values of a settings file one by one and collects the findings.

use crate::finding::{Finding, Findings, Problem, WHOLE_DOCUMENT};
use figment::Figment;
use figment::providers::{Format, Toml};
use figment::value::Value;
use serde::de::DeserializeOwned;
use std::net::SocketAddrV4;

/// The values of a settings file by dotted path, with the findings of the values read so far.
pub(super) struct Reader {
    values: Value,
    /// The findings so far.
    pub findings: Vec<Finding>,
}

impl Reader {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// [`Problem::Unreadable`] if the text isn't TOML.
    pub fn new(text: &str) -> Result<Self, Findings> {
        let values = Figment::from(Toml::string(text))
            .extract::<Value>()
            .map_err(|error| Finding::unreadable(WHOLE_DOCUMENT, error))?;
        Ok(Self { values, findings: Vec::new() })
    }

    /// The value at a path; `None` if it is absent, or, with a finding, if it can't be parsed.
    pub fn optional<T: DeserializeOwned>(&mut self, path: &str) -> Option<T> {
        let value = self.values.find_ref(path)?.deserialize();
        value.map_err(|error| self.findings.push(unreadable(path, &error))).ok()
    }

    /// The value at a path; with a finding, `placeholder` if it is absent or can't be parsed.
    pub fn required<T: DeserializeOwned>(&mut self, path: &str, placeholder: T) -> T {
        if self.values.find_ref(path).is_none() {
            self.findings.push(Finding::new(path, Problem::Missing));
            return placeholder;
        }
        self.optional(path).unwrap_or(placeholder)
    }

    /// The string at a path; an empty one counts as absent.
    pub fn text(&mut self, path: &str) -> Option<String> {
        self.optional::<String>(path).filter(|text| !text.is_empty())
    }

    /// The address at a path; an empty string counts as absent.
    pub fn address(&mut self, path: &str) -> Option<SocketAddrV4> {
        let address = self.text(path)?.parse();
        address.map_err(|error| self.findings.push(Finding::unreadable(path, error))).ok()
    }
}

fn unreadable(path: &str, error: &figment::Error) -> Finding {
    Finding::unreadable(path, &error.kind)
}
