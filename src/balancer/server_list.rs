//! The server list: applies what discovery reports, schedules requests to it, and determines the servers of each class.

use std::collections::BTreeSet;

use crate::api::{Id, ListKind, Micros, Server, ServerState};
use crate::probing::PROBES_BEFORE_REQUESTS;
use crate::state::{Balancer, ServerSummary, Upstream, hash};

/// Duration of one call to discovery, which serves all gateways, and the number of calls it serves concurrently.
const DISCOVERY_CALL: Micros = 60_000;
const CONCURRENT_CALLS: u32 = 16;
/// The base of the delay after a failed call, and the most times that it doubles.
const FIRST_POLL_DELAY: Micros = 250_000;
const MAX_POLL_DOUBLINGS: u32 = 5;
/// A server that was dropped from the list without draining is removed after this time.
const FORGET_AFTER: Micros = 60_000_000;

impl Balancer {
    /// Applies a list of servers or changes to it.
    pub(super) fn handle_list(&mut self, now: Micros, kind: ListKind, entries: Vec<Server>) {
        if kind == ListKind::Failed {
            return self.schedule_poll_retry(now);
        }
        if kind != ListKind::Cached {
            self.failed_polls = 0;
        } else if self.settings.poll_discovery && !self.list_received {
            self.next_poll = now
                + u64::from(self.settings.gateway_index) * self.poll_spread()
                    / u64::from(self.settings.gateway_count);
        }
        if kind != ListKind::Delta {
            self.drop_unlisted(now, &entries);
        }
        for entry in entries {
            let server = self.slot_of_server(now, &entry.id);
            self.update_server(now, server, &entry);
        }
        self.list_received = true;
        self.forget_gone_servers(now);
        self.classify_servers();
        self.last_refresh = 0;
        self.summaries.resize(self.servers.len(), ServerSummary::default());
        self.failure_odds.resize(self.servers.len() * self.class_stats.len(), 0.0);
        (0..self.servers.len()).for_each(|server| self.refresh_summary(server, now));
    }

    /// Schedules the next call after a failed one. The last list stays valid; the intervals grow and are jittered, so that the
    /// gateways do not overload discovery when it recovers.
    fn schedule_poll_retry(&mut self, now: Micros) {
        self.failed_polls = (self.failed_polls + 1).min(MAX_POLL_DOUBLINGS);
        let spread = self.poll_spread();
        let most = (self.settings.max_poll_interval / 4).max(2 * spread).max(1);
        let wait = ((FIRST_POLL_DELAY << self.failed_polls) + (spread << (self.failed_polls - 1))).min(most);
        self.next_poll = now + wait / 2 + self.next_random() % (wait / 2 + 1);
    }

    /// The time over which the calls of all gateways are spread. Without it, calls queue at discovery until they time out and
    /// are repeated, which keeps it too busy to serve any. The drawback: a gateway that restarts alone waits as well.
    fn poll_spread(&self) -> Micros {
        let calls = u64::from(self.settings.gateway_count.saturating_sub(CONCURRENT_CALLS));
        (calls * DISCOVERY_CALL).min(self.settings.max_poll_interval / 2)
    }

    fn drop_unlisted(&mut self, now: Micros, entries: &[Server]) {
        let binds = !self.settings.keep_gone_servers;
        let named: BTreeSet<&Id> = entries.iter().map(|entry| &entry.id).collect();
        for upstream in self.servers.iter_mut().filter(|upstream| !named.contains(&upstream.id)) {
            drop_server(upstream, now, binds);
        }
    }

    /// The index of a server in `servers`; a new one reuses the slot of a removed one.
    fn slot_of_server(&mut self, now: Micros, id: &Id) -> usize {
        if let Some(known) = self.server_slots.get(id) {
            return *known;
        }
        let slot = self.free_slots.pop().unwrap_or(self.servers.len());
        if slot == self.servers.len() {
            self.servers.push(Upstream::default());
        }
        self.server_slots.insert(id.clone(), slot);
        // Where probes are allowed, a new server has to answer one first.
        let proven = !self.settings.probes || !self.list_received;
        let life = self.servers[slot].incarnation;
        let (hash, id) = (hash(id), id.clone());
        self.servers[slot] = Upstream {
            hash,
            id,
            incarnation: life,
            proven,
            decayed_at: now,
            last_response: now,
            ..Upstream::default()
        };
        slot
    }

