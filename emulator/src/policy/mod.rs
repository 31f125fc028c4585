//! The policies that a run can use: the production load balancer, or a reference policy behind the same trait
//! for comparison. Reference policies follow the rules on repeats and drains as far as they can on their own;
//! how they treat cold app servers and load depends on their selection strategy.

mod lifecycle;
mod oracle;
mod strategies;

use std::rc::Rc;
use std::str::FromStr;

use gradepaddle::{Balancer, Settings, SettingsError};
use gradepaddle_dispatch::Chooser;

use lifecycle::ReferencePolicy;
use oracle::Oracle;
pub(crate) use oracle::number;
pub use oracle::{GroundTruth, ServerSnapshot};
use strategies::{BoundedHash, LeastOutstanding, PeakEwma, Random, RoundRobin, ShortestQueue, TwoChoices};

/// The available policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Policy {
    /// The production load balancer: LARD (locality-aware request distribution) by three costs.
    Module,
    /// A random open app server.
    Random,
    /// Round-robin.
    RoundRobin,
    /// The app server with the fewest outstanding attempts of this balancer.
    LeastOutstanding,
    /// The better of two random app servers (Mitzenmacher, "The Power of Two Choices in Randomized Load
    /// Balancing", 2001).
    TwoChoices,
    /// The better of two random app servers by a peak-sensitive moving average of response times, multiplied
    /// by outstanding attempts (as Finagle's peak EWMA balancer does).
    PeakEwma,
    /// The app server of the key on a consistent-hash ring, unless its load is above the bound (Mirrokni,
    /// Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2016).
    BoundedHash,
    /// The shortest queue that app servers report, with 3 probes per 100 requests.
    QueueProbes3,
    /// The same with 30 probes per 100 requests.
    QueueProbes30,
    /// The same with one probe per request.
    QueueProbes100,
    /// Reads the true state of every app server, which no real balancer can: an upper reference.
    Oracle,
}

impl Policy {
    /// All policies.
    pub const ALL: [Policy; 11] = [
        Policy::Module,
        Policy::Random,
        Policy::RoundRobin,
        Policy::LeastOutstanding,
        Policy::TwoChoices,
        Policy::PeakEwma,
        Policy::BoundedHash,
        Policy::QueueProbes3,
        Policy::QueueProbes30,
        Policy::QueueProbes100,
        Policy::Oracle,
    ];

    /// Its name on the command line and in results.
    pub fn name(self) -> &'static str {
        match self {
            Policy::Module => "module",
            Policy::Random => "random",
            Policy::RoundRobin => "round-robin",
            Policy::LeastOutstanding => "least-outstanding",
            Policy::TwoChoices => "two-choices",
            Policy::PeakEwma => "peak-ewma",
            Policy::BoundedHash => "bounded-hash",
            Policy::QueueProbes3 => "queue-probes-3",
            Policy::QueueProbes30 => "queue-probes-30",
            Policy::QueueProbes100 => "queue-probes-100",
            Policy::Oracle => "seer",
        }
    }

    /// Creates the chooser of a balancer with these settings. Only [`Policy::Oracle`] reads the ground truth.
    ///
    /// # Errors
    ///
    /// The settings are invalid.
    pub fn start(
        self,
        settings: &Settings,
        seed: u64,
        ground_truth: &Rc<GroundTruth>,
    ) -> Result<Box<dyn Chooser>, SettingsError> {
        settings.check()?;
        Ok(match self {
            Policy::Module => Box::new(Balancer::new(settings.clone(), seed)?),
            Policy::Random => Box::new(ReferencePolicy::new(settings, seed, Random)),
            Policy::RoundRobin => Box::new(ReferencePolicy::new(settings, seed, RoundRobin::default())),
            Policy::LeastOutstanding => Box::new(ReferencePolicy::new(settings, seed, LeastOutstanding)),
            Policy::TwoChoices => Box::new(ReferencePolicy::new(settings, seed, TwoChoices)),
            Policy::PeakEwma => Box::new(ReferencePolicy::new(settings, seed, PeakEwma::default())),
            Policy::BoundedHash => Box::new(ReferencePolicy::new(settings, seed, BoundedHash::default())),
            Policy::QueueProbes3 => Box::new(ReferencePolicy::new(settings, seed, ShortestQueue::new(0.03))),
            Policy::QueueProbes30 => Box::new(ReferencePolicy::new(settings, seed, ShortestQueue::new(0.3))),
            Policy::QueueProbes100 => Box::new(ReferencePolicy::new(settings, seed, ShortestQueue::new(1.0))),
            Policy::Oracle => {
                Box::new(ReferencePolicy::new(settings, seed, Oracle::new(settings, ground_truth.clone())))
            }
        })
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let names = || Policy::ALL.map(Policy::name).join(", ");
        let found = Policy::ALL.into_iter().find(|policy| policy.name() == text);
        found.ok_or_else(|| format!("{text:?} is none of: {}", names()))
    }
}
