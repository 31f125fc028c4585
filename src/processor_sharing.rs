//! Detects from answer times whether servers process requests one after the other or concurrently. Has no part in
//! selection, retries or admission.
//!
//! With sequential processing, a request waits for all the work ahead of it. With processor sharing, it waits for at
//! most as much of each other request as it brings itself, so a light request overtakes a heavy one. Light requests
//! behind much work therefore tell the two apart: with processor sharing, they are answered much sooner than that work
//! could be done at the rate measured on requests whose wait is the same under both.

/// The share of the sums that is kept at each new answer.
const SUM_RETENTION: f64 = 1.0 - 1.0 / 128.0;
/// The number of answers of each group that the sums need before a decision.
const MIN_ANSWERS: f64 = 16.0;
/// If light requests seem to be served faster than others by more than the first ratio, servers share; once they do, that
/// holds until the ratio falls to the second.
const SPEED_RATIOS: [f64; 2] = [1.4, 1.0];
/// With processor sharing, a request waits for this many times its own work per other request, up to the work that is
/// there: more requests arrive while it is served, and each of them takes a share too.
const SHARED_WORK_FACTOR: f64 = 1.3;

/// Decaying sums over answers: work done for and ahead of them, time, and their number.
type Sums = [f64; 3];

/// The evidence for processor sharing.
#[derive(Clone, Debug, Default)]
pub struct ProcessorSharing {
    /// Whether servers process requests concurrently.
    pub shares: bool,
    /// Sums of requests that would wait less with processor sharing, and of those that wait alike either way.
    light: Sums,
    unaffected: Sums,
}

impl ProcessorSharing {
    /// The work that a request with `work` waits for, behind `count` requests with `all` work in total.
    pub fn ahead(&self, all: f64, count: f64, work: f64) -> f64 {
        if self.shares { shared_work_ahead(all, count, work) } else { all }
    }

    /// Records an answer: the work and the number of requests ahead of it, its own work, and the time it took.
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
