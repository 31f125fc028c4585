//! Announced model versions: from its deadline on, a version is binding, and no request may start on an older one
//! (operators' rule VERSION).

use std::collections::HashMap;
use std::sync::Arc;

use crate::time::Micros;

/// A version that becomes binding.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VersionDeadline {
    pub(crate) at: Micros,
    pub(crate) version: u64,
}

/// What limits the versions that a request may be placed on; 0 where none was announced.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VersionBounds {
    /// The newest version that was announced.
    pub(crate) newest: u64,
    /// The oldest version that requests may be placed on.
    pub(crate) lowest: u64,
}

/// The announced versions of one model.
#[derive(Debug, Default)]
struct AnnouncedVersions {
    newest: u64,
    /// The oldest version that requests are placed on.
    lowest_placed: u64,
    /// The oldest version that a request may still start on.
    binding: u64,
    /// Versions above `binding`, which become binding later.
    upcoming: Vec<VersionDeadline>,
}

impl AnnouncedVersions {
    /// The newest version that is binding by this time.
    fn binding_by(&self, by: Micros) -> u64 {
        let due = self.upcoming.iter().filter(|upcoming| upcoming.at <= by);
        due.map(|upcoming| upcoming.version).max().unwrap_or(0)
    }

    fn apply_deadlines(&mut self, now: Micros) {
        self.binding = self.binding.max(self.binding_by(now));
        let binding = self.binding;
        self.upcoming.retain(|upcoming| upcoming.version > binding);
    }
}

/// The announced versions of all models.
#[derive(Debug, Default)]
pub(crate) struct VersionDeadlines {
    models: HashMap<Arc<str>, AnnouncedVersions>,
}

impl VersionDeadlines {
    /// Records the announcement of a version, which is binding from `binds_at` on.
    pub(crate) fn announce(&mut self, model: &str, version: u64, binds_at: Micros) {
        let announced = self.models.entry(Arc::from(model)).or_default();
        let implies = |other: &VersionDeadline| other.version >= version && other.at <= binds_at;
        if version > announced.binding && !announced.upcoming.iter().any(implies) {
            announced.upcoming.push(VersionDeadline { at: binds_at, version });
        }
        announced.newest = announced.newest.max(version);
    }

    /// Postpones the deadline of a version, unless requests are no longer placed on older versions already.
    pub(crate) fn extend(&mut self, model: &str, version: u64, binds_at: Micros) {
        let Some(announced) = self.models.get_mut(model) else { return };
        let lowest_placed = announced.lowest_placed;
        for upcoming in &mut announced.upcoming {
            if upcoming.version <= version && upcoming.version > lowest_placed {
                upcoming.at = upcoming.at.max(binds_at);
            }
        }
    }

    /// The versions that requests may be placed on at this time, which is `margin` ahead of the deadlines.
    pub(crate) fn bounds(&mut self, now: Micros, margin: Micros, model: &str) -> VersionBounds {
        let Some(announced) = self.models.get_mut(model) else { return VersionBounds::default() };
        announced.lowest_placed = announced.lowest_placed.max(announced.binding_by(now + margin));
        announced.apply_deadlines(now);
        VersionBounds { newest: announced.newest, lowest: announced.lowest_placed }
    }

    /// The versions that become binding after this time.
    pub(crate) fn upcoming(&self, now: Micros, model: &str) -> Vec<VersionDeadline> {
        let announced = self.models.get(model).into_iter();
        let upcoming = announced.flat_map(|announced| &announced.upcoming);
        upcoming.filter(|upcoming| upcoming.at > now).copied().collect()
    }

    /// From when on no request may start on this version; `None` if nothing newer was announced.
    pub(crate) fn outdated_at(&self, model: &str, version: u64) -> Option<Micros> {
        let announced = self.models.get(model)?;
        if version < announced.binding {
            return Some(0);
        }
        let newer = announced.upcoming.iter().filter(|upcoming| upcoming.version > version);
        newer.map(|upcoming| upcoming.at).min()
    }

    /// The oldest version that a request may start on at this time; 0 if none was announced.
    pub(crate) fn binding(&mut self, now: Micros, model: &str) -> u64 {
        let Some(announced) = self.models.get_mut(model) else { return 0 };
        announced.apply_deadlines(now);
        announced.binding
    }
}
