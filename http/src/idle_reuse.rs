//! How long an idle connection can be reused, learned from the requests that were written to such. No I/O.
//!
//! App servers close connections that were idle for the time in the settings. Where a middlebox closes them sooner,
//! without notice, a request written to one is lost and may have run. What counts is how much likelier that is than on a
//! connection that was just made: resets for other causes say nothing of idle time.

use std::cell::RefCell;
use std::time::Duration;

use tokio::time::Instant;

/// The upper end of the first span of idle times; each further span is twice as long.
const FIRST_SPAN: Duration = Duration::from_millis(50);
/// New connections, and spans up to 51 s.
const SPANS: usize = 12;
/// Half-life of what is known, in seconds: spans that were given up are tried again.
const HALF_LIFE_S: f64 = 20.0;
/// Fewer losses prove nothing.
const MIN_LOSSES: f64 = 2.0;
/// A connection is made anew where an old one is lost by this much more often, as a share of requests: a handshake costs
/// an app server about as much of a request's work.
const MAX_EXCESS_LOSS: f64 = 0.1;

/// Requests that were answered, and lost, by how long their connection had been idle.
pub struct IdleReuse(RefCell<Observations>);

struct Observations {
    /// By span, the first for new connections: requests that were answered, and that were lost; both decay.
    by_span: [[f64; 2]; SPANS],
    decayed_at: Instant,
}

impl Observations {
    /// What the sums are worth at this time.
    fn decay(&self, now: Instant) -> f64 {
        (-now.saturating_duration_since(self.decayed_at).as_secs_f64() / HALF_LIFE_S).exp2()
    }
}

impl IdleReuse {
    /// Nothing is known.
    pub fn new(now: Instant) -> Self {
        IdleReuse(RefCell::new(Observations { by_span: Default::default(), decayed_at: now }))
    }

    /// Records whether a request was lost on a connection that had been idle for so long, none for a new one.
    pub fn record(&self, now: Instant, idle: Option<Duration>, lost: bool) {
        let mut observations = self.0.borrow_mut();
        let decay = observations.decay(now);
        observations.decayed_at = now;
        observations.by_span.as_flattened_mut().iter_mut().for_each(|sum| *sum *= decay);
        observations.by_span[idle.map_or(0, span)][usize::from(lost)] += 1.0;
    }

    /// Connections idle for this long or longer are not to be reused, as far as is known now.
    pub fn max_idle(&self, now: Instant) -> Duration {
        let observations = self.0.borrow();
        let decay = observations.decay(now);
        let loss_rate = |[answered, lost]: [f64; 2]| lost / (answered + lost).max(1.0);
        let baseline = loss_rate(observations.by_span[0]);
        let unusable =
            |sums: &[f64; 2]| sums[1] * decay >= MIN_LOSSES && loss_rate(*sums) > baseline + MAX_EXCESS_LOSS;
        match observations.by_span[1..].iter().position(unusable) {
            None => Duration::MAX,
            Some(0) => Duration::ZERO,
            Some(span) => FIRST_SPAN * (1 << (span - 1)),
        }
    }
}

/// The index of an idle time's span: 1 within the first, then one more for each doubling.
fn span(idle: Duration) -> usize {
    let multiple = (idle.as_micros() / FIRST_SPAN.as_micros()) as u64;
    multiple.checked_ilog2().map_or(1, |log| log as usize + 2).min(SPANS - 1)
}

#[cfg(test)]
mod tests;
