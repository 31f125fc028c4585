//! Which app servers may receive new requests at this moment.

use std::collections::{BTreeMap, BTreeSet};

use gradepaddle::{Id, ListKind, Micros, Server, ServerState};

/// Where an app server is located.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Location {
    /// Its zone.
    pub zone: u32,
    /// Its machine type.
    pub kind: u32,
    /// Its cell: app servers of one cell know each other's keyed requests.
    pub cell: u32,
}

/// Whether an app server may be sent new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Availability {
    /// It may be sent new requests.
    Open,
    /// It was reported draining at this time.
    Draining(Micros),
    /// It was reported gone, or was missing from a full list, at this time.
    Gone(Micros),
    /// The operators banned it at this time, whatever the list says.
    Banned(Micros),
}

impl Availability {
    /// Since when it has been closed to new requests; none if it is open.
    pub fn closed_since(self) -> Option<Micros> {
        match self {
            Availability::Open => None,
            Availability::Draining(at) | Availability::Gone(at) | Availability::Banned(at) => Some(at),
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Entry {
    location: Location,
    /// Its listed weight, as the bits of an `f64`. The chooser is told it and `started` again after a ban.
    weight: u64,
    started: Option<Micros>,
    /// Since when the list has reported it draining; reset when it is reported ready again.
    draining_since: Option<Micros>,
    /// Since when the list has reported it gone or has not named it.
    gone_since: Option<Micros>,
}

/// The app servers that the service table has named, with what was reported of each and when.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Fleet {
    entries: BTreeMap<Id, Entry>,
    /// The app servers that are gone, ordered by when they left, so that the next to be removed is first.
    gone_by_time: BTreeSet<(Micros, Id)>,
    /// The app servers that the operators have banned, and since when. Nothing that the list reports lifts a ban.
    banned: BTreeMap<Id, Micros>,
    /// Ids of app servers that were removed, up to [`MAX_PAST_IDS`]: an operator may still name them.
    past_ids: BTreeSet<Id>,
    keep_gone_servers: bool,
}

/// How many ids of removed app servers are remembered.
const MAX_PAST_IDS: usize = 100_000;

/// What applying a list changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Changes {
    /// App servers that are new, were opened or were closed; true if the app server is open.
    pub availability: Vec<(Id, bool)>,
    /// App servers removed after the retention time.
    pub removed: Vec<Id>,
}

impl Fleet {
    /// Creates an empty fleet. With `keep_gone_servers`, an app server that is reported gone without having drained
    /// stays open.
    pub fn new(keep_gone_servers: bool) -> Self {
        Fleet { keep_gone_servers, ..Fleet::default() }
    }

    /// How many app servers are known, including those that left and are not removed yet.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if no app server is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How many app servers are open. Takes time linear in their number.
    pub fn open_count(&self) -> usize {
        self.entries
            .iter()
            .filter(|(id, entry)| self.availability_of(id, entry) == Availability::Open)
            .count()
    }

    /// Whether this app server may be sent new requests; none if it is not known.
    pub fn availability(&self, id: &str) -> Option<Availability> {
        self.entries.get(id).map(|entry| self.availability_of(id, entry))
    }

    /// True if the list has ever named the app server, or the operators have banned it.
    pub fn knows(&self, id: &str) -> bool {
        self.entries.contains_key(id) || self.past_ids.contains(id) || self.banned.contains_key(id)
    }

    /// True if the operators have banned it.
    pub fn is_banned(&self, id: &str) -> bool {
        self.banned.contains_key(id)
    }

    /// The app servers that the operators have banned.
    pub fn banned(&self) -> impl Iterator<Item = &Id> {
        self.banned.keys()
    }

    /// Where the app server is located; none if it is not known.
    pub fn location(&self, id: &str) -> Option<Location> {
        self.entries.get(id).map(|entry| entry.location)
    }

    fn availability_of(&self, id: &str, entry: &Entry) -> Availability {
        let listed = self.listed_availability(entry);
        match self.banned.get(id) {
            // The drain grace counts from the earlier of the two.
            Some(at) if listed.closed_since().is_none_or(|since| since > *at) => Availability::Banned(*at),
            _ => listed,
        }
    }

