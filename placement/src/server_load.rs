//! Load of a server, the quantity that LARD balances: the estimated milliseconds until a new request there would get its
//! first token.
//!
//! It starts from what this node has in flight there. Other balancers count by what they report
//! ([`crate::peer_loads`]); those that report nothing are estimated by the recent mean of this node's own work, drawn
//! towards the mean over the fleet as far as there were few requests to tell from. Where no peer reports, the figures of
//! the server's own answers (`X-Server-Load`) take the place of that estimate, less so as they age.

use crate::outcome::ServerLoadReport;
use crate::peer_loads::PeerLoads;
use crate::time::{Micros, from_ms, to_ms};
use crate::workload::Workload;

/// Prompt tokens that a server of standard speed prefills in a millisecond (deployment pages, "Engines").
pub(crate) const PREFILL_TOKENS_PER_MS: f64 = 38.0;
/// Duration of a decode step in milliseconds, and what each running request adds to it (deployment pages, "Engines").
pub(crate) const DECODE_STEP_MS: f64 = 5.5;
const DECODE_STEP_PER_REQUEST_MS: f64 = 0.012;
/// The age at which a load report counts no more.
const LOAD_REPORT_LIFETIME: Micros = 1_000_000;
/// Time constant of the recent means, in microseconds.
const MEAN_TIME_CONSTANT_US: f64 = 4e6;
/// Time constant of what was observed of a server's speed, in microseconds.
const SLOWNESS_TIME_CONSTANT_US: f64 = 15e6;
/// Requests that the mean over the fleet counts for beside a server's own.
const FLEET_MEAN_WEIGHT: f64 = 8.0;
/// Milliseconds at standard speed that count beside what was observed of a server.
const SLOWNESS_PRIOR_MS: f64 = 300.0;
/// The range of slowness that is believed.
const SLOWNESS_RANGE: [f64; 2] = [0.5, 4.0];
/// One observation counts up to this many times its prediction.
const MAX_OBSERVED_FACTOR: f64 = 4.0;
/// Network time of a response in milliseconds, whatever the server does.
const NETWORK_MS: f64 = 2.0;
/// A server is never taken to prefill for more than this share of its time.
const MAX_PREFILL_SHARE: f64 = 0.8;
/// A server with at least this backlog, in milliseconds, is taken to prefill at this moment.
const PREFILLING_BACKLOG_MS: f64 = 20.0;
/// Only predictions of at least this many milliseconds tell of a server's speed.
const MIN_PREDICTION_MS: f64 = 15.0;

/// Means over the servers and requests of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceAverages {
    /// Other balancers.
    pub(crate) other_balancers: f64,
    /// Those of them that report what they have in flight.
    pub(crate) reporting_peers: f64,
    /// The mean of this node's own work per server.
    pub(crate) own_work: Workload,
    /// Prefill of a request in milliseconds.
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
        let kept = |time_constant: f64| (-(span as f64) / time_constant).exp();
        Decay { mean: kept(MEAN_TIME_CONSTANT_US), slowness: kept(SLOWNESS_TIME_CONSTANT_US) }
    }
}

/// A server's own figures, without this node's part.
#[derive(Clone, Copy, Debug)]
struct OthersReport {
    at: Micros,
    running: f64,
    waiting: f64,
}

/// What a request adds to a server's work.
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
    /// When the server should be done with the prefill of all own requests.
    backlog_until: Micros,
    /// When the last first event of own requests is expected.
    first_event_expected_by: Micros,
    mean_own_work: Workload,
    /// Own requests behind that mean, decayed.
    mean_weight: f64,
    others_report: Option<OthersReport>,
    /// Observed and predicted prefill, decayed; their ratio is the slowness.
    observed_ms: f64,
    predicted_ms: f64,
    /// The recent share of time in which the server prefilled.
    pub(crate) prefill_share: f64,
    /// What other balancers report.
    pub(crate) peers: PeerLoads,
}

/// An estimate of the work at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LoadEstimate {
    /// Load in milliseconds.
    pub(crate) load_ms: f64,
    /// Requests of all balancers.
    pub(crate) running: f64,
    /// By which share a decode step takes longer because of prefills.
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

    /// A request was sent there, whose first event is expected in so many milliseconds.
    pub(crate) fn record_sent(&mut self, now: Micros, work: RequestWork, expected_ms: f64) {
        self.in_flight += 1;
        self.waiting += 1;
        self.tokens += work.tokens;
        self.mean_weight += 1.0;
        self.backlog_until = self.backlog_until.max(now) + from_ms(work.prefill_ms);
        self.first_event_expected_by = self.first_event_expected_by.max(now + from_ms(expected_ms));
    }

    /// The prefill of a request is complete, or will not be done any more.
    pub(crate) fn record_prefill_end(&mut self, now: Micros, work: RequestWork, complete: bool) {
        self.waiting = self.waiting.saturating_sub(1);
        if self.waiting == 0 {
            self.backlog_until = now;
            self.first_event_expected_by = now;
        } else if !complete {
            self.backlog_until = self.backlog_until.saturating_sub(from_ms(work.prefill_ms)).max(now);
        }
    }

    /// A request ended.
    pub(crate) fn record_end(&mut self, work: RequestWork) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(work.tokens);
    }

    /// Compares the time to a first event with its prediction, where nothing else delayed it.
    pub(crate) fn learn_slowness(&mut self, observed_ms: f64, predicted_ms: f64) {
        if predicted_ms < MIN_PREDICTION_MS {
            return;
        }
        let standard_ms = predicted_ms / self.slowness();
        self.observed_ms += (observed_ms - NETWORK_MS).clamp(0.0, MAX_OBSERVED_FACTOR * standard_ms);
        self.predicted_ms += standard_ms;
    }

    /// Takes in the server's own figures of this time.
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

    /// Moves the recent means on; the mean of this node's own work.
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

    /// The work of the other balancers there.
    fn others_work(&self, now: Micros, averages: &ServiceAverages) -> Workload {
        let drawn = |own: f64, fleet: f64| {
            (own * self.mean_weight + fleet * FLEET_MEAN_WEIGHT) / (self.mean_weight + FLEET_MEAN_WEIGHT)
        };
        let silent = (averages.other_balancers - averages.reporting_peers).max(0.0);
        let expected = self.mean_own_work.combine(averages.own_work, drawn).times(silent);
        if averages.reporting_peers > 0.0 {
            return self.peers.sum(now).plus(expected);
        }
        let Some(report) = self.others_report else { return expected };
        let age = now.saturating_sub(report.at) as f64;
        let fresh = (1.0 - age / LOAD_REPORT_LIFETIME as f64).max(0.0);
        let reported = Workload {
            backlog_ms: report.waiting * averages.prefill_ms,
            running: report.running,
            tokens: report.running * averages.tokens,
        };
        reported.times(fresh).plus(expected.times(1.0 - fresh))
    }

    /// The estimate for a server with so many slots.
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
