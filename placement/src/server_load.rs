//! The Load of a server, which is the quantity that LARD balances: the estimated milliseconds until a new request there would
//! get its first token.
//!
//! It is computed from the work that this node has in flight there, the work that other balancers report
//! ([`crate::peer_loads`]), and an estimate for the balancers that do not report. The estimate is the recent mean of this
//! node's own work, shrunk towards the mean over the fleet the more, the fewer requests it is based on. If no peer reports,
//! the load that the server states in its responses (`X-Server-Load`) replaces that estimate, with a weight that declines
//! with its age.

use crate::outcome::ServerLoadReport;
use crate::peer_loads::PeerLoads;
use crate::time::{Micros, from_ms, to_ms};
use crate::workload::Workload;

/// Prompt tokens that a server of standard speed prefills in a millisecond (deployment pages, "Engines").
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 38.0;
/// Duration of a decode step in milliseconds, and what each running request adds to it (deployment pages, "Engines").
pub(crate) const DECODE_STEP_MS: f64 = 5.5;
const DECODE_STEP_PER_REQUEST_MS: f64 = 0.012;
/// The age from which on a load report no longer counts.
const LOAD_REPORT_LIFETIME: Micros = 1_000_000;
/// Time constant of the recent means, in microseconds.
const MEAN_TIME_CONSTANT_US: f64 = 4e6;
/// Time constant of the observations of a server's speed, in microseconds.
const SLOWNESS_TIME_CONSTANT_US: f64 = 15e6;
/// The weight of the mean over the fleet beside a server's own mean, in requests.
const FLEET_MEAN_WEIGHT: f64 = 8.0;
/// The weight of the prior assumption of standard speed beside the observations of a server, in milliseconds of prefill.
const SLOWNESS_PRIOR_MS: f64 = 300.0;
/// The range that the estimated slowness is clamped to.
const SLOWNESS_RANGE: [f64; 2] = [0.5, 4.0];
/// An observed prefill time is capped at this many times its prediction at standard speed.
const MAX_OBSERVED_FACTOR: f64 = 4.0;
/// The part of each observed time to the first event that the network takes, in milliseconds.
const NETWORK_MS: f64 = 2.0;
/// The upper bound of the share of time in which a server is assumed to prefill.
const MAX_PREFILL_SHARE: f64 = 0.8;
/// A server with at least this backlog, in milliseconds, is assumed to prefill at this time; with less, in proportion.
const PREFILLING_BACKLOG_MS: f64 = 20.0;
/// Only predictions of at least this many milliseconds are used to learn a server's speed.
const MIN_PREDICTION_MS: f64 = 15.0;

/// Means over the servers and requests of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceAverages {
    /// The number of other balancers.
    pub(crate) other_balancers: f64,
    /// The number of them that report their load in flight.
    pub(crate) reporting_peers: f64,
    /// The mean of this node's own work per server.
    pub(crate) own_work: Workload,
    /// The prefill time of a request in milliseconds.
    pub(crate) prefill_ms: f64,
    /// How long a request occupies a slot, in milliseconds.
    pub(crate) occupancy_ms: f64,
    /// Tokens of a request.
    pub(crate) tokens: f64,
}

/// The factors by which moving averages keep their old value over a span of time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Decay {
    mean: f64,
    slowness: f64,
}

impl Decay {
    pub(crate) fn over(span: Micros) -> Decay {
        let factor = |time_constant: f64| (-(span as f64) / time_constant).exp();
        Decay { mean: factor(MEAN_TIME_CONSTANT_US), slowness: factor(SLOWNESS_TIME_CONSTANT_US) }
    }
}

/// The load that a server reported, without this node's own requests.
#[derive(Clone, Copy, Debug)]
struct OthersReport {
    at: Micros,
    running: f64,
    waiting: f64,
}

/// The work that a request adds to a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestWork {
    /// Prefill of what is not cached, in milliseconds at this server.
    pub(crate) prefill_ms: f64,
    /// Tokens of prompt and response.
    pub(crate) tokens: u64,
}

/// The state behind the Load of one server.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerLoad {
    /// This node's own requests there.
    pub(crate) in_flight: u32,
    /// Those of them without a first event.
    waiting: u32,
    /// Their tokens.
    tokens: u64,
    /// When the server is expected to have completed the prefills of all own requests.
    backlog_until: Micros,
    /// When all waiting own requests are expected to have had their first event.
    first_event_expected_by: Micros,
    mean_own_work: Workload,
    /// The number of own requests that the mean is based on, decayed.
    mean_weight: f64,
    others_report: Option<OthersReport>,
    /// Observed and predicted prefill, decayed; their ratio is the slowness.
    observed_ms: f64,
    predicted_ms: f64,
    /// The recent share of time in which the server prefilled.
    pub(crate) prefill_share: f64,
    /// The load that other balancers report.
    pub(crate) peers: PeerLoads,
}

/// An estimate of the work at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LoadEstimate {
    /// Load in milliseconds.
    pub(crate) load_ms: f64,
    /// Requests of all balancers.
    pub(crate) running: f64,
    /// The share by which a decode step takes longer because of prefills.
    pub(crate) decode_slowdown: f64,
    /// Tokens of the requests.
    pub(crate) tokens: f64,
}

impl ServerLoad {
    /// The factor by which this server takes longer than one of standard speed.
    pub(crate) fn slowness(&self) -> f64 {
        let [low, high] = SLOWNESS_RANGE;
        ((self.observed_ms + SLOWNESS_PRIOR_MS) / (self.predicted_ms + SLOWNESS_PRIOR_MS)).clamp(low, high)
    }