    fn update_server(&mut self, now: Micros, server: usize, entry: &Server) {
        let (binds, probes) = (!self.settings.keep_gone_servers, self.settings.probes);
        let listed = self.list_received;
        let upstream = &mut self.servers[server];
        (upstream.zone, upstream.kind, upstream.cell) = (entry.zone, entry.kind, entry.cell);
        upstream.size = if entry.weight.is_finite() && entry.weight > 0.0 { entry.weight } else { 1.0 };
        // The server has restarted if its start time is later, or, where the list has none, if it is new or returns after the
        // first list. An outdated or wrong list does not count as a restart.
        let fresh = match entry.started {
            Some(started) => upstream.started_at.is_none_or(|last| started > last),
            None => listed && upstream.state == ServerState::Gone && entry.state == ServerState::Ready,
        };
        if fresh {
            upstream.started_at = Some(entry.started.unwrap_or(now));
            upstream.incarnation += 1;
            (upstream.observed_work, upstream.observed_time, upstream.lost_work, upstream.answered_work) =
                (0.0, 0.0, 0.0, 0.0);
            upstream.failure_shares.clear();
            upstream.consecutive_errors.clear();
            self.zone_health.remove(&upstream.zone);
        }
        if entry.state == ServerState::Gone {
            return drop_server(upstream, now, binds);
        }
        // A draining server that is listed as ready again may come from an outdated list.
        if upstream.state == ServerState::Draining && entry.state == ServerState::Ready && !fresh {
            (upstream.proven, upstream.answered) = (!probes, false);
        }
        (upstream.state, upstream.dropped_since) = (entry.state, None);
    }

    /// Removes servers that are gone once no request can refer to them, and frees their slots.
    fn forget_gone_servers(&mut self, now: Micros) {
        let longest = self.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
        for (slot, upstream) in self.servers.iter_mut().enumerate() {
            if upstream
                .dropped_since
                .is_some_and(|at| now > at.max(upstream.last_response).saturating_add(FORGET_AFTER))
            {
                upstream.state = ServerState::Gone;
            }
            let is_unused = upstream.in_flight == 0 && now > upstream.last_sent.saturating_add(2 * longest);
            if upstream.state == ServerState::Gone
                && is_unused
                && self.server_slots.remove(&upstream.id).is_some()
            {
                *upstream = Upstream { incarnation: upstream.incarnation + 1, ..Upstream::default() };
                self.free_slots.push(slot);
            }
        }
    }

    /// Sorts the servers into ready ones, unproven ones, and those eligible for each class.
    ///
    /// A list can name servers that do not exist or call running ones gone. So a server that never answered, or was dropped
    /// without draining, and then fails to answer counts neither as capacity nor as a home of a key until it answers a probe, or
    /// one of the requests sent to it at growing intervals. This also covers an outdated list after a restart and new servers
    /// that are not up yet. The drawback: a server whose table is full at the first attempt waits a little for the second.
    pub(crate) fn classify_servers(&mut self) {
        let proven =
            |s: &usize| (self.servers[*s].state == ServerState::Ready).then_some(self.servers[*s].proven);
        self.ready = (0..self.servers.len()).filter(|s| proven(s) == Some(true)).collect();
        self.unproven = (0..self.servers.len()).filter(|s| proven(s) == Some(false)).collect();
        self.update_relative_sizes();
        self.zone_sizes.clear();
        self.ready.iter().for_each(|s| *self.zone_sizes.entry(self.servers[*s].zone).or_default() += 1);
        // A class's zones and machine types bind every attempt: selection considers only its eligible servers.
        for (open, class) in self.eligible.iter_mut().zip(&self.settings.classes) {
            let fits = |s: &usize| class.open_to(self.servers[*s].zone, self.servers[*s].kind);
            *open = self.ready.iter().copied().filter(fits).collect();
            let tried =
                |s: &usize| !self.settings.probes || self.servers[*s].failed_trials >= PROBES_BEFORE_REQUESTS;
            let all = open.is_empty();
            open.extend(self.unproven.iter().copied().filter(|s| fits(s) && (all || tried(s))));
            open.sort_unstable();
        }
    }
}

/// Handles a server that is reported as gone or missing from the list. Unless that binds, the server stays in use and only
/// the time is recorded.
fn drop_server(upstream: &mut Upstream, now: Micros, binds: bool) {
    if binds {
        upstream.state = ServerState::Gone;
    } else if upstream.state != ServerState::Gone {
        upstream.dropped_since = upstream.dropped_since.or(Some(now));
    }
}
