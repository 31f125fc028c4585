//! How long an idle connection can be trusted, learned from the requests that were written to such. No I/O.
//!
//! App servers close connections that stood idle for the time in the settings. Where something between closes them
//! sooner, without a word, a request written to one is lost and may have run. What counts is how much likelier that
//! is than on a connection that was just made: resets for other causes say nothing of idle time.

use std::cell::RefCell;
use std::time::Duration;

use tokio::time::Instant;

/// The shortest idle time that is told apart; the next ones double it.
const LEAST: Duration = Duration::from_millis(50);
/// Up to 51 s.
const SPANS: usize = 12;
/// Half-life of what is known, in seconds: what was given up is tried again.
const HALF_LIFE: f64 = 20.0;
/// Fewer losses prove nothing.
const FEWEST: f64 = 2.0;
/// A connection is made anew where an old one is lost this much oftener: a handshake costs an app server about as
/// much of a request's work.
const BEYOND: f64 = 0.1;

/// Requests that were answered, and lost, by how long their connection had been idle; the first on new ones.
pub struct IdleReuse(RefCell<Seen>);

struct Seen {
    by_span: [[f64; 2]; SPANS],
    at: Instant,
}

impl IdleReuse {
    /// Nothing is known.
    pub fn new(now: Instant) -> Self {
        IdleReuse(RefCell::new(Seen { by_span: Default::default(), at: now }))
    }

    /// Takes in how a request ended on a connection that had been idle for so long; none: on a new one.
    pub fn record(&self, now: Instant, idle: Option<Duration>, lost: bool) {
        let mut seen = self.0.borrow_mut();
        let kept = (-now.saturating_duration_since(seen.at).as_secs_f64() / HALF_LIFE).exp2();
        seen.at = now;
        seen.by_span.as_flattened_mut().iter_mut().for_each(|sum| *sum *= kept);
        seen.by_span[idle.map_or(0, span)][usize::from(lost)] += 1.0;
    }

    /// Connections idle for this long or longer are not to be used again, as far as is known now.
    pub fn max_idle(&self, now: Instant) -> Duration {
        let seen = self.0.borrow();
        let kept = (-now.saturating_duration_since(seen.at).as_secs_f64() / HALF_LIFE).exp2();
        let share = |[ok, lost]: [f64; 2]| lost / (ok + lost).max(1.0);
        let usual = share(seen.by_span[0]);
        let dead = |sums: &[f64; 2]| sums[1] * kept >= FEWEST && share(*sums) > usual + BEYOND;
        let first = seen.by_span[1..].iter().position(dead);
        first.map_or(Duration::MAX, |at| if at == 0 { Duration::ZERO } else { LEAST * (1 << (at - 1)) })
    }
}

/// The place of an idle time: 1 below the least, then one more for each doubling.
fn span(idle: Duration) -> usize {
    let times = (idle.as_micros() / LEAST.as_micros()) as u64;
    times.checked_ilog2().map_or(1, |log| log as usize + 2).min(SPANS - 1)
}

#[cfg(test)]
mod tests;
