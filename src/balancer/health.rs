//! Health of servers and zones: which are taken to answer, and how often those that do not are tried.

use crate::api::Micros;
use crate::state::Balancer;

/// A server or zone that does not answer is tried again after this, then later.
pub(crate) const TRIAL_INTERVAL: Micros = 500_000;
/// How often that interval doubles for a server, and for a zone.
const MAX_SERVER_DOUBLINGS: u32 = 4;
const MAX_ZONE_DOUBLINGS: u32 = 3;
/// A zone of so many servers of which none has answered through so many failures in a row is suspect.
const LARGE_ZONE_SERVERS: usize = 8;
const SILENT_FAILURES: u32 = 3;

impl Balancer {
    /// Notes whether a server answered: one that never did, or was dropped from the list, counts only while it does.
    pub(crate) fn record_health(&mut self, now: Micros, server: usize, answered: bool) {
        let upstream = &mut self.servers[server];
        let was = upstream.proven;
        if answered {
            (upstream.proven, upstream.answered, upstream.failed_trials) = (true, true, 0);
        } else if upstream.dropped_since.is_some() || !upstream.answered {
            upstream.proven = false;
            upstream.next_trial = now + (TRIAL_INTERVAL << upstream.failed_trials.min(MAX_SERVER_DOUBLINGS));
            upstream.failed_trials += 1;
        }
        if was != self.servers[server].proven {
            self.classify_servers();
        }
        self.refresh_summary(server, now);
    }

    /// A large zone from which nothing was received through so many failures.
    fn is_silent(&self, zone: u32) -> bool {
        let large = self.zone_sizes.get(&zone).is_some_and(|servers| *servers >= LARGE_ZONE_SERVERS);
        large && self.zone_health.get(&zone).is_some_and(|z| z.failures >= SILENT_FAILURES)
    }

    /// Guards against a lost zone that each gateway finds out server by server, by requests that may have run: while another
    /// zone is left, it gets one request at growing intervals until it answers. Harm: a zone of which only a few servers
    /// fail, and that is sent nothing else, is left alone for a moment.
    pub(super) fn is_suspect(&self, zone: u32) -> bool {
        self.is_silent(zone) && !self.zone_sizes.keys().all(|z| self.is_silent(*z))
    }

    /// Notes how an attempt in a zone ended; true where that makes it silent.
    pub(super) fn record_zone_answer(&mut self, zone: u32, answered: bool) -> bool {
        let silent = &mut self.zone_health.entry(zone).or_default().failures;
        *silent = if answered { 0 } else { silent.saturating_add(1) };
        *silent == SILENT_FAILURES && self.is_silent(zone)
    }

    /// An attempt is sent to a zone: if that is silent, the next one has to wait.
    pub(super) fn postpone_zone_trial(&mut self, now: Micros, zone: u32) {
        if let Some(zone) = self.zone_health.get_mut(&zone).filter(|zone| zone.failures >= SILENT_FAILURES) {
            zone.next_trial =
                now + (TRIAL_INTERVAL << (zone.failures - SILENT_FAILURES).min(MAX_ZONE_DOUBLINGS));
        }
    }
}
