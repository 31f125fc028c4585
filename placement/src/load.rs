//! Load of a server: the estimated milliseconds until a new request there would get its first token.
//!
//! Base is what this node has in flight, times the number of balancers: its own work counts as it is, the others' as
//! the recent mean of its own, drawn towards the fleet's mean as far as there were few requests to tell from. Where
//! an answer told the server's own figures, those count for the others' part, less as they age. Balancers that tell what
//! they have in flight ([`crate::sharing`]) count by that.

use crate::api::{Micros, ServerLoadReport};
use crate::sharing::PeerLoads;

/// Prompt tokens that a server of usual speed reads in a millisecond.
pub(crate) const READ_TOKENS_PER_MS: f64 = 38.0;
/// A decoding step in milliseconds, and what each running request adds to it.
pub(crate) const STEP_MS: f64 = 5.5;
const STEP_EACH_MS: f64 = 0.012;
/// How long a report counts.
const REPORT_AGE: Micros = 1_000_000;
/// Time constant of the recent means.
const RECENT_US: f64 = 4e6;
/// Time constant of what is known of a server's speed.
const SPEED_US: f64 = 15e6;
/// Requests that the fleet's mean counts for, beside a server's own.
const EVIDENCE: f64 = 8.0;
/// Milliseconds of usual speed that stand beside what was observed of a server.
const SPEED_PRIOR_MS: f64 = 300.0;
/// The range of speeds that is believed, and of one observation beside its prediction.
const SPEEDS: [f64; 2] = [0.5, 4.0];
const OBSERVED_MOST: f64 = 4.0;
/// What an answer's way takes in milliseconds, whatever the server does.
const WAY_MS: f64 = 2.0;
/// A server is never taken to read for more than this share of its time.
const BUSY_MOST: f64 = 0.8;
/// A server with so much to read, in milliseconds, reads at this moment.
const READING_MS: f64 = 20.0;
/// Only predictions of at least this many milliseconds tell of a speed.
const TELLING_MS: f64 = 15.0;

pub(crate) fn ms(span: Micros) -> f64 {
    span as f64 / 1e3
}

pub(crate) fn micros(ms: f64) -> Micros {
    (ms.max(0.0) * 1e3) as Micros
}

/// A recent mean of one node's own work at a server, or its mean over the servers of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Workload {
    pub(crate) backlog_ms: f64,
    pub(crate) running: f64,
    pub(crate) tokens: f64,
}

impl Workload {
    fn map(self, other: Workload, f: impl Fn(f64, f64) -> f64) -> Workload {
        Workload {
            backlog_ms: f(self.backlog_ms, other.backlog_ms),
            running: f(self.running, other.running),
            tokens: f(self.tokens, other.tokens),
        }
    }

    pub(crate) fn add(self, other: Workload) -> Workload {
        self.map(other, |a, b| a + b)
    }

    pub(crate) fn times(self, factor: f64) -> Workload {
        self.map(self, |a, _| a * factor)
    }
}

/// What the servers of a service have in common.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceAverages {
    /// Other balancers, and those of them that tell what they have in flight.
    pub(crate) others: f64,
    pub(crate) told_by: f64,
    /// The mean of this node's own work per server.
    pub(crate) usual: Workload,
    /// What a request takes to read, and how long it stays, in milliseconds.
    pub(crate) read_ms: f64,
    pub(crate) hold_ms: f64,
    /// Tokens of a request.
    pub(crate) tokens: f64,
}

/// How the recent means move in one tick.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Decay {
    recent: f64,
    speed: f64,
}

impl Decay {
    pub(crate) fn over(span: Micros) -> Decay {
        let keep = |constant: f64| (-(span as f64) / constant).exp();
        Decay { recent: keep(RECENT_US), speed: keep(SPEED_US) }
    }
}

#[derive(Clone, Copy, Debug)]
struct Report {
    at: Micros,
    running: f64,
    waiting: f64,
}

/// What a request adds to a server's work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestWork {
    /// Reading what is not kept, in milliseconds at this server.
    pub(crate) read_ms: f64,
    /// Tokens of prompt and answer.
    pub(crate) tokens: u64,
}

/// The state behind one server's Load.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerLoad {
    /// Own requests there, and those of them without a first event.
    pub(crate) in_flight: u32,
    waiting: u32,
    tokens: u64,
    /// When the server would have read all own prompts, and the last first event that is expected.
    backlog_until: Micros,
    expected_by: Micros,
    usual: Workload,
    weight: f64,
    report: Option<Report>,
    observed_ms: f64,
    predicted_ms: f64,
    /// The recent share of time in which prompts were read there.
    pub(crate) busy: f64,
    /// What other balancers tell.
    pub(crate) told: PeerLoads,
}

/// The estimate for one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct LoadEstimate {
    /// Load.
    pub(crate) load_ms: f64,
    /// Requests there, of all balancers.
    pub(crate) running: f64,
    /// How much longer a token takes there for the prompts that are read, as a share.
    pub(crate) slowed: f64,
    /// Their tokens.
    pub(crate) tokens: f64,
}