    /// The availability that the list alone gives.
    fn listed_availability(&self, entry: &Entry) -> Availability {
        match (entry.draining_since, entry.gone_since) {
            // The drain grace counts from the earlier of the two.
            (Some(since), _) => Availability::Draining(since),
            (None, Some(since)) if !self.keep_gone_servers => Availability::Gone(since),
            _ => Availability::Open,
        }
    }

    /// Bans an app server. Returns the update for the chooser if the app server was open.
    pub(crate) fn ban(&mut self, since: Micros, id: &Id) -> Option<Server> {
        let open = self.availability(id) == Some(Availability::Open);
        self.banned.entry(id.clone()).or_insert(since);
        let entry = self.entries.get(id).filter(|_| open)?;
        Some(entry.server(id, ServerState::Draining, entry.started))
    }

    /// Ends a ban. Returns the update for the chooser if this opens the app server. Without a reported start during the
    /// ban, the app server counts as restarted now, which means that its caches are cold.
    pub(crate) fn lift_ban(&mut self, now: Micros, id: &Id) -> Option<Server> {
        let since = self.banned.remove(id)?;
        let open = self.availability(id) == Some(Availability::Open);
        let entry = self.entries.get(id).filter(|_| open)?;
        // It is open although the list reports it gone (`keep_gone_servers`). The chooser is told that it is gone, and
        // uses it again once it is listed again.
        let state = if entry.gone_since.is_some() { ServerState::Gone } else { ServerState::Ready };
        let started = entry.started.filter(|at| *at > since).unwrap_or(now);
        Some(entry.server(id, state, Some(started)))
    }

    /// Applies a list. An app server that has been gone for longer than `server_retention` is removed.
    pub(crate) fn apply_list(
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
            let location = Location { zone: server.zone, kind: server.kind, cell: server.cell };
            let was_open =
                self.availability(&server.id).map(|availability| availability == Availability::Open);
            if server.state == ServerState::Gone {
                self.mark_gone(now, &server.id, &mut changes);
                continue;
            }
            let entry = self.entries.entry(server.id.clone()).or_default();
            entry.location = location;
            entry.weight = server.weight.to_bits();
            entry.started = server.started.or(entry.started);
            entry.draining_since = match server.state {
                ServerState::Draining => entry.draining_since.or(Some(now)),
                _ => None,
            };
            if let Some(at) = entry.gone_since.take() {
                self.gone_by_time.remove(&(at, server.id.clone()));
            }
            let open = self.availability(&server.id) == Some(Availability::Open);
            if was_open != Some(open) {
                changes.availability.push((server.id.clone(), open));
            }
        }
        if kind != ListKind::Delta {
            let named: BTreeSet<&Id> = servers.iter().map(|server| &server.id).collect();
            let missing: Vec<Id> = self.entries.keys().filter(|id| !named.contains(id)).cloned().collect();
            for id in &missing {
                self.mark_gone(now, id, &mut changes);
            }
        }
        while let Some((at, _)) = self.gone_by_time.first()
            && now > at.saturating_add(server_retention)
        {
            let Some((_, id)) = self.gone_by_time.pop_first() else { break };
            self.entries.remove(&id);
            self.past_ids.insert(id.clone());
            if self.past_ids.len() > MAX_PAST_IDS {
                self.past_ids.pop_first();
            }
            changes.removed.push(id);
        }
        changes
    }

    fn mark_gone(&mut self, now: Micros, id: &Id, changes: &mut Changes) {
        let closes = !self.keep_gone_servers && !self.banned.contains_key(id);
        let Some(entry) = self.entries.get_mut(id) else { return };
        if entry.gone_since.is_some() {
            return;
        }
        entry.gone_since = Some(now);
        self.gone_by_time.insert((now, id.clone()));
        if closes && entry.draining_since.is_none() {
            changes.availability.push((id.clone(), false));
        }
    }
}

impl Entry {
    fn server(&self, id: &Id, state: ServerState, started: Option<Micros>) -> Server {
        let Location { zone, kind, cell } = self.location;
        Server { id: id.clone(), zone, kind, cell, state, weight: f64::from_bits(self.weight), started }
    }
}

#[cfg(test)]
mod tests;
