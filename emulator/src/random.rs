//! Random numbers. Each consumer has its own stream, so that a change in one consumer doesn't change the
//! draws of the others.

use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal, Pareto};
use rand_pcg::Pcg64Mcg;

use crate::scenario::Shape;

/// The consumers of random numbers. A stream also has a number, which tells consumers of the same kind apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamId {
    /// Arrival time, class, branch, zone, key and work of requests.
    Arrivals = 1,
    /// Retries and disconnects of clients.
    ClientBehaviour,
    /// Routing by the front.
    Front,
    /// The seed of a balancer process.
    Balancer,
    /// Speed, pauses and errors of an app server.
    Server,
    /// Delays of discovery.
    Discovery,
    /// Network jitter.
    Network,
    /// The selection of app servers, balancers and keys affected by troubles.
    Troubles,
    /// Variation of work between attempts of a request, and resets of attempts.
    Attempts,
    /// Noise and phase of an app server's load reports.
    Reports,
}

/// A stream of random numbers.
#[derive(Clone, Debug)]
pub struct Stream(Pcg64Mcg);

impl Stream {
    /// The stream of a consumer in a run with this seed.
    pub fn of(seed: u64, stream_id: StreamId, number: u64) -> Self {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        bytes[8..].copy_from_slice(&((stream_id as u64) << 48 | number).to_le_bytes());
        let mut stream = Pcg64Mcg::from_seed(bytes);
        // Streams with seeds that differ in few bits start with similar values; skipping the first eight
        // separates them.
        for _ in 0..8 {
            stream.next_u64();
        }
        Stream(stream)
    }

    /// A uniform number in [0, 1).
    pub fn share(&mut self) -> f64 {
        self.0.random()
    }

    /// A uniform number from `low` to `high`.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.share()
    }

    /// A uniform index below `count`; 0 if `count` is 0.
    pub fn below(&mut self, count: usize) -> usize {
        if count < 2 { 0 } else { self.0.random_range(0..count) }
    }

    /// A uniform 64-bit number.
    pub fn any(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// True with this probability.
    pub fn chance(&mut self, likelihood: f64) -> bool {
        likelihood > 0.0 && self.share() < likelihood
    }

    /// An exponentially distributed interval with this mean.
    pub fn interval(&mut self, mean: f64) -> f64 {
        -(1.0 - self.share()).ln() * mean
    }

    /// A lognormal factor with mean 1 and this coefficient of variation.
    pub fn factor(&mut self, cv: f64) -> f64 {
        if cv <= 0.0 {
            return 1.0;
        }
        let variance = (1.0 + cv * cv).ln();
        // The parameters are valid for every finite `cv`, so this never fails.
        LogNormal::new(-variance / 2.0, variance.sqrt()).map_or(1.0, |normal| normal.sample(&mut self.0))
    }

    /// A factor with mean 1, this distribution and this coefficient of variation.
    pub fn tailed(&mut self, shape: Shape, cv: f64) -> f64 {
        match shape {
            Shape::Fixed => 1.0,
            Shape::Lognormal => self.factor(cv),
            Shape::Exp => self.interval(1.0),
            Shape::Pareto => {
                // For index a: mean a/(a-1), variance of the factor 1/(a(a-2)).
                let index = 1.0 + (1.0 + 1.0 / (cv * cv).max(1e-6)).sqrt();
                let scale = (index - 1.0) / index;
                Pareto::new(scale, index).map_or(1.0, |pareto| pareto.sample(&mut self.0)).min(60.0)
            }
        }
    }
}

/// Draws indices by fixed weights in constant time (Walker's alias method, in Vose's form).
#[derive(Clone, Debug)]
pub struct AliasTable {
    keep: Vec<f64>,
    alias: Vec<usize>,
}

impl AliasTable {
    /// A table of these weights. Weights that are not above 0 are never drawn, unless none is above 0.
    pub fn new(weights: &[f64]) -> Self {
        let total: f64 = weights.iter().filter(|w| **w > 0.0).sum();
        let count = weights.len().max(1);
        let mut keep: Vec<f64> = weights
            .iter()
            .map(|w| if total > 0.0 { w.max(0.0) * count as f64 / total } else { 1.0 })
            .collect();
        keep.resize(count, 1.0);
        let mut alias: Vec<usize> = (0..count).collect();
        let (mut small, mut large): (Vec<usize>, Vec<usize>) = (0..count).partition(|at| keep[*at] < 1.0);
        while let (Some(low), Some(high)) = (small.pop(), large.last().copied()) {
            alias[low] = high;
            keep[high] -= 1.0 - keep[low];
            if keep[high] < 1.0 {
                large.pop();
                small.push(high);
            }
        }
        // Entries left over by rounding errors keep their own index.
        small.into_iter().chain(large).for_each(|at| keep[at] = 1.0);
        AliasTable { keep, alias }
    }

    /// A table by Zipf's law: the k-th entry has weight 1/k^s.
    pub fn zipf(count: usize, exponent: f64) -> Self {
        let weights: Vec<f64> = (1..=count.max(1)).map(|rank| (rank as f64).powf(-exponent)).collect();
        AliasTable::new(&weights)
    }

    /// Draws an index.
    pub fn draw(&self, stream: &mut Stream) -> usize {
        let at = stream.below(self.keep.len());
        if stream.share() < self.keep[at] { at } else { self.alias[at] }
    }
}

#[cfg(test)]
mod tests;