    /// Records that a request was sent there, whose first event is expected after this many milliseconds.
    pub(crate) fn record_sent(&mut self, now: Micros, work: RequestWork, expected_ms: f64) {
        self.in_flight += 1;
        self.waiting += 1;
        self.tokens += work.tokens;
        self.mean_weight += 1.0;
        self.backlog_until = self.backlog_until.max(now) + from_ms(work.prefill_ms);
        self.first_event_expected_by = self.first_event_expected_by.max(now + from_ms(expected_ms));
    }

    /// Records that the prefill of a request is complete, or was abandoned if `complete` is false.
    pub(crate) fn record_prefill_end(&mut self, now: Micros, work: RequestWork, complete: bool) {
        self.waiting = self.waiting.saturating_sub(1);
        if self.waiting == 0 {
            self.backlog_until = now;
            self.first_event_expected_by = now;
        } else if !complete {
            self.backlog_until = self.backlog_until.saturating_sub(from_ms(work.prefill_ms)).max(now);
        }
    }

    /// Records the end of a request.
    pub(crate) fn record_end(&mut self, work: RequestWork) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(work.tokens);
    }

    /// Learns the server's speed from the time to a first event and its prediction, if nothing else delayed the event.
    pub(crate) fn learn_slowness(&mut self, observed_ms: f64, predicted_ms: f64) {
        if predicted_ms < MIN_PREDICTION_MS {
            return;
        }
        let standard_ms = predicted_ms / self.slowness();
        self.observed_ms += (observed_ms - NETWORK_MS).clamp(0.0, MAX_OBSERVED_FACTOR * standard_ms);
        self.predicted_ms += standard_ms;
    }

    /// Records the load that the server reported for this time.
    pub(crate) fn record_report(&mut self, at: Micros, report: ServerLoadReport) {
        if self.others_report.is_some_and(|last| at < last.at) {
            return;
        }
        let waiting = f64::from(report.waiting.saturating_sub(self.waiting));
        let all = f64::from(report.running) + f64::from(report.waiting);
        let running = (all - f64::from(self.in_flight)).max(waiting);
        self.others_report = Some(OthersReport { at, running, waiting });
    }

    /// This node's own work there.
    pub(crate) fn own_work(&self, now: Micros) -> Workload {
        let backlog_ms = if self.waiting > 0 { to_ms(self.backlog_until.saturating_sub(now)) } else { 0.0 };
        Workload { backlog_ms, running: f64::from(self.in_flight), tokens: self.tokens as f64 }
    }

    /// Updates the recent means, and returns the mean of this node's own work.
    pub(crate) fn update_means(&mut self, now: Micros, decay: Decay) -> Workload {
        let own = self.own_work(now);
        self.mean_own_work = self.mean_own_work.combine(own, |mean, now| now + (mean - now) * decay.mean);
        self.mean_weight *= decay.mean;
        let backlog_ms = own.backlog_ms + self.peers.sum(now).backlog_ms;
        let prefilling = backlog_ms.min(PREFILLING_BACKLOG_MS) / PREFILLING_BACKLOG_MS;
        self.prefill_share = prefilling + (self.prefill_share - prefilling) * decay.mean;
        self.observed_ms *= decay.slowness;
        self.predicted_ms *= decay.slowness;
        self.mean_own_work
    }

    /// The estimated work of the other balancers there.
    fn others_work(&self, now: Micros, averages: &ServiceAverages) -> Workload {
        let shrunk = |own: f64, fleet: f64| {
            (own * self.mean_weight + fleet * FLEET_MEAN_WEIGHT) / (self.mean_weight + FLEET_MEAN_WEIGHT)
        };
        let not_reporting = (averages.other_balancers - averages.reporting_peers).max(0.0);
        let expected = self.mean_own_work.combine(averages.own_work, shrunk).times(not_reporting);
        if averages.reporting_peers > 0.0 {
            return self.peers.sum(now).plus(expected);
        }
        let Some(report) = self.others_report else { return expected };
        let age = now.saturating_sub(report.at) as f64;
        let freshness = (1.0 - age / LOAD_REPORT_LIFETIME as f64).max(0.0);
        let reported = Workload {
            backlog_ms: report.waiting * averages.prefill_ms,
            running: report.running,
            tokens: report.running * averages.tokens,
        };
        reported.times(freshness).plus(expected.times(1.0 - freshness))
    }

    /// Estimates the work and the Load of a server with this many slots.
    pub(crate) fn estimate(&self, now: Micros, slots: u32, averages: &ServiceAverages) -> LoadEstimate {
        let own = self.own_work(now);
        let others = self.others_work(now, averages);
        let slowness = self.slowness();
        let overdue =
            if self.waiting > 0 { to_ms(now.saturating_sub(self.first_event_expected_by)) } else { 0.0 };
        let running = own.running + others.running;
        let step = (DECODE_STEP_MS + DECODE_STEP_PER_REQUEST_MS * running) * slowness;
        let slots = f64::from(slots.max(1));
        let queue =
            if running >= slots { (running - slots + 1.0) * averages.occupancy_ms / slots } else { 0.0 };
        let load_ms = own.backlog_ms + others.backlog_ms * slowness + overdue + step + queue;
        let prefill_share = self.prefill_share.min(MAX_PREFILL_SHARE);
        let decode_slowdown = prefill_share / (1.0 - prefill_share);
        LoadEstimate { load_ms, running, decode_slowdown, tokens: own.tokens + others.tokens }
    }
}
