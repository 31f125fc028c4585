//! VersionDeadlines of models' weights: which were named, from when on each binds, and what a server is known to have.

use std::collections::HashMap;
use std::sync::Arc;

use crate::api::Micros;

/// One model at one server. VersionDeadlines at a server only grow, so that late news changes nothing.
#[derive(Clone, Debug)]
pub(crate) struct LoadedVersion {
    pub(crate) model: u32,
    /// Unknown after the server denied the one that it was believed to have.
    pub(crate) version: Option<u64>,
    least: u64,
}

impl LoadedVersion {
    pub(crate) fn new(model: u32, version: u64) -> LoadedVersion {
        LoadedVersion { model, version: Some(version), least: version }
    }

    /// Takes in news; true if they change anything.
    pub(crate) fn observe(&mut self, version: u64) -> bool {
        let news = version >= self.least && self.version != Some(version);
        if news {
            (self.version, self.least) = (Some(version), version);
        }
        news
    }

    /// The server said that it does not have this version.
    pub(crate) fn deny(&mut self, version: u64) {
        if self.version == Some(version) {
            (self.version, self.least) = (None, version + 1);
        }
    }
}

/// A version that was named, with the time from which on nothing older may begin at a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VersionDeadline {
    pub(crate) at: Micros,
    pub(crate) version: u64,
}

#[derive(Debug, Default)]
struct AnnouncedVersions {
    newest: u64,
    /// The oldest version that requests are placed with.
    floor: u64,
    /// The oldest version that may still begin.
    binding: u64,
    /// VersionDeadlines above `binding`.
    ahead: Vec<VersionDeadline>,
}

impl AnnouncedVersions {
    /// The newest version that binds by this time.
    fn ripe(&self, by: Micros) -> u64 {
        self.ahead.iter().filter(|one| one.at <= by).map(|one| one.version).max().unwrap_or(0)
    }

    fn settle(&mut self, now: Micros) {
        self.binding = self.binding.max(self.ripe(now));
        let binding = self.binding;
        self.ahead.retain(|one| one.version > binding);
    }
}

/// The versions that were named, by model.
#[derive(Debug, Default)]
pub(crate) struct VersionDeadlines {
    models: HashMap<Arc<str>, AnnouncedVersions>,
}

impl VersionDeadlines {
    /// A version was named; from `binds_at` on nothing older may begin.
    pub(crate) fn name(&mut self, model: &str, version: u64, binds_at: Micros) {
        let named = self.models.entry(Arc::from(model)).or_default();
        let implied = |one: &VersionDeadline| one.version >= version && one.at <= binds_at;
        if version > named.binding && !named.ahead.iter().any(implied) {
            named.ahead.push(VersionDeadline { at: binds_at, version });
        }
        named.newest = named.newest.max(version);
    }

    /// What was named binds later than it was said, unless nothing older is placed already: nobody could bring servers
    /// to it.
    pub(crate) fn postpone(&mut self, model: &str, version: u64, binds_at: Micros) {
        let Some(named) = self.models.get_mut(model) else { return };
        let floor = named.floor;
        for one in named.ahead.iter_mut().filter(|one| one.version <= version && one.version > floor) {
            one.at = one.at.max(binds_at);
        }
    }

    /// The newest version that was named, and the oldest that requests may be placed with from `margin` before it
    /// binds; 0 if none was named.
    pub(crate) fn bounds(&mut self, now: Micros, margin: Micros, model: &str) -> (u64, u64) {
        let Some(named) = self.models.get_mut(model) else { return (0, 0) };
        named.floor = named.floor.max(named.ripe(now + margin));
        named.settle(now);
        (named.newest, named.floor)
    }

    /// The versions that bind later than this time, with the time of each.
    pub(crate) fn ahead(&self, now: Micros, model: &str) -> Vec<VersionDeadline> {
        let named = self.models.get(model);
        named.into_iter().flat_map(|named| &named.ahead).filter(|one| one.at > now).copied().collect()
    }

    /// From when on an attempt on this version may not begin any longer; none if nothing newer was named.
    pub(crate) fn outdated_at(&self, model: &str, version: u64) -> Option<Micros> {
        let named = self.models.get(model)?;
        if version < named.binding {
            return Some(0);
        }
        named.ahead.iter().filter(|one| one.version > version).map(|one| one.at).min()
    }

    /// The oldest version that may begin at this time; 0 if none was named.
    pub(crate) fn binding(&mut self, now: Micros, model: &str) -> u64 {
        let Some(named) = self.models.get_mut(model) else { return 0 };
        named.settle(now);
        named.binding
    }
}
