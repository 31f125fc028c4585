//! Health of servers and zones: which are expected to answer, and how often those that do not are tried again.

use crate::api::Micros;
use crate::state::Balancer;

/// A server or zone that does not answer is tried again after this interval, which doubles with each failure.
pub(crate) const TRIAL_INTERVAL: Micros = 500_000;
/// The most times that the interval doubles, for a server and for a zone.
const MAX_SERVER_DOUBLINGS: u32 = 4;
const MAX_ZONE_DOUBLINGS: u32 = 3;
/// A zone with at least this many servers is suspect after this many consecutive failures without any answer.
const LARGE_ZONE_SERVERS: usize = 8;
const SILENT_FAILURES: u32 = 3;

impl Balancer {
    /// Records whether a server answered. One that never did, or that was dropped from the list, is used only while it
    /// answers.
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

    /// Whether this is a large zone whose last `SILENT_FAILURES` attempts or more all got no answer.
    fn is_silent(&self, zone: u32) -> bool {
        let large = self.zone_sizes.get(&zone).is_some_and(|servers| *servers >= LARGE_ZONE_SERVERS);
        large && self.zone_health.get(&zone).is_some_and(|z| z.failures >= SILENT_FAILURES)
    }

    /// Whether a zone is taken to be lost. While another zone is left, such a zone gets one request at growing intervals until
    /// it answers. Otherwise each gateway would detect a lost zone server by server, at the cost of requests that may have been
    /// executed. The drawback: a zone in which a few servers fail, and that gets no other requests, is avoided for a moment.
    pub(super) fn is_suspect(&self, zone: u32) -> bool {
        self.is_silent(zone) && !self.zone_sizes.keys().all(|z| self.is_silent(*z))
    }

    /// Records whether an attempt in a zone was answered; returns true if the zone becomes silent by it.
    pub(super) fn record_zone_answer(&mut self, zone: u32, answered: bool) -> bool {
        let silent = &mut self.zone_health.entry(zone).or_default().failures;
        *silent = if answered { 0 } else { silent.saturating_add(1) };
        *silent == SILENT_FAILURES && self.is_silent(zone)
    }

    /// Delays the next trial of a silent zone, as an attempt is sent there now.
    pub(super) fn postpone_zone_trial(&mut self, now: Micros, zone: u32) {
        if let Some(zone) = self.zone_health.get_mut(&zone).filter(|zone| zone.failures >= SILENT_FAILURES) {
            zone.next_trial =
                now + (TRIAL_INTERVAL << (zone.failures - SILENT_FAILURES).min(MAX_ZONE_DOUBLINGS));
        }
    }
}
