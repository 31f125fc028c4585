//! Random numbers: each party has a stream of its own, so that a change of one leaves the others' draws
//! as they were.

use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal, Pareto};
use rand_pcg::Pcg64Mcg;

use crate::scenario::Shape;

/// Who draws. The number tells parties of one kind apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Party {
    /// When requests come, of which class, tenant, zone and key, and what work they are.
    Arrivals = 1,
    /// What clients do afterwards.
    Habits,
    /// The front.
    Front,
    /// A balancer's seed.
    Balancer,
    /// An app server.
    Server,
    /// Discovery.
    Discovery,
    /// The network.
    Network,
    /// Troubles: whom they hit.
    Troubles,
    /// What each attempt's work is beside its request's.
    Attempts,
    /// An app server's reports.
    Reports,
}

/// One party's stream.
#[derive(Clone, Debug)]
pub struct Stream(Pcg64Mcg);

impl Stream {
    /// The stream of a party in a run with this seed.
    pub fn of(seed: u64, party: Party, number: u64) -> Self {
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&seed.to_le_bytes());
        bytes[8..].copy_from_slice(&((party as u64) << 48 | number).to_le_bytes());
        let mut stream = Pcg64Mcg::from_seed(bytes);
        // Seeds that differ in few bits begin alike; a few steps part them.
        for _ in 0..8 {
            stream.next_u64();
        }
        Stream(stream)
    }

    /// From 0 up to, not including, 1.
    pub fn share(&mut self) -> f64 {
        self.0.random()
    }

    /// From `low` to `high`.
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.share()
    }

    /// One of so many; 0 where there is none.
    pub fn below(&mut self, count: usize) -> usize {
        if count < 2 { 0 } else { self.0.random_range(0..count) }
    }

    /// Any number.
    pub fn any(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// True with this likelihood.
    pub fn chance(&mut self, likelihood: f64) -> bool {
        likelihood > 0.0 && self.share() < likelihood
    }

    /// Time until the next of events that come at random with this mean.
    pub fn interval(&mut self, mean: f64) -> f64 {
        -(1.0 - self.share()).ln() * mean
    }

    /// A factor with mean 1 and this coefficient of variation.
    pub fn factor(&mut self, cv: f64) -> f64 {
        if cv <= 0.0 {
            return 1.0;
        }
        let variance = (1.0 + cv * cv).ln();
        // Mean 1 for any spread that is finite, so this never fails.
        LogNormal::new(-variance / 2.0, variance.sqrt()).map_or(1.0, |normal| normal.sample(&mut self.0))
    }

    /// A factor with mean 1 of this shape and coefficient of variation.
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

/// Draws positions by fixed weights, in one look-up (Walker's alias method, in Vose's form).
#[derive(Clone, Debug)]
pub struct Table {
    keep: Vec<f64>,
    alias: Vec<usize>,
}

impl Table {
    /// By these weights; those that are not above 0 are never drawn, unless none is.
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
        // What rounding has left over stands for itself.
        small.into_iter().chain(large).for_each(|at| keep[at] = 1.0);
        Table { keep, alias }
    }

    /// By Zipf's law: the k-th has weight 1/k^s.
    pub fn zipf(count: usize, exponent: f64) -> Self {
        let weights: Vec<f64> = (1..=count.max(1)).map(|rank| (rank as f64).powf(-exponent)).collect();
        Table::new(&weights)
    }

    /// A position.
    pub fn draw(&self, stream: &mut Stream) -> usize {
        let at = stream.below(self.keep.len());
        if stream.share() < self.keep[at] { at } else { self.alias[at] }
    }
}

#[cfg(test)]
mod tests;
