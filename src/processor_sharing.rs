//! Whether servers work on their requests one after the other or on all at once, measured by their answers.
//! Nothing here chooses a server, a repeat or a refusal.
//!
//! One after the other, a request waits for all the work ahead of it. All at once (processor sharing), it waits
//! for as much of each other request as it brings itself: a light one passes a heavy one by. So light requests
//! behind much work tell the two apart: all at once, they come back much sooner than that work could be done at
//! the pace of the requests that wait alike by either rule.

/// How much of the sums stays at each new answer.
const SUM_RETENTION: f64 = 1.0 - 1.0 / 128.0;
/// Answers of each sort that must be in the sums before a verdict.
const MIN_ANSWERS: f64 = 16.0;
/// Light requests that seem to be served this many times as fast as others have passed those ahead of them by;
/// with less than the second, they have not.
const SPEED_RATIOS: [f64; 2] = [1.4, 1.0];
/// Where requests share, one waits for this many times its own work at each other request, as far as that has
/// as much: more come while it is served, and each of those shares too.
const SHARED_WORK_FACTOR: f64 = 1.3;

/// Sums over answers: work done for them and ahead of them, time, and how many.
type Sums = [f64; 3];

/// What is known of how servers share.
#[derive(Clone, Debug, Default)]
pub struct ProcessorSharing {
    /// Requests are worked on all at once.
    pub shares: bool,
    /// Of those that would wait less if requests share, and of those that wait alike by either rule.
    light: Sums,
    unaffected: Sums,
}

impl ProcessorSharing {
    /// What a request with this work waits for, behind so many requests with so much work in all.
    pub fn ahead(&self, all: f64, count: f64, work: f64) -> f64 {
        if self.shares { shared_work_ahead(all, count, work) } else { all }
    }

    /// Takes in an answer: the work and the requests ahead of it, its own work, and the time it took.
    pub fn learn(&mut self, all: f64, count: f64, work: f64, time: f64) {
        let (queued, shared) = (all + work, shared_work_ahead(all, count, work) + work);
        let sums = if queued > SPEED_RATIOS[0] * shared { &mut self.light } else { &mut self.unaffected };
        *sums = [sums[0] + queued, sums[1] + time.max(0.0), sums[2] + 1.0].map(|sum| sum * SUM_RETENTION);
        if self.light[2] < MIN_ANSWERS || self.unaffected[2] < MIN_ANSWERS {
            return;
        }
        let rate = |sums: &Sums| sums[0] / sums[1].max(1.0);
        let faster = rate(&self.light) / rate(&self.unaffected);
        self.shares = faster > SPEED_RATIOS[usize::from(self.shares)];
    }
}

fn shared_work_ahead(all: f64, count: f64, work: f64) -> f64 {
    all.min(SHARED_WORK_FACTOR * count * work)
}

#[cfg(test)]
mod tests;
