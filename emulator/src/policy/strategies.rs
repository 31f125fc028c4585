//! Selection strategies of the reference policies that use only what a real balancer can observe.

use std::hash::{DefaultHasher, Hash, Hasher};

use gradepaddle::{LoadReport, Micros, Outcome, ServerState};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::lifecycle::{Choice, Peer, Strategy};

pub struct Random;

impl Strategy for Random {
    fn pick(&mut self, choice: &mut Choice<'_>) -> Option<usize> {
        Some(choice.any())
    }
}

#[derive(Default)]
pub struct RoundRobin {
    last: Option<usize>,
}

impl Strategy for RoundRobin {
    fn pick(&mut self, choice: &mut Choice<'_>) -> Option<usize> {
        let next = match self.last {
            Some(last) => choice.open.iter().copied().find(|at| *at > last).unwrap_or(choice.open[0]),
            // A random start keeps the balancers from selecting the same app servers in lockstep.
            None => choice.any(),
        };
        self.last = Some(next);
        self.last
    }
}

pub struct LeastOutstanding;

impl Strategy for LeastOutstanding {
    fn pick(&mut self, choice: &mut Choice<'_>) -> Option<usize> {
        let least = choice.open.iter().map(|at| choice.peers[*at].outstanding).min().unwrap_or(0);
        let from = choice.any();
        // The first app server with the fewest, from a random start on, so that ties are spread.
        let fits = |at: &&usize| choice.peers[**at].outstanding == least;
        let after = choice.open.iter().filter(|at| **at >= from).find(fits);
        after.or_else(|| choice.open.iter().find(fits)).copied().or(Some(from))
    }
}

pub struct TwoChoices;

impl Strategy for TwoChoices {
    fn pick(&mut self, choice: &mut Choice<'_>) -> Option<usize> {
        let (one, two) = (choice.any(), choice.any());
        let second = choice.peers[two].outstanding < choice.peers[one].outstanding;
        Some(if second { two } else { one })
    }
}

/// Half-life of a response-time average without new samples, in microseconds.
const EWMA_HALF_LIFE_US: f64 = 10_000_000.0;
/// Assumed response time of an app server that has not answered yet, in microseconds.
const UNKNOWN_COST_US: f64 = 100_000.0;

#[derive(Default)]
pub struct PeakEwma {
    /// Average response time and the time of its last update, by app server.
    averages: Vec<(f64, Micros)>,
}

impl PeakEwma {
    fn cost(&self, now: Micros, peer: &Peer) -> f64 {
        let average = match self.averages.get(peer.number) {
            Some((average, at)) if *at > 0 => {
                average * (-(now.saturating_sub(*at) as f64) / EWMA_HALF_LIFE_US).exp2()
            }
            _ => UNKNOWN_COST_US,
        };
        average * f64::from(peer.outstanding + 1)
    }
}

impl Strategy for PeakEwma {
    fn pick(&mut self, choice: &mut Choice<'_>) -> Option<usize> {
        let (one, two) = (choice.any(), choice.any());
        let cost = |at: usize| self.cost(choice.now, &choice.peers[at]);
        Some(if cost(two) < cost(one) { two } else { one })
    }

    fn on_attempt_end(&mut self, now: Micros, peer: usize, outcome: Outcome, took: Micros) {
        if self.averages.len() <= peer {
            self.averages.resize(peer + 1, (0.0, 0));
        }
        let (average, at) = self.averages[peer];
        let keep = (-(now.saturating_sub(at) as f64) / EWMA_HALF_LIFE_US).exp2();
        let took = match outcome {
            Outcome::Ok | Outcome::TimedOut => took as f64,
            // A fast failure must not make an app server look fast.
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset | Outcome::Overloaded => {
                (took as f64).max(5.0 * UNKNOWN_COST_US)
            }
            _ => return,
        };
        // A higher value replaces the average at once; lower values reduce it gradually.
        let new = if took > average { took } else { average * keep + took * (1.0 - keep) };
        self.averages[peer] = (new, now);
    }
}

/// Points on the ring per app server.
const RING_POINTS_PER_SERVER: u64 = 40;
/// The highest load of an app server, as a multiple of the mean.
const LOAD_BOUND: f64 = 1.25;

#[derive(Default)]
pub struct BoundedHash {
    /// Points on the ring in ascending order, each with its app server.
    ring: Vec<(u64, usize)>,
}

impl Strategy for BoundedHash {
    fn on_servers_changed(&mut self, peers: &[Peer]) {
        let ready = peers.iter().filter(|peer| peer.state == ServerState::Ready);
        let place = |peer: &Peer, nth: u64| {
            let mut hasher = DefaultHasher::new();
            (&peer.id, nth).hash(&mut hasher);
            (hasher.finish(), peer.number)
        };
        self.ring =
            ready.flat_map(|peer| (0..RING_POINTS_PER_SERVER).map(move |nth| place(peer, nth))).collect();
        self.ring.sort_unstable();
    }

    fn pick(&mut self, choice: &mut Choice<'_>) -> Option<usize> {
        let all: u32 = choice.open.iter().map(|at| choice.peers[*at].outstanding).sum();
        let bound = (f64::from(all + 1) / choice.open.len() as f64 * LOAD_BOUND).ceil() as u32;
        let from = self.ring.partition_point(|(place, _)| *place < choice.key);
        let order = self.ring[from..].iter().chain(&self.ring[..from]);
        let fits = |at: usize| choice.open.binary_search(&at).is_ok() && choice.peers[at].outstanding < bound;
        order.map(|(_, at)| *at).find(|at| fits(*at)).or_else(|| Some(choice.any()))
    }
}

/// Half-life of a reported queue length, in microseconds.
const REPORT_HALF_LIFE_US: f64 = 500_000.0;

/// Selects the shortest reported queue, adding this balancer's outstanding attempts.
pub struct ShortestQueue {
    /// Probes per request.
    rate: f64,
    /// The queue length that each app server last reported, and when.
    reports: Vec<(f64, Micros)>,
}

impl ShortestQueue {
    pub fn new(rate: f64) -> Self {
        ShortestQueue { rate, reports: Vec::new() }
    }
}

impl Strategy for ShortestQueue {
    fn pick(&mut self, choice: &mut Choice<'_>) -> Option<usize> {
        let cost = |at: usize| {
            let peer = &choice.peers[at];
            let (queue, since) = self.reports.get(peer.number).copied().unwrap_or_default();
            let age = choice.now.saturating_sub(since) as f64;
            queue * (-age / REPORT_HALF_LIFE_US).exp2() + f64::from(peer.outstanding)
        };
        let least = choice.open.iter().map(|at| cost(*at)).fold(f64::INFINITY, f64::min);
        // Ties are broken at random.
        let fits = |at: &&usize| cost(**at) <= least;
        let count = choice.open.iter().filter(fits).count();
        let nth = if count > 1 { choice.random.random_range(0..count) } else { 0 };
        choice.open.iter().filter(fits).nth(nth).copied()
    }

    fn probe(&mut self, ready: &[usize], random: &mut Pcg64Mcg) -> Option<usize> {
        let due = !ready.is_empty() && random.random::<f64>() < self.rate;
        due.then(|| ready[random.random_range(0..ready.len())])
    }

    fn on_load_report(&mut self, now: Micros, peer: usize, report: LoadReport) {
        if self.reports.len() <= peer {
            self.reports.resize(peer + 1, (0.0, 0));
        }
        if let Some(queue) = report.queue {
            self.reports[peer] = (queue, now);
        }
    }
}
