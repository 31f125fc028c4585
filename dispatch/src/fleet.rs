//! Which app servers may be sent to at this moment.

use std::collections::{BTreeMap, BTreeSet};

use gradepaddle::{Id, ListKind, Micros, Server, ServerState};

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
    /// The operators took it out at this time, whatever the list says.
    Banned(Micros),
}

impl Standing {
    /// Since when it may be sent nothing new.
    pub fn closed(self) -> Option<Micros> {
        match self {
            Standing::Open => None,
            Standing::Draining(at) | Standing::Gone(at) | Standing::Banned(at) => Some(at),
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Entry {
    place: Place,
    /// Its size as listed, by its bits, and its last start: what the chooser is told again after a ban.
    weight: u64,
    started: Option<Micros>,
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
    /// Those that the operators took out, since when. A set over the list: nothing the list says lifts one.
    banned: BTreeMap<Id, Micros>,
    /// Some of those that are forgotten: an operator may still name them.
    past: BTreeSet<Id>,
    only_draining_binds: bool,
}

/// So many forgotten ids are remembered as ones that were listed once.
const PAST: usize = 100_000;

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
    pub fn open_count(&self) -> usize {
        self.entries.iter().filter(|(id, entry)| self.judge(id, entry) == Standing::Open).count()
    }

    /// What was told of this app server; none if it is not known.
    pub fn standing(&self, id: &str) -> Option<Standing> {
        self.entries.get(id).map(|entry| self.judge(id, entry))
    }

    /// True if the list has ever named it, or the operators have taken it out.
    pub fn knows(&self, id: &str) -> bool {
        self.entries.contains_key(id) || self.past.contains(id) || self.banned.contains_key(id)
    }

    /// True if the operators have taken it out.
    pub fn is_banned(&self, id: &str) -> bool {
        self.banned.contains_key(id)
    }

    /// Those that the operators have taken out.
    pub fn banned(&self) -> impl Iterator<Item = &Id> {
        self.banned.keys()
    }

    /// Where it stands; none if it is not known.
    pub fn place(&self, id: &str) -> Option<Place> {
        self.entries.get(id).map(|entry| entry.place)
    }

    fn judge(&self, id: &str, entry: &Entry) -> Standing {
        let listed = self.listed(entry);
        match self.banned.get(id) {
            // The earlier of the two is what the grace counts from.
            Some(at) if listed.closed().is_none_or(|since| since > *at) => Standing::Banned(*at),
            _ => listed,
        }
    }

    /// What the list alone says.
    fn listed(&self, entry: &Entry) -> Standing {
        match (entry.drains, entry.gone) {
            // The earlier of the two is what the grace counts from.
            (Some(drains), _) => Standing::Draining(drains),
            (None, Some(gone)) if !self.only_draining_binds => Standing::Gone(gone),
            _ => Standing::Open,
        }
    }

    /// Takes one out; gives back what the chooser is to be told of it, if it was open.
    pub(crate) fn ban(&mut self, since: Micros, id: &Id) -> Option<Server> {
        let open = self.standing(id) == Some(Standing::Open);
        self.banned.entry(id.clone()).or_insert(since);
        let entry = self.entries.get(id).filter(|_| open)?;
        Some(entry.server(id, ServerState::Draining, entry.started))
    }

    /// Ends a ban; gives back what the chooser is to be told, if the app server is open by that. It was
    /// restarted meanwhile, so far as is known just now: it is cold.
    pub(crate) fn lift(&mut self, now: Micros, id: &Id) -> Option<Server> {
        let since = self.banned.remove(id)?;
        let open = self.standing(id) == Some(Standing::Open);
        let entry = self.entries.get(id).filter(|_| open)?;
        // One that the list calls gone, and that only a drain would bind, has to be listed again.
        let state = if entry.gone.is_some() { ServerState::Gone } else { ServerState::Ready };
        let started = entry.started.filter(|at| *at > since).unwrap_or(now);
        Some(entry.server(id, state, Some(started)))
    }

    /// Takes in a list. One that has been gone for `server_retention` is forgotten.
    pub(crate) fn take(
        &mut self,
        now: Micros,
        kind: ListKind,
        servers: &[Server],
        server_retention: Micros,
    ) -> Changes {
        let mut changes = Changes::default();
        if kind == ListKind::Failed {
            return changes;
        }
        for server in servers {
            let place = Place { zone: server.zone, kind: server.kind, cell: server.cell };
            let known = self.standing(&server.id).map(|standing| standing == Standing::Open);
            if server.state == ServerState::Gone {
                self.leave(now, &server.id, &mut changes);
                continue;
            }
            let entry = self.entries.entry(server.id.clone()).or_default();
            entry.place = place;
            entry.weight = server.weight.to_bits();
            entry.started = server.started.or(entry.started);
            entry.drains = match server.state {
                ServerState::Draining => entry.drains.or(Some(now)),
                _ => None,
            };
            if let Some(at) = entry.gone.take() {
                self.leaving.remove(&(at, server.id.clone()));
            }
            let open = self.standing(&server.id) == Some(Standing::Open);
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
            && now > at.saturating_add(server_retention)
        {
            let Some((_, id)) = self.leaving.pop_first() else { break };
            self.entries.remove(&id);
            self.past.insert(id.clone());
            if self.past.len() > PAST {
                self.past.pop_first();
            }
            changes.forgotten.push(id);
        }
        changes
    }

    fn leave(&mut self, now: Micros, id: &Id, changes: &mut Changes) {
        let binds = !self.only_draining_binds && !self.banned.contains_key(id);
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

impl Entry {
    fn server(&self, id: &Id, state: ServerState, started: Option<Micros>) -> Server {
        let Place { zone, kind, cell } = self.place;
        Server { id: id.clone(), zone, kind, cell, state, weight: f64::from_bits(self.weight), started }
    }
}

#[cfg(test)]
mod tests;
