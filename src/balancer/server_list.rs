//! The list of servers: what discovery says of them, when it is asked again, and which servers each class may use.

use std::collections::BTreeSet;

use crate::api::{Id, ListKind, Micros, Server, ServerState};
use crate::probing::UNPROBED;
use crate::state::{Balancer, Brief, Peer, hash};

/// Duration of one call to discovery, which serves all gateways in turn, and how many calls it takes at once.
const DISCOVERY_CALL: Micros = 60_000;
const CONCURRENT_CALLS: u32 = 16;
/// The first pause after a failed call; each further failure doubles it, up to so many.
const FIRST_CALL_PAUSE: Micros = 250_000;
const MAX_CALL_FAILURES: u32 = 5;
/// A server that was dropped from the list without draining is forgotten after this.
const FORGET_AFTER: Micros = 60_000_000;

impl Balancer {
    /// Takes in a list of servers, or changes of it.
    pub(super) fn handle_list(&mut self, now: Micros, kind: ListKind, entries: Vec<Server>) {
        if kind == ListKind::Failed {
            return self.schedule_retried_call(now);
        }
        if kind != ListKind::Cached {
            self.ask_failed = 0;
        } else if self.settings.poll_discovery && !self.listed {
            self.ask_at = now
                + u64::from(self.settings.gateway_index) * self.call_spread()
                    / u64::from(self.settings.gateway_count);
        }
        if kind != ListKind::Delta {
            self.drop_unlisted(now, &entries);
        }
        for entry in entries {
            let server = self.server_slot(now, &entry.id);
            self.update_server(now, server, &entry);
        }
        self.listed = true;
        self.forget_gone_servers(now);
        self.classify_servers();
        self.refreshed = 0;
        self.briefs.resize(self.servers.len(), Brief::default());
        self.odds.resize(self.servers.len() * self.classes.len(), 0.0);
        (0..self.servers.len()).for_each(|server| self.refresh_brief(server, now));
    }

    /// A discovery outage: the last list holds, and gateways ask again at jittered, growing intervals, or they would
    /// overload it as it returns.
    fn schedule_retried_call(&mut self, now: Micros) {
        self.ask_failed = (self.ask_failed + 1).min(MAX_CALL_FAILURES);
        let spread = self.call_spread();
        let most = (self.settings.max_poll_interval / 4).max(2 * spread).max(1);
        let wait = ((FIRST_CALL_PAUSE << self.ask_failed) + (spread << (self.ask_failed - 1))).min(most);
        self.ask_at = now + wait / 2 + self.next_random() % (wait / 2 + 1);
    }

    /// Over how long the calls of all gateways are spread, each in its turn. Guards against calls that wait too long, are
    /// made again and keep discovery too busy for any. Harm: one that restarts alone waits too.
    fn call_spread(&self) -> Micros {
        let calls = u64::from(self.settings.gateway_count.saturating_sub(CONCURRENT_CALLS));
        (calls * DISCOVERY_CALL).min(self.settings.max_poll_interval / 2)
    }

    fn drop_unlisted(&mut self, now: Micros, entries: &[Server]) {
        let binds = !self.settings.keep_gone_servers;
        let named: BTreeSet<&Id> = entries.iter().map(|entry| &entry.id).collect();
        for peer in self.servers.iter_mut().filter(|peer| !named.contains(&peer.id)) {
            drop_server(peer, now, binds);
        }
    }

    /// The place of a server; a new one gets the place of one that was forgotten.
    fn server_slot(&mut self, now: Micros, id: &Id) -> usize {
        if let Some(known) = self.names.get(id) {
            return *known;
        }
        let slot = self.free.pop().unwrap_or(self.servers.len());
        if slot == self.servers.len() {
            self.servers.push(Peer::default());
        }
        self.names.insert(id.clone(), slot);
        // Where probes are allowed a new server first answers one.
        let proven = !self.settings.probes || !self.listed;
        let life = self.servers[slot].life;
        let (hash, id) = (hash(id), id.clone());
        self.servers[slot] = Peer { hash, id, life, proven, faded: now, sign: now, ..Peer::default() };
        slot
    }

