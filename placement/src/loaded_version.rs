//! The model versions that a server is known to have loaded.

/// The version of one model at one server. Versions at a server only grow, so reports that arrive late change nothing.
#[derive(Clone, Debug)]
pub(crate) struct LoadedVersion {
    pub(crate) model: u32,
    /// Unknown after the server denied having the one that it was believed to have.
    pub(crate) version: Option<u64>,
    /// Reports of lower versions than this are ignored.
    lowest: u64,
}

impl LoadedVersion {
    pub(crate) fn new(model: u32, version: u64) -> LoadedVersion {
        LoadedVersion { model, version: Some(version), lowest: version }
    }

    /// Applies a report, and returns whether it changes the version.
    pub(crate) fn record_report(&mut self, version: u64) -> bool {
        let changed = version >= self.lowest && self.version != Some(version);
        if changed {
            self.version = Some(version);
            self.lowest = version;
        }
        changed
    }

    /// Records that the server denied having this version.
    pub(crate) fn record_denial(&mut self, version: u64) {
        if self.version == Some(version) {
            self.version = None;
            self.lowest = version + 1;
        }
    }
}
