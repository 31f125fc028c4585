//! Which app servers may be sent to at this moment.

use std::collections::{BTreeMap, BTreeSet};

use gradepaddle::{Id, ListKind, Micros, Server, State};

/// Where an app server stands among the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Place {
    /// Its zone.
    pub zone: u32,
    /// Its machine type.
    pub kind: u32,
    /// Those that know of each other's keyed requests.
    pub cell: u32,
}

/// May an app server be sent anything new?
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Standing {
    /// It may.
    Open,
    /// It was told to be draining at this time.
    Draining(Micros),
    /// It was told to be gone, or left out of a full list, at this time.
    Gone(Micros),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Entry {
    place: Place,
    /// Since when the list has called it draining; goes once it is called ready again.
    drains: Option<Micros>,
    /// Since when the list has called it gone, or left it out.
    gone: Option<Micros>,
}

/// The app servers that the service table has named. Holds nothing but what was told, and when.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fleet {
    entries: BTreeMap<Id, Entry>,
    /// Those that are gone, by when: what is to be forgotten stands first.
    leaving: BTreeSet<(Micros, Id)>,
    only_draining_binds: bool,
}

/// What a list has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Changes {
    /// App servers that are new, or may now be sent to, or no longer.
    pub standing: Vec<(Id, bool)>,
    pub forgotten: Vec<Id>,
}

impl Fleet {
    /// Knows nobody yet. Where only a drain binds, one that is called gone without that stays open while
    /// it answers.
    pub fn new(only_draining_binds: bool) -> Self {
        Fleet { only_draining_binds, ..Fleet::default() }
    }

    /// How many are known, those that left a while ago included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if none is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How many may be sent to. Looks at each.
    pub fn open(&self) -> usize {
        self.entries.values().filter(|entry| self.judge(entry) == Standing::Open).count()
    }

    /// What was told of this app server; none if it is not known.
    pub fn standing(&self, id: &str) -> Option<Standing> {
        self.entries.get(id).map(|entry| self.judge(entry))
    }

    /// Where it stands; none if it is not known.
    pub fn place(&self, id: &str) -> Option<Place> {
        self.entries.get(id).map(|entry| entry.place)
    }

    fn judge(&self, entry: &Entry) -> Standing {
        match (entry.drains, entry.gone) {
            // The earlier of the two is what the grace counts from.
            (Some(drains), _) => Standing::Draining(drains),
            (None, Some(gone)) if !self.only_draining_binds => Standing::Gone(gone),
            _ => Standing::Open,
        }
    }

    /// Takes in a list. One that has been gone for `forget` is forgotten.
    pub(crate) fn take(
        &mut self,
        now: Micros,
        kind: ListKind,
        servers: &[Server],
        forget: Micros,
    ) -> Changes {
        let mut changes = Changes::default();
        if kind == ListKind::Failed {
            return changes;
        }
        for server in servers {
            let place = Place { zone: server.zone, kind: server.kind, cell: server.cell };
            let known = self.entries.get(&server.id).map(|entry| self.judge(entry) == Standing::Open);
            if server.state == State::Gone {
                self.leave(now, &server.id, &mut changes);
                continue;
            }
            let entry = self.entries.entry(server.id.clone()).or_default();
            entry.place = place;
            entry.drains = match server.state {
                State::Draining => entry.drains.or(Some(now)),
                _ => None,
            };
            if let Some(at) = entry.gone.take() {
                self.leaving.remove(&(at, server.id.clone()));
            }
            let open = server.state == State::Ready;
            if known != Some(open) {
                changes.standing.push((server.id.clone(), open));
            }
        }
        if kind != ListKind::Delta {
            let named: BTreeSet<&Id> = servers.iter().map(|server| &server.id).collect();
            let missing: Vec<Id> = self.entries.keys().filter(|id| !named.contains(id)).cloned().collect();
            for id in &missing {
                self.leave(now, id, &mut changes);
            }
        }
        while let Some((at, _)) = self.leaving.first()
            && now > at.saturating_add(forget)
        {
            let Some((_, id)) = self.leaving.pop_first() else { break };
            self.entries.remove(&id);
            changes.forgotten.push(id);
        }
        changes
    }

    fn leave(&mut self, now: Micros, id: &Id, changes: &mut Changes) {
        let binds = !self.only_draining_binds;
        let Some(entry) = self.entries.get_mut(id) else { return };
        if entry.gone.is_some() {
            return;
        }
        entry.gone = Some(now);
        self.leaving.insert((now, id.clone()));
        if binds && entry.drains.is_none() {
            changes.standing.push((id.clone(), false));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FORGET: Micros = 100;

    fn server(id: &str, state: State) -> Server {
        Server { id: id.into(), zone: 0, kind: 0, cell: 0, state, weight: 1.0, started: None }
    }

    fn names(changes: &Changes) -> Vec<(&str, bool)> {
        changes.standing.iter().map(|(id, open)| (&**id, *open)).collect()
    }

    /// Guards the grace against a clock that starts anew: a drain told twice counts from the first time,
    /// also where the app server is called gone in between.
    #[test]
    fn a_drain_counts_from_when_it_was_first_told() {
        let mut fleet = Fleet::new(false);
        fleet.take(1, ListKind::Full, &[server("a", State::Ready)], FORGET);
        assert_eq!(fleet.standing("a"), Some(Standing::Open));
        let told = fleet.take(5, ListKind::Delta, &[server("a", State::Draining)], FORGET);
        assert_eq!(names(&told), [("a", false)]);
        let again = fleet.take(9, ListKind::Full, &[server("a", State::Draining)], FORGET);
        assert_eq!((names(&again).len(), fleet.standing("a")), (0, Some(Standing::Draining(5))));
        fleet.take(11, ListKind::Full, &[], FORGET);
        assert_eq!(fleet.standing("a"), Some(Standing::Draining(5)));
        let back = fleet.take(12, ListKind::Delta, &[server("a", State::Ready)], FORGET);
        assert_eq!((names(&back), fleet.standing("a")), (vec![("a", true)], Some(Standing::Open)));
    }

    /// Guards against an empty fleet for want of a list, and against one that only grows: gone stays
    /// usable where only a drain binds, and is forgotten in time.
    #[test]
    fn gone_binds_unless_the_settings_say_otherwise_and_is_forgotten() {
        for only in [false, true] {
            let mut fleet = Fleet::new(only);
            fleet.take(
                1,
                ListKind::Cached,
                &[server("a", State::Ready), server("b", State::Draining)],
                FORGET,
            );
            fleet.take(2, ListKind::Failed, &[], FORGET);
            assert_eq!(fleet.standing("a"), Some(Standing::Open));
            let left = fleet.take(3, ListKind::Full, &[], FORGET);
            assert_eq!(names(&left), if only { vec![] } else { vec![("a", false)] });
            let standing = if only { Standing::Open } else { Standing::Gone(3) };
            assert_eq!(fleet.standing("a"), Some(standing));
            assert_eq!(fleet.standing("b"), Some(Standing::Draining(1)));
            assert!(fleet.take(3 + FORGET, ListKind::Delta, &[], FORGET).forgotten.is_empty());
            let gone = fleet.take(4 + FORGET, ListKind::Delta, &[], FORGET);
            assert_eq!((gone.forgotten.len(), fleet.len()), (2, 0));
        }
    }
}