    fn update_server(&mut self, now: Micros, server: usize, entry: &Server) {
        let (binds, probes) = (!self.settings.keep_gone_servers, self.settings.probes);
        let listed = self.listed;
        let peer = &mut self.servers[server];
        (peer.zone, peer.kind, peer.cell) = (entry.zone, entry.kind, entry.cell);
        peer.size = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
        // Just started: a later start time, or without one a return or a new id after the first list. A list that is
        // old, or was wrong, restarts nothing.
        let fresh = match entry.started {
            Some(started) => peer.started.is_none_or(|last| started > last),
            None => listed && peer.state == ServerState::Gone && entry.state == ServerState::Ready,
        };
        if fresh {
            peer.started = Some(entry.started.unwrap_or(now));
            peer.life += 1;
            (peer.met, peer.took, peer.ghost, peer.carried) = (0.0, 0.0, 0.0, 0.0);
            peer.faults.clear();
            peer.errors.clear();
            self.zones.remove(&peer.zone);
        }
        if entry.state == ServerState::Gone {
            return drop_server(peer, now, binds);
        }
        // One that drained and is listed again may be a list that is out of date.
        if peer.state == ServerState::Draining && entry.state == ServerState::Ready && !fresh {
            (peer.proven, peer.answered) = (!probes, false);
        }
        (peer.state, peer.dropped) = (entry.state, None);
    }

    /// The gone are forgotten once no request can name them; their places are used again.
    fn forget_gone_servers(&mut self, now: Micros) {
        let longest = self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        for (slot, peer) in self.servers.iter_mut().enumerate() {
            if peer.dropped.is_some_and(|at| now > at.max(peer.sign).saturating_add(FORGET_AFTER)) {
                peer.state = ServerState::Gone;
            }
            let is_unused = peer.in_flight == 0 && now > peer.sent.saturating_add(2 * longest);
            if peer.state == ServerState::Gone && is_unused && self.names.remove(&peer.id).is_some() {
                *peer = Peer { life: peer.life + 1, ..Peer::default() };
                self.free.push(slot);
            }
        }
    }

    /// Sorts the servers: those that count, those that are only tried, those open to each class. Guards against servers that
    /// a list makes up or calls gone: one that never answered, or was dropped without draining, and fails to answer is no
    /// capacity and no key's home until a probe, or one request at growing intervals, is answered. Also catches an old list
    /// after a restart and new servers that are not up yet. Harm: one with a full table at the first attempt waits a little
    /// for the second.
    pub(crate) fn classify_servers(&mut self) {
        let proven =
            |s: &usize| (self.servers[*s].state == ServerState::Ready).then_some(self.servers[*s].proven);
        self.ready = (0..self.servers.len()).filter(|s| proven(s) == Some(true)).collect();
        self.trial = (0..self.servers.len()).filter(|s| proven(s) == Some(false)).collect();
        self.update_relative_sizes();
        self.spans.clear();
        self.ready.iter().for_each(|s| *self.spans.entry(self.servers[*s].zone).or_default() += 1);
        // Placement binds every attempt: nothing outside a class's open servers is ever looked at.
        for (open, class) in self.open.iter_mut().zip(&self.settings.classes) {
            let fits = |s: &usize| class.open_to(self.servers[*s].zone, self.servers[*s].kind);
            *open = self.ready.iter().copied().filter(fits).collect();
            let tried = |s: &usize| !self.settings.probes || self.servers[*s].doubt >= UNPROBED;
            let all = open.is_empty();
            open.extend(self.trial.iter().copied().filter(|s| fits(s) && (all || tried(s))));
            open.sort_unstable();
        }
    }
}

/// Gone, or left out of the list. Unless that binds, only one that drained is closed, until it is listed as ready.
fn drop_server(peer: &mut Peer, now: Micros, binds: bool) {
    if binds {
        peer.state = ServerState::Gone;
    } else if peer.state != ServerState::Gone {
        peer.dropped = peer.dropped.or(Some(now));
    }
}