impl ServerLoad {
    /// How much longer this server takes than one of usual speed.
    pub(crate) fn speed(&self) -> f64 {
        let [low, high] = SPEEDS;
        ((self.observed_ms + SPEED_PRIOR_MS) / (self.predicted_ms + SPEED_PRIOR_MS)).clamp(low, high)
    }

    pub(crate) fn sent(&mut self, now: Micros, work: RequestWork, expected_ms: f64) {
        self.in_flight += 1;
        self.waiting += 1;
        self.tokens += work.tokens;
        self.weight += 1.0;
        self.backlog_until = self.backlog_until.max(now) + micros(work.read_ms);
        self.expected_by = self.expected_by.max(now + micros(expected_ms));
    }

    /// A prompt is read, or no longer needs to be.
    pub(crate) fn read(&mut self, now: Micros, work: RequestWork, whole: bool) {
        self.waiting = self.waiting.saturating_sub(1);
        if self.waiting == 0 {
            (self.backlog_until, self.expected_by) = (now, now);
        } else if !whole {
            self.backlog_until = self.backlog_until.saturating_sub(micros(work.read_ms)).max(now);
        }
    }

    pub(crate) fn ended(&mut self, work: RequestWork) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(work.tokens);
    }

    /// Compares what one first event took with what was predicted, where nothing stood before it.
    pub(crate) fn learn_speed(&mut self, observed_ms: f64, predicted_ms: f64) {
        if predicted_ms < TELLING_MS {
            return;
        }
        let usual = predicted_ms / self.speed();
        self.observed_ms += (observed_ms - WAY_MS).clamp(0.0, OBSERVED_MOST * usual);
        self.predicted_ms += usual;
    }

    pub(crate) fn report(&mut self, at: Micros, report: ServerLoadReport) {
        if self.report.is_none_or(|last| at >= last.at) {
            let waiting = f64::from(report.waiting.saturating_sub(self.waiting));
            let all = f64::from(report.running) + f64::from(report.waiting);
            let running = (all - f64::from(self.in_flight)).max(waiting);
            self.report = Some(Report { at, running, waiting });
        }
    }

    pub(crate) fn own(&self, now: Micros) -> Workload {
        let backlog_ms = if self.waiting > 0 { ms(self.backlog_until.saturating_sub(now)) } else { 0.0 };
        Workload { backlog_ms, running: f64::from(self.in_flight), tokens: self.tokens as f64 }
    }

    /// Moves the recent means on; what they are now.
    pub(crate) fn tick(&mut self, now: Micros, tick: Decay) -> Workload {
        let own = self.own(now);
        self.usual = self.usual.map(own, |mean, now| now + (mean - now) * tick.recent);
        self.weight *= tick.recent;
        let reading = (own.backlog_ms + self.told.sum(now).backlog_ms).min(READING_MS) / READING_MS;
        self.busy = reading + (self.busy - reading) * tick.recent;
        self.observed_ms *= tick.speed;
        self.predicted_ms *= tick.speed;
        self.usual
    }

    /// What the other balancers have there.
    fn others(&self, now: Micros, common: &ServiceAverages) -> Workload {
        let drawn = |mine: f64, mean: f64| (mine * self.weight + mean * EVIDENCE) / (self.weight + EVIDENCE);
        let silent = (common.others - common.told_by).max(0.0);
        let expected = self.usual.map(common.usual, drawn).times(silent);
        if common.told_by > 0.0 {
            return self.told.sum(now).add(expected);
        }
        let Some(report) = self.report else { return expected };
        let fresh = (1.0 - now.saturating_sub(report.at) as f64 / REPORT_AGE as f64).max(0.0);
        let told = Workload {
            backlog_ms: report.waiting * common.read_ms,
            running: report.running,
            tokens: report.running * common.tokens,
        };
        told.times(fresh).add(expected.times(1.0 - fresh))
    }

    pub(crate) fn estimate(&self, now: Micros, slots: u32, common: &ServiceAverages) -> LoadEstimate {
        let (own, others, speed) = (self.own(now), self.others(now, common), self.speed());
        let overdue = if self.waiting > 0 { ms(now.saturating_sub(self.expected_by)) } else { 0.0 };
        let running = own.running + others.running;
        let step = (STEP_MS + STEP_EACH_MS * running) * speed;
        let slots = f64::from(slots.max(1));
        let queue = if running >= slots { (running - slots + 1.0) * common.hold_ms / slots } else { 0.0 };
        let load_ms = own.backlog_ms + others.backlog_ms * speed + overdue + step + queue;
        let slowed = self.busy.min(BUSY_MOST) / (1.0 - self.busy.min(BUSY_MOST));
        LoadEstimate { load_ms, running, slowed, tokens: own.tokens + others.tokens }
    }
}
